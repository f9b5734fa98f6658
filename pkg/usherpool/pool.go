// Package usherpool selects the target for each request.
//
// A Pool holds what one host knows of every target: its published entry, the load from this host and its peers, and the
// recent health as seen by this host. Targets are chosen for one request at a time, by least expected delay: queued
// work, shortage of KV cache memory, recent failures and distance. Targets that are leaving, evacuated or of another
// service are never chosen, and cold targets get at most this host's share of the request rate they tolerate.
//
// A Pool does no I/O and reads no clock. It is not safe for concurrent use.
//
// # Usage
//
//	pool := usherpool.New(usherpool.Options{DataCentre: "kochi", Random: random})
//	pool.Update(now, targets, evacuated, table, hosts)
//	choice, err := pool.Choose(now, usherpool.Request{Service: "appraiser", PromptTokens: 3000, OutputTokens: 900})
//	if err != nil {
//		return err // ErrNoTarget, ErrCold, ErrLimited, ErrFull
//	}
//	pool.AddLoad(choice.Target.ID, usherpool.Load{Streams: 1, Tokens: 3900})
//	pool.RecordResult(now, choice.Target.ID, usherpool.Answered)
package usherpool

import (
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/joomcode/errorx"

	"github.com/samphireusher/samphireusher/pkg/ushercatalog"
	"github.com/samphireusher/samphireusher/pkg/usherlength"
	"github.com/samphireusher/samphireusher/pkg/usherprefix"
	"github.com/samphireusher/samphireusher/pkg/usherroute"
	"github.com/samphireusher/samphireusher/pkg/usherspeed"
)

const (
	// loadLifetime is how long a peer's loads are valid after its last report. It spans several reports, since each of
	// them may be lost.
	loadLifetime = 2 * time.Second
	// prefillTokensPerMs is the rate at which engines process prompts alongside other work. Chunks of 112 tokens
	// alternate with decoding steps of about the same length, so it is half of the 14 tokens/ms in the users' data
	// sheets.
	prefillTokensPerMs = 7
	// sampleSize is how many targets are compared for a request in a large fleet. A host's view of the other hosts'
	// load is some hundred milliseconds old; if all hosts chose the best of all targets, they would send it all
	// requests of that time. In a small fleet a larger part of the load is the host's own, so smallSampleSize targets
	// are compared with up to smallFleetHosts hosts.
	sampleSize      = 5
	smallSampleSize = 8
	smallFleetHosts = 16
	// streamCost is the delay that a running stream adds to another one on the same engine during its first second.
	streamCost = 25 * time.Millisecond
	// callCost is the service time of one call to a plain service, from the users' data sheets.
	callCost = 15 * time.Millisecond
	// remoteCost is added for targets of other data centres. All else being equal, the host's own data centre is
	// preferred.
	remoteCost = 60 * time.Millisecond
	// shortageCost is the delay of a request whose KV cache does not fit into memory: it is preempted and its prompt is
	// processed again.
	shortageCost = 2 * time.Second
	// memoryShare is the fraction of an engine's KV cache that may be used before the engine counts as short of memory.
	// The rest is left for generations that grow beyond their estimated length.
	memoryShare = 0.92
	// backupShare is the fraction of an engine's KV cache up to which backup copies are accepted, as they are optional.
	// The rest is left to new and growing generations.
	backupShare = 0.6
	// sameDataCentreCost is added for a backup copy in the data centre of its generation, as a data centre may be lost
	// as a whole.
	sameDataCentreCost = 100 * time.Millisecond
	// remoteCopyFactor is the weight of a copy to another data centre. Such a copy occupies the link of its source for
	// twice as long, and the copies of the source's other generations have to wait.
	remoteCopyFactor = 3
	// pendingResumeCost diverts new prompts from engines where streams are about to resume. Processing a prompt there
	// would delay these streams for longer than the maximum pause promised to callers.
	pendingResumeCost = 150 * time.Millisecond
	// prefillWaitFactor is the ratio of the time to the first result to the prefill time on overloaded engines, where
	// prompts also wait for memory.
	prefillWaitFactor = 1.35
	// typicalPromptTokens is the prompt length in the users' data sheets.
	typicalPromptTokens = 2600
	// limitedCopyCost is added for a copy at a target that names a limit: a stream may have to wait there for a turn, or find none.
	limitedCopyCost = 2 * time.Second
	// failureCost is the delay of a request to a target that always fails.
	failureCost = 2 * time.Second
)

