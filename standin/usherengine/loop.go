package usherengine

import (
	"strings"
	"time"

	"github.com/samphireusher/samphireusher/standin/internal/usherlife"
	"github.com/samphireusher/samphireusher/standin/ushermodel"
)

// poisonMark is what a prompt contains that kills the engines that run it.
const poisonMark = "poison"

// start makes the steps of a life run if they do not. The caller holds the lock.
func (e *Engine) start(s *state) {
	if s.looping {
		return
	}
	s.looping = true
	e.loops.Go(func() { e.loop(s) })
}

// loop runs one step after the other until there is nothing to do. A step that woke late shortens the next one.
func (e *Engine) loop(s *state) {
	life := s.life.Context()
	due := time.Now()
	for {
		pause, events := e.beginStep(s)
		if pause == 0 {
			return
		}
		due = due.Add(pause)
		if time.Now().After(due) {
			due = time.Now()
		}
		if err := usherlife.Sleep(life, time.Until(due)); err != nil {
			return
		}
		if err := e.gate.WaitUnfrozen(life); err != nil {
			return
		}
		if !e.endStep(s, events) {
			return
		}
	}
}

// beginStep returns how long the next step takes and what happens at its end; a zero time ends the loop.
func (e *Engine) beginStep(s *state) (time.Duration, []ushermodel.Event) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	e.expire(s, now)
	pause, events := s.model.Step(now)
	s.cache.note(s.model.CacheEvents(), now)
	if !s.model.Alive() && !s.life.Ended() {
		e.die(deathOverload, e.restartAfter())
	}
	if pause == 0 || s.life.Ended() {
		s.looping = false
		return 0, nil
	}
	return pause, events
}

// endStep hands out the tokens of the step and reports whether the engine lives on.
func (e *Engine) endStep(s *state, events []ushermodel.Event) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if s.life.Ended() {
		return false
	}
	if e.faults.Poison && s.poisoned(events) {
		e.die(deathPoison, e.restartAfter())
		return false
	}
	for _, event := range events {
		if g := s.byArrival[event.Tag]; g != nil {
			e.handle(g, event)
		}
	}
	e.noteReport(s, time.Now())
	return true
}

func (e *Engine) handle(g *generation, event ushermodel.Event) {
	switch event.Kind {
	case ushermodel.EventPreempted:
		e.record.preempted(g)
	case ushermodel.EventToken:
		g.made = event.Index + 1
	case ushermodel.EventDone:
		g.made = event.Index + 1
		e.finish(g)
	case ushermodel.EventFailed:
		g.answer.length, g.answer.finish = g.made, finishLength
		e.finish(g)
	}
	e.record.made(g)
	g.wake()
}

func (e *Engine) finish(g *generation) {
	g.finished = true
	g.idleSince = time.Now()
	e.record.finished(g)
}

// poisoned reports whether the step made a token for a prompt that kills the engine.
func (s *state) poisoned(events []ushermodel.Event) bool {
	for _, event := range events {
		g := s.byArrival[event.Tag]
		makes := event.Kind == ushermodel.EventToken || event.Kind == ushermodel.EventDone
		if g != nil && makes && strings.Contains(g.prompt, poisonMark) {
			return true
		}
	}
	return false
}
