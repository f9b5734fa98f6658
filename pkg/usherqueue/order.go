package usherqueue

import (
	"cmp"
	"time"
)

// requestsPerRound is how many requests of mean size a workspace gets before the next one's turn.
const requestsPerRound = 4

// class is a rank, or one of late requests, which follow all others.
type class int

const maxClasses = 2 * maxRanks

func (e *entry[G]) refresh(now time.Time, r Request, askInterval time.Duration) {
	e.Request = r
	e.objectiveAt, e.patienceAt, e.expires = now.Add(r.Objective), now.Add(r.Patience), now.Add(lifetimeFactor*askInterval)
}

// current returns the request with the times left now.
func (e *entry[G]) current(now time.Time) Request {
	r := e.Request
	r.Objective, r.Patience, r.Waited = e.objectiveAt.Sub(now), e.patienceAt.Sub(now), now.Sub(e.since)
	return r
}

// late reports whether the request misses its objective even if it is granted room now.
func (e *entry[G]) late(now time.Time) bool {
	return e.objectiveAt.Before(now.Add(e.Needed))
}

func (e *entry[G]) class(now time.Time) class {
	if e.late(now) {
		return class(maxRanks + e.Rank)
	}
	return class(e.Rank)
}

// compare orders entries: by precedence, then those that can be in time before late ones, by rank, those that return after a refusal before new ones, by
// turn among workspaces, and by the time left.
func compare[G any](now time.Time, a, b *entry[G]) int {
	due := func(e *entry[G]) time.Time {
		if e.late(now) {
			return e.patienceAt
		}
		return e.objectiveAt
	}
	first := func(e *entry[G]) int {
		if e.returned {
			return 0
		}
		return 1
	}
	return cmp.Or(
		cmp.Compare(a.Precedence, b.Precedence), cmp.Compare(a.class(now), b.class(now)), cmp.Compare(first(a), first(b)), cmp.Compare(a.round, b.round), due(a).Compare(due(b)),
		a.since.Compare(b.since), cmp.Compare(a.Host, b.Host), cmp.Compare(a.Attempt, b.Attempt), cmp.Compare(a.Try, b.Try),
	)
}

// classes returns the classes of the entries that wait.
func classes[G any](now time.Time, entries []*entry[G]) (waiting [maxClasses]bool) {
	for _, e := range entries {
		if e.answer.Verdict == Wait {
			waiting[e.class(now)] = true
		}
	}
	return waiting
}

// dueEntry returns the entry that others have overtaken for long enough, or nil: one that can still be in time first, then the
// first one of a class.
func dueEntry[G any](now time.Time, s *service, entries []*entry[G]) *entry[G] {
	for _, e := range entries {
		if e.passed >= floorInterval && !e.late(now) {
			return e
		}
	}
	var due *entry[G]
	for _, e := range entries {
		if n := s.skipped[e.class(now)]; n >= floorInterval && (due == nil || n > s.skipped[due.class(now)]) {
			due = e
		}
	}
	return due
}
