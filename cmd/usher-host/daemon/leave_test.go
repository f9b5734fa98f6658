package daemon_test

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/samphireusher/samphireusher/platform/usherstandin"
)

// A caller closes its sending side while a target works on its request, and reads on. The host took it for gone and sent nothing of
// its own, so the HTTP server sent an empty 200 that no target had given. Found by the review, drill leave. It gets the host's
// own answer.
func TestCallerThatStopsSendingGetsNoSuccess(t *testing.T) {
	for _, path := range []string{"/allotment/x", "/status/x", "/appraisal/50", "/eligibility/50"} {
		t.Run(path, func(t *testing.T) {
			withTestbed(t, options{hosts: 1, engines: 2, plainTargets: 2}, func(t *testing.T, b *testbed) {
				for _, target := range b.targets {
					target.SetFault(usherstandin.NeverResponds)
				}
				conn, err := b.network.Dialer(netip.MustParseAddr(callerIP))(t.Context(), "tcp", fmt.Sprintf("%s:%d", b.hosts[0].ip, callerPort))
				if err != nil {
					t.Fatal(err)
				}
				defer func() { _ = conn.Close() }()
				request := "POST " + path + " HTTP/1.1\r\nHost: " + hostName + "\r\nAttempt-Id: a1\r\nApi-Key: " + apiKey + "\r\nDeadline-Ms: 5000\r\nContent-Length: 1\r\n\r\nx"
				if _, err := io.WriteString(conn, request); err != nil {
					t.Fatal(err)
				}
				time.Sleep(100 * time.Millisecond)
				if err := conn.(interface{ CloseWrite() error }).CloseWrite(); err != nil {
					t.Fatal(err)
				}
				response, err := http.ReadResponse(bufio.NewReader(conn), nil)
				if err != nil || response.StatusCode != http.StatusGatewayTimeout {
					t.Errorf("response %+v, error %v; want 504", response, err)
				}
			})
		})
	}
}

// A call that may run once goes on after its caller has closed its sending side. If no target can be reached for a while, it must
// not be sent long after that, as the caller may have left.
func TestCallOfADepartedCallerIsNotSentLate(t *testing.T) {
	withTestbed(t, options{hosts: 1, plainTargets: 2}, func(t *testing.T, b *testbed) {
		h := b.hosts[0]
		for i := range 2 {
			b.network.Block(mustAddr(h.ip), netip.AddrFrom4([4]byte{10, 128, 2, byte(i + 1)}))
		}
		conn := b.connect(h)
		conn.send(t, head("POST", "/allotment/x", "a1", "5000")+chunkedBody)
		time.Sleep(5 * time.Millisecond)
		_ = conn.Close()
		time.Sleep(505 * time.Millisecond)
		b.network.Heal()
		time.Sleep(2 * time.Second)
		if runs := b.runsOf("a1"); len(runs) > 0 {
			t.Errorf("run by %v more than half a second after the caller had left", runs)
		}
	})
}

// A caller leaves while a target pauses, or is slow, inside a response that is too long to be buffered. The host took a caller whose
// response had begun for one that only sends nothing more, and the target worked on.
func TestTargetOfALongResponseIsCancelledWhenTheCallerLeaves(t *testing.T) {
	for name, fault := range map[string]usherstandin.Fault{"pause": usherstandin.StallsInsideLargeBody, "single bytes": usherstandin.TricklesInsideLargeBody} {
		t.Run(name, func(t *testing.T) {
			withTestbed(t, options{hosts: 1, plainTargets: 2}, func(t *testing.T, b *testbed) {
				for _, target := range b.targets {
					target.SetFault(fault)
				}
				conn := b.connect(b.hosts[0])
				conn.send(t, head("GET", "/status/x", "a1", "5000")+"\r\n")
				received := make(chan int64)
				go func() {
					n, _ := io.Copy(io.Discard, conn.reader)
					received <- n
				}()
				time.Sleep(time.Second)
				_ = conn.Close()
				left := time.Now()
				if n := <-received; n < usherstandin.LargeBytes/2 {
					t.Fatalf("%d bytes received before the caller left, want half of the response", n)
				}
				time.Sleep(4 * time.Second)
				id, run := b.onlyRun("a1")
				if run.Cancelled.IsZero() || run.Cancelled.Sub(left) > 400*time.Millisecond {
					t.Errorf("%s was not cancelled within 400 ms of the caller's departure, but after %s", id, run.Cancelled.Sub(left))
				}
			})
		})
	}
}

// A caller closes its sending side and is slow to read a response that is too long to be buffered. Only the host's writes show that
// it is there; one of them takes longer than a departure.
func TestSlowCallerThatStopsSendingGetsItsLongResponse(t *testing.T) {
	for _, call := range []string{"GET /status/x", "POST /allotment/x"} {
		t.Run(call, func(t *testing.T) {
			withTestbed(t, options{hosts: 1, plainTargets: 2}, func(t *testing.T, b *testbed) {
				for _, target := range b.targets {
					target.SetFault(usherstandin.LargeBody)
				}
				conn := b.connect(b.hosts[0])
				defer func() { _ = conn.Close() }()
				method, path, _ := strings.Cut(call, " ")
				conn.send(t, head(method, path, "a1", "5000")+chunkedBody)
				time.Sleep(5 * time.Millisecond)
				if err := conn.Conn.(interface{ CloseWrite() error }).CloseWrite(); err != nil {
					t.Fatal(err)
				}
				time.Sleep(3 * time.Second)
				if status, body, err := conn.receive(); status != http.StatusOK || err != nil || len(body) != usherstandin.LargeBytes {
					t.Errorf("status %d, %d bytes, error %v; want the whole response", status, len(body), err)
				}
			})
		})
	}
}
