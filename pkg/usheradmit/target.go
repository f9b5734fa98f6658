package usheradmit

import (
	"context"
	"time"

	"github.com/looplab/fsm"
)

const (
	// Unlimited is the Limit of a target whose load is limited only by its memory and step time.
	Unlimited = -1

	stateCold = "cold"
	stateWarm = "warm"
	eventWarm = "warm"
	eventCool = "cool"

	coldSlowdown      = 1.75        // multiple of the expected step time above which a target counts as cold
	warmCompleted     = 8           // completed generations in a load report from which the target counts as warm
	suspensionTime    = time.Second // for which a target gets no requests after a failure
	stepSmoothing     = 0.2
	maxStepFactor     = 4
	finishedRetention = 15 * time.Second
)

type (
	// Target describes one replica, from the published configuration and this scheduler's leases.
	Target struct {
		ID           string
		DataCentre   string
		MemoryTokens int  // zero if unknown, and for a plain service
		Limit        int  // maximum number of generations from this scheduler, or Unlimited
		InService    bool // accepts new requests
		Reserved     bool // reserved for interactive requests while there are any
	}

	// LoadReport is the load of a target as reported by itself at TakenAt.
	LoadReport struct {
		TakenAt      time.Time
		Incarnation  uint64
		Running      int
		Waiting      int
		MemoryUsed   int // tokens
		MemoryTokens int
		StepTime     time.Duration
		Preemptions  uint64
		Completed    uint64
	}

	// targetState is the scheduler's state of a target.
	targetState struct {
		Target
		position int
		machine  *fsm.FSM
		attempts []*attempt
		finished []finishedAttempt // recently finished, oldest first

		forecast         forecast // includes the estimated demand of other schedulers' generations
		forecastAt       time.Time
		dirty            bool
		report           LoadReport
		foreign          int     // generations of other schedulers at the time of the report
		foreignTokens    float64 // memory of those generations
		ownAtReport      int     // this scheduler's generations at the time of the report
		assignmentsSince int     // assignments by this scheduler since the report
		step             time.Duration
		tokensSinceCold  int // tokens generated since the target became cold
		prefillUntil     time.Time
		suspendedUntil   time.Time
	}

	finishedAttempt struct {
		assignedAt, finishedAt time.Time
		tokens                 int
	}
)

func newTargetState(step time.Duration) *targetState {
	return &targetState{
		step:  step,
		dirty: true,
		machine: fsm.NewFSM(stateCold, fsm.Events{
			{Name: eventWarm, Src: []string{stateCold}, Dst: stateWarm},
			{Name: eventCool, Src: []string{stateWarm}, Dst: stateCold},
		}, nil),
	}
}

func (t *targetState) isCold() bool { return t.machine.Is(stateCold) }

func (t *targetState) markWarm() {
	if t.machine.Can(eventWarm) {
		_ = t.machine.Event(context.Background(), eventWarm) // can't fail, as Can returned true
	}
}

// markCold marks the target as cold and restarts its warm-up if it was cold already.
func (t *targetState) markCold() {
	t.tokensSinceCold = 0
	if t.machine.Can(eventCool) {
		_ = t.machine.Event(context.Background(), eventCool) // can't fail, as Can returned true
	}
}

// applyReport applies a load report and returns the number of preemptions since the previous one.
func (t *targetState) applyReport(now time.Time, r LoadReport, admission *Admission) uint64 {
	last := t.report
	if !r.TakenAt.After(last.TakenAt) {
		return 0
	}
	t.report = r
	if r.MemoryTokens > 0 {
		t.MemoryTokens = r.MemoryTokens
	}
	t.updateForeignLoad(now)
	if last.Incarnation != 0 && r.Incarnation != last.Incarnation {
		t.markCold()
		return 0
	}
	t.updateWarmth(r, admission)
	if r.Preemptions < last.Preemptions || last.Incarnation == 0 {
		return 0
	}
	return r.Preemptions - last.Preemptions
}

// updateWarmth marks the target as cold or warm by the step time and completions in a load report.
func (t *targetState) updateWarmth(r LoadReport, admission *Admission) {
	expected := admission.step(r.Running, float64(r.MemoryUsed), 1) - admission.Step.Prompt
	slow := r.Running > 0 && float64(r.StepTime) > coldSlowdown*float64(expected)
	switch {
	case slow && !t.isCold():
		t.markCold()
	case !slow && r.Completed >= warmCompleted:
		t.markWarm()
	}
}

// updateForeignLoad estimates the load of other schedulers by subtracting this scheduler's own generations from the report.
func (t *targetState) updateForeignLoad(now time.Time) {
	at := t.report.TakenAt
	own, tokens := 0, 0
	t.assignmentsSince = 0
	for _, a := range t.attempts {
		if a.assignedAt.After(at) {
			t.assignmentsSince++
			continue
		}
		own++
		generatedSince := int(now.Sub(at) / max(t.step, time.Millisecond))
		tokens += a.request.PromptTokens + max(a.estimateGenerated(now)-generatedSince, 0)
	}
	kept := t.finished[:0]
	for _, f := range t.finished {
		if now.Sub(f.finishedAt) < finishedRetention {
			kept = append(kept, f)
		}
		if f.finishedAt.After(at) && !f.assignedAt.After(at) {
			own++
			tokens += f.tokens
		}
	}
	t.finished = kept
	t.ownAtReport = own
	t.foreign = max(t.report.Running+t.report.Waiting-own, 0)
	t.foreignTokens = 0
	if t.foreign > 0 {
		t.foreignTokens = float64(max(t.report.MemoryUsed-tokens, 0))
	}
}

// estimateForeignAssignments estimates the number of assignments by other schedulers since the report, assuming the same
// rate in proportion to their load as that of this scheduler.
func (t *targetState) estimateForeignAssignments() float64 {
	if t.foreign == 0 || t.ownAtReport == 0 {
		return 0
	}
	return float64(t.assignmentsSince) * min(float64(t.foreign)/float64(t.ownAtReport), maxStepFactor)
}

// recordProgress updates the measured step time from the tokens generated by one generation.
func (t *targetState) recordProgress(elapsed time.Duration, tokens int) {
	t.tokensSinceCold += tokens
	step := min(elapsed/time.Duration(tokens), maxStepFactor*t.step)
	t.step += time.Duration(stepSmoothing * float64(step-t.step))
}

func (t *targetState) removeAttempt(a *attempt) {
	last := len(t.attempts) - 1
	t.attempts[a.position] = t.attempts[last]
	t.attempts[a.position].position = a.position
	t.attempts[last] = nil
	t.attempts = t.attempts[:last]
	t.dirty = true
}
