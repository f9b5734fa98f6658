package usheradmit

import (
	"math/bits"
	"math/rand/v2"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
)

const (
	sampleAll         = 12 // targets that are all looked at
	sampleExtra       = 4  // targets looked at beyond the logarithm of their number
	curveLife         = 250 * time.Millisecond
	shapeSmoothing    = 0.02
	maxPrefixes       = 4_096
	targetsPerPrefix  = 4
	prefixLife        = 2 * time.Minute
	localityPerToken  = 0.00004 // share of the memory that one cached prompt token is worth
	spreadPenalty     = 0.05    // share of the memory that a prompt in computation counts as
	interactiveRecent = time.Minute
)

type (
	// Placement finds the target with the most room for a request. The zero value has no targets.
	// It looks at a sample of them whose size grows with the logarithm of their number, and at those
	// that are likely to have the request's prompt prefix cached.
	Placement struct {
		targets     []*targetView
		byID        map[string]*targetView
		prefixes    *lru.Cache[uint64, []prefixPlace] // where each prefix was used, newest last
		sequences   map[string]uint64                 // last cache event of each target
		random      *rand.Rand
		shape       curve // demand of running generations for each token that they hold now
		fresh       curve // demand of a typical new generation
		interactive time.Time
		memoryBound bool // the last request that was not placed lacked memory
	}

	prefixPlace struct {
		target string
		at     time.Time
	}

	// CacheEvent is one change of a target's prefix cache. Events come late and some are lost.
	CacheEvent struct {
		Sequence uint64
		Prefix   uint64
		Stored   bool // false: evicted
	}
)

func (p *Placement) init(seed uint64) {
	p.byID = make(map[string]*targetView)
	p.sequences = make(map[string]uint64)
	p.prefixes, _ = lru.New[uint64, []prefixPlace](maxPrefixes) // fails only for a size below one
	p.random = rand.New(rand.NewPCG(seed, seed))
	for i := range p.shape.mean {
		p.shape.mean[i] = 1 // until learned otherwise, what others hold stays
	}
}

func (p *Placement) add(t *targetView) {
	t.position = len(p.targets)
	p.targets = append(p.targets, t)
	p.byID[t.ID] = t
}

func (p *Placement) remove(t *targetView) {
	last := len(p.targets) - 1
	p.targets[t.position] = p.targets[last]
	p.targets[t.position].position = t.position
	p.targets = p.targets[:last]
	delete(p.byID, t.ID)
	delete(p.sequences, t.ID)
}

// choose returns the best target for a request, or nil if none that it looked at has room.
func (p *Placement) choose(now time.Time, o *Options, r Request, extra *curve, risk float64) *targetView {
	var best *targetView
	bestScore := 0.0
	p.memoryBound = false
	consider := func(t *targetView) {
		if !t.InService || t.ID == r.ExcludedTarget || now.Before(t.suspendedUntil) {
			return
		}
		score, fits := p.score(now, o, t, r, extra, risk)
		if fits && (best == nil || score > bestScore) {
			best, bestScore = t, score
		}
	}
	if !o.Without.Locality && r.Prefix != 0 {
		for _, place := range p.places(now, r.Prefix) {
			if t, known := p.byID[place.target]; known {
				consider(t)
			}
		}
	}
	for t := range p.sample() {
		consider(t)
	}
	return best
}

// sample yields every target if there are few, else a random sample of distinct neighbours.
func (p *Placement) sample() func(yield func(*targetView) bool) {
	return func(yield func(*targetView) bool) {
		n := len(p.targets)
		if n == 0 {
			return
		}
		count := min(n, max(sampleAll, sampleExtra+bits.Len(uint(n))))
		offset := p.random.IntN(n)
		stride := n / count
		for i := range count {
			if !yield(p.targets[(offset+i*stride)%n]) {
				return
			}
		}
	}
}

// score returns the share of the memory that a target would keep free with the request, and whether it may take it.
func (p *Placement) score(now time.Time, o *Options, t *targetView, r Request, extra *curve, risk float64) (float64, bool) {
	own := len(t.attempts)
	if t.Limit != Unlimited && own >= t.Limit {
		return 0, false
	}
	if t.MemoryTokens == 0 { // a plain service, or an engine that has not said what it bears
		return -float64(own), t.Limit != Unlimited || own < o.ColdLimit
	}
	if !o.Without.Warmth && t.cold() && own+t.othersNow(o) >= o.ColdLimit || r.PromptTokens >= t.MemoryTokens {
		return 0, false
	}
	p.update(now, o, t)
	load := &t.curve
	sequences := own + t.othersNow(o) + 1
	spare := o.Admission.spare(load, extra, t.MemoryTokens, risk)
	if spare < 0 && sequences > 1 {
		p.memoryBound = true
		return spare, false
	}
	step := o.Admission.step(sequences, load.peak+extra.peak, 1)
	if step > o.Admission.StepTarget && sequences > 1 {
		return 0, false
	}
	if t.Reserved && !o.Without.Light && now.Sub(p.interactive) < interactiveRecent {
		light := step-o.Admission.Step.Prompt <= o.LightStep
		switch {
		case r.Interactive && light:
			return 1 + spare, true
		case !r.Interactive:
			return 0, false
		}
	}
	if !o.Without.Locality && r.Prefix != 0 && p.cached(now, t.ID, r.Prefix) {
		spare += localityPerToken * float64(r.PrefixTokens)
	}
	if !o.Without.Spreading && now.Before(t.promptsUntil) {
		spare -= spreadPenalty
	}
	return spare, true
}

