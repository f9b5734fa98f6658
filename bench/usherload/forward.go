package usherload

import (
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
)

const (
	largestDatagram = 64 << 10
	// headerBytes is the size of the IPv4 and UDP headers of a datagram.
	headerBytes = 28
)

type (
	// Traffic is the traffic between the measured process and its peers, seen from the measured process. Bytes include the
	// IPv4 and UDP headers.
	Traffic struct {
		SentBytes, ReceivedBytes         int64
		SentDatagrams, ReceivedDatagrams int64
	}

	// meter counts the datagrams and bytes from and to the measured process.
	meter struct {
		sentBytes, receivedBytes, sent, received atomic.Int64
	}

	// forwarder forwards the datagrams that arrive at its socket to another address, and the replies back to their senders.
	forwarder struct {
		socket *net.UDPConn
		to     netip.AddrPort
		// countForward and countReturn count the bytes of each direction; if sender is set, only those from and to it.
		countForward, countReturn func(bytes int)
		sender                    netip.AddrPort

		mu        sync.Mutex
		upstreams map[netip.AddrPort]*net.UDPConn
	}
)

func (m *meter) send(bytes int) {
	m.sent.Add(1)
	m.sentBytes.Add(int64(bytes + headerBytes))
}

func (m *meter) receive(bytes int) {
	m.received.Add(1)
	m.receivedBytes.Add(int64(bytes + headerBytes))
}

func (m *meter) traffic() Traffic {
	return Traffic{
		SentBytes: m.sentBytes.Load(), ReceivedBytes: m.receivedBytes.Load(),
		SentDatagrams: m.sent.Load(), ReceivedDatagrams: m.received.Load(),
	}
}

// forward starts a forwarder to an address and returns the forwarder's own address.
func forward(to string, countForward, countReturn func(bytes int)) (string, error) {
	return forwardCounted(netip.AddrPort{}, to, countForward, countReturn)
}

// forwardCounted starts a forwarder that counts only the datagrams from and to one sender.
func forwardCounted(sender netip.AddrPort, to string, countForward, countReturn func(bytes int)) (string, error) {
	target, err := netip.ParseAddrPort(to)
	if err != nil {
		return "", err
	}
	socket, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0")))
	if err != nil {
		return "", err
	}
	f := &forwarder{socket: socket, to: target, countForward: countForward, countReturn: countReturn, sender: sender, upstreams: map[netip.AddrPort]*net.UDPConn{}}
	go f.run()
	return socket.LocalAddr().String(), nil
}

func (f *forwarder) run() {
	data := make([]byte, largestDatagram)
	for {
		n, from, err := f.socket.ReadFromUDPAddrPort(data)
		if err != nil {
			return
		}
		upstream, err := f.upstream(from)
		if err != nil {
			continue
		}
		if f.isCounted(from) {
			f.countForward(n)
		}
		_, _ = upstream.Write(data[:n])
	}
}

// upstream returns the socket that forwards the datagrams of a sender. Each sender has its own, so that replies can be
// matched to it.
func (f *forwarder) upstream(from netip.AddrPort) (*net.UDPConn, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if upstream, ok := f.upstreams[from]; ok {
		return upstream, nil
	}
	upstream, err := net.DialUDP("udp", nil, net.UDPAddrFromAddrPort(f.to))
	if err != nil {
		return nil, err
	}
	f.upstreams[from] = upstream
	go f.relayReturn(from, upstream)
	return upstream, nil
}

func (f *forwarder) relayReturn(to netip.AddrPort, upstream *net.UDPConn) {
	data := make([]byte, largestDatagram)
	for {
		n, err := upstream.Read(data)
		if err != nil {
			return
		}
		if f.isCounted(to) {
			f.countReturn(n)
		}
		_, _ = f.socket.WriteToUDPAddrPort(data[:n], to)
	}
}

func (f *forwarder) isCounted(sender netip.AddrPort) bool {
	return !f.sender.IsValid() || f.sender == sender
}
