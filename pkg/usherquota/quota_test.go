package usherquota_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/samphireusher/samphireusher/pkg/usherquota"
)

// fleet simulates several gateways that share the rate of one workspace.
type fleet struct {
	now       time.Time
	rate      usherquota.Rate
	limiters  []*usherquota.Limiter
	allocator usherquota.Allocator
	// coordinatorUp reports whether the coordinator responds.
	coordinatorUp bool
}

func newFleet(gateways int, rate usherquota.Rate) *fleet {
	f := &fleet{now: time.Unix(1_000_000, 0), rate: rate, coordinatorUp: true}
	for range gateways {
		f.limiters = append(f.limiters, &usherquota.Limiter{})
	}
	return f
}

// run sends each gateway its demand for span and returns the number of requests that each accepted.
func (f *fleet) run(random *rand.Rand, span time.Duration, demand []float64) []int {
	const step = 10 * time.Millisecond
	accepted := make([]int, len(f.limiters))
	for range int(span / step) {
		f.now = f.now.Add(step)
		for i, l := range f.limiters {
			if random.Float64() < demand[i]*step.Seconds() {
				if _, ok := l.Take(f.now, f.rate, "kochi", len(f.limiters)); ok {
					accepted[i]++
				}
			}
		}
		f.report()
	}
	return accepted
}

func (f *fleet) report() {
	for i, l := range f.limiters {
		for _, report := range l.DueReports(f.now) {
			if f.coordinatorUp {
				l.SetShare(f.now, report.Workspace, f.allocator.Allocate(f.now, fmt.Sprint(i), report))
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

func TestRateAcrossAllGateways(t *testing.T) {
	const span, settle, rate = 60 * time.Second, 10 * time.Second, 20.0
	tests := []struct {
		name          string
		coordinatorUp bool
		demand        []float64
		least         float64 // minimum fraction of the rate to accept
	}{
		{"all at one gateway", true, []float64{60, 0, 0, 0}, 0.9},
		{"spread evenly", true, []float64{20, 20, 20, 20}, 0.9},
		{"spread unevenly", true, []float64{50, 10, 3, 1}, 0.9},
		{"coordinator down, all at one gateway", false, []float64{60, 0, 0, 0}, 0.2},
		{"coordinator down, spread evenly", false, []float64{20, 20, 20, 20}, 0.9},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f := newFleet(4, usherquota.Rate{PerSecond: rate, Burst: 20})
			f.coordinatorUp = test.coordinatorUp
			random := rand.New(rand.NewPCG(1, 0))
			f.run(random, settle, test.demand)
			got := float64(sum(f.run(random, span, test.demand)))
			if most := rate*span.Seconds()*1.125 + 20; got > most {
				t.Errorf("accepted %v requests per second at a rate of %v", got/span.Seconds(), rate)
			}
			if least := rate * span.Seconds() * test.least; got < least {
				t.Errorf("accepted only %v requests per second", got/span.Seconds())
			}
		})
	}
}

func TestSharesFollowDemand(t *testing.T) {
	f := newFleet(3, usherquota.Rate{PerSecond: 30, Burst: 30})
	random := rand.New(rand.NewPCG(2, 0))
	f.run(random, 20*time.Second, []float64{90, 0, 0})
	f.run(random, 8*time.Second, []float64{0, 90, 0})
	got := f.run(random, 20*time.Second, []float64{0, 90, 0})
	if least := 30 * 20 * 9 / 10; got[1] < least {
		t.Errorf("accepted %d after the demand moved, want at least %d", got[1], least)
	}
}

func TestRefusedRequestConsumesNoTokens(t *testing.T) {
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
		t.Fatalf("refused after the returned wait of %s", wait)
	}
	if _, ok := l.Take(now, usherquota.Rate{}, "unbounded", 1); !ok {
		t.Fatal("a workspace without a rate was refused")
	}
}
