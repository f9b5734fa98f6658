package usherlease

import "time"

const (
	// Completed is the result of an attempt that ended at the target.
	Completed Result = iota
	// NotRun is the result of an attempt of which nothing was, or ever will be, written to the target.
	NotRun
	// Unknown is the result of an attempt that may still run, such as after a broken connection.
	Unknown
)

type (
	// Result says how an attempt ended.
	Result int

	// Request asks for a grant.
	Request struct {
		Attempt string
		Target  string
	}

	// Grant is permission to send one request to one incarnation of a target.
	Grant struct {
		Attempt     string
		Target      string
		Incarnation uint64
		// ValidFor runs from when the gateway asked; see Validity.
		ValidFor time.Duration
	}

	// attempt is an own grant that hasn't finished.
	attempt struct {
		target    *target
		expires   time.Time
		writtenBy time.Time // when it is at the target if it was written at all
	}
)

// Admit grants a request if its target has room.
func (l *Leases) Admit(now time.Time, request Request) (Grant, error) {
	t := l.byID[request.Target]
	if t == nil {
		return Grant{}, ErrUnknownTarget.New("request for target %q", request.Target)
	}
	if l.returning {
		return Grant{}, ErrReturned.New("votes are given back")
	}
	if _, ok := l.attempts[request.Attempt]; ok {
		return Grant{}, ErrDuplicate.New("attempt %q", request.Attempt)
	}
	b := l.Budget(now, t.ID)
	if b.Room == 0 {
		return Grant{}, refusal(t, b)
	}
	validFor := l.options.GrantValidity
	if !b.Beyond {
		validFor = min(validFor, l.covered(now, t, b))
	}
	if validFor < l.options.MinValidity {
		return Grant{}, ErrNoRoom.New("votes on target %q run out in %v", t.ID, validFor)
	}
	l.grant(request.Attempt, t, now.Add(validFor))
	return Grant{Attempt: request.Attempt, Target: t.ID, Incarnation: t.load.incarnation, ValidFor: validFor}, nil
}

// grant notes an own attempt.
func (l *Leases) grant(id string, t *target, expires time.Time) {
	a := &attempt{target: t, expires: expires, writtenBy: expires.Add(l.options.Arrival)}
	l.attempts[id] = a
	if t.own == nil {
		t.own = make(map[string]*attempt)
	}
	t.own[id] = a
	t.load.recent = append(t.load.recent, a.writtenBy)
	t.ramp.peak = max(t.ramp.peak, len(t.own))
}

func refusal(t *target, b Budget) error {
	if b.State != Warm && b.Proven < b.Votes {
		return ErrUnproven.New("load of target %q isn't known since votes were gained", t.ID)
	}
	return ErrNoRoom.New("target %q has %d of %d in use", t.ID, b.Used, b.Share)
}

// covered returns for how long enough votes are held for one more request.
func (l *Leases) covered(now time.Time, t *target, b Budget) time.Duration {
	untils, total := l.held(now, t, b.State != Warm)
	votes := needed(b.Capacity, b.Used+1, total)
	if votes > len(untils) {
		return 0
	}
	until := untils[votes-1]
	if b.State != Warm && !isMajority(votes, total) && l.view.CurrentUntil.Before(until) {
		until = l.view.CurrentUntil
	}
	return until.Sub(now)
}

// Finish notes the end of an attempt. An attempt with an unknown end counts until a report shows that it is gone.
func (l *Leases) Finish(id string, result Result) {
	l.dropAnnounced(id)
	a := l.attempts[id]
	if a == nil || result == Unknown {
		return
	}
	if result == Completed {
		a.target.ramp.completed++
	}
	l.drop(id, a)
}

func (l *Leases) drop(id string, a *attempt) {
	delete(l.attempts, id)
	delete(a.target.own, id)
}
