package usherrequest

import (
	"cmp"
	"strconv"
	"time"

	"github.com/joomcode/errorx"
)

// MaxKeyBytes bounds the idempotency key that a caller may put into an id.
const MaxKeyBytes = 64

type (
	// ID names one request for good. Only the gateway incarnation that minted it may run it.
	ID struct {
		Gateway     string
		Incarnation uint64
		Counter     uint64
		Expiry      time.Time
		Workspace   string
		// Key is the caller's own idempotency key, if it gave one.
		Key string
	}

	// AttemptID names one sending of a request to one target. It is never reused.
	AttemptID struct {
		Gateway     string
		Incarnation uint64
		Counter     uint64
	}

	// IDGenerator mints the ids of one gateway incarnation. It belongs to one goroutine. Incarnation must differ
	// between any two starts of a gateway; 64 random bits will do.
	IDGenerator struct {
		Gateway     string
		Incarnation uint64

		ids, attempts uint64
	}

	idWire struct {
		_           struct{} `cbor:",toarray"`
		Gateway     string
		Incarnation uint64
		Counter     uint64
		ExpiryMilli int64
		Workspace   string
		Key         string
	}
)

// NewID mints an id for one request of workspace that is valid until expiry. The key may be empty.
func (m *IDGenerator) NewID(expiry time.Time, workspace, key string) (ID, error) {
	if m.Gateway == "" || m.Incarnation == 0 {
		return ID{}, MalformedError.New("an id generator needs a gateway and an incarnation")
	}
	if workspace == "" {
		return ID{}, MalformedError.New("an id needs a workspace")
	}
	if len(key) > MaxKeyBytes {
		return ID{}, MalformedError.New("idempotency key has %d bytes, the limit is %d", len(key), MaxKeyBytes)
	}
	m.ids++
	return ID{
		Gateway:     m.Gateway,
		Incarnation: m.Incarnation,
		Counter:     m.ids,
		Expiry:      time.UnixMilli(expiry.UnixMilli()).UTC(),
		Workspace:   workspace,
		Key:         key,
	}, nil
}

// NewAttemptID mints the id of a new attempt.
func (m *IDGenerator) NewAttemptID() AttemptID {
	m.attempts++
	return AttemptID{Gateway: m.Gateway, Incarnation: m.Incarnation, Counter: m.attempts}
}

// Compare orders attempts by gateway, incarnation and counter.
func (a AttemptID) Compare(b AttemptID) int {
	return cmp.Or(cmp.Compare(a.Gateway, b.Gateway), cmp.Compare(a.Incarnation, b.Incarnation), cmp.Compare(a.Counter, b.Counter))
}

// String returns the id of the attempt as text for targets and logs.
func (a AttemptID) String() string {
	return a.Gateway + "-" + strconv.FormatUint(a.Incarnation, 36) + "-" + strconv.FormatUint(a.Counter, 36)
}

// SignID returns the text of id that callers carry.
func (k Keyring) SignID(id ID) (string, error) {
	return k.seal(labelID, idWire{
		Gateway:     id.Gateway,
		Incarnation: id.Incarnation,
		Counter:     id.Counter,
		ExpiryMilli: id.Expiry.UnixMilli(),
		Workspace:   id.Workspace,
		Key:         id.Key,
	})
}

// ParseID returns the id that text stands for if it is authentic and of workspace. With a ForgedError it returns what
// the text claims, which proves nothing.
func (k Keyring) ParseID(workspace, text string) (ID, error) {
	var wire idWire
	err := k.open(labelID, text, &wire)
	if errorx.IsOfType(err, MalformedError) {
		return ID{}, err
	}
	if err == nil && wire.Workspace != workspace {
		return ID{}, WorkspaceMismatchError.New("the id belongs to another workspace")
	}
	return ID{
		Gateway:     wire.Gateway,
		Incarnation: wire.Incarnation,
		Counter:     wire.Counter,
		Expiry:      time.UnixMilli(wire.ExpiryMilli).UTC(),
		Workspace:   wire.Workspace,
		Key:         wire.Key,
	}, err
}
