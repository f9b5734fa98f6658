package ushersuspect

import (
	"slices"
	"time"

	"github.com/samphireusher/samphireusher/pkg/usherrequest"
)

const (
	// Unrestricted is the verdict on a request that no death points to.
	Unrestricted Verdict = iota
	// Isolated is the verdict on a suspect that may be tried again, on a target without another suspect.
	Isolated
	// Redirected is the verdict on a suspect that only Decision.Gateway may try again.
	Redirected
	// Wait is the verdict on a suspect that is being tried already.
	Wait
	// Refused is the verdict on a request that two deaths point to.
	Refused
)

const (
	// DefaultHold is how long a death counts.
	DefaultHold = 10 * time.Minute
	// DefaultRecords bounds the requests that a watch remembers.
	DefaultRecords = 4096
	// DeathsToRefuse is how many deaths refuse a request.
	DeathsToRefuse = 2

	// maxDeaths bounds the deaths that are remembered for one request.
	maxDeaths = 16
	// sweepsPerHold is how often in the time of a hold old deaths are looked for.
	sweepsPerHold = 16
	// trialWait is the advice to the caller of a suspect that is being tried already.
	trialWait = 5 * time.Second
)

type (
	// Verdict says how a request may run.
	Verdict uint8

	// Decision is a verdict and what goes with it.
	Decision struct {
		Verdict    Verdict
		Gateway    string
		RetryAfter time.Duration
	}

	// Target is one incarnation of a target, which dies at most once.
	Target struct {
		Name        string
		Incarnation uint64
	}

	// Limits bound a watch. Zero values stand for the defaults.
	Limits struct {
		Hold    time.Duration
		Records int
	}

	// Tracker remembers which requests were in progress on targets that died. It belongs to one goroutine. The zero
	// value works for a process that may try any suspect.
	Tracker struct {
		gateway string
		limits  Limits
		clock   time.Time
		changes uint64
		// nextSweep is when old deaths are looked for again.
		nextSweep time.Time
		records   map[Fingerprint]*record
		running   map[usherrequest.AttemptID]run
	}

	// run is an attempt in progress.
	run struct {
		target      Target
		fingerprint Fingerprint
	}

	record struct {
		deaths map[Target]*death
	}

	death struct {
		seen    time.Time
		cleared bool
		// changed numbers the changes of a watch, for Changes.
		changed uint64
	}
)

// New returns the watch of gateway.
func New(gateway string, limits Limits) *Tracker {
	return &Tracker{gateway: gateway, limits: limits}
}

// Decide says how a request may run now. The gateways are those in service, as this process sees them.
func (w *Tracker) Decide(now time.Time, fingerprint Fingerprint, gateways []string) Decision {
	w.advance(now)
	deaths, wait := w.blame(fingerprint)
	switch {
	case deaths == 0:
		return Decision{}
	case deaths >= DeathsToRefuse:
		return Decision{Verdict: Refused, RetryAfter: wait}
	}
	if owner := fingerprint.owner(gateways); owner != "" && owner != w.gateway {
		return Decision{Verdict: Redirected, Gateway: owner}
	}
	for _, r := range w.running {
		if r.fingerprint == fingerprint {
			return Decision{Verdict: Wait, RetryAfter: trialWait}
		}
	}
	return Decision{Verdict: Isolated}
}

// Apart reports whether target runs no other suspect than fingerprint, as far as this process knows.
func (w *Tracker) Apart(now time.Time, fingerprint Fingerprint, target Target) bool {
	w.advance(now)
	for _, r := range w.running {
		if r.target != target || r.fingerprint == fingerprint {
			continue
		}
		if deaths, _ := w.blame(r.fingerprint); deaths > 0 {
			return false
		}
	}
	return true
}

// Start records that an attempt is about to be sent to target.
func (w *Tracker) Start(target Target, attempt usherrequest.AttemptID, fingerprint Fingerprint) {
	if w.running == nil {
		w.running = make(map[usherrequest.AttemptID]run)
	}
	w.running[attempt] = run{target: target, fingerprint: fingerprint}
}

// Finish records the end of an attempt whose target lives on. If the target ran it to its end, the request is cleared.
func (w *Tracker) Finish(now time.Time, attempt usherrequest.AttemptID, whole bool) {
	finished, ok := w.running[attempt]
	if !ok {
		return
	}
	delete(w.running, attempt)
	if !whole {
		return
	}
	w.advance(now)
	if r := w.records[finished.fingerprint]; r != nil {
		for target, d := range r.deaths {
			w.see(finished.fingerprint, target, d.seen, true)
		}
	}
}

// TargetCrashed records that target crashed. It returns the attempts that were in progress on it, whose requests are suspect now.
func (w *Tracker) TargetCrashed(now time.Time, target Target) []usherrequest.AttemptID {
	w.advance(now)
	var attempts []usherrequest.AttemptID
	for attempt, r := range w.running {
		if r.target != target {
			continue
		}
		attempts = append(attempts, attempt)
	}
	slices.SortFunc(attempts, usherrequest.AttemptID.Compare)
	for _, attempt := range attempts {
		w.see(w.running[attempt].fingerprint, target, w.clock, false)
		delete(w.running, attempt)
	}
	return attempts
}

// Len returns how many requests the watch remembers.
func (w *Tracker) Len() int {
	return len(w.records)
}

// blame returns how many deaths point to a request and, if they refuse it, for how long they still do.
func (w *Tracker) blame(fingerprint Fingerprint) (deaths int, wait time.Duration) {
	r := w.records[fingerprint]
	if r == nil {
		return 0, 0
	}
	var left [maxDeaths]time.Duration
	for _, d := range r.deaths {
		if remaining := w.hold() - w.clock.Sub(d.seen); !d.cleared && remaining > 0 {
			left[deaths] = remaining
			deaths++
		}
	}
	if deaths < DeathsToRefuse {
		return deaths, 0
	}
	// The refusal ends once fewer than DeathsToRefuse are left.
	sorted := left[:deaths]
	slices.Sort(sorted)
	return deaths, sorted[deaths-DeathsToRefuse]
}

// see joins one sighting to what is known: cleared wins over suspect, the earlier time over the later.
func (w *Tracker) see(fingerprint Fingerprint, target Target, seen time.Time, cleared bool) {
	r := w.record(fingerprint)
	d := r.deaths[target]
	if d == nil {
		if len(r.deaths) >= maxDeaths && !r.dropCleared() {
			return
		}
		d = &death{seen: seen, cleared: cleared}
		r.deaths[target] = d
		w.change(d)
		return
	}
	if seen.Before(d.seen) {
		d.seen = seen
	}
	if cleared && !d.cleared {
		d.cleared = true
		w.change(d)
	}
}

func (w *Tracker) change(d *death) {
	w.changes++
	d.changed = w.changes
}

func (w *Tracker) hold() time.Duration {
	if w.limits.Hold <= 0 {
		return DefaultHold
	}
	return w.limits.Hold
}
