package usherexperiment

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/samphireusher/samphireusher/pkg/usheradmit"
)

func (sim *simulation) scheduleArrival() {
	rate := sim.scenario.rateAt(sim.now)
	if rate <= 0 {
		return
	}
	sim.after(time.Duration(sim.random.ExpFloat64()/rate*float64(time.Second)), func() {
		sim.accept(sim.scenario.sampleRequest(sim.random, sim.now))
		sim.scheduleArrival()
	})
}

func (sim *simulation) scheduleLookup() {
	sim.after(time.Duration(sim.random.ExpFloat64()/sim.scenario.LookupRate*float64(time.Second)), func() {
		sim.accept(sampleLookup(sim.random))
		sim.scheduleLookup()
	})
}

func (sim *simulation) accept(a arrival) {
	sim.jobs = append(sim.jobs, job{arrival: a, at: sim.now, gateway: sim.random.IntN(gateways), engine: -1})
	if sim.meter.inMeasurement(sim.now) {
		sim.meter.result.Offered++
		sim.meter.requested[a.workspace]++
	}
	sim.offer(len(sim.jobs)-1, false)
}

func (sim *simulation) offer(id int, retry bool) {
	j := &sim.jobs[id]
	j.attempts++
	j.attempt = fmt.Sprintf("%d/%d", id, j.attempts)
	j.scheduler = sim.pickScheduler(id)
	r := usheradmit.Request{
		Attempt: j.attempt, Workspace: strconv.Itoa(j.workspace), Template: j.template.name,
		PromptTokens: j.prompt, MaxOutputTokens: maxOutputTokens, Interactive: j.template.interactive, Retry: retry,
	}
	if j.prefix != 0 {
		r.Prefix, r.PrefixTokens = j.prefix, minPromptTokens
	}
	if sim.oracle {
		r.KnownOutputTokens = j.output
	}
	decision := sim.schedulers[j.scheduler].Offer(sim.clock(), r)
	switch {
	case decision.Queued:
		sim.dispatch(j.scheduler)
		sim.replyWithSummary(id)
	case decision.Reason == usheradmit.ReasonRetries:
		sim.after(decision.RetryAfter, func() { sim.offer(id, true) })
	default:
		sim.refuse(id)
	}
}

// pickScheduler returns the scheduler for a request: the router's choice, or round-robin over the engines while there
// are no summaries.
func (sim *simulation) pickScheduler(id int) int {
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
	if sim.meter.inMeasurement(sim.jobs[id].at) {
		sim.meter.result.RefusedNotRun++
	}
	sim.jobs[id].done = true
}

// dispatch submits the requests that the scheduler has assigned and records those that it has refused.
func (sim *simulation) dispatch(scheduler int) {
	assignments, refusals := sim.schedulers[scheduler].Next(sim.clock())
	for _, refusal := range refusals {
		sim.refuse(jobID(refusal.Request.Attempt))
	}
	for _, a := range assignments {
		sim.after(linkDelay, func() { sim.submit(a) })
	}
}

// attemptEnded reports the end of an attempt to its scheduler and offers the request again if it was lost or did not run.
func (sim *simulation) attemptEnded(id int, attempt string, result usheradmit.Result) {
	j := &sim.jobs[id]
	sim.schedulers[j.scheduler].Finish(sim.clock(), attempt, j.tokens, result)
	switch result {
	case usheradmit.ResultLost, usheradmit.ResultNotRun:
		j.tokens, j.lastToken = 0, 0
		sim.meter.result.Retries++
		sim.offer(id, true)
		return
	case usheradmit.ResultCancelled:
		sim.meter.result.Lost++
	}
	sim.dispatch(j.scheduler)
}

func (sim *simulation) tick() {
	for i := range sim.schedulers {
		sim.dispatch(i)
	}
}

// broadcastSummaries sends the capacity summary of each scheduler to every gateway.
func (sim *simulation) broadcastSummaries() {
	for i := range sim.schedulers {
		for gateway := range sim.routers {
			sim.sendSummary(gateway, i)
		}
	}
}

// replyWithSummary sends the gateway of a request the capacity summary of its scheduler, as part of the response.
func (sim *simulation) replyWithSummary(id int) {
	if len(sim.routers) > 0 {
		sim.sendSummary(sim.gatewayOf(id), sim.jobs[id].scheduler)
	}
}

func (sim *simulation) sendSummary(gateway, scheduler int) {
	if s, ok := sim.schedulers[scheduler].(*usheradmit.Scheduler); ok {
		summary := s.Summary(sim.clock())
		sim.after(linkDelay, func() { sim.routers[gateway].SetSummary(strconv.Itoa(scheduler), summary) })
	}
}

func jobID(attempt string) int {
	id, _, _ := strings.Cut(attempt, "/")
	number, _ := strconv.Atoi(id) // cannot fail: offer formats the attempt
	return number
}
