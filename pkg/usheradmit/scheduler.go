package usheradmit

import (
	"time"
)

const (
	// ResultCompleted says that a generation made its last token.
	ResultCompleted Result = iota
	// ResultCancelled says that a generation was ended before its last token.
	ResultCancelled
	// ResultLost says that the target died or was cut off under a generation.
	ResultLost
	// ResultNotRun says that the target was not reached or refused the request.
	ResultNotRun

	// ReasonNone is the Reason of a request that was not refused.
	ReasonNone Reason = iota
	// ReasonQueue says that the queue is full for the workspace.
	ReasonQueue
	// ReasonQuota says that the workspace is above its rate.
	ReasonQuota
	// ReasonRetries says that there are too many retries for the traffic.
	ReasonRetries
	// ReasonDeadline says that the request waited as long as it may.
	ReasonDeadline
)

const (
	expireInterval   = 100 * time.Millisecond
	backfillPatience = 3 * time.Second
	riskStep         = 0.1
	riskTolerated    = 0.002 // preemptions a grant that the risk margin settles at
	riskBelow        = 0.0
	riskAbove        = 1.0
)

type (
	// Result says how an attempt ended.
	Result int

	// Reason says why a request was refused.
	Reason int

	// Request is one generation that wants a target.
	Request struct {
		Attempt           string // never reused
		Workspace         string
		Template          string
		PromptTokens      int
		MaxOutputTokens   int           // most tokens that it may make; zero if unbounded
		KnownOutputTokens int           // tokens that it will make, if the caller knows
		Prefix            uint64        // identity of the first PrefixTokens of the prompt; zero for none
		PrefixTokens      int           //
		Interactive       bool          // short and awaited: goes first
		Retry             bool          // an earlier attempt of the request was lost
		Weight            float64       // of the workspace; zero counts as one
		QueueTimeout      time.Duration // longest wait; zero has the default
		ExcludedTarget    string        // target that is not to be used
	}

	// Decision is the answer to an offered request.
	Decision struct {
		Queued     bool
		Reason     Reason
		RetryAfter time.Duration
	}

	// Assignment gives a request to a target.
	Assignment struct {
		Request  Request
		Target   string
		Priority int // at the engine
	}

	// Refusal says that a queued request was not run.
	Refusal struct {
		Request    Request
		Reason     Reason
		RetryAfter time.Duration
	}

	// Scheduler decides for all targets of one service that this process has leases on. Use New.
	Scheduler struct {
		options   Options
		lengths   Lengths
		queue     Queue
		placement Placement
		retries   RetryBudget
		quota     Quota
		attempts  map[string]*attempt
		risk      float64
		expiredAt time.Time
	}

	// attempt is a request that was given to a target.
	attempt struct {
		request  Request
		target   *targetView
		position int // among the target's attempts
		lengths  *Distribution
		expected float64
		granted  time.Time
		made     int // tokens at the last progress
		seen     time.Time
	}
)

// New returns a scheduler without targets.
func New(options Options) *Scheduler {
	s := &Scheduler{options: options.withDefaults(), attempts: make(map[string]*attempt)}
	s.lengths.Pooled = s.options.Without.Templates
	s.lengths.Static = s.options.Without.Forgetting
	s.queue.Capacity = s.options.QueueCapacity
	s.queue.FirstIn = s.options.Without.Fairness
	s.retries.Share = s.options.RetryShare
	s.risk = s.options.Admission.Risk
	s.placement.init(s.options.Seed)
	return s
}

// Offer takes a request into the queue or refuses it.
func (s *Scheduler) Offer(now time.Time, r Request) Decision {
	if after, ok := s.quota.Take(now, r.Workspace); !ok {
		return Decision{Reason: ReasonQuota, RetryAfter: after}
	}
	if r.Retry {
		if after, ok := s.retries.Take(now); !ok {
			return Decision{Reason: ReasonRetries, RetryAfter: after}
		}
	} else {
		s.retries.Count(now)
	}
	if r.Interactive {
		s.placement.interactive = now
	}
	patience := orDefault(r.QueueTimeout, s.options.QueueTimeout)
	cost := float64(r.PromptTokens) + s.expected(now, r)
	if after, ok := s.queue.push(now, &waiting{request: r, since: now, deadline: now.Add(patience), cost: cost}); !ok {
		return Decision{Reason: ReasonQueue, RetryAfter: after}
	}
	return Decision{Queued: true}
}

// Withdraw takes a request out of the queue that its caller no longer wants, and reports whether it waited.
func (s *Scheduler) Withdraw(attempt string) bool { return s.queue.remove(attempt) }

// Next returns the requests that may go to a target now, and those that waited too long.
func (s *Scheduler) Next(now time.Time) ([]Assignment, []Refusal) {
	var grants []Assignment
	for s.queue.waiting > 0 {
		var blocked [classes]*waiting
		granted := s.queue.next(now, s.options.Lookahead, func(item *waiting) bool {
			first := &blocked[classOf(item.request)]
			if *first != nil && now.Sub((*first).since) > backfillPatience {
				return false
			}
			t := s.place(now, item)
			if t == nil {
				if *first == nil {
					*first = item
				}
				return false
			}
			grants = append(grants, Assignment{Request: item.request, Target: t.ID, Priority: priorityOf(item.request)})
			return true
		})
		if !granted {
			break
		}
	}
	return grants, s.expire(now)
}

