package usheradmit

import (
	"time"
)

const (
	// ResultCompleted means that a generation ran to its end.
	ResultCompleted Result = iota
	// ResultCancelled means that a generation was cancelled before its end.
	ResultCancelled
	// ResultLost means that the target crashed or became unreachable during a generation.
	ResultLost
	// ResultNotRun means that the target could not be reached or refused the request.
	ResultNotRun

	// ReasonNone is the Reason of a request that was not refused.
	ReasonNone Reason = iota
	// ReasonQueue means that the workspace's part of the queue is full.
	ReasonQueue
	// ReasonQuota means that the workspace exceeds its request rate.
	ReasonQuota
	// ReasonRetries means that retries exceed their share of the traffic.
	ReasonRetries
	// ReasonDeadline means that the request was not assigned before its queue timeout.
	ReasonDeadline
)

const (
	expireInterval          = 100 * time.Millisecond
	backfillTimeout         = 3 * time.Second // wait of a blocked request after which later ones of its class don't overtake it
	riskStep                = 0.1             // increase of the risk margin per preemption
	toleratedPreemptionRate = 0.002           // preemptions per assignment at which the risk margin is stable
	maxRiskDecrease         = 0.0
	maxRiskIncrease         = 1.0
)

type (
	// Result is the outcome of an attempt.
	Result int

	// Reason is the reason for a refusal.
	Reason int

	// Request is a request to run one generation.
	Request struct {
		Attempt           string // unique ID
		Workspace         string
		Template          string
		PromptTokens      int
		MaxOutputTokens   int    // maximum number of output tokens; zero if unlimited
		KnownOutputTokens int    // number of output tokens, if the caller knows it
		Prefix            uint64 // identifies the first PrefixTokens tokens of the prompt; zero if there is no prefix
		PrefixTokens      int
		Interactive       bool          // short, and a user is waiting: served first
		Retry             bool          // an earlier attempt of the request was lost
		Weight            float64       // of the workspace; zero counts as one
		QueueTimeout      time.Duration // maximum wait in the queue; zero selects Options.QueueTimeout
		ExcludedTarget    string        // target that must not be used
	}

	// Decision is the result of Offer.
	Decision struct {
		Queued     bool
		Reason     Reason
		RetryAfter time.Duration
	}

	// Assignment assigns a request to a target.
	Assignment struct {
		Request  Request
		Target   string
		Priority int // scheduling priority at the engine
	}

	// Refusal is the refusal of a queued request.
	Refusal struct {
		Request    Request
		Reason     Reason
		RetryAfter time.Duration
	}

	// Scheduler schedules requests on the targets of one service on which this process holds leases. Create one with New.
	Scheduler struct {
		options    Options
		lengths    Lengths
		queue      Queue
		placement  Placement
		retries    RetryBudget
		quota      Quota
		attempts   map[string]*attempt
		riskMargin float64
		expiredAt  time.Time
	}

	// attempt is a request that was assigned to a target.
	attempt struct {
		request        Request
		target         *targetState
		position       int // index in the target's attempts
		lengths        *Distribution
		expectedOutput float64
		assignedAt     time.Time
		generated      int // tokens at progressAt
		progressAt     time.Time
	}
)

// New returns a scheduler without targets.
func New(options Options) *Scheduler {
	s := &Scheduler{options: options.withDefaults(), attempts: make(map[string]*attempt)}
	s.lengths.Pooled = s.options.Without.Templates
	s.lengths.Static = s.options.Without.Decay
	s.queue.Capacity = s.options.QueueCapacity
	s.queue.FIFO = s.options.Without.Fairness
	s.retries.Share = s.options.RetryShare
	s.riskMargin = s.options.Admission.RiskMargin
	s.placement.init(s.options.Seed)
	return s
}