var (
	// Errors is the namespace of this package's errors.
	Errors = errorx.NewNamespace("usher_pool").ApplyModifiers(errorx.TypeModifierOmitStackTrace)
	// ErrNoTarget is the type of errors returned if no target of the service accepts work.
	ErrNoTarget = Errors.NewType("none")
	// ErrCold is the type of errors returned if the remaining targets are cold and have received this host's share of the
	// requests they tolerate.
	ErrCold = Errors.NewType("cold")
	// ErrLimited is the type of errors returned if the remaining targets have named a limit and it is not this host's turn.
	ErrLimited = Errors.NewType("limited")
	// ErrFull is the type of errors returned if every target is full.
	ErrFull = Errors.NewType("full")
)

type (
	// Options are the immutable settings of a pool.
	Options struct {
		// DataCentre is the data centre of this host.
		DataCentre string
		Random     *rand.Rand
		// WeighParts makes the pool count what targets keep of earlier prompts.
		WeighParts bool
	}

	// Request describes a request before it is sent.
	Request struct {
		Service string
		// PromptTokens and OutputTokens are zero for plain calls. OutputTokens is an estimate.
		PromptTokens int
		OutputTokens int
		// Copy requests a place for a copy of a generation's KV cache instead of for work.
		// SourceDataCentre is the data centre in which the generation runs.
		Copy             bool
		SourceDataCentre string
		// Backup requests unused memory for a copy that is kept until the generation ends. Other copies are made on
		// demand and needed as soon as possible.
		Backup bool
		// Objective is the time in which the first result should arrive, or zero if there is none.
		Objective time.Duration
		// DataCentre is the data centre of the host that relays the request; empty for the pool's own.
		DataCentre string
		// Exclude lists targets that must not be chosen.
		Exclude []string
		// Route and Workspace are the route and the workspace of a stream, Rank the route's priority; zero is the most urgent.
		Route     string
		Workspace string
		Rank      int
		// MaxPause is the longest pause between two events that still meets the objective; zero for no bound.
		MaxPause time.Duration
		// Events is the expected number of events.
		Events int
		// OutputHint and MaxOutputTokens are what the caller said of the output. From them, OutputTokens and Events are estimated anew where
		// lengths have been learned.
		OutputHint      int
		MaxOutputTokens int
		// expectedOutput is the length that is learned, zero if there is none.
		expectedOutput int
		// Parts are the parts of the prompt that other requests may share, in order.
		Parts []Part
	}

	// Part is a part of a prompt.
	Part = usherprefix.Part

	// Choice is the chosen target with the inputs of the decision.
	Choice struct {
		Target ushercatalog.Target
		// Learned is when this host learned the target's entry.
		Learned time.Time
		// Delay is the target's cost, expressed as a delay. PrefillTime is the time until the prompts queued at the
		// target and this one are processed.
		Delay       time.Duration
		PrefillTime time.Duration
		// Forecast is what was expected of the request at the target; zero for copies.
		Forecast Forecast
		// OutputTokens is the expected length of the output.
		OutputTokens int
		// Late reports that the first result is not expected within the objective.
		Late bool
		// Load is the known load on the target from all hosts.
		Load Load
		// Placer is the host that chose for the fleet; empty if the host that relays the request chose by itself.
		Placer string
		// Kept is what the target is expected to keep of the prompt.
		Kept Kept
		// HasTurn reports that the target has named a limit and that this request has used a turn.
		HasTurn bool
	}

	// Pool is one host's view of all targets.
	Pool struct {
		options Options
		targets map[string]*target
		table   *usherroute.Table
		peers   map[string]peerLoads
		hosts   int
		// place is the place of this host among hosts.
		place int
		// departed has the incarnations that said themselves that they are leaving, with the time at which their entry was
		// last published. ended is what EndedNotices returns next.
		departed map[incarnation]time.Time
		ended    []EndedNotice
		// resting has the rests of incarnations whose entry is missing. It may come back.
		resting map[incarnation]rest
		// limits has the limits of incarnations whose entry is missing.
		limits   map[incarnation]*limit
		prefixes usherprefix.View
		speeds   usherspeed.Tracker
		lengths  usherlength.Tracker
		// byService has the targets of each service, sorted by id.
		byService map[string][]*target
		// peerSums are the loads reported by peers as of peerSumsAt, see roomLoad.
		peerSums   map[*target]Load
		peerSumsAt time.Time
		// adopted has what another host has learned of the targets of a service.
		adopted map[string]adoptedSpeeds
		// speedsAt is when the speeds of a service's targets were last estimated.
		speedsAt map[string]time.Time
	}

	target struct {
		entry     ushercatalog.Target
		service   usherroute.Service
		learned   time.Time
		coldUntil time.Time
		// accepting reports whether new work may be sent.
		accepting bool
		// published reports whether its entry is there; targets where requests run are kept without.
		published bool
		evacuated bool
		// leaving is set if the target itself announced, after the entry was learned, that it is leaving.
		leaving bool
		own     Load
		cold    tokenBucket
		health  health
		rest    rest
		// limit is nil for a target that names none.
		limit *limit
		// reserved holds the choices made for other hosts, which they may not have reported yet.
		reserved []reservation
		prompts  promptQueue
		// expected holds the prompts that hosts may still report, see queuedPrompts.
		expected []expectedPrompt
		// speed is what was known of the target's speed at the time that the pool's speedsAt names.
		speed usherspeed.Estimate
	}
)