// update sums the demand on a target anew if it is out of date.
func (p *Placement) update(now time.Time, o *Options, t *targetView) {
	if !t.dirty && now.Sub(t.curveAt) < curveLife {
		return
	}
	t.dirty, t.curveAt = false, now
	t.curve = curve{}
	for _, a := range t.attempts {
		d := a.demand(now)
		o.Admission.add(&t.curve, &d)
	}
	if held := t.curve.mean[0]; held > 0 {
		for i := range o.Admission.horizons {
			p.shape.mean[i] += shapeSmoothing * (t.curve.mean[i]/held - p.shape.mean[i])
			p.shape.variance[i] += shapeSmoothing * (t.curve.variance[i]/held - p.shape.variance[i])
		}
	}
	if others := t.othersNow(o); others > 0 {
		grants := t.othersGrants()
		for i := range o.Admission.horizons {
			t.curve.mean[i] += t.othersTokens*p.shape.mean[i] + grants*p.fresh.mean[i]
			t.curve.variance[i] += t.othersTokens*p.shape.variance[i] + grants*p.fresh.variance[i]
			t.curve.peak = max(t.curve.peak, t.curve.mean[i])
		}
	}
}

// granted notes that a target was given a request.
func (p *Placement) granted(now time.Time, o *Options, t *targetView, r Request, extra *curve) {
	for i := range o.Admission.horizons {
		t.curve.mean[i] += extra.mean[i]
		t.curve.variance[i] += extra.variance[i]
		t.curve.peak = max(t.curve.peak, t.curve.mean[i])
		p.fresh.mean[i] += shapeSmoothing * (extra.mean[i] - p.fresh.mean[i])
		p.fresh.variance[i] += shapeSmoothing * (extra.variance[i] - p.fresh.variance[i])
	}
	p.fresh.peak += shapeSmoothing * (extra.peak - p.fresh.peak)
	t.grantsSince++
	if others := t.othersNow(o); others > 0 {
		t.dirty = true
	}
	computation := time.Duration(r.PromptTokens)*promptTokenComputation + t.step
	t.promptsUntil = maxTime(t.promptsUntil, now).Add(computation)
	if r.Prefix != 0 {
		p.note(now, t.ID, r.Prefix)
	}
}

// apply takes in a cache event. After a gap nothing that was known of the target's cache is believed.
func (p *Placement) apply(now time.Time, target string, event CacheEvent) {
	last := p.sequences[target]
	if event.Sequence <= last && event.Sequence != 1 {
		return
	}
	p.sequences[target] = event.Sequence
	if event.Sequence != last+1 {
		for _, prefix := range p.prefixes.Keys() {
			p.forget(target, prefix)
		}
	}
	if event.Stored {
		p.note(now, target, event.Prefix)
		return
	}
	p.forget(target, event.Prefix)
}

func (p *Placement) places(now time.Time, prefix uint64) []prefixPlace {
	places, _ := p.prefixes.Get(prefix)
	for len(places) > 0 && now.Sub(places[0].at) > prefixLife {
		places = places[1:]
	}
	return places
}

func (p *Placement) cached(now time.Time, target string, prefix uint64) bool {
	for _, place := range p.places(now, prefix) {
		if place.target == target {
			return true
		}
	}
	return false
}

func (p *Placement) note(now time.Time, target string, prefix uint64) {
	p.forget(target, prefix)
	places, _ := p.prefixes.Peek(prefix)
	if len(places) == targetsPerPrefix {
		places = places[1:]
	}
	p.prefixes.Add(prefix, append(places, prefixPlace{target: target, at: now}))
}

func (p *Placement) forget(target string, prefix uint64) {
	places, _ := p.prefixes.Peek(prefix)
	for i, place := range places {
		if place.target == target {
			p.prefixes.Add(prefix, append(places[:i:i], places[i+1:]...))
			return
		}
	}
}

func (t *targetView) othersNow(o *Options) int {
	if o.Without.Corrections {
		return 0
	}
	return t.others
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
