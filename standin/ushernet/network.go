// Package ushernet implements an in-memory network for tests in virtual time.
//
// It provides what a process gets from its host: listeners and connections for HTTP, and packet sockets for QUIC. The
// addresses exist in the network only. All data arrives after the network's latency. A link from one host to another can
// be blocked, in one direction or both: packets are lost, and connections stall until the link is unblocked, as those of
// TCP do. Open connections can also go silent for good. All waiting uses channels and timers, so that tests can run under testing/synctest.
//
// # Usage
//
//	network := ushernet.New(ushernet.Options{Latency: time.Millisecond})
//	listener, err := network.Listen(netip.MustParseAddrPort("127.0.1.1:80"))
//	conn, err := network.Dialer(netip.MustParseAddr("127.0.1.2"))(ctx, "tcp", "127.0.1.1:80")
//	network.Block(a, b) // nothing that a sends reaches b
//	network.Silence(a, b, 0) // open connections carry nothing any more, new ones work
//	network.Heal()
package ushernet

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/joomcode/errorx"
)

// DefaultLatency is the one-way latency if Options sets none.
const DefaultLatency = 500 * time.Microsecond

// maxHeldPackets is the number of packets that are held for each socket of a paused host, about as many as a kernel
// buffers by default.
const maxHeldPackets = 256

var (
	// Errors is the namespace of this package's errors.
	Errors = errorx.NewNamespace("usher_net")
	// ErrRefused is the type of errors for packets that could not be sent.
	ErrRefused = Errors.NewType("refused")
	// ErrInUse is the type of errors for addresses that already have a listener or socket.
	ErrInUse = Errors.NewType("in_use")
)

type (
	// Options configures a network.
	Options struct {
		// Latency is the one-way latency; zero selects DefaultLatency.
		Latency time.Duration
		// Loss is the fraction of packets that are lost. It does not affect connections.
		Loss float64
		// Seed seeds the choice of lost packets.
		Seed uint64
	}

	// DialFunc opens a connection. It can be used as http.Transport.DialContext.
	DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

	// Network is an in-memory network. It is safe for concurrent use.
	Network struct {
		options Options

		mu        sync.Mutex
		random    *rand.Rand
		listeners map[netip.AddrPort]*listener
		sockets   map[netip.AddrPort]*socket
		blocked   map[link]bool
		paused    map[netip.Addr]bool
		held      map[netip.AddrPort][]packet
		changed   chan struct{}
		nextPort  uint16
		// opened counts the connections.
		opened   int
		silenced map[link]silence
	}

	// silence says which connections on a link carry nothing any more: the first ones up to a number. If detectedAt is set,
	// the end that opened a connection finds out then.
	silence struct {
		upTo       int
		detectedAt time.Time
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
		blocked:   map[link]bool{},
		paused:    map[netip.Addr]bool{},
		held:      map[netip.AddrPort][]packet{},
		changed:   make(chan struct{}),
		nextPort:  firstEphemeralPort,
		silenced:  map[link]silence{},
	}
}

// Block stops all traffic from one host to another. The opposite direction is not affected.
func (n *Network) Block(from, to netip.Addr) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.blocked[link{from, to}] = true
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
	delete(n.blocked, link{from, to})
	n.notify()
}

// Pause stops all traffic of a host, as if its process were paused. Data sent to the host is buffered by its sockets and
// connections until Resume, up to their capacity.
func (n *Network) Pause(host netip.Addr) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.paused[host] = true
}

// Resume reverses Pause. Links that were blocked one by one stay blocked.
func (n *Network) Resume(host netip.Addr) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.resume(host)
	n.notify()
}

// resume delivers the packets that were held for a host. The caller must hold the lock.
func (n *Network) resume(host netip.Addr) {
	delete(n.paused, host)
	for to, packets := range n.held {
		if to.Addr() != host {
			continue
		}
		for _, p := range packets {
			n.deliver(p, to)
		}
		delete(n.held, to)
	}
}

