package usherpool

import (
	"time"

	"github.com/samphireusher/samphireusher/pkg/ushercatalog"
	"github.com/samphireusher/samphireusher/pkg/usherlength"
	"github.com/samphireusher/samphireusher/pkg/usherspeed"
)

const (
	// longRunEvents is the expected number of events from which a stream is as likely as a long one to have a pause at a slow target.
	longRunEvents = 64
	// missCost is the cost of a pause over the maximum for streams without an objective.
	missCost = 2 * time.Second
	// minBase is the shortest forecast of a stream's first event that is compared with what was seen: below it, fixed delays prevail.
	minBase = 20 * time.Millisecond
	// speedInterval is how long what is known of the speeds of a service's targets is used.
	speedInterval = 100 * time.Millisecond
)

type (
	// Forecast is what is expected of a request at a target.
	Forecast struct {
		// FirstEvent is the time until the first event, Base the same for a target with factor 1.
		FirstEvent time.Duration `cbor:"1,keyasint,omitempty"`
		Base       time.Duration `cbor:"2,keyasint,omitempty"`
		// LongestPause is the longest pause between two events of a long stream; zero if it is not known.
		LongestPause time.Duration `cbor:"3,keyasint,omitempty"`
		// FreeTokens is the memory, in tokens, that is left for the request and others. It is negative where memory is short.
		FreeTokens int `cbor:"4,keyasint,omitempty"`
		// Factor is the ratio of the target's times to those of a usual one, Error the standard error of its logarithm, and Age the time
		// since an observation of the target last reached this host; zero if none did.
		Factor float64       `cbor:"5,keyasint,omitempty"`
		Error  float64       `cbor:"6,keyasint,omitempty"`
		Age    time.Duration `cbor:"7,keyasint,omitempty"`
	}

	// Outcome is what the host that relays a stream saw of one run. Fields that are zero were not seen.
	Outcome struct {
		Target      string
		Incarnation int64
		// Base is that of the run's forecast, FirstEvent the time until the first event.
		Base       time.Duration
		FirstEvent time.Duration
		// Events is the number of events so far, Gap the mean time between them and LongestPause the longest.
		Events       int
		Gap          time.Duration
		LongestPause time.Duration
		// OutputTokens is the length of the whole output, once it has ended, of a stream of the given service, route and workspace.
		// OutputHint and MaxOutputTokens are those of its request.
		OutputTokens    int
		Service         string
		Route           string
		Workspace       string
		OutputHint      int
		MaxOutputTokens int
		// Kept is nil if the target was expected to keep nothing of the prompt.
		Kept *KeptOutcome
	}
)

// Forecast returns what is expected of a request at a target; known is false for a target that the pool does not have.
func (p *Pool) Forecast(now time.Time, id string, r Request) (f Forecast, known bool) {
	t, known := p.targets[id]
	if !known {
		return Forecast{}, false
	}
	return p.forecast(now, t, p.estimateOutput(r), p.totalLoad(now, t)), true
}

// RecordOutcome records what a host saw of a run, and reports whether it shows that the target had not kept the parts of the prompt
// that it was expected to keep. What it says of another incarnation than the known one is ignored.
func (p *Pool) RecordOutcome(now time.Time, host string, o Outcome) (wrongParts bool) {
	if o.OutputTokens > 0 {
		kind := usherlength.Kind{Service: o.Service, Route: o.Route, Workspace: o.Workspace}
		p.lengths.Record(kind, usherlength.Call{Hint: o.OutputHint, Max: o.MaxOutputTokens}, o.OutputTokens)
	}
	t, known := p.targets[o.Target]
	if !known || t.entry.Incarnation != o.Incarnation {
		return false
	}
	if t.service.Engine != nil && o.Base < minBase {
		o.Base = 0
	}
	wrongParts = p.observeParts(now, t, o)
	p.speeds.Record(now, usherspeed.Sample{
		Target: speedTarget(t.entry), Host: host, Call: t.service.Engine == nil, Expected: o.Base, Seen: o.FirstEvent, Events: o.Events, Gap: o.Gap, LongestPause: o.LongestPause,
	})
	return wrongParts
}

