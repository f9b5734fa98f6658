package usherlink

import (
	"context"
)

type (
	// HandleFunc answers messages of one kind.
	HandleFunc func(ctx context.Context, from Peer, body Payload) (any, error)

	// Mux hands each message to the function of its kind. The zero value refuses every kind. All kinds are
	// added before the mux is used.
	Mux struct {
		kinds map[string]HandleFunc
	}
)

// Handle adds the function for messages of kind.
func (m *Mux) Handle(kind string, handle HandleFunc) {
	if m.kinds == nil {
		m.kinds = map[string]HandleFunc{}
	}
	m.kinds[kind] = handle
}

// ServeMessage implements Handler.
func (m *Mux) ServeMessage(ctx context.Context, from Peer, kind string, body Payload) (any, error) {
	handle, ok := m.kinds[kind]
	if !ok {
		return nil, ErrMalformed.New("no message kind %q", kind)
	}
	return handle(ctx, from, body)
}
