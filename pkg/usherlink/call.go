package usherlink

import (
	"context"
	"net"
	"net/netip"

	"github.com/quic-go/quic-go"
)

// Call sends value to the process at address and decodes its answer, unless answer is nil. ErrUnreachable says that
// the peer never had the message; ErrUnanswered that it may have; ErrRemote that it refused.
func (n *Node) Call(ctx context.Context, address, kind string, value, answer any) error {
	data, err := encodeEnvelope(kind, value, nil)
	if err != nil {
		return err
	}
	conn, err := n.connect(ctx, address)
	if err != nil {
		return err
	}
	stream, err := conn.OpenStreamSync(ctx)
	if err != nil {
		n.forget(address, conn)
		return ErrUnreachable.Wrap(err, "open stream to %s", address)
	}
	defer stream.CancelRead(0)
	stop := context.AfterFunc(ctx, func() {
		stream.CancelRead(0)
		stream.CancelWrite(0)
	})
	defer stop()
	if err := writeFrame(stream, data); err != nil {
		n.forget(address, conn)
		return ErrUnanswered.Wrap(err, "send %s to %s", kind, address)
	}
	if err := stream.Close(); err != nil {
		return ErrUnanswered.Wrap(err, "send %s to %s", kind, address)
	}
	reply, err := readFrame(stream)
	if err != nil {
		n.forget(address, conn) // the peer may have been restarted, and know nothing of the connection
		return ErrUnanswered.Wrap(err, "answer of %s to %s", address, kind)
	}
	_, body, err := DecodeEnvelope(reply)
	if err != nil {
		return err
	}
	if answer == nil {
		return nil
	}
	return body.Decode(answer)
}

// SendDatagram sends value in a datagram. It dials in the background where no connection is open, so that
// a silent peer never blocks the sender; the message is then lost.
func (n *Node) SendDatagram(address, kind string, value any) error {
	data, err := encodeEnvelope(kind, value, nil)
	if err != nil {
		return err
	}
	if len(data) > MaxDatagramBytes {
		return ErrTooLarge.New("datagram %s of %d bytes, bound %d", kind, len(data), MaxDatagramBytes)
	}
	l := n.link(address)
	select {
	case <-l.ready:
	default:
		return ErrUnreachable.New("still connecting to %s", address)
	}
	if l.err != nil {
		n.forget(address, nil)
		return l.err
	}
	if err := l.conn.SendDatagram(data); err != nil {
		n.forget(address, l.conn)
		return ErrUnreachable.Wrap(err, "datagram to %s", address)
	}
	return nil
}

func (n *Node) connect(ctx context.Context, address string) (*quic.Conn, error) {
	l := n.link(address)
	select {
	case <-l.ready:
	case <-ctx.Done():
		return nil, ErrUnreachable.Wrap(ctx.Err(), "connect to %s", address)
	}
	if l.err != nil {
		n.forget(address, nil)
		return nil, l.err
	}
	return l.conn, nil
}

// link returns the connection to address and starts one where there is none.
func (n *Node) link(address string) *link {
	n.mu.Lock()
	defer n.mu.Unlock()
	if l, ok := n.links[address]; ok && !l.closed() {
		return l
	}
	l := &link{ready: make(chan struct{})}
	if n.ctx.Err() != nil {
		l.err = ErrUnreachable.New("node is closed")
		close(l.ready)
		return l
	}
	n.links[address] = l
	n.duties.Go(func() { n.dial(address, l) })
	return l
}

func (n *Node) dial(address string, l *link) {
	defer close(l.ready)
	at, err := netip.ParseAddrPort(address)
	if err != nil {
		l.err = ErrUnreachable.Wrap(err, "address %q is no IP number with a port", address)
		return
	}
	ctx, cancel := context.WithTimeout(n.ctx, handshakeTimeout)
	defer cancel()
	config := n.keys.ClientTLS()
	config.NextProtos = []string{protocol}
	conn, err := n.transport.Dial(ctx, net.UDPAddrFromAddrPort(at), config, quicConfig())
	if err != nil {
		l.err = ErrUnreachable.Wrap(err, "connect to %s", address)
		return
	}
	l.conn = conn
	n.duties.Go(func() { n.serve(conn) })
}

// forget drops the connection to address, or whatever failed to connect, so that the next message dials anew.
func (n *Node) forget(address string, conn *quic.Conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	l, ok := n.links[address]
	if !ok {
		return
	}
	select {
	case <-l.ready:
		if l.conn == conn {
			delete(n.links, address)
		}
	default:
	}
}

func (l *link) closed() bool {
	select {
	case <-l.ready:
		return l.conn != nil && l.conn.Context().Err() != nil
	default:
		return false
	}
}
