package daemon_test

import (
	"io"
	"net"
	"sync"
	"time"
)

const (
	linkPasses linkMode = iota
	// linkDelays holds each piece back for a while.
	linkDelays
	// linkResets breaks the connections there are and each new one.
	linkResets
	// linkSwallows takes what is sent both ways and passes nothing on.
	linkSwallows
	// linkOneWay passes nothing back to the side that connected.
	linkOneWay
	linkModes

	linkDelay  = 80 * time.Millisecond
	linkBuffer = 16 << 10
)

type (
	// linkMode is what a link does to connections through it.
	linkMode int

	// link is a loopback proxy before one server.
	link struct {
		listener net.Listener
		to       string

		mu    sync.Mutex
		mode  linkMode
		conns map[net.Conn]bool
	}
)

func newLink(at, to string) (*link, error) {
	listener, err := net.Listen("tcp4", at)
	if err != nil {
		return nil, err
	}
	l := &link{listener: listener, to: to, conns: map[net.Conn]bool{}}
	go l.accept()
	return l, nil
}

func (l *link) accept() {
	for {
		near, err := l.listener.Accept()
		if err != nil {
			return
		}
		go l.join(near)
	}
}

func (l *link) join(near net.Conn) {
	defer near.Close()
	far, err := net.Dial("tcp4", l.to)
	if err != nil || l.current() == linkResets {
		abort(near)
		return
	}
	defer far.Close()
	l.hold(near, true)
	defer l.hold(near, false)
	done := make(chan struct{}, 2)
	go func() { l.copy(far, near, false); done <- struct{}{} }()
	go func() { l.copy(near, far, true); done <- struct{}{} }()
	<-done
}

// copy passes bytes on; back says that they go to the side that connected.
func (l *link) copy(to io.Writer, from io.Reader, back bool) {
	buffer := make([]byte, linkBuffer)
	for {
		n, err := from.Read(buffer)
		mode := l.current()
		if mode == linkDelays {
			time.Sleep(linkDelay)
		}
		if swallowed := mode == linkSwallows || mode == linkOneWay && back; n > 0 && !swallowed {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

func (l *link) hold(conn net.Conn, held bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if held {
		l.conns[conn] = true
	} else {
		delete(l.conns, conn)
	}
}

func (l *link) current() linkMode {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.mode
}

func (l *link) set(mode linkMode) {
	l.mu.Lock()
	defer l.mu.Unlock()
	// Bytes that were swallowed are missing for good, so such connections do not go on.
	if broken := l.mode == linkSwallows || l.mode == linkOneWay; mode == linkResets || broken {
		for conn := range l.conns {
			abort(conn)
		}
	}
	l.mode = mode
}

// abort ends a connection by a reset.
func abort(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}
