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
	// sweepInterval is how often callers' connections are checked against the configured limits.
	sweepInterval = time.Second
	// idleMargin keeps an idle connection open for a little longer than callers may reuse it.
	idleMargin = time.Second
)

type (
	// conns closes callers' connections that are idle, or have not completed a request header, for longer than the
	// configuration in force allows. The limits change while connections are open, so the timeouts of http.Server are
	// not used.
	conns struct {
		mu    sync.Mutex
		conns map[net.Conn]*connState
	}

	connState struct {
		state http.ConnState
		since time.Time
	}
)

func newConns() *conns {
	return &conns{conns: map[net.Conn]*connState{}}
}

// track records the state of a connection; it is the server's ConnState hook.
func (c *conns) track(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if state == http.StateClosed || state == http.StateHijacked {
		delete(c.conns, conn)
		return
	}
	c.conns[conn] = &connState{state: state, since: time.Now()}
}

// run closes connections that exceed the limits until ctx ends.
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

// closeIdle closes the connections that are between two requests and returns how many others are open.
func (c *conns) closeIdle() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn, s := range c.conns {
		if s.state == http.StateIdle {
			// The server detects the closed connection and removes it.
			_ = conn.Close()
			delete(c.conns, conn)
		}
	}
	return len(c.conns)
}

func (c *conns) sweep(l usherroute.Limits) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	for conn, s := range c.conns {
		age := now.Sub(s.since)
		idle := s.state == http.StateIdle && l.IdleTimeout > 0 && age > l.IdleTimeout+idleMargin
		// The server marks a connection as active only once it has read a whole header.
		slow := s.state == http.StateNew && l.HeaderTimeout > 0 && age > l.HeaderTimeout+idleMargin
		if idle || slow {
			// The server detects the closed connection and removes it.
			_ = conn.Close()
			delete(c.conns, conn)
		}
	}
}