// Offer queues a request or refuses it.
func (s *Scheduler) Offer(now time.Time, r Request) Decision {
	if after, ok := s.quota.Take(now, r.Workspace); !ok {
		return Decision{Reason: ReasonQuota, RetryAfter: after}
	}
	if r.Retry {
		if after, ok := s.retries.Take(now); !ok {
			return Decision{Reason: ReasonRetries, RetryAfter: after}
		}
	} else {
		s.retries.RecordRequest(now)
	}
	if r.Interactive {
		s.placement.lastInteractive = now
	}
	timeout := orDefault(r.QueueTimeout, s.options.QueueTimeout)
	cost := float64(r.PromptTokens) + s.expectedOutput(now, r)
	if after, ok := s.queue.push(now, &queuedRequest{request: r, queuedAt: now, deadline: now.Add(timeout), cost: cost}); !ok {
		return Decision{Reason: ReasonQueue, RetryAfter: after}
	}
	return Decision{Queued: true}
}

// Withdraw removes a request from the queue and reports whether it was queued.
func (s *Scheduler) Withdraw(attempt string) bool { return s.queue.remove(attempt) }

// Next returns the queued requests to send to a target now, and those whose wait has timed out.
func (s *Scheduler) Next(now time.Time) ([]Assignment, []Refusal) {
	var assignments []Assignment
	for s.queue.length > 0 {
		var blocked [classCount]*queuedRequest
		accepted := s.queue.dispatch(now, s.options.Lookahead, func(item *queuedRequest) bool {
			first := &blocked[classOf(item.request)]
			if *first != nil && now.Sub((*first).queuedAt) > backfillTimeout {
				return false
			}
			t := s.place(now, item)
			if t == nil {
				if *first == nil {
					*first = item
				}
				return false
			}
			assignments = append(assignments, Assignment{Request: item.request, Target: t.ID, Priority: enginePriority(item.request)})
			return true
		})
		if !accepted {
			break
		}
	}
	return assignments, s.expire(now)
}

// Progress records the total number of tokens that a generation has generated so far.
func (s *Scheduler) Progress(now time.Time, attempt string, tokens int) {
	a, known := s.attempts[attempt]
	if !known || tokens <= a.generated {
		return
	}
	s.lengths.RecordProgress(a.request.Workspace, a.request.Template, a.generated, tokens)
	a.target.recordProgress(now.Sub(a.progressAt), tokens-a.generated)
	s.promoteIfWarm(a.target)
	a.generated, a.progressAt = tokens, now
}

// Finish records the end of a generation and the total number of tokens that it generated.
func (s *Scheduler) Finish(now time.Time, attempt string, tokens int, result Result) {
	a, known := s.attempts[attempt]
	if !known {
		return
	}
	delete(s.attempts, attempt)
	t := a.target
	t.removeAttempt(a)
	t.finished = append(t.finished, finishedAttempt{assignedAt: a.assignedAt, finishedAt: now, tokens: a.request.PromptTokens + tokens})
	switch result {
	case ResultCompleted:
		s.lengths.RecordEnd(a.request.Workspace, a.request.Template, a.generated, tokens)
		t.tokensSinceCold += tokens - a.generated
		s.promoteIfWarm(t)
	case ResultLost:
		t.markCold()
		t.suspendedUntil = now.Add(suspensionTime)
	case ResultNotRun:
		t.suspendedUntil = now.Add(suspensionTime)
	}
	s.queue.chargeExtra(a.request, float64(tokens)-a.expectedOutput)
}

// RecordLength records the length of a finished generation of another scheduler or of an earlier process.
func (s *Scheduler) RecordLength(workspace, template string, tokens int) {
	s.lengths.RecordEnd(workspace, template, 0, tokens)
}

// Report applies a load report of a target.
func (s *Scheduler) Report(now time.Time, target string, report LoadReport) {
	t, known := s.placement.byID[target]
	if !known {
		return
	}
	preemptions := t.applyReport(now, report, &s.options.Admission)
	s.adjustRiskMargin(riskStep * float64(min(preemptions, maxStepFactor)))
	t.dirty = true
}

// ApplyCacheEvent applies a cache event of a target.
func (s *Scheduler) ApplyCacheEvent(now time.Time, target string, event CacheEvent) {
	if _, known := s.placement.byID[target]; known {
		s.placement.applyCacheEvent(now, target, event)
	}
}

