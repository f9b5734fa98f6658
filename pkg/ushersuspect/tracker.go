package ushersuspect

import (
	"slices"
	"time"

	"github.com/samphireusher/samphireusher/pkg/usherrequest"
)

const (
	// Unrestricted is the verdict on a request without crashes.
	Unrestricted Verdict = iota
	// Isolated is the verdict on a suspect that may be retried, on a target that runs no other suspect.
	Isolated
	// Redirected is the verdict on a suspect that only Decision.Gateway may retry.
	Redirected
	// Wait is the verdict on a suspect that is already being retried.
	Wait
	// Refused is the verdict on a request with CrashesToRefuse or more crashes.
	Refused
	// Probe is the verdict on a request that is tried again although crashes are attributed to it, see Admit.
	Probe
)

const (
	// DefaultCrashTTL is how long a crash counts against a request.
	DefaultCrashTTL = 10 * time.Minute
	// DefaultMaxRequests limits the requests that a Tracker remembers.
	DefaultMaxRequests = 4096
	// CrashesToRefuse is the number of crashes after which a request is refused.
	CrashesToRefuse = 2

	// maxCrashes limits the crashes that are remembered for one request.
	maxCrashes = 16
	// sweepsPerTTL is the number of sweeps for expired crashes within CrashTTL.
	sweepsPerTTL = 16
	// isolationWait is the retry-after time for a suspect that is already being retried.
	isolationWait = 5 * time.Second
)

type (
	// Verdict tells whether and how a request may run.
	Verdict uint8

	// Decision is a verdict with its details: Gateway for Redirected, RetryAfter for Wait and Refused.
	Decision struct {
		Verdict    Verdict
		Gateway    string
		RetryAfter time.Duration
		// Cause has what the request shares with those that were in progress on crashed targets, and Crashes the number of
		// these crashes. Only Admit sets them.
		Cause   []Fingerprint
		Crashes int
	}

	// Target is one incarnation of a target. An incarnation crashes at most once.
	Target struct {
		Name        string
		Incarnation uint64
	}

	// Limits configures a Tracker: how long a crash counts and how many requests are remembered. Zero values stand for
	// the defaults.
	Limits struct {
		CrashTTL    time.Duration
		MaxRequests int
	}

	// Tracker records which requests were in progress on targets that crashed. It must be used by one goroutine only.
	// The zero value is ready for use, in a process that may retry any suspect.
	Tracker struct {
		gateway    string
		limits     Limits
		clock      time.Time
		lastChange uint64
		// nextSweep is the time of the next sweep for expired crashes.
		nextSweep time.Time
		records   map[Fingerprint]*record
		running   map[usherrequest.AttemptID]attemptState
		// answers has the last answers of the traits of records, and recent those of any trait.
		answers map[Fingerprint]sighting
		recent  recentAnswers
		probes  map[Fingerprint]sighting
		// blames is up to date if blamesValid is set, until a crash that counts expires at blamesExpire.
		blames       []blame
		blamesValid  bool
		blamesExpire time.Time
		// nextEvidence is the number of the blame with which the next message with evidence begins.
		nextEvidence int
	}

	// attemptState is an attempt in progress.
	attemptState struct {
		target      Target
		fingerprint Fingerprint
	}

	record struct {
		// parts and combination are zero for requests without shared parts.
		parts       []Fingerprint
		combination Fingerprint
		crashes     map[Target]*crash
	}

	crash struct {
		seenAt  time.Time
		cleared bool
		// changed is the sequence number of the last change to this crash, see Changes.
		changed uint64
	}
)

// New returns the tracker of the given gateway.
func New(gateway string, limits Limits) *Tracker {
	return &Tracker{gateway: gateway, limits: limits}
}

// Decide returns whether and how a request may run now. The gateways are those that this process knows to be in
// service.
func (t *Tracker) Decide(now time.Time, fingerprint Fingerprint, gateways []string) Decision {
	t.advanceClock(now)
	crashes, retryAfter := t.countCrashes(fingerprint)
	switch {
	case crashes == 0:
		return Decision{}
	case crashes >= CrashesToRefuse:
		return Decision{Verdict: Refused, RetryAfter: retryAfter}
	}
	if owner := fingerprint.owner(gateways); owner != "" && owner != t.gateway {
		return Decision{Verdict: Redirected, Gateway: owner}
	}
	for _, r := range t.running {
		if r.fingerprint == fingerprint {
			return Decision{Verdict: Wait, RetryAfter: isolationWait}
		}
	}
	return Decision{Verdict: Isolated}
}