// Progress notes that a generation has made tokens in all.
func (s *Scheduler) Progress(now time.Time, attempt string, tokens int) {
	a, known := s.attempts[attempt]
	if !known || tokens <= a.made {
		return
	}
	s.lengths.Advance(a.request.Workspace, a.request.Template, a.made, tokens)
	a.target.progressed(now.Sub(a.seen), tokens-a.made)
	s.prove(a.target)
	a.made, a.seen = tokens, now
}

// Finish notes that a generation ended with tokens in all.
func (s *Scheduler) Finish(now time.Time, attempt string, tokens int, result Result) {
	a, known := s.attempts[attempt]
	if !known {
		return
	}
	delete(s.attempts, attempt)
	t := a.target
	t.drop(a)
	t.finished = append(t.finished, finishedAttempt{granted: a.granted, finished: now, tokens: a.request.PromptTokens + tokens})
	switch result {
	case ResultCompleted:
		s.lengths.End(a.request.Workspace, a.request.Template, a.made, tokens)
		t.tokensMade += tokens - a.made
		s.prove(t)
	case ResultLost:
		t.chill()
		t.suspendedUntil = now.Add(suspension)
	case ResultNotRun:
		t.suspendedUntil = now.Add(suspension)
	}
	s.queue.correct(a.request, float64(tokens)-a.expected)
}

// RecordLength takes in the length of a finished generation that this scheduler did not run, from a peer or an earlier run.
func (s *Scheduler) RecordLength(workspace, template string, tokens int) {
	s.lengths.End(workspace, template, 0, tokens)
}

// Report takes in a load report of a target.
func (s *Scheduler) Report(now time.Time, target string, report LoadReport) {
	t, known := s.placement.byID[target]
	if !known {
		return
	}
	preemptions := t.apply(now, report, &s.options.Admission)
	s.adjustRisk(riskStep * float64(min(preemptions, maxStepFactor)))
	t.dirty = true
}

// ApplyCacheEvent takes in a cache event of a target.
func (s *Scheduler) ApplyCacheEvent(now time.Time, target string, event CacheEvent) {
	if _, known := s.placement.byID[target]; known {
		s.placement.apply(now, target, event)
	}
}

// SetTarget adds a target or changes what is published about it.
func (s *Scheduler) SetTarget(target Target) {
	t, known := s.placement.byID[target.ID]
	if !known {
		t = newTargetView(s.options.Admission.Step.Base)
		t.Target = target
		s.placement.add(t)
	}
	target.MemoryTokens = orDefault(target.MemoryTokens, t.MemoryTokens)
	t.Target = target
}

// RemoveTarget forgets a target. Its generations still end by Finish.
func (s *Scheduler) RemoveTarget(target string) {
	if t, known := s.placement.byID[target]; known {
		s.placement.remove(t)
	}
}

// SetQuota bounds a workspace to this scheduler's share of a rate of requests a second.
func (s *Scheduler) SetQuota(now time.Time, workspace string, perSecond, share float64) {
	s.quota.Set(now, workspace, perSecond, share)
}

func (s *Scheduler) place(now time.Time, item *waiting) *targetView {
	r := item.request
	lengths := s.lengths.Of(now, r.Workspace, r.Template)
	var extra curve
	d := demand{prompt: r.PromptTokens, longest: r.MaxOutputTokens, known: r.KnownOutputTokens, lengths: lengths}
	s.options.Admission.add(&extra, &d)
	t := s.placement.choose(now, &s.options, r, &extra, s.risk)
	if t == nil {
		return nil
	}
	if s.placement.memoryBound {
		s.adjustRisk(-riskStep * riskTolerated)
	}
	s.placement.granted(now, &s.options, t, r, &extra)
	a := &attempt{request: r, target: t, position: len(t.attempts), lengths: lengths, granted: now, seen: now, expected: item.cost - float64(r.PromptTokens)}
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

func (s *Scheduler) expected(now time.Time, r Request) float64 {
	if r.KnownOutputTokens > 0 {
		return float64(r.KnownOutputTokens)
	}
	return s.lengths.Of(now, r.Workspace, r.Template).Mean()
}

// prove counts a cold target as warm once it has made enough tokens.
func (s *Scheduler) prove(t *targetView) {
	if t.cold() && t.tokensMade >= s.options.WarmTokens {
		t.warm()
	}
}

func (s *Scheduler) adjustRisk(change float64) {
	if s.options.Without.LearnedRisk {
		return
	}
	base := s.options.Admission.Risk
	s.risk = min(max(s.risk+change, base-riskBelow), base+riskAbove)
}

func priorityOf(r Request) int {
	if r.Interactive {
		return 1
	}
	return 0
}

// madeAt estimates how many tokens a generation has made by now.
func (a *attempt) madeAt(now time.Time) int {
	return a.made + int(now.Sub(a.seen)/max(a.target.step, time.Millisecond))
}

func (a *attempt) demand(now time.Time) demand {
	r := a.request
	d := demand{prompt: r.PromptTokens, made: a.madeAt(now), longest: r.MaxOutputTokens, known: r.KnownOutputTokens, lengths: a.lengths}
	if end, _ := d.end(); d.made >= end {
		d.made = end - 1
	}
	return d
}
