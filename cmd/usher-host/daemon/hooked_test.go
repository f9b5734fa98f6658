package daemon_test

import (
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/samphireusher/samphireusher/service/usherhost"
)

type (
	// delays hold up the callers' connections of a host. The zero value holds up nothing.
	delays struct {
		// read is the time between the end of a read and its return to the HTTP server, as if the process were scheduled late.
		read atomic.Int64
		// write is the time that a write takes, as if the caller were slow to read.
		write atomic.Int64
	}

	delayedNetwork struct {
		usherhost.Network
		delays *delays
	}

	delayedListener struct {
		net.Listener
		delays *delays
	}

	delayedConn struct {
		net.Conn
		delays *delays
	}
)

// hold returns an option that lets d hold up the callers' connections of all hosts.
func (d *delays) hold(p *usherhost.Platform) {
	p.Network = delayedNetwork{Network: p.Network, delays: d}
}

func (n delayedNetwork) Listen(address netip.AddrPort) (net.Listener, error) {
	listener, err := n.Network.Listen(address)
	if err != nil || address.Port() != callerPort {
		return listener, err
	}
	return delayedListener{Listener: listener, delays: n.delays}, nil
}

func (l delayedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return delayedConn{Conn: conn, delays: l.delays}, nil
}

func (c delayedConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	time.Sleep(time.Duration(c.delays.read.Load()))
	return n, err
}

func (c delayedConn) Write(data []byte) (int, error) {
	time.Sleep(time.Duration(c.delays.write.Load()))
	return c.Conn.Write(data)
}

func (c delayedConn) CloseWrite() error { return c.Conn.(interface{ CloseWrite() error }).CloseWrite() }
