package usherfleet

import (
	"net"
	"net/netip"

	"github.com/samphireusher/samphireusher/standin/ushernet"
)

type (
	// sockets is what a fleet's hosts talk over: a network in memory, or the machine's loopback.
	sockets interface {
		Listen(address netip.AddrPort) (net.Listener, error)
		ListenPacket(address netip.AddrPort) (net.PacketConn, error)
		Dialer(from netip.Addr) ushernet.DialFunc
		// Address returns the address of the host with a number.
		Address(number int) netip.AddrPort
	}

	// loopback is the machine's own.
	loopback struct{}
)

// Listen implements sockets.
func (loopback) Listen(address netip.AddrPort) (net.Listener, error) {
	return net.Listen("tcp", address.String())
}

// ListenPacket implements sockets.
func (loopback) ListenPacket(address netip.AddrPort) (net.PacketConn, error) {
	return net.ListenPacket("udp", address.String())
}

// Dialer implements sockets.
func (loopback) Dialer(netip.Addr) ushernet.DialFunc {
	return (&net.Dialer{}).DialContext
}

// Address returns a port that was free for UDP and TCP a moment ago.
func (loopback) Address(int) netip.AddrPort {
	const tries = 20
	for range tries {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			continue
		}
		address := listener.Addr().String()
		socket, err := net.ListenPacket("udp", address)
		_ = listener.Close()
		if err != nil {
			continue
		}
		_ = socket.Close()
		return netip.MustParseAddrPort(address)
	}
	return netip.AddrPort{}
}
