package daemon_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/samphireusher/samphireusher/platform/usherstandin"
)

// callerConn is a caller's connection, which sends and reads byte for byte.
type callerConn struct {
	net.Conn
	reader *bufio.Reader
}

func (b *testbed) connect(h *host) callerConn {
	b.t.Helper()
	conn, err := b.dial(h)
	if err != nil {
		b.t.Fatal(err)
	}
	return conn
}

func (b *testbed) dial(h *host) (callerConn, error) {
	conn, err := b.network.Dialer(netip.MustParseAddr(callerIP))(b.t.Context(), "tcp", fmt.Sprintf("%s:%d", h.ip, callerPort))
	return callerConn{Conn: conn, reader: bufio.NewReader(conn)}, err
}

func (c callerConn) send(t *testing.T, text string) {
	t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
}

// receive reads a response to its end.
func (c callerConn) receive() (status int, body string, err error) {
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return 0, "", err
	}
	data, err := io.ReadAll(response.Body)
	return response.StatusCode, string(data), err
}

// head returns the header of a request without the empty line at its end.
func head(method, path, attempt, timeout string) string {
	return method + " " + path + " HTTP/1.1\r\nHost: " + hostName + "\r\nAttempt-Id: " + attempt + "\r\nDeadline-Ms: " + timeout + "\r\nApi-Key: " + apiKey + "\r\n"
}

const chunkedBody = "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"

// A host closes a kept connection as idle although it has read the next request on it: http.Server reports a connection as active only
// once it has decoded a whole header. The host passed the request on, and its answer had no connection.
func TestRequestOnAClosedConnectionIsNotPassedOn(t *testing.T) {
	for _, c := range []struct {
		name string
		// until is the time from the first response to the next request, late the time until the host handles that one.
		until, late time.Duration
		stop        bool
	}{
		{"idle timeout", 16 * time.Second, 2 * time.Second, false},
		{"planned stop", 3 * time.Second, 100 * time.Millisecond, true},
	} {
		for name, request := range map[string]string{
			"in chunks": head("POST", "/allotment/x", "a2", "1000") + chunkedBody, "without a body": head("GET", "/status/x", "a2", "1000") + "\r\n",
		} {
			t.Run(c.name+" "+name, func(t *testing.T) {
				var d delays
				withTestbed(t, options{hosts: 2, plainTargets: 2, editPlatform: d.hold}, func(t *testing.T, b *testbed) {
					conn := b.connect(b.hosts[0])
					defer func() { _ = conn.Close() }()
					conn.send(t, head("POST", "/allotment/x", "a1", "1000")+chunkedBody)
					if status, _, err := conn.receive(); status != http.StatusOK {
						t.Fatalf("first request: status %d, error %v", status, err)
					}
					if c.stop {
						// The host waits for a request on this one.
						other := b.connect(b.hosts[0])
						defer func() { _ = other.Close() }()
						b.stop(b.hosts[0])
					}
					time.Sleep(c.until)
					d.read.Store(int64(c.late))
					conn.send(t, request)
					status, _, err := conn.receive()
					time.Sleep(c.late)
					if runs := b.runsOf("a2"); status == 0 && len(runs) > 0 {
						t.Errorf("no answer (%v), but run by %v", err, runs)
					}
				})
			})
		}
	}
}

// A response is on its way to a caller that is slow to read, and its handler has returned. A stopping host that served nothing else
// waited one second and exited.
func TestStoppingHostSendsItsResponsesToTheEnd(t *testing.T) {
	for _, c := range []struct {
		name, request string
		after, write  time.Duration
		fault         usherstandin.Fault
		want          int
	}{
		{"call", head("POST", "/allotment/x", "a1", "1000") + chunkedBody, 2950 * time.Millisecond, 3 * time.Second, usherstandin.NoFault, http.StatusOK},
		{"refusal", head("POST", "/nowhere/", "a1", "1000") + chunkedBody, 2950 * time.Millisecond, 3 * time.Second, usherstandin.NoFault, http.StatusNotFound},
		{"call that takes until the exit", head("POST", "/allotment/x", "a1", "5000") + chunkedBody, 2300 * time.Millisecond, 400 * time.Millisecond, usherstandin.NeverResponds, http.StatusGatewayTimeout},
	} {
		t.Run(c.name, func(t *testing.T) {
			var d delays
			withTestbed(t, options{hosts: 2, plainTargets: 2, editPlatform: d.hold}, func(t *testing.T, b *testbed) {
				for _, target := range b.targets {
					target.SetFault(c.fault)
				}
				b.stop(b.hosts[0])
				time.Sleep(c.after)
				d.write.Store(int64(c.write))
				conn := b.connect(b.hosts[0])
				defer func() { _ = conn.Close() }()
				conn.send(t, c.request)
				if status, _, err := conn.receive(); status != c.want || err != nil {
					t.Errorf("status %d, error %v; want %d", status, err, c.want)
				}
			})
		})
	}
}

