// Package usherlink implements messaging between the fleet's processes over QUIC with mutual TLS.
//
// A Node uses one UDP socket both to listen and to dial. Call sends a request on its own QUIC stream and waits for the
// response; SendDatagram sends an unreliable datagram, for example a heartbeat. Both carry a versioned CBOR envelope of
// limited size. The handshake rejects a process whose certificate is not signed by a fleet authority. Handlers see a
// peer under the common name in its certificate.
//
// # Usage
//
//	node, err := usherlink.Listen("127.0.0.1:7001", keys, handler, log)
//	if err != nil {
//		return err
//	}
//	defer node.Close()
//	var response pong
//	if err := node.Call(ctx, "127.0.0.1:7002", "ping", ping{}, &response); err != nil {
//		return err
//	}
package usherlink

import (
	"context"
	"crypto/tls"
	"log/slog"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/quic-go/quic-go"
)

const (
	protocol = "samphireusher/1"
	// idleTimeout also bounds how long a call waits for a peer that has stopped responding. Feeds poll each peer at about
	// this interval, in either direction, so most polls find an open connection.
	idleTimeout      = 6 * time.Second
	handshakeTimeout = 2 * time.Second
	maxStreams       = 4096
	// closeReason is the reason sent to the peer when a connection is closed.
	closeReason = "closing"
)

type (
	// Handler handles messages from peers. The peer receives a returned error as ErrRemote.
	Handler interface {
		ServeMessage(ctx context.Context, from Peer, kind string, body Payload) (any, error)
	}

	// HandlerFunc adapts a function to a Handler.
	HandlerFunc func(ctx context.Context, from Peer, kind string, body Payload) (any, error)

	// Keys provides the TLS configuration for both directions; see pkg/usherkey.
	Keys interface {
		ServerTLS() *tls.Config
		ClientTLS() *tls.Config
	}

	// Peer is the remote end of a connection.
	Peer struct {
		Name    string
		Address netip.AddrPort
	}

	// Node is a process's endpoint in the fleet's network.
	Node struct {
		transport *quic.Transport
		listener  *quic.Listener
		keys      Keys
		handler   Handler
		log       *slog.Logger
		ctx       context.Context
		cancel    context.CancelFunc
		wg        sync.WaitGroup

		mu    sync.Mutex
		conns map[string]*peerConn
	}

	// peerConn is a connection for sending to a peer, or the attempt to dial one; conn and err may be read once ready is
	// closed. There is at most one per address, so concurrent senders share a dial.
	peerConn struct {
		ready chan struct{}
		conn  *quic.Conn
		err   error
	}
)

// ServeMessage calls f.
func (f HandlerFunc) ServeMessage(ctx context.Context, from Peer, kind string, body Payload) (any, error) {
	return f(ctx, from, kind, body)
}

// Listen opens a node on address, an IP address with a port; port 0 selects a free port.
func Listen(address string, keys Keys, handler Handler, log *slog.Logger) (*Node, error) {
	addr, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, ErrUnreachable.Wrap(err, "address %q is not an IP address with a port", address)
	}
	socket, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(addr))
	if err != nil {
		return nil, ErrUnreachable.Wrap(err, "listen on %s", address)
	}
	return Open(socket, keys, handler, log)
}

// Open opens a node on a packet socket. The node takes ownership of the socket and closes it.
func Open(socket net.PacketConn, keys Keys, handler Handler, log *slog.Logger) (*Node, error) {
	transport := &quic.Transport{Conn: socket}
	listener, err := transport.Listen(serverTLS(keys), quicConfig())
	if err != nil {
		_ = socket.Close()
		return nil, ErrUnreachable.Wrap(err, "listen on %s", socket.LocalAddr())
	}
	ctx, cancel := context.WithCancel(context.Background())
	n := &Node{
		transport: transport, listener: listener, keys: keys, handler: handler, log: log,
		ctx: ctx, cancel: cancel, conns: map[string]*peerConn{},
	}
	n.wg.Go(n.accept)
	return n, nil
}

// Address returns the node's listening address.
func (n *Node) Address() string {
	return n.listener.Addr().String()
}