// New returns a pool without targets.
func New(options Options) *Pool {
	return &Pool{options: options, targets: map[string]*target{}, peers: map[string]peerLoads{}, hosts: 1, departed: map[incarnation]time.Time{}, resting: map[incarnation]rest{}, limits: map[incarnation]*limit{}, adopted: map[string]adoptedSpeeds{}}
}

// Update replaces the published targets, the evacuated data centres and the declarations. hosts is the number of hosts
// that share the request rate of cold targets. Targets that are no longer published get no new work and are removed
// once this host has nothing running there.
func (p *Pool) Update(now time.Time, published []ushercatalog.KnownEntry, evacuated func(dataCentre string) bool, table *usherroute.Table, hosts int) {
	changed := p.table != table || p.byService == nil
	p.table, p.hosts = table, max(hosts, 1)
	for _, t := range p.targets {
		t.accepting, t.published = false, false
	}
	for _, k := range published {
		entry := *k.Target
		t, known := p.targets[entry.ID]
		if !known || t.entry.Incarnation != entry.Incarnation || t.entry.Address != entry.Address {
			if known {
				p.keepLimit(now, t)
			}
			t = &target{cold: newTokenBucket(now, p.options.Random.Float64()), rest: p.resting[incarnationOf(entry)], limit: p.limits[incarnationOf(entry)]}
			delete(p.resting, incarnationOf(entry))
			delete(p.limits, incarnationOf(entry))
			p.targets[entry.ID], changed = t, true
		}
		if !t.learned.Equal(k.Learned) {
			t.coldUntil = k.Learned.Add(entry.ColdRemaining)
			t.leaving = false
		}
		changed = changed || t.entry.Service != entry.Service
		t.entry, t.learned, t.published = entry, k.Learned, true
		t.evacuated = evacuated(entry.DataCentre)
		_, departed := p.departed[incarnationOf(entry)]
		t.accepting = !entry.Leaving && !t.leaving && !t.evacuated && !departed
	}
	for id, t := range p.targets {
		if !t.accepting && t.own == (Load{}) && !slices.ContainsFunc(published, func(k ushercatalog.KnownEntry) bool { return k.Target.ID == id }) {
			delete(p.targets, id)
			changed = true
			if now.Before(t.rest.until) && len(p.resting) < maxDepartures {
				p.resting[incarnationOf(t.entry)] = t.rest
			}
			p.keepLimit(now, t)
		}
	}
	if changed {
		p.indexTargets()
	}
	p.sweepNotices(now)
	p.sweepLimits(now)
}

