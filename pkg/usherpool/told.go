package usherpool

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// batchSize is how many targets' loads are told in one message, so that it fits a datagram.
	batchSize = 24
	// maxBatches bounds the messages of one round. What does not fit has its turn in the next rounds.
	maxBatches = 4
	// refreshRounds is in how many rounds every load is told again, changed or not: messages may be lost. Three turns are
	// within mergedLifetime.
	refreshRounds = 4
	// mergedLifetime is how long a load counts that was told as a change.
	mergedLifetime = 3500 * time.Millisecond
)

// DeltaTracker tracks the loads that were sent to a group of recipients. Each round sends the loads that have changed
// and, in rotation, some of the others, so that the size of a round does not grow with the number of targets. The zero
// value has sent nothing.
type DeltaTracker struct {
	loads map[string]Load
	// next is the target whose turn comes next.
	next string
}

// Next returns the loads to tell now, in batches. Targets that have no load any more are among them with none.
func (t *DeltaTracker) Next(loads map[string]Load) []map[string]Load {
	if t.loads == nil {
		t.loads = map[string]Load{}
	}
	var changed, same []string
	for id, l := range loads {
		if before, told := t.loads[id]; told && before == l {
			same = append(same, id)
		} else {
			changed = append(changed, id)
		}
	}
	for id := range t.loads {
		if _, known := loads[id]; !known {
			changed = append(changed, id)
		}
	}
	// The largest changes go first where not all have room.
	slices.SortFunc(changed, func(a, b string) int {
		return cmp.Or(cmp.Compare(t.loads[b].distance(loads[b]), t.loads[a].distance(loads[a])), cmp.Compare(a, b))
	})
	ids := append(changed, t.turn(same, (len(loads)+refreshRounds-1)/refreshRounds)...)
	var batches []map[string]Load
	for batch := range slices.Chunk(ids[:min(len(ids), batchSize*maxBatches)], batchSize) {
		told := make(map[string]Load, len(batch))
		for _, id := range batch {
			told[id] = loads[id]
			if _, known := loads[id]; known {
				t.loads[id] = loads[id]
			} else {
				delete(t.loads, id)
			}
		}
		batches = append(batches, told)
	}
	return batches
}

// turn returns the n targets whose turn it is.
func (t *DeltaTracker) turn(ids []string, n int) []string {
	slices.Sort(ids)
	first, _ := slices.BinarySearch(ids, t.next)
	ids = slices.Concat(ids[first:], ids[:first])
	ids, rest := ids[:min(n, len(ids))], ids[min(n, len(ids)):]
	if len(rest) > 0 {
		t.next = rest[0]
	}
	return ids
}

// distance tells how much two loads differ, in tokens.
func (l Load) distance(o Load) int {
	abs := func(n int) int { return max(n, -n) }
	return abs(l.Tokens-o.Tokens) + abs(l.CopyTokens-o.CopyTokens) + abs(l.Prefill-o.Prefill) + abs(l.Incoming-o.Incoming) +
		usualPrompt*(abs(l.Streams-o.Streams)+abs(l.Awaited-o.Awaited)) + abs(l.Calls-o.Calls)
}

// MergePeerLoads updates the loads of a group of peers from a partial report: the loads that have changed and some of
// the others.
func (p *Pool) MergePeerLoads(now time.Time, source string, loads map[string]Load) {
	known := p.peers[source]
	if known.loads == nil {
		known.loads = map[string]heardLoad{}
	}
	for id, l := range loads {
		known.loads[id] = heardLoad{Load: l, until: now.Add(mergedLifetime)}
	}
	maps.DeleteFunc(known.loads, func(_ string, l heardLoad) bool { return now.After(l.until) || l.Load == (Load{}) })
	p.peers[source] = known
}
