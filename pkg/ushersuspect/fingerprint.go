package ushersuspect

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
)

// FingerprintBytes is the length of a Fingerprint.
const FingerprintBytes = 16

var canonicalEncoder = must(cbor.CoreDetEncOptions().EncMode())

type (
	// Fingerprint identifies a request by its content, or something that several requests have in common.
	Fingerprint [FingerprintBytes]byte

	// Request identifies a request that may crash targets.
	Request struct {
		// Content is equal for requests with the same content.
		Content Fingerprint `cbor:"content"`
		// Parts are the parts of its prompt that other requests may have too.
		Parts []Fingerprint `cbor:"parts"`
	}

	content struct {
		_          struct{} `cbor:",toarray"`
		Workspace  string
		Template   string
		Parameters map[string]string
	}
)

// NewFingerprint returns the fingerprint of a request. It does not depend on the order of the parameters.
func NewFingerprint(workspace, template string, parameters map[string]string) (Fingerprint, error) {
	if parameters == nil {
		parameters = map[string]string{}
	}
	encoded, err := canonicalEncoder.Marshal(content{Workspace: workspace, Template: template, Parameters: parameters})
	if err != nil {
		return Fingerprint{}, ErrMalformed.Wrap(err, "cannot encode the request for its fingerprint")
	}
	sum := sha256.Sum256(encoded)
	return Fingerprint(sum[:FingerprintBytes]), nil
}

// NewContentFingerprint returns the fingerprint of a request that consists of the given fields.
func NewContentFingerprint(fields ...string) Fingerprint {
	return hashFields("content", fields)
}

// NewPartFingerprint returns the fingerprint of a part of the prompts that are sent to a service.
func NewPartFingerprint(service, part string) Fingerprint {
	return hashFields("part", []string{service, part})
}

// combination returns the fingerprint of all parts together.
func (r Request) combination() Fingerprint {
	fields := make([]string, 0, len(r.Parts))
	for _, part := range r.Parts {
		fields = append(fields, string(part[:]))
	}
	return hashFields("combination", fields)
}

func hashFields(kind string, fields []string) Fingerprint {
	h := sha256.New()
	// Writes to a hash do not fail. The lengths keep different fields with the same concatenation apart.
	for _, field := range append([]string{kind}, fields...) {
		_, _ = h.Write(binary.BigEndian.AppendUint64(nil, uint64(len(field))))
		_, _ = h.Write([]byte(field))
	}
	return Fingerprint(h.Sum(nil)[:FingerprintBytes])
}

// String returns the fingerprint in hexadecimal, for logs.
func (f Fingerprint) String() string {
	return hex.EncodeToString(f[:])
}

// owner returns the gateway that may retry a suspect, chosen by rendezvous hashing: processes that know the same
// gateways choose the same one.
func (f Fingerprint) owner(gateways []string) string {
	owner := ""
	var best uint64
	for _, gateway := range gateways {
		score := f.score(gateway)
		if owner == "" || score > best || score == best && gateway < owner {
			owner, best = gateway, score
		}
	}
	return owner
}

// score returns the weight of a process for rendezvous hashing.
func (f Fingerprint) score(process string) uint64 {
	return xxhash.Sum64String(string(f[:]) + process)
}

func must[T any](value T, err error) T {
	if err != nil {
		panic(err)
	}
	return value
}