// SetTarget adds a target or updates its published attributes.
func (s *Scheduler) SetTarget(target Target) {
	t, known := s.placement.byID[target.ID]
	if !known {
		t = newTargetState(s.options.Admission.Step.Base)
		t.Target = target
		s.placement.add(t)
	}
	target.MemoryTokens = orDefault(target.MemoryTokens, t.MemoryTokens)
	t.Target = target
}

// RemoveTarget removes a target. Finish must still be called for its running generations.
func (s *Scheduler) RemoveTarget(target string) {
	if t, known := s.placement.byID[target]; known {
		s.placement.remove(t)
	}
}

// SetQuota limits a workspace to this scheduler's share of a rate of requests per second.
func (s *Scheduler) SetQuota(now time.Time, workspace string, perSecond, share float64) {
	s.quota.Set(now, workspace, perSecond, share)
}

func (s *Scheduler) place(now time.Time, item *queuedRequest) *targetState {
	r := item.request
	lengths := s.lengths.Of(now, r.Workspace, r.Template)
	var extra forecast
	d := demand{prompt: r.PromptTokens, maxOutput: r.MaxOutputTokens, knownOutput: r.KnownOutputTokens, lengths: lengths}
	s.options.Admission.add(&extra, &d)
	t := s.placement.choose(now, &s.options, r, &extra, s.riskMargin)
	if t == nil {
		return nil
	}
	if s.placement.memoryBound {
		s.adjustRiskMargin(-riskStep * toleratedPreemptionRate)
	}
	s.placement.recordAssignment(now, &s.options, t, r, &extra)
	a := &attempt{request: r, target: t, position: len(t.attempts), lengths: lengths, assignedAt: now, progressAt: now, expectedOutput: item.cost - float64(r.PromptTokens)}
	t.attempts = append(t.attempts, a)
	s.attempts[r.Attempt] = a
	return t
}

func (s *Scheduler) expire(now time.Time) []Refusal {
	if now.Sub(s.expiredAt) < expireInterval {
		return nil
	}
	s.expiredAt = now
	var refusals []Refusal
	for _, item := range s.queue.expire(now) {
		c := &s.queue.classes[classOf(item.request)]
		after := s.queue.retryAfter(now, c, c.flow(s.queue.flowOf(item.request)), item.cost)
		refusals = append(refusals, Refusal{Request: item.request, Reason: ReasonDeadline, RetryAfter: after})
	}
	return refusals
}

func (s *Scheduler) expectedOutput(now time.Time, r Request) float64 {
	if r.KnownOutputTokens > 0 {
		return float64(r.KnownOutputTokens)
	}
	return s.lengths.Of(now, r.Workspace, r.Template).Mean()
}

// promoteIfWarm marks a cold target as warm if it has generated enough tokens.
func (s *Scheduler) promoteIfWarm(t *targetState) {
	if t.isCold() && t.tokensSinceCold >= s.options.WarmTokens {
		t.markWarm()
	}
}

func (s *Scheduler) adjustRiskMargin(change float64) {
	if s.options.Without.LearnedRisk {
		return
	}
	base := s.options.Admission.RiskMargin
	s.riskMargin = min(max(s.riskMargin+change, base-maxRiskDecrease), base+maxRiskIncrease)
}

func enginePriority(r Request) int {
	if r.Interactive {
		return 1
	}
	return 0
}

// estimateGenerated estimates the number of tokens that the attempt has generated by now.
func (a *attempt) estimateGenerated(now time.Time) int {
	return a.generated + int(now.Sub(a.progressAt)/max(a.target.step, time.Millisecond))
}

func (a *attempt) demand(now time.Time) demand {
	r := a.request
	d := demand{prompt: r.PromptTokens, generated: a.estimateGenerated(now), maxOutput: r.MaxOutputTokens, knownOutput: r.KnownOutputTokens, lengths: a.lengths}
	if end, _ := d.outputBound(); d.generated >= end {
		d.generated = end - 1
	}
	return d
}
