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
	tickInterval         = 5 * time.Millisecond
	summaryInterval      = 250 * time.Millisecond
	restartTime          = 2 * time.Second
	propagationDelay     = time.Second // from the publication of a change until schedulers have it
	arrivalStream        = 1
	initialLengthSamples = 2_000 // lengths of each kind that a scheduler has learned at the start
	warmCompletions      = 1_000 // generations that an engine has completed at the start, so that it is warm
	gateways             = 9
)

type (
	// simulation is a discrete-event simulation of one scenario with one policy.
	simulation struct {
		scenario   Scenario
		random     *rand.Rand // for the arrivals, so that these are the same for all policies
		network    *rand.Rand // for the loss of reports
		now        time.Duration
		events     eventHeap
		sequence   uint64
		engines    []*engine
		schedulers []policy
		routers    []usheradmit.Router // of the gateways; empty if there is only one scheduler or all share the targets
		jobs       []job
		meter      *meter
		oracle     bool
	}

	engine struct {
		*ushermodel.Engine
		id       string
		index    int
		stepping bool
		running  []int // ids of the jobs in progress
	}

	// job is a request and its latest attempt.
	job struct {
		arrival
		at           time.Duration
		gateway      int // that the caller connected to
		scheduler    int
		attempts     int
		attempt      string // the latest
		engine       int
		runningIndex int           // in engine.running
		firstToken   time.Duration // time of the first token of any attempt; 0 if not measured
		lastToken    time.Duration // time of the latest token of this attempt; 0 before the first
		tokens       int
		done         bool
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
		random: rand.New(rand.NewPCG(seed, arrivalStream)), network: rand.New(rand.NewPCG(seed, arrivalStream+1)),
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
			Engine: ushermodel.New(ushermodel.Options{Completed: warmCompletions}), id: strconv.Itoa(i), index: i,
		})
		sim.publish(i, true)
	}
	return sim
}

// run runs the scenario to its end and returns the measurements.
func (sim *simulation) run() Result {
	end := sim.scenario.Warmup + sim.scenario.Duration
	sim.scheduleEvents()
	for len(sim.events) > 0 {
		e := heap.Pop(&sim.events).(event)
		if e.at >= end {
			break
		}
		sim.now = e.at
		e.run()
	}
	sim.meter.closeWindows(end)
	return sim.meter.summarize()
}

// scheduleEvents trains the schedulers, starts the initial generations and schedules arrivals, periodic work and the
// scenario's events.
func (sim *simulation) scheduleEvents() {
	s := &sim.scenario
	for range initialLengthSamples {
		for _, a := range []arrival{s.sampleRequest(sim.random, 0), s.sampleContinued(sim.random), sampleLookup(sim.random)} {
			for _, scheduler := range sim.schedulers {
				scheduler.RecordLength(strconv.Itoa(a.workspace), a.template.name, a.output)
			}
		}
	}
	running := s.runningAtStart()
	for i := range running {
		sim.after(time.Second+rampUpTime*time.Duration(i)/time.Duration(running), func() { sim.accept(s.sampleContinued(sim.random)) })
	}
	sim.scheduleArrival()
	sim.every(tickInterval, sim.tick)
	sim.every(progressInterval, sim.progress)
	for i := range sim.engines {
		offset := reportInterval * time.Duration(i) / time.Duration(len(sim.engines))
		sim.after(offset, func() { sim.every(reportInterval, func() { sim.report(sim.engines[i]) }) })
	}
	if len(sim.routers) > 0 {
		sim.every(summaryInterval, sim.broadcastSummaries)
	}
	if s.LookupRate > 0 {
		sim.scheduleLookup()
	}
	if s.RestartAt > 0 {
		sim.after(s.RestartAt, func() { sim.restartHalf() })
	}
	if s.OutOfServiceAt > 0 {
		sim.after(s.OutOfServiceAt+propagationDelay, func() { sim.setDataCentre(false) })
		sim.after(s.InServiceAt+propagationDelay, func() { sim.setDataCentre(true) })
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

func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

func (h *eventHeap) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	*h = (*h)[:last]
	return e
}
