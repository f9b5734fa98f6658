package usherpool_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/samphireusher/samphireusher/pkg/usherpool"
)

func targetName(i int) string { return fmt.Sprintf("i-%010x", i) }

// Most loads do not change between two reports, which are 250 ms apart. Sending all of them each time would make the
// traffic grow with the number of targets.
func TestDeltaSizeDependsOnChangesNotTargets(t *testing.T) {
	const changes, rounds = 5, 60
	entries := map[int]int{}
	for _, targets := range []int{64, 1200} {
		random := rand.New(rand.NewPCG(1, 1))
		loads := map[string]usherpool.Load{}
		for i := range targets {
			loads[targetName(i)] = usherpool.Load{Streams: 1, Tokens: 3000}
		}
		var tracker usherpool.DeltaTracker
		for range 2 * targets / 24 {
			tracker.Next(loads)
		}
		for range rounds {
			for range changes {
				id := targetName(random.IntN(targets))
				loads[id] = usherpool.Load{Streams: loads[id].Streams + 1, Tokens: loads[id].Tokens + 3000}
			}
			for _, batch := range tracker.Next(loads) {
				if len(batch) > 24 {
					t.Fatalf("%d targets in one message, want at most 24", len(batch))
				}
				entries[targets] += len(batch)
			}
		}
		entries[targets] /= rounds
	}
	if entries[64] > changes+64/4+1 {
		t.Errorf("%d targets sent per round for %d changes", entries[64], changes)
	}
	if entries[1200] > 4*24 {
		t.Errorf("%d targets sent per round, want at most four messages of 24", entries[1200])
	}
}

// One message in twenty is lost, twice the loss of the lossy links in the users' data sheets, while the loads change in
// every round. The receiver must still end up with the exact loads.
func TestDeltasConvergeDespiteLoss(t *testing.T) {
	const engineCount = 64
	random := rand.New(rand.NewPCG(2, 1))
	receiver := newPool(1, targets(engineCount), 9)
	now := start
	loads := map[string]usherpool.Load{}
	var tracker usherpool.DeltaTracker
	for round := range 200 {
		if round < 180 {
			for range 5 {
				id := fmt.Sprint("e", random.IntN(engineCount))
				if loads[id].Streams > 3 {
					delete(loads, id)
				} else {
					loads[id] = usherpool.Load{Streams: loads[id].Streams + 1, Tokens: loads[id].Tokens + 3000}
				}
			}
		}
		for _, batch := range tracker.Next(loads) {
			if random.IntN(20) > 0 {
				receiver.MergePeerLoads(now, "data centre", batch)
			}
		}
		now = now.Add(250 * time.Millisecond)
	}
	known := receiver.TotalLoads(now, func(string) bool { return true })
	for i := range engineCount {
		id := fmt.Sprint("e", i)
		if known[id] != loads[id] {
			t.Errorf("%s: load %+v, want %+v", id, known[id], loads[id])
		}
	}
	// Loads of a group that stops reporting must expire.
	if left := receiver.TotalLoads(now.Add(4*time.Second), func(string) bool { return true }); len(left) != 0 {
		t.Errorf("%d loads of a group that stopped reporting are still valid", len(left))
	}
}
