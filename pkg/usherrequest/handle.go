package usherrequest

import "time"

type (
	// Handle lets a caller resume its stream at any gateway. It identifies the generation that the stream belongs to.
	Handle struct {
		Workspace         string
		Generation        string
		Attempt           AttemptID
		Target            string
		TargetIncarnation uint64
		NextIndex         int
		// Gateway is the gateway that relayed the stream when the handle was issued.
		Gateway string
		Expiry  time.Time
	}

	handleWire struct {
		_                  struct{} `cbor:",toarray"`
		Workspace          string
		Generation         string
		AttemptGateway     string
		AttemptIncarnation uint64
		AttemptCounter     uint64
		Target             string
		TargetIncarnation  uint64
		NextIndex          int
		Gateway            string
		ExpiryMilli        int64
	}
)

// WithNextIndex returns the handle for a caller that has received all tokens before index.
func (h Handle) WithNextIndex(index int) Handle {
	h.NextIndex = index
	return h
}

// SignHandle returns the signed text form of handle for callers.
func (k Keyring) SignHandle(handle Handle) (string, error) {
	if handle.Workspace == "" || handle.NextIndex < 0 {
		return "", ErrMalformed.New("a handle needs a workspace and a non-negative index")
	}
	return k.sign(domainHandle, handleWire{
		Workspace:          handle.Workspace,
		Generation:         handle.Generation,
		AttemptGateway:     handle.Attempt.Gateway,
		AttemptIncarnation: handle.Attempt.Incarnation,
		AttemptCounter:     handle.Attempt.Counter,
		Target:             handle.Target,
		TargetIncarnation:  handle.TargetIncarnation,
		NextIndex:          handle.NextIndex,
		Gateway:            handle.Gateway,
		ExpiryMilli:        handle.Expiry.UnixMilli(),
	})
}

// ParseHandle verifies and decodes the text of a handle. It fails unless the handle is authentic, belongs to workspace
// and has not expired at now.
func (k Keyring) ParseHandle(now time.Time, workspace, text string) (Handle, error) {
	var wire handleWire
	if err := k.verify(domainHandle, text, &wire); err != nil {
		return Handle{}, err
	}
	if wire.Workspace != workspace {
		return Handle{}, ErrWorkspaceMismatch.New("the handle belongs to another workspace")
	}
	if wire.NextIndex < 0 {
		return Handle{}, ErrMalformed.New("the handle has a negative index")
	}
	expiry := time.UnixMilli(wire.ExpiryMilli).UTC()
	if !now.Before(expiry) {
		return Handle{}, ErrExpired.New("the handle expired at %s", expiry)
	}
	return Handle{
		Workspace:         wire.Workspace,
		Generation:        wire.Generation,
		Attempt:           AttemptID{wire.AttemptGateway, wire.AttemptIncarnation, wire.AttemptCounter},
		Target:            wire.Target,
		TargetIncarnation: wire.TargetIncarnation,
		NextIndex:         wire.NextIndex,
		Gateway:           wire.Gateway,
		Expiry:            expiry,
	}, nil
}
