package usherfleet

import (
	"net"
	"net/netip"

	"github.com/samphireusher/samphireusher/standin/ushernet"
)

type (
	// transport provides the sockets of a fleet: an in-memory network, or the loopback interface of the machine.
	transport interface {
		Listen(address netip.AddrPort) (net.Listener, error)
		ListenPacket(address netip.AddrPort) (net.PacketConn, error)
		Dialer(from netip.Addr) ushernet.DialFunc
		// Address returns the address of the host with the given number.
		Address(number int) netip.AddrPort
	}

	// loopback is the loopback interface of the machine.
	loopback struct{}
)

// Listen implements transport.
func (loopback) Listen(address netip.AddrPort) (net.Listener, error) {
	return net.Listen("tcp", address.String())
}

// ListenPacket implements transport.
func (loopback) ListenPacket(address netip.AddrPort) (net.PacketConn, error) {
	return net.ListenPacket("udp", address.String())
}

// Dialer implements transport.
func (loopback) Dialer(netip.Addr) ushernet.DialFunc {
	return (&net.Dialer{}).DialContext
}

// Address returns an address with a port that was just found free for both UDP and TCP, or the zero value if none was
// found.
func (loopback) Address(int) netip.AddrPort {
	const maxAttempts = 20
	for range maxAttempts {
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
