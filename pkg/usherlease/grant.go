package usherlease

import "time"

const (
	// Completed is the result of an attempt that finished on the target.
	Completed Result = iota
	// NotRun is the result of an attempt that was not written to the target and never will be, not even in part.
	NotRun
	// Unknown is the result of an attempt that may still be running, for example after a lost connection.
	Unknown
)

type (
	// Result is the outcome of an attempt.
	Result int

	// Request asks for a grant.
	Request struct {
		Attempt string
		Target  string
	}

	// Grant permits sending one request to one incarnation of a target.
	Grant struct {
		Attempt     string
		Target      string
		Incarnation uint64
		// ValidFor is measured from when the gateway requested the grant; see Validity.
		ValidFor time.Duration
	}

	// attempt is an unfinished attempt that this scheduler granted.
	attempt struct {
		target    *target
		expires   time.Time
		arrivesBy time.Time // latest time at which the target counts it, if it was written at all
	}
)

// Admit grants a request if the budget for its target allows another one.
func (l *Leases) Admit(now time.Time, request Request) (Grant, error) {
	t := l.byID[request.Target]
	if t == nil {
		return Grant{}, ErrUnknownTarget.New("request for unknown target %q", request.Target)
	}
	if l.returning {
		return Grant{}, ErrReturned.New("votes have been returned")
	}
	if _, ok := l.attempts[request.Attempt]; ok {
		return Grant{}, ErrDuplicate.New("attempt %q already has a grant", request.Attempt)
	}
	b := l.Budget(now, t.ID)
	if b.FreeCapacity == 0 {
		return Grant{}, refusal(t, b)
	}
	validFor := l.options.GrantValidity
	if !b.BeyondShare {
		validFor = min(validFor, l.votesValidFor(now, t, b))
	}
	if validFor < l.options.MinValidity {
		return Grant{}, ErrNoCapacity.New("votes on target %q expire in %v", t.ID, validFor)
	}
	l.recordGrant(request.Attempt, t, now.Add(validFor))
	return Grant{Attempt: request.Attempt, Target: t.ID, Incarnation: t.load.incarnation, ValidFor: validFor}, nil
}

// recordGrant records an attempt granted by this scheduler.
func (l *Leases) recordGrant(id string, t *target, expires time.Time) {
	a := &attempt{target: t, expires: expires, arrivesBy: expires.Add(l.options.MaxArrivalDelay)}
	l.attempts[id] = a
	if t.own == nil {
		t.own = make(map[string]*attempt)
	}
	t.own[id] = a
	t.load.recent = append(t.load.recent, a.arrivesBy)
	t.ramp.peak = max(t.ramp.peak, len(t.own))
}

func refusal(t *target, b Budget) error {
	if b.State != Warm && b.Proven < b.Votes {
		return ErrUnproven.New("no load report of target %q since votes were gained", t.ID)
	}
	return ErrNoCapacity.New("target %q: %d of %d requests in use", t.ID, b.Used, b.Share)
}

// votesValidFor returns how long this scheduler holds enough votes for one more request.
func (l *Leases) votesValidFor(now time.Time, t *target, b Budget) time.Duration {
	expiries, total := l.heldVotes(now, t, b.State != Warm)
	votes := votesNeeded(b.Capacity, b.Used+1, total)
	if votes > len(expiries) {
		return 0
	}
	until := expiries[votes-1]
	if b.State != Warm && !isMajority(votes, total) && l.view.CurrentUntil.Before(until) {
		until = l.view.CurrentUntil
	}
	return until.Sub(now)
}

// Finish records the end of an attempt. An attempt whose result is Unknown counts until a load report shows that it no
// longer runs.
func (l *Leases) Finish(id string, result Result) {
	l.dropAnnounced(id)
	a := l.attempts[id]
	if a == nil || result == Unknown {
		return
	}
	if result == Completed {
		a.target.ramp.completed++
	}
	l.removeAttempt(id, a)
}

func (l *Leases) removeAttempt(id string, a *attempt) {
	delete(l.attempts, id)
	delete(a.target.own, id)
}
