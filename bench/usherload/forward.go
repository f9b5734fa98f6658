package usherload

import (
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
)

const (
	largestDatagram = 64 << 10
	// headerBytes are those of IPv4 and UDP.
	headerBytes = 28
)

type (
	// Traffic is what crossed between the measured process and its peers, headers of IPv4 and UDP included.
	Traffic struct {
		SentBytes, ReceivedBytes         int64
		SentDatagrams, ReceivedDatagrams int64
	}

	// meter counts datagrams from and to the measured process.
	meter struct {
		sentBytes, receivedBytes, sent, received atomic.Int64
	}

	// forwarder passes datagrams that arrive at its socket on to another address, and the answers back.
	forwarder struct {
		socket *net.UDPConn
		to     netip.AddrPort
		// there and back count the two directions, of one sender if only is set.
		there, back func(bytes int)
		only        netip.AddrPort

		mu   sync.Mutex
		ways map[netip.AddrPort]*net.UDPConn
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

// forward starts a forwarder to an address and returns its own.
func forward(to string, there, back func(bytes int)) (string, error) {
	return forwardOnly(netip.AddrPort{}, to, there, back)
}

// forwardOnly starts a forwarder that counts what one sender sends and receives.
func forwardOnly(only netip.AddrPort, to string, there, back func(bytes int)) (string, error) {
	target, err := netip.ParseAddrPort(to)
	if err != nil {
		return "", err
	}
	socket, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0")))
	if err != nil {
		return "", err
	}
	f := &forwarder{socket: socket, to: target, there: there, back: back, only: only, ways: map[netip.AddrPort]*net.UDPConn{}}
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
		way, err := f.way(from)
		if err != nil {
			continue
		}
		if f.counts(from) {
			f.there(n)
		}
		_, _ = way.Write(data[:n])
	}
}

// way returns the socket by which the datagrams of one sender go on.
func (f *forwarder) way(from netip.AddrPort) (*net.UDPConn, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if way, ok := f.ways[from]; ok {
		return way, nil
	}
	way, err := net.DialUDP("udp", nil, net.UDPAddrFromAddrPort(f.to))
	if err != nil {
		return nil, err
	}
	f.ways[from] = way
	go f.returns(from, way)
	return way, nil
}

func (f *forwarder) returns(to netip.AddrPort, way *net.UDPConn) {
	data := make([]byte, largestDatagram)
	for {
		n, err := way.Read(data)
		if err != nil {
			return
		}
		if f.counts(to) {
			f.back(n)
		}
		_, _ = f.socket.WriteToUDPAddrPort(data[:n], to)
	}
}

func (f *forwarder) counts(sender netip.AddrPort) bool {
	return !f.only.IsValid() || f.only == sender
}
