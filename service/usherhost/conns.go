package usherhost

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/samphireusher/samphireusher/pkg/usherroute"
)

const (
	// sweepInterval is how often callers' connections are checked against the configured limits.
	sweepInterval = time.Second
	// idleMargin keeps an idle connection open for a little longer than callers may reuse it.
	idleMargin = time.Second
)

type (
	// conns tracks callers' connections. It closes those that are idle, or have not completed a request header, for longer
	// than the configuration in force allows. The limits change while connections are open, so the timeouts of http.Server
	// are not used.
	conns struct {
		mu    sync.Mutex
		conns map[net.Conn]*callerConn

		closedIdle metrics.Counter
		// orphaned counts the requests whose handler began after the host had closed their connection.
		orphaned metrics.Counter
	}

	// callerConn is one connection of a caller. The lock of conns guards its fields.
	callerConn struct {
		// state is what the server reported last, at the time since.
		state http.ConnState
		since time.Time
		// handling reports whether a handler works on a request of this connection.
		handling bool
		// closed reports whether this host has closed the connection.
		closed bool
	}

	// connCounts are the numbers of open connections by what they wait for.
	connCounts struct {
		// New connections have not sent a whole request header, idle ones are between two requests.
		New  int `json:"new"`
		Idle int `json:"idle"`
		// Handling is the number of connections with a request in progress, Flushing of those whose handler has returned
		// and whose response is not yet sent to its end.
		Handling int `json:"handling"`
		Flushing int `json:"flushing"`
	}

	callerConnKey struct{}
)

func newConns(r metrics.Registry) *conns {
	return &conns{
		conns:      map[net.Conn]*callerConn{},
		closedIdle: metrics.NewRegisteredCounter("connections.closed_idle", r), orphaned: metrics.NewRegisteredCounter("requests.orphaned", r),
	}
}

// add records a new connection; it is the server's ConnContext hook.
func (c *conns) add(ctx context.Context, conn net.Conn) context.Context {
	c.mu.Lock()
	defer c.mu.Unlock()
	cc := &callerConn{state: http.StateNew, since: time.Now()}
	c.conns[conn] = cc
	return context.WithValue(ctx, callerConnKey{}, cc)
}

// track records the state of a connection; it is the server's ConnState hook.
func (c *conns) track(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if state == http.StateClosed || state == http.StateHijacked {
		delete(c.conns, conn)
		return
	}
	if cc, open := c.conns[conn]; open {
		cc.state, cc.since = state, time.Now()
	}
}

// begin records that a handler works on a request, until end is called; ctx is the request's context. It reports false if the
// host has closed the connection, so that there is none for a response: the server reports a connection as active only once it has
// decoded a whole header.
func (c *conns) begin(ctx context.Context) (end func(), open bool) {
	cc, known := ctx.Value(callerConnKey{}).(*callerConn)
	if !known {
		return func() {}, true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if cc.closed {
		c.orphaned.Inc(1)
		return nil, false
	}
	cc.handling = true
	return func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		cc.handling = false
	}, true
}

func (c *conns) counts() connCounts {
	c.mu.Lock()
	defer c.mu.Unlock()
	var n connCounts
	for _, cc := range c.conns {
		switch {
		case cc.handling:
			n.Handling++
		case cc.state == http.StateIdle:
			n.Idle++
		case cc.state == http.StateNew:
			n.New++
		default:
			n.Flushing++
		}
	}
	return n
}

// LogValue implements slog.LogValuer.
func (n connCounts) LogValue() slog.Value {
	return slog.GroupValue(slog.Int("new", n.New), slog.Int("idle", n.Idle), slog.Int("handling", n.Handling), slog.Int("flushing", n.Flushing))
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

// closeIdle closes the connections that are between two requests and returns the numbers of those that are left.
func (c *conns) closeIdle() connCounts {
	c.closeAll(http.StateIdle)
	return c.counts()
}

// closeNew closes the connections on which no request has arrived.
func (c *conns) closeNew() { c.closeAll(http.StateNew) }

func (c *conns) closeAll(state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn, cc := range c.conns {
		if cc.state == state {
			c.close(conn, cc)
		}
	}
}

// close closes a connection. The caller must hold the lock.
func (c *conns) close(conn net.Conn, cc *callerConn) {
	if cc.state == http.StateIdle {
		c.closedIdle.Inc(1)
	}
	cc.closed = true
	// The server's next read fails, and it reports the connection as closed.
	_ = conn.Close()
	delete(c.conns, conn)
}

func (c *conns) sweep(l usherroute.Limits) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	for conn, cc := range c.conns {
		age := now.Sub(cc.since)
		idle := cc.state == http.StateIdle && l.IdleTimeout > 0 && age > l.IdleTimeout+idleMargin
		// The server marks a connection as active only once it has read a whole header.
		slow := cc.state == http.StateNew && l.HeaderTimeout > 0 && age > l.HeaderTimeout+idleMargin
		if idle || slow {
			c.close(conn, cc)
		}
	}
}
