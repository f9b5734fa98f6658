package daemon_test

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/samphireusher/samphireusher/platform/usherstandin"
)

// stopAfterStream stops a host while it serves a stream that lasts beyond the grace period, and returns the time of the signal.
func (b *testbed) stopAfterStream(h *host) time.Time {
	b.startStream(h, "/appraisal/1000")
	time.Sleep(time.Second)
	b.stop(h)
	return time.Now()
}

// Callers whose answer about hosts is still valid send streams to a host that has been stopping for seconds. It took those
// that may be resumed until it exited, and cut them off. Found by review/3.
func TestStoppingHostTakesNoStreamThatItCannotFinish(t *testing.T) {
	for _, c := range []struct {
		after time.Duration
		want  int
	}{
		{100 * time.Millisecond, http.StatusOK},
		{2 * time.Second, http.StatusOK},
		{3 * time.Second, http.StatusServiceUnavailable},
		{5 * time.Second, http.StatusServiceUnavailable},
		{6500 * time.Millisecond, http.StatusServiceUnavailable},
		{7300 * time.Millisecond, http.StatusServiceUnavailable},
	} {
		t.Run(c.after.String(), func(t *testing.T) {
			withTestbed(t, options{hosts: 2, engines: 3, eventInterval: 250 * time.Millisecond}, func(t *testing.T, b *testbed) {
				stopped := b.stopAfterStream(b.hosts[0])
				time.Sleep(time.Until(stopped.Add(c.after)))
				got := b.post(b.hosts[0], "/eligibility/8")
				if got.err != nil || got.status != c.want {
					t.Errorf("status %d, error %v, %d events; want %d", got.status, got.err, len(events(got.body)), c.want)
				}
				if refused := got.status == http.StatusServiceUnavailable; refused && (got.header.Get("Retry-After") == "" || len(b.runsOf(got.attempt)) > 0) {
					t.Errorf("refused with Retry-After %q after runs %v", got.header.Get("Retry-After"), b.runsOf(got.attempt))
				}
			})
		})
	}
}

// A stopping host passed calls on until it exited. Targets that are slow to answer them then left the callers with a closed
// connection in place of an answer. Calls that are too late for an answer must not run.
func TestStoppingHostAnswersEachCallBeforeItExits(t *testing.T) {
	for _, c := range []struct {
		method, path string
		after        time.Duration
		want         int
	}{
		{http.MethodPost, "/allotment/x", 0, http.StatusGatewayTimeout},
		{http.MethodPost, "/allotment/x", 2300 * time.Millisecond, http.StatusGatewayTimeout},
		{http.MethodPost, "/allotment/x", 6 * time.Second, http.StatusServiceUnavailable},
		{http.MethodGet, "/status/x", 3900 * time.Millisecond, http.StatusGatewayTimeout},
		{http.MethodGet, "/status/x", 6 * time.Second, http.StatusServiceUnavailable},
		{http.MethodPost, "/allotment/x", 7350 * time.Millisecond, http.StatusServiceUnavailable},
		{http.MethodPost, "/eligibility/3", 0, http.StatusGatewayTimeout},
	} {
		t.Run(fmt.Sprint(c.path, " after ", c.after), func(t *testing.T) {
			withTestbed(t, options{hosts: 2, engines: 3, plainTargets: 3}, func(t *testing.T, b *testbed) {
				stopped := b.stopAfterStream(b.hosts[0])
				for _, target := range b.targets {
					target.SetFault(usherstandin.NeverResponds)
				}
				time.Sleep(time.Until(stopped.Add(c.after)))
				got := b.do(b.request(t.Context(), b.hosts[0], c.method, c.path, ""))
				if got.err != nil || got.status != c.want {
					t.Errorf("status %d, error %v; want %d", got.status, got.err, c.want)
				}
				if elapsed := time.Since(stopped); elapsed > 7600*time.Millisecond {
					t.Errorf("answered %s after the signal; the host exits after 7.75 s", elapsed)
				}
				if runs := b.runsOf(got.attempt); c.want == http.StatusServiceUnavailable && len(runs) > 0 {
					t.Errorf("refused, but run by %v", runs)
				}
			})
		})
	}
}

// Streams that wait for their first event when the grace period ends got a closed connection in place of an answer.
func TestStoppingHostAnswersStreamsThatHaveNotBegun(t *testing.T) {
	withTestbed(t, options{hosts: 2, engines: 3}, func(t *testing.T, b *testbed) {
		for _, target := range b.targets {
			target.SetFault(usherstandin.NeverResponds)
		}
		done := make(chan result)
		const streams = 30
		for range streams {
			go func() { done <- b.post(b.hosts[0], "/appraisal/5") }()
		}
		time.Sleep(time.Second)
		b.stop(b.hosts[0])
		for range streams {
			if got := <-done; got.err != nil || got.status != http.StatusGatewayTimeout {
				t.Errorf("status %d, error %v; want 504", got.status, got.err)
			}
		}
	})
}

// A connection on which no request arrives must not hold up the exit until the end of the grace period.
func TestStoppingHostDoesNotWaitForUnusedConnections(t *testing.T) {
	withTestbed(t, options{hosts: 2, plainTargets: 1}, func(t *testing.T, b *testbed) {
		h := b.hosts[0]
		b.stop(h)
		stopped := time.Now()
		time.Sleep(2900 * time.Millisecond)
		conn := b.connect(h)
		defer func() { _ = conn.Close() }()
		err := <-h.done
		h.done <- err
		if elapsed := time.Since(stopped); elapsed > 4500*time.Millisecond {
			t.Errorf("the host ended %s after the signal, want about 4 s", elapsed)
		}
	})
}

// A request arrives, on a connection that was accepted before, after an idle host has closed its listener. The host waited
// one second for such requests, and exited although it was serving one.
func TestStoppingHostFinishesTheLastRequests(t *testing.T) {
	withTestbed(t, options{hosts: 2, plainTargets: 3}, func(t *testing.T, b *testbed) {
		for _, target := range b.targets {
			target.SetFault(usherstandin.NeverResponds)
		}
		h := b.hosts[0]
		b.stop(h)
		time.Sleep(2900 * time.Millisecond)
		conn, err := b.network.Dialer(netip.MustParseAddr(callerIP))(t.Context(), "tcp", fmt.Sprintf("%s:%d", h.ip, callerPort))
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = conn.Close() }()
		if _, err := io.WriteString(conn, "GET /status/ HTTP/1.1\r\nHost: "+hostName+"\r\nAttempt-Id: a1\r\nDeadline-Ms: 3000\r\n"); err != nil {
			t.Fatal(err)
		}
		time.Sleep(500 * time.Millisecond)
		if _, err := io.WriteString(conn, "Api-Key: "+apiKey+"\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			t.Fatalf("no response: %v", err)
		}
		if response.StatusCode != http.StatusGatewayTimeout {
			t.Errorf("status %d, want 504 at the caller's timeout", response.StatusCode)
		}
	})
}
