package daemon_test

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/samphireusher/samphireusher/platform/usherstandin"
)

// framings are the ways in which targets delimit their responses.
var framings = map[string]options{"with chunks or a length": {}, "with the end of the connection": {unframed: true}}

// faultSequence gives the next requests, at whichever target, one fault each.
type faultSequence struct {
	mu     sync.Mutex
	faults []usherstandin.Fault
}

func (s *faultSequence) next() usherstandin.Fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.faults) == 0 {
		return usherstandin.NoFault
	}
	fault := s.faults[0]
	s.faults = s.faults[1:]
	return fault
}

// Responses with neither a length nor chunks end with their connection, also those of the store and of the calls that copy a
// generation. They are whole, and the caller must get them as such.
func TestResponsesThatEndWithTheirConnectionAreWhole(t *testing.T) {
	for _, c := range []struct {
		name, method, path string
		fault              usherstandin.Fault
		want               int
	}{
		{"idempotent call", http.MethodGet, "/status/", usherstandin.NoFault, http.StatusOK},
		{"idempotent call for a header only", http.MethodHead, "/status/", usherstandin.NoFault, http.StatusOK},
		{"call that may run once", http.MethodPost, "/allotment/", usherstandin.NoFault, http.StatusOK},
		{"failure of a call that may run once", http.MethodPost, "/allotment/", usherstandin.Fails, http.StatusInternalServerError},
		{"rejection", http.MethodPost, "/allotment/", usherstandin.Refuses, http.StatusServiceUnavailable},
		{"large response", http.MethodPost, "/allotment/", usherstandin.LargeBody, http.StatusOK},
		{"stream that runs once", http.MethodPost, "/appraisal/40", usherstandin.NoFault, http.StatusOK},
		{"stream that may be resumed", http.MethodPost, "/eligibility/3", usherstandin.NoFault, http.StatusOK},
		{"failure of a stream", http.MethodPost, "/appraisal/40", usherstandin.Fails, http.StatusInternalServerError},
	} {
		t.Run(c.name, func(t *testing.T) {
			withTestbed(t, options{hosts: 3, engines: 3, plainTargets: 3, unframed: true}, func(t *testing.T, b *testbed) {
				for _, target := range b.targets {
					target.SetFault(c.fault)
				}
				got := b.do(b.request(t.Context(), b.hosts[1], c.method, c.path, ""))
				if got.err != nil || got.status != c.want {
					t.Errorf("status %d, error %v; want %d", got.status, got.err, c.want)
				}
				if c.fault == usherstandin.LargeBody && len(got.body) != usherstandin.LargeBytes {
					t.Errorf("%d bytes, want %d", len(got.body), usherstandin.LargeBytes)
				}
				if n := map[string]int{"/appraisal/40": 40, "/eligibility/3": 3}[c.path]; c.want == http.StatusOK && n > 0 && !isComplete(got.body, got.attempt, n) {
					t.Errorf("events %v, want 1 to %d", events(got.body), n)
				}
			})
		})
	}
}

// A reclaimed engine and its copies, with control calls whose responses end with their connection.
func TestCopiesSurviveResponsesThatEndWithTheirConnection(t *testing.T) {
	withTestbed(t, options{hosts: 3, engines: 6, unframed: true, editDeclarations: withoutBackupCopies}, func(t *testing.T, b *testbed) {
		attempt, done := b.startStream(b.hosts[0], "/appraisal/100")
		time.Sleep(time.Second)
		source := b.currentEngine(attempt)
		b.publish(source, "draining")
		time.Sleep(1500 * time.Millisecond)
		b.kill(source)
		if got := <-done; got.err != nil || !isComplete(got.body, attempt, 100) {
			t.Errorf("status %d, error %v, %d events", got.status, got.err, len(events(got.body)))
		}
	})
}

