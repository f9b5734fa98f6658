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
)

type (
	// sending watches one request: it asks the guard once, at the first byte, and knows whether any byte was written.
	sending struct {
		guard   Guard
		asked   sync.Once
		refusal error
		state   atomic.Int32
	}

	// guardedConn is a connection whose writes the current request's guard allows. HTTP/1.1 serves one request at a
	// time on a connection, so the current request is the one that the transport last handed the connection to.
	//
	// The target has told its incarnation on this connection before anything else. The connection ends with the process
	// that told it, so whatever is written here reaches that incarnation or none.
	guardedConn struct {
		net.Conn
		incarnation uint64
		current     atomic.Pointer[sending]
	}
)

// States of a sending. It leaves unwritten once: when its first byte may go out, or when its evidence is taken.
const (
	unwritten int32 = iota
	written
	sealed
)

// newSending returns the watch of a request and the context under which the request is to be made.
func newSending(ctx context.Context, guard Guard) (*sending, context.Context) {
	s := &sending{guard: guard}
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if conn, ok := info.Conn.(*guardedConn); ok {
			conn.current.Store(s)
		}
	}}
	return s, httptrace.WithClientTrace(ctx, trace)
}

// allow asks the guard before the first byte.
func (s *sending) allow(incarnation uint64) error {
	s.asked.Do(func() {
		if err := s.guard(incarnation); err != nil {
			s.refusal = ErrGuard.Wrap(err, "not sent")
		}
	})
	return s.refusal
}

// Write refuses the bytes of a request that its guard forbids.
func (c *guardedConn) Write(data []byte) (int, error) {
	s := c.current.Load()
	if s == nil {
		return c.Conn.Write(data)
	}
	if err := s.allow(c.incarnation); err != nil {
		return 0, err
	}
	first := s.state.CompareAndSwap(unwritten, written)
	if s.state.Load() == sealed {
		return 0, ErrGuard.New("given up before its first byte")
	}
	count, err := c.Conn.Write(data)
	if first && count == 0 && err != nil {
		s.state.Store(sealed) // none went out, and none will
	}
	return count, err
}

// evidence returns whether the request may have been written. Once it says no, the request never will be: the
// transport may still be about to write when its caller has given up.
func (s *sending) evidence() bool {
	return !s.state.CompareAndSwap(unwritten, sealed) && s.state.Load() == written
}

func dialGuarded(dial Dial) Dial {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		incarnation, err := askIncarnation(conn, address)
		if err != nil {
			return nil, errors.Join(err, conn.Close())
		}
		return &guardedConn{Conn: conn, incarnation: incarnation}, nil
	}
}

// askIncarnation reads the target's load report on a connection that carries nothing else yet.
func askIncarnation(conn net.Conn, address string) (uint64, error) {
	if err := conn.SetDeadline(time.Now().Add(dialTimeout)); err != nil {
		return 0, ErrConnection.Wrap(err, "deadline")
	}
	request, err := http.NewRequest(http.MethodGet, "http://"+address+reportPath, nil)
	if err != nil {
		return 0, ErrMalformed.Wrap(err, "request")
	}
	if err := request.Write(conn); err != nil {
		return 0, ErrConnection.Wrap(err, "ask incarnation")
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), request)
	if err != nil {
		return 0, ErrConnection.Wrap(err, "ask incarnation")
	}
	defer response.Body.Close()
	var report Report
	if err := decode(response.Body, &report); err != nil {
		return 0, err
	}
	// The rest of the body goes too: the connection's next bytes answer the next request.
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0, ErrConnection.Wrap(err, "ask incarnation")
	}
	if response.Close {
		return 0, ErrConnection.New("target closes after its report")
	}
	return report.Incarnation, conn.SetDeadline(time.Time{})
}

// noGuard allows every sending; requests that only read use it.
func noGuard(uint64) error {
	return nil
}
