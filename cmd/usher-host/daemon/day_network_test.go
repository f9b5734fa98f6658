package daemon_test

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/samphireusher/samphireusher/service/usherhost"
)

const (
	// dayLinksFile names the variable with the path of the file that lists the broken links of a day. Each line has the beginnings
	// of two addresses, from where and to where packets are lost.
	dayLinksFile = "USHER_HOST_DAY_LINKS"
	linkPoll     = 10 * time.Millisecond
	// unackedTime and probedTime are after what time the operating system gives up a connection over a broken link: one that a host
	// has opened and written to, and any other.
	unackedTime = 2 * time.Second
	probedTime  = 3 * time.Second
)

type (
	// dayLinks are the links of a day. The zero value has no broken ones.
	dayLinks struct {
		broken atomic.Pointer[[][2]string]
	}

	// dayNetwork is the operating system's network as a machine with an IP number sees it, on broken links. What is written over one
	// is held up and arrives once the link works again, unless the connection is given up before.
	dayNetwork struct {
		usherhost.OSNetwork
		ip    string
		links *dayLinks
	}

	dayPacketConn struct {
		net.PacketConn
		network dayNetwork
	}

	dayListener struct {
		net.Listener
		network dayNetwork
	}

	// dayConn is a connection between a machine and a peer.
	dayConn struct {
		net.Conn
		network dayNetwork
		peer    string
		dialed  bool
		closed  chan struct{}
		close   sync.Once

		mu sync.Mutex
		// held is what was written while the link to the peer was broken, read what came while that from it was.
		held, read []byte
		// brokenSince is since when a link in either direction has been broken, unackedSince since when something that was written
		// is unacknowledged.
		brokenSince, unackedSince time.Time
		readDeadline              time.Time
		failed                    error
	}
)

// set replaces the broken links.
func (l *dayLinks) set(broken [][2]string) { l.broken.Store(&broken) }

// follow reads the broken links from a file each time it has changed, until ctx ends.
func (l *dayLinks) follow(ctx context.Context, path string) {
	var last time.Time
	for ctx.Err() == nil {
		if info, err := os.Stat(path); err == nil && !info.ModTime().Equal(last) {
			if data, err := os.ReadFile(path); err == nil {
				last = info.ModTime()
				var broken [][2]string
				for line := range strings.Lines(string(data)) {
					if from, to, ok := strings.Cut(strings.TrimSpace(line), " "); ok {
						broken = append(broken, [2]string{from, to})
					}
				}
				l.set(broken)
			}
		}
		sleepFor(ctx, linkPoll)
	}
}

// loses reports whether packets from one IP number to another are lost.
func (l *dayLinks) loses(from, to string) bool {
	broken := l.broken.Load()
	if broken == nil {
		return false
	}
	for _, link := range *broken {
		if strings.HasPrefix(from, link[0]) && strings.HasPrefix(to, link[1]) {
			return true
		}
	}
	return false
}

func (n dayNetwork) breaks(peer string) bool {
	return n.links.loses(n.ip, peer) || n.links.loses(peer, n.ip)
}

// Listen implements usherhost.Network.
func (n dayNetwork) Listen(address netip.AddrPort) (net.Listener, error) {
	listener, err := n.OSNetwork.Listen(address)
	return dayListener{listener, n}, err
}

// ListenPacket implements usherhost.Network.
func (n dayNetwork) ListenPacket(address netip.AddrPort) (net.PacketConn, error) {
	conn, err := n.OSNetwork.ListenPacket(address)
	return dayPacketConn{conn, n}, err
}

// Dial implements usherhost.Network.
func (n dayNetwork) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	peer, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, lostConnectTime)
	defer cancel()
	// The first packet is sent again until the time is over.
	for n.breaks(peer.Addr().String()) {
		if sleepFor(ctx, linkPoll); ctx.Err() != nil {
			return nil, &net.OpError{Op: "dial", Net: network, Err: os.ErrDeadlineExceeded}
		}
	}
	dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(n.ip)}}
	conn, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return n.wrap(conn, peer.Addr().String(), true), nil
}

func (n dayNetwork) wrap(conn net.Conn, peer string, dialed bool) *dayConn {
	c := &dayConn{Conn: conn, network: n, peer: peer, dialed: dialed, closed: make(chan struct{})}
	go c.watch()
	return c
}

func (l dayListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	peer, _, err := net.SplitHostPort(conn.RemoteAddr().String())
	if err != nil {
		return nil, err
	}
	return l.network.wrap(conn, peer, false), nil
}

