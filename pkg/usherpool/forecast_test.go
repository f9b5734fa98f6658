package usherpool_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/samphireusher/samphireusher/pkg/usherpool"
)

// slow reports whether the i-th target is one of the slow third.
func slow(i int) bool { return i%3 == 2 }

// learnSpeeds gives a pool what it needs to know of n targets, of which a third is slow and has pauses over 180 ms.
func learnSpeeds(p *usherpool.Pool, now time.Time, n int) {
	for round := range 6 {
		for i := range n {
			factor, pause := 0.7, 46*time.Millisecond
			if slow(i) {
				factor, pause = 1.7, 230*time.Millisecond
			}
			host := fmt.Sprint("host", round)
			p.RecordOutcome(now, host, usherpool.Outcome{Target: fmt.Sprint("e", i), Base: 400 * time.Millisecond, FirstEvent: time.Duration(factor * 400 * float64(time.Millisecond))})
			p.RecordOutcome(now, host, usherpool.Outcome{
				Target: fmt.Sprint("e", i), Events: 190, Gap: time.Duration(factor * 35 * float64(time.Millisecond)), LongestPause: pause,
			})
		}
	}
}

func longRequest() usherpool.Request {
	r := engineRequest()
	r.Objective, r.MaxPause, r.Events = 2*time.Second, 180*time.Millisecond, 190
	return r
}

// Unequal speeds: two thirds of the engines take 0.7 and a third 1.7 times the usual time. The forecast of each is right.
func TestForecastOfUnequalSpeeds(t *testing.T) {
	p := newPool(1, targets(9), 3)
	learnSpeeds(p, start, 9)
	now := start.Add(time.Second)
	for i := range 9 {
		f, known := p.Forecast(now, fmt.Sprint("e", i), engineRequest())
		want := 0.7
		if slow(i) {
			want = 1.7
		}
		if seen := want * float64(f.Base); !known || math.Abs(seen/float64(f.FirstEvent)-1) > 0.25 {
			t.Errorf("e%d: first event after %s, forecast %s", i, time.Duration(seen), f.FirstEvent)
		}
		if slow(i) != (f.LongestPause > 180*time.Millisecond) {
			t.Errorf("e%d: longest pause %s", i, f.LongestPause)
		}
	}
	if _, known := p.Forecast(now, "unknown", engineRequest()); known {
		t.Error("forecast of a target that the pool does not have")
	}
}

// Long streams meet slow engines: they stay away while others can begin in time, and short ones may go there.
func TestLongStreamsAvoidTargetsWithLongPauses(t *testing.T) {
	const n, streams = 9, 36
	count := func(r usherpool.Request, interval time.Duration) (atSlow int) {
		p := newPool(1, targets(n), 3)
		learnSpeeds(p, start, n)
		for i := range streams {
			c, err := p.Place(start.Add(time.Second+time.Duration(i)*interval), r, false)
			if err != nil {
				t.Fatal(err)
			}
			var target int
			if _, err := fmt.Sscanf(c.Target.ID, "e%d", &target); err != nil {
				t.Fatal(err)
			}
			if slow(target) {
				atSlow++
			}
		}
		return atSlow
	}
	if atSlow := count(longRequest(), 50*time.Millisecond); atSlow > 0 {
		t.Errorf("%d of %d long streams went to engines with long pauses", atSlow, streams)
	}
	short := longRequest()
	short.Events = 2
	if atSlow := count(short, 10*time.Millisecond); atSlow == 0 {
		t.Error("no short stream went to a slow engine")
	}
}

// A wave of reclaim: long streams go on at the holders of their copies, which must not be slow engines.
func TestCopiesOfLongStreamsAvoidSlowHolders(t *testing.T) {
	p := newPool(1, targets(9), 3)
	learnSpeeds(p, start, 9)
	for range 12 {
		r := longRequest()
		r.Copy, r.SourceDataCentre = true, "dc0"
		c, err := p.Place(start.Add(time.Second), r, false)
		if err != nil {
			t.Fatal(err)
		}
		if id := c.Target.ID; id == "e2" || id == "e5" || id == "e8" {
			t.Errorf("the copy of a long stream went to slow engine %s", id)
		}
	}
}

