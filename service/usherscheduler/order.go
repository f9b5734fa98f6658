package usherscheduler

import (
	"context"
	"time"

	"github.com/samphireusher/samphireusher/pkg/usherconfig"
	"github.com/samphireusher/samphireusher/pkg/usherorder"
)

const (
	// orderPeriod is the time between looks for orders that are due.
	orderPeriod = time.Second
	// observePeriod is the time between readings of what a settled engine has.
	observePeriod = 10 * time.Second
	orderTimeout  = 2 * time.Second
)

// observedEvent is what an engine says it has.
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
	t.observing = false
	if e.err != nil {
		c.log.Debug("orders not read", "target", e.target, "error", e.err)
		return
	}
	c.orders.Observe(e.target, e.observed)
}

// declareOrders takes over what the snapshot wants engines to be.
func (c *core) declareOrders(now time.Time, snapshot usherconfig.Snapshot) {
	desired := []usherorder.Desired{}
	perMinute := 0
	for name, t := range c.targets {
		s, _ := snapshot.Service(t.Service)
		if s.Model == "" && len(s.Adapters) == 0 && t.Role == "" {
			continue
		}
		if s.LoadsPerMinute > 0 && (perMinute == 0 || s.LoadsPerMinute < perMinute) {
			perMinute = s.LoadsPerMinute
		}
		desired = append(desired, usherorder.Desired{
			Target: name, Model: s.Model, Adapters: s.Adapters, Role: t.Role, ChecksFence: t.ChecksFence,
		})
	}
	// The weight store's rate is split evenly over all schedulers, those of other cells included.
	members := max(len(c.options.Config.Hosts(usherconfig.SchedulerRole)), 1)
	c.orders.SetDesired(now, snapshot.Revision, desired, float64(perMinute)/time.Minute.Seconds()/float64(members))
	c.ordering = map[string]bool{}
	for _, d := range desired {
		c.ordering[d.Target] = true
	}
}

// giveOrders reads what engines have and gives the orders that are due.
func (c *core) giveOrders(ctx context.Context, now time.Time) {
	for name := range c.ordering {
		t := c.targets[name]
		pause := observePeriod
		if c.orders.State(name) != usherorder.Settled {
			pause = orderPeriod
		}
		if t == nil || t.observing || now.Sub(t.observedAt) < pause || c.leases.Budget(now, name).Votes == 0 {
			continue
		}
		t.observing, t.observedAt = true, now
		go c.observe(ctx, name, t.Target)
	}
	due := c.orders.Due(now, func(name string) usherorder.Standing { return c.standing(now, name) })
	for name := range c.ordering {
		if t := c.targets[name]; t != nil {
			c.limit(now, name, t) // before the next grant: what drains gets no more work
		}
	}
	for _, order := range due {
		t := c.targets[order.Target]
		if order.Action != usherorder.LoadAdapter {
			c.leases.Chill(order.Target)
		}
		c.touched[order.Target] = true
		c.log.Info("order", "target", order.Target, "action", string(order.Action), "name", order.Name, "revision", order.Fence)
		go c.sendOrder(ctx, t.Target, order)
	}
}

func (c *core) standing(now time.Time, name string) usherorder.Standing {
	t := c.targets[name]
	if t == nil {
		return usherorder.Standing{}
	}
	b := c.leases.Budget(now, name)
	return usherorder.Standing{Votes: b.Votes > 0, Majority: b.Majority, Running: max(t.own, t.reported)}
}

func (c *core) observe(ctx context.Context, name string, t usherconfig.Target) {
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
		c.log.Warn("order failed", "target", t.Name, "action", string(order.Action), "error", err)
	}
}
