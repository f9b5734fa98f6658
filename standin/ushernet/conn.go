package ushernet

import (
	"io"
	"net"
	"net/netip"
	"os"
	"sync"
	"syscall"
	"time"
)

// maxBufferedBytes is the number of bytes that one direction of a connection buffers before its writer blocks.
const maxBufferedBytes = 256 << 10

type (
	// stream is one direction of a connection.
	stream struct {
		network *Network
		link    link
		// number counts the connections of the network from 1.
		number int
		// detectsSilence is set for the direction to the end that opened the connection.
		detectsSilence bool

		mu           sync.Mutex
		chunks       []chunk
		size         int
		writerClosed bool
		readerClosed bool
		changed      chan struct{}
		// writerError and readerError are the errors of the ends that write to and read from the stream.
		writerError, readerError *socketError
	}

	// chunk is the data of one write and its time of arrival.
	chunk struct {
		arrival time.Time
		data    []byte
	}

	// conn is one end of a connection.
	conn struct {
		local, remote netip.AddrPort
		in, out       *stream
		// socketError is the error of this end, peerError that of the other one.
		socketError, peerError *socketError

		mu                          sync.Mutex
		closed                      chan struct{}
		resets                      bool
		readDeadline, writeDeadline time.Time
		deadlineChanged             chan struct{}
	}

	listener struct {
		network   *Network
		address   netip.AddrPort
		backlog   chan net.Conn
		closeOnce sync.Once
		closed    chan struct{}
	}
)

// pair returns both ends of a new connection. The caller must hold the lock.
func (n *Network) pair(a, b netip.AddrPort) (client, server *conn) {
	n.opened++
	ofClient, ofServer := &socketError{}, &socketError{}
	toServer := &stream{network: n, number: n.opened, link: link{a.Addr(), b.Addr()}, changed: make(chan struct{}), writerError: ofClient, readerError: ofServer}
	toClient := &stream{network: n, number: n.opened, detectsSilence: true, link: link{b.Addr(), a.Addr()}, changed: make(chan struct{}), writerError: ofServer, readerError: ofClient}
	client = &conn{local: a, remote: b, in: toClient, out: toServer, socketError: ofClient, peerError: ofServer, closed: make(chan struct{}), deadlineChanged: make(chan struct{})}
	server = &conn{local: b, remote: a, in: toServer, out: toClient, socketError: ofServer, peerError: ofClient, closed: make(chan struct{}), deadlineChanged: make(chan struct{})}
	return client, server
}

// notify wakes the goroutines that wait on the stream. The caller must hold the lock.
func (s *stream) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// read copies data that has arrived. If there is none, it returns channels to wait for, of the stream and of the network, and,
// if data is in transit, the time of its arrival.
func (s *stream) read(data []byte) (count int, changed, unblocked <-chan struct{}, due time.Time, err error) {
	blocked, silenced, unblocked := s.network.connectionState(s.link, s.number)
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.readerClosed:
		return 0, nil, nil, time.Time{}, net.ErrClosed
	case silenced != nil && s.detectsSilence && !silenced.detectedAt.IsZero() && !time.Now().Before(silenced.detectedAt):
		return 0, nil, nil, time.Time{}, syscall.ETIMEDOUT
	case silenced != nil && s.detectsSilence:
		return 0, nil, unblocked, silenced.detectedAt, nil
	case blocked || silenced != nil:
		return 0, nil, unblocked, time.Time{}, nil
	case len(s.chunks) == 0 && s.writerClosed:
		if err := s.readerError.take(false); err != nil {
			return 0, nil, nil, time.Time{}, err
		}
		return 0, nil, nil, time.Time{}, io.EOF
	case len(s.chunks) == 0:
		return 0, s.changed, unblocked, time.Time{}, nil
	case time.Now().Before(s.chunks[0].arrival):
		return 0, s.changed, unblocked, s.chunks[0].arrival, nil
	}
	first := &s.chunks[0]
	count = copy(data, first.data)
	first.data = first.data[count:]
	if len(first.data) == 0 {
		s.chunks = s.chunks[1:]
	}
	s.size -= count
	s.notify()
	return count, nil, nil, time.Time{}, nil
}

