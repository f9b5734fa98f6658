// Package usherpool decides which target a request is sent to.
//
// A Pool holds what one host knows of every target: the published entry, what this host and its peers have running
// there, and how its answers have been lately. Choices are made for one request at a time by expected delay: the work
// that is ahead of it, memory that would run short, recent failures, distance. Targets that are leaving, evacuated or
// of another service are never chosen, and cold targets get at most this host's part of what they tolerate.
//
// A Pool does no I/O and reads no clock. It is not safe for concurrent use.
//
// # Usage
//
//	pool := usherpool.New(usherpool.Options{DataCentre: "kochi", Random: random})
//	pool.Update(now, targets, evacuated, table, hosts)
//	choice, err := pool.Choose(now, usherpool.Request{Service: "appraiser", PromptTokens: 3000, OutputTokens: 900})
//	if err != nil {
//		return err // ErrNone, ErrCold, ErrFull
//	}
//	pool.Add(choice.Target.ID, usherpool.Load{Streams: 1, Tokens: 3900})
//	pool.Observe(now, choice.Target.ID, usherpool.Answered)
package usherpool

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/joomcode/errorx"

	"github.com/samphireusher/samphireusher/pkg/ushercatalog"
	"github.com/samphireusher/samphireusher/pkg/usherroute"
)

const (
	// loadLifetime is how long a peer's loads count after it was last heard: several of its reports, each of which may
	// be lost on the way.
	loadLifetime = 2 * time.Second
	// prefillTokensPerMs is the rate at which engines read prompts beside other work: chunks of 112 tokens alternate with
	// steps of about the same length, so half of the 14 on the users' sheets.
	prefillTokensPerMs = 7
	// sampleSize is how many targets are compared for a request in a fleet of many hosts. What a host knows of the others'
	// work is some hundred milliseconds old, and hosts that all chose the best of all would send it the work of that
	// time together. In a fleet of few hosts more of what runs is a host's own work, and more targets are compared.
	sampleSize      = 5
	smallSampleSize = 8
	fewHosts        = 16
	// streamCost is how much a running stream delays another one at the same engine, over its first second.
	streamCost = 25 * time.Millisecond
	// callCost is the service time of one call at a plain service, from the users' sheets.
	callCost = 15 * time.Millisecond
	// distanceCost prefers targets of the host's own data centre where nothing else differs.
	distanceCost = 60 * time.Millisecond
	// shortageCost is the delay of a request whose memory does not fit: a preempted request is read in again.
	shortageCost = 2 * time.Second
	// memoryShare is the part of an engine's memory that is filled before it counts as short. The rest is room for
	// lengths beyond their estimates.
	memoryShare = 0.92
	// spareShare is the part of an engine's memory up to which copies are kept that may also not be made. The rest is
	// left to generations that come and grow.
	spareShare = 0.6
	// sameSiteCost is against a copy that is kept in the data centre of its run, which may be lost as a whole.
	sameSiteCost = 100 * time.Millisecond
	// farCopyFactor weighs a copy to another data centre: it keeps the link of its source busy for twice as long, and
	// the copies of the other runs there wait.
	farCopyFactor = 3
	// awaitedCost keeps new prompts away from where streams are about to go on: reading a prompt there would hold them
	// up for longer than the pauses that callers are promised.
	awaitedCost = 150 * time.Millisecond
	// waitFactor times the reading of prompts is what a first result takes on crowded engines, where prompts also wait for
	// memory: 2.0 s at the median where 1.45 s are read, on the day scale-2 of himig-loans-grown.
	waitFactor = 1.35
	// usualPrompt is the length of prompts on the users' sheets, in tokens.
	usualPrompt = 2600
	// failureCost is the delay that a request meets at a target that always fails.
	failureCost = 2 * time.Second
)

var (
	// Errors is the namespace of this package's errors.
	Errors = errorx.NewNamespace("usher_pool").ApplyModifiers(errorx.TypeModifierOmitStackTrace)
	// ErrNone is the type of errors where no target of the service accepts work.
	ErrNone = Errors.NewType("none")
	// ErrCold is the type of errors where targets are cold and have had this host's part of what they tolerate.
	ErrCold = Errors.NewType("cold")
	// ErrFull is the type of errors where every target has all places taken.
	ErrFull = Errors.NewType("full")
)

