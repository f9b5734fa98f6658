package usherscheduler

import (
	"log/slog"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/samphireusher/samphireusher/pkg/usheradmit"
	"github.com/samphireusher/samphireusher/pkg/usherconfig"
	"github.com/samphireusher/samphireusher/pkg/usherlease"
	"github.com/samphireusher/samphireusher/pkg/ushermember"
	"github.com/samphireusher/samphireusher/pkg/usherorder"
	"github.com/samphireusher/samphireusher/pkg/usherrequest"
	"github.com/samphireusher/samphireusher/pkg/usherring"
	"github.com/samphireusher/samphireusher/service/ushergrant"
)

const (
	// gatewayTimeout is how long an attempt may go without a message from its gateway before the scheduler drops it.
	gatewayTimeout = 5 * time.Second
	// limitRefreshPeriod is the time between two updates of the limits of all targets.
	limitRefreshPeriod = 100 * time.Millisecond
	// ReasonStale refuses a request with a configuration revision that this scheduler could not obtain.
	ReasonStale usherrequest.Reason = "stale_configuration"
	// ReasonUnconfirmed refuses requests after the process was paused, until a majority of the members has answered
	// heartbeats sent since.
	ReasonUnconfirmed usherrequest.Reason = "unconfirmed_view"
	// ReasonQuota refuses requests above a workspace's rate.
	ReasonQuota usherrequest.Reason = "quota"
	// ReasonRetries refuses the retry of a lost attempt if the retries exceed their share of the traffic.
	ReasonRetries usherrequest.Reason = "retry_budget"
)

type (
	// core holds the state of a scheduler. It is used only by the goroutine of Run.
	core struct {
		options    Options
		log        *slog.Logger
		inbox      *usherring.Ring[event]
		membership *ushermember.Membership
		leases     *usherlease.Leases
		orders     usherorder.Planner
		// managed has the targets with a declared model, adapters or role, which are established by orders.
		managed  map[string]bool
		services map[string]*service
		targets  map[string]*target
		waiting  map[string]*pending
		running  map[string]*running
		// dirty has the targets whose limit may have changed since limitsRefreshedAt.
		dirty             map[string]bool
		limitsRefreshedAt time.Time
		revision          uint64
		due               dueTimes
		stopping          bool
		// warmReportPeriod is the time between two load reports of a warm target.
		warmReportPeriod time.Duration
		granted          metrics.Counter
		refused          metrics.Counter
	}

	// service has the admission queue and the targets of one service.
	service struct {
		admit       *usheradmit.Scheduler
		targetNames []string
	}

	// target is the state of a target that is not part of the leases, the admission or the orders.
	target struct {
		usherconfig.Target
		reportPending     bool
		reportRequestedAt time.Time
		// reportedRequests is the number of running and waiting requests in the target's last load report.
		reportedRequests int
		observePending   bool
		observedAt       time.Time
		// ownAttempts counts the attempts granted by this scheduler that have not ended.
		ownAttempts int
	}

	// pending is a request in the queue, or one with an assigned target whose gateway has not polled again yet.
	pending struct {
		*poll
		// polledAt is when the gateway polled last, by this process's clock.
		polledAt time.Time
		target   string
	}

	// poll is one call of a gateway for a grant. It may have ended already by its PollTimeout.
	poll struct {
		request ushergrant.Request
		reply   chan reply
	}

	reply struct {
		grant ushergrant.Grant
		err   error
	}

	// running is an attempt that was granted and has not ended.
	running struct {
		isolated bool
		service  string
		target   string
		gateway  string
		lastSeen time.Time
	}

	// dueTimes has the next time of each periodic task.
	dueTimes struct {
		heartbeat, reports, advertise, sweep, orders time.Time
	}
)

