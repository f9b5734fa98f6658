package usherlease

import "time"

type (
	// LoadReport is what a target says about itself.
	LoadReport struct {
		Target      string
		Incarnation uint64
		// RequestedAt is a time on this process's clock before which the report can't have been taken.
		RequestedAt time.Time
		// Running is the number of requests in the target, from all schedulers.
		Running int
		// Completed and Preempted count since the target started.
		Completed uint64
		Preempted uint64
		StepTime  time.Duration
		// Cold is whether the target says that it does not bear its full load yet.
		Cold bool
	}

	// load is what is known of the requests on a target.
	load struct {
		incarnation uint64
		askedAt     time.Time
		running     int
		foreign     int         // the most requests of others that may still run under votes held now
		recent      []time.Time // until when own grants that the last report may not show could be written
	}
)

// Report takes in a load report. One that was asked for earlier than the last is ignored.
func (l *Leases) Report(now time.Time, report LoadReport) error {
	t := l.byID[report.Target]
	if t == nil {
		return ErrUnknownTarget.New("report of target %q", report.Target)
	}
	if !report.RequestedAt.After(t.load.askedAt) {
		return nil
	}
	restarted := report.Incarnation != t.load.incarnation
	if restarted {
		l.restart(t, report.Incarnation)
	}
	if restarted || l.gained(now, t, report.RequestedAt) {
		t.load.foreign = report.Running
	}
	t.load.foreign = min(t.load.foreign, report.Running)
	t.load.askedAt, t.load.running = report.RequestedAt, report.Running
	t.load.dropRecent()
	l.dropEnded(t)
	t.ramp.observe(l.ramps, t.Target, l.options.Ramp, report)
	return nil
}

// MarkCold takes a target back to the start, because something was done to it that makes it cold: its reports will say so
// later than the next grant.
func (l *Leases) MarkCold(id string) {
	if t := l.byID[id]; t != nil {
		t.ramp.chill(l.ramps, t.Target)
	}
}

// gained reports whether a report asked for at askedAt is the first that counts for some vote.
func (l *Leases) gained(now time.Time, t *target, askedAt time.Time) bool {
	for _, v := range t.votes {
		if now.Before(v.until) && l.proves(askedAt, v) && !l.proves(t.load.askedAt, v) {
			return true
		}
	}
	return false
}

// proves reports whether a report asked for at askedAt shows all that was written before the vote came.
func (l *Leases) proves(askedAt time.Time, v vote) bool {
	return askedAt.After(v.since.Add(l.options.Arrival))
}

// restart forgets all that belongs to an earlier incarnation of the target.
func (l *Leases) restart(t *target, incarnation uint64) {
	for id := range t.own {
		delete(l.attempts, id)
	}
	for id, a := range l.announced {
		if a.target == t {
			delete(l.announced, id)
		}
	}
	t.own, t.announced, t.load = nil, 0, load{incarnation: incarnation}
	t.ramp.chill(l.ramps, t.Target)
}

// dropEnded forgets own attempts of which the last report shows that they have ended: all that it must show if it
// shows none, and those that have lasted longer than any request does.
func (l *Leases) dropEnded(t *target) {
	for id, a := range t.own {
		shown := a.writtenBy.Before(t.load.askedAt)
		if shown && t.load.running == 0 || a.writtenBy.Add(l.options.LongestRequest).Before(t.load.askedAt) {
			l.drop(id, a)
		}
	}
}

// dropRecent forgets grants that the last report must show if they were used.
func (l *load) dropRecent() {
	kept := l.recent[:0]
	for _, writtenBy := range l.recent {
		if !writtenBy.Before(l.askedAt) {
			kept = append(kept, writtenBy)
		}
	}
	l.recent = kept
}

func (l *load) fresh(now time.Time, bound time.Duration) bool {
	return !l.askedAt.IsZero() && now.Sub(l.askedAt) <= bound
}

// used returns the most requests that may run and count against the share. Both terms are upper bounds: own attempts
// with what others left, and the last report with what it can't show yet.
func (t *target) used() int {
	return min(len(t.own)+max(t.load.foreign, t.announced), t.ceiling())
}

// ceiling returns the most requests that can run by the last report and what gateways announce.
func (t *target) ceiling() int {
	return max(t.load.running, t.announced) + len(t.load.recent)
}