// A stream that ends inside an event has been broken off, however its end is marked. It must go on elsewhere, also where the
// next run ends in the same way, and each event must reach the caller once.
func TestStreamThatEndsInsideAnEventGoesOn(t *testing.T) {
	for framing, o := range framings {
		for _, c := range []struct {
			name, path string
			events     int
			faults     []usherstandin.Fault
		}{
			{"stream with a copy", "/appraisal/20", 20, []usherstandin.Fault{usherstandin.EndsInsideEvent}},
			{"stream with a copy, twice", "/appraisal/20", 20, []usherstandin.Fault{usherstandin.EndsInsideEvent, usherstandin.EndsInsideEvent}},
			{"stream that may be resumed", "/eligibility/5", 5, []usherstandin.Fault{usherstandin.EndsInsideEvent}},
			{"stream that may be resumed, before its first event", "/eligibility/5", 5, []usherstandin.Fault{usherstandin.EndsBeforeFirstEvent}},
		} {
			t.Run(c.name+", ends "+framing, func(t *testing.T) {
				o.hosts, o.engines = 1, 4
				withTestbed(t, o, func(t *testing.T, b *testbed) {
					faults := &faultSequence{faults: c.faults}
					for _, target := range b.targets {
						target.SetFaultSource(faults.next)
					}
					got := b.post(b.hosts[0], c.path)
					if c.faults[0] == usherstandin.EndsBeforeFirstEvent && !o.unframed {
						// Chunks mark the end, so the stream is complete and has no events.
						if got.err != nil || got.status != http.StatusOK || got.body != "" {
							t.Errorf("status %d, error %v, body %q; want an empty stream", got.status, got.err, got.body)
						}
						return
					}
					if got.err != nil || got.status != http.StatusOK || !isComplete(got.body, got.attempt, c.events) {
						t.Errorf("status %d, error %v, events %v; want 1 to %d", got.status, got.err, events(got.body), c.events)
					}
				})
			})
		}
	}
}

// Where nothing can continue such a stream, the caller must not take it for complete.
func TestStreamThatEndsInsideAnEventIsNotComplete(t *testing.T) {
	for framing, o := range framings {
		for _, c := range []struct {
			name, path string
			fault      usherstandin.Fault
		}{
			{"stream that runs once", "/appraisal/20", usherstandin.EndsInsideEvent},
			{"stream that may be resumed", "/eligibility/5", usherstandin.EndsInsideEvent},
			{"stream that runs once, before its first event", "/appraisal/20", usherstandin.EndsBeforeFirstEvent},
		} {
			if c.fault == usherstandin.EndsBeforeFirstEvent && !o.unframed {
				continue
			}
			t.Run(c.name+", ends "+framing, func(t *testing.T) {
				o.hosts, o.engines, o.noRetries, o.editDeclarations = 1, 2, true, withoutBackupCopies
				withTestbed(t, o, func(t *testing.T, b *testbed) {
					for _, target := range b.targets {
						target.SetFault(c.fault)
					}
					got := b.post(b.hosts[0], c.path)
					if got.err == nil && got.status == http.StatusOK {
						t.Errorf("the caller got a complete response with events %v", events(got.body))
					}
				})
			})
		}
	}
}

// A target crashes while it sends a body that ends with its connection. That end looks regular, so the caller got a part of
// the body as the whole.
func TestBodyCutByACrashIsNotWhole(t *testing.T) {
	for _, c := range []struct {
		name, method, path string
		want               int
	}{
		{"idempotent call is retried elsewhere", http.MethodGet, "/status/", http.StatusOK},
		{"call that may run once", http.MethodPost, "/allotment/", http.StatusBadGateway},
	} {
		t.Run(c.name, func(t *testing.T) {
			withTestbed(t, options{hosts: 1, plainTargets: 3, unframed: true}, func(t *testing.T, b *testbed) {
				var first sync.Once
				for id, target := range b.targets {
					target.SetFaultSource(func() usherstandin.Fault {
						fault := usherstandin.NoFault
						first.Do(func() {
							b.kill(id)
							fault = usherstandin.TruncatesResponse
						})
						return fault
					})
				}
				got := b.do(b.request(t.Context(), b.hosts[0], c.method, c.path, ""))
				if got.err != nil || got.status != c.want || got.body == "half" {
					t.Errorf("status %d, body %q, error %v; want %d", got.status, got.body, got.err, c.want)
				}
			})
		})
	}
}

// An engine stalls, is ordered to end the run, and closes the stream without its end. Where the stream ends with its connection, that
// looked like its end, so callers got the part before the stall as the whole.
func TestStreamThatIsEndedOnRequestIsNotComplete(t *testing.T) {
	for framing, o := range framings {
		t.Run("ends "+framing, func(t *testing.T) {
			o.hosts, o.engines = 1, 4
			withTestbed(t, o, func(t *testing.T, b *testbed) {
				faults := &faultSequence{faults: []usherstandin.Fault{usherstandin.StallsAfterFirstEvent}}
				for _, target := range b.targets {
					target.SetFaultSource(faults.next)
				}
				if got := b.post(b.hosts[0], "/eligibility/20"); got.err != nil || !isComplete(got.body, got.attempt, 20) {
					t.Errorf("error %v, events %v; want 1 to 20", got.err, events(got.body))
				}
			})
		})
	}
}
