// Package usherlink carries messages between the fleet's processes over QUIC with mutual TLS.
//
// A Node has one UDP socket on which it both listens and dials. Call sends a request on a stream of its own and
// waits for the answer; SendDatagram sends a datagram that may be lost, for heartbeats. Both carry a versioned, bounded
// envelope in CBOR. A process without a certificate of the fleet is refused in the handshake; the name in a
// peer's certificate is the name that handlers see.
//
// # Usage
//
//	node, err := usherlink.Listen("127.0.0.1:7001", keys, handler, log)
//	if err != nil {
//		return err
//	}
//	defer node.Close()
//	var answer pong
//	if err := node.Call(ctx, "127.0.0.1:7002", "ping", ping{}, &answer); err != nil {
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
	// idleTimeout is also how long a call waits for a peer that cannot be heard. Feeds poll a peer about as often, in either
	// direction, so that most polls find a connection.
	idleTimeout      = 6 * time.Second
	handshakeTimeout = 2 * time.Second
	maxStreams       = 4096
	// closing tells peers why a connection ends.
	closing = "closing"
)

type (
	// Handler answers what peers send. A returned error reaches the peer as ErrRemote.
	Handler interface {
		ServeMessage(ctx context.Context, from Peer, kind string, body Payload) (any, error)
	}

	// HandlerFunc lets a function be a Handler.
	HandlerFunc func(ctx context.Context, from Peer, kind string, body Payload) (any, error)

	// Keys gives the TLS settings of both directions; see pkg/usherkey.
	Keys interface {
		ServerTLS() *tls.Config
		ClientTLS() *tls.Config
	}

	// Peer is the other process of a connection.
	Peer struct {
		Name    string
		Address netip.AddrPort
	}

	// Node is one process's end of the fleet's network.
	Node struct {
		transport *quic.Transport
		listener  *quic.Listener
		keys      Keys
		handler   Handler
		log       *slog.Logger
		ctx       context.Context
		cancel    context.CancelFunc
		duties    sync.WaitGroup

		mu    sync.Mutex
		links map[string]*link
	}

	// link is an outgoing connection, dialled at most once at a time.
	link struct {
		ready chan struct{}
		conn  *quic.Conn
		err   error
	}
)

// ServeMessage calls f.
func (f HandlerFunc) ServeMessage(ctx context.Context, from Peer, kind string, body Payload) (any, error) {
	return f(ctx, from, kind, body)
}

// Listen opens a node on address, an IP and a port; port 0 takes a free one.
func Listen(address string, keys Keys, handler Handler, log *slog.Logger) (*Node, error) {
	at, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, ErrUnreachable.Wrap(err, "address %q is no IP number with a port", address)
	}
	socket, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(at))
	if err != nil {
		return nil, ErrUnreachable.Wrap(err, "listen on %s", address)
	}
	return Open(socket, keys, handler, log)
}

// Open opens a node on a packet socket, which the node closes.
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
		ctx: ctx, cancel: cancel, links: map[string]*link{},
	}
	n.duties.Go(n.accept)
	return n, nil
}

// Address returns where the node listens.
func (n *Node) Address() string {
	return n.listener.Addr().String()
}

// Close tells the peers of all connections that they end, and waits until no handler runs.
func (n *Node) Close() error {
	n.cancel()
	err := n.listener.Close()
	n.mu.Lock()
	for address, l := range n.links {
		select {
		case <-l.ready:
			if l.conn != nil {
				_ = l.conn.CloseWithError(0, closing)
			}
		default:
		}
		delete(n.links, address)
	}
	n.mu.Unlock()
	n.duties.Wait()
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
		n.adopt(conn)
		n.duties.Go(func() { n.serve(conn) })
	}
}

// adopt uses a connection that a peer opened for messages to it as well. It takes the place of an older one: a peer
// that was restarted no longer knows the connection from before.
func (n *Node) adopt(conn *quic.Conn) {
	l := &link{ready: make(chan struct{}), conn: conn}
	close(l.ready)
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.ctx.Err() == nil {
		n.links[conn.RemoteAddr().String()] = l
	}
}

func (n *Node) serve(conn *quic.Conn) {
	from := peerOf(conn)
	n.duties.Go(func() { n.serveDatagrams(conn, from) })
	for {
		stream, err := conn.AcceptStream(n.ctx)
		if err != nil {
			_ = conn.CloseWithError(0, closing) // so that the peer doesn't send into silence until its idle timeout
			return
		}
		n.duties.Go(func() { n.serveStream(stream, from) })
	}
}

func (n *Node) serveStream(stream *quic.Stream, from Peer) {
	defer stream.Close()
	data, err := readFrame(stream)
	if err != nil {
		n.refuse(stream, from, "", err)
		return
	}
	kind, body, err := DecodeEnvelope(data)
	if err != nil {
		n.refuse(stream, from, kind, err)
		return
	}
	answer, failure := n.handler.ServeMessage(stream.Context(), from, kind, body)
	reply, err := encodeEnvelope(kind, answer, failure)
	if err != nil {
		n.refuse(stream, from, kind, err)
		return
	}
	if err := writeFrame(stream, reply); err != nil {
		n.log.Debug("answer not sent", "peer", from.Name, "kind", kind, "error", err)
	}
}

// refuse tells the peer what was wrong with its message; the connection and its other streams go on.
func (n *Node) refuse(stream *quic.Stream, from Peer, kind string, cause error) {
	n.log.Warn("message refused", "peer", from.Name, "kind", kind, "error", cause)
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
			n.log.Warn("datagram refused", "peer", from.Name, "error", err)
			continue
		}
		if _, err := n.handler.ServeMessage(n.ctx, from, kind, body); err != nil {
			n.log.Debug("datagram not handled", "peer", from.Name, "kind", kind, "error", err)
		}
	}
}

func peerOf(conn *quic.Conn) Peer {
	from := Peer{}
	if at, err := netip.ParseAddrPort(conn.RemoteAddr().String()); err == nil {
		from.Address = at
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
