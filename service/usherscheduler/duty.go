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

// heartbeatEvent is a heartbeat of another scheduler. The message on the wire is ushermember.Heartbeat.
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
			return nil, ErrSenderMismatch.New("heartbeat of another member came from %s", from.Name)
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

// tick does what is due by the clock.
func (c *core) tick(ctx context.Context, now time.Time) {
	if !now.Before(c.due.heartbeat) {
		c.due.heartbeat = now.Add(c.options.Member.Interval)
		c.reconfigure(now)
		if c.membership.Tick(now) {
			c.log.Warn("process was paused; its view is unconfirmed")
		}
		c.sendHeartbeats(now)
	}
	if !now.Before(c.due.reports) {
		c.due.reports = now.Add(reportPeriod)
		c.askReports(ctx, now)
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
		c.giveOrders(ctx, now)
	}
}

// next returns when the first of the periodic duties is due.
func (c *core) next() time.Time {
	next := c.due.heartbeat
	for _, due := range []time.Time{c.due.reports, c.due.advertise, c.due.sweep, c.due.orders} {
		if due.Before(next) {
			next = due
		}
	}
	return next
}

// pause returns how long the core sleeps if no event comes: until something is due, or until what waits is looked at again.
func (c *core) pause(now time.Time) time.Duration {
	if len(c.waiting) > 0 {
		return decisionPeriod
	}
	return max(c.next().Sub(now), 0)
}

func (c *core) sendHeartbeats(now time.Time) {
	outgoing := c.membership.Heartbeats(now)
	c.leases.Ballots(now, c.membership.View(now), outgoing)
	for _, out := range outgoing {
		if err := c.options.Link.SendDatagram(out.To.Address, kindHeartbeat, out.Heartbeat); err != nil {
			c.log.Debug("heartbeat not sent", "peer", out.To.ID, "error", err)
		}
	}
}

// askReports reads the load of each target on which this scheduler holds a vote: often until it is warm, and then as
// often as the bound on reports allows.
func (c *core) askReports(ctx context.Context, now time.Time) {
	held := 0
	for name, t := range c.targets {
		budget := c.leases.Budget(now, name)
		if budget.Votes == 0 {
			continue
		}
		held++
		pause := reportPeriod
		if budget.State == usherlease.Warm {
			pause = max(pause, c.warmPause)
		}
		if t.asking || now.Sub(t.askedAt) < pause {
			continue
		}
		t.asking, t.askedAt = true, now
		go c.askReport(ctx, name, t.Target)
	}
	c.warmPause = time.Duration(held) * time.Second / reportsPerSecond
}

func (c *core) askReport(ctx context.Context, name string, t usherconfig.Target) {
	ctx, cancel := context.WithTimeout(ctx, 2*reportPeriod)
	defer cancel()
	asked := time.Now()
	report, err := c.options.Targets.Report(ctx, t.Address)
	e := reportEvent{target: name, asked: asked, report: report, err: err}
	for !c.inbox.Offer(e) && ctx.Err() == nil {
		time.Sleep(decisionPeriod)
	}
}

// advertise tells the gateways of the cell what is held and how much room there is.
func (c *core) advertise(now time.Time) {
	a := ushergrant.Advertisement{Scheduler: c.options.Name, Revision: c.revision, Stopping: c.stopping}
	for _, name := range c.leases.Held(now) {
		a.Held = append(a.Held, ushergrant.KeyOf(name))
	}
	for name, s := range c.services {
		room := ushergrant.ServiceCapacity{Service: name}
		for _, t := range s.names {
			if c.options.Config.Eligible(now, t) {
				room.Requests += c.leases.Budget(now, t).Room
			}
		}
		for _, p := range c.waiting {
			if p.request.Service == name {
				room.Waiting++
			}
		}
		if room.Requests > 0 || room.Waiting > 0 {
			a.Capacities = append(a.Capacities, room)
		}
	}
	for _, h := range c.options.Config.Hosts(usherconfig.GatewayRole) {
		if c.options.CellByDataCentre && h.DataCentre != c.options.DataCentre {
			continue
		}
		if err := ushergrant.Advertise(c.options.Link, h.Address.String(), a); err != nil {
			c.log.Debug("advertisement not sent", "gateway", h.Name, "error", err)
		}
	}
}

// sweep gives up attempts of which no gateway has said anything for long, and requests that are no longer asked for.
func (c *core) sweep(now time.Time) {
	for attempt, r := range c.running {
		if now.Sub(r.seen) > silentFor {
			c.end(now, attempt, 0, usheradmit.ResultCancelled, usherlease.Unknown)
		}
	}
	for attempt, p := range c.waiting {
		if now.Sub(p.arrived) > p.request.PollTimeout+silentFor {
			c.withdraw(now, attempt, p)
		}
	}
}
