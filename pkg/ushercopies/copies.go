// Package ushercopies decides which other target keeps a copy of a running generation's KV cache, so that the generation
// can resume there when its own target is reclaimed.
//
// A generation that must run at most once is lost with its target unless another target holds a copy. Copies use memory
// that other generations need, so only few are kept permanently: backup copies, which fit into unused memory and which
// the source target extends as the generation grows. If the source is leaving and there is no backup copy, a copy is
// made on demand and renewed until the source is gone. A Tracker decides the next action; it does no I/O and reads
// no clock.
//
// # Usage
//
//	tracker := ushercopies.NewTracker("i-7f", backup)
//	switch action := tracker.Next(now, accepts); action.Kind {
//	case ushercopies.Place: // choose a holder and copy to it
//		tracker.BeginCopy(holder)
//	case ushercopies.Renew: // copy to the same holder again
//	}
//	tracker.CopyCompleted(now, copy) // or tracker.CopyFailed(now, destinationUnavailable), tracker.CopyUnanswered(now)
//	if point, ok := tracker.ResumePoint(accepts); ok {
//		// send the request to point.Target with point.Copy
//	}
package ushercopies

import (
	"time"

	"github.com/samphireusher/samphireusher/pkg/ushercall"
)

const (
	// NoAction means that there is nothing to do.
	NoAction ActionKind = iota
	// Place means that a new holder must be chosen and the KV cache copied to it.
	Place
	// Renew means that the copy at the holder must be updated.
	Renew

	// RenewInterval is the time between two on-demand copies. On resumption, the tokens that the last copy lacks are
	// processed again. Up to one chunk of the engine (112 tokens, generated in 0.8 s) is processed between the tokens
	// of other streams; more than that waits behind prompts. Half of that time leaves room for the copy itself.
	RenewInterval = 400 * time.Millisecond
	// retryInterval is the delay after a failed copy.
	retryInterval = 200 * time.Millisecond
)

type (
	// ActionKind is the type of an action.
	ActionKind uint8

	// Action is the next step to take.
	Action struct {
		Kind ActionKind
		// Holder is the target to copy to if Kind is Renew.
		Holder string
	}

	// ResumePoint is a target at which a generation can resume, with the copy held there.
	ResumePoint struct {
		Target string
		Copy   ushercall.Copy
	}

	// Tracker holds the state of the copies of one running generation.
	Tracker struct {
		// Source is the target that runs the generation.
		Source string
		// UnavailableHolders lists the targets that had no memory for a copy or could not be reached for it.
		UnavailableHolders []string

		// backup is the copy that the source extends as the generation grows.
		backup ResumePoint
		// final is the copy that was made when the run was ended.
		final ResumePoint
		// kept is what the source of a run that was ended keeps of it.
		kept ResumePoint
		// onDemand is the last complete on-demand copy.
		onDemand      ResumePoint
		completedAt   time.Time
		pendingHolder string
		// unanswered is the holder of a copy that the source may still make, as the order for it got no answer.
		unanswered string
		failedAt   time.Time
	}
)

// NewTracker returns the tracker of a generation that runs on source and has a backup copy at backup. A zero ResumePoint
// means that there is no backup copy.
func NewTracker(source string, backup ResumePoint) *Tracker {
	return &Tracker{Source: source, backup: backup}
}

// Next returns the next action. accepts reports whether a target is not leaving.
func (t *Tracker) Next(now time.Time, accepts func(target string) bool) Action {
	if t.pendingHolder != "" || accepts(t.Source) || t.backup.Target != "" && accepts(t.backup.Target) {
		return Action{}
	}
	if now.Sub(t.failedAt) < retryInterval {
		return Action{}
	}
	if t.onDemand.Target == "" || !accepts(t.onDemand.Target) {
		if t.unanswered != "" && accepts(t.unanswered) {
			// Another holder would take up memory as well.
			return Action{Kind: Renew, Holder: t.unanswered}
		}
		return Action{Kind: Place}
	}
	if now.Sub(t.completedAt) >= RenewInterval {
		return Action{Kind: Renew, Holder: t.onDemand.Target}
	}
	return Action{}
}

// BeginCopy records that a copy to holder is in progress.
func (t *Tracker) BeginCopy(holder string) { t.pendingHolder = holder }

// CopyCompleted records that the copy in progress is complete.
func (t *Tracker) CopyCompleted(now time.Time, c ushercall.Copy) {
	t.onDemand, t.completedAt = ResumePoint{Target: t.pendingHolder, Copy: c}, now
	t.pendingHolder, t.unanswered = "", ""
}

// RunEnded records the copy of a run that was ended, at holder.
func (t *Tracker) RunEnded(holder string, c ushercall.Copy) {
	t.final = ResumePoint{Target: holder, Copy: c}
}

// KeptAtSource records what the target of a run that was ended keeps of it.
func (t *Tracker) KeptAtSource(source string, c ushercall.Copy) {
	t.kept = ResumePoint{Target: source, Copy: c}
}

// CopyFailed records that the copy in progress failed. An unavailable holder is not asked again, and another one may be
// asked at once.
func (t *Tracker) CopyFailed(now time.Time, destinationUnavailable bool) {
	if destinationUnavailable && t.pendingHolder != "" {
		t.UnavailableHolders = append(t.UnavailableHolders, t.pendingHolder)
	} else {
		t.failedAt = now
	}
	t.pendingHolder, t.unanswered = "", ""
}

// CopyUnanswered records that the order for the copy in progress got no answer. The source may have made the copy or still make it, so
// the same holder is asked for again.
func (t *Tracker) CopyUnanswered(now time.Time) {
	t.failedAt = now
	t.pendingHolder, t.unanswered = "", t.pendingHolder
}

// ResumePoint returns where the generation can resume: the copy of the ended run, or else the backup copy, the on-demand
// copy or what the source keeps, if the holder is not leaving.
func (t *Tracker) ResumePoint(accepts func(target string) bool) (ResumePoint, bool) {
	for _, p := range []ResumePoint{t.final, t.backup, t.onDemand, t.kept} {
		if p.Target != "" && accepts(p.Target) {
			return p, true
		}
	}
	return ResumePoint{}, false
}

// DropCopy removes a copy that the target turned out not to hold.
func (t *Tracker) DropCopy(dropped ResumePoint) {
	for _, p := range []*ResumePoint{&t.final, &t.backup, &t.onDemand, &t.kept} {
		if *p == dropped {
			*p = ResumePoint{}
		}
	}
}

// Holders returns the targets that hold or are receiving a copy.
func (t *Tracker) Holders() []string {
	var holders []string
	for _, target := range []string{t.final.Target, t.backup.Target, t.onDemand.Target, t.pendingHolder, t.unanswered} {
		if target != "" {
			holders = append(holders, target)
		}
	}
	return holders
}

// OnDemandCopy returns the on-demand copy, if there is one.
func (t *Tracker) OnDemandCopy() (ResumePoint, bool) { return t.onDemand, t.onDemand.Target != "" }
