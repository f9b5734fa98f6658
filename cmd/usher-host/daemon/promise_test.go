package daemon_test

import (
	"net/http"
	"testing"

	"github.com/samphireusher/samphireusher/platform/usherstandin"
)

// A target turns a request away, the next one runs it and its answer is lost. The host passed the first target's status on,
// which promises that the request has not run, so callers send it again. Found by review/2.
func TestRequestThatMayHaveRunGetsNoPromise(t *testing.T) {
	for _, c := range []struct {
		name   string
		faults []usherstandin.Fault
		want   int
	}{
		{"the address belongs to another target, then the answer is lost", []usherstandin.Fault{usherstandin.Misdirects, usherstandin.DropsConnection}, http.StatusBadGateway},
		{"the first target is full, then the answer is lost", []usherstandin.Fault{usherstandin.Refuses, usherstandin.DropsConnection}, http.StatusBadGateway},
		{"the first target is full, the answer of the second one is not signed", []usherstandin.Fault{usherstandin.Refuses, usherstandin.Unsigned}, http.StatusBadGateway},
		{"the second target fails", []usherstandin.Fault{usherstandin.Misdirects, usherstandin.Fails}, http.StatusInternalServerError},
		{"both targets turn the request away", []usherstandin.Fault{usherstandin.Misdirects, usherstandin.Refuses, usherstandin.Refuses}, http.StatusServiceUnavailable},
	} {
		for _, path := range []string{"/appraisal/5", "/allotment/x"} {
			t.Run(c.name+" "+path, func(t *testing.T) {
				o := options{hosts: 1, engines: 4, plainTargets: 4, editDeclarations: func(d map[string]any) {
					for _, r := range d["routes"].([]any) {
						r.(map[string]any)["maxAttempts"] = 2
					}
				}}
				withTestbed(t, o, func(t *testing.T, b *testbed) {
					faults := &faultSequence{faults: c.faults}
					for _, target := range b.targets {
						target.SetFaultSource(faults.next)
					}
					got := b.post(b.hosts[0], path)
					if got.err != nil || got.status != c.want {
						t.Errorf("status %d, error %v; want %d; runs %v", got.status, got.err, c.want, b.runsOf(got.attempt))
					}
				})
			})
		}
	}
}

// A target answers 503 without the header that states that it did not run the request. The host passed that status on, and
// the caller takes it for a promise.
func TestStatusWithoutProofIsNoPromise(t *testing.T) {
	for _, c := range []struct {
		name, method, path string
		faults             []usherstandin.Fault
		want               int
	}{
		{"stream", http.MethodPost, "/appraisal/5", []usherstandin.Fault{usherstandin.RejectsAfterRun}, http.StatusBadGateway},
		{"stream, at the second target", http.MethodPost, "/appraisal/5", []usherstandin.Fault{usherstandin.Misdirects, usherstandin.RejectsAfterRun}, http.StatusBadGateway},
		{"call that may run once", http.MethodPost, "/allotment/x", []usherstandin.Fault{usherstandin.RejectsAfterRun}, http.StatusBadGateway},
		{"call that may run once, at the second target", http.MethodPost, "/allotment/x", []usherstandin.Fault{usherstandin.Misdirects, usherstandin.RejectsAfterRun}, http.StatusBadGateway},
		// Such requests may run again, so the status does no harm.
		{"idempotent call", http.MethodGet, "/status/x", []usherstandin.Fault{usherstandin.RejectsAfterRun, usherstandin.RejectsAfterRun}, http.StatusServiceUnavailable},
	} {
		t.Run(c.name, func(t *testing.T) {
			withTestbed(t, options{hosts: 1, engines: 4, plainTargets: 4}, func(t *testing.T, b *testbed) {
				faults := &faultSequence{faults: c.faults}
				for _, target := range b.targets {
					target.SetFaultSource(faults.next)
				}
				got := b.do(b.request(t.Context(), b.hosts[0], c.method, c.path, ""))
				if got.err != nil || got.status != c.want {
					t.Errorf("status %d, error %v; want %d; runs %v", got.status, got.err, c.want, b.runsOf(got.attempt))
				}
			})
		})
	}
}

// The status of a target was passed on although a later one had run the call, or was running it.
func TestReplyOfTheTargetThatRanACallLast(t *testing.T) {
	for _, c := range []struct {
		name   string
		faults []usherstandin.Fault
		want   int
	}{
		{"a target fails, then an answer is lost", []usherstandin.Fault{usherstandin.Fails, usherstandin.DropsConnection}, http.StatusBadGateway},
		{"a status without proof, then an answer is lost", []usherstandin.Fault{usherstandin.RejectsAfterRun, usherstandin.DropsConnection}, http.StatusBadGateway},
		{"a target fails, then one hangs", []usherstandin.Fault{usherstandin.Fails, usherstandin.NeverResponds}, http.StatusGatewayTimeout},
		{"an answer is lost, then a target fails", []usherstandin.Fault{usherstandin.DropsConnection, usherstandin.Fails}, http.StatusInternalServerError},
		{"a target fails, then one turns the call away", []usherstandin.Fault{usherstandin.Fails, usherstandin.Refuses}, http.StatusInternalServerError},
	} {
		t.Run(c.name, func(t *testing.T) {
			o := options{hosts: 1, plainTargets: 4, editDeclarations: func(d map[string]any) {
				for _, r := range d["routes"].([]any) {
					r.(map[string]any)["maxAttempts"] = 2
				}
			}}
			withTestbed(t, o, func(t *testing.T, b *testbed) {
				faults := &faultSequence{faults: c.faults}
				for _, target := range b.targets {
					target.SetFaultSource(faults.next)
				}
				got := b.do(b.request(t.Context(), b.hosts[0], http.MethodGet, "/status/x", ""))
				if got.err != nil || got.status != c.want {
					t.Errorf("status %d, error %v; want %d; runs %v", got.status, got.err, c.want, b.runsOf(got.attempt))
				}
			})
		})
	}
}

// A faulty target writes an earlier refusal once more before it answers. Reported by operators of similar systems: callers were
// told that a request has not run that a target was running, or it ran at a second target. A refusal counts only for the attempt
// that it names.
func TestRefusalOfAnotherRequestIsNotTakenForThisOne(t *testing.T) {
	for _, c := range []struct {
		name  string
		fault usherstandin.Fault
		want  int
	}{
		{"it names another attempt", usherstandin.RepeatsForeignRefusal, http.StatusOK},
		{"it names none", usherstandin.RepeatsUnnamedRefusal, http.StatusOK},
		{"it names none, and the answer is lost", usherstandin.RepeatsUnnamedRefusalOnly, http.StatusBadGateway},
	} {
		for _, path := range []string{"/appraisal/5", "/allotment/x"} {
			t.Run(c.name+" "+path, func(t *testing.T) {
				o := options{hosts: 1, engines: 3, plainTargets: 3, editDeclarations: func(d map[string]any) {
					for _, r := range d["routes"].([]any) {
						r.(map[string]any)["maxAttempts"] = 2
					}
				}}
				withTestbed(t, o, func(t *testing.T, b *testbed) {
					for _, target := range b.targets {
						target.SetFault(c.fault)
					}
					got := b.post(b.hosts[0], path)
					if got.err != nil || got.status != c.want {
						t.Errorf("status %d, error %v; want %d", got.status, got.err, c.want)
					}
					b.onlyRun(got.attempt)
				})
			})
		}
	}
}