func newCore(now time.Time, options Options, inbox *usherring.Ring[event]) *core {
	member := options.Member
	member.ID, member.Incarnation, member.Cell = options.Name, options.Incarnation, options.cell()
	return &core{
		options:    options,
		log:        options.Log,
		inbox:      inbox,
		membership: ushermember.New(now, member),
		leases:     usherlease.New(now, options.Lease),
		services:   map[string]*service{},
		targets:    map[string]*target{},
		waiting:    map[string]*pending{},
		running:    map[string]*running{},
		dirty:      map[string]bool{},
		granted:    metrics.NewRegisteredCounter("scheduler.granted", options.Metrics),
		refused:    metrics.NewRegisteredCounter("scheduler.refused", options.Metrics),
	}
}

// reconfigure applies a new revision of the configuration: the cell's members, its targets and their services.
func (c *core) reconfigure(now time.Time) {
	revision := c.options.Config.Revision()
	if revision == c.revision {
		return
	}
	snapshot := c.options.Config.Snapshot()
	c.membership.SetList(now, ushermember.NewList(revision, c.members()))
	c.setTargets(snapshot)
	c.setDesiredState(now, snapshot)
	c.revision = revision
}

func (c *core) members() []ushermember.Member {
	members := []ushermember.Member{}
	for _, h := range c.options.Config.Hosts(usherconfig.SchedulerRole) {
		if c.options.CellByDataCentre && h.DataCentre != c.options.DataCentre {
			continue
		}
		members = append(members, ushermember.Member{
			ID: h.Name, Address: h.Address.String(), DataCentre: h.DataCentre, Leaving: c.options.Config.Leaving(h.Name),
		})
	}
	return members
}

func (c *core) setTargets(snapshot usherconfig.Snapshot) {
	declared := map[string]*target{}
	leased := []usherlease.Target{}
	for _, s := range c.services {
		s.targetNames = s.targetNames[:0]
	}
	for _, t := range snapshot.Targets {
		if c.options.CellByDataCentre && t.DataCentre != c.options.DataCentre {
			continue
		}
		known := c.targets[t.Name]
		if known == nil {
			known = &target{}
		}
		known.Target = t
		declared[t.Name] = known
		leased = append(leased, usherlease.Target{ID: t.Name, ColdCapacity: t.MaxColdConcurrency, WarmCapacity: t.MaxWarmConcurrency})
		s := c.service(t.Service)
		s.targetNames = append(s.targetNames, t.Name)
	}
	for name, t := range c.targets {
		if declared[name] == nil {
			c.service(t.Service).admit.RemoveTarget(name)
		}
	}
	c.targets = declared
	c.leases.SetTargets(leased)
}

func (c *core) service(name string) *service {
	s := c.services[name]
	if s == nil {
		s = &service{admit: usheradmit.New(c.options.Admit)}
		c.services[name] = s
	}
	return s
}

// decide assigns waiting requests to targets with free capacity.
func (c *core) decide(now time.Time) {
	if len(c.waiting) == 0 {
		return
	}
	c.refreshLimits(now)
	for _, s := range c.services {
		assignments, refusals := s.admit.Next(now)
		for _, a := range assignments {
			c.grant(now, s, a)
		}
		for _, r := range refusals {
			c.refuse(r.Request.Attempt, refusalOf(r.Reason, r.RetryAfter))
		}
	}
}

// refreshLimits passes the limits set by the leases to the admission: every limitRefreshPeriod for all targets, and in
// between for those in dirty. An outdated limit may cause a refusal by the leases but never overloads a target.
func (c *core) refreshLimits(now time.Time) {
	if now.Sub(c.limitsRefreshedAt) >= limitRefreshPeriod {
		c.limitsRefreshedAt = now
		for name, t := range c.targets {
			c.updateLimit(now, name, t)
		}
		clear(c.dirty)
		return
	}
	for name := range c.dirty {
		if t := c.targets[name]; t != nil {
			c.updateLimit(now, name, t)
		}
	}
	clear(c.dirty)
}

// updateLimit passes the number of requests that the leases allow on a target now to the admission.
func (c *core) updateLimit(now time.Time, name string, t *target) {
	budget := c.leases.Budget(now, name)
	c.service(t.Service).admit.SetTarget(usheradmit.Target{
		ID: name, DataCentre: t.DataCentre, MemoryTokens: t.MemoryTokens, Limit: t.ownAttempts + budget.FreeCapacity,
		InService: budget.FreeCapacity > 0 && c.options.Config.Eligible(now, name) && !c.orders.Draining(name),
	})
}

