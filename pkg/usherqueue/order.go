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

// place sets the entry's class and what it is ordered by in its class. An entry is late if it misses its objective even if it is
// granted room now.
func (e *entry[G]) place(now time.Time) {
	e.late = e.objectiveAt.Before(now.Add(e.Needed))
	e.class, e.due = class(e.Rank), e.objectiveAt
	if e.late {
		e.class, e.due = class(maxRanks+e.Rank), e.patienceAt
	}
}

// compare orders entries by the places set last: by precedence, those that can be in time before late ones, by rank, those that return after
// a refusal before new ones, by turn among workspaces, and by the time left.
func compare[G any](a, b *entry[G]) int {
	first := func(e *entry[G]) int {
		if e.returned {
			return 0
		}
		return 1
	}
	switch {
	case a.Precedence != b.Precedence:
		return cmp.Compare(a.Precedence, b.Precedence)
	case a.class != b.class:
		return cmp.Compare(a.class, b.class)
	case a.returned != b.returned:
		return cmp.Compare(first(a), first(b))
	case a.round != b.round:
		return cmp.Compare(a.round, b.round)
	}
	return cmp.Or(a.due.Compare(b.due), a.since.Compare(b.since), cmp.Compare(a.Host, b.Host), cmp.Compare(a.Attempt, b.Attempt), cmp.Compare(a.Try, b.Try))
}

// classes returns the classes of the entries that wait.
func classes[G any](entries []*entry[G]) (waiting [maxClasses]bool) {
	for _, e := range entries {
		if e.answer.Verdict == Wait {
			waiting[e.class] = true
		}
	}
	return waiting
}

// dueEntry returns the entry that others have overtaken for long enough, or nil: one that can still be in time first, then the
// first one of a class.
func dueEntry[G any](s *service, entries []*entry[G]) *entry[G] {
	for _, e := range entries {
		if e.passed >= floorInterval && !e.late {
			return e
		}
	}
	var due *entry[G]
	for _, e := range entries {
		if n := s.skipped[e.class]; n >= floorInterval && (due == nil || n > s.skipped[due.class]) {
			due = e
		}
	}
	return due
}
