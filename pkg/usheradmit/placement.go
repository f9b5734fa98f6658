package usheradmit

import (
	"math/bits"
	"math/rand/v2"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
)

const (
	minSampleSize     = 12 // minimum number of targets sampled; smaller fleets are searched completely
	sampleExtra       = 4  // targets sampled in addition to the logarithm of their number
	forecastLifetime  = 250 * time.Millisecond
	forecastSmoothing = 0.02
	maxPrefixes       = 4_096
	targetsPerPrefix  = 4
	prefixLifetime    = 2 * time.Minute
	localityPerToken  = 0.00004     // score bonus per cached prompt token, as a share of memory
	prefillPenalty    = 0.05        // score penalty while a target processes a prompt, as a share of memory
	interactiveWindow = time.Minute // time after the last interactive request for which targets stay reserved
)

type (
	// Placement selects the target with the most free memory for a request. It considers a sample of the targets whose
	// size grows with the logarithm of their number, and the targets that probably have the request's prompt prefix
	// cached.
	Placement struct {
		targets          []*targetState
		byID             map[string]*targetState
		prefixes         *lru.Cache[uint64, []prefixLocation] // targets that used each prefix, most recent last
		lastSequences    map[string]uint64                    // sequence number of the last cache event of each target
		random           *rand.Rand
		forecastPerToken forecast // forecast of running generations per token that they hold now
		typicalRequest   forecast // forecast of a typical new generation
		lastInteractive  time.Time
		memoryBound      bool // whether a target was rejected for lack of memory in the last call of choose
	}

	prefixLocation struct {
		target string
		at     time.Time
	}

	// CacheEvent is a change of a target's prefix cache. Events may arrive late or be lost.
	CacheEvent struct {
		Sequence uint64
		Prefix   uint64
		Stored   bool // false: evicted
	}
)

func (p *Placement) init(seed uint64) {
	p.byID = make(map[string]*targetState)
	p.lastSequences = make(map[string]uint64)
	p.prefixes, _ = lru.New[uint64, []prefixLocation](maxPrefixes) // fails only for a size below one
	p.random = rand.New(rand.NewPCG(seed, seed))
	for i := range p.forecastPerToken.mean {
		p.forecastPerToken.mean[i] = 1 // until there are observations, assume that the memory of other schedulers' generations stays constant
	}
}

func (p *Placement) add(t *targetState) {
	t.position = len(p.targets)
	p.targets = append(p.targets, t)
	p.byID[t.ID] = t
}

func (p *Placement) remove(t *targetState) {
	last := len(p.targets) - 1
	p.targets[t.position] = p.targets[last]
	p.targets[t.position].position = t.position
	p.targets = p.targets[:last]
	delete(p.byID, t.ID)
	delete(p.lastSequences, t.ID)
}

// choose returns the best target for a request, or nil if none of the considered targets can take it.
func (p *Placement) choose(now time.Time, o *Options, r Request, extra *forecast, risk float64) *targetState {
	var best *targetState
	bestScore := 0.0
	p.memoryBound = false
	consider := func(t *targetState) {
		if !t.InService || t.ID == r.ExcludedTarget || now.Before(t.suspendedUntil) {
			return
		}
		score, fits := p.score(now, o, t, r, extra, risk)
		if fits && (best == nil || score > bestScore) {
			best, bestScore = t, score
		}
	}
	if !o.Without.Locality && r.Prefix != 0 {
		for _, location := range p.prefixLocations(now, r.Prefix) {
			if t, known := p.byID[location.target]; known {
				consider(t)
			}
		}
	}
	for t := range p.sample() {
		consider(t)
	}
	return best
}

// sample yields all targets if there are few, else a sample at equal intervals from a random offset.
func (p *Placement) sample() func(yield func(*targetState) bool) {
	return func(yield func(*targetState) bool) {
		n := len(p.targets)
		if n == 0 {
			return
		}
		count := min(n, max(minSampleSize, sampleExtra+bits.Len(uint(n))))
		offset := p.random.IntN(n)
		stride := n / count
		for i := range count {
			if !yield(p.targets[(offset+i*stride)%n]) {
				return
			}
		}
	}
}

// score returns the score of a target for the request, and whether the target can take it. The score is the share of its
// memory that stays free with the request, adjusted for reserved targets, cached prefixes and prompts in progress.
func (p *Placement) score(now time.Time, o *Options, t *targetState, r Request, extra *forecast, risk float64) (float64, bool) {
	own := len(t.attempts)
	if t.Limit != Unlimited && own >= t.Limit {
		return 0, false
	}
	if t.MemoryTokens == 0 { // a plain service, or an engine whose memory size is not known
		return -float64(own), t.Limit != Unlimited || own < o.ColdLimit
	}
	if !o.Without.WarmUp && t.isCold() && own+t.countedForeign(o) >= o.ColdLimit || r.PromptTokens >= t.MemoryTokens {
		return 0, false
	}
	p.updateForecast(now, o, t)
	load := &t.forecast
	sequences := own + t.countedForeign(o) + 1
	free := o.Admission.freeShare(load, extra, t.MemoryTokens, risk)
	if free < 0 && sequences > 1 {
		p.memoryBound = true
		return free, false
	}
	step := o.Admission.step(sequences, load.peak+extra.peak, 1)
	if step > o.Admission.MaxStepTime && sequences > 1 {
		return 0, false
	}
	if t.Reserved && !o.Without.ReservedTargets && now.Sub(p.lastInteractive) < interactiveWindow {
		fast := step-o.Admission.Step.Prompt <= o.ReservedMaxStep
		switch {
		case r.Interactive && fast:
			return 1 + free, true
		case !r.Interactive:
			return 0, false
		}
	}
	if !o.Without.Locality && r.Prefix != 0 && p.cached(now, t.ID, r.Prefix) {
		free += localityPerToken * float64(r.PrefixTokens)
	}
	if !o.Without.Spreading && now.Before(t.prefillUntil) {
		free -= prefillPenalty
	}
	return free, true
}