// estimateOutput returns the request with what is known of the lengths of outputs. Memory is still planned for what the caller says: engines that
// run out of it preempt generations and process their prompts again, which costs more than memory that stays free.
func (p *Pool) estimateOutput(r Request) Request {
	if r.OutputHint < 0 || r.MaxOutputTokens < 0 || r.OutputHint+r.MaxOutputTokens == 0 {
		return r
	}
	kind := usherlength.Kind{Service: r.Service, Route: r.Route, Workspace: r.Workspace}
	estimate := p.lengths.Estimate(kind, usherlength.Call{Hint: r.OutputHint, Max: r.MaxOutputTokens})
	if r.OutputTokens > 0 {
		r.Events = int(int64(r.Events) * int64(estimate) / int64(r.OutputTokens))
	}
	r.expectedOutput = estimate
	return r
}

func (p *Pool) forecast(now time.Time, t *target, r Request, load Load) Forecast {
	speed := p.speed(now, t)
	if r.PromptTokens == 0 {
		base := callTime(t, load)
		return Forecast{FirstEvent: speed.Scale(base), Base: base, Factor: speed.Factor, Error: speed.Error, Age: speed.Age}
	}
	base := PrefillTime(p.pendingPrefill(now, t, load, speed) + r.PromptTokens)
	return Forecast{
		FirstEvent: speed.Scale(base), Base: base, LongestPause: speed.LongestPause,
		FreeTokens: p.usableMemoryTokens(t) - load.Tokens - load.CopyTokens, Factor: speed.Factor, Error: speed.Error, Age: speed.Age,
	}
}

// callTime returns how long a call takes at a usual target beside the known ones.
func callTime(t *target, load Load) time.Duration {
	slots := max(t.entry.Slots, 1)
	return callCost * time.Duration(max(load.Calls+1, slots)) / time.Duration(slots)
}

// callDelay returns the cost of a call at t.
func (p *Pool) callDelay(now time.Time, t *target, load Load) time.Duration {
	queued := time.Duration(load.Calls) * callCost / time.Duration(max(t.entry.Slots, 1))
	speed := p.speed(now, t)
	if !speed.Uneven() {
		return queued
	}
	// Hosts that know the same, and a target that has not been tried for a while, differ by the error of what is known.
	spread := 1 + speed.Error*(2*p.options.Random.Float64()-1)
	return time.Duration(spread * float64(speed.Scale(callCost+queued)))
}

// Uneven reports whether the targets of a service differ in speed by more than what is known of them.
func (p *Pool) Uneven(now time.Time, service string) bool {
	for _, t := range p.byService[service] {
		return p.speed(now, t).Uneven()
	}
	return false
}

// speed returns what is known of a target's speed.
func (p *Pool) speed(now time.Time, t *target) usherspeed.Estimate {
	if service := t.entry.Service; now.Sub(p.speedsAt[service]) >= speedInterval {
		// All targets of a service at once, as they are compared with each other.
		p.speedsAt[service] = now
		for _, t := range p.byService[service] {
			if told, adopted := p.adoptedSpeed(now, t); adopted {
				t.speed = told
				continue
			}
			t.speed = p.speeds.Estimate(now, speedTarget(t.entry))
		}
	}
	return t.speed
}

// speedOf returns what is known of the speed of one target, without estimating those that it is not compared with.
func (p *Pool) speedOf(now time.Time, t *target) usherspeed.Estimate {
	if now.Sub(p.speedsAt[t.entry.Service]) < speedInterval {
		return t.speed
	}
	if told, adopted := p.adoptedSpeed(now, t); adopted {
		return told
	}
	return p.speeds.Estimate(now, speedTarget(t.entry))
}

func speedTarget(entry ushercatalog.Target) usherspeed.Target {
	return usherspeed.Target{Service: entry.Service, ID: entry.ID, Incarnation: entry.Incarnation}
}

// pauseCost returns the cost of the pauses that a stream is more likely to have at a target with the given speed than at one of usual speed. One that is certain
// to have a longer pause than allowed costs as much as one that begins late.
func pauseCost(speed usherspeed.Estimate, r Request) time.Duration {
	if r.MaxPause <= 0 || r.Events <= 0 {
		return 0
	}
	miss := r.Objective
	if miss <= 0 {
		miss = missCost
	}
	long := min(1, float64(r.Events)/longRunEvents)
	return time.Duration(long * speed.PauseRisk(r.MaxPause) * float64(miss))
}
