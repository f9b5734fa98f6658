// Package usherpipe serves an http.Handler over in-memory connections, so that tests of the handler can run in the
// virtual time of testing/synctest.
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
	// Client sends requests to one handler. The host in the URL is ignored.
	Client struct {
		http.Client
		server      *http.Server
		transport   *http.Transport
		serverDone  sync.WaitGroup
		connections sync.WaitGroup
	}

	listener struct {
		connections chan net.Conn
		closed      chan struct{}
		once        sync.Once
	}

	address struct{}
)

// Serve starts a server for handler and returns a client of it.
func Serve(handler http.Handler) *Client {
	pipes := &listener{connections: make(chan net.Conn), closed: make(chan struct{})}
	c := &Client{transport: &http.Transport{DialContext: pipes.dial}}
	c.server = &http.Server{Handler: handler, ErrorLog: log.New(io.Discard, "", 0), ConnState: c.trackConnection}
	c.Transport = c.transport
	c.serverDone.Go(func() { c.server.Serve(pipes) })
	return c
}

// Close closes all connections and waits until no handler is running.
func (c *Client) Close() {
	c.server.Close()
	c.serverDone.Wait()
	c.connections.Wait()
	c.transport.CloseIdleConnections()
}

func (c *Client) trackConnection(_ net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		c.connections.Add(1)
	case http.StateClosed:
		c.connections.Done()
	}
}

func (l *listener) dial(ctx context.Context, _, _ string) (net.Conn, error) {
	clientConn, serverConn := net.Pipe()
	select {
	case l.connections <- serverConn:
		return clientConn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Accept returns the server side of the next connection.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case connection := <-l.connections:
		return connection, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close makes Accept return an error.
func (l *listener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// Addr returns an address that is the same for all in-memory connections.
func (l *listener) Addr() net.Addr {
	return address{}
}

// Network returns the name of the in-memory network.
func (address) Network() string { return "pipe" }

// String returns the address as text.
func (address) String() string { return "pipe" }
