package daemon_test

import (
	"io"
	"net"
	"sync"
	"time"
)

const (
	proxyPasses proxyMode = iota
	// proxyDelays delays each chunk of data by proxyDelay.
	proxyDelays
	// proxyResets resets the existing connections and each new one.
	proxyResets
	// proxyDiscards reads data in both directions and discards it.
	proxyDiscards
	// proxyOneWay discards the data sent to the client.
	proxyOneWay
	proxyModes

	proxyDelay       = 80 * time.Millisecond
	proxyBufferBytes = 16 << 10
)

type (
	// proxyMode selects what a proxy does to its connections.
	proxyMode int

	// faultProxy is a loopback TCP proxy in front of one server.
	faultProxy struct {
		listener net.Listener
		to       string

		mu    sync.Mutex
		mode  proxyMode
		conns map[net.Conn]bool
	}
)

func newFaultProxy(at, to string) (*faultProxy, error) {
	listener, err := net.Listen("tcp4", at)
	if err != nil {
		return nil, err
	}
	p := &faultProxy{listener: listener, to: to, conns: map[net.Conn]bool{}}
	go p.accept()
	return p, nil
}

func (p *faultProxy) accept() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.forward(client)
	}
}

func (p *faultProxy) forward(client net.Conn) {
	defer client.Close()
	server, err := net.Dial("tcp4", p.to)
	if err != nil || p.currentMode() == proxyResets {
		abort(client)
		return
	}
	defer server.Close()
	p.track(client, true)
	defer p.track(client, false)
	done := make(chan struct{}, 2)
	go func() { p.copy(server, client, false); done <- struct{}{} }()
	go func() { p.copy(client, server, true); done <- struct{}{} }()
	<-done
}

// copy relays data from one connection to the other. toClient is set for the direction from the server to the client.
func (p *faultProxy) copy(to io.Writer, from io.Reader, toClient bool) {
	buffer := make([]byte, proxyBufferBytes)
	for {
		n, err := from.Read(buffer)
		mode := p.currentMode()
		if mode == proxyDelays {
			time.Sleep(proxyDelay)
		}
		if discard := mode == proxyDiscards || mode == proxyOneWay && toClient; n > 0 && !discard {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

func (p *faultProxy) track(conn net.Conn, tracked bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if tracked {
		p.conns[conn] = true
	} else {
		delete(p.conns, conn)
	}
}

func (p *faultProxy) currentMode() proxyMode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

func (p *faultProxy) setMode(mode proxyMode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	// The bytes that were discarded are lost, so the connections in these modes cannot be used any more.
	if lossy := p.mode == proxyDiscards || p.mode == proxyOneWay; mode == proxyResets || lossy {
		for conn := range p.conns {
			abort(conn)
		}
	}
	p.mode = mode
}

// abort closes a connection with a TCP reset.
func abort(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}
