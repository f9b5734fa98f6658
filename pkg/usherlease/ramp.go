package usherlease

import (
	"context"
	"time"

	"github.com/looplab/fsm"
)

const (
	// Cold is the state of a target that has just started or has become cold again.
	Cold State = "cold"
	// Warming is the state of a target that has completed some requests.
	Warming State = "warming"
	// Warm is the state of a target that has its full capacity.
	Warm State = "warm"
)

const (
	eventRaise = "raise"
	eventFull  = "full"
	eventDrop  = "drop"
	eventReset = "reset"

	defaultStepTime   = 36 * time.Millisecond
	defaultJumpFactor = 3.0
	baselineSmoothing = 0.2
)

type (
	// State is the warm-up state of a target.
	State string

	// Ramp sets the thresholds at which the capacity of a target rises and falls. Zero values select defaults.
	Ramp struct {
		// StepTime is the maximum step time at which the capacity may rise.
		StepTime time.Duration
		// JumpFactor is the multiple of its usual step time above which a warm target counts as cold again.
		JumpFactor float64
	}

	// ramp tracks the number of concurrent requests that one incarnation of a target has been shown to cope with.
	ramp struct {
		state           State
		level           int // requests that it has been shown to cope with
		completed       int // requests completed at this level
		peak            int // maximum number of concurrent requests at this level
		hasReport       bool
		completedBefore uint64 // value of the Completed counter when the current level began
		lastPreemptions uint64
		baseline        time.Duration // usual step time
	}

	// rampStateMachine holds the state transitions, which all targets share; a target stores only its current state.
	rampStateMachine struct {
		machine *fsm.FSM
	}
)

func (r Ramp) withDefaults() Ramp {
	if r.StepTime == 0 {
		r.StepTime = defaultStepTime
	}
	if r.JumpFactor == 0 {
		r.JumpFactor = defaultJumpFactor
	}
	return r
}

func newRampStateMachine() rampStateMachine {
	return rampStateMachine{machine: fsm.NewFSM(string(Cold), fsm.Events{
		{Name: eventRaise, Src: []string{string(Cold)}, Dst: string(Warming)},
		{Name: eventFull, Src: []string{string(Cold), string(Warming)}, Dst: string(Warm)},
		{Name: eventDrop, Src: []string{string(Warm)}, Dst: string(Warming)},
		{Name: eventReset, Src: []string{string(Warming), string(Warm)}, Dst: string(Cold)},
	}, nil)}
}

func (l rampStateMachine) next(state State, event string) State {
	l.machine.SetState(string(state))
	if l.machine.Cannot(event) {
		return state
	}
	if err := l.machine.Event(context.Background(), event); err != nil {
		return state
	}
	return State(l.machine.Current())
}

func (r ramp) current() State {
	if r.state == "" {
		return Cold
	}
	return r.state
}

// capacity returns how many requests the target can run at once now.
func (t *target) capacity() int {
	if t.ramp.current() == Warm {
		return max(t.WarmCapacity, t.ColdCapacity)
	}
	return max(t.ramp.level, t.ColdCapacity)
}

// reset returns the target to its cold capacity.
func (r *ramp) reset(l rampStateMachine, declared Target) {
	*r = ramp{state: l.next(r.current(), eventReset), level: declared.ColdCapacity}
}

// observe adjusts the ramp by a load report. The level rises when at least half of it has been in use and as many
// requests have completed as it allows, with the step time within its bound and no preemption. It is halved on a
// preemption. It is reset when the step time of a warm target jumps, and for as long as the target declares itself cold:
// a target may cope with two requests for a thousand tokens and fail at the third.
func (r *ramp) observe(l rampStateMachine, declared Target, bounds Ramp, report LoadReport) {
	r.state = r.current()
	r.level = max(r.level, declared.ColdCapacity)
	r.peak = max(r.peak, report.Requests)
	preempted := r.hasReport && report.Preemptions > r.lastPreemptions
	if report.Completed > r.completedBefore {
		r.completed = max(r.completed, int(report.Completed-r.completedBefore))
	}
	r.hasReport, r.lastPreemptions = true, report.Preemptions
	switch {
	case report.Cold:
		r.reset(l, declared)
		r.completedBefore = report.Completed
	case r.stepTimeJumped(bounds, report.StepTime):
		r.reset(l, declared)
	case preempted:
		r.halve(l, declared, report)
	case report.StepTime <= bounds.StepTime && r.state != Warm && r.completed >= r.level && 2*r.peak >= r.level:
		r.raise(l, declared, report)
	}
	r.updateBaseline(report.StepTime)
}

// raise doubles the level, or sets it to the number of requests on the target if that is higher.
func (r *ramp) raise(l rampStateMachine, declared Target, report LoadReport) {
	full := max(declared.WarmCapacity, declared.ColdCapacity)
	r.level = min(max(2*r.level, report.Requests), full)
	r.state = l.next(r.state, eventRaise)
	if r.level == full {
		r.state = l.next(r.state, eventFull)
	}
	r.completed, r.peak, r.completedBefore = 0, 0, report.Completed
}

func (r *ramp) halve(l rampStateMachine, declared Target, report LoadReport) {
	if r.state == Warm {
		r.level = declared.WarmCapacity
		r.state = l.next(r.state, eventDrop)
	}
	r.level = max(r.level/2, declared.ColdCapacity)
	r.completed, r.peak, r.completedBefore = 0, 0, report.Completed
}

// stepTimeJumped reports whether the step time of a warm target shows that it has become cold again.
func (r *ramp) stepTimeJumped(bounds Ramp, step time.Duration) bool {
	return r.state == Warm && r.baseline > 0 && step > bounds.StepTime && step > scale(r.baseline, bounds.JumpFactor)
}

func (r *ramp) updateBaseline(step time.Duration) {
	if step == 0 {
		return
	}
	if r.baseline == 0 {
		r.baseline = step
		return
	}
	r.baseline += scale(step-r.baseline, baselineSmoothing)
}
