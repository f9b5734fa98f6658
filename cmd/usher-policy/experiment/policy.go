package usherexperiment

import (
	"time"

	"github.com/samphireusher/samphireusher/pkg/usheradmit"
)

const (
	// PolicyLeastOutstanding sends to the target with the fewest requests in progress, up to a fixed limit per target.
	PolicyLeastOutstanding = "least_outstanding"
	// PolicyMeanLength fills each target's memory, assuming that each output has the mean length of its template.
	PolicyMeanLength = "mean_length"
	// PolicyUsher is the production scheduler.
	PolicyUsher = "usher"
	// PolicyOracle is the production scheduler, given the length of every output in advance.
	PolicyOracle = "oracle"

	maxMemoryShare       = 0.985
	meanSmoothingFactor  = 0.01
	initialMean          = 300.0
	baselineQueueLimit   = 4_096
	baselineQueueTimeout = 30 * time.Second
	oracleHorizons       = 6
	baselineRetryBudget  = 0.1
)

type (
	// policy assigns requests to targets. *usheradmit.Scheduler implements it.
	policy interface {
		Offer(now time.Time, r usheradmit.Request) usheradmit.Decision
		Next(now time.Time) ([]usheradmit.Assignment, []usheradmit.Refusal)
		Progress(now time.Time, attempt string, tokens int)
		Finish(now time.Time, attempt string, tokens int, result usheradmit.Result)
		Report(now time.Time, target string, report usheradmit.LoadReport)
		ApplyCacheEvent(now time.Time, target string, event usheradmit.CacheEvent)
		SetTarget(target usheradmit.Target)
		RecordLength(workspace, template string, tokens int)
	}

	// baseline is a FIFO queue that chooses targets by one number: requests in progress or reserved tokens.
	baseline struct {
		limit    int // requests in progress per target; 0 fills memory by the mean length instead
		targets  []*baselineTarget
		queue    []baselineRequest
		attempts map[string]*baselineAttempt
		mean     map[string]float64 // by template
	}

	baselineTarget struct {
		usheradmit.Target
		outstanding    int
		reservedTokens float64
	}

	baselineRequest struct {
		usheradmit.Request
		deadline time.Time
	}

	baselineAttempt struct {
		usheradmit.Request
		target         *baselineTarget
		reservedTokens float64
	}
)

func newBaseline(limit int) *baseline {
	return &baseline{limit: limit, attempts: make(map[string]*baselineAttempt), mean: make(map[string]float64)}
}

func (b *baseline) Offer(now time.Time, r usheradmit.Request) usheradmit.Decision {
	if len(b.queue) >= baselineQueueLimit {
		return usheradmit.Decision{Reason: usheradmit.ReasonQueue}
	}
	b.queue = append(b.queue, baselineRequest{r, now.Add(baselineQueueTimeout)})
	return usheradmit.Decision{Queued: true}
}

func (b *baseline) Next(now time.Time) ([]usheradmit.Assignment, []usheradmit.Refusal) {
	var assignments []usheradmit.Assignment
	var refusals []usheradmit.Refusal
	for len(b.queue) > 0 {
		r := b.queue[0]
		if !r.deadline.After(now) {
			refusals = append(refusals, usheradmit.Refusal{Request: r.Request, Reason: usheradmit.ReasonDeadline})
			b.queue = b.queue[1:]
			continue
		}
		tokens := float64(r.PromptTokens) + b.meanOf(r.Template)
		t := b.choose(tokens, r.ExcludedTarget)
		if t == nil {
			break
		}
		b.queue = b.queue[1:]
		t.outstanding++
		t.reservedTokens += tokens
		b.attempts[r.Attempt] = &baselineAttempt{r.Request, t, tokens}
		assignments = append(assignments, usheradmit.Assignment{Request: r.Request, Target: t.ID})
	}
	return assignments, refusals
}

func (b *baseline) Progress(_ time.Time, attempt string, tokens int) {
	if a, known := b.attempts[attempt]; known {
		if grown := float64(a.PromptTokens+tokens) - a.reservedTokens; grown > 0 {
			a.reservedTokens += grown
			a.target.reservedTokens += grown
		}
	}
}

func (b *baseline) Finish(_ time.Time, attempt string, tokens int, result usheradmit.Result) {
	a, known := b.attempts[attempt]
	if !known {
		return
	}
	delete(b.attempts, attempt)
	a.target.outstanding--
	a.target.reservedTokens -= a.reservedTokens
	if result == usheradmit.ResultCompleted {
		b.RecordLength(a.Workspace, a.Template, tokens)
	}
}

func (b *baseline) RecordLength(_, template string, tokens int) {
	b.mean[template] = b.meanOf(template) + meanSmoothingFactor*(float64(tokens)-b.meanOf(template))
}

func (b *baseline) Report(time.Time, string, usheradmit.LoadReport) {}

func (b *baseline) ApplyCacheEvent(time.Time, string, usheradmit.CacheEvent) {}

func (b *baseline) SetTarget(target usheradmit.Target) {
	for _, t := range b.targets {
		if t.ID == target.ID {
			t.Target = target
			return
		}
	}
	b.targets = append(b.targets, &baselineTarget{Target: target})
}

func (b *baseline) meanOf(template string) float64 {
	if mean, known := b.mean[template]; known {
		return mean
	}
	return initialMean
}

func (b *baseline) choose(tokens float64, excluded string) *baselineTarget {
	var best *baselineTarget
	for _, t := range b.targets {
		if !t.InService || t.ID == excluded || b.limit > 0 && t.outstanding >= b.limit {
			continue
		}
		if b.limit == 0 && t.reservedTokens+tokens > maxMemoryShare*float64(t.MemoryTokens) {
			continue
		}
		if best == nil || b.limit > 0 && t.outstanding < best.outstanding || b.limit == 0 && t.reservedTokens < best.reservedTokens {
			best = t
		}
	}
	return best
}
