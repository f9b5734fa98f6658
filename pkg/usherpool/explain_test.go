package usherpool_test

import (
	"reflect"
	"testing"
	"time"

	"github.com/samphireusher/samphireusher/pkg/usherpool"
)

// crowded returns a pool in which most targets cannot be chosen, each for another reason.
func crowded(t *testing.T) *usherpool.Pool {
	t.Helper()
	known := targets(9)
	known[0].Target.Leaving = true
	known[1].Target.ColdRemaining = time.Minute
	p := newWeighingPool(known)
	p.Update(start, known[:8], noneEvacuated, table(), 2)
	p.Rest(*known[2].Target, start.Add(time.Second))
	p.Limit(start, *known[3].Target, start, 0.001)
	for range 5 {
		p.RecordResult(start, "e4", usherpool.Failed)
	}
	p.RecordResult(start, "e5", usherpool.Unreachable)
	for _, k := range known[:8] {
		p.RecordOutcome(start, "host", usherpool.Outcome{Target: k.Target.ID, Base: 400 * time.Millisecond, FirstEvent: 450 * time.Millisecond})
	}
	p.SetPeerLoads(start, "host", map[string]usherpool.Load{"e6": {Streams: 2, Tokens: 8000, Prefill: 700}})
	return p
}

func TestExplainNamesTheReasonForEachTarget(t *testing.T) {
	p := crowded(t)
	now := start.Add(time.Millisecond)
	candidates := p.Explain(now, sharingRequest(), true)
	got := map[string]usherpool.PassedOver{}
	for _, c := range candidates {
		got[c.Target.ID] = c.PassedOver
		sum := time.Duration(0)
		for _, cost := range c.Costs {
			sum += cost.Delay
		}
		if sum != c.Delay {
			t.Errorf("%s: the costs %v make up %s of a delay of %s", c.Target.ID, c.Costs, sum, c.Delay)
		}
	}
	want := map[string]usherpool.PassedOver{
		"e0": usherpool.PassedOverLeaving, "e1": usherpool.PassedOverCold, "e2": usherpool.PassedOverResting, "e3": usherpool.PassedOverLimited,
		"e4": usherpool.PassedOverFailing, "e5": usherpool.PassedOverUnreachable, "e6": "", "e7": "",
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("passed over %v, want %v", got, want)
	}
	if best := candidates[0]; best.Target.ID != "e7" || candidates[1].Target.ID != "e6" || candidates[1].Delay < best.Delay+150*time.Millisecond {
		t.Errorf("the best is %s with %s, then %s with %s; want e7, and e6 with 150 ms more", best.Target.ID, best.Delay, candidates[1].Target.ID, candidates[1].Delay)
	}
	for _, c := range candidates {
		if c.Target.ID == "e2" && c.BackIn != start.Add(time.Second).Sub(now) {
			t.Errorf("e2 is back in %s, want after its rest", c.BackIn)
		}
	}
	if alone := p.Explain(now, sharingRequest(), false); alone[2].Target.ID != "e4" || alone[2].PassedOver != "" {
		t.Errorf("a host that chooses by itself has %s as the third choice, passed over as %q; want e4", alone[2].Target.ID, alone[2].PassedOver)
	}
}

// Two pools make the same choices, and one of them explains each beforehand.
func TestExplainChangesNothing(t *testing.T) {
	plain, explained := crowded(t), crowded(t)
	for i := range 60 {
		now := start.Add(time.Duration(i) * 50 * time.Millisecond)
		r := sharingRequest()
		for _, placed := range []bool{true, false} {
			explained.Explain(now, r, placed)
			explained.Explain(now, usherpool.Request{Service: engines}, placed)
		}
		var want, got usherpool.Choice
		var wantErr, gotErr error
		if i%2 == 0 {
			want, wantErr = plain.Place(now, r, i%3 == 0)
			got, gotErr = explained.Place(now, r, i%3 == 0)
		} else {
			want, wantErr = plain.Choose(now, r)
			got, gotErr = explained.Choose(now, r)
		}
		if !reflect.DeepEqual(got, want) || (gotErr == nil) != (wantErr == nil) {
			t.Fatalf("choice %d is %+v (%v), without explanations %+v (%v)", i, got, gotErr, want, wantErr)
		}
		if a, b := plain.Summaries(now), explained.Summaries(now); !reflect.DeepEqual(a, b) {
			t.Fatalf("after choice %d: %+v, without explanations %+v", i, b, a)
		}
	}
}
