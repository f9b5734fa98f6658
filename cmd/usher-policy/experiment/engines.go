package usherexperiment

import (
	"strconv"
	"time"

	"github.com/samphireusher/samphireusher/pkg/usheradmit"
	"github.com/samphireusher/samphireusher/standin/ushermodel"
)

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
				scheduler.ApplyCacheEvent(sim.clock(), e.id, usheradmit.CacheEvent{Sequence: c.Sequence, Prefix: c.Prefix, Stored: c.Stored})
			}
		}
	})
}

func (sim *simulation) progress() {
	for _, e := range sim.engines {
		for _, id := range e.jobs {
			j := &sim.jobs[id]
			sim.schedulers[j.scheduler].Progress(sim.clock(), j.attempt, j.made)
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
		Limit: usheradmit.Unlimited, InService: inService, Reserved: index < sim.scenario.Light,
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
