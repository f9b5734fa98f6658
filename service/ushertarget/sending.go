package ushertarget

import (
	"context"
	"net"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
)

type (
	// sending watches one request: it asks the guard once, at the first byte, and knows whether any byte was written.
	sending struct {
		ask     func() error
		written atomic.Bool
	}

	// guardedConn is a connection whose writes the current request's guard allows. HTTP/1.1 serves one request at a
	// time on a connection, so the current request is the one that the transport last handed the connection to.
	guardedConn struct {
		net.Conn
		current atomic.Pointer[sending]
	}
)

// newSending returns the watch of a request and the context under which the request is to be made.
func newSending(ctx context.Context, guard Guard) (*sending, context.Context) {
	s := &sending{ask: sync.OnceValue(guard)}
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if conn, ok := info.Conn.(*guardedConn); ok {
			conn.current.Store(s)
		}
	}}
	return s, httptrace.WithClientTrace(ctx, trace)
}

// allow asks the guard before the first byte.
func (s *sending) allow() error {
	if err := s.ask(); err != nil {
		return ErrGuard.Wrap(err, "not sent")
	}
	s.written.Store(true)
	return nil
}

// Write refuses the bytes of a request that its guard forbids.
func (c *guardedConn) Write(data []byte) (int, error) {
	if s := c.current.Load(); s != nil {
		if err := s.allow(); err != nil {
			return 0, err
		}
	}
	return c.Conn.Write(data)
}

func dialGuarded(dialer *net.Dialer) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &guardedConn{Conn: conn}, nil
	}
}

// noGuard allows every sending; requests that only read use it.
func noGuard() error {
	return nil
}
