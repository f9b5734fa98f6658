// Package usherqueue orders the requests that wait for room at the engines of a service.
//
// A Queue is the placer's list of waiting requests. Each lives in the host that took it from its caller, which asks again
// each 100 ms, or less often while many wait; an entry ends three of these intervals after the last ask, so the list needs no handover when a host or a placer is lost.
// Requests are granted room by precedence, in time before late, by rank, those that were refused before first, by each workspace's part of
// what was granted lately, and by what is left of the objective. Late requests, lower ranks and large requests that others have
// overtaken get every ninth grant, so that none of them starves. Requests that cannot begin before their caller's time is
// over are refused, with the time at which room is expected; those times follow each other at the pace of the measured
// drain, so that callers do not return at the same moment.
//
// A Queue does no I/O and reads no clock. It is not safe for concurrent use. Its zero value is empty.
//
// # Usage
//
//	var queue usherqueue.Queue[string]
//	answer := queue.Ask(now, request)
//	queue.Grant(now, "appraiser", func(r usherqueue.Request, due bool) (target string, ok bool) {
//		return place(r, due)
//	})
//	if answer = queue.Ask(now, request); answer.Verdict == usherqueue.Go {
//		send(answer.Grant)
//	}
package usherqueue

import (
	"maps"
	"slices"
	"time"
)

const (
	// AskInterval is the time between two asks for a request in a short queue. In one longer than shortQueue it grows along
	// with the length, up to maxAskInterval.
	AskInterval    = 100 * time.Millisecond
	shortQueue     = 64
	maxAskInterval = 500 * time.Millisecond
	// lifetimeFactor times the ask interval is how long an entry is kept after the last ask for it.
	lifetimeFactor = 3
	// sweepInterval is the least time between two removals of what has expired.
	sweepInterval = 10 * time.Millisecond
	// MaxEntries bounds the waiting requests of all services.
	MaxEntries = 512
	// maxRanks bounds the ranks that are told apart.
	maxRanks = 10
	// floorInterval is the number of grants after which one goes to a class of requests, or to a request, that had to let
	// all of them pass.
	floorInterval = 8
	// maxMisses bounds the requests that are tried in vain in one pass, and sameMisses those of the same rank that are no smaller.
	maxMisses  = 16
	sameMisses = 2
	// maxTokens bounds the size that counts.
	maxTokens = 1 << 24
	// maxReturns bounds the refused requests that are remembered, returnLifetime is how long after the time at which they
	// were told to return.
	maxReturns     = 4096
	returnLifetime = 5 * time.Second
	// maxReturnFraction is the part of the caller's remaining time that it should at most wait before it returns.
	maxReturnFraction = 3
	minRetryAfter     = 100 * time.Millisecond
)

const (
	// Wait means that the request stays in the queue.
	Wait Verdict = iota
	// Go means that the request was granted room.
	Go
	// Refuse means that the request cannot begin in its time.
	Refuse
)

type (
	// Verdict is what becomes of a request.
	Verdict uint8

	// Key identifies a request. A host that has no use for a grant asks for another one with a higher Try.
	Key struct {
		Host    string
		Attempt string
		Try     int
	}

	// Request is a request that waits.
	Request struct {
		Key
		Service   string
		Workspace string
		// Precedence orders requests before anything else, Rank is the priority among those of equal precedence; zero is the most urgent.
		Precedence int
		Rank       int
		// Tokens is the expected KV cache size.
		Tokens int
		// Content identifies the request if its caller sends it again after a refusal.
		Content uint64
		// Objective is the time left until the first result is due, Patience the time left until the caller gives up.
		Objective time.Duration
		Patience  time.Duration
		// Needed is the expected time from a grant to the first result.
		Needed time.Duration
		// Waited is how long the request has waited, at other placers too.
		Waited time.Duration
	}

	// Answer is the answer to an ask.
	Answer[G any] struct {
		Verdict Verdict
		// Grant is set for Go.
		Grant G
		// RetryAfter is set for Refuse.
		RetryAfter time.Duration
		// Forecast is the expected wait; zero if it is not known.
		Forecast time.Duration
		// AskAgain is the time until the next ask for a request that waits.
		AskAgain time.Duration
	}

	// Queue is a list of waiting requests with grants of type G.
	Queue[G any] struct {
		entries  map[Key]*entry[G]
		services map[string]*service
		// waiting is the number of entries that wait.
		waiting int
		returns map[uint64]time.Time
		sweptAt time.Time
	}

	entry[G any] struct {
		Request
		since       time.Time
		objectiveAt time.Time
		patienceAt  time.Time
		expires     time.Time
		returned    bool
		answer      Answer[G]
		// passed counts the grants to requests behind this one.
		passed int
		// class, late and due are set by place. round is the entry's turn among those of all workspaces.
		class class
		late  bool
		due   time.Time
		round int
	}
)

