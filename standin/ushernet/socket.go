package ushernet

import (
	"net"
	"net/netip"
	"os"
	"sync"
	"time"
)

// maxQueuedPackets is the number of packets that a socket queues; further packets are lost.
const maxQueuedPackets = 4096

type (
	packet struct {
		from    netip.AddrPort
		arrival time.Time
		data    []byte
	}

	// socket is a packet socket.
	socket struct {
		network   *Network
		address   netip.AddrPort
		queue     chan packet
		closeOnce sync.Once
		closed    chan struct{}

		mu              sync.Mutex
		deadline        time.Time
		deadlineChanged chan struct{}
	}
)

func newSocket(n *Network, address netip.AddrPort) *socket {
	return &socket{
		network: n, address: address, queue: make(chan packet, maxQueuedPackets),
		closed: make(chan struct{}), deadlineChanged: make(chan struct{}),
	}
}

func (s *socket) enqueue(p packet) {
	select {
	case s.queue <- p:
	default:
	}
}

// ReadFrom implements net.PacketConn.
func (s *socket) ReadFrom(data []byte) (int, net.Addr, error) {
	for {
		s.mu.Lock()
		deadline, changed := s.deadline, s.deadlineChanged
		s.mu.Unlock()
		timeout, stop := timerAt(deadline)
		select {
		case p := <-s.queue:
			stop()
			s.waitUntil(p.arrival)
			return copy(data, p.data), net.UDPAddrFromAddrPort(p.from), nil
		case <-timeout:
			return 0, nil, os.ErrDeadlineExceeded
		case <-changed:
		case <-s.closed:
			stop()
			return 0, nil, net.ErrClosed
		}
		stop()
	}
}

// waitUntil waits until the time of a packet's arrival or the socket is closed. Packets arrive in the order in which they
// were sent.
func (s *socket) waitUntil(arrival time.Time) {
	timeout, stop := timerAt(arrival)
	defer stop()
	if !time.Now().Before(arrival) {
		return
	}
	select {
	case <-timeout:
	case <-s.closed:
	}
}

// timerAt returns a channel that receives at t, at once if t has passed, or never if t is zero.
func timerAt(t time.Time) (fires <-chan time.Time, stop func()) {
	if t.IsZero() {
		return nil, func() {}
	}
	left := time.Until(t)
	if left <= 0 {
		expired := make(chan time.Time, 1)
		expired <- t
		return expired, func() {}
	}
	timer := time.NewTimer(left)
	return timer.C, func() { timer.Stop() }
}

// WriteTo implements net.PacketConn.
func (s *socket) WriteTo(data []byte, to net.Addr) (int, error) {
	select {
	case <-s.closed:
		return 0, net.ErrClosed
	default:
	}
	address, err := netip.ParseAddrPort(to.String())
	if err != nil {
		return 0, ErrRefused.Wrap(err, "send to %s", to)
	}
	s.network.sendPacket(packet{from: s.address, data: append([]byte{}, data...)}, address)
	return len(data), nil
}

// Close implements net.PacketConn.
func (s *socket) Close() error {
	s.closeOnce.Do(func() {
		close(s.closed)
		s.network.mu.Lock()
		defer s.network.mu.Unlock()
		delete(s.network.sockets, s.address)
	})
	return nil
}

// LocalAddr implements net.PacketConn.
func (s *socket) LocalAddr() net.Addr { return net.UDPAddrFromAddrPort(s.address) }

// SetDeadline implements net.PacketConn.
func (s *socket) SetDeadline(t time.Time) error { return s.SetReadDeadline(t) }

// SetReadDeadline implements net.PacketConn.
func (s *socket) SetReadDeadline(t time.Time) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deadline = t
	close(s.deadlineChanged)
	s.deadlineChanged = make(chan struct{})
	return nil
}

// SetWriteDeadline implements net.PacketConn. It does nothing, as writes never block.
func (s *socket) SetWriteDeadline(time.Time) error { return nil }
