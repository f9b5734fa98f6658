package ushersuspect

import "time"

// record returns what is known about a request, and makes room for it where needed.
func (w *Tracker) record(fingerprint Fingerprint) *record {
	if r := w.records[fingerprint]; r != nil {
		return r
	}
	if w.records == nil {
		w.records = make(map[Fingerprint]*record)
	}
	limit := w.limits.Records
	if limit <= 0 {
		limit = DefaultRecords
	}
	for len(w.records) >= limit {
		w.evict()
	}
	r := &record{deaths: make(map[Target]*death)}
	w.records[fingerprint] = r
	return r
}

// evict drops the request that the fewest deaths point to and, of several, the one that changed first.
func (w *Tracker) evict() {
	var victim Fingerprint
	fewest, oldest, found := 0, uint64(0), false
	for fingerprint, r := range w.records {
		deaths, _ := w.blame(fingerprint)
		changed := r.changed()
		if !found || deaths < fewest || deaths == fewest && changed < oldest {
			victim, fewest, oldest, found = fingerprint, deaths, changed, true
		}
	}
	delete(w.records, victim)
}

// advance forgets deaths a second hold after they stopped to count. Until then they stay, so that a peer whose clock
// runs late revives none.
func (w *Tracker) advance(now time.Time) {
	if now.After(w.clock) {
		w.clock = now
	}
	if w.clock.Before(w.nextSweep) {
		return
	}
	w.nextSweep = w.clock.Add(w.hold() / sweepsPerHold)
	for fingerprint, r := range w.records {
		r.dropBefore(w.clock.Add(-2 * w.hold()))
		if len(r.deaths) == 0 {
			delete(w.records, fingerprint)
		}
	}
}

func (r *record) dropBefore(limit time.Time) {
	for target, d := range r.deaths {
		if !d.seen.After(limit) {
			delete(r.deaths, target)
		}
	}
}

// dropCleared drops the first death that was cleared and reports whether there was any.
func (r *record) dropCleared() bool {
	var victim Target
	oldest, found := uint64(0), false
	for target, d := range r.deaths {
		if d.cleared && (!found || d.changed < oldest) {
			victim, oldest, found = target, d.changed, true
		}
	}
	delete(r.deaths, victim)
	return found
}

// changed returns the number of the latest change.
func (r *record) changed() uint64 {
	var latest uint64
	for _, d := range r.deaths {
		latest = max(latest, d.changed)
	}
	return latest
}