type (
	// Options are fixed for the life of a pool.
	Options struct {
		// DataCentre is where this host is.
		DataCentre string
		Random     *rand.Rand
	}

	// Request is what is known of a request before it is sent.
	Request struct {
		Service string
		// PromptTokens and OutputTokens are zero for plain calls. OutputTokens is an estimate.
		PromptTokens int
		OutputTokens int
		// Copy asks for a place for a copy of a run's memory, not for work; Source is the data centre of the run.
		Copy   bool
		Source string
		// Backup asks for memory that nobody needs, for a copy that is kept until the run ends. Other copies are wanted
		// as soon as possible.
		Backup bool
		// Objective is the time in which the first result should come; zero if there is none.
		Objective time.Duration
		// DataCentre is where the host is that relays the request; empty for the pool's own.
		DataCentre string
		// Exclude names targets that are not to be chosen.
		Exclude []string
	}

	// Choice is the target chosen, with the inputs that decided it.
	Choice struct {
		Target ushercatalog.Target
		// Learned is when this host learned the target's entry.
		Learned time.Time
		// Delay is what is against the target, as a time, and PrefillTime the time in which prompts are read up to this one.
		Delay       time.Duration
		PrefillTime time.Duration
		// Late says that the first result is not expected within the time that was asked for.
		Late bool
		// Load is what was known to run there, at all hosts.
		Load Load
		// Placer is the host that chose for the fleet; empty if the one that relays the request chose by itself.
		Placer string
	}

	// Pool is what one host knows of all targets.
	Pool struct {
		options Options
		targets map[string]*target
		table   *usherroute.Table
		peers   map[string]peerLoads
		hosts   int
	}

	target struct {
		entry     ushercatalog.Target
		learned   time.Time
		coldUntil time.Time
		// open says that new work may be sent.
		open      bool
		evacuated bool
		// leaving says that the target itself told that it leaves, after the entry was learned.
		leaving bool
		own     Load
		cold    bucket
		health  health
		// reserved is what other hosts were told to send here and may not have reported yet.
		reserved []reservation
		prompts  promptQueue
	}
)

// New returns a pool that knows no target.
func New(options Options) *Pool {
	return &Pool{options: options, targets: map[string]*target{}, peers: map[string]peerLoads{}, hosts: 1}
}

// Update takes in the published targets, the evacuated data centres and the declarations. Hosts is how many hosts share
// what cold targets tolerate. Targets that are no longer published get no new work, and are forgotten once this host
// has nothing running there.
func (p *Pool) Update(now time.Time, published []ushercatalog.KnownEntry, evacuated func(dataCentre string) bool, table *usherroute.Table, hosts int) {
	p.table, p.hosts = table, max(hosts, 1)
	for _, t := range p.targets {
		t.open = false
	}
	for _, k := range published {
		entry := *k.Target
		t, known := p.targets[entry.ID]
		if !known || t.entry.Incarnation != entry.Incarnation || t.entry.Address != entry.Address {
			t = &target{cold: newBucket(now, p.options.Random.Float64())}
			p.targets[entry.ID] = t
		}
		if !t.learned.Equal(k.Learned) {
			t.coldUntil = k.Learned.Add(entry.ColdRemaining)
			t.leaving = false
		}
		t.entry, t.learned = entry, k.Learned
		t.evacuated = evacuated(entry.DataCentre)
		t.open = !entry.Leaving && !t.leaving && !t.evacuated
	}
	for id, t := range p.targets {
		if !t.open && t.own == (Load{}) && !slices.ContainsFunc(published, func(k ushercatalog.KnownEntry) bool { return k.Target.ID == id }) {
			delete(p.targets, id)
		}
	}
}

// MarkLeaving records that a start of a target said of itself, at a time, that it leaves; it tells whether that is news. A
// newer entry goes before it.
func (p *Pool) MarkLeaving(id string, incarnation int64, at time.Time) bool {
	t, known := p.targets[id]
	if !known || !t.open || t.entry.Incarnation != incarnation || !at.After(t.learned) {
		return false
	}
	t.leaving, t.open = true, false
	return true
}

// Accepts tells whether a target may be sent new work.
func (p *Pool) Accepts(id string) bool {
	t, known := p.targets[id]
	return known && t.open
}

// Target returns the entry of a target that is still known.
func (p *Pool) Target(id string) (ushercatalog.Target, bool) {
	t, known := p.targets[id]
	if !known {
		return ushercatalog.Target{}, false
	}
	return t.entry, true
}

// Choose returns the target with the least expected delay for r. It counts as a send to a cold target.
func (p *Pool) Choose(now time.Time, r Request) (Choice, error) {
	var best *target
	var choice Choice
	reason := ErrNone
	considered := 0
	for _, t := range p.shuffled(now, r) {
		if !r.Copy && considered == p.sampleSize() && best != nil {
			break
		}
		if !r.Copy && p.isCold(now, t) && !t.cold.ready(now, p.coldRate(t)) {
			reason = ErrCold
			continue
		}
		load := p.load(now, t)
		if p.full(t, r, load) {
			reason = ErrFull
			continue
		}
		considered++
		delay := p.delay(now, t, r, load)
		if best == nil || delay < choice.Delay {
			best, choice = t, Choice{Target: t.entry, Learned: t.learned, Delay: delay, Load: load}
		}
	}
	if best == nil {
		return Choice{}, reason.New("no target of service %q accepts the request", r.Service)
	}
	choice = p.expect(now, best, r, choice)
	p.sent(now, best, r, choice)
	return choice, nil
}

