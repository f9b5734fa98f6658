package usherquota_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/samphireusher/samphireusher/pkg/usherquota"
)

// world is a few gateways that share the rate of one workspace.
type world struct {
	now      time.Time
	rate     usherquota.Rate
	limiters []*usherquota.Limiter
	accounts usherquota.Allocator
	// keeping is whether the keeper answers.
	keeping bool
}

func newWorld(gateways int, rate usherquota.Rate) *world {
	w := &world{now: time.Unix(1_000_000, 0), rate: rate, keeping: true}
	for range gateways {
		w.limiters = append(w.limiters, &usherquota.Limiter{})
	}
	return w
}

// run offers each gateway its demand for a time and returns what each accepted.
func (w *world) run(random *rand.Rand, span time.Duration, demand []float64) []int {
	const step = 10 * time.Millisecond
	accepted := make([]int, len(w.limiters))
	for range int(span / step) {
		w.now = w.now.Add(step)
		for i, l := range w.limiters {
			if random.Float64() < demand[i]*step.Seconds() {
				if _, ok := l.Take(w.now, w.rate, "kochi", len(w.limiters)); ok {
					accepted[i]++
				}
			}
		}
		w.claim()
	}
	return accepted
}

func (w *world) claim() {
	for i, l := range w.limiters {
		for _, claim := range l.DueReports(w.now) {
			if w.keeping {
				l.SetShare(w.now, claim.Workspace, w.accounts.Allocate(w.now, fmt.Sprint(i), claim))
			}
		}
	}
}

func sum(counts []int) int {
	total := 0
	for _, c := range counts {
		total += c
	}
	return total
}

func TestRateHoldsOverAllGateways(t *testing.T) {
	const span, settle, rate = 60 * time.Second, 10 * time.Second, 20.0
	tests := []struct {
		name    string
		keeping bool
		demand  []float64
		least   float64 // of the rate
	}{
		{"all at one gateway", true, []float64{60, 0, 0, 0}, 0.9},
		{"spread evenly", true, []float64{20, 20, 20, 20}, 0.9},
		{"unevenly", true, []float64{50, 10, 3, 1}, 0.9},
		{"keeper gone, all at one", false, []float64{60, 0, 0, 0}, 0.2},
		{"keeper gone, spread", false, []float64{20, 20, 20, 20}, 0.9},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			w := newWorld(4, usherquota.Rate{PerSecond: rate, Burst: 20})
			w.keeping = test.keeping
			random := rand.New(rand.NewPCG(1, 0))
			w.run(random, settle, test.demand)
			got := float64(sum(w.run(random, span, test.demand)))
			if most := rate*span.Seconds()*1.125 + 20; got > most {
				t.Errorf("accepted %v of a rate of %v", got/span.Seconds(), rate)
			}
			if least := rate * span.Seconds() * test.least; got < least {
				t.Errorf("accepted only %v a second", got/span.Seconds())
			}
		})
	}
}

func TestDemandThatMovesIsFollowed(t *testing.T) {
	w := newWorld(3, usherquota.Rate{PerSecond: 30, Burst: 30})
	random := rand.New(rand.NewPCG(2, 0))
	w.run(random, 20*time.Second, []float64{90, 0, 0})
	w.run(random, 8*time.Second, []float64{0, 90, 0})
	got := w.run(random, 20*time.Second, []float64{0, 90, 0})
	if least := 30 * 20 * 9 / 10; got[1] < least {
		t.Errorf("accepted %d after the demand moved, want at least %d", got[1], least)
	}
}

func TestRefusalUsesUpNothing(t *testing.T) {
	var l usherquota.Limiter
	now := time.Unix(0, 0)
	rate := usherquota.Rate{PerSecond: 1, Burst: 1}
	if _, ok := l.Take(now, rate, "kochi", 1); !ok {
		t.Fatal("the first request was refused")
	}
	var wait time.Duration
	for range 100 {
		var ok bool
		if wait, ok = l.Take(now, rate, "kochi", 1); ok {
			t.Fatal("accepted above the rate")
		}
	}
	if _, ok := l.Take(now.Add(wait), rate, "kochi", 1); !ok {
		t.Fatalf("refused after the wait of %s that it was told", wait)
	}
	if _, ok := l.Take(now, usherquota.Rate{}, "unbounded", 1); !ok {
		t.Fatal("a workspace without a rate was refused")
	}
}
