package usherlink

import (
	"context"
	"sync"
)

type (
	// HandleFunc handles messages of one kind.
	HandleFunc func(ctx context.Context, from Peer, body Payload) (any, error)

	// Mux dispatches each message to the handler registered for its kind. The zero value rejects every kind. Handlers may
	// be added while messages arrive: a process listens before all its components are initialized, and its peers may send
	// at once.
	Mux struct {
		mu       sync.RWMutex // guards handlers
		handlers map[string]HandleFunc
	}
)

// Handle registers the handler for messages of kind.
func (m *Mux) Handle(kind string, handle HandleFunc) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.handlers == nil {
		m.handlers = map[string]HandleFunc{}
	}
	m.handlers[kind] = handle
}

// ServeMessage implements Handler.
func (m *Mux) ServeMessage(ctx context.Context, from Peer, kind string, body Payload) (any, error) {
	m.mu.RLock()
	handle, ok := m.handlers[kind]
	m.mu.RUnlock()
	if !ok {
		return nil, ErrMalformed.New("unknown message kind %q", kind)
	}
	return handle(ctx, from, body)
}
