package usherexperiment

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"

	"github.com/samphireusher/samphireusher/pkg/usheradmit"
	"github.com/samphireusher/samphireusher/standin/ushermodel"
)

const (
	tickInterval    = 5 * time.Millisecond
	summaryInterval = 250 * time.Millisecond
	restartTime     = 2 * time.Second
	noticeDelay     = time.Second // until a published change reaches a scheduler
	randomStream    = 1
	learnedAtStart  = 2_000 // generations of each kind whose length a scheduler knows at the start
	completedBefore = 1_000 // generations of an engine that is warm at the start
	gateways        = 9
)

type (
	// simulation plays one scenario with one policy.
	simulation struct {
		scenario   Scenario
		random     *rand.Rand // of the arrivals: equal for all policies
		network    *rand.Rand // of lost reports
		now        time.Duration
		events     eventHeap
		sequence   uint64
		engines    []*engine
		schedulers []policy
		routers    []usheradmit.Router // of the gateways; empty if there is nothing to choose
		jobs       []job
		meter      *meter
		oracle     bool
	}

	engine struct {
		*ushermodel.Engine
		id       string
		index    int
		stepping bool
		jobs     []int // in progress
	}

	// job is one request and its attempts.
	job struct {
		arrival
		at        time.Duration
		gateway   int // that the caller connected to
		scheduler int
		attempts  int
		attempt   string // the latest
		engine    int
		position  int           // among the jobs of the engine
		first     time.Duration // first token, if it is measured
		last      time.Duration // latest token of this attempt; zero before
		made      int
		done      bool
	}

	event struct {
		at       time.Duration
		sequence uint64
		run      func()
	}

	eventHeap []event
)

func newSimulation(s Scenario, policyName string, seed uint64, newPolicy func() policy) *simulation {
	sim := &simulation{
		scenario: s, meter: newMeter(&s), oracle: policyName == PolicyOracle,
		random: rand.New(rand.NewPCG(seed, randomStream)), network: rand.New(rand.NewPCG(seed, randomStream+1)),
	}
	for range max(s.Schedulers, 1) {
		sim.schedulers = append(sim.schedulers, newPolicy())
	}
	if !s.Shared && s.Schedulers > 1 {
		for i := range s.Schedulers {
			sim.routers = append(sim.routers, usheradmit.Router{Local: strconv.Itoa(i), Seed: seed + uint64(i)})
		}
	}
	for i := range s.Engines {
		sim.engines = append(sim.engines, &engine{
			Engine: ushermodel.New(ushermodel.Options{Completed: completedBefore}), id: strconv.Itoa(i), index: i,
		})
		sim.publish(i, true)
	}
	return sim
}

// run plays the scenario to its end.
func (sim *simulation) run() Result {
	end := sim.scenario.Warmup + sim.scenario.Duration
	sim.schedule()
	for len(sim.events) > 0 {
		e := heap.Pop(&sim.events).(event)
		if e.at >= end {
			break
		}
		sim.now = e.at
		e.run()
	}
	sim.meter.roll(end)
	return sim.meter.finish()
}

// schedule sets up what happens by itself.
func (sim *simulation) schedule() {
	s := &sim.scenario
	for range learnedAtStart {
		for _, a := range []arrival{s.draw(sim.random, 0), s.drawContinued(sim.random), drawLookup(sim.random)} {
			for _, scheduler := range sim.schedulers {
				scheduler.Learn(strconv.Itoa(a.workspace), a.template.name, a.output)
			}
		}
	}
	running := s.runningAtStart()
	for i := range running {
		sim.after(time.Second+startInterval*time.Duration(i)/time.Duration(running), func() { sim.accept(s.drawContinued(sim.random)) })
	}
	sim.arrive()
	sim.every(tickInterval, sim.tick)
	sim.every(progressInterval, sim.progress)
	for i := range sim.engines {
		offset := reportInterval * time.Duration(i) / time.Duration(len(sim.engines))
		sim.after(offset, func() { sim.every(reportInterval, func() { sim.report(sim.engines[i]) }) })
	}
	if len(sim.routers) > 0 {
		sim.every(summaryInterval, sim.summarise)
	}
	if s.Lookups > 0 {
		sim.arriveLookup()
	}
	if s.ColdAt > 0 {
		sim.after(s.ColdAt, func() { sim.restartHalf() })
	}
	if s.OutAt > 0 {
		sim.after(s.OutAt+noticeDelay, func() { sim.setDataCentre(false) })
		sim.after(s.BackAt+noticeDelay, func() { sim.setDataCentre(true) })
	}
}

