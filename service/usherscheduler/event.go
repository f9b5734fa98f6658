package usherscheduler

import (
	"slices"
	"time"

	"github.com/samphireusher/samphireusher/pkg/usheradmit"
	"github.com/samphireusher/samphireusher/pkg/usherlease"
	"github.com/samphireusher/samphireusher/pkg/usherrequest"
	"github.com/samphireusher/samphireusher/service/ushergrant"
	"github.com/samphireusher/samphireusher/service/ushertarget"
)

type (
	acquireEvent struct {
		*poll
	}

	withdrawEvent struct {
		attempt string
	}

	progressEvent struct {
		gateway string
		running []ushergrant.RunningAttempt
	}

	finishEvent struct {
		result ushergrant.AttemptResult
	}

	reportEvent struct {
		target      string
		requestedAt time.Time
		report      ushertarget.Report
		err         error
	}

	stopEvent struct {
		stopped chan struct{}
	}
)

// minInteractivePriority is the lowest priority of interactive requests, which are short and have a user waiting.
const minInteractivePriority = 7

func (e acquireEvent) apply(c *core, now time.Time) {
	r := e.request
	attempt := r.Attempt.String()
	if p := c.waiting[attempt]; p != nil {
		p.poll, p.polledAt = e.poll, now
		if p.target != "" {
			c.issueGrant(now, attempt, p)
		}
		return
	}
	switch {
	case c.stopping:
		e.reply <- reply{err: usherrequest.Refuse(usherrequest.Evidence{}, usherrequest.ReasonStopping)}
		return
	case !c.membership.View(now).Confirmed:
		e.reply <- reply{err: usherrequest.Refuse(usherrequest.Evidence{}, ReasonUnconfirmed).WithRetryAfter(c.options.Member.Interval)}
		return
	}
	if !c.holdsAny(now, r) {
		e.reply <- reply{err: usherrequest.Refuse(usherrequest.Evidence{}, usherrequest.ReasonNotHere).WithRetryAfter(c.options.Member.Interval)}
		return
	}
	decision := c.service(r.Service).admit.Offer(now, c.admitRequest(attempt, r))
	if !decision.Queued {
		e.reply <- reply{err: refusalOf(decision.Reason, decision.RetryAfter)}
		return
	}
	c.waiting[attempt] = &pending{poll: e.poll, polledAt: now}
}

// holdsAny reports whether this scheduler holds a vote on a target that is allowed for the request; without one the
// request would wait in the queue in vain.
func (c *core) holdsAny(now time.Time, r ushergrant.Request) bool {
	s := c.services[r.Service]
	return s != nil && slices.ContainsFunc(s.targetNames, func(name string) bool {
		return !slices.Contains(r.ExcludedTargets, name) && c.leases.Budget(now, name).Votes > 0
	})
}

// admitRequest converts the request to one of the admission.
func (c *core) admitRequest(attempt string, r ushergrant.Request) usheradmit.Request {
	weight := 1.0
	if w, ok := c.options.Config.Workspace(r.Workspace); ok && w.Weight > 0 {
		weight = float64(w.Weight)
	}
	excluded := ""
	if len(r.ExcludedTargets) > 0 {
		excluded = r.ExcludedTargets[len(r.ExcludedTargets)-1]
	}
	return usheradmit.Request{
		Attempt: attempt, Workspace: r.Workspace, Template: r.Template, PromptTokens: r.PromptTokens,
		MaxOutputTokens: r.MaxOutputTokens, Prefix: r.Prefix, PrefixTokens: r.PromptTokens,
		Interactive: r.Priority >= minInteractivePriority, Retry: r.Retry, Weight: weight,
		QueueTimeout: r.QueueTimeout, ExcludedTarget: excluded,
	}
}

func (e withdrawEvent) apply(c *core, now time.Time) {
	p := c.waiting[e.attempt]
	if p == nil {
		return
	}
	c.withdraw(now, e.attempt, p)
}

