package usherpool

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// batchSize is how many targets' loads are sent in one message, so that it fits a datagram.
	batchSize = 24
	// maxBatches bounds the messages of one round. Loads that do not fit are sent in later rounds.
	maxBatches = 4
	// refreshRounds is the number of rounds in which every load is sent again, changed or not, because messages may be
	// lost. Three refreshes fit in deltaLifetime.
	refreshRounds = 4
	// deltaLifetime is how long a load received by MergePeerLoads is valid.
	deltaLifetime = 3500 * time.Millisecond
)

// DeltaTracker tracks the loads that were sent to a group of recipients. Each round sends the loads that have changed
// and, in rotation, some of the others, so that the size of a round does not grow with the number of targets. The zero
// value has sent nothing.
type DeltaTracker struct {
	loads map[string]Load
	// nextID is the target at which the next rotation starts.
	nextID string
}

// Next returns the loads to send now, in batches. Targets that no longer have any load are included with a zero Load.
func (t *DeltaTracker) Next(loads map[string]Load) []map[string]Load {
	if t.loads == nil {
		t.loads = map[string]Load{}
	}
	var changed, unchanged []string
	for id, l := range loads {
		if before, sent := t.loads[id]; sent && before == l {
			unchanged = append(unchanged, id)
		} else {
			changed = append(changed, id)
		}
	}
	for id := range t.loads {
		if _, known := loads[id]; !known {
			changed = append(changed, id)
		}
	}
	// The largest changes go first, as not all may fit.
	slices.SortFunc(changed, func(a, b string) int {
		return cmp.Or(cmp.Compare(t.loads[b].difference(loads[b]), t.loads[a].difference(loads[a])), cmp.Compare(a, b))
	})
	ids := append(changed, t.rotate(unchanged, (len(loads)+refreshRounds-1)/refreshRounds)...)
	var batches []map[string]Load
	for batch := range slices.Chunk(ids[:min(len(ids), batchSize*maxBatches)], batchSize) {
		sent := make(map[string]Load, len(batch))
		for _, id := range batch {
			sent[id] = loads[id]
			if _, known := loads[id]; known {
				t.loads[id] = loads[id]
			} else {
				delete(t.loads, id)
			}
		}
		batches = append(batches, sent)
	}
	return batches
}

// rotate returns the next n targets in rotation.
func (t *DeltaTracker) rotate(ids []string, n int) []string {
	slices.Sort(ids)
	first, _ := slices.BinarySearch(ids, t.nextID)
	ids = slices.Concat(ids[first:], ids[:first])
	ids, rest := ids[:min(n, len(ids))], ids[min(n, len(ids)):]
	if len(rest) > 0 {
		t.nextID = rest[0]
	}
	return ids
}

// difference returns how much two loads differ, in tokens.
func (l Load) difference(o Load) int {
	abs := func(n int) int { return max(n, -n) }
	return abs(l.Tokens-o.Tokens) + abs(l.CopyTokens-o.CopyTokens) + abs(l.Prefill-o.Prefill) + abs(l.Incoming-o.Incoming) +
		typicalPromptTokens*(abs(l.Streams-o.Streams)+abs(l.Awaited-o.Awaited)) + abs(l.Calls-o.Calls)
}

// MergePeerLoads updates the loads of a group of peers from a partial report: the loads that have changed and some of
// the others.
func (p *Pool) MergePeerLoads(now time.Time, source string, loads map[string]Load) {
	known := p.peers[source]
	if known.loads == nil {
		known.loads = map[string]reportedLoad{}
	}
	for id, l := range loads {
		known.loads[id] = reportedLoad{Load: l, expires: now.Add(deltaLifetime)}
	}
	maps.DeleteFunc(known.loads, func(_ string, l reportedLoad) bool { return now.After(l.expires) || l.Load == (Load{}) })
	p.peers[source] = known
}