func (p *Pool) indexTargets() {
	p.byService, p.speedsAt = map[string][]*target{}, map[string]time.Time{}
	for _, t := range p.targets {
		t.service, _ = p.service(t.entry.Service)
		p.byService[t.entry.Service] = append(p.byService[t.entry.Service], t)
	}
	maps.DeleteFunc(p.adopted, func(service string, _ adoptedSpeeds) bool { return p.byService[service] == nil })
	for _, targets := range p.byService {
		slices.SortFunc(targets, func(a, b *target) int { return strings.Compare(a.entry.ID, b.entry.ID) })
	}
}

// MarkLeaving records that the given incarnation of a target announced, at the given time, that it is leaving, and reports
// whether this changes the pool's view. A newer entry takes precedence.
func (p *Pool) MarkLeaving(id string, incarnation int64, at time.Time) bool {
	t, known := p.targets[id]
	if !known || !t.accepting || t.entry.Incarnation != incarnation || !at.After(t.learned) {
		return false
	}
	t.leaving, t.accepting = true, false
	return true
}

// Accepts reports whether a target may be sent new work.
func (p *Pool) Accepts(id string) bool {
	t, known := p.targets[id]
	return known && t.accepting
}

// Target returns the entry of a known target, whether or not it accepts work.
func (p *Pool) Target(id string) (ushercatalog.Target, bool) {
	t, known := p.targets[id]
	if !known {
		return ushercatalog.Target{}, false
	}
	return t.entry, true
}

// Other returns another target of the same service, the first by name, whether or not it accepts work.
func (p *Pool) Other(than ushercatalog.Target) (ushercatalog.Target, bool) {
	var other ushercatalog.Target
	for id, t := range p.targets {
		if id != than.ID && t.entry.Service == than.Service && (other.ID == "" || id < other.ID) {
			other = t.entry
		}
	}
	return other, other.ID != ""
}

// Replaced reports whether another target, or a later start of this one, has the address of a target. The entry of an earlier one may
// outlast it and shows nothing.
func (p *Pool) Replaced(earlier ushercatalog.Target) bool {
	current, known := p.targets[earlier.ID]
	known = known && current.published && incarnationOf(current.entry) == incarnationOf(earlier)
	for _, t := range p.targets {
		later := !known || t.entry.Incarnation > earlier.Incarnation
		if t.published && t.entry.Address == earlier.Address && incarnationOf(t.entry) != incarnationOf(earlier) && later {
			return true
		}
	}
	return false
}

// Choose returns the target with the least expected delay for r. It counts as a request sent to a cold target.
func (p *Pool) Choose(now time.Time, r Request) (Choice, error) {
	r = p.estimateOutput(r)
	var best *target
	var choice Choice
	var plain plainChoice
	reason := ErrNoTarget
	considered := 0
	candidates := p.shuffledCandidates(now, r)
	p.preferKept(now, candidates, r)
	for _, t := range candidates {
		if !r.Copy && considered == p.sampleSize() && best != nil {
			break
		}
		if !r.Copy && p.isCold(now, t) && !t.cold.ready(now, p.coldRate(t)) {
			reason = ErrCold
			continue
		}
		if !r.Copy && !p.mayTake(now, t) {
			reason = ErrLimited
			continue
		}
		load := p.totalLoad(now, t)
		if p.isFull(t, r, load) {
			reason = ErrFull
			continue
		}
		considered++
		delay, saving := p.delay(now, t, r, load)
		plain.consider(t, delay+saving)
		if best == nil || delay < choice.Delay {
			best, choice = t, Choice{Target: t.entry, Learned: t.learned, Delay: delay, Load: load}
		}
	}
	if best == nil {
		return Choice{}, reason.New("no target of service %q accepts the request", r.Service)
	}
	choice = plain.otherwise(p.estimatePrefill(now, best, r, choice))
	return p.recordSend(now, best, r, choice), nil
}

