package ushernet

import (
	"io"
	"net"
	"net/netip"
	"os"
	"sync"
	"time"
)

// bufferedBytes bounds what one direction of a connection holds before its writer waits.
const bufferedBytes = 256 << 10

type (
	// stream is one direction of a connection.
	stream struct {
		network *Network
		link    link

		mu      sync.Mutex
		chunks  []chunk
		size    int
		ended   bool // the writer has closed
		dropped bool // the reader has closed
		changed chan struct{}
	}

	// chunk is what one write sent, and when it arrives.
	chunk struct {
		at   time.Time
		data []byte
	}

	// conn is one end of a connection.
	conn struct {
		local, remote netip.AddrPort
		in, out       *stream

		mu                          sync.Mutex
		closed                      chan struct{}
		readDeadline, writeDeadline time.Time
		deadlineChanged             chan struct{}
	}

	listener struct {
		network *Network
		address netip.AddrPort
		backlog chan net.Conn
		closing sync.Once
		closed  chan struct{}
	}
)

func (n *Network) pair(a, b netip.AddrPort) (near, far *conn) {
	there := &stream{network: n, link: link{a.Addr(), b.Addr()}, changed: make(chan struct{})}
	back := &stream{network: n, link: link{b.Addr(), a.Addr()}, changed: make(chan struct{})}
	near = &conn{local: a, remote: b, in: back, out: there, closed: make(chan struct{}), deadlineChanged: make(chan struct{})}
	far = &conn{local: b, remote: a, in: there, out: back, closed: make(chan struct{}), deadlineChanged: make(chan struct{})}
	return near, far
}

// notify wakes all who wait on the stream. The caller holds the lock.
func (s *stream) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// take copies what has arrived into data. It returns what to wait for if there is nothing.
func (s *stream) take(data []byte) (count int, changed <-chan struct{}, due time.Time, err error) {
	cut, healed := s.network.state(s.link)
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.dropped:
		return 0, nil, time.Time{}, net.ErrClosed
	case cut:
		return 0, healed, time.Time{}, nil
	case len(s.chunks) == 0 && s.ended:
		return 0, nil, time.Time{}, io.EOF
	case len(s.chunks) == 0:
		return 0, s.changed, time.Time{}, nil
	case time.Now().Before(s.chunks[0].at):
		return 0, s.changed, s.chunks[0].at, nil
	}
	first := &s.chunks[0]
	count = copy(data, first.data)
	first.data = first.data[count:]
	if len(first.data) == 0 {
		s.chunks = s.chunks[1:]
	}
	s.size -= count
	s.notify()
	return count, nil, time.Time{}, nil
}

// put appends data unless the stream is full, in which case it returns what to wait for.
func (s *stream) put(data []byte) (done bool, changed <-chan struct{}, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.dropped || s.ended {
		return false, nil, io.ErrClosedPipe
	}
	if s.size > bufferedBytes {
		return false, s.changed, nil
	}
	s.chunks = append(s.chunks, chunk{at: time.Now().Add(s.network.options.Latency), data: append([]byte{}, data...)})
	s.size += len(data)
	s.notify()
	return true, nil, nil
}

func (s *stream) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended = true
	s.notify()
}

func (s *stream) drop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropped = true
	s.notify()
}

// Read implements net.Conn.
func (c *conn) Read(data []byte) (int, error) {
	for {
		count, changed, due, err := c.in.take(data)
		if count > 0 || err != nil {
			return count, err
		}
		if err := c.wait(changed, due, func() time.Time { return c.readDeadline }); err != nil {
			return 0, err
		}
	}
}

// Write implements net.Conn.
func (c *conn) Write(data []byte) (int, error) {
	for {
		done, changed, err := c.out.put(data)
		if err != nil {
			return 0, err
		}
		if done {
			return len(data), nil
		}
		if err := c.wait(changed, time.Time{}, func() time.Time { return c.writeDeadline }); err != nil {
			return 0, err
		}
	}
}

// wait returns when there may be something to do, or with an error at the deadline and at the end of the connection.
func (c *conn) wait(changed <-chan struct{}, due time.Time, deadlineOf func() time.Time) error {
	c.mu.Lock()
	deadline, deadlineChanged := deadlineOf(), c.deadlineChanged
	c.mu.Unlock()
	wake := due
	if !deadline.IsZero() {
		if !time.Now().Before(deadline) {
			return os.ErrDeadlineExceeded
		}
		if wake.IsZero() || deadline.Before(wake) {
			wake = deadline
		}
	}
	timeout, stop := timerAt(wake)
	defer stop()
	select {
	case <-changed:
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
		close(c.closed)
		c.out.end()
		c.in.drop()
	}
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

// offer hands a new connection to the listener and reports whether it took it.
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
	l.closing.Do(func() {
		close(l.closed)
		l.network.mu.Lock()
		defer l.network.mu.Unlock()
		delete(l.network.listeners, l.address)
		l.reset()
	})
	return nil
}

// reset closes the connections that nobody accepted.
func (l *listener) reset() {
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