func (sim *simulation) after(delay time.Duration, run func()) {
	sim.at(sim.now+delay, run)
}

func (sim *simulation) at(at time.Duration, run func()) {
	sim.sequence++
	heap.Push(&sim.events, event{at: at, sequence: sim.sequence, run: run})
}

func (sim *simulation) every(interval time.Duration, run func()) {
	sim.after(interval, func() {
		run()
		sim.every(interval, run)
	})
}

func (sim *simulation) clock() time.Time { return time.Unix(0, int64(sim.now)) }

func (sim *simulation) arrive() {
	rate := sim.scenario.rateAt(sim.now)
	if rate <= 0 {
		return
	}
	sim.after(time.Duration(sim.random.ExpFloat64()/rate*float64(time.Second)), func() {
		sim.accept(sim.scenario.draw(sim.random, sim.now))
		sim.arrive()
	})
}

func (sim *simulation) arriveLookup() {
	sim.after(time.Duration(sim.random.ExpFloat64()/sim.scenario.Lookups*float64(time.Second)), func() {
		sim.accept(drawLookup(sim.random))
		sim.arriveLookup()
	})
}

func (sim *simulation) accept(a arrival) {
	sim.jobs = append(sim.jobs, job{arrival: a, at: sim.now, gateway: sim.random.IntN(gateways), engine: -1})
	if sim.meter.measures(sim.now) {
		sim.meter.result.Offered++
		sim.meter.asked[a.workspace]++
	}
	sim.offer(len(sim.jobs)-1, false)
}

func (sim *simulation) offer(id int, retry bool) {
	j := &sim.jobs[id]
	j.attempts++
	j.attempt = fmt.Sprintf("%d/%d", id, j.attempts)
	j.scheduler = sim.pick(id)
	r := usheradmit.Request{
		Attempt: j.attempt, Workspace: strconv.Itoa(j.workspace), Template: j.template.name,
		PromptTokens: j.prompt, LongestReply: longestReply, Interactive: j.template.interactive, Retry: retry,
	}
	if j.prefix != 0 {
		r.Prefix, r.PrefixTokens = j.prefix, shortestPrompt
	}
	if sim.oracle {
		r.KnownReply = j.output
	}
	decision := sim.schedulers[j.scheduler].Offer(sim.clock(), r)
	switch {
	case decision.Queued:
		sim.grant(j.scheduler)
		sim.answer(id)
	case decision.Reason == usheradmit.ReasonRetries:
		sim.after(decision.RetryAfter, func() { sim.offer(id, true) })
	default:
		sim.refuse(id)
	}
}

// pick returns the scheduler that a request goes to. Without summaries it is the one of the next target in turn.
func (sim *simulation) pick(id int) int {
	if len(sim.routers) == 0 {
		return id % len(sim.schedulers)
	}
	j := &sim.jobs[id]
	router := &sim.routers[sim.gatewayOf(id)]
	if local, ok := sim.schedulers[sim.gatewayOf(id)].(*usheradmit.Scheduler); ok {
		router.Hear(router.Local, local.Summary(sim.clock()))
	}
	if peer, ok := router.Pick(sim.clock(), j.template.interactive); ok {
		scheduler, _ := strconv.Atoi(peer)
		return scheduler
	}
	return id % len(sim.engines) % len(sim.schedulers)
}

func (sim *simulation) gatewayOf(id int) int { return sim.jobs[id].gateway % len(sim.routers) }

func (sim *simulation) refuse(id int) {
	if sim.meter.measures(sim.jobs[id].at) {
		sim.meter.result.RefusedNotRun++
	}
	sim.jobs[id].done = true
}

