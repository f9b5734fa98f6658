package usherengine

import (
	"strings"
	"time"

	"github.com/samphireusher/samphireusher/standin/internal/usherlife"
	"github.com/samphireusher/samphireusher/standin/ushermodel"
)

// poisonMarker is the part of a prompt that crashes the engine if the poison fault is set.
const poisonMarker = "poison"

// ensureLoop starts the step loop of an instance if it is not running. The caller must hold the lock.
func (e *Engine) ensureLoop(s *state) {
	if s.loopRunning {
		return
	}
	s.loopRunning = true
	e.stepLoops.Go(func() { e.loop(s) })
}

// loop runs steps until the model is idle or the instance has crashed. If the wait for a step overruns, the next one is
// shortened by the overrun.
func (e *Engine) loop(s *state) {
	ctx := s.instance.Context()
	due := time.Now()
	for {
		duration, events := e.beginStep(s)
		if duration == 0 {
			return
		}
		due = due.Add(duration)
		if time.Now().After(due) {
			due = time.Now()
		}
		if err := usherlife.Sleep(ctx, time.Until(due)); err != nil {
			return
		}
		if err := e.gate.WaitUnfrozen(ctx); err != nil {
			return
		}
		if !e.endStep(s, events) {
			return
		}
	}
}

// beginStep returns the duration of the next step and the events at its end. A zero duration ends the loop.
func (e *Engine) beginStep(s *state) (time.Duration, []ushermodel.Event) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	e.dropExpired(s, now)
	duration, events := s.model.Step(now)
	s.cache.record(s.model.CacheEvents(), now)
	if !s.model.Alive() && !s.instance.Ended() {
		e.crash(crashOverload, e.restartDelay())
	}
	if duration == 0 || s.instance.Ended() {
		s.loopRunning = false
		return 0, nil
	}
	return duration, events
}

// endStep applies the events of the step and reports whether the instance is still running.
func (e *Engine) endStep(s *state, events []ushermodel.Event) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if s.instance.Ended() {
		return false
	}
	if e.faults.Poison && s.poisoned(events) {
		e.crash(crashPoison, e.restartDelay())
		return false
	}
	for _, event := range events {
		if g := s.byArrival[event.Tag]; g != nil {
			e.applyEvent(g, event)
		}
	}
	e.recordReport(s, time.Now())
	return true
}

func (e *Engine) applyEvent(g *generation, event ushermodel.Event) {
	switch event.Kind {
	case ushermodel.EventPreempted:
		e.recorder.generationPreempted(g)
	case ushermodel.EventToken:
		g.generatedTokens = event.Index + 1
	case ushermodel.EventDone:
		g.generatedTokens = event.Index + 1
		e.finish(g)
	case ushermodel.EventFailed:
		g.answer.length, g.answer.finish = g.generatedTokens, finishLength
		e.finish(g)
	}
	e.recorder.tokensGenerated(g)
	g.notifyReaders()
}

func (e *Engine) finish(g *generation) {
	g.finished = true
	g.idleSince = time.Now()
	e.recorder.generationFinished(g)
}

// poisoned reports whether the step generated a token for a prompt that contains the poison marker.
func (s *state) poisoned(events []ushermodel.Event) bool {
	for _, event := range events {
		g := s.byArrival[event.Tag]
		producesToken := event.Kind == ushermodel.EventToken || event.Kind == ushermodel.EventDone
		if g != nil && producesToken && strings.Contains(g.prompt, poisonMarker) {
			return true
		}
	}
	return false
}
