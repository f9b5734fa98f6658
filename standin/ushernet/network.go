// Package ushernet is a small network in memory, for tests in virtual time.
//
// It gives what a process gets from its host: listeners and connections for HTTP and packet sockets for QUIC, between
// addresses that only exist here. Everything arrives after the network's latency. A link from one host to another can be
// cut, in one direction or both: packets are lost, and connections stall until the link heals, as TCP does. All
// waiting is on channels and timers, so that tests run under testing/synctest.
//
// # Usage
//
//	network := ushernet.New(ushernet.Options{Latency: time.Millisecond})
//	listener, err := network.Listen(netip.MustParseAddrPort("127.0.1.1:80"))
//	conn, err := network.Dialer(netip.MustParseAddr("127.0.1.2"))(ctx, "tcp", "127.0.1.1:80")
//	network.Block(a, b) // nothing that a sends reaches b
//	network.Heal()
package ushernet

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/joomcode/errorx"
)

// DefaultLatency is the time that everything takes one way where Options do not say.
const DefaultLatency = 500 * time.Microsecond

// heldPackets is what the socket of a paused host holds, about as many as a kernel does by default.
const heldPackets = 256

var (
	// Errors is the namespace of this package's errors.
	Errors = errorx.NewNamespace("usher_net")
	// ErrRefused says that nobody listens at an address.
	ErrRefused = Errors.NewType("refused")
	// ErrInUse says that somebody listens there already.
	ErrInUse = Errors.NewType("in_use")
)

type (
	// Options set what a network does to what crosses it.
	Options struct {
		// Latency is the time that everything takes one way; zero stands for DefaultLatency.
		Latency time.Duration
		// Loss is the share of packets that are lost; connections lose nothing.
		Loss float64
		// Seed chooses which.
		Seed uint64
	}

	// DialFunc opens a connection. It can be used as http.Transport.DialContext.
	DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

	// Network is a network in memory. It is safe for use by several goroutines.
	Network struct {
		options Options

		mu        sync.Mutex
		random    *rand.Rand
		listeners map[netip.AddrPort]*listener
		sockets   map[netip.AddrPort]*socket
		cuts      map[link]bool
		paused    map[netip.Addr]bool
		held      map[netip.AddrPort][]packet
		changed   chan struct{}
		nextPort  uint16
	}

	// link is one direction between two hosts.
	link struct {
		from, to netip.Addr
	}
)

// New returns a network without hosts.
func New(options Options) *Network {
	const firstEphemeralPort = 32768
	if options.Latency <= 0 {
		options.Latency = DefaultLatency
	}
	return &Network{
		options:   options,
		random:    rand.New(rand.NewPCG(options.Seed, 0)),
		listeners: map[netip.AddrPort]*listener{},
		sockets:   map[netip.AddrPort]*socket{},
		cuts:      map[link]bool{},
		paused:    map[netip.Addr]bool{},
		held:      map[netip.AddrPort][]packet{},
		changed:   make(chan struct{}),
		nextPort:  firstEphemeralPort,
	}
}

// Block stops all traffic from one host to another. The opposite direction is not affected.
func (n *Network) Block(from, to netip.Addr) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cuts[link{from, to}] = true
}

// Partition blocks all links between two groups of hosts, in both directions.
func (n *Network) Partition(a, b []netip.Addr) {
	for _, x := range a {
		for _, y := range b {
			n.Block(x, y)
			n.Block(y, x)
		}
	}
}

// Unblock reverses Block for the link from one host to another.
func (n *Network) Unblock(from, to netip.Addr) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.cuts, link{from, to})
	n.wake()
}

// Pause lets nothing leave a host, as when its process is paused. What is sent there waits in its sockets and connections
// until Resume, up to what those hold.
func (n *Network) Pause(host netip.Addr) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.paused[host] = true
}

// Resume ends what Pause began; single cuts stay.
func (n *Network) Resume(host netip.Addr) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.resume(host)
	n.wake()
}

// resume hands a host the packets that waited for it. The caller holds the lock.
func (n *Network) resume(host netip.Addr) {
	delete(n.paused, host)
	for to, packets := range n.held {
		if to.Addr() != host {
			continue
		}
		for _, p := range packets {
			n.arrive(p, to)
		}
		delete(n.held, to)
	}
}

