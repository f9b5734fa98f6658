package usherpool

import (
	"slices"
	"time"
)

const (
	// reservationLife is how long a target counts as loaded with what another host was told to send there: a report of
	// that host, one of its collector, and the pause between two of each.
	reservationLife = 600 * time.Millisecond
	// withheldRate is the failure rate from which on a host does not let others choose a target for it.
	withheldRate = 0.25
)

type (
	reservation struct {
		load  Load
		until time.Time
	}

	// promptQueue estimates the prompt tokens that an engine has still to read, from the prompts that it was sent. It is
	// newer than what hosts report, but knows only what was sent by way of this pool.
	promptQueue struct {
		tokens float64
		at     time.Time
	}
)

// Place chooses a target on behalf of a host that asks this one, or of this host itself where the others ask it. As it
// knows of each choice at once, it compares all targets without the risk that several hosts crowd the best of them. The
// host for which it chooses leaves out, in r.Exclude, what ExcludedTargets returns.
func (p *Pool) Place(now time.Time, r Request, own bool) (Choice, error) {
	var best *target
	var choice Choice
	reason := ErrNone
	for _, t := range p.shuffled(now, r) {
		load := p.load(now, t)
		if p.full(t, r, load) {
			reason = ErrFull
			continue
		}
		if delay := p.delay(now, t, r, load); best == nil || delay < choice.Delay {
			best, choice = t, Choice{Target: t.entry, Learned: t.learned, Delay: delay, Load: load}
		}
	}
	if best == nil {
		return Choice{}, reason.New("no target of service %q accepts the request", r.Service)
	}
	choice = p.expect(now, best, r, choice)
	if own {
		p.sent(now, best, r, choice)
	} else {
		best.reserve(now, r, choice)
	}
	return choice, nil
}

// ExcludedTargets returns the targets of the service of r that must not be used for this host now, whichever host
// chooses: those that it cannot reach or that fail and, except for copies, cold ones that have received its share of
// the requests they tolerate.
func (p *Pool) ExcludedTargets(now time.Time, r Request) []string {
	var withheld []string
	for id, t := range p.targets {
		if t.entry.Service != r.Service || !t.open {
			continue
		}
		cold := !r.Copy && p.isCold(now, t) && !t.cold.ready(now, p.coldRate(t))
		if cold || t.health.blocked(now) || t.health.failureRate(now) >= withheldRate {
			withheld = append(withheld, id)
		}
	}
	slices.Sort(withheld)
	return withheld
}

// AdoptChoice adopts a choice that another host made for this one, if this host too considers the target available. It
// counts as a request sent to a cold target.
func (p *Pool) AdoptChoice(now time.Time, r Request, c Choice) (Choice, bool) {
	t, known := p.targets[c.Target.ID]
	if !known || !t.open || t.entry.Service != r.Service || slices.Contains(r.Exclude, c.Target.ID) {
		return Choice{}, false
	}
	c.Target, c.Learned = t.entry, t.learned
	p.sent(now, t, r, c)
	return c, true
}

func (t *target) reserve(now time.Time, r Request, c Choice) {
	tokens := r.PromptTokens + r.OutputTokens
	load := Load{Streams: 1, Tokens: tokens}
	switch {
	case r.Backup:
		load = Load{Copies: 1, CopyTokens: tokens}
	case r.Copy:
		load = Load{Copies: 1, CopyTokens: tokens, Incoming: tokens, Awaited: 1}
	case c.Late:
		load = Load{Streams: 1}
	default:
		t.prompts.add(now, r.PromptTokens)
	}
	t.reserved = append(t.reserved, reservation{load: load, until: now.Add(reservationLife)})
}

func (t *target) reservations(now time.Time) Load {
	var sum Load
	t.reserved = slices.DeleteFunc(t.reserved, func(r reservation) bool { return !now.Before(r.until) })
	for _, r := range t.reserved {
		sum = sum.plus(r.load)
	}
	return sum
}

// unread estimates the prompt tokens that t has to read before those of a new request.
func (p *Pool) unread(now time.Time, t *target, load Load) int {
	return max(int(t.prompts.level(now)), load.Prefill)
}

func (q *promptQueue) add(now time.Time, tokens int) {
	q.tokens, q.at = q.level(now)+float64(tokens), now
}

// level returns what is left of the queue; engines read all the time.
func (q *promptQueue) level(now time.Time) float64 {
	return max(0, q.tokens-float64(now.Sub(q.at).Milliseconds())*prefillTokensPerMs)
}
