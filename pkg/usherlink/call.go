package usherlink

import (
	"context"
	"net"
	"net/netip"

	"github.com/quic-go/quic-go"
)

// Call sends value to the process at address and decodes the reply into response, unless response is nil. After
// ErrUnreachable the peer never received the message, after ErrNoResponse it may have; ErrRemote carries the error of
// the peer's handler.
func (n *Node) Call(ctx context.Context, address, kind string, value, response any) error {
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
		n.dropConn(address, conn)
		return ErrUnreachable.Wrap(err, "open stream to %s", address)
	}
	defer stream.CancelRead(0)
	stop := context.AfterFunc(ctx, func() {
		stream.CancelRead(0)
		stream.CancelWrite(0)
	})
	defer stop()
	if err := writeFrame(stream, data); err != nil {
		n.dropConn(address, conn)
		return ErrNoResponse.Wrap(err, "send %s to %s", kind, address)
	}
	if err := stream.Close(); err != nil {
		return ErrNoResponse.Wrap(err, "send %s to %s", kind, address)
	}
	reply, err := readFrame(stream)
	if err != nil {
		n.dropConn(address, conn) // the peer may have restarted and lost the connection's state
		return ErrNoResponse.Wrap(err, "read response of %s to %s", address, kind)
	}
	_, body, err := DecodeEnvelope(reply)
	if err != nil {
		return err
	}
	if response == nil {
		return nil
	}
	return body.Decode(response)
}

// SendDatagram sends value in a datagram. Without an open connection it dials in the background and drops the message,
// so an unresponsive peer never blocks the sender.
func (n *Node) SendDatagram(address, kind string, value any) error {
	data, err := encodeEnvelope(kind, value, nil)
	if err != nil {
		return err
	}
	if len(data) > MaxDatagramBytes {
		return ErrTooLarge.New("datagram %s of %d bytes exceeds the limit of %d", kind, len(data), MaxDatagramBytes)
	}
	pc := n.connTo(address)
	select {
	case <-pc.ready:
	default:
		return ErrUnreachable.New("connection to %s is not yet established", address)
	}
	if pc.err != nil {
		n.dropConn(address, nil)
		return pc.err
	}
	if err := pc.conn.SendDatagram(data); err != nil {
		n.dropConn(address, pc.conn)
		return ErrUnreachable.Wrap(err, "send datagram to %s", address)
	}
	return nil
}

func (n *Node) connect(ctx context.Context, address string) (*quic.Conn, error) {
	pc := n.connTo(address)
	select {
	case <-pc.ready:
	case <-ctx.Done():
		return nil, ErrUnreachable.Wrap(ctx.Err(), "connect to %s", address)
	}
	if pc.err != nil {
		n.dropConn(address, nil)
		return nil, pc.err
	}
	return pc.conn, nil
}

// connTo returns the connection to address and starts dialing if there is none.
func (n *Node) connTo(address string) *peerConn {
	n.mu.Lock()
	defer n.mu.Unlock()
	if pc, ok := n.conns[address]; ok && !pc.closed() {
		return pc
	}
	pc := &peerConn{ready: make(chan struct{})}
	if n.ctx.Err() != nil {
		pc.err = ErrUnreachable.New("node is closed")
		close(pc.ready)
		return pc
	}
	n.conns[address] = pc
	n.wg.Go(func() { n.dial(address, pc) })
	return pc
}

func (n *Node) dial(address string, pc *peerConn) {
	defer close(pc.ready)
	addr, err := netip.ParseAddrPort(address)
	if err != nil {
		pc.err = ErrUnreachable.Wrap(err, "address %q is not an IP address with a port", address)
		return
	}
	ctx, cancel := context.WithTimeout(n.ctx, handshakeTimeout)
	defer cancel()
	config := n.keys.ClientTLS()
	config.NextProtos = []string{protocol}
	conn, err := n.transport.Dial(ctx, net.UDPAddrFromAddrPort(addr), config, quicConfig())
	if err != nil {
		pc.err = ErrUnreachable.Wrap(err, "connect to %s", address)
		return
	}
	pc.conn = conn
	n.wg.Go(func() { n.serveConn(conn) })
}

// dropConn removes the connection to address if it is conn, or the failed dial if conn is nil, so that the next message
// dials again. A dial in progress is kept.
func (n *Node) dropConn(address string, conn *quic.Conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	pc, ok := n.conns[address]
	if !ok {
		return
	}
	select {
	case <-pc.ready:
		if pc.conn == conn {
			delete(n.conns, address)
		}
	default:
	}
}

func (pc *peerConn) closed() bool {
	select {
	case <-pc.ready:
		return pc.conn != nil && pc.conn.Context().Err() != nil
	default:
		return false
	}
}