// Heal mends all links and lets all hosts go on.
func (n *Network) Heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.cuts)
	for host := range n.paused {
		n.resume(host)
	}
	n.wake()
}

// wake tells those that wait for a link to look again. The caller holds the lock.
func (n *Network) wake() {
	close(n.changed)
	n.changed = make(chan struct{})
}

// cut reports whether a link is cut. The caller holds the lock.
func (n *Network) cut(l link) bool {
	return n.cuts[l] || n.paused[l.from] || n.paused[l.to]
}

// Address returns the address of the host with a number, which is its own.
func (n *Network) Address(number int) netip.AddrPort {
	const (
		port    = 7000
		perByte = 256
	)
	ip := [4]byte{127, 1, byte(number / perByte), byte(number % perByte)}
	return netip.AddrPortFrom(netip.AddrFrom4(ip), port)
}

// Listen accepts connections at address.
func (n *Network) Listen(address netip.AddrPort) (net.Listener, error) {
	const backlog = 1024
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listeners[address] != nil {
		return nil, ErrInUse.New("%s", address)
	}
	l := &listener{network: n, address: address, backlog: make(chan net.Conn, backlog), closed: make(chan struct{})}
	n.listeners[address] = l
	return l, nil
}

// ListenPacket opens a packet socket at address.
func (n *Network) ListenPacket(address netip.AddrPort) (net.PacketConn, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.sockets[address] != nil {
		return nil, ErrInUse.New("%s", address)
	}
	s := newSocket(n, address)
	n.sockets[address] = s
	return s, nil
}

// Dialer returns how the host at from opens connections.
func (n *Network) Dialer(from netip.Addr) DialFunc {
	return func(ctx context.Context, _, address string) (net.Conn, error) {
		to, err := netip.ParseAddrPort(address)
		if err != nil {
			return nil, refused(ErrRefused.Wrap(err, "dial %q", address))
		}
		if err := n.reach(ctx, from, to.Addr()); err != nil {
			return nil, refused(err)
		}
		n.mu.Lock()
		l := n.listeners[to]
		n.nextPort++
		near, far := n.pair(netip.AddrPortFrom(from, n.nextPort), to)
		accepted := l != nil && l.offer(far)
		n.mu.Unlock()
		if !accepted {
			return nil, refused(ErrRefused.New("nobody listens at %s", to))
		}
		return near, nil
	}
}

// refused returns the error that a net.Dialer returns where no connection came about.
func refused(cause error) error {
	return &net.OpError{Op: "dial", Net: "tcp", Err: cause}
}

// reach waits for one round trip between two hosts.
func (n *Network) reach(ctx context.Context, a, b netip.Addr) error {
	for {
		n.mu.Lock()
		open := !n.cut(link{a, b}) && !n.cut(link{b, a})
		changed := n.changed
		n.mu.Unlock()
		if open {
			break
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ErrRefused.Wrap(ctx.Err(), "dial from %s to %s", a, b)
		}
	}
	select {
	case <-time.After(2 * n.options.Latency):
		return nil
	case <-ctx.Done():
		return ErrRefused.Wrap(ctx.Err(), "dial from %s to %s", a, b)
	}
}

// state returns whether a link is cut, and a channel that is closed when links heal.
func (n *Network) state(l link) (cut bool, changed <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cut(l), n.changed
}

// deliver hands a packet to its socket, which shows it after the latency, unless the link is cut or loses it, or its
// host is paused.
func (n *Network) deliver(p packet, to netip.AddrPort) {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := link{p.from.Addr(), to.Addr()}
	if n.cuts[l] || n.paused[l.from] || n.options.Loss > 0 && n.random.Float64() < n.options.Loss {
		return
	}
	if !n.paused[l.to] {
		n.arrive(p, to)
		return
	}
	if len(n.held[to]) < heldPackets {
		n.held[to] = append(n.held[to], p)
	}
}

// arrive hands a packet to its socket. The caller holds the lock.
func (n *Network) arrive(p packet, to netip.AddrPort) {
	if s := n.sockets[to]; s != nil {
		p.at = time.Now().Add(n.options.Latency)
		s.receive(p)
	}
}