// estimatePrefill sets the expected prefill time of the choice and whether it misses the objective.
func (p *Pool) estimatePrefill(now time.Time, t *target, r Request, c Choice) Choice {
	c.OutputTokens = r.OutputTokens
	if r.expectedOutput > 0 {
		c.OutputTokens = r.expectedOutput
	}
	if !r.Copy {
		c.Kept = p.kept(now, t, r, c.Load)
		r = r.without(c.Kept)
		speed := p.speed(now, t)
		queuedTokens := p.pendingPrefill(now, t, c.Load, speed)
		c.Forecast = p.forecast(now, t, r, c.Load)
		if r.PromptTokens == 0 {
			return c
		}
		c.PrefillTime = c.Forecast.FirstEvent
		// What is learned of the whole service includes the waits on overloaded engines.
		waitFactor := prefillWaitFactor / min(speed.Slowness(), prefillWaitFactor)
		// A prompt's own length must not make it late, or long prompts would always wait behind short ones.
		c.Late = r.Objective > 0 && time.Duration(waitFactor*float64(speed.Scale(PrefillTime(queuedTokens+typicalPromptTokens)))) > r.Objective
	}
	return c
}

// recordSend accounts for a request that this host is about to send, and returns the choice for it.
func (p *Pool) recordSend(now time.Time, t *target, r Request, c Choice) Choice {
	if r.Copy {
		return c
	}
	p.recordParts(now, t, r, c)
	r = r.without(c.Kept)
	if p.isCold(now, t) {
		t.cold.take()
	}
	t.rest.sent(now)
	if !c.Late {
		t.prompts.add(now, r.PromptTokens, p.speedOf(now, t))
	}
	c.HasTurn = t.limit != nil && p.takeTurn(now, t.limit)
	return c
}

// shuffledCandidates returns the targets that may be chosen, in random order.
func (p *Pool) shuffledCandidates(now time.Time, r Request) []*target {
	// The order must depend on the pool's random source only.
	candidates := make([]*target, 0, len(p.byService[r.Service]))
	for _, t := range p.byService[r.Service] {
		if t.accepting && !slices.Contains(r.Exclude, t.entry.ID) && !t.health.blocked(now) && t.rest.allows(now) {
			candidates = append(candidates, t)
		}
	}
	p.options.Random.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	return candidates
}

func (p *Pool) sampleSize() int {
	if p.hosts <= smallFleetHosts {
		return smallSampleSize
	}
	return sampleSize
}

// AddLoad adds load of this host to a target. The fields of l are negative when the work ends.
func (p *Pool) AddLoad(id string, l Load) {
	if t, known := p.targets[id]; known {
		t.own = t.own.plus(l)
	}
}

// isFull reports whether a target has no room for r.
func (p *Pool) isFull(t *target, r Request, load Load) bool {
	if !r.Copy {
		return false
	}
	if load.Streams+load.Copies >= t.entry.Slots {
		return true
	}
	used := load.Tokens + load.CopyTokens + r.PromptTokens + r.OutputTokens
	return r.Backup && float64(used) > backupShare*float64(p.usableMemoryTokens(t))/memoryShare
}

// delay estimates how long r would wait at t for its first result. saving is by how much that is less because of the parts of the prompt
// that t keeps.
func (p *Pool) delay(now time.Time, t *target, r Request, load Load) (delay, saving time.Duration) {
	saving = p.kept(now, t, r, load).Saving
	return p.delayWithoutKept(now, t, r, load) - saving, saving
}

