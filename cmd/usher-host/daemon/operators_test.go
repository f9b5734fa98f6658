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

// What operators of similar systems met, point by point.

// The pattern: a target sends a second copy of its answer, late, and the caller's connection is in use again by then.
func TestSecondCopyOfAnAnswerReachesNobody(t *testing.T) {
	inBed(t, options{hosts: 1, plain: 1}, func(t *testing.T, b *bed) {
		kept := &http.Client{Transport: &http.Transport{DialContext: b.network.Dialer(netip.MustParseAddr(callerIP)), MaxConnsPerHost: 1}}
		defer kept.CloseIdleConnections()
		b.targets["plain-0"].SetFault(usherstandin.DuplicatesResponse)
		for i := range 20 {
			path := fmt.Sprint("/allotment/", i)
			response, err := kept.Do(b.request(t.Context(), b.hosts[0], http.MethodPost, path, "a body"))
			if err != nil {
				t.Fatal(err)
			}
			body, err := io.ReadAll(response.Body)
			if want := "POST " + path + " by plain-0"; err != nil || string(body) != want || response.Close {
				t.Fatalf("answer %q (%v) on a kept connection, want %q", body, err, want)
			}
		}
	})
}

// The pattern: a planned stop under load, and requests that had just been accepted when the process ended.
func TestPlannedStopAnswersWhatWasJustAccepted(t *testing.T) {
	for _, late := range []time.Duration{0, 1500 * time.Millisecond, 2900 * time.Millisecond, 2990 * time.Millisecond, 2999 * time.Millisecond} {
		t.Run(late.String(), func(t *testing.T) {
			inBed(t, options{hosts: 2, plain: 2}, func(t *testing.T, b *bed) {
				h := b.hosts[0]
				stopped := time.Now()
				b.stop(h)
				time.Sleep(late)
				conn, err := b.network.Dialer(netip.MustParseAddr(callerIP))(t.Context(), "tcp", fmt.Sprintf("%s:%d", h.ip, callerPort))
				if err != nil {
					t.Fatal(err)
				}
				defer func() { _ = conn.Close() }()
				half := "GET /status/ HTTP/1.1\r\nHost: " + hostName + "\r\nAttempt-Id: a1\r\n"
				if _, err := io.WriteString(conn, half); err != nil {
					t.Fatal(err)
				}
				time.Sleep(200 * time.Millisecond)
				if _, err := io.WriteString(conn, "Api-Key: "+apiKey+"\r\n\r\n"); err != nil {
					t.Fatalf("the connection was closed %s after the stop began: %v", time.Since(stopped), err)
				}
				response, err := http.ReadResponse(bufio.NewReader(conn), nil)
				if err != nil {
					t.Fatalf("no answer to a request accepted %s after the stop began: %v", late, err)
				}
				if response.StatusCode != http.StatusOK || !response.Close {
					t.Errorf("status %d, closes: %t", response.StatusCode, response.Close)
				}
			})
		})
	}
}

// The pattern: engines are slow but sound; a pause between events is longer than the one after which a stream may be tried
// elsewhere.
func TestSlowSoundStreamsAreNotCut(t *testing.T) {
	for _, path := range []string{"/appraisal/25", "/eligibility/3"} {
		t.Run(path, func(t *testing.T) {
			inBed(t, options{hosts: 1}, func(t *testing.T, b *bed) {
				for i := range 4 {
					b.addSlowEngine(fmt.Sprint("slow-", i), i, 1300*time.Millisecond)
				}
				time.Sleep(time.Second)
				got := b.post(b.hosts[0], path)
				if got.err != nil || got.status != http.StatusOK || !whole(got.body, got.attempt, len(events(got.body))) || !strings.HasSuffix(path, fmt.Sprint(len(events(got.body)))) {
					t.Errorf("status %d, error %v, %d events after %s", got.status, got.err, len(events(got.body)), got.took)
				}
			})
		})
	}
}

// The pattern: a target is silent towards the store, so its entry lapses, while it works on.
func TestSilentTargetKeepsItsWork(t *testing.T) {
	inBed(t, options{hosts: 1, engines: 3}, func(t *testing.T, b *bed) {
		attempt, done := b.beginStream(b.hosts[0], "/appraisal/100")
		time.Sleep(500 * time.Millisecond)
		source := b.sourceOf(attempt)
		key, _ := b.targets[source].Entry("ready")
		b.store.Delete(key)
		got := <-done
		if got.err != nil || !whole(got.body, attempt, 100) {
			t.Errorf("error %v after %d events", got.err, len(events(got.body)))
		}
		if id, _ := b.only(attempt); id != source {
			t.Errorf("the run went on at %s", id)
		}
	})
}

// The pattern: a host is silent towards its peers for a while; its streams are its own, and nobody starts them again.
func TestSilentHostKeepsItsWork(t *testing.T) {
	inBed(t, options{hosts: 3, engines: 3}, func(t *testing.T, b *bed) {
		h := b.hosts[2]
		attempt, done := b.beginStream(h, "/appraisal/200")
		time.Sleep(500 * time.Millisecond)
		for i := range 2 {
			b.network.Block(mustAddr(h.ip), mustAddr(hostIP(i)))
		}
		time.Sleep(3 * time.Second)
		b.network.Heal()
		if got := <-done; got.err != nil || !whole(got.body, attempt, 200) {
			t.Errorf("error %v after %d events", got.err, len(events(got.body)))
		}
		b.only(attempt)
	})
}

// The pattern: a host restarts while the only peer it hears is cut off from the store and knows an older configuration, and
// servers that have left. The store answers a moment later.
func TestRestartedHostDoesNotUseWhatAStalePeerKnows(t *testing.T) {
	inBed(t, options{hosts: 3, plain: 2}, func(t *testing.T, b *bed) {
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
		// The store takes longer than a peer, but well within what a call to it may take.
		b.store.SetMode(old.ip, usherstandin.Delayed)
		restarted := b.startHost(0)
		for begun := time.Now(); time.Since(begun) < 4*time.Second; time.Sleep(20 * time.Millisecond) {
			if got := b.get(restarted, "/status/"); got.status == http.StatusOK {
				t.Fatalf("a withdrawn key was taken %s after the restart", time.Since(begun))
			}
		}
		runs := len(b.targets["plain-1"].Runs())
		if runs > 0 {
			t.Errorf("a server that had left ran %d requests", runs)
		}
	})
}