// expect tells when the first result of a generation can be expected.
func (p *Pool) expect(now time.Time, t *target, r Request, c Choice) Choice {
	if !r.Copy {
		before := p.unread(now, t, c.Load)
		c.PrefillTime = PrefillTime(before + r.PromptTokens)
		// By its own length no prompt is late, or long ones would always wait behind short ones.
		c.Late = r.Objective > 0 && time.Duration(waitFactor*float64(PrefillTime(before+usualPrompt))) > r.Objective
	}
	return c
}

// sent counts a send of this host.
func (p *Pool) sent(now time.Time, t *target, r Request, c Choice) {
	if r.Copy {
		return
	}
	if p.isCold(now, t) {
		t.cold.take()
	}
	if !c.Late {
		t.prompts.add(now, r.PromptTokens)
	}
}

// shuffled returns the targets that may be chosen, in random order.
func (p *Pool) shuffled(now time.Time, r Request) []*target {
	var candidates []*target
	for _, t := range p.targets {
		if t.entry.Service == r.Service && t.open && !slices.Contains(r.Exclude, t.entry.ID) && !t.health.blocked(now) {
			candidates = append(candidates, t)
		}
	}
	// The order of a map is random, but not the one of the pool's source.
	slices.SortFunc(candidates, func(a, b *target) int { return strings.Compare(a.entry.ID, b.entry.ID) })
	p.options.Random.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	return candidates
}

func (p *Pool) sampleSize() int {
	if p.hosts <= fewHosts {
		return smallSampleSize
	}
	return sampleSize
}

// Add adds work of this host to a target; the parts of l are negative at its end.
func (p *Pool) Add(id string, l Load) {
	if t, known := p.targets[id]; known {
		t.own = t.own.plus(l)
	}
}

// full tells whether a target has no place left for r.
func (p *Pool) full(t *target, r Request, load Load) bool {
	if !r.Copy {
		return false
	}
	if load.Streams+load.Copies >= t.entry.Slots {
		return true
	}
	used := load.Tokens + load.CopyTokens + r.PromptTokens + r.OutputTokens
	return r.Backup && float64(used) > spareShare*float64(p.memory(t))/memoryShare
}

// delay estimates how long r would wait at t before its first result.
func (p *Pool) delay(now time.Time, t *target, r Request, load Load) time.Duration {
	delay := time.Duration(t.health.failureRate(now) * float64(failureCost))
	if t.entry.DataCentre != p.origin(r) {
		delay += distanceCost
	}
	// Breaks ties between equal targets, so that hosts with one view do not all choose the same.
	delay += time.Duration(p.options.Random.Float64() * float64(time.Millisecond))
	if r.PromptTokens == 0 {
		return delay + time.Duration(load.Calls)*callCost/time.Duration(max(t.entry.Slots, 1))
	}
	tokens := r.PromptTokens + r.OutputTokens
	if r.Copy {
		delay += p.copyDelay(t, r, load)
	} else {
		delay += time.Duration(load.Awaited) * awaitedCost
	}
	delay += PrefillTime(p.unread(now, t, load))
	delay += time.Duration(load.Streams)*streamCost + time.Duration(load.Copies)*streamCost/4
	if room := p.memory(t); room > 0 {
		used := float64(load.Tokens+load.CopyTokens+tokens) / float64(room)
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

// PrefillTime returns how long an engine takes to read prompt tokens beside other work.
func PrefillTime(tokens int) time.Duration {
	return time.Duration(tokens/prefillTokensPerMs) * time.Millisecond
}

// memory returns how many tokens an engine holds before it counts as short.
func (p *Pool) memory(t *target) int {
	if s, ok := p.service(t.entry.Service); ok && s.Engine != nil {
		return int(memoryShare * float64(s.Engine.MemoryTokens))
	}
	return 0
}

// copyDelay estimates what is against a copy at t beside the load there.
func (p *Pool) copyDelay(t *target, r Request, load Load) time.Duration {
	near := t.entry.DataCentre == r.Source
	if r.Backup {
		// A copy that is kept survives the loss of a data centre if it is elsewhere.
		if near {
			return sameSiteCost
		}
		return 0
	}
	// Copies queue on the links of both engines, and take twice as long between data centres. Other hosts learn of a
	// reclaimed engine at the same moment and choose before they hear of this choice, so chance spreads them.
	queued := load.Incoming + int(p.options.Random.Float64()*float64(r.PromptTokens+r.OutputTokens))
	if !near {
		queued += farCopyFactor * (r.PromptTokens + r.OutputTokens)
	}
	return time.Duration(queued) * p.copyTime(t)
}

// copyTime returns how long a copy takes for each token within a data centre.
func (p *Pool) copyTime(t *target) time.Duration {
	if s, ok := p.service(t.entry.Service); ok && s.Engine != nil {
		return s.Engine.TokenCopyTime
	}
	return 0
}

func (p *Pool) service(name string) (usherroute.Service, bool) {
	if p.table == nil {
		return usherroute.Service{}, false
	}
	return p.table.Service(name)
}
