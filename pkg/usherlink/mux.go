package usherlink

import (
	"context"
	"sync"
)

type (
	// HandleFunc answers messages of one kind.
	HandleFunc func(ctx context.Context, from Peer, body Payload) (any, error)

	// Mux hands each message to the function of its kind. The zero value refuses every kind. Kinds may be added while
	// messages come: a process listens before all its parts are there, and its peers don't wait.
	Mux struct {
		mu    sync.RWMutex // guards kinds
		kinds map[string]HandleFunc
	}
)

// Handle adds the function for messages of kind.
func (m *Mux) Handle(kind string, handle HandleFunc) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.kinds == nil {
		m.kinds = map[string]HandleFunc{}
	}
	m.kinds[kind] = handle
}

// ServeMessage implements Handler.
func (m *Mux) ServeMessage(ctx context.Context, from Peer, kind string, body Payload) (any, error) {
	m.mu.RLock()
	handle, ok := m.kinds[kind]
	m.mu.RUnlock()
	if !ok {
		return nil, ErrMalformed.New("no message kind %q", kind)
	}
	return handle(ctx, from, body)
}
