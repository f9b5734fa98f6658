package usherhost

import (
	"context"
	"net"
	"net/netip"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// dialTimeout bounds Dial if its context has no earlier deadline.
	dialTimeout = 500 * time.Millisecond
	// unackedTimeout is how long sent data may stay unacknowledged before a connection is considered broken, and
	// probeInterval how long a connection may be idle before it is probed. A peer that loses power sends no reset.
	unackedTimeout = 2 * time.Second
	probeInterval  = time.Second
	probeCount     = 2
)

// OSNetwork is the network of the operating system. Its connections detect unresponsive peers. The zero value is ready
// for use.
type OSNetwork struct{}

var keepAlive = net.KeepAliveConfig{Enable: true, Idle: probeInterval, Interval: probeInterval, Count: probeCount}

// Listen listens for TCP connections at address.
func (OSNetwork) Listen(address netip.AddrPort) (net.Listener, error) {
	return (&net.ListenConfig{KeepAliveConfig: keepAlive}).Listen(context.Background(), "tcp4", address.String())
}

// ListenPacket opens a UDP socket at address.
func (OSNetwork) ListenPacket(address netip.AddrPort) (net.PacketConn, error) {
	return net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
}

// Dial opens a TCP connection.
func (OSNetwork) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout, KeepAliveConfig: keepAlive, Control: setUserTimeout}
	return dialer.DialContext(ctx, network, address)
}

// Uptime returns the time since the machine was started, including that in which it was suspended.
func Uptime() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// Without the clock, standstills are seen by the steady one only.
		return 0
	}
	return time.Duration(t.Nano())
}

func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var err error
	if controlErr := raw.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
	}); controlErr != nil {
		return controlErr
	}
	return err
}