// Silence makes the open connections between two hosts carry nothing any more, for good and in both directions: neither
// data nor the end of a side arrives. New connections work. With a detection time, reads at the end that opened a
// connection fail after it, as with keep-alive probes that get no answer.
func (n *Network) Silence(a, b netip.Addr, detection time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	s := silence{upTo: n.opened}
	if detection > 0 {
		s.detectedAt = time.Now().Add(detection)
	}
	n.silenced[link{a, b}], n.silenced[link{b, a}] = s, s
	n.notify()
}

// Heal unblocks all links and resumes all hosts.
func (n *Network) Heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.blocked)
	for host := range n.paused {
		n.resume(host)
	}
	n.notify()
}

// notify wakes the goroutines that wait for a link to be unblocked. The caller must hold the lock.
func (n *Network) notify() {
	close(n.changed)
	n.changed = make(chan struct{})
}

// isBlocked reports whether a link is blocked or one of its ends paused. The caller must hold the lock.
func (n *Network) isBlocked(l link) bool {
	return n.blocked[l] || n.paused[l.from] || n.paused[l.to]
}

// Address returns the address of the host with the given number. Each host has an IP address of its own.
func (n *Network) Address(number int) netip.AddrPort {
	const (
		port    = 7000
		perByte = 256
	)
	ip := [4]byte{127, 1, byte(number / perByte), byte(number % perByte)}
	return netip.AddrPortFrom(netip.AddrFrom4(ip), port)
}

// Listen opens a listener at address.
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

// Dialer returns the function by which the host at from opens connections.
func (n *Network) Dialer(from netip.Addr) DialFunc {
	return func(ctx context.Context, _, address string) (net.Conn, error) {
		to, err := netip.ParseAddrPort(address)
		if err != nil {
			return nil, dialError(to, err)
		}
		if err := n.awaitRoundTrip(ctx, from, to.Addr()); err != nil {
			return nil, dialError(to, err)
		}
		n.mu.Lock()
		l := n.listeners[to]
		n.nextPort++
		client, server := n.pair(netip.AddrPortFrom(from, n.nextPort), to)
		accepted := l != nil && l.offer(server)
		n.mu.Unlock()
		if !accepted {
			return nil, dialError(to, syscall.ECONNREFUSED)
		}
		return client, nil
	}
}

// dialError returns the error of a net.Dialer for a connection that failed: callers tell a refused one from one that timed out.
func dialError(to netip.AddrPort, cause error) error {
	if errors.Is(cause, context.DeadlineExceeded) {
		cause = os.ErrDeadlineExceeded
	}
	return &net.OpError{Op: "dial", Net: "tcp", Addr: net.TCPAddrFromAddrPort(to), Err: cause}
}

// awaitRoundTrip waits until the links between two hosts are open, and then for the time of one round trip.
func (n *Network) awaitRoundTrip(ctx context.Context, a, b netip.Addr) error {
	for {
		n.mu.Lock()
		open := !n.isBlocked(link{a, b}) && !n.isBlocked(link{b, a})
		changed := n.changed
		n.mu.Unlock()
		if open {
			break
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	select {
	case <-time.After(2 * n.options.Latency):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// connectionState returns the state of a link for one connection. It also returns a channel that is closed when any link
// is unblocked.
func (n *Network) connectionState(l link, number int) (blocked bool, silenced *silence, changed <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if s := n.silenced[l]; number <= s.upTo {
		silenced = &s
	}
	return n.isBlocked(l), silenced, n.changed
}

// sendPacket passes a packet to its destination socket, unless the link is blocked or the packet is lost. Packets to a
// paused host are held.
func (n *Network) sendPacket(p packet, to netip.AddrPort) {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := link{p.from.Addr(), to.Addr()}
	if n.blocked[l] || n.paused[l.from] || n.options.Loss > 0 && n.random.Float64() < n.options.Loss {
		return
	}
	if !n.paused[l.to] {
		n.deliver(p, to)
		return
	}
	if len(n.held[to]) < maxHeldPackets {
		n.held[to] = append(n.held[to], p)
	}
}

// deliver queues a packet at its destination socket, where it can be read after the latency. The caller must hold the
// lock.
func (n *Network) deliver(p packet, to netip.AddrPort) {
	if s := n.sockets[to]; s != nil {
		p.arrival = time.Now().Add(n.options.Latency)
		s.enqueue(p)
	}
}
