// Package ushercopies decides where the memory of a running generation is kept a second time, so that the generation
// goes on elsewhere when its target is taken away.
//
// A generation that may run only once is lost with its target unless another one holds a copy. Copies take memory from
// other generations, so few are kept all the time: those that fit into memory which nobody needs grow along with the
// run, sent on by its target. Once the target itself is leaving, a copy is made on demand and renewed until the target
// is gone. A Run tells what is to be done next; it does no I/O and reads no clock.
//
// # Usage
//
//	run := ushercopies.NewRun("i-7f", attempt, holder)
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
	// NoAction says that nothing is to be done.
	NoAction ActionKind = iota
	// Place says that a new holder is to be chosen and copied to.
	Place
	// Renew says that the copy at the holder is to be brought up to date.
	Renew

	// RenewInterval is the time between two copies on demand. What the last one lacks is read again when the run goes on.
	// Up to a chunk of the engine's (112 tokens, made in 0.8 s) is read between the tokens of others; more waits behind
	// prompts. Half of that leaves time for the copy itself.
	RenewInterval = 400 * time.Millisecond
	// retryInterval is the time after a copy that failed.
	retryInterval = 200 * time.Millisecond
)

type (
	// ActionKind tells what is to be done.
	ActionKind uint8

	// Action is what is to be done next.
	Action struct {
		Kind ActionKind
		// Holder is the target to copy to, for Renew.
		Holder string
	}

	// ResumePoint is where a run can go on.
	ResumePoint struct {
		Target string
		Copy   ushercall.Copy
	}

	// Run is what is known of the copies of one running generation.
	Run struct {
		// Source runs the generation.
		Source string
		// RefusedBy names targets that refused a copy.
		RefusedBy []string

		// grown is the copy that the source sends on by itself.
		grown ResumePoint
		// made is the copy on demand.
		made    ResumePoint
		madeAt  time.Time
		copying string
		failed  time.Time
	}
)

// NewRun returns the state of a run whose memory grows along at grown.Target; the zero ResumePoint stands for no copy.
func NewRun(source string, grown ResumePoint) *Run {
	return &Run{Source: source, grown: grown}
}

// Next tells what is to be done. Accepts tells whether a target is there to stay.
func (r *Run) Next(now time.Time, accepts func(target string) bool) Action {
	if r.copying != "" || accepts(r.Source) || r.grown.Target != "" && accepts(r.grown.Target) {
		return Action{}
	}
	if now.Sub(r.failed) < retryInterval {
		return Action{}
	}
	if r.made.Target == "" || !accepts(r.made.Target) {
		return Action{Kind: Place}
	}
	if now.Sub(r.madeAt) >= RenewInterval {
		return Action{Kind: Renew, Holder: r.made.Target}
	}
	return Action{}
}

// BeginCopy records that a copy to holder is in progress.
func (r *Run) BeginCopy(holder string) { r.copying = holder }

// CopyCompleted records that the copy in progress is complete.
func (r *Run) CopyCompleted(now time.Time, c ushercall.Copy) {
	r.made, r.madeAt = ResumePoint{Target: r.copying, Copy: c}, now
	r.copying = ""
}

// CopyFailed records that the copy in progress was not made. A holder that has no room is not asked again; another one is
// at once.
func (r *Run) CopyFailed(now time.Time, noRoom bool) {
	if noRoom && r.copying != "" {
		r.RefusedBy = append(r.RefusedBy, r.copying)
	} else {
		r.failed = now
	}
	r.copying = ""
}

// ResumePoint returns where the run can go on: the newest copy whose holder is there to stay.
func (r *Run) ResumePoint(accepts func(target string) bool) (ResumePoint, bool) {
	for _, p := range []ResumePoint{r.grown, r.made} {
		if p.Target != "" && accepts(p.Target) {
			return p, true
		}
	}
	return ResumePoint{}, false
}

// DropCopy forgets a copy that turned out not to be there.
func (r *Run) DropCopy(target string) {
	if r.grown.Target == target {
		r.grown = ResumePoint{}
	}
	if r.made.Target == target {
		r.made = ResumePoint{}
	}
}

// Holders returns the targets that hold or receive a copy.
func (r *Run) Holders() []string {
	var holders []string
	for _, target := range []string{r.grown.Target, r.made.Target, r.copying} {
		if target != "" {
			holders = append(holders, target)
		}
	}
	return holders
}

// OnDemandCopy returns the copy on demand, if there is one.
func (r *Run) OnDemandCopy() (ResumePoint, bool) { return r.made, r.made.Target != "" }