// Ask adds a request or keeps its entry, and returns what has become of it.
func (q *Queue[G]) Ask(now time.Time, r Request) Answer[G] {
	q.sweep(now)
	r.Rank, r.Tokens = min(max(r.Rank, 0), maxRanks-1), min(max(r.Tokens, 1), maxTokens)
	if r.Objective == 0 {
		r.Objective = r.Patience
	}
	if e, known := q.entries[r.Key]; known {
		e.refresh(now, r, q.askInterval())
		return q.answer(e)
	}
	e := &entry[G]{since: now.Add(-max(r.Waited, 0))}
	e.refresh(now, r, q.askInterval())
	_, e.returned = q.returns[r.Content]
	delete(q.returns, r.Content)
	s := q.service(r.Service)
	s.arrive(r.Tokens)
	ahead, aheadInClass := q.tokensBefore(now, e)
	expected, least := s.forecast(e.class, e.patienceAt.Sub(now), ahead, aheadInClass)
	if e.isHopeless(now, least) {
		q.refuse(now, s, e, expected)
		return e.answer
	}
	if q.waiting >= MaxEntries {
		last := q.last(now)
		if compare(e, last) >= 0 {
			q.refuse(now, s, e, expected)
			return e.answer
		}
		q.settle(last)
		q.refuse(now, q.service(last.Service), last, 0)
	}
	q.entries[r.Key] = e
	q.waiting++
	s.waiting++
	return q.answer(e)
}

// isHopeless reports whether the request cannot begin in its time if it waits for as long as given.
func (e *entry[G]) isHopeless(now time.Time, wait time.Duration) bool {
	return now.Add(wait + e.Needed).After(e.patienceAt)
}

// answer returns what has become of e.
func (q *Queue[G]) answer(e *entry[G]) Answer[G] {
	answer := e.answer
	answer.AskAgain = q.askInterval()
	return answer
}

// askInterval returns the time after which hosts should ask again, which bounds the asks of all hosts together.
func (q *Queue[G]) askInterval() time.Duration {
	return min(max(AskInterval, AskInterval*time.Duration(q.waiting)/shortQueue), maxAskInterval)
}

// settle takes e out of the numbers of waiting requests.
func (q *Queue[G]) settle(e *entry[G]) {
	if e.answer.Verdict == Wait {
		q.waiting--
		q.service(e.Service).waiting--
	}
}

// Withdraw removes a request.
func (q *Queue[G]) Withdraw(key Key) {
	if e, known := q.entries[key]; known {
		q.settle(e)
		delete(q.entries, key)
	}
}

// Grant tries to place the waiting requests of a service in their order, and returns the keys of those whose verdict has
// changed. A request that is due may use all room; place may keep room free for it from the next requests of the same
// pass.
func (q *Queue[G]) Grant(now time.Time, name string, place func(r Request, due bool) (G, bool)) []Key {
	q.sweep(now)
	s := q.service(name)
	entries := q.ordered(now, name)
	s.observe(now, classes(entries))
	var changed []Key
	grant := func(e *entry[G], due bool) bool {
		g, ok := place(e.current(now), due)
		if !ok {
			return false
		}
		q.settle(e)
		e.answer = Answer[G]{Verdict: Go, Grant: g}
		s.recordGrant(now, e.Workspace, e.Tokens, e.class, classes(entries))
		for _, other := range entries {
			if !due && other.answer.Verdict == Wait && compare(other, e) < 0 {
				other.passed++
			}
		}
		changed = append(changed, e.Key)
		return true
	}
	if due := dueEntry(s, entries); due != nil {
		grant(due, true)
	}
	var missed []*entry[G]
	ahead, aheadInClass := 0, [maxClasses]int{}
	for _, e := range entries {
		if e.answer.Verdict != Wait {
			continue
		}
		expected, least := s.forecast(e.class, e.patienceAt.Sub(now), ahead, aheadInClass[e.class])
		e.answer.Forecast = expected
		if e.isHopeless(now, least) {
			q.settle(e)
			q.refuse(now, s, e, expected)
			changed = append(changed, e.Key)
			continue
		}
		ahead += e.Tokens
		aheadInClass[e.class] += e.Tokens
		if len(missed) < maxMisses && !isCovered(missed, e) && !grant(e, false) {
			missed = append(missed, e)
		}
	}
	return changed
}