// Calls that reach a stopping host late were taken if their objective ended before the exit. Those that targets were slow to answer ran
// and got 504 at the exit, although another host could have served them, or a part of a long response.
func TestStoppingHostTakesNoCallThatItCannotFinish(t *testing.T) {
	const (
		unsafe = "POST /allotment/x"
		safe   = "GET /status/x"
	)
	for _, c := range []struct {
		call, timeout string
		after         time.Duration
		want          int
	}{
		{unsafe, "1000", 6300 * time.Millisecond, http.StatusGatewayTimeout},
		{unsafe, "1000", 6500 * time.Millisecond, http.StatusServiceUnavailable},
		{unsafe, "1000", 7200 * time.Millisecond, http.StatusServiceUnavailable},
		{unsafe, "1000", 7450 * time.Millisecond, http.StatusServiceUnavailable},
		{unsafe, "5000", 2300 * time.Millisecond, http.StatusGatewayTimeout},
		{unsafe, "5000", 2500 * time.Millisecond, http.StatusServiceUnavailable},
		{safe, "1000", 6300 * time.Millisecond, http.StatusGatewayTimeout},
		{safe, "1000", 6500 * time.Millisecond, http.StatusServiceUnavailable},
		{safe, "1000", 7200 * time.Millisecond, http.StatusServiceUnavailable},
		{safe, "1000", 7450 * time.Millisecond, http.StatusServiceUnavailable},
		{safe, "5000", 3900 * time.Millisecond, http.StatusGatewayTimeout},
		{safe, "5000", 4100 * time.Millisecond, http.StatusServiceUnavailable},
	} {
		t.Run(fmt.Sprint(c.call, " ", c.timeout, " ms after ", c.after), func(t *testing.T) {
			withTestbed(t, options{hosts: 2, engines: 2, plainTargets: 3}, func(t *testing.T, b *testbed) {
				stopped := b.stopAfterStream(b.hosts[0])
				for _, target := range b.targets {
					target.SetFault(usherstandin.NeverResponds)
				}
				time.Sleep(time.Until(stopped.Add(c.after - 300*time.Millisecond)))
				conn := b.connect(b.hosts[0])
				defer func() { _ = conn.Close() }()
				time.Sleep(300 * time.Millisecond)
				method, path, _ := strings.Cut(c.call, " ")
				conn.send(t, head(method, path, "a1", c.timeout)+chunkedBody)
				status, _, err := conn.receive()
				if err != nil || status != c.want {
					t.Errorf("status %d, error %v; want %d", status, err, c.want)
				}
				if runs := b.runsOf("a1"); status == http.StatusServiceUnavailable && len(runs) > 0 {
					t.Errorf("refused, but run by %v", runs)
				}
			})
		})
	}
}

// The body of a request is still arriving when a stopping host ends its requests. The caller got a closed connection.
func TestStoppingHostRefusesRequestsWhoseBodyIsLate(t *testing.T) {
	withTestbed(t, options{hosts: 2, plainTargets: 2}, func(t *testing.T, b *testbed) {
		b.stop(b.hosts[0])
		time.Sleep(2900 * time.Millisecond)
		conn := b.connect(b.hosts[0])
		defer func() { _ = conn.Close() }()
		conn.send(t, head("POST", "/allotment/x", "a1", "1000")+"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n")
		if status, _, err := conn.receive(); status != http.StatusServiceUnavailable || err != nil {
			t.Errorf("status %d, error %v; want 503", status, err)
		}
	})
}

// A request is refused before its body is read, and the rest of the body is late. The refusal waited for it, and the host exited.
func TestStoppingHostSendsRefusalsOfRequestsWhoseBodyIsLate(t *testing.T) {
	withTestbed(t, options{hosts: 2, plainTargets: 2}, func(t *testing.T, b *testbed) {
		conn := b.connect(b.hosts[0])
		defer func() { _ = conn.Close() }()
		conn.send(t, head("POST", "/nowhere/", "a1", "1000")+"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n")
		time.Sleep(time.Second)
		b.stop(b.hosts[0])
		if status, _, err := conn.receive(); status != http.StatusNotFound || err != nil {
			t.Errorf("status %d, error %v; want 404", status, err)
		}
	})
}

// A caller closes its sending side after its request, as some do that send only one, and reads on. The host took it for gone, cut
// the target off and closed the connection without the answer.
func TestCallerThatStopsSendingGetsItsAnswer(t *testing.T) {
	for _, c := range []struct {
		method, path string
		// interval is the time of a call or between two events.
		interval time.Duration
		events   int
	}{
		{"POST", "/allotment/x", 15 * time.Millisecond, 0},
		{"POST", "/allotment/x", 900 * time.Millisecond, 0},
		{"GET", "/status/x", 15 * time.Millisecond, 0},
		{"POST", "/appraisal/100", 30 * time.Millisecond, 100},
		{"POST", "/appraisal/20", 180 * time.Millisecond, 20},
		{"POST", "/eligibility/20", 180 * time.Millisecond, 20},
	} {
		t.Run(fmt.Sprint(c.path, " ", c.interval), func(t *testing.T) {
			withTestbed(t, options{hosts: 1, engines: 2, plainTargets: 2, serviceTime: c.interval, eventInterval: c.interval}, func(t *testing.T, b *testbed) {
				conn := b.connect(b.hosts[0])
				defer func() { _ = conn.Close() }()
				body := chunkedBody
				if c.method == "GET" {
					body = "\r\n"
				}
				conn.send(t, head(c.method, c.path, "a1", "39000")+body)
				time.Sleep(5 * time.Millisecond)
				if err := conn.Conn.(interface{ CloseWrite() error }).CloseWrite(); err != nil {
					t.Fatal(err)
				}
				status, got, err := conn.receive()
				if err != nil || status != http.StatusOK {
					t.Errorf("status %d, error %v; run by %v", status, err, b.runsOf("a1"))
				}
				if n := len(events(got)); n != c.events {
					t.Errorf("%d events, want %d", n, c.events)
				}
			})
		})
	}
}
