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
	// silentFor is how long a granted attempt may go without a word from its gateway before it is given up.
	silentFor = 5 * time.Second
	// limitPeriod is the time between two looks at the limits of all targets.
	limitPeriod = 100 * time.Millisecond
	// ReasonStale refuses a request of a revision that this scheduler cannot get.
	ReasonStale usherrequest.Reason = "stale_configuration"
	// ReasonUnconfirmed refuses while the scheduler has woken from a pause and not yet heard a majority.
	ReasonUnconfirmed usherrequest.Reason = "unconfirmed_view"
	// ReasonQuota refuses what is above a workspace's rate.
	ReasonQuota usherrequest.Reason = "quota"
	// ReasonRetries refuses an attempt after a lost one while there are too many of them for the traffic.
	ReasonRetries usherrequest.Reason = "retry_budget"
)

type (
	// core owns every aggregate of a scheduler. Only the goroutine of Run uses it.
	core struct {
		options    Options
		log        *slog.Logger
		inbox      *usherring.Ring[event]
		membership *ushermember.Membership
		leases     *usherlease.Leases
		orders     usherorder.Orders
		// ordering names the targets for which something is declared that takes orders.
		ordering map[string]bool
		services map[string]*service
		targets  map[string]*target
		waiting  map[string]*pending
		running  map[string]*running
		// touched names the targets whose limit may have changed since limitedAt.
		touched   map[string]bool
		limitedAt time.Time
		revision  uint64
		due       due
		stopping  bool
		// warmPause is the time between two reports of a warm target.
		warmPause time.Duration
		granted   metrics.Counter
		refused   metrics.Counter
	}

	// service is the admission of one service's targets.
	service struct {
		admit *usheradmit.Scheduler
		names []string
	}

	// target is what the edge knows of a target beside the aggregates.
	target struct {
		usherconfig.Target
		asking  bool
		askedAt time.Time
		// reported is how many requests the target had by its last load report.
		reported   int
		observing  bool
		observedAt time.Time
		// own counts the attempts of this scheduler's grants that have not ended.
		own int
	}

	// pending is a request in the queue, or one that has a target and waits to be asked for again.
	pending struct {
		*asking
		// arrived is when the gateway asked last, by this process's clock.
		arrived time.Time
		target  string
	}

	// asking is one asking of a gateway. It may have been answered already, by the end of its slice.
	asking struct {
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
		seen     time.Time
	}

	// due is when each periodic duty comes next.
	due struct {
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
		touched:    map[string]bool{},
		granted:    metrics.NewRegisteredCounter("scheduler.granted", options.Metrics),
		refused:    metrics.NewRegisteredCounter("scheduler.refused", options.Metrics),
	}
}

