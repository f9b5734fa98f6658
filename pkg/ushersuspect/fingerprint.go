package ushersuspect

import (
	"crypto/sha256"
	"encoding/hex"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
)

// FingerprintBytes is the length of a Fingerprint.
const FingerprintBytes = 16

var canonicalEncoder = must(cbor.CoreDetEncOptions().EncMode())

type (
	// Fingerprint identifies a request by its content.
	Fingerprint [FingerprintBytes]byte

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
		score := xxhash.Sum64String(string(f[:]) + gateway)
		if owner == "" || score > best || score == best && gateway < owner {
			owner, best = gateway, score
		}
	}
	return owner
}

func must[T any](value T, err error) T {
	if err != nil {
		panic(err)
	}
	return value
}
