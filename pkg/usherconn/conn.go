// Package usherconn provides client connections that report a reset to their reader, even if a write has received the error.
//
// The kernel returns the error of a socket from one system call only. If the peer resets a connection while a request is still being
// written, that call is often the write. The read then returns an ordinary end, and a response that is delimited by the end of its
// connection looks complete although it was cut off. A Conn returns the error of the write in place of such an end.
//
// A peer that shuts down its sending side has sent all of its response, and may still refuse the rest of the request. The write then
// fails with EPIPE, and the read returns the end.
//
// # Usage
//
//	conn, err := usherconn.Dialer(dialer.DialContext)(ctx, "tcp", address)
//	client := &http.Client{Transport: &http.Transport{DialContext: usherconn.Dialer(dialer.DialContext)}}
package usherconn

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// Conn is the client's end of a connection. A read that returns the end also ends a write in progress.
type Conn struct {
	net.Conn
	// writing is held during each write. It guards failure, the first error of a write that shows a broken connection.
	writing sync.Mutex
	failure error
}

// New returns a Conn that uses conn.
func New(conn net.Conn) *Conn { return &Conn{Conn: conn} }

// Dialer returns a function that opens connections with dial and returns them as Conns. It can be used as http.Transport.DialContext.
func Dialer(dial func(ctx context.Context, network, address string) (net.Conn, error)) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return New(conn), nil
	}
}

// Write implements net.Conn.
func (c *Conn) Write(data []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(data)
	if c.failure == nil && isBroken(err) {
		c.failure = err
	}
	return n, err
}

// Read implements net.Conn. It returns io.EOF only if no write has shown that the connection is broken, and the error of that write
// otherwise.
func (c *Conn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	if errors.Is(err, io.EOF) {
		if failure := c.writeFailure(); failure != nil {
			return n, failure
		}
	}
	return n, err
}

// writeFailure returns the failure of the writes up to now. A write in progress is made to return: if it has received the error of the
// socket, it reports that and not the deadline.
func (c *Conn) writeFailure() error {
	if !c.writing.TryLock() {
		if err := c.Conn.SetWriteDeadline(time.Now()); err != nil {
			return err
		}
		c.writing.Lock()
	}
	defer c.writing.Unlock()
	return c.failure
}

// isBroken reports whether the error of a write shows that the connection has not ended in an orderly way.
func isBroken(err error) bool {
	switch {
	case err == nil:
		return false
	case errors.Is(err, os.ErrDeadlineExceeded), errors.Is(err, net.ErrClosed):
		// Caused at this end.
		return false
	case errors.Is(err, syscall.EPIPE), errors.Is(err, io.ErrClosedPipe):
		// The end of the peer's data has arrived before, or a read has returned the error of the socket.
		return false
	default:
		return true
	}
}