// isCovered reports whether enough requests were tried in vain that need no more room than e.
func isCovered[G any](missed []*entry[G], e *entry[G]) bool {
	n := 0
	for _, m := range missed {
		if m.Rank <= e.Rank && m.Tokens <= e.Tokens {
			n++
		}
	}
	return n >= sameMisses
}

// refuse gives e the verdict Refuse.
func (q *Queue[G]) refuse(now time.Time, s *service, e *entry[G], forecast time.Duration) {
	e.answer = Answer[G]{Verdict: Refuse, Forecast: forecast, RetryAfter: s.nextReturn(now, e.Tokens, forecast, e.patienceAt.Sub(now))}
	if e.Content != 0 && len(q.returns) < maxReturns {
		q.returns[e.Content] = now.Add(e.answer.RetryAfter + returnLifetime)
	}
}

// Answer returns what has become of a request that was asked for.
func (q *Queue[G]) Answer(key Key) (Answer[G], bool) {
	e, known := q.entries[key]
	if !known {
		return Answer[G]{}, false
	}
	return q.answer(e), true
}

// Waiting returns how many requests of a service wait.
func (q *Queue[G]) Waiting(now time.Time, service string) int {
	q.sweep(now)
	return q.service(service).waiting
}

// Services returns the services with waiting requests, sorted by name.
func (q *Queue[G]) Services(now time.Time) []string {
	q.sweep(now)
	var names []string
	for name, s := range q.services {
		if s.waiting > 0 {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// Requests returns the waiting requests of all services, each service's in order.
func (q *Queue[G]) Requests(now time.Time) []Request {
	var requests []Request
	for _, name := range q.Services(now) {
		for _, e := range q.ordered(now, name) {
			requests = append(requests, e.current(now))
		}
	}
	return requests
}

// sweep removes what has expired.
func (q *Queue[G]) sweep(now time.Time) {
	if q.entries == nil {
		q.entries, q.services, q.returns = map[Key]*entry[G]{}, map[string]*service{}, map[uint64]time.Time{}
	}
	if now.Sub(q.sweptAt) < sweepInterval {
		return
	}
	q.sweptAt = now
	for key, e := range q.entries {
		if !now.Before(e.expires) {
			q.settle(e)
			delete(q.entries, key)
		}
	}
	maps.DeleteFunc(q.returns, func(_ uint64, expires time.Time) bool { return !now.Before(expires) })
}

func (q *Queue[G]) service(name string) *service {
	s, known := q.services[name]
	if !known {
		s = &service{workspaces: map[string]share{}}
		q.services[name] = s
	}
	return s
}

// tokensBefore returns the tokens of the requests of the same service that are before e, and of those of its class.
func (q *Queue[G]) tokensBefore(now time.Time, e *entry[G]) (all, inClass int) {
	e.place(now)
	for _, other := range q.entries {
		if other.Service != e.Service || other.answer.Verdict != Wait {
			continue
		}
		other.place(now)
		if compare(other, e) < 0 {
			all += other.Tokens
			if other.class == e.class {
				inClass += other.Tokens
			}
		}
	}
	return all, inClass
}

func (q *Queue[G]) last(now time.Time) *entry[G] {
	var last *entry[G]
	for _, e := range q.entries {
		if e.answer.Verdict != Wait {
			continue
		}
		e.place(now)
		if last == nil || compare(e, last) > 0 {
			last = e
		}
	}
	return last
}

// ordered returns the waiting entries of a service in their order.
func (q *Queue[G]) ordered(now time.Time, name string) []*entry[G] {
	var entries []*entry[G]
	total := 0
	for _, e := range q.entries {
		if e.Service == name && e.answer.Verdict == Wait {
			e.round = 0
			e.place(now)
			entries = append(entries, e)
			total += e.Tokens
		}
	}
	slices.SortFunc(entries, compare[G])
	s := q.service(name)
	quantum := max(total/max(len(entries), 1)*requestsPerRound, 1)
	used := map[string]float64{}
	for _, e := range entries {
		sum, counted := used[e.Workspace]
		if !counted {
			sum = s.workspaces[e.Workspace].at(now)
		}
		e.round = int(sum) / quantum
		used[e.Workspace] = sum + float64(e.Tokens)
	}
	slices.SortFunc(entries, compare[G])
	return entries
}
