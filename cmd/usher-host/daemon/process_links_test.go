package daemon_test

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"os"
	"os/signal"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/samphireusher/samphireusher/cmd/usher-host/daemon"
	"github.com/samphireusher/samphireusher/service/usherhost"
)

const (
	// brokenLinksFile names the variable with the path of the file that lists a process's broken links.
	brokenLinksFile = "USHER_HOST_BROKEN_LINKS"
	// linksCheckInterval is how often a process reads that file.
	linksCheckInterval = 5 * time.Millisecond
	// lostConnectTime is after what time a connection over a broken link fails, as in usherhost.OSNetwork.
	lostConnectTime = 500 * time.Millisecond
)

type (
	// brokenLinks are the addresses to which a process's packets are lost, as far as the file says. Each of its lines is an IP number;
	// after "connections " datagrams pass, as packets are lost only the other way.
	brokenLinks struct {
		lost atomic.Pointer[map[netip.Addr]bool]
	}

	// lossyNetwork is the operating system's network with broken links.
	lossyNetwork struct {
		usherhost.OSNetwork
		links *brokenLinks
	}

	lossyPacketConn struct {
		net.PacketConn
		links *brokenLinks
	}

	// lossyConn loses what is written while its link is broken. The other side then does not respond.
	lossyConn struct {
		net.Conn
		links *brokenLinks
		to    netip.Addr
	}
)

// runWithBrokenLinks runs the daemon on a network whose broken links a file lists.
func runWithBrokenLinks(settingsFile, linksFile string) int {
	settings, err := usherhost.LoadSettings(settingsFile)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	links := &brokenLinks{}
	links.read(linksFile)
	go func() {
		for {
			time.Sleep(linksCheckInterval)
			links.read(linksFile)
		}
	}()
	log := usherhost.NewLogWriter(os.Stdout)
	defer log.Close()
	platform := daemon.Platform(settings, lossyNetwork{links: links})
	platform.Uptime = usherhost.Uptime
	host, err := usherhost.New(settings, platform, settings.NewLogger(log))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM)
	if err := host.Run(context.Background(), signals); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return 0
}

func (l *brokenLinks) read(file string) {
	data, err := os.ReadFile(file)
	if err != nil {
		return
	}
	lost := map[netip.Addr]bool{}
	for line := range strings.Lines(string(data)) {
		address, connectionsOnly := strings.CutPrefix(strings.TrimSpace(line), "connections ")
		if ip, err := netip.ParseAddr(address); err == nil {
			lost[ip] = !connectionsOnly
		}
	}
	l.lost.Store(&lost)
}

// state reports whether datagrams and connections to an address are lost.
func (l *brokenLinks) state(to netip.Addr) (datagrams, connections bool) {
	datagrams, connections = (*l.lost.Load())[to]
	return datagrams, connections
}

func (n lossyNetwork) ListenPacket(address netip.AddrPort) (net.PacketConn, error) {
	conn, err := n.OSNetwork.ListenPacket(address)
	if err != nil {
		return nil, err
	}
	return lossyPacketConn{conn, n.links}, nil
}

func (c lossyPacketConn) WriteTo(data []byte, to net.Addr) (int, error) {
	if lost, _ := c.links.state(to.(*net.UDPAddr).AddrPort().Addr()); lost {
		return len(data), nil
	}
	return c.PacketConn.WriteTo(data, to)
}

func (n lossyNetwork) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	to := netip.MustParseAddrPort(address).Addr()
	if _, lost := n.links.state(to); lost {
		ctx, cancel := context.WithTimeout(ctx, lostConnectTime)
		defer cancel()
		<-ctx.Done()
		return nil, &net.OpError{Op: "dial", Net: network, Err: ctx.Err()}
	}
	conn, err := n.OSNetwork.Dial(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return lossyConn{conn, n.links, to}, nil
}

func (c lossyConn) Write(data []byte) (int, error) {
	if _, lost := c.links.state(c.to); lost {
		return len(data), nil
	}
	return c.Conn.Write(data)
}
