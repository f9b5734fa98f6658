package usherview_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/samphireusher/samphireusher/pkg/usherconfig"
)

const (
	letterDaemons        = 350
	letterDataCentres    = 13
	letterCallsPerSecond = 2000
	letterInForce        = 4 * time.Second
)

// TestCallsOfALargeFleet counts the calls of the fleet of letter 1 on the events that make all its members act at once.
func TestCallsOfALargeFleet(t *testing.T) {
	f := newLargeFleet()
	f.publish(declare(1, 1, true))
	events := []struct {
		name    string
		happen  func()
		run     time.Duration
		agreeOn uint64 // the revision in force at the end
		within  time.Duration
	}{
		{"first start", func() {}, 5 * time.Second, 1, 0},
		{"publication", func() { f.publish(declare(2, 1, false)) }, 4 * time.Second, 2, letterInForce},
		{"outage", func() { f.platform.down = true }, 6 * time.Second, 2, 0},
		{"end of outage with a publication", func() {
			f.platform.down = false
			f.publish(declare(3, 1, true))
		}, 4 * time.Second, 3, letterInForce},
		{"broken publication", func() { f.publish(broken(4)) }, 3 * time.Second, 3, 0},
		{"restart of all", func() {
			f.publish(declare(5, 1, true))
			f.restartAll()
		}, 6 * time.Second, 5, 0},
		{"restart of all during an outage", func() {
			f.platform.down = true
			f.restartAll()
		}, 6 * time.Second, 0, 0},
		{"end of that outage", func() { f.platform.down = false }, 5 * time.Second, 5, 0},
	}
	for _, e := range events {
		f.calls = nil
		e.happen()
		began := f.now
		agreedAt := time.Duration(-1)
		for f.now.Sub(began) < e.run {
			mustRun(t, f, f.tick)
			version, agreed := f.inForce()
			if agreed && version.Revision == e.agreeOn && agreedAt < 0 {
				agreedAt = f.now.Sub(began)
			}
		}
		peak := busiestSecond(f.calls)
		t.Logf("%s: %d calls, %d in the busiest second, agreed after %s", e.name, len(f.calls), peak, agreedAt)
		if peak >= letterCallsPerSecond {
			t.Errorf("%s: %d calls in one second", e.name, peak)
		}
		if version, agreed := f.inForce(); e.agreeOn > 0 && (!agreed || version.Revision != e.agreeOn) {
			t.Errorf("%s: revision %d is not in force everywhere after %s", e.name, e.agreeOn, e.run)
		}
		if e.within > 0 && (agreedAt < 0 || agreedAt > e.within) {
			t.Errorf("%s: in force after %s", e.name, agreedAt)
		}
	}
}

// TestCallsWhenNobodyHearsAnybody counts the calls of stores that all believe to be alone.
func TestCallsWhenNobodyHearsAnybody(t *testing.T) {
	f := newLargeFleet()
	for _, p := range f.processes {
		p.store.SetMembers(nil)
	}
	f.publish(manyShards(1))
	mustRun(t, f, 2*time.Second)
	if peak := busiestSecond(f.calls); peak >= letterCallsPerSecond {
		t.Errorf("%d calls in one second", peak)
	}
}

func newLargeFleet() *fleet {
	f := newFleet(seed, letterDaemons, nil)
	f.tick, f.unwatched = 100*time.Millisecond, true
	for i, p := range f.processes {
		p.place = fmt.Sprintf("place-%d", i%letterDataCentres)
	}
	f.restartAll()
	return f
}

func busiestSecond(calls []time.Time) int {
	busiest, first := 0, 0
	for last, at := range calls {
		for at.Sub(calls[first]) >= time.Second {
			first++
		}
		busiest = max(busiest, last-first+1)
	}
	return busiest
}

// manyShards returns a declaration with more shards than the budget lets a store read in some seconds.
func manyShards(revision uint64) usherconfig.Snapshot {
	snapshot := declare(revision, 1, true)
	for i := range 4000 {
		name := fmt.Sprintf("workspace-%04d", i)
		snapshot.Workspaces = append(snapshot.Workspaces, usherconfig.Workspace{
			Name: name, RequestsPerSecond: 5, Burst: 10, Weight: 1, KeyHash: usherconfig.HashKey(name),
		})
	}
	return snapshot
}
