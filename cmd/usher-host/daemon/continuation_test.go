package daemon_test

import (
	"strings"
	"testing"
	"time"

	"github.com/samphireusher/samphireusher/platform/usherstandin"
)

// A stream breaks off, and the target that is to continue it responds with an error. Reported by operators of similar
// systems: callers found the text of the error, or its head, in the middle of their stream, or a stream that ended as if it
// were complete.
func TestErrorOfTheNextTargetIsNoPartOfTheStream(t *testing.T) {
	for name, fault := range map[string]usherstandin.Fault{
		"failure":                              usherstandin.Fails,
		"refusal":                              usherstandin.Refuses,
		"signed failure with a text":           usherstandin.FailsWithText,
		"unsigned success":                     usherstandin.Unsigned,
		"signed success that is no stream":     usherstandin.SucceedsWithText,
		"event with an error":                  usherstandin.SendsErrorEvent,
		"head of a response as an event":       usherstandin.SendsHeadAsEvent,
		"no response":                          usherstandin.SendsNoResponse,
		"closed connection":                    usherstandin.DropsConnection,
		"regular end without an event":         usherstandin.EndsBeforeFirstEvent,
		"events, then the head of a response":  usherstandin.SendsHeadAfterEvents,
		"refusal that names no attempt":        usherstandin.RepeatsUnnamedRefusalOnly,
		"end in the middle of the third event": usherstandin.EndsInsideEvent,
	} {
		for _, path := range []string{"/appraisal/60", "/eligibility/60"} {
			t.Run(name+" "+path, func(t *testing.T) {
				withTestbed(t, options{hosts: 1, engines: 4}, func(t *testing.T, b *testbed) {
					attempt, done := b.startStream(b.hosts[0], path)
					time.Sleep(time.Second)
					for _, target := range b.targets {
						target.SetFault(fault)
					}
					b.kill(b.currentEngine(attempt))
					got := <-done
					if got.err == nil {
						t.Errorf("a stream of %d events looks complete", len(events(got.body)))
					}
					if n := len(events(got.body)); n == 0 || strings.Contains(got.body, usherstandin.ErrorText) || !isComplete(got.body, attempt, n) {
						t.Errorf("%d events, then %q", n, got.body[max(0, len(got.body)-200):])
					}
				})
			})
		}
	}
}

// The same where the first target adds an error to its events. The stream goes on at the next one.
func TestHeadOfAResponseAfterEventsIsNoPartOfTheStream(t *testing.T) {
	for _, path := range []string{"/appraisal/20", "/eligibility/20"} {
		t.Run(path, func(t *testing.T) {
			withTestbed(t, options{hosts: 1, engines: 4}, func(t *testing.T, b *testbed) {
				faults := &faultSequence{faults: []usherstandin.Fault{usherstandin.SendsHeadAfterEvents}}
				for _, target := range b.targets {
					target.SetFaultSource(faults.next)
				}
				got := b.post(b.hosts[0], path)
				if strings.Contains(got.body, usherstandin.ErrorText) || got.err == nil && !isComplete(got.body, got.attempt, 20) {
					t.Errorf("error %v, body %q", got.err, got.body)
				}
			})
		})
	}
}
