package ushersuspect

import (
	"slices"
	"time"
)

// maxRecentAnswers limits the traits whose last answer is remembered in case a late report of a crash names them.
const maxRecentAnswers = 4096

type (
	// sighting is the time of an answer or a probe.
	sighting struct {
		at time.Time
		// toldAt is the time that other trackers are told.
		toldAt time.Time
		// changed is the sequence number of the last change, see Changes.
		changed uint64
	}

	// recentAnswers remembers when requests with a trait were last answered. It keeps two generations, the older of which
	// is dropped as the newer one fills up.
	recentAnswers struct {
		newer, older map[Fingerprint]time.Time
	}
)

func (a *recentAnswers) add(trait Fingerprint, at time.Time) {
	if a.newer == nil || len(a.newer) >= maxRecentAnswers/2 {
		a.newer, a.older = make(map[Fingerprint]time.Time), a.newer
	}
	a.newer[trait] = at
}

func (a *recentAnswers) last(trait Fingerprint) time.Time {
	if at, known := a.newer[trait]; known {
		return at
	}
	return a.older[trait]
}

// mergeAnswer records that a request with a trait was answered at a time. The latest time wins.
func (t *Tracker) mergeAnswer(trait Fingerprint, at time.Time) {
	if at.After(t.recent.last(trait)) {
		t.recent.add(trait, at)
	}
	known := t.answers[trait]
	known.at = later(known.at, at)
	evidence, clears := false, false
	for _, r := range t.records {
		if !r.hasTrait(trait) {
			continue
		}
		evidence = true
		for _, c := range r.crashes {
			clears = clears || !c.cleared && c.seenAt.After(known.toldAt) && !c.seenAt.After(known.at)
		}
	}
	if !evidence {
		return
	}
	if t.answers == nil {
		t.answers = make(map[Fingerprint]sighting)
	}
	if clears {
		// Only answers that clear a crash are news to other trackers.
		known.toldAt, known.changed = known.at, t.nextChange()
	}
	t.answers[trait] = known
}

// mergeProbe records that a blamed request was tried again at a time. The latest time wins.
func (t *Tracker) mergeProbe(trait Fingerprint, at time.Time) {
	known, tracked := t.probes[trait]
	if !at.After(known.at) || !tracked && len(t.probes) >= maxProbes {
		return
	}
	if t.probes == nil {
		t.probes = make(map[Fingerprint]sighting)
	}
	t.probes[trait] = sighting{at: at, changed: t.nextChange()}
}

// mergeParts records the parts of the prompt of a request that has a record.
func (t *Tracker) mergeParts(request Request) {
	r := t.records[request.Content]
	if r == nil || len(r.parts) > 0 || len(request.Parts) == 0 || len(request.Parts) > MaxParts {
		return
	}
	r.parts, r.combination = slices.Clone(request.Parts), request.combination()
	t.blamesValid = false
	for _, trait := range request.sharedTraits() {
		if at := later(t.recent.last(trait), t.answers[trait].at); !at.IsZero() {
			t.mergeAnswer(trait, at)
		}
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// clear records that a request with this content was answered.
func (t *Tracker) clear(content Fingerprint) {
	if r := t.records[content]; r != nil {
		for target, c := range r.crashes {
			t.mergeCrash(content, target, c.seenAt, true)
		}
	}
}

// dropSightings drops the answers whose traits no crash has any more, and old probes.
func (t *Tracker) dropSightings() {
	evidence := make(map[Fingerprint]bool)
	for _, r := range t.records {
		evidence[r.combination] = true
		for _, part := range r.parts {
			evidence[part] = true
		}
	}
	for trait := range t.answers {
		if !evidence[trait] {
			delete(t.answers, trait)
		}
	}
	for trait, probe := range t.probes {
		if t.clock.Sub(probe.at) >= t.crashTTL() {
			delete(t.probes, trait)
		}
	}
}
