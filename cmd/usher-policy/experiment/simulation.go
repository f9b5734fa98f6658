package usherexperiment

import (
	"container/heap"
	"math/rand/v2"
	"strconv"
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
				scheduler.RecordLength(strconv.Itoa(a.workspace), a.template.name, a.output)
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
