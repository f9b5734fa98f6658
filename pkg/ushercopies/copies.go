// Package ushercopies decides which other target keeps a copy of a running generation's memory, so that the generation
// can resume there when its own target is taken away.
//
// A generation that must run at most once is lost with its target unless another target holds a copy. Copies use memory
// that other generations need, so only few are kept permanently: backup copies, which fit into unused memory and which
// the source target extends as the generation grows. If the source is leaving and there is no backup copy, a copy is
// made on demand and renewed until the source is gone. A Run decides the next action; it does no I/O and reads no
// clock.
//
// # Usage
//
//	run := ushercopies.NewRun("i-7f", backup)
//	switch action := run.Next(now, accepts); action.Kind {
//	case ushercopies.Place: // choose a holder and copy to it
//		run.BeginCopy(holder)
//	case ushercopies.Renew: // copy to the same holder again
//	}
//	run.CopyCompleted(now, copy) // or run.CopyFailed(now, noRoom)
//	if point, ok := run.ResumePoint(accepts); ok {
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
	// Place means that a new holder must be chosen and the memory copied to it.
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

	// Run is the state of the copies of one running generation.
	Run struct {
		// Source is the target that runs the generation.
		Source string
		// RefusedBy lists the targets that refused a copy.
		RefusedBy []string

		// backup is the copy that the source extends as the generation grows.
		backup ResumePoint
		// onDemand is the last complete on-demand copy.
		onDemand      ResumePoint
		completedAt   time.Time
		pendingHolder string
		failedAt      time.Time
	}
)

// NewRun returns the state of a generation that runs on source and has a backup copy at backup. A zero ResumePoint
// means that there is no backup copy.
func NewRun(source string, backup ResumePoint) *Run {
	return &Run{Source: source, backup: backup}
}

// Next returns the next action. accepts reports whether a target is not leaving.
func (r *Run) Next(now time.Time, accepts func(target string) bool) Action {
	if r.pendingHolder != "" || accepts(r.Source) || r.backup.Target != "" && accepts(r.backup.Target) {
		return Action{}
	}
	if now.Sub(r.failedAt) < retryInterval {
		return Action{}
	}
	if r.onDemand.Target == "" || !accepts(r.onDemand.Target) {
		return Action{Kind: Place}
	}
	if now.Sub(r.completedAt) >= RenewInterval {
		return Action{Kind: Renew, Holder: r.onDemand.Target}
	}
	return Action{}
}

// BeginCopy records that a copy to holder is in progress.
func (r *Run) BeginCopy(holder string) { r.pendingHolder = holder }

// CopyCompleted records that the copy in progress is complete.
func (r *Run) CopyCompleted(now time.Time, c ushercall.Copy) {
	r.onDemand, r.completedAt = ResumePoint{Target: r.pendingHolder, Copy: c}, now
	r.pendingHolder = ""
}

// CopyFailed records that the copy in progress failed. A holder without room is not asked again, and another one may be
// asked at once.
func (r *Run) CopyFailed(now time.Time, noRoom bool) {
	if noRoom && r.pendingHolder != "" {
		r.RefusedBy = append(r.RefusedBy, r.pendingHolder)
	} else {
		r.failedAt = now
	}
	r.pendingHolder = ""
}

// ResumePoint returns where the generation can resume: the backup copy, or else the on-demand copy, if its holder is
// not leaving.
func (r *Run) ResumePoint(accepts func(target string) bool) (ResumePoint, bool) {
	for _, p := range []ResumePoint{r.backup, r.onDemand} {
		if p.Target != "" && accepts(p.Target) {
			return p, true
		}
	}
	return ResumePoint{}, false
}

// DropCopy removes a copy that the target turned out not to hold.
func (r *Run) DropCopy(target string) {
	if r.backup.Target == target {
		r.backup = ResumePoint{}
	}
	if r.onDemand.Target == target {
		r.onDemand = ResumePoint{}
	}
}

// Holders returns the targets that hold or are receiving a copy.
func (r *Run) Holders() []string {
	var holders []string
	for _, target := range []string{r.backup.Target, r.onDemand.Target, r.pendingHolder} {
		if target != "" {
			holders = append(holders, target)
		}
	}
	return holders
}

// OnDemandCopy returns the on-demand copy, if there is one.
func (r *Run) OnDemandCopy() (ResumePoint, bool) { return r.onDemand, r.onDemand.Target != "" }