// CanIsolate reports whether target runs no suspect other than fingerprint, as far as this process knows.
func (t *Tracker) CanIsolate(now time.Time, fingerprint Fingerprint, target Target) bool {
	t.advanceClock(now)
	for _, r := range t.running {
		if r.target != target || r.fingerprint == fingerprint {
			continue
		}
		if crashes, _ := t.countCrashes(r.fingerprint); crashes > 0 {
			return false
		}
	}
	return true
}

// Start records that an attempt is about to be sent to target.
func (t *Tracker) Start(target Target, attempt usherrequest.AttemptID, fingerprint Fingerprint) {
	if t.running == nil {
		t.running = make(map[usherrequest.AttemptID]attemptState)
	}
	t.running[attempt] = attemptState{target: target, fingerprint: fingerprint}
}

// Finish records the end of an attempt whose target did not crash. If the attempt completed, the request is cleared.
func (t *Tracker) Finish(now time.Time, attempt usherrequest.AttemptID, completed bool) {
	finished, ok := t.running[attempt]
	if !ok {
		return
	}
	delete(t.running, attempt)
	if !completed {
		return
	}
	t.advanceClock(now)
	t.clear(finished.fingerprint)
}

// TargetCrashed records that target crashed. It returns the attempts that were in progress on it; their requests are
// now suspect.
func (t *Tracker) TargetCrashed(now time.Time, target Target) []usherrequest.AttemptID {
	t.advanceClock(now)
	var attempts []usherrequest.AttemptID
	for attempt, r := range t.running {
		if r.target != target {
			continue
		}
		attempts = append(attempts, attempt)
	}
	slices.SortFunc(attempts, usherrequest.AttemptID.Compare)
	for _, attempt := range attempts {
		t.mergeCrash(t.running[attempt].fingerprint, target, t.clock, false)
		delete(t.running, attempt)
	}
	return attempts
}

// Len returns the number of requests that the tracker remembers.
func (t *Tracker) Len() int {
	return len(t.records)
}

// countCrashes returns the number of crashes that count against a request and, if that refuses it, for how much longer.
func (t *Tracker) countCrashes(fingerprint Fingerprint) (crashes int, retryAfter time.Duration) {
	r := t.records[fingerprint]
	if r == nil {
		return 0, 0
	}
	var left [maxCrashes]time.Duration
	for _, c := range r.crashes {
		if remaining := t.crashTTL() - t.clock.Sub(c.seenAt); !c.cleared && remaining > 0 {
			left[crashes] = remaining
			crashes++
		}
	}
	if crashes < CrashesToRefuse {
		return crashes, 0
	}
	// The refusal ends when fewer than CrashesToRefuse crashes are left.
	sorted := left[:crashes]
	slices.Sort(sorted)
	return crashes, sorted[crashes-CrashesToRefuse]
}

// mergeCrash merges one crash report into the record of a request: cleared wins over suspect, and the earlier time over
// the later.
func (t *Tracker) mergeCrash(fingerprint Fingerprint, target Target, seenAt time.Time, cleared bool) {
	r := t.record(fingerprint)
	c := r.crashes[target]
	if c == nil {
		if len(r.crashes) >= maxCrashes && !r.dropCleared() {
			return
		}
		r.crashes[target] = &crash{seenAt: seenAt, cleared: cleared, changed: t.nextChange()}
		return
	}
	if seenAt.Before(c.seenAt) {
		c.seenAt = seenAt
		t.blamesValid = false
	}
	if cleared && !c.cleared {
		c.cleared, c.changed = true, t.nextChange()
	}
}

// nextChange returns the sequence number of a change.
func (t *Tracker) nextChange() uint64 {
	t.lastChange++
	t.blamesValid = false
	return t.lastChange
}

func (t *Tracker) crashTTL() time.Duration {
	if t.limits.CrashTTL <= 0 {
		return DefaultCrashTTL
	}
	return t.limits.CrashTTL
}
