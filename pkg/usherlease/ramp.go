package usherlease

import (
	"context"
	"time"

	"github.com/looplab/fsm"
)

const (
	// Cold is the state of a target that has just started or has turned cold.
	Cold State = "cold"
	// Warming is the state of a target that has shown some completed work.
	Warming State = "warming"
	// Warm is the state of a target that bears its full load.
	Warm State = "warm"
)

const (
	eventRaise = "raise"
	eventFull  = "full"
	eventDrop  = "drop"
	eventChill = "chill"

	defaultStepTime   = 36 * time.Millisecond
	defaultJump       = 3.0
	baselineSmoothing = 0.2
)

type (
	// State is how much of its load a target bears.
	State string

	// Ramp says what evidence raises or drops the load of a target. Zero values stand for defaults.
	Ramp struct {
		// StepTime is the bound up to which the load may rise.
		StepTime time.Duration
		// Jump is the factor over its usual step time at which a warm target counts as cold again.
		Jump float64
	}

	// ramp is the load that one incarnation of a target has been shown to bear.
	ramp struct {
		state     State
		level     int // what it bears
		completed int // requests that ended at this level
		peak      int // the most requests at once at this level
		seen      bool
		reported  uint64 // completions by the last report
		preempted uint64
		baseline  time.Duration // usual step time
	}

	// lifecycle is the transition table of all targets; a target keeps only its state.
	lifecycle struct {
		machine *fsm.FSM
	}
)

func (r Ramp) withDefaults() Ramp {
	if r.StepTime == 0 {
		r.StepTime = defaultStepTime
	}
	if r.Jump == 0 {
		r.Jump = defaultJump
	}
	return r
}

func newLifecycle() lifecycle {
	return lifecycle{machine: fsm.NewFSM(string(Cold), fsm.Events{
		{Name: eventRaise, Src: []string{string(Cold)}, Dst: string(Warming)},
		{Name: eventFull, Src: []string{string(Cold), string(Warming)}, Dst: string(Warm)},
		{Name: eventDrop, Src: []string{string(Warm)}, Dst: string(Warming)},
		{Name: eventChill, Src: []string{string(Warming), string(Warm)}, Dst: string(Cold)},
	}, nil)}
}

func (l lifecycle) next(state State, event string) State {
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

// bearable returns how many requests the target bears now.
func (t *target) bearable() int {
	if t.ramp.current() == Warm {
		return max(t.WarmCapacity, t.ColdCapacity)
	}
	return max(t.ramp.level, t.ColdCapacity)
}

// chill takes the target back to the start.
func (r *ramp) chill(l lifecycle, declared Target) {
	*r = ramp{state: l.next(r.current(), eventChill), level: declared.ColdCapacity}
}

// observe moves the ramp by a report: up a level when the level has been used and as many requests have ended as it
// bears, with the step time in bound and no preemption; down by half on a preemption; back to the start when the
// step time of a warm target jumps, and for as long as the target says that it is cold: a target may bear two requests
// for a thousand tokens and fall over at the third.
func (r *ramp) observe(l lifecycle, declared Target, bounds Ramp, report LoadReport) {
	r.state = r.current()
	r.level = max(r.level, declared.ColdCapacity)
	r.peak = max(r.peak, report.Running)
	preempted := r.seen && report.Preempted > r.preempted
	if report.Completed > r.reported {
		r.completed = max(r.completed, int(report.Completed-r.reported))
	}
	r.seen, r.preempted = true, report.Preempted
	switch {
	case report.Cold:
		r.chill(l, declared)
		r.reported = report.Completed
	case r.jumped(bounds, report.StepTime):
		r.chill(l, declared)
	case preempted:
		r.halve(l, declared, report)
	case report.StepTime <= bounds.StepTime && r.state != Warm && r.completed >= r.level && 2*r.peak >= r.level:
		r.raise(l, declared, report)
	}
	r.learn(report.StepTime)
}

// raise doubles the level, or takes it to what evidently runs.
func (r *ramp) raise(l lifecycle, declared Target, report LoadReport) {
	full := max(declared.WarmCapacity, declared.ColdCapacity)
	r.level = min(max(2*r.level, report.Running), full)
	r.state = l.next(r.state, eventRaise)
	if r.level == full {
		r.state = l.next(r.state, eventFull)
	}
	r.completed, r.peak, r.reported = 0, 0, report.Completed
}

func (r *ramp) halve(l lifecycle, declared Target, report LoadReport) {
	if r.state == Warm {
		r.level = declared.WarmCapacity
		r.state = l.next(r.state, eventDrop)
	}
	r.level = max(r.level/2, declared.ColdCapacity)
	r.completed, r.peak, r.reported = 0, 0, report.Completed
}

// jumped reports whether a warm target's step time says that it is cold again.
func (r *ramp) jumped(bounds Ramp, step time.Duration) bool {
	return r.state == Warm && r.baseline > 0 && step > bounds.StepTime && step > scale(r.baseline, bounds.Jump)
}

func (r *ramp) learn(step time.Duration) {
	if step == 0 {
		return
	}
	if r.baseline == 0 {
		r.baseline = step
		return
	}
	r.baseline += scale(step-r.baseline, baselineSmoothing)
}
