package ushersuspect

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// CrashesToBlame is the number of crashes after which a shared part of prompts, or a combination of parts, is blamed
	// if no request with it was answered after the first of them. A single part must also have crashed targets in that
	// many combinations, as otherwise the combination explains the crashes as well and affects fewer requests.
	CrashesToBlame = 3

	// jointCrashTime is the time within which several crashes count as one: targets that share a cause, such as the loss of
	// power, crash together, and popular requests are then in progress on many of them.
	jointCrashTime = 100 * time.Millisecond

	// minQuietTime is how long after the last crash a blamed request is tried again at the earliest. The time grows with
	// the time for which the crashes have gone on, so that few targets crash while the cause persists.
	minQuietTime    = 10 * time.Second
	quietTimeFactor = 2
	// probeTimeout is how long the outcome of such a try is awaited.
	probeTimeout = 10 * time.Second
	// The processes wait for each other in a random order before they try it, each for probeStep more than the one before
	// it, so that others learn of the first try. maxProbeDelay bounds the longest wait.
	probeStep     = 500 * time.Millisecond
	maxProbeDelay = 20 * time.Second
	// maxProbes limits the tries that are remembered.
	maxProbes = 64
)

const (
	contentTrait traitKind = iota
	combinationTrait
	partTrait
)

type (
	traitKind uint8

	// trait is something that requests on crashed targets have in common.
	trait struct {
		kind    traitKind
		crashes map[Target]traitCrash
	}

	traitCrash struct {
		seenAt      time.Time
		combination Fingerprint
	}

	// blame is the cause to which crashes are attributed: requests that have all the given traits.
	blame struct {
		traits      []Fingerprint
		crashes     int
		first, last time.Time
	}
)

// RecordCrash records that target crashed while request was in progress on it and had not been answered.
func (t *Tracker) RecordCrash(now time.Time, target Target, request Request) {
	t.advanceClock(now)
	t.mergeCrash(request.Content, target, t.clock, false)
	t.mergeParts(request)
}

// RecordAnswer records that a target answers request, so that none of its parts crashes targets.
func (t *Tracker) RecordAnswer(now time.Time, request Request) {
	t.advanceClock(now)
	t.clear(request.Content)
	for _, trait := range request.sharedTraits() {
		t.mergeAnswer(trait, t.clock)
	}
}

// Admit returns whether a request may run now, according to the crashes of requests that it has something in common
// with. The verdict is Unrestricted, Probe or Refused. After Probe the request must be run. The function processes returns
// the names of the processes that this one knows to be in service.
func (t *Tracker) Admit(now time.Time, request Request, processes func() []string) Decision {
	decision := t.Peek(now, request, processes)
	if decision.Verdict == Probe {
		for _, trait := range decision.Cause {
			t.mergeProbe(trait, t.clock)
		}
	}
	return decision
}

// Peek returns what Admit would return, for a request that is not run.
func (t *Tracker) Peek(now time.Time, request Request, processes func() []string) Decision {
	t.advanceClock(now)
	if len(t.records) == 0 {
		return Decision{}
	}
	own := append(request.sharedTraits(), request.Content)
	var decision Decision
	for _, b := range t.currentBlames() {
		if slices.ContainsFunc(b.traits, func(trait Fingerprint) bool { return !slices.Contains(own, trait) }) {
			continue
		}
		if wait := t.probeAt(b, processes).Sub(t.clock); wait > 0 {
			return Decision{Verdict: Refused, RetryAfter: wait + request.retrySpread(), Cause: b.traits, Crashes: b.crashes}
		}
		decision = Decision{Verdict: Probe, Cause: append(decision.Cause, b.traits...), Crashes: max(decision.Crashes, b.crashes)}
	}
	return decision
}

// probeAt returns when this process may try a request with the traits of b again.
func (t *Tracker) probeAt(b blame, processes func() []string) time.Time {
	at := later(b.retryAt(), t.probes[b.traits[0]].at.Add(probeTimeout))
	if at.After(t.clock) {
		return at
	}
	return at.Add(t.probeDelay(b.traits[0], processes()))
}

// probeDelay returns how long this process leaves it to others to try a blamed request again.
func (t *Tracker) probeDelay(trait Fingerprint, processes []string) time.Duration {
	rank, own := 0, trait.score(t.gateway)
	for _, process := range processes {
		if process != t.gateway && trait.score(process) > own {
			rank++
		}
	}
	return time.Duration(rank) * min(probeStep, maxProbeDelay/time.Duration(max(len(processes), 1)))
}

// retrySpread returns by how much later than others a caller with this request is asked to return, so that callers that
// were refused in the same time do not all return at once.
func (r Request) retrySpread() time.Duration {
	return minQuietTime * time.Duration(r.Content[0]) / math.MaxUint8
}

// Blamed returns the causes to which crashes are attributed, each as the traits that a request must have.
func (t *Tracker) Blamed(now time.Time) [][]Fingerprint {
	t.advanceClock(now)
	var causes [][]Fingerprint
	for _, b := range t.currentBlames() {
		causes = append(causes, b.traits)
	}
	return causes
}

// sharedTraits returns the traits of a request that other requests may have, without its content.
func (r Request) sharedTraits() []Fingerprint {
	if len(r.Parts) == 0 {
		return nil
	}
	return append(slices.Clone(r.Parts), r.combination())
}

// retryAt returns when a request may be tried again.
func (b blame) retryAt() time.Time {
	return b.last.Add(max(minQuietTime, quietTimeFactor*b.last.Sub(b.first)))
}

