package usherexperiment

import (
	"strconv"
	"time"

	"github.com/samphireusher/samphireusher/pkg/usheradmit"
	"github.com/samphireusher/samphireusher/standin/ushermodel"
)

func (sim *simulation) submit(a usheradmit.Assignment) {
	id := jobID(a.Request.Attempt)
	j := &sim.jobs[id]
	index, _ := strconv.Atoi(a.Target)
	e := sim.engines[index]
	err := e.Submit(sim.clock(), ushermodel.Request{
		Generation: a.Request.Attempt, PromptTokens: j.prompt, Prefix: a.Request.Prefix, PrefixTokens: a.Request.PrefixTokens,
		OutputTokens: j.output, Priority: a.Priority, Tag: uint64(id),
	})
	if err != nil {
		sim.attemptEnded(id, a.Request.Attempt, usheradmit.ResultNotRun)
		return
	}
	j.engine = index
	j.runningIndex = len(e.running)
	e.running = append(e.running, id)
	if !e.stepping {
		sim.step(e)
	}
}

// step runs the engine's next step and schedules the one after it.
func (sim *simulation) step(e *engine) {
	if e.Overloaded() {
		sim.meter.result.Overloads++
	}
	duration, events := e.Step(sim.clock())
	if !e.Alive() {
		sim.crash(e)
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
			sim.meter.recordPreemption(end)
			continue
		case ushermodel.EventFailed:
			sim.endAttempt(e, int(ev.Tag), usheradmit.ResultCancelled)
			continue
		}
		tokens++
		switch {
		case j.lastToken == 0:
			sim.recordFirstToken(j, end)
		case j.lastToken == sim.now:
			regular++
		default:
			sim.meter.recordGap(end, end-j.lastToken, 1)
		}
		j.lastToken = end
		j.tokens = ev.Index + 1
		if ev.Kind == ushermodel.EventDone {
			sim.completeRequest(e, int(ev.Tag), end)
		}
	}
	sim.meter.recordGap(end, duration, regular)
	sim.meter.recordTokens(end, tokens)
	sim.at(end, func() { sim.step(e) })
}

// recordFirstToken records the time to the first token of a request. Later attempts of the request do not count.
func (sim *simulation) recordFirstToken(j *job, end time.Duration) {
	if j.firstToken > 0 || !sim.meter.inMeasurement(j.at) {
		return
	}
	j.firstToken = end
	_ = sim.meter.ttft.RecordValue(int64((end + linkDelay - j.at) / time.Microsecond)) // fails only for values beyond ten minutes
	sim.meter.started[j.workspace]++
}

func (sim *simulation) completeRequest(e *engine, id int, end time.Duration) {
	j := &sim.jobs[id]
	if sim.meter.inMeasurement(end) {
		sim.meter.result.Completed++
	}
	if j.template.interactive && sim.meter.inMeasurement(j.at) {
		_ = sim.meter.lookup.RecordValue(int64((end + linkDelay - j.at) / time.Microsecond)) // fails only for values beyond ten minutes
	}
	attempt := j.attempt
	sim.removeRunning(e, id)
	j.done = true
	sim.at(end+linkDelay, func() { sim.attemptEnded(id, attempt, usheradmit.ResultCompleted) })
}

func (sim *simulation) endAttempt(e *engine, id int, result usheradmit.Result) {
	sim.removeRunning(e, id)
	attempt := sim.jobs[id].attempt
	sim.after(linkDelay, func() { sim.attemptEnded(id, attempt, result) })
}

func (sim *simulation) crash(e *engine) {
	sim.meter.result.EngineCrashes++
	sim.failAll(e)
	sim.after(restartTime, func() { e.Restart() })
}

func (sim *simulation) failAll(e *engine) {
	for len(e.running) > 0 {
		sim.endAttempt(e, e.running[0], usheradmit.ResultLost)
	}
}

func (sim *simulation) removeRunning(e *engine, id int) {
	last := e.running[len(e.running)-1]
	e.running[sim.jobs[id].runningIndex] = last
	sim.jobs[last].runningIndex = sim.jobs[id].runningIndex
	e.running = e.running[:len(e.running)-1]
}

func (sim *simulation) restartHalf() {
	for i := 0; i < len(sim.engines); i += 2 {
		sim.failAll(sim.engines[i])
		sim.engines[i].Restart()
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
			if !sim.sendsTo(i, e.index) {
				continue
			}
			scheduler.Report(sim.clock(), e.id, usheradmit.LoadReport(report))
			for _, c := range cache {
				scheduler.ApplyCacheEvent(sim.clock(), e.id, usheradmit.CacheEvent{Sequence: c.Sequence, Prefix: c.Prefix, Stored: c.Stored})
			}
		}
	})
}

func (sim *simulation) progress() {
	for _, e := range sim.engines {
		for _, id := range e.running {
			j := &sim.jobs[id]
			sim.schedulers[j.scheduler].Progress(sim.clock(), j.attempt, j.tokens)
		}
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
		Limit: usheradmit.Unlimited, InService: inService, Reserved: index < sim.scenario.Reserved,
	}
	for i, scheduler := range sim.schedulers {
		if sim.sendsTo(i, index) {
			scheduler.SetTarget(target)
		}
	}
}

// sendsTo reports whether a scheduler sends requests to an engine.
func (sim *simulation) sendsTo(scheduler, engine int) bool {
	return sim.scenario.Shared || engine%len(sim.schedulers) == scheduler
}
