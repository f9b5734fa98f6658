package daemon_test

import (
	"fmt"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/samphireusher/samphireusher/platform/usherstandin"
)

// A target sends bytes that never become a complete response, in the header or in the body, until the caller closes the
// connection. The host must end the exchange within bounds on time and bytes.
func TestEndlessResponseEndsTheExchange(t *testing.T) {
	// Besides the header and the held bytes, which are limited by the settings, a connection has buffers at both ends.
	const maxBytes = 2 << 20
	for _, c := range []struct {
		name  string
		fault usherstandin.Fault
		path  string
	}{
		{"status line of a call", usherstandin.EndlessStatusLine, "/allotment/"},
		{"header of a call", usherstandin.EndlessHeader, "/allotment/"},
		{"interim responses of a call", usherstandin.EndlessInterim, "/allotment/"},
		{"foreign response of a call", usherstandin.EndlessForeignBody, "/allotment/"},
		{"status line of a stream", usherstandin.EndlessStatusLine, "/appraisal/5"},
		{"header of a stream", usherstandin.EndlessHeader, "/appraisal/5"},
		{"interim responses of a stream", usherstandin.EndlessInterim, "/appraisal/5"},
		{"foreign response of a stream", usherstandin.EndlessForeignBody, "/appraisal/5"},
		{"event of a stream", usherstandin.EndlessBody, "/appraisal/5"},
		{"trickling header of a call", usherstandin.TricklingHeader, "/allotment/"},
		{"trickling header of a stream", usherstandin.TricklingHeader, "/appraisal/5"},
	} {
		t.Run(c.name, func(t *testing.T) {
			withTestbed(t, options{hosts: 1, engines: 1, plainTargets: 1}, func(t *testing.T, b *testbed) {
				for _, target := range b.targets {
					target.FailNext(c.fault)
				}
				got := b.post(b.hosts[0], c.path)
				// The request was run, so the host must not report it as not run.
				if got.status != http.StatusBadGateway {
					t.Errorf("status %d, error %v; want 502", got.status, got.err)
				}
				if got.elapsed > 3*time.Second {
					t.Errorf("the caller waited %s, want at most 3 s", got.elapsed)
				}
				for id, target := range b.targets {
					if sent := target.EndlessBytesSent(); sent > maxBytes {
						t.Errorf("%d bytes were read from %s, want at most 2 MB", sent, id)
					}
				}
				if got := b.post(b.hosts[0], c.path); got.status != http.StatusOK {
					t.Errorf("response to the next request: %+v", got)
				}
			})
		})
	}
}

// One of two replicas sends endless responses. An idempotent call must be retried at the other one.
func TestIdempotentCallSurvivesEndlessResponses(t *testing.T) {
	for _, fault := range []usherstandin.Fault{
		usherstandin.EndlessStatusLine, usherstandin.EndlessHeader, usherstandin.EndlessInterim, usherstandin.EndlessForeignBody, usherstandin.TricklingHeader,
	} {
		t.Run(fmt.Sprint("fault ", fault), func(t *testing.T) {
			withTestbed(t, options{hosts: 1, plainTargets: 2}, func(t *testing.T, b *testbed) {
				b.targets["plain-0"].SetFault(fault)
				for range 6 {
					if got := b.get(b.hosts[0], "/status/"); got.status != http.StatusOK {
						t.Errorf("response %+v", got)
					}
				}
			})
		})
	}
}

// A stalled stream sends single bytes but no complete event. A resumable stream must continue at another engine.
func TestTricklingResumableStreamContinuesElsewhere(t *testing.T) {
	withTestbed(t, options{hosts: 1, engines: 2}, func(t *testing.T, b *testbed) {
		b.targets["engine-0"].SetFault(usherstandin.TricklingBody)
		for range 4 {
			if got := b.post(b.hosts[0], "/eligibility/5"); got.status != http.StatusOK || !isComplete(got.body, got.attempt, 5) {
				t.Errorf("response %+v", got)
			}
		}
	})
}

func TestTricklingStreamEndsAtTheTimeout(t *testing.T) {
	withTestbed(t, options{hosts: 1, engines: 1}, func(t *testing.T, b *testbed) {
		b.targets["engine-0"].SetFault(usherstandin.TricklingBody)
		if got := b.post(b.hosts[0], "/appraisal/5"); got.err == nil || got.elapsed > 39250*time.Millisecond {
			t.Errorf("status %d, error %v after %s; want a truncated response at the route's timeout of 39 s", got.status, got.err, got.elapsed)
		}
	})
}

func TestLargeBodyIsRelayedCompletely(t *testing.T) {
	withTestbed(t, options{hosts: 1, plainTargets: 1}, func(t *testing.T, b *testbed) {
		b.targets["plain-0"].SetFault(usherstandin.LargeBody)
		for _, path := range []string{"/allotment/", "/status/"} {
			if got := b.post(b.hosts[0], path); got.status != http.StatusOK || got.body != strings.Repeat("x", usherstandin.LargeBytes) {
				t.Errorf("%s: status %d, %d bytes, error %v", path, got.status, len(got.body), got.err)
			}
		}
	})
}

// A response that does not end must be truncated in a way that the caller detects, even if its beginning has already been
// relayed.
func TestEndlessBodyIsVisiblyTruncated(t *testing.T) {
	withTestbed(t, options{hosts: 1, plainTargets: 1}, func(t *testing.T, b *testbed) {
		b.targets["plain-0"].SetFault(usherstandin.EndlessBody)
		got := b.post(b.hosts[0], "/allotment/")
		if got.status == http.StatusOK && got.err == nil {
			t.Error("an endless response appeared complete to the caller")
		}
		if got.elapsed > 5250*time.Millisecond {
			t.Errorf("the caller waited %s; the route's timeout is 5 s", got.elapsed)
		}
	})
}

// Many requests get endless responses at the same time, besides normal ones. The memory in use must stay below the 88 MB of
// the smallest hosts that the users specify.
func TestManyEndlessResponsesStayWithinMemory(t *testing.T) {
	const smallestHostMemory = 88 << 20
	// Not in parallel with other tests, as their memory would count too.
	synctest.Test(t, func(t *testing.T) {
		b := newTestbed(t, options{hosts: 1, plainTargets: 2, engines: 2})
		defer b.close()
		b.targets["plain-0"].SetFault(usherstandin.EndlessBody)
		b.targets["engine-0"].SetFault(usherstandin.EndlessBody)
		var peakHeap uint64
		var calls sync.WaitGroup
		for range 60 {
			for _, path := range []string{"/allotment/", "/appraisal/5"} {
				calls.Go(func() { b.holdResponse(b.hosts[0], path, time.Second) })
			}
		}
		for range 20 {
			time.Sleep(50 * time.Millisecond)
			runtime.GC()
			var m runtime.MemStats
			runtime.ReadMemStats(&m)
			peakHeap = max(peakHeap, m.HeapAlloc)
		}
		calls.Wait()
		if peakHeap > smallestHostMemory {
			t.Errorf("%d MB of heap in use, want at most 88 MB", peakHeap>>20)
		}
		if got := b.get(b.hosts[0], "/status/"); got.status != http.StatusOK {
			t.Errorf("response to the next request: %+v", got)
		}
	})
}

// holdResponse sends a request and keeps the response open for d without reading its body.
func (b *testbed) holdResponse(h *host, path string, d time.Duration) {
	response, err := b.client.Do(b.request(b.t.Context(), h, http.MethodPost, path, "a body"))
	if err != nil {
		return
	}
	time.Sleep(d)
	_ = response.Body.Close()
}
