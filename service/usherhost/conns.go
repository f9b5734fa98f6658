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
	// conns closes callers' connections that are idle, or slow with a request's header, for longer than the
	// declarations in force allow. The limits change while connections live, so the server's own are not used.
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

// closeIdle closes the connections that are between two requests, and returns how many others there are.
func (c *conns) closeIdle() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn, s := range c.conns {
		if s.state == http.StateIdle {
			// The server notices the closed connection and forgets it.
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
		// The server calls a connection active only once it has read a whole header.
		slow := s.state == http.StateNew && l.HeaderTimeout > 0 && age > l.HeaderTimeout+idleMargin
		if idle || slow {
			// The server notices the closed connection and forgets it.
			_ = conn.Close()
			delete(c.conns, conn)
		}
	}
}