func (c dayPacketConn) WriteTo(data []byte, to net.Addr) (int, error) {
	if ip, _, err := net.SplitHostPort(to.String()); err == nil && c.network.links.loses(c.network.ip, ip) {
		return len(data), nil
	}
	return c.PacketConn.WriteTo(data, to)
}

// watch gives the connection up as the operating system would, and sends what was held up once the link works again.
func (c *dayConn) watch() {
	for {
		select {
		case <-c.closed:
			c.linger()
			return
		case <-time.After(linkPoll):
		}
		if !c.step() {
			return
		}
	}
}

// step reports whether the connection is still in use.
func (c *dayConn) step() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if !c.network.breaks(c.peer) {
		c.brokenSince, c.unackedSince = time.Time{}, time.Time{}
	} else if c.brokenSince.IsZero() {
		c.brokenSince = now
	}
	if len(c.held) > 0 && !c.network.links.loses(c.network.ip, c.peer) {
		// An error shows at the next read or write.
		_, _ = c.Conn.Write(c.held)
		c.held = nil
	}
	unacked := c.dialed && !c.unackedSince.IsZero() && now.Sub(c.unackedSince) > unackedTime
	probed := !c.brokenSince.IsZero() && now.Sub(c.brokenSince) > probedTime
	if unacked || probed {
		c.failed, c.held = &net.OpError{Op: "read", Net: "tcp", Err: syscall.ETIMEDOUT}, nil
		// The peer does not learn of it while the link to it is broken, as it holds up what it reads.
		_ = c.Conn.Close()
		return false
	}
	return true
}

// linger closes the connection once the link works again, as the peer does not learn of the end before.
func (c *dayConn) linger() {
	for end := time.Now().Add(probedTime); c.network.links.loses(c.network.ip, c.peer) && time.Now().Before(end); {
		time.Sleep(linkPoll)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.held) > 0 && !c.network.links.loses(c.network.ip, c.peer) {
		_, _ = c.Conn.Write(c.held)
	}
	_ = c.Conn.Close()
}

func (c *dayConn) Write(data []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	select {
	case <-c.closed:
		return 0, net.ErrClosed
	default:
	}
	if c.failed != nil {
		return 0, c.failed
	}
	if c.network.breaks(c.peer) && c.unackedSince.IsZero() {
		c.unackedSince = time.Now()
	}
	if c.network.links.loses(c.network.ip, c.peer) || len(c.held) > 0 {
		c.held = append(c.held, data...)
		return len(data), nil
	}
	return c.Conn.Write(data)
}

func (c *dayConn) Read(buffer []byte) (int, error) {
	if n := c.take(buffer); n > 0 {
		return n, nil
	}
	n, err := c.Conn.Read(buffer)
	for c.network.links.loses(c.peer, c.network.ip) {
		if ended := c.hold(buffer[:n]); ended != nil {
			return 0, ended
		}
		time.Sleep(linkPoll)
	}
	if ended := c.hold(nil); ended != nil && err != nil {
		return 0, ended
	}
	return n, err
}

// take returns what came before the link broke.
func (c *dayConn) take(buffer []byte) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.network.links.loses(c.peer, c.network.ip) {
		return 0
	}
	n := copy(buffer, c.read)
	c.read = c.read[n:]
	return n
}

// hold returns the error with which a read over a broken link ends, if it does. What has come is kept for the next one.
func (c *dayConn) hold(data []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	select {
	case <-c.closed:
		return net.ErrClosed
	default:
	}
	if c.failed != nil {
		return c.failed
	}
	if !c.readDeadline.IsZero() && time.Now().After(c.readDeadline) && data != nil {
		c.read = append(c.read, data...)
		return os.ErrDeadlineExceeded
	}
	return nil
}

func (c *dayConn) Close() error {
	c.close.Do(func() {
		close(c.closed)
		// Wakes a read; the rest is up to linger.
		_ = c.Conn.SetReadDeadline(time.Now())
	})
	return nil
}

// CloseWrite ends the sending side.
func (c *dayConn) CloseWrite() error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok && !c.network.links.loses(c.network.ip, c.peer) {
		return tcp.CloseWrite()
	}
	return nil
}

func (c *dayConn) SetDeadline(t time.Time) error {
	return errors.Join(c.SetReadDeadline(t), c.Conn.SetWriteDeadline(t))
}

func (c *dayConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readDeadline = t
	return c.Conn.SetReadDeadline(t)
}
