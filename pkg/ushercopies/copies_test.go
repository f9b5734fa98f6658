package ushercopies_test

import (
	"slices"
	"testing"
	"time"

	"github.com/samphireusher/samphireusher/pkg/ushercall"
	"github.com/samphireusher/samphireusher/pkg/ushercopies"
)

var start = time.Unix(1000, 0)

func acceptingOnly(names ...string) func(string) bool {
	return func(target string) bool {
		for _, n := range names {
			if n == target {
				return true
			}
		}
		return false
	}
}

func backupAt(holder string) ushercopies.ResumePoint {
	return ushercopies.ResumePoint{Target: holder, Copy: ushercall.Copy{Handle: "attempt"}}
}

// Engines are reclaimed in waves, with one or two seconds of notice.
func TestCopyIsPlacedOnceSourceLeaves(t *testing.T) {
	for _, c := range []struct {
		name      string
		backup    ushercopies.ResumePoint
		accepting []string
		want      ushercopies.ActionKind
	}{
		{"nobody leaves", ushercopies.ResumePoint{}, []string{"source", "a"}, ushercopies.NoAction},
		{"the source leaves", ushercopies.ResumePoint{}, []string{"a"}, ushercopies.Place},
		{"the source leaves and there is a backup copy", backupAt("a"), []string{"a"}, ushercopies.NoAction},
		{"the source and the holder leave together", backupAt("a"), []string{"b"}, ushercopies.Place},
		{"only the holder leaves", backupAt("a"), []string{"source", "b"}, ushercopies.NoAction},
	} {
		tracker := ushercopies.NewTracker("source", c.backup)
		if got := tracker.Next(start, acceptingOnly(c.accepting...)).Kind; got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}

func TestOnDemandCopyIsRenewed(t *testing.T) {
	tracker := ushercopies.NewTracker("source", ushercopies.ResumePoint{})
	accepts := acceptingOnly("a")
	tracker.BeginCopy("a")
	if got := tracker.Next(start, accepts).Kind; got != ushercopies.NoAction {
		t.Errorf("while a copy is in progress: %v", got)
	}
	tracker.CopyCompleted(start, ushercall.Copy{Handle: "h1"})
	if got := tracker.Next(start.Add(ushercopies.RenewInterval/2), accepts).Kind; got != ushercopies.NoAction {
		t.Errorf("right after the copy: %v", got)
	}
	got := tracker.Next(start.Add(ushercopies.RenewInterval), accepts)
	if got.Kind != ushercopies.Renew || got.Holder != "a" {
		t.Errorf("after the interval: %+v", got)
	}
	point, ok := tracker.ResumePoint(accepts)
	if !ok || point.Target != "a" || point.Copy.Handle != "h1" {
		t.Errorf("resume point %+v, %v", point, ok)
	}
}

// Hosts that learn of a reclaim at the same moment choose the same holder. Those that find no room must choose another
// one without a delay.
func TestHolderWithoutRoomIsNotAskedAgain(t *testing.T) {
	tracker := ushercopies.NewTracker("source", ushercopies.ResumePoint{})
	tracker.BeginCopy("a")
	tracker.CopyFailed(start, true)
	if got := tracker.Next(start, acceptingOnly("a", "b")).Kind; got != ushercopies.Place {
		t.Errorf("after a holder had no room: %v, want Place at once", got)
	}
	if len(tracker.UnavailableHolders) != 1 || tracker.UnavailableHolders[0] != "a" {
		t.Errorf("unavailable holders %v, want a", tracker.UnavailableHolders)
	}
	tracker.BeginCopy("b")
	tracker.CopyFailed(start, false)
	if got := tracker.Next(start, acceptingOnly("a", "b")).Kind; got != ushercopies.NoAction {
		t.Errorf("right after another failure: %v, want a delay", got)
	}
	if got := tracker.Next(start.Add(time.Second), acceptingOnly("a", "b")).Kind; got != ushercopies.Place {
		t.Errorf("after the delay: %v", got)
	}
}

// An order for a copy got no answer, and another holder was chosen while the first one may have got the copy as well.
func TestUnansweredCopyIsAskedForAtTheSameHolder(t *testing.T) {
	accepts := acceptingOnly("a", "b")
	later := start.Add(time.Second)
	tracker := ushercopies.NewTracker("source", ushercopies.ResumePoint{})
	tracker.BeginCopy("a")
	tracker.CopyUnanswered(start)
	if got := tracker.Next(start, accepts); got.Kind != ushercopies.NoAction {
		t.Errorf("at once: %+v", got)
	}
	if got := tracker.Next(later, accepts); got.Kind != ushercopies.Renew || got.Holder != "a" {
		t.Errorf("later: %+v, want the same holder", got)
	}
	if holders := tracker.Holders(); !slices.Equal(holders, []string{"a"}) {
		t.Errorf("holders %v, want a", holders)
	}
	if got := tracker.Next(later, acceptingOnly("b")); got.Kind != ushercopies.Place {
		t.Errorf("once the holder is leaving: %+v, want another one", got)
	}
	tracker.BeginCopy("a")
	tracker.CopyFailed(later, true)
	if got := tracker.Next(later.Add(time.Second), accepts); got.Kind != ushercopies.Place {
		t.Errorf("once the holder has no room: %+v, want another one", got)
	}
}

func TestResumeRequiresAcceptingHolder(t *testing.T) {
	tracker := ushercopies.NewTracker("source", backupAt("a"))
	tracker.BeginCopy("b")
	tracker.CopyCompleted(start, ushercall.Copy{Handle: "h"})
	if p, ok := tracker.ResumePoint(acceptingOnly("b")); !ok || p.Target != "b" {
		t.Errorf("holder a is leaving: resume point %+v, %v", p, ok)
	}
	tracker.DropCopy(ushercopies.ResumePoint{Target: "b", Copy: ushercall.Copy{Handle: "h"}})
	if p, ok := tracker.ResumePoint(acceptingOnly("b")); ok {
		t.Errorf("no copy left, but the resume point is %+v", p)
	}
}

// Engines leave while the holders of the copies process prompts. A copy that lacked a full chunk of tokens waited for
// the whole prompt (250 ms and more); other copies resumed within 40 ms.
func TestCopyIsRenewedBeforeItLacksOneChunk(t *testing.T) {
	const chunk, tokenTime = 112, 7 * time.Millisecond
	tracker := ushercopies.NewTracker("source", ushercopies.ResumePoint{})
	tracker.BeginCopy("a")
	tracker.CopyCompleted(start, ushercall.Copy{Handle: "h"})
	if got := tracker.Next(start.Add(chunk*tokenTime*3/4), acceptingOnly("a")); got.Kind != ushercopies.Renew || got.Holder != "a" {
		t.Errorf("three quarters of a chunk after the copy: %+v, want Renew at a", got)
	}
}