// Close closes all connections, which notifies their peers, and waits until all handlers have returned.
func (n *Node) Close() error {
	n.cancel()
	err := n.listener.Close()
	n.mu.Lock()
	for address, pc := range n.conns {
		select {
		case <-pc.ready:
			if pc.conn != nil {
				_ = pc.conn.CloseWithError(0, closeReason)
			}
		default:
		}
		delete(n.conns, address)
	}
	n.mu.Unlock()
	n.wg.Wait()
	_ = n.transport.Close()
	_ = n.transport.Conn.Close()
	return err
}

func (n *Node) accept() {
	for {
		conn, err := n.listener.Accept(n.ctx)
		if err != nil {
			return
		}
		n.addIncoming(conn)
		n.wg.Go(func() { n.serveConn(conn) })
	}
}

// addIncoming makes a connection opened by a peer available for sending messages to that peer. It replaces an older
// connection, because a restarted peer has no state for that one.
func (n *Node) addIncoming(conn *quic.Conn) {
	pc := &peerConn{ready: make(chan struct{}), conn: conn}
	close(pc.ready)
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.ctx.Err() == nil {
		n.conns[conn.RemoteAddr().String()] = pc
	}
}

func (n *Node) serveConn(conn *quic.Conn) {
	from := peerOf(conn)
	n.wg.Go(func() { n.serveDatagrams(conn, from) })
	for {
		stream, err := conn.AcceptStream(n.ctx)
		if err != nil {
			_ = conn.CloseWithError(0, closeReason) // otherwise the peer would keep sending until its idle timeout
			return
		}
		n.wg.Go(func() { n.serveStream(stream, from) })
	}
}

func (n *Node) serveStream(stream *quic.Stream, from Peer) {
	defer stream.Close()
	data, err := readFrame(stream)
	if err != nil {
		n.replyError(stream, from, "", err)
		return
	}
	kind, body, err := DecodeEnvelope(data)
	if err != nil {
		n.replyError(stream, from, kind, err)
		return
	}
	response, handlerErr := n.handler.ServeMessage(stream.Context(), from, kind, body)
	reply, err := encodeEnvelope(kind, response, handlerErr)
	if err != nil {
		n.replyError(stream, from, kind, err)
		return
	}
	if err := writeFrame(stream, reply); err != nil {
		n.log.Debug("failed to send response", "peer", from.Name, "kind", kind, "error", err)
	}
}

// replyError reports a rejected message to the peer. The connection and its other streams stay open.
func (n *Node) replyError(stream *quic.Stream, from Peer, kind string, cause error) {
	n.log.Warn("failed to handle message; replying with an error", "peer", from.Name, "kind", kind, "error", cause)
	reply, err := encodeEnvelope(kind, nil, cause)
	if err != nil {
		return
	}
	_ = writeFrame(stream, reply)
}

func (n *Node) serveDatagrams(conn *quic.Conn, from Peer) {
	for {
		data, err := conn.ReceiveDatagram(n.ctx)
		if err != nil {
			return
		}
		kind, body, err := DecodeEnvelope(data)
		if err != nil {
			n.log.Warn("invalid datagram dropped", "peer", from.Name, "error", err)
			continue
		}
		if _, err := n.handler.ServeMessage(n.ctx, from, kind, body); err != nil {
			n.log.Debug("datagram handler failed", "peer", from.Name, "kind", kind, "error", err)
		}
	}
}

func peerOf(conn *quic.Conn) Peer {
	from := Peer{}
	if addr, err := netip.ParseAddrPort(conn.RemoteAddr().String()); err == nil {
		from.Address = addr
	}
	if certs := conn.ConnectionState().TLS.PeerCertificates; len(certs) > 0 {
		from.Name = certs[0].Subject.CommonName
	}
	return from
}

func serverTLS(keys Keys) *tls.Config {
	config := keys.ServerTLS()
	config.NextProtos = []string{protocol}
	return config
}

func quicConfig() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout: handshakeTimeout,
		MaxIdleTimeout:       idleTimeout,
		MaxIncomingStreams:   maxStreams,
		EnableDatagrams:      true,
	}
}
