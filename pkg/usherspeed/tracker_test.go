package usherspeed_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/samphireusher/samphireusher/pkg/usherspeed"
)

const expected = 400 * time.Millisecond

var start = time.Unix(1000, 0)

// observer feeds a tracker with what hosts see of targets with given factors.
type observer struct {
	tracker usherspeed.Tracker
	random  *rand.Rand
	now     time.Time
	hosts   int
}

func newObserver(hosts int) *observer {
	return &observer{random: rand.New(rand.NewPCG(1, 2)), now: start, hosts: hosts}
}

func id(i int) usherspeed.Target {
	return usherspeed.Target{Service: "appraiser", ID: fmt.Sprint("e", i), Incarnation: 1}
}

// see records one stream at a target with a factor, as a random host sees it.
func (o *observer) see(target usherspeed.Target, factor float64) {
	noisy := func(d time.Duration) time.Duration {
		return time.Duration(float64(d) * factor * math.Exp(0.2*o.random.NormFloat64()))
	}
	host := fmt.Sprint("host", o.random.IntN(o.hosts))
	o.tracker.Record(o.now, usherspeed.Sample{Target: target, Host: host, Expected: expected, Seen: noisy(expected)})
	o.tracker.Record(o.now, usherspeed.Sample{Target: target, Host: host, Events: 16, Gap: noisy(35 * time.Millisecond)})
}

// run lets each target have one stream in each second.
func (o *observer) run(seconds int, factors ...float64) {
	for range seconds {
		for i, f := range factors {
			o.now = o.now.Add(time.Second / time.Duration(len(factors)))
			o.see(id(i), f)
		}
	}
}

func (o *observer) factor(i int) float64 { return o.tracker.Estimate(o.now, id(i)).Factor }

func repeat(n int, pattern ...float64) (factors []float64) {
	for range n {
		factors = append(factors, pattern...)
	}
	return factors
}

// Unequal speeds: two of three targets are fast, or two of three are slow. After three streams each, the factors are known.
func TestUnequalSpeedsAreLearnedFromFewStreams(t *testing.T) {
	for _, pattern := range [][]float64{{0.7, 0.7, 1.7}, {1.7, 1.7, 0.7}} {
		for _, hosts := range []int{3, 30, 300} {
			o := newObserver(hosts)
			factors := repeat(10, pattern...)
			o.run(3, factors...)
			wrong := 0
			for i, f := range factors {
				if got := o.factor(i); got/f > 1.35 || got/f < 0.74 {
					wrong++
				}
			}
			if wrong > len(factors)/10 {
				t.Errorf("%v, %d hosts: %d of %d factors are wrong by more than a third", pattern, hosts, wrong, len(factors))
			}
		}
	}
}

// Equal speeds: whatever the noise, and if all are slower than forecast, every factor is exactly 1.
func TestEqualSpeedsAreNotCorrected(t *testing.T) {
	for _, factor := range []float64{1, 2} {
		o := newObserver(30)
		for range 20 {
			o.run(1, repeat(40, factor)...)
			for i := range 40 {
				if got := o.factor(i); got != 1 {
					t.Fatalf("factor %v of a target like all others, want 1", got)
				}
			}
		}
	}
}

// A slow spell: a target is 2.5 times slower for 600 ms, in which it answers one stream. It does not count as slow for long.
func TestSpellIsForgotten(t *testing.T) {
	o := newObserver(30)
	factors := repeat(10, 0.7, 0.7, 1.7)
	o.run(5, factors...)
	o.see(id(0), 2.5*0.7)
	o.run(5, factors...)
	if got := o.factor(0); got > 1 {
		t.Errorf("factor %v five seconds after a spell, want about 0.7", got)
	}
}

// A replacement: a slow target starts again as a fast one under the same id. Nothing is taken over.
func TestReplacementIsLearnedAnew(t *testing.T) {
	o := newObserver(30)
	o.run(8, repeat(10, 0.7, 0.7, 1.7)...)
	successor := id(2)
	successor.Incarnation = 2
	if got := o.tracker.Estimate(o.now, successor).Factor; got > 1 {
		t.Errorf("factor %v without samples, want that of the median", got)
	}
	for range 4 {
		o.see(successor, 0.7)
	}
	if got := o.tracker.Estimate(o.now, successor).Factor; got > 0.9 {
		t.Errorf("factor %v after four streams, want about 0.7", got)
	}
}

