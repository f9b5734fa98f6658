package usherpool

import (
	"slices"
	"time"

	"github.com/samphireusher/samphireusher/pkg/usherspeed"
)

const (
	// reservationLifetime is how long a choice made for another host counts as load on the target. It covers a report
	// of that host, a report of its collector, and the interval before each of them.
	reservationLifetime = 600 * time.Millisecond
	// prefillReportAge is the age of what hosts report of prompts: a report of the host and one of its collector.
	prefillReportAge = 300 * time.Millisecond
	// maxFailureRate is the failure rate from which a target is excluded from the choices that other hosts make for
	// this one.
	maxFailureRate = 0.25
)

type (
	reservation struct {
		load    Load
		expires time.Time
	}

	// promptQueue estimates the prompt tokens that an engine has yet to process, from the prompts sent to it. It is
	// more recent than the hosts' reports, but covers only prompts placed through this pool.
	promptQueue struct {
		tokens  float64
		updated time.Time
	}
)

// Place chooses a target on behalf of another host, or of this host if own is set. Only the placer, the host that
// chooses for the fleet, calls it. As it knows of each choice at once, it can compare all targets without the risk that
// several hosts send their requests to the same best one. The requesting host passes the result of its ExcludedTargets in
// r.Exclude.
func (p *Pool) Place(now time.Time, r Request, own bool) (Choice, error) {
	r = p.estimateOutput(r)
	var best *target
	var choice Choice
	var plain plainChoice
	reason := ErrNoTarget
	for _, t := range p.shuffledCandidates(now, r) {
		load := p.totalLoad(now, t)
		if p.isFull(t, r, load) {
			reason = ErrFull
			continue
		}
		delay := p.delay(now, t, r, load)
		plain.consider(t, delay+p.kept(now, t, r, load).Saving)
		if best == nil || delay < choice.Delay {
			best, choice = t, Choice{Target: t.entry, Learned: t.learned, Delay: delay, Load: load}
		}
	}
	if best == nil {
		return Choice{}, reason.New("no target of service %q accepts the request", r.Service)
	}
	choice = plain.otherwise(p.estimatePrefill(now, best, r, choice))
	if own {
		return p.recordSend(now, best, r, choice), nil
	}
	p.recordParts(now, best, r, choice)
	best.reserve(now, r, choice, p.speed(now, best))
	return choice, nil
}

// ExcludedTargets returns the targets of the service of r that must not be used for this host now, whichever host
// chooses: those that it cannot reach or that fail and, except for copies, cold ones that have received its share of
// the requests they tolerate and limited ones without a turn of this host.
func (p *Pool) ExcludedTargets(now time.Time, r Request) []string {
	var excluded []string
	for id, t := range p.targets {
		if t.entry.Service != r.Service || !t.accepting {
			continue
		}
		cold := !r.Copy && p.isCold(now, t) && !t.cold.ready(now, p.coldRate(t))
		limited := !r.Copy && !p.mayTake(now, t)
		if cold || limited || t.health.blocked(now) || !t.rest.allows(now) || t.health.failureRate(now) >= maxFailureRate {
			excluded = append(excluded, id)
		}
	}
	slices.Sort(excluded)
	return excluded
}

// AdoptChoice adopts a choice that another host made for this one, if this host too considers the target available. It
// counts as a request sent to a cold target.
func (p *Pool) AdoptChoice(now time.Time, r Request, c Choice) (Choice, bool) {
	t, known := p.targets[c.Target.ID]
	if !known || !t.accepting || !t.rest.allows(now) || !r.Copy && !p.mayTake(now, t) || t.entry.Service != r.Service || slices.Contains(r.Exclude, c.Target.ID) {
		return Choice{}, false
	}
	c.Target, c.Learned, c.Kept = t.entry, t.learned, c.Kept.boundedTo(r)
	return p.recordSend(now, t, r, c), true
}

func (t *target) reserve(now time.Time, r Request, c Choice, speed usherspeed.Estimate) {
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
		t.prompts.add(now, r.without(c.Kept).PromptTokens, speed)
	}
	t.reserved = append(t.reserved, reservation{load: load, expires: now.Add(reservationLifetime)})
}

func (t *target) reservations(now time.Time) Load {
	var sum Load
	t.reserved = slices.DeleteFunc(t.reserved, func(r reservation) bool { return !now.Before(r.expires) })
	for _, r := range t.reserved {
		sum = sum.plus(r.load)
	}
	return sum
}

// pendingPrefill estimates the prompt tokens that t has to process before those of a new request.
func (p *Pool) pendingPrefill(now time.Time, t *target, load Load, speed usherspeed.Estimate) int {
	reported := load.Prefill
	if speed.Uneven() {
		// Hosts report whole prompts until their first events, and what they report is old.
		reported -= int(float64(prefillReportAge.Milliseconds()) * prefillTokensPerMs / speed.Factor)
	}
	return max(int(t.prompts.remaining(now, speed)), reported)
}

func (q *promptQueue) add(now time.Time, tokens int, speed usherspeed.Estimate) {
	q.tokens, q.updated = q.remaining(now, speed)+float64(tokens), now
}

// remaining returns the tokens left in the queue, as engines process prompts continuously.
func (q *promptQueue) remaining(now time.Time, speed usherspeed.Estimate) float64 {
	return max(0, q.tokens-float64(now.Sub(q.updated).Milliseconds())*prefillTokensPerMs/speed.Factor)
}
