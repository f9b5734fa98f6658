package daemon_test

import (
	"context"
	"net"
	"net/netip"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/samphireusher/samphireusher/cmd/usher-host/daemon"
	"github.com/samphireusher/samphireusher/service/usherhost"
)

const (
	// brokenLinksFile names the variable with the path of the file that lists a process's broken links.
	brokenLinksFile = "USHER_HOST_BROKEN_LINKS"
	// lostConnectTime is after what time a connection over a broken link fails, as in usherhost.OSNetwork.
	lostConnectTime = 500 * time.Millisecond
)

type (
	// lossyNetwork is the operating system's network, on which packets to some addresses are lost. Each line of the file links is such an IP
	// number; after "connections " datagrams pass, as packets are lost only the other way.
	lossyNetwork struct {
		usherhost.OSNetwork
		links string
	}

	lossyPacketConn struct {
		net.PacketConn
		network lossyNetwork
	}

	// lossyConn loses what is written while its link is broken. The other side then does not respond.
	lossyConn struct {
		net.Conn
		network lossyNetwork
		to      string
	}
)

// runWithBrokenLinks runs the daemon on a network whose broken links a file lists.
func runWithBrokenLinks(settingsFile, linksFile string) error {
	settings, err := usherhost.LoadSettings(settingsFile)
	if err != nil {
		return err
	}
	log := usherhost.NewLogWriter(os.Stdout)
	defer log.Close()
	platform := daemon.Platform(settings, lossyNetwork{links: linksFile})
	platform.Uptime = usherhost.Uptime
	host, err := usherhost.New(settings, platform, settings.NewLogger(log))
	if err != nil {
		return err
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM)
	return host.Run(context.Background(), signals)
}

// loses reports whether datagrams and connections to an address are lost. If the file cannot be read, nothing is.
func (n lossyNetwork) loses(address string) (datagrams, connections bool) {
	data, _ := os.ReadFile(n.links)
	ip := netip.MustParseAddrPort(address).Addr().String()
	for line := range strings.Lines(string(data)) {
		lost, connectionsOnly := strings.CutPrefix(strings.TrimSpace(line), "connections ")
		if lost == ip {
			return !connectionsOnly, true
		}
	}
	return false, false
}

func (n lossyNetwork) ListenPacket(address netip.AddrPort) (net.PacketConn, error) {
	conn, err := n.OSNetwork.ListenPacket(address)
	return lossyPacketConn{conn, n}, err
}

func (c lossyPacketConn) WriteTo(data []byte, to net.Addr) (int, error) {
	if lost, _ := c.network.loses(to.String()); lost {
		return len(data), nil
	}
	return c.PacketConn.WriteTo(data, to)
}

func (n lossyNetwork) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	if _, lost := n.loses(address); lost {
		ctx, cancel := context.WithTimeout(ctx, lostConnectTime)
		defer cancel()
		<-ctx.Done()
		return nil, ctx.Err()
	}
	conn, err := n.OSNetwork.Dial(ctx, network, address)
	return lossyConn{conn, n, address}, err
}

func (c lossyConn) Write(data []byte) (int, error) {
	if _, lost := c.network.loses(c.to); lost {
		return len(data), nil
	}
	return c.Conn.Write(data)
}
