package usherexperiment

import (
	"time"

	"github.com/samphireusher/samphireusher/pkg/usheradmit"
)

const (
	// PolicyLeastOutstanding sends to the target with the fewest requests in progress, up to a fixed limit.
	PolicyLeastOutstanding = "least_outstanding"
	// PolicyMeanLength fills each target's memory by the mean length of the template.
	PolicyMeanLength = "mean_length"
	// PolicyUsher is the product's scheduler.
	PolicyUsher = "usher"
	// PolicyOracle is the product's scheduler, told every length.
	PolicyOracle = "oracle"

	memoryShare         = 0.985
	meanSmoothing       = 0.01
	firstMean           = 300.0
	baselineCapacity    = 4_096
	baselinePatience    = 30 * time.Second
	oracleHorizons      = 6
	baselineRetryBudget = 0.1
)

type (
	// policy decides which request goes where. *usheradmit.Scheduler is one.
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

	// baseline is a first-in first-out queue before targets that are judged by one number.
	baseline struct {
		limit    int // requests in progress on a target; zero packs memory by the mean length
		targets  []*baselineTarget
		queue    []baselineRequest
		attempts map[string]*baselineAttempt
		mean     map[string]float64 // by template
	}

	baselineTarget struct {
		usheradmit.Target
		outstanding int
		tokens      float64
	}

	baselineRequest struct {
		usheradmit.Request
		deadline time.Time
	}

	baselineAttempt struct {
		usheradmit.Request
		target *baselineTarget
		tokens float64
	}
)

func newBaseline(limit int) *baseline {
	return &baseline{limit: limit, attempts: make(map[string]*baselineAttempt), mean: make(map[string]float64)}
}

// Offer implements policy.
func (b *baseline) Offer(now time.Time, r usheradmit.Request) usheradmit.Decision {
	if len(b.queue) >= baselineCapacity {
		return usheradmit.Decision{Reason: usheradmit.ReasonQueue}
	}
	b.queue = append(b.queue, baselineRequest{r, now.Add(baselinePatience)})
	return usheradmit.Decision{Queued: true}
}

// Next implements policy.
func (b *baseline) Next(now time.Time) ([]usheradmit.Assignment, []usheradmit.Refusal) {
	var grants []usheradmit.Assignment
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
		t.tokens += tokens
		b.attempts[r.Attempt] = &baselineAttempt{r.Request, t, tokens}
		grants = append(grants, usheradmit.Assignment{Request: r.Request, Target: t.ID})
	}
	return grants, refusals
}

// Progress implements policy.
func (b *baseline) Progress(_ time.Time, attempt string, tokens int) {
	if a, known := b.attempts[attempt]; known {
		if grown := float64(a.PromptTokens+tokens) - a.tokens; grown > 0 {
			a.tokens += grown
			a.target.tokens += grown
		}
	}
}

// Finish implements policy.
func (b *baseline) Finish(_ time.Time, attempt string, tokens int, result usheradmit.Result) {
	a, known := b.attempts[attempt]
	if !known {
		return
	}
	delete(b.attempts, attempt)
	a.target.outstanding--
	a.target.tokens -= a.tokens
	if result == usheradmit.ResultCompleted {
		b.RecordLength(a.Workspace, a.Template, tokens)
	}
}

// RecordLength implements policy.
func (b *baseline) RecordLength(_, template string, tokens int) {
	b.mean[template] = b.meanOf(template) + meanSmoothing*(float64(tokens)-b.meanOf(template))
}

// Report implements policy.
func (b *baseline) Report(time.Time, string, usheradmit.LoadReport) {}

// ApplyCacheEvent implements policy.
func (b *baseline) ApplyCacheEvent(time.Time, string, usheradmit.CacheEvent) {}

// SetTarget implements policy.
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
	return firstMean
}

func (b *baseline) choose(tokens float64, avoid string) *baselineTarget {
	var best *baselineTarget
	for _, t := range b.targets {
		if !t.InService || t.ID == avoid || b.limit > 0 && t.outstanding >= b.limit {
			continue
		}
		if b.limit == 0 && t.tokens+tokens > memoryShare*float64(t.MemoryTokens) {
			continue
		}
		if best == nil || b.limit > 0 && t.outstanding < best.outstanding || b.limit == 0 && t.tokens < best.tokens {
			best = t
		}
	}
	return best
}
