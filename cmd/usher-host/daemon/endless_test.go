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

// The pattern: bytes that are no answer come without end, in a head or a body, until the caller closes.
func TestBytesWithoutEndEndTheExchange(t *testing.T) {
	// Beside the bounds on headers and on what is held, a connection has buffers at both ends.
	const most = 2 << 20
	for _, c := range []struct {
		name  string
		fault usherstandin.Fault
		path  string
	}{
		{"status line of a call", usherstandin.EndlessStatusLine, "/allotment/"},
		{"header of a call", usherstandin.EndlessHeader, "/allotment/"},
		{"interim responses of a call", usherstandin.EndlessInterim, "/allotment/"},
		{"foreign answer of a call", usherstandin.EndlessForeignBody, "/allotment/"},
		{"status line of a stream", usherstandin.EndlessStatusLine, "/appraisal/5"},
		{"header of a stream", usherstandin.EndlessHeader, "/appraisal/5"},
		{"interim responses of a stream", usherstandin.EndlessInterim, "/appraisal/5"},
		{"foreign answer of a stream", usherstandin.EndlessForeignBody, "/appraisal/5"},
		{"event of a stream", usherstandin.EndlessBody, "/appraisal/5"},
		{"trickling header of a call", usherstandin.TricklingHeader, "/allotment/"},
		{"trickling header of a stream", usherstandin.TricklingHeader, "/appraisal/5"},
	} {
		t.Run(c.name, func(t *testing.T) {
			inBed(t, options{hosts: 1, engines: 1, plain: 1}, func(t *testing.T, b *bed) {
				for _, target := range b.targets {
					target.FailNext(c.fault)
				}
				got := b.post(b.hosts[0], c.path)
				// The work ran, so its end is never called "not run".
				if got.status != http.StatusBadGateway {
					t.Errorf("status %d, error %v; want 502", got.status, got.err)
				}
				if got.took > 3*time.Second {
					t.Errorf("the caller was held for %s", got.took)
				}
				for id, target := range b.targets {
					if sent := target.EndlessBytesSent(); sent > most {
						t.Errorf("%d bytes were taken from %s", sent, id)
					}
				}
				if got := b.post(b.hosts[0], c.path); got.status != http.StatusOK {
					t.Errorf("next answer: %+v", got)
				}
			})
		})
	}
}

// The pattern: one of two replicas answers without end; a call that may be repeated is served by the other.
func TestIdempotentCallOutlivesBytesWithoutEnd(t *testing.T) {
	for _, fault := range []usherstandin.Fault{
		usherstandin.EndlessStatusLine, usherstandin.EndlessHeader, usherstandin.EndlessInterim, usherstandin.EndlessForeignBody, usherstandin.TricklingHeader,
	} {
		t.Run(fmt.Sprint("fault ", fault), func(t *testing.T) {
			inBed(t, options{hosts: 1, plain: 2}, func(t *testing.T, b *bed) {
				b.targets["plain-0"].SetFault(fault)
				for range 6 {
					if got := b.get(b.hosts[0], "/status/"); got.status != http.StatusOK {
						t.Errorf("answer %+v", got)
					}
				}
			})
		})
	}
}

// The pattern: a stalled stream sends a byte now and then, but no event.
func TestTricklingStreamGoesOnElsewhereWhereItMay(t *testing.T) {
	inBed(t, options{hosts: 1, engines: 2}, func(t *testing.T, b *bed) {
		b.targets["engine-0"].SetFault(usherstandin.TricklingBody)
		for range 4 {
			if got := b.post(b.hosts[0], "/eligibility/5"); got.status != http.StatusOK || !whole(got.body, got.attempt, 5) {
				t.Errorf("answer %+v", got)
			}
		}
	})
}

func TestTricklingStreamEndsWithItsTime(t *testing.T) {
	inBed(t, options{hosts: 1, engines: 1}, func(t *testing.T, b *bed) {
		b.targets["engine-0"].SetFault(usherstandin.TricklingBody)
		if got := b.post(b.hosts[0], "/appraisal/5"); got.err == nil || got.took > 39250*time.Millisecond {
			t.Errorf("status %d, error %v after %s; want a broken answer after the route's 39 s", got.status, got.err, got.took)
		}
	})
}

func TestLargeBodyIsPassedOnWhole(t *testing.T) {
	inBed(t, options{hosts: 1, plain: 1}, func(t *testing.T, b *bed) {
		b.targets["plain-0"].SetFault(usherstandin.LargeBody)
		for _, path := range []string{"/allotment/", "/status/"} {
			if got := b.post(b.hosts[0], path); got.status != http.StatusOK || got.body != strings.Repeat("x", usherstandin.LargeBytes) {
				t.Errorf("%s: status %d, %d bytes, error %v", path, got.status, len(got.body), got.err)
			}
		}
	})
}

// An answer that has begun to be passed on and does not end is broken off, so that it does not look complete.
func TestBodyWithoutEndIsBrokenOffVisibly(t *testing.T) {
	inBed(t, options{hosts: 1, plain: 1}, func(t *testing.T, b *bed) {
		b.targets["plain-0"].SetFault(usherstandin.EndlessBody)
		got := b.post(b.hosts[0], "/allotment/")
		if got.status == http.StatusOK && got.err == nil {
			t.Error("an answer without end looked complete")
		}
		if got.took > 5250*time.Millisecond {
			t.Errorf("the caller was held for %s; the route allows 5 s", got.took)
		}
	})
}

// The pattern: many servers answer without end at once, beside sound calls. The smallest hosts of the users' sheets have
// 88 MB.
func TestManyAnswersWithoutEndLeaveMemory(t *testing.T) {
	const smallestHost = 88 << 20
	// Without other tests beside it: what they use would count.
	synctest.Test(t, func(t *testing.T) {
		b := newBed(t, options{hosts: 1, plain: 2, engines: 2})
		defer b.close()
		b.targets["plain-0"].SetFault(usherstandin.EndlessBody)
		b.targets["engine-0"].SetFault(usherstandin.EndlessBody)
		var most uint64
		var calls sync.WaitGroup
		for range 60 {
			for _, path := range []string{"/allotment/", "/appraisal/5"} {
				calls.Go(func() { b.stall(b.hosts[0], path, time.Second) })
			}
		}
		for range 20 {
			time.Sleep(50 * time.Millisecond)
			runtime.GC()
			var m runtime.MemStats
			runtime.ReadMemStats(&m)
			most = max(most, m.HeapAlloc)
		}
		calls.Wait()
		if most > smallestHost {
			t.Errorf("%d MB in use", most>>20)
		}
		if got := b.get(b.hosts[0], "/status/"); got.status != http.StatusOK {
			t.Errorf("next answer %+v", got)
		}
	})
}

// stall makes a request, reads the header of its answer and leaves the rest unread for a while.
func (b *bed) stall(h *host, path string, d time.Duration) {
	response, err := b.client.Do(b.request(b.t.Context(), h, http.MethodPost, path, "a body"))
	if err != nil {
		return
	}
	time.Sleep(d)
	_ = response.Body.Close()
}
