package daemon_test

import (
	"fmt"
	"testing"

	"github.com/samphireusher/samphireusher/platform/usherstandin"
)

// A stream went on at a second engine, and the log did not say how its host knew that the first one had ended the run.
func TestLogSaysWhatShowedTheEndOfTheRunBefore(t *testing.T) {
	loses := func(b *testbed) {
		faults := &faultSequence{faults: []usherstandin.Fault{usherstandin.LosesAnswerLater}}
		for _, target := range b.targets {
			target.SetFaultSource(faults.next)
		}
	}
	breaks := func(b *testbed) {
		faults := &faultSequence{faults: []usherstandin.Fault{usherstandin.EndsInsideEvent}}
		for _, target := range b.targets {
			target.SetFaultSource(faults.next)
		}
	}
	for _, c := range []struct {
		name string
		// prepare changes the engines before the stream begins.
		prepare func(b *testbed)
		noMoves bool
		want    string
	}{
		{name: "the engine loses the answer", prepare: loses, want: "ended_on_order"},
		{name: "the engine breaks off", prepare: breaks, want: "no_such_run"},
		{name: "the engine breaks off and takes no orders", prepare: breaks, noMoves: true, want: "not_in_report"},
	} {
		t.Run(c.name, func(t *testing.T) {
			withTestbed(t, options{hosts: 1, engines: 4, editDeclarations: func(d map[string]any) {
				d["services"].([]any)[0].(map[string]any)["engine"].(map[string]any)["moves"] = !c.noMoves
			}}, func(t *testing.T, b *testbed) {
				c.prepare(b)
				_, done := b.startStream(b.hosts[0], "/appraisal/100")
				if got := <-done; got.err != nil {
					t.Errorf("error %v", got.err)
				}
				if resumed, shown := b.logBuffer.count("stream resumed"), b.logBuffer.count(fmt.Sprintf("%q:%q", "run_end", c.want)); resumed != 1 || shown != 1 {
					t.Errorf("%d streams resumed, %d of them after %s; want 1", resumed, shown, c.want)
				}
			})
		})
	}
}
