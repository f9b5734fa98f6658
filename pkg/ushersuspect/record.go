package ushersuspect

import (
	"slices"
	"time"
)

// record returns the record of a request. It adds one if needed, evicting others to stay within the limit.
func (t *Tracker) record(fingerprint Fingerprint) *record {
	if r := t.records[fingerprint]; r != nil {
		return r
	}
	if t.records == nil {
		t.records = make(map[Fingerprint]*record)
	}
	limit := t.limits.MaxRequests
	if limit <= 0 {
		limit = DefaultMaxRequests
	}
	for len(t.records) >= limit {
		t.evict()
	}
	r := &record{crashes: make(map[Target]*crash)}
	t.records[fingerprint] = r
	return r
}

// evict drops the request with the fewest crashes and, among several, the one whose last change is the oldest.
func (t *Tracker) evict() {
	var victim Fingerprint
	fewest, oldest, found := 0, uint64(0), false
	for fingerprint, r := range t.records {
		crashes, _ := t.countCrashes(fingerprint)
		changed := r.changed()
		if !found || crashes < fewest || crashes == fewest && changed < oldest {
			victim, fewest, oldest, found = fingerprint, crashes, changed, true
		}
	}
	delete(t.records, victim)
}

// advanceClock moves the clock to now and drops crashes that are older than twice CrashTTL. Expired crashes are kept
// that long so that a late report from a peer, with a later time of the same crash, does not make it count again.
func (t *Tracker) advanceClock(now time.Time) {
	if now.After(t.clock) {
		t.clock = now
	}
	if t.clock.Before(t.nextSweep) {
		return
	}
	t.nextSweep = t.clock.Add(t.crashTTL() / sweepsPerTTL)
	for fingerprint, r := range t.records {
		r.dropUpTo(t.clock.Add(-2 * t.crashTTL()))
		if len(r.crashes) == 0 {
			delete(t.records, fingerprint)
		}
	}
	t.dropSightings()
	t.blamesValid = false
}

// hasTrait reports whether the request has the given part or combination of parts.
func (r *record) hasTrait(trait Fingerprint) bool {
	return len(r.parts) > 0 && (r.combination == trait || slices.Contains(r.parts, trait))
}

func (r *record) dropUpTo(limit time.Time) {
	for target, c := range r.crashes {
		if !c.seenAt.After(limit) {
			delete(r.crashes, target)
		}
	}
}

// dropCleared drops the cleared crash whose change is the oldest and reports whether there was one.
func (r *record) dropCleared() bool {
	var victim Target
	oldest, found := uint64(0), false
	for target, c := range r.crashes {
		if c.cleared && (!found || c.changed < oldest) {
			victim, oldest, found = target, c.changed, true
		}
	}
	delete(r.crashes, victim)
	return found
}

// changed returns the sequence number of the latest change.
func (r *record) changed() uint64 {
	var latest uint64
	for _, c := range r.crashes {
		latest = max(latest, c.changed)
	}
	return latest
}
