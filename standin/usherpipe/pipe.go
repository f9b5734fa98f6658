// Package usherpipe serves an http.Handler over in-memory connections, so that its tests run in virtual time.
//
// # Usage
//
//	client := usherpipe.Serve(handler)
//	defer client.Close()
//	response, err := client.Get("http://standin/v1/report")
package usherpipe

import (
	"context"
	"io"
	"log"
	"net"
	"net/http"
	"sync"
)

type (
	// Client sends requests to one handler; the host in their address is ignored.
	Client struct {
		http.Client
		server      *http.Server
		transport   *http.Transport
		served      sync.WaitGroup
		connections sync.WaitGroup
	}

	listener struct {
		connections chan net.Conn
		closed      chan struct{}
		once        sync.Once
	}

	address struct{}
)

// Serve starts a server of handler and returns its client.
func Serve(handler http.Handler) *Client {
	pipes := &listener{connections: make(chan net.Conn), closed: make(chan struct{})}
	c := &Client{transport: &http.Transport{DialContext: pipes.dial}}
	c.server = &http.Server{Handler: handler, ErrorLog: log.New(io.Discard, "", 0), ConnState: c.count}
	c.Transport = c.transport
	c.served.Go(func() { c.server.Serve(pipes) })
	return c
}

// Close cuts all connections and waits until no handler runs any more.
func (c *Client) Close() {
	c.server.Close()
	c.served.Wait()
	c.connections.Wait()
	c.transport.CloseIdleConnections()
}

func (c *Client) count(_ net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		c.connections.Add(1)
	case http.StateClosed:
		c.connections.Done()
	}
}

func (l *listener) dial(ctx context.Context, _, _ string) (net.Conn, error) {
	near, far := net.Pipe()
	select {
	case l.connections <- far:
		return near, nil
	case <-l.closed:
		return nil, net.ErrClosed
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Accept returns the far end of the next connection.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case connection := <-l.connections:
		return connection, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close ends Accept.
func (l *listener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// Addr returns the address that all in-memory connections share.
func (l *listener) Addr() net.Addr {
	return address{}
}

// Network returns the name of the in-memory network.
func (address) Network() string { return "pipe" }

// String returns the text of the address.
func (address) String() string { return "pipe" }
