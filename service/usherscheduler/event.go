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
		*asking
	}

	withdrawEvent struct {
		attempt string
	}

	progressEvent struct {
		gateway string
		running []ushergrant.Running
	}

	finishEvent struct {
		end ushergrant.AttemptResult
	}

	reportEvent struct {
		target string
		asked  time.Time
		report ushertarget.Report
		err    error
	}

	stopEvent struct {
		stopped chan struct{}
	}
)

// interactiveFrom is the priority from which requests are short and awaited.
const interactiveFrom = 7

func (e acquireEvent) apply(c *core, now time.Time) {
	r := e.request
	attempt := r.Attempt.String()
	if p := c.waiting[attempt]; p != nil {
		p.asking, p.arrived = e.asking, now
		if p.target != "" {
			c.confer(now, attempt, p)
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
	decision := c.service(r.Service).admit.Offer(now, c.admission(attempt, r))
	if !decision.Queued {
		e.reply <- reply{err: refusalOf(decision.Reason, decision.RetryAfter)}
		return
	}
	c.waiting[attempt] = &pending{asking: e.asking, arrived: now}
}

// holdsAny reports whether this scheduler holds a vote on a target that the request may go to; without one the request
// would wait here for nothing.
func (c *core) holdsAny(now time.Time, r ushergrant.Request) bool {
	s := c.services[r.Service]
	return s != nil && slices.ContainsFunc(s.names, func(name string) bool {
		return !slices.Contains(r.Avoid, name) && c.leases.Budget(now, name).Votes > 0
	})
}

// admission is the request as admission sees it.
func (c *core) admission(attempt string, r ushergrant.Request) usheradmit.Request {
	weight := 1.0
	if w, ok := c.options.Config.Workspace(r.Workspace); ok && w.Weight > 0 {
		weight = float64(w.Weight)
	}
	avoid := ""
	if len(r.Avoid) > 0 {
		avoid = r.Avoid[len(r.Avoid)-1]
	}
	return usheradmit.Request{
		Attempt: attempt, Workspace: r.Workspace, Template: r.Template, PromptTokens: r.PromptTokens,
		LongestReply: r.MaxTokens, Prefix: r.CacheKey, PrefixTokens: r.PromptTokens,
		Interactive: r.Priority >= interactiveFrom, Retry: r.Retry, Weight: weight,
		Patience: r.MaxWait, Avoid: avoid,
	}
}

func (e withdrawEvent) apply(c *core, now time.Time) {
	p := c.waiting[e.attempt]
	if p == nil {
		return
	}
	c.withdraw(now, e.attempt, p)
}

// withdraw takes a request out of the queue whose gateway no longer wants it.
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
	announced := usherlease.Announcement{Gateway: e.gateway}
	for _, r := range e.running {
		attempt := r.Attempt.String()
		announced.Running = append(announced.Running, usherlease.Running{Attempt: attempt, Target: r.Target, Incarnation: r.Incarnation})
		if known := c.running[attempt]; known != nil {
			known.seen = now
			c.service(known.service).admit.Progress(now, attempt, r.MadeTokens)
		}
	}
	c.leases.Reannounce(announced)
}

func (e finishEvent) apply(c *core, now time.Time) {
	attempt := e.end.Attempt.String()
	if p := c.waiting[attempt]; p != nil {
		c.withdraw(now, attempt, p)
		return
	}
	switch {
	case e.end.Completed:
		c.end(now, attempt, e.end.MadeTokens, usheradmit.ResultCompleted, usherlease.Completed)
	case e.end.Unsent:
		c.end(now, attempt, 0, usheradmit.ResultNotRun, usherlease.NotRun)
	case e.end.Lost:
		c.end(now, attempt, e.end.MadeTokens, usheradmit.ResultLost, usherlease.Unknown)
	default:
		c.end(now, attempt, e.end.MadeTokens, usheradmit.ResultCancelled, usherlease.Unknown)
	}
}

func (e reportEvent) apply(c *core, now time.Time) {
	t := c.targets[e.target]
	if t == nil {
		return
	}
	t.asking = false
	if e.err != nil {
		c.log.Debug("no load report", "target", e.target, "error", e.err)
		return
	}
	t.reported = e.report.Running + e.report.Waiting
	age := c.options.ReportLag
	if e.report.AgeMillis != nil {
		age = time.Duration(*e.report.AgeMillis) * time.Millisecond
	}
	taken := e.asked.Add(-age)
	step := time.Duration(e.report.StepTimeMillis * float64(time.Millisecond))
	err := c.leases.Report(now, usherlease.LoadReport{
		Target: e.target, Incarnation: e.report.Incarnation, AskedAt: taken,
		Running: e.report.Running + e.report.Waiting, Completed: uint64(max(e.report.Completed, 0)),
		Preempted: uint64(max(e.report.Preemptions, 0)), StepTime: step,
		Cold: e.report.Warm != nil && !*e.report.Warm,
	})
	if err != nil {
		c.log.Debug("load report not used", "target", e.target, "error", err)
	}
	c.touched[e.target] = true
	c.service(t.Service).admit.Report(now, e.target, usheradmit.LoadReport{
		TakenAt: taken, Incarnation: e.report.Incarnation, Running: e.report.Running, Waiting: e.report.Waiting,
		MemoryUsed: e.report.MemoryUsedTokens, MemoryTokens: e.report.MemoryTokens, StepTime: step,
		Preemptions: uint64(max(e.report.Preemptions, 0)), Completed: uint64(max(e.report.Completed, 0)),
	})
}

func (e stopEvent) apply(c *core, now time.Time) {
	c.stopping = true
	c.membership.Leave()
	c.leases.GiveBack(now)
	for attempt := range c.waiting {
		c.refuse(attempt, usherrequest.Refuse(usherrequest.Evidence{}, usherrequest.ReasonStopping))
	}
	c.sendHeartbeats(now)
	c.advertise(now)
	close(e.stopped)
}
