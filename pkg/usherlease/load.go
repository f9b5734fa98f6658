package usherlease

import "time"

type (
	// LoadReport is a target's report of its own load.
	LoadReport struct {
		Target      string
		Incarnation uint64
		// RequestedAt is a time on this process's clock before which the target can't have produced the report.
		RequestedAt time.Time
		// Requests is the number of requests that run or wait on the target, from all schedulers.
		Requests int
		// Completed and Preemptions are counters since the target started.
		Completed   uint64
		Preemptions uint64
		StepTime    time.Duration
		// Cold reports whether the target declares that it has not reached its full capacity yet.
		Cold bool
	}

	// load is the known load of a target.
	load struct {
		incarnation uint64
		requestedAt time.Time
		requests    int
		foreign     int         // upper bound on requests granted by others that may still run under the votes held now
		recent      []time.Time // latest arrival times of own grants that the last report may not show
	}
)

// Report applies a load report. It is ignored if it was not requested later than the last one.
func (l *Leases) Report(now time.Time, report LoadReport) error {
	t := l.byID[report.Target]
	if t == nil {
		return ErrUnknownTarget.New("load report of unknown target %q", report.Target)
	}
	if !report.RequestedAt.After(t.load.requestedAt) {
		return nil
	}
	restarted := report.Incarnation != t.load.incarnation
	if restarted {
		l.resetTarget(t, report.Incarnation)
	}
	if restarted || l.provesNewVote(now, t, report.RequestedAt) {
		t.load.foreign = report.Requests
	}
	t.load.foreign = min(t.load.foreign, report.Requests)
	t.load.requestedAt, t.load.requests = report.RequestedAt, report.Requests
	t.load.dropShownGrants()
	l.dropEndedAttempts(t)
	t.ramp.observe(l.rampMachine, t.Target, l.options.Ramp, report)
	return nil
}

// MarkCold resets a target to its cold capacity after an operation that makes it cold. Its own load reports would show
// that only after the next grant.
func (l *Leases) MarkCold(id string) {
	if t := l.byID[id]; t != nil {
		t.ramp.reset(l.rampMachine, t.Target)
	}
}

// provesNewVote reports whether a load report requested at requestedAt is the first that proves one of the held votes.
func (l *Leases) provesNewVote(now time.Time, t *target, requestedAt time.Time) bool {
	for _, v := range t.votes {
		if now.Before(v.until) && l.proves(requestedAt, v) && !l.proves(t.load.requestedAt, v) {
			return true
		}
	}
	return false
}

// proves reports whether a load report requested at requestedAt shows every request that was written before the vote was
// gained.
func (l *Leases) proves(requestedAt time.Time, v vote) bool {
	return requestedAt.After(v.since.Add(l.options.MaxArrivalDelay))
}

// resetTarget discards all state that belongs to an earlier incarnation of the target.
func (l *Leases) resetTarget(t *target, incarnation uint64) {
	for id := range t.own {
		delete(l.attempts, id)
	}
	for id, a := range l.announced {
		if a.target == t {
			delete(l.announced, id)
		}
	}
	t.own, t.announced, t.load = nil, 0, load{incarnation: incarnation}
	t.ramp.reset(l.rampMachine, t.Target)
}

// dropEndedAttempts discards own attempts that have ended according to the last report: those that must be included in it
// if it shows no running request, and those older than the maximum duration of a request.
func (l *Leases) dropEndedAttempts(t *target) {
	for id, a := range t.own {
		shown := a.arrivesBy.Before(t.load.requestedAt)
		if shown && t.load.requests == 0 || a.arrivesBy.Add(l.options.MaxRequestDuration).Before(t.load.requestedAt) {
			l.removeAttempt(id, a)
		}
	}
}

// dropShownGrants discards the grants that must be included in the last report if they were used.
func (l *load) dropShownGrants() {
	kept := l.recent[:0]
	for _, arrivesBy := range l.recent {
		if !arrivesBy.Before(l.requestedAt) {
			kept = append(kept, arrivesBy)
		}
	}
	l.recent = kept
}

func (l *load) isFresh(now time.Time, maxAge time.Duration) bool {
	return !l.requestedAt.IsZero() && now.Sub(l.requestedAt) <= maxAge
}

// used returns an upper bound on the running requests that count against the share. It is the smaller of two upper bounds:
// own attempts plus those that others started, and the last report plus the grants that it may not show yet.
func (t *target) used() int {
	return min(len(t.own)+max(t.load.foreign, t.announced), t.ceiling())
}

// ceiling returns an upper bound on the running requests from the last report, the announcements of gateways and the
// grants since.
func (t *target) ceiling() int {
	return max(t.load.requests, t.announced) + len(t.load.recent)
}
