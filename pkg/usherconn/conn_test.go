package usherconn_test

import (
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/samphireusher/samphireusher/pkg/usherconn"
)

const (
	uploadBytes = 8 << 20
	resets      = 20
	// testTimeout bounds what takes milliseconds.
	testTimeout = 20 * time.Second
)

// stubConn is a connection whose read has reached the end, and whose write blocks until its deadline and then returns writeError.
type stubConn struct {
	net.Conn
	writeError error
	started    chan struct{}
	expired    chan struct{}
	// delay is the time between the deadline and the return of the write.
	delay    time.Duration
	returned atomic.Bool
}

func (c *stubConn) Read([]byte) (int, error) { return 0, io.EOF }

func (c *stubConn) Write([]byte) (int, error) {
	close(c.started)
	<-c.expired
	time.Sleep(c.delay)
	c.returned.Store(true)
	return 0, c.writeError
}

func (c *stubConn) SetWriteDeadline(time.Time) error {
	close(c.expired)
	return nil
}

// serve accepts a connection and calls respond with it. It returns the client's end.
func serve(t *testing.T, respond func(conn *net.TCPConn)) *usherconn.Conn {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	client, err := net.Dial("tcp4", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = client.Close() })
	if err := client.SetDeadline(time.Now().Add(testTimeout)); err != nil {
		t.Fatal(err)
	}
	accepted, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = accepted.Close() })
	go respond(accepted.(*net.TCPConn))
	return usherconn.New(client)
}

// A peer sends a part of its response and resets the connection during an upload. On a plain connection the write nearly always gets the
// error, and the read an ordinary end.
func TestResetDuringAWriteIsNoOrdinaryEnd(t *testing.T) {
	for range resets {
		conn := serve(t, func(peer *net.TCPConn) {
			_, _ = io.WriteString(peer, "part")
			time.Sleep(5 * time.Millisecond)
			_ = peer.SetLinger(0)
			_ = peer.Close()
		})
		go func() { _, _ = conn.Write(make([]byte, uploadBytes)) }()
		got, err := io.ReadAll(conn)
		if string(got) != "part" || !errors.Is(err, syscall.ECONNRESET) {
			t.Errorf("read %q, error %v; want the part and a reset", got, err)
		}
	}
}

// A peer that closes its sending side has sent all of its response, whatever it does with the rest of the request.
func TestOrderlyEndDuringAWriteStaysOne(t *testing.T) {
	for name, respond := range map[string]func(peer *net.TCPConn, whole <-chan struct{}){
		"reads on":      func(peer *net.TCPConn, _ <-chan struct{}) { _, _ = io.Copy(io.Discard, peer) },
		"reads no more": func(_ *net.TCPConn, whole <-chan struct{}) { <-whole },
		"resets later": func(peer *net.TCPConn, _ <-chan struct{}) {
			time.Sleep(5 * time.Millisecond)
			_ = peer.SetLinger(0)
			_ = peer.Close()
		},
	} {
		t.Run(name, func(t *testing.T) {
			for range resets {
				whole := make(chan struct{})
				conn := serve(t, func(peer *net.TCPConn) {
					_, _ = io.WriteString(peer, "whole")
					_ = peer.CloseWrite()
					respond(peer, whole)
				})
				go func() { _, _ = conn.Write(make([]byte, uploadBytes)) }()
				got, err := io.ReadAll(conn)
				close(whole)
				if string(got) != "whole" || err != nil {
					t.Errorf("read %q, error %v; want all and no error", got, err)
				}
			}
		})
	}
}

// The reader may see the end before the write in progress has reported its error.
func TestReadWaitsForTheErrorOfAWriteInProgress(t *testing.T) {
	for _, c := range []struct {
		name       string
		writeError error
		want       error
	}{
		{"reset", syscall.ECONNRESET, syscall.ECONNRESET},
		{"no acknowledgement", syscall.ETIMEDOUT, syscall.ETIMEDOUT},
		{"deadline", os.ErrDeadlineExceeded, io.EOF},
		{"peer that takes nothing more", syscall.EPIPE, io.EOF},
		{"complete", nil, io.EOF},
	} {
		t.Run(c.name, func(t *testing.T) {
			stub := &stubConn{writeError: c.writeError, started: make(chan struct{}), expired: make(chan struct{}), delay: 10 * time.Millisecond}
			conn := usherconn.New(stub)
			go func() { _, _ = conn.Write([]byte("request")) }()
			<-stub.started
			for range 2 {
				if _, err := conn.Read(make([]byte, 1)); !errors.Is(err, c.want) || !stub.returned.Load() {
					t.Errorf("error %v, write returned %v; want %v after the write", err, stub.returned.Load(), c.want)
				}
			}
		})
	}
}

// The same for clients of net/http, whose transport reads and writes in goroutines of its own.
func TestHTTPClientTakesNoResponseResetDuringAnUploadForWhole(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = conn.Read(make([]byte, 4<<10))
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\npart")
				time.Sleep(5 * time.Millisecond)
				_ = conn.(*net.TCPConn).SetLinger(0)
				_ = conn.Close()
			}()
		}
	}()
	client := &http.Client{Timeout: testTimeout, Transport: &http.Transport{DialContext: usherconn.Dialer((&net.Dialer{}).DialContext), DisableKeepAlives: true}}
	for range resets {
		response, err := client.Post("http://"+listener.Addr().String(), "text/plain", bytes.NewReader(make([]byte, uploadBytes)))
		if err != nil {
			continue
		}
		body, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		if err == nil {
			t.Errorf("read %q as a complete body", body)
		}
	}
}