// reconfigure takes over a new revision: the cell's members, its targets and their services.
func (c *core) reconfigure(now time.Time) {
	revision := c.options.Config.Revision()
	if revision == c.revision {
		return
	}
	snapshot := c.options.Config.Snapshot()
	c.membership.SetList(now, ushermember.NewList(revision, c.members()))
	c.setTargets(snapshot)
	c.declareOrders(now, snapshot)
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
		s.names = s.names[:0]
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
		leased = append(leased, usherlease.Target{ID: t.Name, Cold: t.BearableColdLoad, Full: t.MaxWarmConcurrency})
		s := c.service(t.Service)
		s.names = append(s.names, t.Name)
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

// decide gives waiting requests to targets that may take them.
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

// refreshLimits tells admission what the leases allow: for all targets now and then, and in between for those that
// something happened to. A limit that is late costs a refusal by the leases, never a request too many.
func (c *core) refreshLimits(now time.Time) {
	if now.Sub(c.limitedAt) >= limitPeriod {
		c.limitedAt = now
		for name, t := range c.targets {
			c.limit(now, name, t)
		}
		clear(c.touched)
		return
	}
	for name := range c.touched {
		if t := c.targets[name]; t != nil {
			c.limit(now, name, t)
		}
	}
	clear(c.touched)
}

// limit tells the admission how many more requests the leases allow on a target now.
func (c *core) limit(now time.Time, name string, t *target) {
	budget := c.leases.Budget(now, name)
	c.service(t.Service).admit.SetTarget(usheradmit.Target{
		ID: name, DataCentre: t.DataCentre, MemoryTokens: t.MemoryTokens, Limit: t.own + budget.Room,
		InService: budget.Room > 0 && c.options.Config.Eligible(now, name) && !c.orders.Draining(name),
	})
}

// grant gives the target that admission chose to a request. If its gateway is between two askings, the target waits.
func (c *core) grant(now time.Time, s *service, a usheradmit.Assignment) {
	p := c.waiting[a.Request.Attempt]
	if p == nil || c.targets[a.Target] == nil {
		s.admit.Finish(now, a.Request.Attempt, 0, usheradmit.ResultCancelled)
		return
	}
	p.target = a.Target
	if now.Sub(p.arrived) < p.request.PollTimeout {
		c.confer(now, a.Request.Attempt, p)
	}
}

// confer answers a request that has a target. The grant counts from the gateway's last asking.
func (c *core) confer(now time.Time, attempt string, p *pending) {
	t := c.targets[p.target]
	if t == nil || p.request.Isolated && c.runsSuspect(p.target) {
		c.forfeit(now, attempt, p)
		return
	}
	granted, err := c.leases.Admit(now, usherlease.Request{Attempt: attempt, Target: p.target})
	if err != nil {
		c.log.Debug("lease refused", "target", p.target, "error", err)
		c.forfeit(now, attempt, p)
		return
	}
	delete(c.waiting, attempt)
	t.own++
	c.touched[p.target] = true
	c.running[attempt] = &running{isolated: p.request.Isolated, service: t.Service, target: p.target, gateway: p.request.Attempt.Gateway, seen: now}
	c.granted.Inc(1)
	p.reply <- reply{grant: ushergrant.Grant{
		Target: p.target, Address: t.Address, Incarnation: granted.Incarnation,
		Revision: c.revision, ValidFor: now.Sub(p.arrived) + granted.ValidFor,
	}}
}

// runsSuspect reports whether a request that may crash targets runs on the target already.
func (c *core) runsSuspect(target string) bool {
	for _, r := range c.running {
		if r.isolated && r.target == target {
			return true
		}
	}
	return false
}

// forfeit takes back the target of a request and refuses it.
func (c *core) forfeit(now time.Time, attempt string, p *pending) {
	c.service(p.request.Service).admit.Finish(now, attempt, 0, usheradmit.ResultCancelled)
	c.touched[p.target] = true
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

// end forgets a granted attempt.
func (c *core) end(now time.Time, attempt string, tokens int, result usheradmit.Result, leased usherlease.Result) {
	c.leases.Finish(attempt, leased)
	r := c.running[attempt]
	if r == nil {
		return
	}
	delete(c.running, attempt)
	if t := c.targets[r.target]; t != nil {
		t.own--
	}
	c.touched[r.target] = true
	c.service(r.service).admit.Finish(now, attempt, tokens, result)
}

func refusalOf(reason usheradmit.Reason, retryAfter time.Duration) error {
	word := usherrequest.ReasonOverloaded
	switch reason {
	case usheradmit.ReasonDeadline:
		word = usherrequest.ReasonDeadlinePassed
	case usheradmit.ReasonQuota:
		word = ReasonQuota
	case usheradmit.ReasonRetries:
		word = ReasonRetries
	}
	return usherrequest.Refuse(usherrequest.Evidence{}, word).WithRetryAfter(retryAfter)
}

func (o Options) cell() string {
	if o.CellByDataCentre {
		return o.DataCentre
	}
	return "fleet"
}
