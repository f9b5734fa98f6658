package usherhost

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/samphireusher/samphireusher/pkg/usherroute"
)

const (
	// sweepInterval is how often callers' connections are checked against the declared limits.
	sweepInterval = time.Second
	// idleMargin keeps an idle connection a little longer than callers may reuse it.
	idleMargin = time.Second
)

type (
	connKey struct{}

	// conns closes callers' connections that are idle, or slow with a request's header, for longer than the
	// declarations in force allow. The limits change while connections live, so the server's own are not used.
	conns struct {
		mu    sync.Mutex
		conns map[net.Conn]*connState
	}

	connState struct {
		state http.ConnState
		since time.Time
		// handled says that the header has been read.
		handled bool
	}
)

func newConns() *conns {
	return &conns{conns: map[net.Conn]*connState{}}
}

// track follows the state of a connection.
func (c *conns) track(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if state == http.StateClosed || state == http.StateHijacked {
		delete(c.conns, conn)
		return
	}
	c.conns[conn] = &connState{state: state, since: time.Now()}
}

// context makes a connection known to the handlers of its requests.
func (c *conns) context(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// begin records that the header of a request has been read.
func (c *conns) begin(ctx context.Context) {
	conn, ok := ctx.Value(connKey{}).(net.Conn)
	if !ok {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if s, known := c.conns[conn]; known {
		s.handled = true
	}
}

// run sweeps until ctx ends.
func (c *conns) run(ctx context.Context, limits func() usherroute.Limits) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			c.sweep(limits())
		}
	}
}

func (c *conns) sweep(l usherroute.Limits) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	for conn, s := range c.conns {
		age := now.Sub(s.since)
		idle := s.state == http.StateIdle && l.IdleTimeout > 0 && age > l.IdleTimeout+idleMargin
		slow := (s.state == http.StateActive || s.state == http.StateNew) && !s.handled && l.HeaderTimeout > 0 && age > l.HeaderTimeout+idleMargin
		if idle || slow && s.state == http.StateActive || slow && age > l.IdleTimeout+idleMargin {
			// The server notices the closed connection and forgets it.
			_ = conn.Close()
			delete(c.conns, conn)
		}
	}
}
