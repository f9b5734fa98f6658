package ushercopies_test

import (
	"testing"
	"time"

	"github.com/samphireusher/samphireusher/pkg/ushercall"
	"github.com/samphireusher/samphireusher/pkg/ushercopies"
)

var start = time.Unix(1000, 0)

// staying returns a function that accepts the named targets.
func staying(names ...string) func(string) bool {
	return func(target string) bool {
		for _, n := range names {
			if n == target {
				return true
			}
		}
		return false
	}
}

func standing(holder string) ushercopies.ResumePoint {
	return ushercopies.ResumePoint{Target: holder, Copy: ushercall.Copy{Handle: "attempt"}}
}

// The pattern: engines are reclaimed in waves with a second or two of notice.
func TestCopyIsMadeOnceTheTargetIsLeaving(t *testing.T) {
	for _, c := range []struct {
		name  string
		grown ushercopies.ResumePoint
		stay  []string
		want  ushercopies.ActionKind
	}{
		{"nobody leaves", ushercopies.ResumePoint{}, []string{"source", "a"}, ushercopies.NoAction},
		{"the source leaves", ushercopies.ResumePoint{}, []string{"a"}, ushercopies.Place},
		{"the source leaves and a copy stands", standing("a"), []string{"a"}, ushercopies.NoAction},
		{"the source and the holder leave together", standing("a"), []string{"b"}, ushercopies.Place},
		{"only the holder leaves", standing("a"), []string{"source", "b"}, ushercopies.NoAction},
	} {
		run := ushercopies.NewRun("source", c.grown)
		if got := run.Next(start, staying(c.stay...)).Kind; got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}

func TestCopyOnDemandIsRenewedUntilTheSourceIsGone(t *testing.T) {
	run := ushercopies.NewRun("source", ushercopies.ResumePoint{})
	accepts := staying("a")
	run.BeginCopy("a")
	if got := run.Next(start, accepts).Kind; got != ushercopies.NoAction {
		t.Errorf("while copying: %v", got)
	}
	run.CopyCompleted(start, ushercall.Copy{Handle: "h1"})
	if got := run.Next(start.Add(ushercopies.RenewInterval/2), accepts).Kind; got != ushercopies.NoAction {
		t.Errorf("right after the copy: %v", got)
	}
	got := run.Next(start.Add(ushercopies.RenewInterval), accepts)
	if got.Kind != ushercopies.Renew || got.Holder != "a" {
		t.Errorf("after the interval: %+v", got)
	}
	point, ok := run.ResumePoint(accepts)
	if !ok || point.Target != "a" || point.Copy.Handle != "h1" {
		t.Errorf("resume at %+v, %v", point, ok)
	}
}

// Hosts that learn of a reclaim at one moment choose the same holder; the ones that find no room go on at once.
func TestHolderWithoutRoomIsNotAskedAgain(t *testing.T) {
	run := ushercopies.NewRun("source", ushercopies.ResumePoint{})
	run.BeginCopy("a")
	run.CopyFailed(start, true)
	if got := run.Next(start, staying("a", "b")).Kind; got != ushercopies.Place {
		t.Errorf("after no room: %v, want another place at once", got)
	}
	if len(run.RefusedBy) != 1 || run.RefusedBy[0] != "a" {
		t.Errorf("avoided: %v", run.RefusedBy)
	}
	run.BeginCopy("b")
	run.CopyFailed(start, false)
	if got := run.Next(start, staying("a", "b")).Kind; got != ushercopies.NoAction {
		t.Errorf("right after another failure: %v, want a pause", got)
	}
	if got := run.Next(start.Add(time.Second), staying("a", "b")).Kind; got != ushercopies.Place {
		t.Errorf("after the pause: %v", got)
	}
}

func TestResumeNeedsAHolderThatStays(t *testing.T) {
	run := ushercopies.NewRun("source", standing("a"))
	run.BeginCopy("b")
	run.CopyCompleted(start, ushercall.Copy{Handle: "h"})
	if p, ok := run.ResumePoint(staying("b")); !ok || p.Target != "b" {
		t.Errorf("holder a leaves: %+v %v", p, ok)
	}
	run.DropCopy("b")
	if p, ok := run.ResumePoint(staying("b")); ok {
		t.Errorf("both copies gone, yet resumed at %+v", p)
	}
}

// The pattern: engines leave while prompts are read at the holders of the copies. A copy that lacked a chunk of tokens had to
// wait for the whole prompt (250 ms and more), others went on within 40 ms.
func TestCopyIsRenewedBeforeItLacksAChunk(t *testing.T) {
	const chunk, tokenTime = 112, 7 * time.Millisecond
	run := ushercopies.NewRun("source", ushercopies.ResumePoint{})
	run.BeginCopy("a")
	run.CopyCompleted(start, ushercall.Copy{Handle: "h"})
	if got := run.Next(start.Add(chunk*tokenTime*3/4), staying("a")); got.Kind != ushercopies.Renew || got.Holder != "a" {
		t.Errorf("three quarters of a chunk after the copy: %+v, want a renewal", got)
	}
}