// write appends data. If the stream is full, it returns a channel to wait for instead.
func (s *stream) write(data []byte) (done bool, changed <-chan struct{}, err error) {
	if _, silenced, _ := s.network.connectionState(s.link, s.number); silenced != nil {
		// The end of the reader is not known here, so the write seems to succeed.
		return true, nil, nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.readerClosed || s.writerClosed {
		if err := s.writerError.take(true); err != nil {
			return false, nil, err
		}
		return false, nil, io.ErrClosedPipe
	}
	if s.size > maxBufferedBytes {
		return false, s.changed, nil
	}
	s.chunks = append(s.chunks, chunk{arrival: time.Now().Add(s.network.options.Latency), data: append([]byte{}, data...)})
	s.size += len(data)
	s.notify()
	return true, nil, nil
}

func (s *stream) isWriterClosed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.writerClosed
}

func (s *stream) closeWriter() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writerClosed = true
	s.notify()
}

func (s *stream) closeReader() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readerClosed = true
	s.notify()
}

// Read implements net.Conn.
func (c *conn) Read(data []byte) (int, error) {
	for {
		count, changed, unblocked, due, err := c.in.read(data)
		if count > 0 || err != nil {
			return count, err
		}
		if err := c.waitForChange(changed, unblocked, due, func() time.Time { return c.readDeadline }); err != nil {
			return 0, err
		}
	}
}

// Write implements net.Conn.
func (c *conn) Write(data []byte) (int, error) {
	c.socketError.addWrites(1)
	defer c.socketError.addWrites(-1)
	count := 0
	for count < len(data) {
		part := data[count:min(len(data), count+maxBufferedBytes)]
		done, changed, err := c.out.write(part)
		if err != nil {
			return count, err
		}
		if done {
			count += len(part)
			continue
		}
		if err := c.waitForChange(changed, nil, time.Time{}, func() time.Time { return c.writeDeadline }); err != nil {
			return count, err
		}
	}
	return count, nil
}

// waitForChange returns at a change of the stream, the network or the deadline, or when data is due. It fails if the deadline has passed
// or the connection is closed.
func (c *conn) waitForChange(changed, unblocked <-chan struct{}, due time.Time, deadlineOf func() time.Time) error {
	c.mu.Lock()
	deadline, deadlineChanged := deadlineOf(), c.deadlineChanged
	c.mu.Unlock()
	wakeAt := due
	if !deadline.IsZero() {
		if !time.Now().Before(deadline) {
			return os.ErrDeadlineExceeded
		}
		if wakeAt.IsZero() || deadline.Before(wakeAt) {
			wakeAt = deadline
		}
	}
	timeout, stop := timerAt(wakeAt)
	defer stop()
	select {
	case <-changed:
	case <-unblocked:
	case <-timeout:
	case <-deadlineChanged:
	case <-c.closed:
		return net.ErrClosed
	}
	return nil
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	select {
	case <-c.closed:
	default:
		if c.resets && !c.out.isWriterClosed() {
			c.peerError.set()
		}
		close(c.closed)
		c.out.closeWriter()
		c.in.closeReader()
	}
	return nil
}

// CloseWrite closes the sending side, as net.TCPConn does.
func (c *conn) CloseWrite() error {
	c.out.closeWriter()
	return nil
}

// LocalAddr implements net.Conn.
func (c *conn) LocalAddr() net.Addr { return net.TCPAddrFromAddrPort(c.local) }

// RemoteAddr implements net.Conn.
func (c *conn) RemoteAddr() net.Addr { return net.TCPAddrFromAddrPort(c.remote) }

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(t time.Time) error {
	c.setDeadlines(func() { c.readDeadline, c.writeDeadline = t, t })
	return nil
}

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.setDeadlines(func() { c.readDeadline = t })
	return nil
}

// SetWriteDeadline implements net.Conn.
func (c *conn) SetWriteDeadline(t time.Time) error {
	c.setDeadlines(func() { c.writeDeadline = t })
	return nil
}

func (c *conn) setDeadlines(set func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	set()
	close(c.deadlineChanged)
	c.deadlineChanged = make(chan struct{})
}

// offer adds a new connection to the backlog. It returns false if the listener is closed or its backlog is full.
func (l *listener) offer(c *conn) bool {
	select {
	case <-l.closed:
		return false
	default:
	}
	select {
	case l.backlog <- c:
		return true
	default:
		return false
	}
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.backlog:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *listener) Close() error {
	l.closeOnce.Do(func() {
		close(l.closed)
		l.network.mu.Lock()
		defer l.network.mu.Unlock()
		delete(l.network.listeners, l.address)
		l.closeBacklog()
	})
	return nil
}

// closeBacklog closes the connections that have not been accepted.
func (l *listener) closeBacklog() {
	for {
		select {
		case c := <-l.backlog:
			_ = c.Close()
		default:
			return
		}
	}
}

// Addr implements net.Listener.
func (l *listener) Addr() net.Addr { return net.TCPAddrFromAddrPort(l.address) }
