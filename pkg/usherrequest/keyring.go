package usherrequest

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"slices"

	"github.com/fxamacker/cbor/v2"
)

const (
	// MinSecretBytes is the minimum length of a fleet secret.
	MinSecretBytes = 16
	// MaxTextBytes limits the length of the text of an ID or handle.
	MaxTextBytes = 1024

	macBytes = 16

	domainID     domain = "usher request id 1"
	domainHandle domain = "usher handle 1"
)

var (
	// textEncoding is strict, so that each value has exactly one text.
	textEncoding = base64.RawURLEncoding.Strict()

	encoder = must(cbor.CoreDetEncOptions().EncMode())
	decoder = must(cbor.DecOptions{
		IndefLength:      cbor.IndefLengthForbidden,
		TagsMd:           cbor.TagsForbidden,
		MaxNestedLevels:  4,
		MaxArrayElements: 16,
		MaxMapPairs:      16,
	}.DecMode())
)

type (
	// domain separates authentication codes, so that the code of one type of value is not valid for another type.
	domain string

	// Keyring holds the fleet secrets. It signs with one and accepts several, so that secrets can be rotated without
	// downtime: accept the new secret at every gateway, then sign with it, then remove the old secret once everything
	// signed with it has expired. The zero value signs nothing and accepts nothing.
	Keyring struct {
		signing  []byte
		accepted [][]byte
	}
)

// NewKeyring returns a keyring that signs with signing and accepts signing and the secrets in accepted.
func NewKeyring(signing []byte, accepted ...[]byte) (Keyring, error) {
	keyring := Keyring{}
	for _, secret := range append([][]byte{signing}, accepted...) {
		if len(secret) < MinSecretBytes {
			return Keyring{}, SecretError.New("a fleet secret has %d bytes and needs %d", len(secret), MinSecretBytes)
		}
		keyring.accepted = append(keyring.accepted, slices.Clone(secret))
	}
	keyring.signing = keyring.accepted[0]
	return keyring, nil
}

func (k Keyring) sign(purpose domain, value any) (string, error) {
	if len(k.signing) == 0 {
		return "", SecretError.New("the keyring has no secret to sign with")
	}
	body, err := encoder.Marshal(value)
	if err != nil {
		return "", MalformedError.Wrap(err, "cannot encode %s", purpose)
	}
	text := textEncoding.EncodeToString(append(body, computeMAC(k.signing, purpose, body)...))
	if len(text) > MaxTextBytes {
		return "", MalformedError.New("text has %d bytes, the limit is %d", len(text), MaxTextBytes)
	}
	return text, nil
}

// verify decodes text into value and checks its authentication code. The value is also set if the error is a
// ForgedError.
func (k Keyring) verify(purpose domain, text string, value any) error {
	if len(text) > MaxTextBytes {
		return MalformedError.New("text has %d bytes, the limit is %d", len(text), MaxTextBytes)
	}
	signed, err := textEncoding.DecodeString(text)
	if err != nil {
		return MalformedError.Wrap(err, "text is not base64url")
	}
	if len(signed) <= macBytes {
		return MalformedError.New("text is truncated")
	}
	body := signed[:len(signed)-macBytes]
	if err := decoder.Unmarshal(body, value); err != nil {
		return MalformedError.Wrap(err, "cannot decode %s", purpose)
	}
	for _, secret := range k.accepted {
		if hmac.Equal(computeMAC(secret, purpose, body), signed[len(body):]) {
			return nil
		}
	}
	return ForgedError.New("authentication code does not match")
}

func computeMAC(secret []byte, purpose domain, body []byte) []byte {
	mac := hmac.New(sha256.New, secret)
	mac.Write([]byte(purpose))
	mac.Write([]byte{0})
	mac.Write(body)
	return mac.Sum(nil)[:macBytes]
}

func must[T any](value T, err error) T {
	if err != nil {
		panic(err)
	}
	return value
}
