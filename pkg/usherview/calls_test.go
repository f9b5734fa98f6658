package usherview_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/samphireusher/samphireusher/pkg/usherconfig"
)

const (
	largeFleetDaemons     = 350
	largeFleetDataCentres = 13
	maxCallsPerSecond     = 2000
	maxAdoptionTime       = 4 * time.Second
)

// TestPlatformCallsOfLargeFleet counts the calls to the platform on events that make all members act at the same time.
// The size of the fleet and the limits are those of the project's requirements.
func TestPlatformCallsOfLargeFleet(t *testing.T) {
	f := newLargeFleet()
	f.publish(newSnapshot(1, 1, true))
	events := []struct {
		name         string
		trigger      func()
		run          time.Duration
		wantRevision uint64 // revision in force at the end; 0 if not checked
		deadline     time.Duration
	}{
		{"first start", func() {}, 5 * time.Second, 1, 0},
		{"publication", func() { f.publish(newSnapshot(2, 1, false)) }, 4 * time.Second, 2, maxAdoptionTime},
		{"outage", func() { f.platform.down = true }, 6 * time.Second, 2, 0},
		{"end of outage with a publication", func() {
			f.platform.down = false
			f.publish(newSnapshot(3, 1, true))
		}, 4 * time.Second, 3, maxAdoptionTime},
		{"broken publication", func() { f.publish(invalidSnapshot(4)) }, 3 * time.Second, 3, 0},
		{"restart of all", func() {
			f.publish(newSnapshot(5, 1, true))
			f.restartAll()
		}, 6 * time.Second, 5, 0},
		{"restart of all during an outage", func() {
			f.platform.down = true
			f.restartAll()
		}, 6 * time.Second, 0, 0},
		{"end of that outage", func() { f.platform.down = false }, 5 * time.Second, 5, 0},
	}
	for _, e := range events {
		f.platformCalls = nil
		e.trigger()
		began := f.now
		agreedAt := time.Duration(-1)
		for f.now.Sub(began) < e.run {
			mustRun(t, f, f.tick)
			version, agreed := f.lowestVersion()
			if agreed && version.Revision == e.wantRevision && agreedAt < 0 {
				agreedAt = f.now.Sub(began)
			}
		}
		peak := peakCallsPerSecond(f.platformCalls)
		t.Logf("%s: %d platform calls, at most %d in one second, agreed after %s", e.name, len(f.platformCalls), peak, agreedAt)
		if peak >= maxCallsPerSecond {
			t.Errorf("%s: %d platform calls in one second", e.name, peak)
		}
		if version, agreed := f.lowestVersion(); e.wantRevision > 0 && (!agreed || version.Revision != e.wantRevision) {
			t.Errorf("%s: revision %d is not in force everywhere after %s", e.name, e.wantRevision, e.run)
		}
		if e.deadline > 0 && (agreedAt < 0 || agreedAt > e.deadline) {
			t.Errorf("%s: in force after %s", e.name, agreedAt)
		}
	}
}

// TestPlatformCallsWithoutPeers counts the calls to the platform by stores none of which knows a peer, so that each
// must read everything itself.
func TestPlatformCallsWithoutPeers(t *testing.T) {
	f := newLargeFleet()
	for _, p := range f.processes {
		p.store.SetMembers(nil)
	}
	f.publish(snapshotWithManyShards(1))
	mustRun(t, f, 2*time.Second)
	if peak := peakCallsPerSecond(f.platformCalls); peak >= maxCallsPerSecond {
		t.Errorf("%d platform calls in one second", peak)
	}
}

func newLargeFleet() *fleet {
	f := newFleet(seed, largeFleetDaemons, nil)
	f.tick, f.skipInvariants = 100*time.Millisecond, true
	for i, p := range f.processes {
		p.dataCentre = fmt.Sprintf("data-centre-%d", i%largeFleetDataCentres)
	}
	f.restartAll()
	return f
}

func peakCallsPerSecond(platformCalls []time.Time) int {
	peak, first := 0, 0
	for last, at := range platformCalls {
		for at.Sub(platformCalls[first]) >= time.Second {
			first++
		}
		peak = max(peak, last-first+1)
	}
	return peak
}

// snapshotWithManyShards returns a snapshot with more shards than the rate limit lets a store read within a few
// seconds.
func snapshotWithManyShards(revision uint64) usherconfig.Snapshot {
	snapshot := newSnapshot(revision, 1, true)
	for i := range 4000 {
		name := fmt.Sprintf("workspace-%04d", i)
		snapshot.Workspaces = append(snapshot.Workspaces, usherconfig.Workspace{
			Name: name, RequestsPerSecond: 5, Burst: 10, Weight: 1, KeyHash: usherconfig.HashKey(name),
		})
	}
	return snapshot
}
