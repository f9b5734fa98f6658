package usherscheduler

import (
	"context"
	"time"

	"github.com/samphireusher/samphireusher/pkg/usheradmit"
	"github.com/samphireusher/samphireusher/pkg/usherconfig"
	"github.com/samphireusher/samphireusher/pkg/usherlease"
	"github.com/samphireusher/samphireusher/pkg/usherlink"
	"github.com/samphireusher/samphireusher/pkg/ushermember"
	"github.com/samphireusher/samphireusher/service/ushergrant"
)

const kindHeartbeat = "cell.heartbeat"

// heartbeatEvent is a heartbeat received from another scheduler; ushermember.Heartbeat is also the message on the wire.
type heartbeatEvent struct {
	heartbeat ushermember.Heartbeat
}

func registerHeartbeat(mux *usherlink.Mux, s *Scheduler) {
	mux.Handle(kindHeartbeat, func(_ context.Context, from usherlink.Peer, body usherlink.Payload) (any, error) {
		var heartbeat ushermember.Heartbeat
		if err := body.Decode(&heartbeat); err != nil {
			return nil, err
		}
		if heartbeat.From != ushermember.KeyOf(from.Name) {
			return nil, ErrSenderMismatch.New("heartbeat sent by %s names another member as its sender", from.Name)
		}
		s.inbox.Offer(heartbeatEvent{heartbeat})
		return nil, nil
	})
}

func (e heartbeatEvent) apply(c *core, now time.Time) {
	received, err := c.membership.Receive(now, e.heartbeat)
	if err != nil {
		c.log.Debug("heartbeat refused", "error", err)
		return
	}
	c.leases.Receive(now, received)
}

// tick runs the periodic tasks that are due.
func (c *core) tick(ctx context.Context, now time.Time) {
	if !now.Before(c.due.heartbeat) {
		c.due.heartbeat = now.Add(c.options.Member.Interval)
		c.reconfigure(now)
		if c.membership.Tick(now) {
			c.log.Warn("process was paused; refusing requests until a majority of the members answers its heartbeats")
		}
		c.sendHeartbeats(now)
	}
	if !now.Before(c.due.reports) {
		c.due.reports = now.Add(reportPeriod)
		c.requestReports(ctx, now)
	}
	if !now.Before(c.due.advertise) {
		c.due.advertise = now.Add(advertisePeriod)
		c.advertise(now)
	}
	if !now.Before(c.due.sweep) {
		c.due.sweep = now.Add(sweepPeriod)
		c.sweep(now)
	}
	if !now.Before(c.due.orders) {
		c.due.orders = now.Add(orderPeriod)
		c.sendDueOrders(ctx, now)
	}
}

// nextDue returns when the next periodic task is due.
func (c *core) nextDue() time.Time {
	next := c.due.heartbeat
	for _, due := range []time.Time{c.due.reports, c.due.advertise, c.due.sweep, c.due.orders} {
		if due.Before(next) {
			next = due
		}
	}
	return next
}

// idleTime returns how long the core sleeps if no event arrives: until the next periodic task, or decisionPeriod if
// requests are waiting.
func (c *core) idleTime(now time.Time) time.Duration {
	if len(c.waiting) > 0 {
		return decisionPeriod
	}
	return max(c.nextDue().Sub(now), 0)
}

func (c *core) sendHeartbeats(now time.Time) {
	outgoing := c.membership.Heartbeats(now)
	c.leases.FillBallots(now, c.membership.View(now), outgoing)
	for _, out := range outgoing {
		if err := c.options.Link.SendDatagram(out.To.Address, kindHeartbeat, out.Heartbeat); err != nil {
			c.log.Debug("sending heartbeat failed", "peer", out.To.ID, "error", err)
		}
	}
}

// requestReports reads the load of each target on which this scheduler holds a vote: every reportPeriod until the
// target is warm, then at the rate that reportsPerSecond allows.
func (c *core) requestReports(ctx context.Context, now time.Time) {
	held := 0
	for name, t := range c.targets {
		budget := c.leases.Budget(now, name)
		if budget.Votes == 0 {
			continue
		}
		held++
		period := reportPeriod
		if budget.State == usherlease.Warm {
			period = max(period, c.warmReportPeriod)
		}
		if t.reportPending || now.Sub(t.reportRequestedAt) < period {
			continue
		}
		t.reportPending, t.reportRequestedAt = true, now
		go c.requestReport(ctx, name, t.Target)
	}
	c.warmReportPeriod = time.Duration(held) * time.Second / reportsPerSecond
}

func (c *core) requestReport(ctx context.Context, name string, t usherconfig.Target) {
	ctx, cancel := context.WithTimeout(ctx, 2*reportPeriod)
	defer cancel()
	requestedAt := time.Now()
	report, err := c.options.Targets.Report(ctx, t.Address)
	e := reportEvent{target: name, requestedAt: requestedAt, report: report, err: err}
	for !c.inbox.Offer(e) && ctx.Err() == nil {
		time.Sleep(decisionPeriod)
	}
}

// advertise sends the gateways of the cell the targets that this scheduler holds and the free capacity of each service.
func (c *core) advertise(now time.Time) {
	a := ushergrant.Advertisement{Scheduler: c.options.Name, Revision: c.revision, Stopping: c.stopping}
	for _, name := range c.leases.MajorityTargets(now) {
		a.Held = append(a.Held, ushergrant.KeyOf(name))
	}
	for name, s := range c.services {
		capacity := ushergrant.ServiceCapacity{Service: name}
		for _, t := range s.targetNames {
			if c.options.Config.Eligible(now, t) {
				capacity.Requests += c.leases.Budget(now, t).FreeCapacity
			}
		}
		for _, p := range c.waiting {
			if p.request.Service == name {
				capacity.Waiting++
			}
		}
		if capacity.Requests > 0 || capacity.Waiting > 0 {
			a.Capacities = append(a.Capacities, capacity)
		}
	}
	for _, h := range c.options.Config.Hosts(usherconfig.GatewayRole) {
		if c.options.CellByDataCentre && h.DataCentre != c.options.DataCentre {
			continue
		}
		if err := ushergrant.Advertise(c.options.Link, h.Address.String(), a); err != nil {
			c.log.Debug("sending advertisement failed", "gateway", h.Name, "error", err)
		}
	}
}

// sweep drops attempts that no gateway has reported within gatewayTimeout, and requests that are no longer polled.
func (c *core) sweep(now time.Time) {
	for attempt, r := range c.running {
		if now.Sub(r.lastSeen) > gatewayTimeout {
			c.endAttempt(now, attempt, 0, usheradmit.ResultCancelled, usherlease.Unknown)
		}
	}
	for attempt, p := range c.waiting {
		if now.Sub(p.polledAt) > p.request.PollTimeout+gatewayTimeout {
			c.withdraw(now, attempt, p)
		}
	}
}