// withdraw removes a request from the queue after its gateway cancelled it or stopped polling.
func (c *core) withdraw(now time.Time, attempt string, p *pending) {
	delete(c.waiting, attempt)
	admit := c.service(p.request.Service).admit
	if p.target != "" {
		admit.Finish(now, attempt, 0, usheradmit.ResultCancelled)
		return
	}
	admit.Withdraw(attempt)
}

func (e progressEvent) apply(c *core, now time.Time) {
	announcement := usherlease.Announcement{Gateway: e.gateway}
	for _, r := range e.running {
		attempt := r.Attempt.String()
		announcement.Running = append(announcement.Running, usherlease.RunningAttempt{Attempt: attempt, Target: r.Target, Incarnation: r.Incarnation})
		if known := c.running[attempt]; known != nil {
			known.lastSeen = now
			c.service(known.service).admit.Progress(now, attempt, r.GeneratedTokens)
		}
	}
	c.leases.ApplyAnnouncement(announcement)
}

func (e finishEvent) apply(c *core, now time.Time) {
	attempt := e.result.Attempt.String()
	if p := c.waiting[attempt]; p != nil {
		c.withdraw(now, attempt, p)
		return
	}
	switch {
	case e.result.Completed:
		c.endAttempt(now, attempt, e.result.GeneratedTokens, usheradmit.ResultCompleted, usherlease.Completed)
	case e.result.Unsent:
		c.endAttempt(now, attempt, 0, usheradmit.ResultNotRun, usherlease.NotRun)
	case e.result.Lost:
		c.endAttempt(now, attempt, e.result.GeneratedTokens, usheradmit.ResultLost, usherlease.Unknown)
	default:
		c.endAttempt(now, attempt, e.result.GeneratedTokens, usheradmit.ResultCancelled, usherlease.Unknown)
	}
}

func (e reportEvent) apply(c *core, now time.Time) {
	t := c.targets[e.target]
	if t == nil {
		return
	}
	t.reportPending = false
	if e.err != nil {
		c.log.Debug("reading load report failed", "target", e.target, "error", e.err)
		return
	}
	t.reportedRequests = e.report.Running + e.report.Waiting
	age := c.options.ReportLag
	if e.report.AgeMillis != nil {
		age = time.Duration(*e.report.AgeMillis) * time.Millisecond
	}
	takenAt := e.requestedAt.Add(-age)
	step := time.Duration(e.report.StepTimeMillis * float64(time.Millisecond))
	err := c.leases.Report(now, usherlease.LoadReport{
		Target: e.target, Incarnation: e.report.Incarnation, RequestedAt: takenAt,
		Requests: e.report.Running + e.report.Waiting, Completed: uint64(max(e.report.Completed, 0)),
		Preemptions: uint64(max(e.report.Preemptions, 0)), StepTime: step,
		Cold: e.report.Warm != nil && !*e.report.Warm,
	})
	if err != nil {
		c.log.Debug("load report rejected", "target", e.target, "error", err)
	}
	c.dirty[e.target] = true
	c.service(t.Service).admit.Report(now, e.target, usheradmit.LoadReport{
		TakenAt: takenAt, Incarnation: e.report.Incarnation, Running: e.report.Running, Waiting: e.report.Waiting,
		MemoryUsed: e.report.MemoryUsedTokens, MemoryTokens: e.report.MemoryTokens, StepTime: step,
		Preemptions: uint64(max(e.report.Preemptions, 0)), Completed: uint64(max(e.report.Completed, 0)),
	})
}

func (e stopEvent) apply(c *core, now time.Time) {
	c.stopping = true
	c.membership.Leave()
	c.leases.ReturnVotes(now)
	for attempt := range c.waiting {
		c.refuse(attempt, usherrequest.Refuse(usherrequest.Evidence{}, usherrequest.ReasonStopping))
	}
	c.sendHeartbeats(now)
	c.advertise(now)
	close(e.stopped)
}