// grant answers a request with the target that the admission chose. If no call of its gateway is pending, the target is
// reserved until the next poll.
func (c *core) grant(now time.Time, s *service, a usheradmit.Assignment) {
	p := c.waiting[a.Request.Attempt]
	if p == nil || c.targets[a.Target] == nil {
		s.admit.Finish(now, a.Request.Attempt, 0, usheradmit.ResultCancelled)
		return
	}
	p.target = a.Target
	if now.Sub(p.polledAt) < p.request.PollTimeout {
		c.issueGrant(now, a.Request.Attempt, p)
	}
}

// issueGrant answers a request that has an assigned target. The validity of the grant counts from the gateway's last
// poll.
func (c *core) issueGrant(now time.Time, attempt string, p *pending) {
	t := c.targets[p.target]
	if t == nil || p.request.Isolated && c.hasSuspect(p.target) {
		c.dropAssignment(now, attempt, p)
		return
	}
	granted, err := c.leases.Admit(now, usherlease.Request{Attempt: attempt, Target: p.target})
	if err != nil {
		c.log.Debug("leases refused the assigned target", "target", p.target, "error", err)
		c.dropAssignment(now, attempt, p)
		return
	}
	delete(c.waiting, attempt)
	t.ownAttempts++
	c.dirty[p.target] = true
	c.running[attempt] = &running{isolated: p.request.Isolated, service: t.Service, target: p.target, gateway: p.request.Attempt.Gateway, lastSeen: now}
	c.granted.Inc(1)
	p.reply <- reply{grant: ushergrant.Grant{
		Target: p.target, Address: t.Address, Incarnation: granted.Incarnation,
		Revision: c.revision, ValidFor: now.Sub(p.polledAt) + granted.ValidFor,
	}}
}

// hasSuspect reports whether an isolated request, which may crash its target, is running on the target.
func (c *core) hasSuspect(target string) bool {
	for _, r := range c.running {
		if r.isolated && r.target == target {
			return true
		}
	}
	return false
}

// dropAssignment releases the target assigned to a request and refuses the request.
func (c *core) dropAssignment(now time.Time, attempt string, p *pending) {
	c.service(p.request.Service).admit.Finish(now, attempt, 0, usheradmit.ResultCancelled)
	c.dirty[p.target] = true
	c.refuse(attempt, overloaded())
}

func (c *core) refuse(attempt string, err error) {
	p := c.waiting[attempt]
	if p == nil {
		return
	}
	delete(c.waiting, attempt)
	c.refused.Inc(1)
	p.reply <- reply{err: err}
}

// endAttempt removes a granted attempt and passes its result to the leases and the admission.
func (c *core) endAttempt(now time.Time, attempt string, tokens int, result usheradmit.Result, leased usherlease.Result) {
	c.leases.Finish(attempt, leased)
	r := c.running[attempt]
	if r == nil {
		return
	}
	delete(c.running, attempt)
	if t := c.targets[r.target]; t != nil {
		t.ownAttempts--
	}
	c.dirty[r.target] = true
	c.service(r.service).admit.Finish(now, attempt, tokens, result)
}

func refusalOf(reason usheradmit.Reason, retryAfter time.Duration) error {
	refusalReason := usherrequest.ReasonOverloaded
	switch reason {
	case usheradmit.ReasonDeadline:
		refusalReason = usherrequest.ReasonDeadlinePassed
	case usheradmit.ReasonQuota:
		refusalReason = ReasonQuota
	case usheradmit.ReasonRetries:
		refusalReason = ReasonRetries
	}
	return usherrequest.Refuse(usherrequest.Evidence{}, refusalReason).WithRetryAfter(retryAfter)
}

func (o Options) cell() string {
	if o.CellByDataCentre {
		return o.DataCentre
	}
	return "fleet"
}