// delayWithoutKept is delay for a target that keeps no part of the prompt.
func (p *Pool) delayWithoutKept(now time.Time, t *target, r Request, load Load) time.Duration {
	delay := time.Duration(t.health.failureRate(now) * float64(failureCost))
	if t.entry.DataCentre != p.origin(r) {
		delay += remoteCost
	}
	// Breaks ties between equal targets, so that hosts with the same view do not all choose the same target.
	delay += time.Duration(p.options.Random.Float64() * float64(time.Millisecond))
	if r.PromptTokens == 0 {
		return delay + p.callDelay(now, t, load)
	}
	tokens := r.PromptTokens + r.OutputTokens
	if r.Copy {
		delay += p.copyDelay(t, r, load)
		if t.limit != nil {
			delay += limitedCopyCost
		}
	} else {
		delay += time.Duration(load.Awaited) * pendingResumeCost
	}
	speed := p.speed(now, t)
	pending := p.pendingPrefill(now, t, load, speed)
	delay += speed.Scale(PrefillTime(pending)) + pauseCost(speed, r)
	if !r.Copy {
		// The time for the prompt itself is the same at all targets but for their speed.
		prompt := PrefillTime(r.PromptTokens)
		delay += speed.Scale(prompt) - prompt
	}
	delay += speed.Scale(time.Duration(load.Streams)*streamCost + time.Duration(load.Copies)*streamCost/4)
	if capacity := p.usableMemoryTokens(t); capacity > 0 {
		used := float64(load.Tokens+load.CopyTokens+tokens) / float64(capacity)
		delay += time.Duration(used * float64(100*time.Millisecond))
		if used > 1 {
			delay += time.Duration((used - 1) * float64(shortageCost))
		}
	}
	return delay
}

// origin returns the data centre of the host that relays r.
func (p *Pool) origin(r Request) string {
	if r.DataCentre == "" {
		return p.options.DataCentre
	}
	return r.DataCentre
}

// PrefillTime returns how long an engine takes to process prompt tokens alongside other work.
func PrefillTime(tokens int) time.Duration {
	return time.Duration(tokens/prefillTokensPerMs) * time.Millisecond
}

// usableMemoryTokens returns the number of tokens that an engine's KV cache can hold before it counts as short of memory.
func (p *Pool) usableMemoryTokens(t *target) int {
	if e := t.service.Engine; e != nil {
		return int(memoryShare * float64(e.MemoryTokens))
	}
	return 0
}

// copyDelay estimates the cost of a copy at t in addition to that of the load there.
func (p *Pool) copyDelay(t *target, r Request, load Load) time.Duration {
	sameDataCentre := t.entry.DataCentre == r.SourceDataCentre
	if r.Backup {
		// A backup copy in another data centre survives the loss of the source's data centre.
		if sameDataCentre {
			return sameDataCentreCost
		}
		return 0
	}
	// Copies queue on the links of both engines and take twice as long between data centres. Other hosts learn of a
	// reclaimed engine at the same moment and choose before they hear of this choice, so a random term spreads the
	// copies.
	queued := load.Incoming + int(p.options.Random.Float64()*float64(r.PromptTokens+r.OutputTokens))
	if !sameDataCentre {
		queued += remoteCopyFactor * (r.PromptTokens + r.OutputTokens)
	}
	return time.Duration(queued) * p.copyTimePerToken(t)
}

// copyTimePerToken returns how long copying the KV cache of one token takes within a data centre.
func (p *Pool) copyTimePerToken(t *target) time.Duration {
	if e := t.service.Engine; e != nil {
		return e.TokenCopyTime
	}
	return 0
}

func (p *Pool) service(name string) (usherroute.Service, bool) {
	if p.table == nil {
		return usherroute.Service{}, false
	}
	return p.table.Service(name)
}
