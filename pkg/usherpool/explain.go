package usherpool

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

// Reasons for which a target is passed over.
const (
	PassedOverGone        PassedOver = "entry_gone"
	PassedOverLeaving     PassedOver = "leaving"
	PassedOverEvacuated   PassedOver = "evacuated"
	PassedOverResting     PassedOver = "resting"
	PassedOverUnreachable PassedOver = "unreachable"
	PassedOverCold        PassedOver = "cold"
	PassedOverLimited     PassedOver = "limited"
	PassedOverFailing     PassedOver = "failing"
)

type (
	// PassedOver is why a target cannot be chosen now; empty if it can.
	PassedOver string

	// Candidate is a target of the service of a request, with what a choice for the request would be based on.
	Candidate struct {
		Choice
		PassedOver PassedOver
		// BackIn is the time after which the target may be chosen again; zero if it is not known.
		BackIn time.Duration
		// Costs are the parts of Choice.Delay that are not zero.
		Costs []Cost
		// EntryAge is the time since this host learned the target's entry.
		EntryAge time.Duration
	}

	// Cost is a part of the delay of a target.
	Cost struct {
		Name  string
		Delay time.Duration
	}
)

// costs name the parts of a delay and remove the cause of each.
var costs = []struct {
	name   string
	remove func(t *target, r *Request, l *Load)
}{
	{"kept_parts", func(_ *target, r *Request, _ *Load) { r.Parts = nil }},
	{"failures", func(t *target, _ *Request, _ *Load) { t.health = health{} }},
	{"distance", func(t *target, r *Request, _ *Load) { r.DataCentre = t.entry.DataCentre }},
	{"queued_prompts", func(t *target, _ *Request, l *Load) { t.prompts, l.Prefill = promptQueue{}, 0 }},
	{"streams", func(_ *target, _ *Request, l *Load) { l.Streams = 0 }},
	{"copies", func(_ *target, _ *Request, l *Load) { l.Copies, l.Awaited = 0, 0 }},
	{"memory", func(_ *target, _ *Request, l *Load) { l.Tokens, l.CopyTokens = 0, 0 }},
	{"calls", func(_ *target, _ *Request, l *Load) { l.Calls = 0 }},
}

// Explain returns all targets of the service of r: those that may be chosen now, the best one first, and then those that
// are passed over. It changes nothing. placed selects what counts for Place, with the targets that ExcludedTargets returns,
// in place of what counts for Choose.
func (p *Pool) Explain(now time.Time, r Request, placed bool) []Candidate {
	quiet := p.detached(r.Service)
	r = quiet.estimateOutput(r)
	candidates := []Candidate{}
	for _, t := range quiet.targets {
		candidates = append(candidates, quiet.explain(now, t, r, placed))
	}
	slices.SortFunc(candidates, func(a, b Candidate) int {
		return cmp.Or(cmp.Compare(a.PassedOver, b.PassedOver), cmp.Compare(a.Delay, b.Delay), cmp.Compare(a.Target.ID, b.Target.ID))
	})
	return candidates
}

// detached returns a copy of the pool with the targets of one service. What choices change, or forget as it is over, is copied.
func (p *Pool) detached(service string) *Pool {
	quiet := *p
	quiet.targets, quiet.speedsAt = map[string]*target{}, maps.Clone(p.speedsAt)
	for id, t := range p.targets {
		if t.entry.Service == service {
			t := *t
			t.reserved = slices.Clone(t.reserved)
			quiet.targets[id] = &t
		}
	}
	quiet.indexTargets()
	return &quiet
}

func (p *Pool) explain(now time.Time, t *target, r Request, placed bool) Candidate {
	c := Candidate{EntryAge: now.Sub(t.learned)}
	c.Target, c.Learned, c.Load = t.entry, t.learned, p.totalLoad(now, t)
	c.PassedOver, c.BackIn = p.passedOver(now, t, placed)
	c.Delay = p.quietDelay(now, t, r, c.Load)
	c.Choice = p.estimatePrefill(now, t, r, c.Choice)
	without, load, left := *t, c.Load, c.Delay
	for _, cost := range costs {
		cost.remove(&without, &r, &load)
		delay := p.quietDelay(now, &without, r, load)
		if part := left - delay; part != 0 {
			c.Costs = append(c.Costs, Cost{Name: cost.name, Delay: part})
		}
		left = delay
	}
	c.Costs = append(c.Costs, Cost{Name: "own", Delay: left})
	return c
}

// quietDelay is delay with the same random term for all targets. It must be called on a copy of the pool.
func (p *Pool) quietDelay(now time.Time, t *target, r Request, load Load) time.Duration {
	p.options.Random = rand.New(rand.NewPCG(0, 0))
	return p.delay(now, t, r, load)
}

// passedOver returns why t cannot be chosen, and after what time it can.
func (p *Pool) passedOver(now time.Time, t *target, placed bool) (PassedOver, time.Duration) {
	_, departed := p.departed[incarnationOf(t.entry)]
	opens, turn := t.rest.opens(now), p.opens(now, t.limit)
	switch {
	case t.entry.Leaving || t.leaving || departed:
		return PassedOverLeaving, 0
	case t.evacuated:
		return PassedOverEvacuated, 0
	case !t.accepting:
		return PassedOverGone, 0
	case !opens.IsZero():
		return PassedOverResting, opens.Sub(now)
	case t.health.blocked(now):
		return PassedOverUnreachable, t.health.blockedUntil.Sub(now)
	case p.isCold(now, t) && !t.cold.ready(now, p.coldRate(t)):
		return PassedOverCold, time.Duration((1 - t.cold.level) / p.coldRate(t) * float64(time.Second))
	case !turn.IsZero():
		return PassedOverLimited, turn.Sub(now)
	case placed && t.health.failureRate(now) >= maxFailureRate:
		return PassedOverFailing, 0
	default:
		return "", 0
	}
}