// A bad link: one host of 30 sees everything three times as slow, and sends half of all streams of a target.
func TestBadLinkOfOneHostDoesNotMakeTargetSlow(t *testing.T) {
	o := newObserver(30)
	factors := repeat(10, 0.7, 0.7, 1.7)
	for range 8 {
		o.run(1, factors...)
		o.tracker.Record(o.now, usherspeed.Sample{Target: id(0), Host: "bad", Expected: expected, Seen: 3 * expected})
	}
	if got := o.factor(0); got > 1 {
		t.Errorf("factor %v of a fast target, want about 0.7", got)
	}
}

// Reports that never come: without samples, the factor returns to that of the median, and the error grows.
func TestEstimateAges(t *testing.T) {
	o := newObserver(30)
	factors := repeat(10, 0.7, 0.7, 1.7)
	o.run(8, factors...)
	before := o.tracker.Estimate(o.now, id(2))
	for range 25 {
		o.now = o.now.Add(time.Second)
		for i, f := range factors {
			if i != 2 {
				o.see(id(i), f)
			}
		}
	}
	after := o.tracker.Estimate(o.now, id(2))
	if after.Error <= before.Error || after.Factor >= before.Factor || after.Age < 25*time.Second {
		t.Errorf("%+v after 25 s without samples, before %+v", after, before)
	}
}

// Long streams: pauses at slow targets are 4.6 times those at fast ones, more than the ratio of their factors.
func TestPausesOfLongStreams(t *testing.T) {
	o := newObserver(30)
	factors := repeat(10, 0.7, 0.7, 1.7)
	for range 8 {
		o.run(1, factors...)
		for i, f := range factors {
			pause := 46 * time.Millisecond
			if f > 1 {
				pause = 213 * time.Millisecond
			}
			pause = time.Duration(float64(pause) * math.Exp(0.4*o.random.NormFloat64()))
			o.tracker.Record(o.now, usherspeed.Sample{Target: id(i), Host: "host1", Events: 190, Gap: time.Duration(35 * f * float64(time.Millisecond)), LongestPause: pause})
		}
	}
	const bound = 180 * time.Millisecond
	if risk := o.tracker.Estimate(o.now, id(0)).PauseRisk(bound); risk != 0 {
		t.Errorf("risk %v at a fast target, want none over the usual", risk)
	}
	if risk := o.tracker.Estimate(o.now, id(2)).PauseRisk(bound); risk < 0.35 {
		t.Errorf("risk %v at a slow target, want about a half", risk)
	}
	if p := o.tracker.Estimate(o.now, id(2)).LongestPause; p < 150*time.Millisecond || p > 300*time.Millisecond {
		t.Errorf("longest pause %s at a slow target, want about 213 ms", p)
	}
}

func TestSamplesOutOfBoundsAreIgnored(t *testing.T) {
	var tracker usherspeed.Tracker
	for _, s := range []usherspeed.Sample{
		{Expected: -1, Seen: -1}, {Expected: math.MaxInt64, Seen: math.MaxInt64}, {Expected: expected, Seen: 0},
		{Events: math.MaxInt, Gap: 1, LongestPause: 1}, {Events: 100, Gap: -1, LongestPause: -1},
	} {
		s.Target = id(0)
		tracker.Record(start, s)
	}
	if e := tracker.Estimate(start, id(0)); e.Factor != 1 || e.Age != 0 {
		t.Errorf("%+v, want nothing known", e)
	}
	for i := range 4600 {
		tracker.Record(start.Add(time.Duration(i)*time.Millisecond), usherspeed.Sample{Target: id(i), Host: fmt.Sprint(i), Expected: expected, Seen: expected})
	}
	if n := tracker.Len(); n > 4096 {
		t.Errorf("%d targets remembered, want a bound", n)
	}
}
