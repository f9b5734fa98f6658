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

// The tests in this file cover failures that operators of similar systems have reported.

// A target sends a delayed second copy of its response, when the caller's connection is already in use for the next
// request. The copy must not be relayed.
func TestDuplicateResponseIsDiscarded(t *testing.T) {
	withTestbed(t, options{hosts: 1, plainTargets: 1}, func(t *testing.T, b *testbed) {
		keepAliveClient := &http.Client{Transport: &http.Transport{DialContext: b.network.Dialer(netip.MustParseAddr(callerIP)), MaxConnsPerHost: 1}}
		defer keepAliveClient.CloseIdleConnections()
		b.targets["plain-0"].SetFault(usherstandin.DuplicatesResponse)
		for i := range 20 {
			path := fmt.Sprint("/allotment/", i)
			response, err := keepAliveClient.Do(b.request(t.Context(), b.hosts[0], http.MethodPost, path, "a body"))
			if err != nil {
				t.Fatal(err)
			}
			body, err := io.ReadAll(response.Body)
			if want := "POST " + path + " by plain-0"; err != nil || string(body) != want || response.Close {
				t.Fatalf("response %q (error %v) on a keep-alive connection, want %q", body, err, want)
			}
		}
	})
}

// A planned stop under load lost requests that had just been accepted when the process exited.
func TestPlannedStopServesJustAcceptedRequests(t *testing.T) {
	for _, delay := range []time.Duration{0, 1500 * time.Millisecond, 2900 * time.Millisecond, 2990 * time.Millisecond, 2999 * time.Millisecond} {
		t.Run(delay.String(), func(t *testing.T) {
			withTestbed(t, options{hosts: 2, plainTargets: 2}, func(t *testing.T, b *testbed) {
				h := b.hosts[0]
				stopped := time.Now()
				b.stop(h)
				time.Sleep(delay)
				conn, err := b.network.Dialer(netip.MustParseAddr(callerIP))(t.Context(), "tcp", fmt.Sprintf("%s:%d", h.ip, callerPort))
				if err != nil {
					t.Fatal(err)
				}
				defer func() { _ = conn.Close() }()
				partialRequest := "GET /status/ HTTP/1.1\r\nHost: " + hostName + "\r\nAttempt-Id: a1\r\n"
				if _, err := io.WriteString(conn, partialRequest); err != nil {
					t.Fatal(err)
				}
				time.Sleep(200 * time.Millisecond)
				if _, err := io.WriteString(conn, "Api-Key: "+apiKey+"\r\n\r\n"); err != nil {
					t.Fatalf("the connection was closed %s after the stop began: %v", time.Since(stopped), err)
				}
				response, err := http.ReadResponse(bufio.NewReader(conn), nil)
				if err != nil {
					t.Fatalf("no response to a request accepted %s after the stop began: %v", delay, err)
				}
				if response.StatusCode != http.StatusOK || !response.Close {
					t.Errorf("status %d, Connection: close %t; want 200 and true", response.StatusCode, response.Close)
				}
			})
		})
	}
}

// Engines are slow but healthy: the pauses between events are longer than the one after which a stream may be tried
// elsewhere. The streams must still complete.
func TestSlowHealthyStreamsAreNotCut(t *testing.T) {
	for _, path := range []string{"/appraisal/25", "/eligibility/3"} {
		t.Run(path, func(t *testing.T) {
			withTestbed(t, options{hosts: 1}, func(t *testing.T, b *testbed) {
				for i := range 4 {
					b.addSlowEngine(fmt.Sprint("slow-", i), i, 1300*time.Millisecond)
				}
				time.Sleep(time.Second)
				got := b.post(b.hosts[0], path)
				if got.err != nil || got.status != http.StatusOK || !isComplete(got.body, got.attempt, len(events(got.body))) || !strings.HasSuffix(path, fmt.Sprint(len(events(got.body)))) {
					t.Errorf("status %d, error %v, %d events after %s", got.status, got.err, len(events(got.body)), got.elapsed)
				}
			})
		})
	}
}

// A target loses its connection to the store, so that its entry expires, but continues to run its streams. They must not be
// moved.
func TestTargetWhoseEntryExpiredKeepsItsStreams(t *testing.T) {
	withTestbed(t, options{hosts: 1, engines: 3}, func(t *testing.T, b *testbed) {
		attempt, done := b.startStream(b.hosts[0], "/appraisal/100")
		time.Sleep(500 * time.Millisecond)
		source := b.currentEngine(attempt)
		key, _ := b.targets[source].Entry("ready")
		b.store.Delete(key)
		got := <-done
		if got.err != nil || !isComplete(got.body, attempt, 100) {
			t.Errorf("error %v after %d events", got.err, len(events(got.body)))
		}
		if id, _ := b.onlyRun(attempt); id != source {
			t.Errorf("the run continued at %s, want it to stay where it was", id)
		}
	})
}

// The peers of a host receive nothing from it for a while. Its streams must continue and must not be started again
// elsewhere.
func TestHostUnheardByPeersKeepsItsStreams(t *testing.T) {
	withTestbed(t, options{hosts: 3, engines: 3}, func(t *testing.T, b *testbed) {
		h := b.hosts[2]
		attempt, done := b.startStream(h, "/appraisal/200")
		time.Sleep(500 * time.Millisecond)
		for i := range 2 {
			b.network.Block(mustAddr(h.ip), mustAddr(hostIP(i)))
		}
		time.Sleep(3 * time.Second)
		b.network.Heal()
		if got := <-done; got.err != nil || !isComplete(got.body, attempt, 200) {
			t.Errorf("error %v after %d events", got.err, len(events(got.body)))
		}
		b.onlyRun(attempt)
	})
}

// A host restarts while the only peer that it can reach has lost its connection to the store, and still has an older
// configuration and targets that have left. The store responds a moment later. The host must wait for it.
func TestRestartedHostIgnoresStalePeer(t *testing.T) {
	withTestbed(t, options{hosts: 3, plainTargets: 2}, func(t *testing.T, b *testbed) {
		stale := b.hosts[1]
		b.store.SetMode(stale.ip, usherstandin.Unresponsive)
		for _, i := range []int{0, 2} {
			b.network.Block(mustAddr(hostIP(i)), mustAddr(stale.ip))
			b.network.Block(mustAddr(stale.ip), mustAddr(hostIP(i)))
		}
		time.Sleep(2 * time.Second)
		b.declare(2, func(d map[string]any) {
			d["tenants"] = []any{map[string]any{"name": "weavers", "apiKeys": []string{"key-2"}}}
		})
		key, _ := b.targets["plain-1"].Entry("ready")
		b.store.Delete(key)
		time.Sleep(5 * time.Second)
		old := b.hosts[0]
		old.cancel()
		time.Sleep(100 * time.Millisecond)
		b.network.Heal()
		b.network.Block(mustAddr(hostIP(2)), mustAddr(old.ip))
		// The store responds later than a peer, but well within the timeout of a call.
		b.store.SetMode(old.ip, usherstandin.Delayed)
		restarted := b.startHost(0)
		for start := time.Now(); time.Since(start) < 4*time.Second; time.Sleep(20 * time.Millisecond) {
			if got := b.get(restarted, "/status/"); got.status == http.StatusOK {
				t.Fatalf("a revoked key was accepted %s after the restart", time.Since(start))
			}
		}
		runs := len(b.targets["plain-1"].Runs())
		if runs > 0 {
			t.Errorf("a target that had left ran %d requests", runs)
		}
	})
}