// currentBlames returns the causes of the known crashes, from the one with the most crashes down.
func (t *Tracker) currentBlames() []blame {
	if t.blamesValid && t.clock.Before(t.blamesExpire) {
		return t.blames
	}
	t.blames, t.blamesValid = nil, true
	traits, expire := t.collectTraits()
	t.blamesExpire = expire
	explained := make(map[Target]bool)
	for {
		most, tied := 0, []Fingerprint(nil)
		for fingerprint, tr := range traits {
			switch n := tr.unexplained(explained); {
			case n == 0 || n < most || tr.kind == contentTrait && n < CrashesToBlame && t.isAmbiguous(fingerprint, traits):
			case n > most:
				most, tied = n, []Fingerprint{fingerprint}
			default:
				tied = append(tied, fingerprint)
			}
		}
		if most == 0 {
			return t.blames
		}
		slices.SortFunc(tied, Fingerprint.compare)
		found := groupParts(traits, tied)
		for _, b := range found {
			for target := range traits[b.traits[0]].crashes {
				explained[target] = true
			}
		}
		t.blames = append(t.blames, found...)
	}
}

// isAmbiguous reports whether all crashes of a content have another trait in common, so that its request may only have been
// in progress beside those that crash targets.
func (t *Tracker) isAmbiguous(content Fingerprint, traits map[Fingerprint]*trait) bool {
	r := t.records[content]
	for fingerprint, other := range traits {
		if fingerprint == content || r.hasTrait(fingerprint) {
			continue
		}
		shared := 0
		for target := range traits[content].crashes {
			if _, crashed := other.crashes[target]; crashed {
				shared++
			}
		}
		if shared == len(traits[content].crashes) {
			return true
		}
	}
	return false
}

// collectTraits returns the traits of the requests that were in progress on crashed targets, without those that have been
// answered since, and when the first of these crashes expires.
func (t *Tracker) collectTraits() (traits map[Fingerprint]*trait, expire time.Time) {
	traits, expire = make(map[Fingerprint]*trait), t.clock.Add(t.crashTTL())
	add := func(fingerprint Fingerprint, kind traitKind, target Target, c traitCrash) {
		if kind != contentTrait && !t.answers[fingerprint].at.Before(c.seenAt) {
			return
		}
		if traits[fingerprint] == nil {
			traits[fingerprint] = &trait{kind: kind, crashes: make(map[Target]traitCrash)}
		}
		traits[fingerprint].crashes[target] = c
	}
	for content, r := range t.records {
		for target, c := range r.crashes {
			if c.cleared || t.clock.Sub(c.seenAt) >= t.crashTTL() {
				continue
			}
			if at := c.seenAt.Add(t.crashTTL()); at.Before(expire) {
				expire = at
			}
			tc := traitCrash{c.seenAt, r.combination}
			add(content, contentTrait, target, tc)
			if len(r.parts) > 0 {
				add(r.combination, combinationTrait, target, tc)
			}
			for _, part := range r.parts {
				add(part, partTrait, target, tc)
			}
		}
	}
	return traits, expire
}

// unexplained returns the number of crashes that the trait would explain in addition, or 0 if they are too few to blame it.
func (tr *trait) unexplained(explained map[Target]bool) int {
	var times []time.Time
	combinations := make(map[Fingerprint]struct{})
	for target, c := range tr.crashes {
		if !explained[target] {
			times = append(times, c.seenAt)
			combinations[c.combination] = struct{}{}
		}
	}
	switch {
	case tr.kind == contentTrait && countApart(times) >= CrashesToRefuse, tr.kind == combinationTrait && countApart(times) >= CrashesToBlame,
		tr.kind == partTrait && countApart(times) >= CrashesToBlame && len(combinations) >= CrashesToBlame:
		return len(times)
	}
	return 0
}

// countApart returns the number of crashes that are at least jointCrashTime apart.
func countApart(times []time.Time) int {
	slices.SortFunc(times, time.Time.Compare)
	n := 0
	var last time.Time
	for _, at := range times {
		if n == 0 || at.Sub(last) >= jointCrashTime {
			n, last = n+1, at
		}
	}
	return n
}

// groupParts returns the blames for traits with the same number of crashes. Parts with the same crashes cannot be told
// apart, so only requests with all of them are blamed: others show which of the parts it is.
func groupParts(traits map[Fingerprint]*trait, tied []Fingerprint) []blame {
	var blames []blame
	for _, fingerprint := range tied {
		tr := traits[fingerprint]
		i := slices.IndexFunc(blames, func(b blame) bool { return tr.sameCrashes(traits[b.traits[0]]) })
		if tr.kind == partTrait && i >= 0 {
			blames[i].traits = append(blames[i].traits, fingerprint)
			continue
		}
		b := blame{traits: []Fingerprint{fingerprint}, crashes: len(tr.crashes)}
		for _, c := range tr.crashes {
			if b.first.IsZero() || c.seenAt.Before(b.first) {
				b.first = c.seenAt
			}
			if c.seenAt.After(b.last) {
				b.last = c.seenAt
			}
		}
		blames = append(blames, b)
	}
	return blames
}

func (tr *trait) sameCrashes(other *trait) bool {
	if tr.kind != other.kind || len(tr.crashes) != len(other.crashes) {
		return false
	}
	for target := range tr.crashes {
		if _, shared := other.crashes[target]; !shared {
			return false
		}
	}
	return true
}

func (f Fingerprint) compare(other Fingerprint) int {
	return cmp.Compare(string(f[:]), string(other[:]))
}
