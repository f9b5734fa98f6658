package usherexperiment

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/samphireusher/samphireusher/pkg/usheradmit"
)

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
		PromptTokens: j.prompt, MaxOutputTokens: longestReply, Interactive: j.template.interactive, Retry: retry,
	}
	if j.prefix != 0 {
		r.Prefix, r.PrefixTokens = j.prefix, shortestPrompt
	}
	if sim.oracle {
		r.KnownOutputTokens = j.output
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
		router.SetSummary(router.Local, local.Summary(sim.clock()))
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

func (sim *simulation) tick() {
	for i := range sim.schedulers {
		sim.grant(i)
	}
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
		sim.after(linkDelay, func() { sim.routers[gateway].SetSummary(strconv.Itoa(scheduler), summary) })
	}
}

func jobOf(attempt string) int {
	id, _, _ := strings.Cut(attempt, "/")
	number, _ := strconv.Atoi(id) // the attempt's name is this program's own
	return number
}
