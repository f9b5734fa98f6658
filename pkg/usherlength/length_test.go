package usherlength_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"github.com/samphireusher/samphireusher/pkg/usherlength"
)

var kind = usherlength.Kind{Service: "appraiser", Route: "appraisal", Workspace: "weavers"}

// record adds samples whose hints err by factors with the given deviation.
func record(t *usherlength.Tracker, random *rand.Rand, k usherlength.Kind, n int, median, hintDeviation float64) {
	for range n {
		tokens := median * math.Exp(0.5*random.NormFloat64())
		hint := tokens * math.Exp(hintDeviation*random.NormFloat64())
		t.Record(k, usherlength.Call{Hint: int(hint), Max: 4000}, int(tokens))
	}
}

func TestEstimateWithoutSamplesIsWhatCallersExpect(t *testing.T) {
	var tracker usherlength.Tracker
	for _, c := range []struct{ hint, max, want int }{{0, 0, 0}, {300, 0, 300}, {0, 900, 900}, {300, 900, 300}, {1200, 900, 900}} {
		if got := tracker.Estimate(kind, usherlength.Call{Hint: c.hint, Max: c.max}); got != c.want {
			t.Errorf("hint %d, maximum %d: %d, want %d", c.hint, c.max, got, c.want)
		}
	}
}

// Hints that are often far off: the error of the estimates is less than that of the hints. Hints that are right are kept.
func TestWorthOfHintsIsLearned(t *testing.T) {
	for _, c := range []struct {
		deviation, least, most float64
	}{{0.02, 1800, 2200}, {1, 700, 1300}, {5, 450, 900}} {
		var tracker usherlength.Tracker
		record(&tracker, rand.New(rand.NewPCG(1, 1)), kind, 400, 500, c.deviation)
		if got := float64(tracker.Estimate(kind, usherlength.Call{Hint: 2000, Max: 4000})); got < c.least || got > c.most {
			t.Errorf("hints with a deviation of %v: %v tokens for a hint of 2,000 at a median of 500, want %v to %v", c.deviation, got, c.least, c.most)
		}
	}
}

func TestEstimateWithoutHintIsTheMean(t *testing.T) {
	var tracker usherlength.Tracker
	record(&tracker, rand.New(rand.NewPCG(1, 1)), kind, 200, 500, 0.3)
	if got := tracker.Estimate(kind, usherlength.Call{Max: 4000}); got < 480 || got > 680 {
		t.Errorf("%d tokens, want about 570", got)
	}
	if got := tracker.Estimate(kind, usherlength.Call{Max: 100}); got != 100 {
		t.Errorf("%d tokens, want the maximum of 100", got)
	}
}

// A new workspace gets the estimate of its route, a known one its own.
func TestWorkspacesAreLearnedOnceTheyHaveSamples(t *testing.T) {
	var tracker usherlength.Tracker
	random := rand.New(rand.NewPCG(1, 1))
	record(&tracker, random, kind, 100, 500, 5)
	other := kind
	other.Workspace = "dyers"
	before := tracker.Estimate(other, usherlength.Call{Max: 4000})
	record(&tracker, random, other, 60, 2000, 5)
	if after := tracker.Estimate(other, usherlength.Call{Max: 4000}); before > 700 || after < 1800 {
		t.Errorf("%d tokens before the workspace had samples and %d after, want about 570 and 2,270", before, after)
	}
}

func TestMemoryIsBounded(t *testing.T) {
	var tracker usherlength.Tracker
	for i := range 5000 {
		tracker.Record(usherlength.Kind{Service: "appraiser", Route: "appraisal", Workspace: fmt.Sprint(i)}, usherlength.Call{Hint: 1 << 40, Max: -1}, 500)
		tracker.Record(usherlength.Kind{Service: "appraiser", Route: fmt.Sprint(i)}, usherlength.Call{Hint: 400}, 500)
	}
	if n := tracker.Len(); n > 1024 {
		t.Errorf("%d kinds remembered, want a bound", n)
	}
	if got := tracker.Estimate(kind, usherlength.Call{Hint: 1 << 40, Max: 900}); got != 900 {
		t.Errorf("%d tokens for a hint out of bounds, want the maximum", got)
	}
}