// Equal speeds: what is learned changes no decision, whether or not all engines are slower than forecast.
func TestEqualSpeedsDecideAsBefore(t *testing.T) {
	untaught, taught := newPool(1, targets(9), 3), newPool(1, targets(9), 3)
	for i := range 200 {
		now := start.Add(time.Duration(i) * 40 * time.Millisecond)
		r := longRequest()
		want, errWant := untaught.Place(now, r, false)
		got, errGot := taught.Place(now, r, false)
		if errWant != nil || errGot != nil || got.Target.ID != want.Target.ID || got.Delay != want.Delay || got.PrefillTime != want.PrefillTime || got.Late != want.Late {
			t.Fatalf("stream %d: %s in %s, %v; without samples %s in %s, %v", i, got.Target.ID, got.Delay, errGot, want.Target.ID, want.Delay, errWant)
		}
		taught.RecordOutcome(now, fmt.Sprint("host", i%5), usherpool.Outcome{Target: got.Target.ID, Base: 400 * time.Millisecond, FirstEvent: time.Duration(600+i%7*20) * time.Millisecond})
		taught.RecordOutcome(now, fmt.Sprint("host", i%5), usherpool.Outcome{Target: got.Target.ID, Events: 190, Gap: 50 * time.Millisecond, LongestPause: 300 * time.Millisecond})
	}
}

// A replacement: an outcome of the earlier incarnation arrives late and is not taken for one of the new one.
func TestOutcomesOfEarlierIncarnationsAreIgnored(t *testing.T) {
	known := targets(9)
	p := newPool(1, known, 3)
	learnSpeeds(p, start, 9)
	known[2].Target.Incarnation = 2
	p.Update(start, known, noneEvacuated, table(), 3)
	p.RecordOutcome(start.Add(time.Second), "host1", usherpool.Outcome{Target: "e2", Base: 400 * time.Millisecond, FirstEvent: 900 * time.Millisecond})
	if f, _ := p.Forecast(start.Add(time.Second), "e2", engineRequest()); f.Factor > 1 || f.Age != 0 {
		t.Errorf("forecast %+v of a target that has just started, want that of the median", f)
	}
}

// Reports come half a second late: prompts that an engine has read since then do not count, at the speed of that engine.
func TestReportedPromptsAreReadMeanwhile(t *testing.T) {
	p := newPool(1, targets(9), 3)
	learnSpeeds(p, start, 9)
	now := start.Add(time.Second)
	p.SetPeerLoads(now, "host", map[string]usherpool.Load{"e0": {Streams: 1, Prefill: 3000}, "e2": {Streams: 1, Prefill: 3000}})
	idle, _ := p.Forecast(now, "e1", engineRequest())
	fast, _ := p.Forecast(now, "e0", engineRequest())
	slow, _ := p.Forecast(now, "e2", engineRequest())
	if fast.Base != idle.Base || slow.Base <= idle.Base || slow.Base > idle.Base+usherpool.PrefillTime(2000) {
		t.Errorf("forecast %s at a fast engine and %s at a slow one, %s without prompts, at factor 1", fast.Base, slow.Base, idle.Base)
	}
}

// Callers whose hints are far too high: the length is learned, and memory is planned for what callers say all the same, as engines that run
// out of it preempt generations.
func TestOutputLengthsAreLearned(t *testing.T) {
	p := newPool(1, targets(9), 3)
	r := longRequest()
	r.Route, r.Workspace, r.OutputHint, r.MaxOutputTokens = "appraisal", "weavers", 900, 1200
	before, err := p.Place(start, r, false)
	if err != nil || before.OutputTokens != r.OutputTokens {
		t.Fatalf("%d output tokens expected without samples, want the hint of %d; %v", before.OutputTokens, r.OutputTokens, err)
	}
	for i := range 60 {
		p.RecordOutcome(start, "host1", usherpool.Outcome{
			Target: "gone", OutputTokens: 90 + i%20, Service: engines, Route: "appraisal", Workspace: "weavers", OutputHint: 700 + 7*i, MaxOutputTokens: 1200,
		})
	}
	after, err := p.Place(start, r, false)
	if err != nil || after.OutputTokens > 200 {
		t.Errorf("%d output tokens expected, want about 110; %v", after.OutputTokens, err)
	}
	for _, summary := range p.Summaries(start) {
		if summary.ID == after.Target.ID && summary.All.Tokens%(r.PromptTokens+r.OutputTokens) != 0 {
			t.Errorf("%d tokens reserved, want a multiple of what the caller says, %d", summary.All.Tokens, r.PromptTokens+r.OutputTokens)
		}
	}
}

func BenchmarkChooseBySpeed(b *testing.B) {
	for _, n := range []int{64, 1200} {
		for _, learned := range []bool{false, true} {
			b.Run(fmt.Sprintf("targets=%d/learned=%t", n, learned), func(b *testing.B) {
				p := newPool(1, targets(n), 30)
				if learned {
					learnSpeeds(p, start, n)
				}
				r := longRequest()
				// All targets are compared for a copy.
				r.Copy = true
				for i := range b.N {
					if _, err := p.Choose(start.Add(time.Duration(i)*time.Millisecond), r); err != nil {
						b.Fatal(err)
					}
				}
			})
		}
	}
}
