package usherrequest

import (
	"cmp"
	"strconv"
	"time"

	"github.com/joomcode/errorx"
)

// MaxKeyBytes limits the length of a caller's idempotency key.
const MaxKeyBytes = 64

type (
	// ID permanently identifies one request. Only the gateway incarnation that issued it may run the request.
	ID struct {
		Gateway     string
		Incarnation uint64
		Counter     uint64
		Expiry      time.Time
		Workspace   string
		// Key is the optional idempotency key of the caller.
		Key string
	}

	// AttemptID identifies one attempt to run a request on one target. It is never reused.
	AttemptID struct {
		Gateway     string
		Incarnation uint64
		Counter     uint64
	}

	// IDGenerator issues the IDs of one gateway incarnation. It must be used by one goroutine only. Incarnation must
	// differ between any two starts of a gateway; 64 random bits are sufficient.
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

// NewID issues an ID for one request of workspace that is valid until expiry. The key may be empty.
func (g *IDGenerator) NewID(expiry time.Time, workspace, key string) (ID, error) {
	if g.Gateway == "" || g.Incarnation == 0 {
		return ID{}, MalformedError.New("an id generator needs a gateway and an incarnation")
	}
	if workspace == "" {
		return ID{}, MalformedError.New("an id needs a workspace")
	}
	if len(key) > MaxKeyBytes {
		return ID{}, MalformedError.New("idempotency key has %d bytes, the limit is %d", len(key), MaxKeyBytes)
	}
	g.ids++
	return ID{
		Gateway:     g.Gateway,
		Incarnation: g.Incarnation,
		Counter:     g.ids,
		Expiry:      time.UnixMilli(expiry.UnixMilli()).UTC(),
		Workspace:   workspace,
		Key:         key,
	}, nil
}

func (g *IDGenerator) NewAttemptID() AttemptID {
	g.attempts++
	return AttemptID{Gateway: g.Gateway, Incarnation: g.Incarnation, Counter: g.attempts}
}

// Compare orders attempts by gateway, incarnation and counter.
func (a AttemptID) Compare(b AttemptID) int {
	return cmp.Or(cmp.Compare(a.Gateway, b.Gateway), cmp.Compare(a.Incarnation, b.Incarnation), cmp.Compare(a.Counter, b.Counter))
}

// String returns the ID as text, for targets and logs.
func (a AttemptID) String() string {
	return a.Gateway + "-" + strconv.FormatUint(a.Incarnation, 36) + "-" + strconv.FormatUint(a.Counter, 36)
}

// SignID returns the signed text form of id for callers.
func (k Keyring) SignID(id ID) (string, error) {
	return k.sign(domainID, idWire{
		Gateway:     id.Gateway,
		Incarnation: id.Incarnation,
		Counter:     id.Counter,
		ExpiryMilli: id.Expiry.UnixMilli(),
		Workspace:   id.Workspace,
		Key:         id.Key,
	})
}

// ParseID verifies and decodes the text of an ID, which must belong to workspace. With a ForgedError it also returns
// the decoded ID, which is unverified.
func (k Keyring) ParseID(workspace, text string) (ID, error) {
	var wire idWire
	err := k.verify(domainID, text, &wire)
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
