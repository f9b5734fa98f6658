package usheradmit

import (
	"context"
	"time"

	"github.com/looplab/fsm"
)

const (
	// Unlimited is the Limit of a target that takes as much as fits.
	Unlimited = -1

	stateCold  = "cold"
	stateWarm  = "warm"
	eventWarm  = "warm"
	eventChill = "chill"

	coldSlowdown     = 1.75 // step time in multiples of a warm target's that says it is cold
	warmCompleted    = 8    // generations that a report must show before its target counts as warm
	suspension       = time.Second
	stepSmoothing    = 0.2
	maxStepFactor    = 4
	rememberFinished = 15 * time.Second
)

type (
	// Target is one replica as the published lists and this scheduler's leases have it.
	Target struct {
		ID           string
		DataCentre   string
		MemoryTokens int  // zero if it is not known, or for a plain service
		Limit        int  // most generations of this scheduler on it, or Unlimited
		InService    bool // false: takes no new work
		Reserved     bool // kept light for interactive kinds while there are any
	}

	// LoadReport is what a target said about itself at an earlier time.
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

	// targetView is what the scheduler knows of a target.
	targetView struct {
		Target
		position int
		life     *fsm.FSM
		attempts []*attempt
		finished []finishedAttempt // recently, oldest first

		curve          curve // of this scheduler's generations
		curveAt        time.Time
		dirty          bool
		report         LoadReport
		others         int     // generations of other schedulers at the time of the report
		othersTokens   float64 // their memory
		ownAtReport    int
		grantsSince    int // own grants since the report was taken
		step           time.Duration
		tokensMade     int // since the target turned cold
		promptsUntil   time.Time
		suspendedUntil time.Time
	}

	finishedAttempt struct {
		granted, finished time.Time
		tokens            int
	}
)

func newTargetView(step time.Duration) *targetView {
	return &targetView{
		step:  step,
		dirty: true,
		life: fsm.NewFSM(stateCold, fsm.Events{
			{Name: eventWarm, Src: []string{stateCold}, Dst: stateWarm},
			{Name: eventChill, Src: []string{stateWarm}, Dst: stateCold},
		}, nil),
	}
}

func (t *targetView) cold() bool { return t.life.Is(stateCold) }

func (t *targetView) warm() {
	if t.life.Can(eventWarm) {
		_ = t.life.Event(context.Background(), eventWarm) // cannot fail: just asked
	}
}

// chill notes that the target is cold, perhaps again.
func (t *targetView) chill() {
	t.tokensMade = 0
	if t.life.Can(eventChill) {
		_ = t.life.Event(context.Background(), eventChill) // cannot fail: just asked
	}
}

// apply takes in a report and returns the preemptions since the one before.
func (t *targetView) apply(now time.Time, r LoadReport, admission *Admission) uint64 {
	last := t.report
	if !r.TakenAt.After(last.TakenAt) {
		return 0
	}
	t.report = r
	if r.MemoryTokens > 0 {
		t.MemoryTokens = r.MemoryTokens
	}
	t.measureOthers(now)
	if last.Incarnation != 0 && r.Incarnation != last.Incarnation {
		t.chill()
		return 0
	}
	t.judgeWarmth(r, admission)
	if r.Preemptions < last.Preemptions || last.Incarnation == 0 {
		return 0
	}
	return r.Preemptions - last.Preemptions
}

func (t *targetView) judgeWarmth(r LoadReport, admission *Admission) {
	expected := admission.step(r.Running, float64(r.MemoryUsed), 1) - admission.Step.Prompt
	slow := r.Running > 0 && float64(r.StepTime) > coldSlowdown*float64(expected)
	switch {
	case slow && !t.cold():
		t.chill()
	case !slow && r.Completed >= warmCompleted:
		t.warm()
	}
}

// measureOthers takes this scheduler's own generations out of the report.
func (t *targetView) measureOthers(now time.Time) {
	at := t.report.TakenAt
	own, tokens := 0, 0
	t.grantsSince = 0
	for _, a := range t.attempts {
		if a.granted.After(at) {
			t.grantsSince++
			continue
		}
		own++
		madeSince := int(now.Sub(at) / max(t.step, time.Millisecond))
		tokens += a.request.PromptTokens + max(a.madeAt(now)-madeSince, 0)
	}
	kept := t.finished[:0]
	for _, f := range t.finished {
		if now.Sub(f.finished) < rememberFinished {
			kept = append(kept, f)
		}
		if f.finished.After(at) && !f.granted.After(at) {
			own++
			tokens += f.tokens
		}
	}
	t.finished = kept
	t.ownAtReport = own
	t.others = max(t.report.Running+t.report.Waiting-own, 0)
	t.othersTokens = 0
	if t.others > 0 {
		t.othersTokens = float64(max(t.report.MemoryUsed-tokens, 0))
	}
}

// othersGrants estimates how many grants other schedulers gave since the report, from this scheduler's own.
func (t *targetView) othersGrants() float64 {
	if t.others == 0 || t.ownAtReport == 0 {
		return 0
	}
	return float64(t.grantsSince) * min(float64(t.others)/float64(t.ownAtReport), maxStepFactor)
}

// progressed learns the step time from tokens that one generation made.
func (t *targetView) progressed(elapsed time.Duration, tokens int) {
	t.tokensMade += tokens
	step := min(elapsed/time.Duration(tokens), maxStepFactor*t.step)
	t.step += time.Duration(stepSmoothing * float64(step-t.step))
}

func (t *targetView) drop(a *attempt) {
	last := len(t.attempts) - 1
	t.attempts[a.position] = t.attempts[last]
	t.attempts[a.position].position = a.position
	t.attempts[last] = nil
	t.attempts = t.attempts[:last]
	t.dirty = true
}