// updateForecast recomputes the forecast of a target if it is out of date.
func (p *Placement) updateForecast(now time.Time, o *Options, t *targetState) {
	if !t.dirty && now.Sub(t.forecastAt) < forecastLifetime {
		return
	}
	t.dirty, t.forecastAt = false, now
	t.forecast = forecast{}
	for _, a := range t.attempts {
		d := a.demand(now)
		o.Admission.add(&t.forecast, &d)
	}
	if current := t.forecast.mean[0]; current > 0 {
		for i := range o.Admission.horizons {
			p.forecastPerToken.mean[i] += forecastSmoothing * (t.forecast.mean[i]/current - p.forecastPerToken.mean[i])
			p.forecastPerToken.variance[i] += forecastSmoothing * (t.forecast.variance[i]/current - p.forecastPerToken.variance[i])
		}
	}
	if foreign := t.countedForeign(o); foreign > 0 {
		assignments := t.estimateForeignAssignments()
		for i := range o.Admission.horizons {
			t.forecast.mean[i] += t.foreignTokens*p.forecastPerToken.mean[i] + assignments*p.typicalRequest.mean[i]
			t.forecast.variance[i] += t.foreignTokens*p.forecastPerToken.variance[i] + assignments*p.typicalRequest.variance[i]
			t.forecast.peak = max(t.forecast.peak, t.forecast.mean[i])
		}
	}
}

// recordAssignment records that a request was assigned to a target.
func (p *Placement) recordAssignment(now time.Time, o *Options, t *targetState, r Request, extra *forecast) {
	for i := range o.Admission.horizons {
		t.forecast.mean[i] += extra.mean[i]
		t.forecast.variance[i] += extra.variance[i]
		t.forecast.peak = max(t.forecast.peak, t.forecast.mean[i])
		p.typicalRequest.mean[i] += forecastSmoothing * (extra.mean[i] - p.typicalRequest.mean[i])
		p.typicalRequest.variance[i] += forecastSmoothing * (extra.variance[i] - p.typicalRequest.variance[i])
	}
	p.typicalRequest.peak += forecastSmoothing * (extra.peak - p.typicalRequest.peak)
	t.assignmentsSince++
	if foreign := t.countedForeign(o); foreign > 0 {
		t.dirty = true
	}
	prefill := time.Duration(r.PromptTokens)*prefillTimePerToken + t.step
	t.prefillUntil = maxTime(t.prefillUntil, now).Add(prefill)
	if r.Prefix != 0 {
		p.recordPrefix(now, t.ID, r.Prefix)
	}
}

// applyCacheEvent applies a cache event. After a gap in the sequence it discards everything known about the target's cache.
func (p *Placement) applyCacheEvent(now time.Time, target string, event CacheEvent) {
	last := p.lastSequences[target]
	if event.Sequence <= last && event.Sequence != 1 {
		return
	}
	p.lastSequences[target] = event.Sequence
	if event.Sequence != last+1 {
		for _, prefix := range p.prefixes.Keys() {
			p.removePrefix(target, prefix)
		}
	}
	if event.Stored {
		p.recordPrefix(now, target, event.Prefix)
		return
	}
	p.removePrefix(target, event.Prefix)
}

func (p *Placement) prefixLocations(now time.Time, prefix uint64) []prefixLocation {
	locations, _ := p.prefixes.Get(prefix)
	for len(locations) > 0 && now.Sub(locations[0].at) > prefixLifetime {
		locations = locations[1:]
	}
	return locations
}

func (p *Placement) cached(now time.Time, target string, prefix uint64) bool {
	for _, location := range p.prefixLocations(now, prefix) {
		if location.target == target {
			return true
		}
	}
	return false
}

func (p *Placement) recordPrefix(now time.Time, target string, prefix uint64) {
	p.removePrefix(target, prefix)
	locations, _ := p.prefixes.Peek(prefix)
	if len(locations) == targetsPerPrefix {
		locations = locations[1:]
	}
	p.prefixes.Add(prefix, append(locations, prefixLocation{target: target, at: now}))
}

func (p *Placement) removePrefix(target string, prefix uint64) {
	locations, _ := p.prefixes.Peek(prefix)
	for i, location := range locations {
		if location.target == target {
			p.prefixes.Add(prefix, append(locations[:i:i], locations[i+1:]...))
			return
		}
	}
}

// countedForeign returns the number of other schedulers' generations on the target, or zero if they are ignored.
func (t *targetState) countedForeign(o *Options) int {
	if o.Without.ForeignLoad {
		return 0
	}
	return t.foreign
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