// grant sends what the scheduler lets go.
func (sim *simulation) grant(scheduler int) {
	grants, refusals := sim.schedulers[scheduler].Next(sim.clock())
	for _, refusal := range refusals {
		sim.refuse(jobOf(refusal.Request.Attempt))
	}
	for _, g := range grants {
		sim.after(linkDelay, func() { sim.submit(g) })
	}
}

func (sim *simulation) submit(g usheradmit.Assignment) {
	id := jobOf(g.Request.Attempt)
	j := &sim.jobs[id]
	index, _ := strconv.Atoi(g.Target)
	e := sim.engines[index]
	err := e.Submit(sim.clock(), ushermodel.Request{
		Generation: g.Request.Attempt, PromptTokens: j.prompt, Prefix: g.Request.Prefix, PrefixTokens: g.Request.PrefixTokens,
		OutputTokens: j.output, Priority: g.Priority, Tag: uint64(id),
	})
	if err != nil {
		sim.end(id, g.Request.Attempt, usheradmit.ResultNotRun)
		return
	}
	j.engine = index
	j.position = len(e.jobs)
	e.jobs = append(e.jobs, id)
	if !e.stepping {
		sim.step(e)
	}
}

// step runs the engine's next step and comes back at its end.
func (sim *simulation) step(e *engine) {
	if e.Overloaded() {
		sim.meter.result.Overloads++
	}
	duration, events := e.Step(sim.clock())
	if !e.Alive() {
		sim.die(e)
	}
	e.stepping = duration > 0
	if !e.stepping {
		return
	}
	end := sim.now + duration
	tokens, regular := 0, 0
	for _, ev := range events {
		j := &sim.jobs[ev.Tag]
		switch ev.Kind {
		case ushermodel.EventPreempted:
			sim.meter.preempted(end)
			continue
		case ushermodel.EventFailed:
			sim.finish(e, int(ev.Tag), usheradmit.ResultCancelled)
			continue
		}
		tokens++
		switch {
		case j.last == 0:
			sim.begin(j, end)
		case j.last == sim.now:
			regular++
		default:
			sim.meter.gap(end, end-j.last, 1)
		}
		j.last = end
		j.made = ev.Index + 1
		if ev.Kind == ushermodel.EventDone {
			sim.complete(e, int(ev.Tag), end)
		}
	}
	sim.meter.gap(end, duration, regular)
	sim.meter.made(end, tokens)
	sim.at(end, func() { sim.step(e) })
}

// begin notes the first token of an attempt.
func (sim *simulation) begin(j *job, end time.Duration) {
	if j.first > 0 || !sim.meter.measures(j.at) {
		return
	}
	j.first = end
	_ = sim.meter.ttft.RecordValue(int64((end + linkDelay - j.at) / time.Microsecond)) // below ten minutes
	sim.meter.started[j.workspace]++
}

func (sim *simulation) complete(e *engine, id int, end time.Duration) {
	j := &sim.jobs[id]
	if sim.meter.measures(end) {
		sim.meter.result.Completed++
	}
	if j.template.interactive && sim.meter.measures(j.at) {
		_ = sim.meter.lookup.RecordValue(int64((end + linkDelay - j.at) / time.Microsecond)) // below ten minutes
	}
	attempt := j.attempt
	sim.drop(e, id)
	j.done = true
	sim.at(end+linkDelay, func() { sim.end(id, attempt, usheradmit.ResultCompleted) })
}

func (sim *simulation) finish(e *engine, id int, result usheradmit.Result) {
	sim.drop(e, id)
	attempt := sim.jobs[id].attempt
	sim.after(linkDelay, func() { sim.end(id, attempt, result) })
}

// end tells the scheduler of the end of an attempt and offers lost ones again.
func (sim *simulation) end(id int, attempt string, result usheradmit.Result) {
	j := &sim.jobs[id]
	sim.schedulers[j.scheduler].Finish(sim.clock(), attempt, j.made, result)
	switch result {
	case usheradmit.ResultLost, usheradmit.ResultNotRun:
		j.made, j.last = 0, 0
		sim.meter.result.Retries++
		sim.offer(id, true)
		return
	case usheradmit.ResultCancelled:
		sim.meter.result.Lost++
	}
	sim.grant(j.scheduler)
}

