package usherpool_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/samphireusher/samphireusher/pkg/usherpool"
)

// readPerMs is the rate at which engines of the model read prompts beside other work, from the users' sheets.
const readPerMs = 7

type (
	// reader is a model of how an engine reads prompts: one after the other, those of a late rank only where no other waits.
	reader struct {
		free    time.Time
		waiting []*prompt
	}

	prompt struct {
		arrived, begun time.Time
		tokens         int
		late           bool
	}
)

// next returns the prompt that is read next, and takes it out.
func (r *reader) next() *prompt {
	best := 0
	for i, p := range r.waiting {
		if !p.late && r.waiting[best].late {
			best = i
		}
	}
	p := r.waiting[best]
	r.waiting = append(r.waiting[:best], r.waiting[best+1:]...)
	return p
}

// read reads what can be read until now.
func (r *reader) read(now time.Time) {
	for len(r.waiting) > 0 && r.free.Before(now) {
		p := r.next()
		if p.arrived.After(r.free) {
			r.free = p.arrived
		}
		r.free = r.free.Add(time.Duration(p.tokens/readPerMs) * time.Millisecond)
		p.begun = r.free
	}
}

// The pattern: prompts come a tenth faster than all engines read them, for half a minute, as on the day scale-2 of
// himig-loans-grown. In the order of arrival each waits for the whole backlog, and nearly all are late.
func TestStreamsThatCannotBeInTimeWaitBehindThoseThatCan(t *testing.T) {
	const (
		engineCount = 30
		meanTokens  = 2700
		perSecond   = 1.1 * engineCount * readPerMs * 1000 / meanTokens
		duration    = 30 * time.Second
		objective   = 1500 * time.Millisecond
	)
	random := rand.New(rand.NewPCG(1, 2))
	pool := newPool(1, targets(engineCount), 60)
	readers := map[string]*reader{}
	for _, k := range targets(engineCount) {
		readers[k.Target.ID] = &reader{free: start}
	}
	var prompts []*prompt
	for now := start; now.Before(start.Add(duration)); now = now.Add(time.Duration(random.ExpFloat64() / perSecond * float64(time.Second))) {
		p := &prompt{arrived: now, tokens: meanTokens/2 + random.IntN(meanTokens)}
		c, err := pool.Place(now, usherpool.Request{Service: engines, PromptTokens: p.tokens, OutputTokens: 10, Objective: objective}, false)
		if err != nil {
			t.Fatal(err)
		}
		p.late = c.Late
		for _, r := range readers {
			r.read(now)
		}
		readers[c.Target.ID].waiting = append(readers[c.Target.ID].waiting, p)
		prompts = append(prompts, p)
	}
	inTime := 0
	for _, r := range readers {
		r.read(start.Add(time.Hour))
	}
	for _, p := range prompts {
		if p.begun.Sub(p.arrived) <= objective {
			inTime++
		}
	}
	// Nine in eleven can be in time, as the rest is more than the engines read.
	if share := float64(inTime) / float64(len(prompts)); share < 9.0/11 {
		t.Errorf("%.2f of %d streams begin in time, want %.2f", share, len(prompts), 9.0/11)
	}
}

// The largest prompts are worth most to callers, and would never be served in a crowd if their own length made them late.
func TestLongPromptsAreNotLateByTheirLength(t *testing.T) {
	pool := newPool(1, targets(1), 2)
	r := usherpool.Request{Service: engines, PromptTokens: 9000, OutputTokens: 900, Objective: time.Second}
	if c, err := pool.Place(start, r, false); err != nil || c.Late {
		t.Errorf("at an idle engine: late %v, error %v", c.Late, err)
	}
}

// What waits behind the others does not keep them away.
func TestLateStreamsDoNotCountAsWorkBeforeOthers(t *testing.T) {
	pool := newPool(1, targets(1), 2)
	r := appraisal()
	r.Objective = time.Millisecond
	late, err := pool.Place(start, r, false)
	if err != nil || !late.Late {
		t.Fatalf("late %v, error %v", late.Late, err)
	}
	r.Objective = 2 * time.Second
	next, err := pool.Place(start, r, false)
	if err != nil || next.Late || next.Load.Tokens != 0 {
		t.Errorf("the next stream: late %v, load %+v, error %v", next.Late, next.Load, err)
	}
}
