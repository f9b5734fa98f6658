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
//		run.Begin(now, holder)
//	case ushercopies.Renew: // copy to the same holder again
//	}
//	run.Copied(now, holder, copy) // or run.Failed(now)
//	if point, ok := run.Resume(accepts); ok {
//		// send the request to point.Target with point.Copy
//	}
package ushercopies

import (
	"time"

	"github.com/samphireusher/samphireusher/pkg/ushercall"
)

const (
	// Keep says that nothing is to be done.
	Keep Kind = iota
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
	// Kind tells what is to be done.
	Kind uint8

	// Action is what is to be done next.
	Action struct {
		Kind Kind
		// Holder is the target to copy to, for Renew.
		Holder string
	}

	// Point is where a run can go on.
	Point struct {
		Target string
		Copy   ushercall.Copy
	}

	// Run is what is known of the copies of one running generation.
	Run struct {
		// Source runs the generation.
		Source string
		// Avoid names targets that refused a copy.
		Avoid []string

		// grown is the copy that the source sends on by itself.
		grown Point
		// made is the copy on demand.
		made    Point
		madeAt  time.Time
		copying string
		failed  time.Time
	}
)

// NewRun returns the state of a run whose memory grows along at grown.Target; the zero Point stands for no copy.
func NewRun(source string, grown Point) *Run {
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

// Begin records that a copy to holder is in progress.
func (r *Run) Begin(holder string) { r.copying = holder }

// Copied records that the copy in progress is complete.
func (r *Run) Copied(now time.Time, c ushercall.Copy) {
	r.made, r.madeAt = Point{Target: r.copying, Copy: c}, now
	r.copying = ""
}

// Failed records that the copy in progress was not made. A holder that has no room is not asked again; another one is
// at once.
func (r *Run) Failed(now time.Time, noRoom bool) {
	if noRoom && r.copying != "" {
		r.Avoid = append(r.Avoid, r.copying)
	} else {
		r.failed = now
	}
	r.copying = ""
}

// Resume returns where the run can go on: the newest copy whose holder is there to stay.
func (r *Run) Resume(accepts func(target string) bool) (Point, bool) {
	for _, p := range []Point{r.grown, r.made} {
		if p.Target != "" && accepts(p.Target) {
			return p, true
		}
	}
	return Point{}, false
}

// Drop forgets a copy that turned out not to be there.
func (r *Run) Drop(target string) {
	if r.grown.Target == target {
		r.grown = Point{}
	}
	if r.made.Target == target {
		r.made = Point{}
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

// Made returns the copy on demand, if there is one.
func (r *Run) Made() (Point, bool) { return r.made, r.made.Target != "" }