func (sim *simulation) die(e *engine) {
	sim.meter.result.Deaths++
	sim.loseAll(e)
	sim.after(restartTime, func() { e.Restart() })
}

func (sim *simulation) loseAll(e *engine) {
	for len(e.jobs) > 0 {
		sim.finish(e, e.jobs[0], usheradmit.ResultLost)
	}
}

func (sim *simulation) drop(e *engine, id int) {
	last := e.jobs[len(e.jobs)-1]
	e.jobs[sim.jobs[id].position] = last
	sim.jobs[last].position = sim.jobs[id].position
	e.jobs = e.jobs[:len(e.jobs)-1]
}

func (sim *simulation) restartHalf() {
	for i := 0; i < len(sim.engines); i += 2 {
		sim.loseAll(sim.engines[i])
		sim.engines[i].Restart()
	}
}

func (sim *simulation) tick() {
	for i := range sim.schedulers {
		sim.grant(i)
	}
}

func (sim *simulation) progress() {
	for _, e := range sim.engines {
		for _, id := range e.jobs {
			j := &sim.jobs[id]
			sim.schedulers[j.scheduler].Progress(sim.clock(), j.attempt, j.made)
		}
	}
}

func (sim *simulation) report(e *engine) {
	cache := e.CacheEvents()
	if !e.Alive() || sim.network.Float64() < sim.scenario.ReportLoss {
		return
	}
	report := e.Report(sim.clock())
	sim.after(sim.scenario.ReportLag, func() {
		for i, scheduler := range sim.schedulers {
			if !sim.uses(i, e.index) {
				continue
			}
			scheduler.Report(sim.clock(), e.id, usheradmit.LoadReport(report))
			for _, c := range cache {
				scheduler.Cached(sim.clock(), e.id, usheradmit.CacheEvent{Sequence: c.Sequence, Prefix: c.Prefix, Stored: c.Stored})
			}
		}
	})
}

// summarise tells every gateway how much room each scheduler has.
func (sim *simulation) summarise() {
	for i := range sim.schedulers {
		for gateway := range sim.routers {
			sim.tell(gateway, i)
		}
	}
}

// answer tells the gateway of a request how much room its scheduler has, as part of the answer.
func (sim *simulation) answer(id int) {
	if len(sim.routers) > 0 {
		sim.tell(sim.gatewayOf(id), sim.jobs[id].scheduler)
	}
}

func (sim *simulation) tell(gateway, scheduler int) {
	if s, ok := sim.schedulers[scheduler].(*usheradmit.Scheduler); ok {
		summary := s.Summary(sim.clock())
		sim.after(linkDelay, func() { sim.routers[gateway].Hear(strconv.Itoa(scheduler), summary) })
	}
}

func (sim *simulation) setDataCentre(inService bool) {
	for i := range sim.engines {
		if dataCentreOf(i) == dataCentreOf(0) {
			sim.publish(i, inService)
		}
	}
}

func (sim *simulation) publish(index int, inService bool) {
	target := usheradmit.Target{
		ID: strconv.Itoa(index), DataCentre: dataCentreOf(index), MemoryTokens: sim.engines[index].Report(time.Time{}).MemoryTokens,
		Limit: usheradmit.Unlimited, InService: inService, Light: index < sim.scenario.Light,
	}
	for i, scheduler := range sim.schedulers {
		if sim.uses(i, index) {
			scheduler.SetTarget(target)
		}
	}
}

// uses reports whether a scheduler gives work to an engine.
func (sim *simulation) uses(scheduler, engine int) bool {
	return sim.scenario.Shared || engine%len(sim.schedulers) == scheduler
}

func jobOf(attempt string) int {
	id, _, _ := strings.Cut(attempt, "/")
	number, _ := strconv.Atoi(id) // the attempt's name is this program's own
	return number
}

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].sequence < h[j].sequence
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	*h = (*h)[:last]
	return e
}
