package usherspeed

import (
	"slices"
	"time"
)

const (
	// tailSize is the number of durations that a Tail remembers, minTail the least number of which a quantile is taken.
	tailSize = 128
	minTail  = 40
	// tailRefresh is the number of durations after which quantiles are calculated again.
	tailRefresh = 8
)

// Tail has the latest durations of calls of one kind. The zero value has none. It is not safe for concurrent use.
type Tail struct {
	durations []time.Duration
	next      int
	// sorted has the durations in order; unsorted counts those that were added since.
	sorted   []time.Duration
	unsorted int
}

// Add adds a duration.
func (t *Tail) Add(d time.Duration) {
	t.unsorted++
	if len(t.durations) < tailSize {
		t.durations = append(t.durations, d)
		return
	}
	t.durations[t.next] = d
	t.next = (t.next + 1) % tailSize
}

// Quantile returns the duration that the given share of calls does not exceed; known is false until there are enough.
func (t *Tail) Quantile(share float64) (d time.Duration, known bool) {
	if len(t.durations) < minTail {
		return 0, false
	}
	if t.sorted == nil || t.unsorted >= tailRefresh {
		t.sorted, t.unsorted = slices.Clone(t.durations), 0
		slices.Sort(t.sorted)
	}
	return t.sorted[min(max(int(share*float64(len(t.sorted))), 0), len(t.sorted)-1)], true
}
