package usherscheduler

import (
	"context"
	"time"

	"github.com/samphireusher/samphireusher/pkg/usherconfig"
	"github.com/samphireusher/samphireusher/pkg/usherorder"
)

const (
	// orderPeriod is the time between two checks for orders that are due.
	orderPeriod = time.Second
	// observePeriod is the time between two reads of the state of a settled engine.
	observePeriod = 10 * time.Second
	orderTimeout  = 2 * time.Second
)

// observedEvent is the state that an engine reports.
type observedEvent struct {
	target   string
	observed usherorder.Observed
	err      error
}

func (e observedEvent) apply(c *core, _ time.Time) {
	t := c.targets[e.target]
	if t == nil {
		return
	}
	t.observePending = false
	if e.err != nil {
		c.log.Debug("reading engine state failed", "target", e.target, "error", e.err)
		return
	}
	c.orders.Observe(e.target, e.observed)
}

// setDesiredState sets the model, adapters and role that the snapshot declares for each target.
func (c *core) setDesiredState(now time.Time, snapshot usherconfig.Snapshot) {
	desired := []usherorder.Desired{}
	loadsPerMinute := 0
	for name, t := range c.targets {
		s, _ := snapshot.Service(t.Service)
		if s.Model == "" && len(s.Adapters) == 0 && t.Role == "" {
			continue
		}
		if s.LoadsPerMinute > 0 && (loadsPerMinute == 0 || s.LoadsPerMinute < loadsPerMinute) {
			loadsPerMinute = s.LoadsPerMinute
		}
		desired = append(desired, usherorder.Desired{
			Target: name, Model: s.Model, Adapters: s.Adapters, Role: t.Role, ChecksFence: t.ChecksFence,
		})
	}
	// The rate of loads from the weight store is divided evenly among all schedulers, including those of other cells.
	members := max(len(c.options.Config.Hosts(usherconfig.SchedulerRole)), 1)
	c.orders.SetDesired(now, snapshot.Revision, desired, float64(loadsPerMinute)/time.Minute.Seconds()/float64(members))
	c.managed = map[string]bool{}
	for _, d := range desired {
		c.managed[d.Target] = true
	}
}

// sendDueOrders reads the state of engines and sends the orders that are due.
func (c *core) sendDueOrders(ctx context.Context, now time.Time) {
	for name := range c.managed {
		t := c.targets[name]
		period := observePeriod
		if c.orders.State(name) != usherorder.Settled {
			period = orderPeriod
		}
		if t == nil || t.observePending || now.Sub(t.observedAt) < period || c.leases.Budget(now, name).Votes == 0 {
			continue
		}
		t.observePending, t.observedAt = true, now
		go c.readEngineState(ctx, name, t.Target)
	}
	due := c.orders.Due(now, func(name string) usherorder.EngineStatus { return c.engineStatus(now, name) })
	for name := range c.managed {
		if t := c.targets[name]; t != nil {
			c.updateLimit(now, name, t) // before the next grant, because a draining target must get no more requests
		}
	}
	for _, order := range due {
		t := c.targets[order.Target]
		if order.Action != usherorder.LoadAdapter {
			c.leases.MarkCold(order.Target)
		}
		c.dirty[order.Target] = true
		c.log.Info("order", "target", order.Target, "action", string(order.Action), "name", order.Name, "revision", order.Fence)
		go c.sendOrder(ctx, t.Target, order)
	}
}

func (c *core) engineStatus(now time.Time, name string) usherorder.EngineStatus {
	t := c.targets[name]
	if t == nil {
		return usherorder.EngineStatus{}
	}
	b := c.leases.Budget(now, name)
	return usherorder.EngineStatus{Votes: b.Votes > 0, Majority: b.Majority, Running: max(t.ownAttempts, t.reportedRequests)}
}

func (c *core) readEngineState(ctx context.Context, name string, t usherconfig.Target) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	observed, err := c.options.Targets.Orders(ctx, t.Address)
	e := observedEvent{target: name, observed: observed, err: err}
	for !c.inbox.Offer(e) && ctx.Err() == nil {
		time.Sleep(decisionPeriod)
	}
}

func (c *core) sendOrder(ctx context.Context, t usherconfig.Target, order usherorder.Order) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	if err := c.options.Targets.Order(ctx, t.Address, order); err != nil {
		c.log.Warn("failed to send order to engine; retrying until the engine shows its effect", "target", t.Name, "action", string(order.Action), "error", err)
	}
}
