package ushertarget

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"

	"github.com/samphireusher/samphireusher/pkg/usherconn"
	"github.com/samphireusher/samphireusher/pkg/usherresponse"
)

type (
	// writeGuard guards the writes of one request: it calls the guard once, before the first byte, and tracks whether any
	// byte may have been written.
	writeGuard struct {
		guard Guard
		once  sync.Once
		err   error
		state atomic.Int32
	}

	// guardedConn is a connection that writes only what the current request's guard permits. HTTP/1.1 carries one request
	// at a time on a connection, so the current request is the one for which the transport last obtained the connection.
	//
	// The target's incarnation is read on this connection before any request is sent. The connection does not outlive the
	// process that reported it, so data written here reaches that incarnation or none.
	guardedConn struct {
		net.Conn
		incarnation uint64
		current     atomic.Pointer[writeGuard]
	}
)

// States of a writeGuard. It leaves unwritten once: for written when the first byte may be written, or for blocked when
// mayHaveWritten is called before that.
const (
	unwritten int32 = iota
	written
	blocked
)

// newWriteGuard returns the guard of a request and the context with which the request must be created.
func newWriteGuard(ctx context.Context, guard Guard) (*writeGuard, context.Context) {
	w := &writeGuard{guard: guard}
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if conn, ok := info.Conn.(*guardedConn); ok {
			conn.current.Store(w)
		}
	}}
	return w, httptrace.WithClientTrace(ctx, trace)
}

// check calls the guard before the first byte and returns its verdict for all writes of the request.
func (w *writeGuard) check(incarnation uint64) error {
	w.once.Do(func() {
		if err := w.guard(incarnation); err != nil {
			w.err = ErrGuard.Wrap(err, "request not sent")
		}
	})
	return w.err
}

// Write fails without writing if the guard of the current request rejects it.
func (c *guardedConn) Write(data []byte) (int, error) {
	w := c.current.Load()
	if w == nil {
		return c.Conn.Write(data)
	}
	if err := w.check(c.incarnation); err != nil {
		return 0, err
	}
	first := w.state.CompareAndSwap(unwritten, written)
	if w.state.Load() == blocked {
		return 0, ErrGuard.New("request abandoned before its first byte was written")
	}
	count, err := c.Conn.Write(data)
	if first && count == 0 && err != nil {
		w.state.Store(blocked) // nothing was written, and nothing will be
	}
	return count, err
}

// mayHaveWritten reports whether any byte of the request may have been written. After it has returned false, later writes
// are blocked: the transport may be about to write although the caller has already abandoned the request.
func (w *writeGuard) mayHaveWritten() bool {
	return !w.state.CompareAndSwap(unwritten, blocked) && w.state.Load() == written
}

// rejection returns the error of the guard if it has rejected the request. It must be called after mayHaveWritten: the guard is not asked any
// more after that.
func (w *writeGuard) rejection() error {
	w.once.Do(func() {})
	return w.err
}

func dialGuarded(dial Dial) Dial {
	dial = usherconn.Dialer(dial)
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		incarnation, err := fetchIncarnation(conn, address)
		if err != nil {
			return nil, errors.Join(err, conn.Close())
		}
		return &guardedConn{Conn: conn, incarnation: incarnation}, nil
	}
}

// fetchIncarnation reads the target's incarnation from its load report, as the first request on a new connection.
func fetchIncarnation(conn net.Conn, address string) (uint64, error) {
	if err := conn.SetDeadline(time.Now().Add(dialTimeout)); err != nil {
		return 0, ErrConnection.Wrap(err, "set deadline")
	}
	request, err := http.NewRequest(http.MethodGet, "http://"+address+reportPath, nil)
	if err != nil {
		return 0, ErrMalformed.Wrap(err, "create request")
	}
	if err := request.Write(conn); err != nil {
		return 0, ErrConnection.Wrap(err, "fetch incarnation")
	}
	// net/http bounds the heads that its own connections read, but not this one.
	bounded := io.LimitReader(conn, maxHeaderBytes+maxResponseBytes)
	response, err := http.ReadResponse(bufio.NewReader(bounded), request)
	if err != nil {
		return 0, ErrConnection.Wrap(err, "fetch incarnation")
	}
	defer response.Body.Close()
	if err := usherresponse.Check(response); err != nil {
		return 0, ErrConnection.Wrap(err, "fetch incarnation")
	}
	if response.StatusCode != http.StatusOK {
		return 0, ErrConnection.New("target responded to the request for its load report with status %q", response.Status)
	}
	var report Report
	if err := decode(response.Body, &report); err != nil {
		return 0, err
	}
	// Read the rest of the body, so that the connection is positioned at the response to the next request.
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0, ErrConnection.Wrap(err, "fetch incarnation")
	}
	if response.Close {
		return 0, ErrConnection.New("target closes the connection after its load report")
	}
	return report.Incarnation, conn.SetDeadline(time.Time{})
}

// allowAll is the guard of requests that need no grant: it accepts every incarnation.
func allowAll(uint64) error {
	return nil
}
