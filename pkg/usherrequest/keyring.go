package usherrequest

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"slices"

	"github.com/fxamacker/cbor/v2"
)

const (
	// MinSecretBytes is the least length of a fleet secret.
	MinSecretBytes = 16
	// MaxTextBytes bounds the text of an id or handle.
	MaxTextBytes = 1024

	codeBytes = 16

	labelID     label = "usher request id 1"
	labelHandle label = "usher handle 1"
)

var (
	// textEncoding is strict, so that a value has one text only.
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
	// label keeps the code of one kind of value from passing for that of another.
	label string

	// Keyring holds the fleet secrets. It signs with one and accepts several, so that secrets rotate without a stop:
	// accept the new one at every gateway, then sign with it, and drop the old one once all that it signed has
	// expired. The zero value signs nothing and accepts nothing.
	Keyring struct {
		signing  []byte
		accepted [][]byte
	}
)

// NewKeyring returns a keyring that signs with signing and accepts that secret and each of accepted.
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

func (k Keyring) seal(kind label, value any) (string, error) {
	if len(k.signing) == 0 {
		return "", SecretError.New("the keyring has no secret to sign with")
	}
	body, err := encoder.Marshal(value)
	if err != nil {
		return "", MalformedError.Wrap(err, "cannot encode %s", kind)
	}
	text := textEncoding.EncodeToString(append(body, code(k.signing, kind, body)...))
	if len(text) > MaxTextBytes {
		return "", MalformedError.New("text has %d bytes, the limit is %d", len(text), MaxTextBytes)
	}
	return text, nil
}

// open decodes text into value. The value is filled in also when the error is a ForgedError.
func (k Keyring) open(kind label, text string, value any) error {
	if len(text) > MaxTextBytes {
		return MalformedError.New("text has %d bytes, the limit is %d", len(text), MaxTextBytes)
	}
	sealed, err := textEncoding.DecodeString(text)
	if err != nil {
		return MalformedError.Wrap(err, "text is not base64url")
	}
	if len(sealed) <= codeBytes {
		return MalformedError.New("text is cut short")
	}
	body := sealed[:len(sealed)-codeBytes]
	if err := decoder.Unmarshal(body, value); err != nil {
		return MalformedError.Wrap(err, "cannot decode %s", kind)
	}
	for _, secret := range k.accepted {
		if hmac.Equal(code(secret, kind, body), sealed[len(body):]) {
			return nil
		}
	}
	return ForgedError.New("authentication code does not match")
}

func code(secret []byte, kind label, body []byte) []byte {
	mac := hmac.New(sha256.New, secret)
	mac.Write([]byte(kind))
	mac.Write([]byte{0})
	mac.Write(body)
	return mac.Sum(nil)[:codeBytes]
}

func must[T any](value T, err error) T {
	if err != nil {
		panic(err)
	}
	return value
}
