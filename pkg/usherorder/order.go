// Package usherorder decides which orders a scheduler gives to engines: to load a model or adapter, or to take a role.
//
// Orders follow from the declaration alone, so that two schedulers of one revision give the same order, and its revision
// is the fencing number. An engine that checks the number refuses an old view's order. To one that does not, only the
// holder of a majority of votes gives orders; it reads back what the engine has and puts right what an old view did. A
// scheduler that reads a higher number than its own revision orders nothing: its own view is the old one.
//
// A model or role changes only once nothing runs on the engine: it drains first, and only a quarter of the engines that
// a scheduler holds are on their way at once. Orders to load keep within the scheduler's share of the declared rate.
//
// An Orders does no I/O and reads no clock.
//
// # Usage
//
//	var orders usherorder.Orders
//	orders.SetDesired(now, revision, desired, share)
//	orders.Observe(now, "appraiser-01", observed)
//	for _, order := range orders.Due(now, standing) {
//		send(order)
//	}
//	if orders.Draining("appraiser-01") {
//		// no new work
//	}
package usherorder

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/looplab/fsm"
	"golang.org/x/time/rate"
)

// Actions of an order.
const (
	LoadModel   Action = "load_model"
	LoadAdapter Action = "load_adapter"
	SetRole     Action = "set_role"
)

// States of an engine on its way to what is declared.
const (
	Settled  State = "settled"
	Draining State = "draining"
	Ordered  State = "ordered"

	eventDiffer = "differ"
	eventOrder  = "order"
	eventSettle = "settle"
	eventRetry  = "retry"

	// retryAfter is how long an order has to show before it is given again.
	retryAfter = 10 * time.Second
	// atOnce is the part of the held engines that may be on their way at one time: one of so many.
	atOnce = 4
)

var transitions = fsm.Events{
	{Name: eventDiffer, Src: []string{string(Settled)}, Dst: string(Draining)},
	{Name: eventOrder, Src: []string{string(Draining)}, Dst: string(Ordered)},
	{Name: eventRetry, Src: []string{string(Ordered)}, Dst: string(Draining)},
	{Name: eventSettle, Src: []string{string(Draining), string(Ordered)}, Dst: string(Settled)},
}

type (
	// Action is what an order says.
	Action string

	// State is where an engine is on its way.
	State string

	// Desired is what is declared for one engine. Empty parts order nothing.
	Desired struct {
		Target      string
		Model       string
		Adapters    []string
		Role        string
		ChecksFence bool
	}

	// Observed is what an engine says it has.
	Observed struct {
		Fence    uint64
		Model    string
		Adapters []string
		Role     string
	}

	// Order is one order to one engine.
	Order struct {
		Target string
		Fence  uint64
		Action Action
		Name   string
	}

	// EngineStatus is what the scheduler knows of an engine now.
	EngineStatus struct {
		// Votes is whether it holds any vote on the engine, Majority whether more than half.
		Votes    bool
		Majority bool
		// Running is how many requests the engine has, or may have, in progress.
		Running int
	}

	// Planner decides the orders of one scheduler. The zero value gives no orders.
	Planner struct {
		revision uint64
		engines  map[string]*engine
		loads    *rate.Limiter
	}

	engine struct {
		desired   Desired
		observed  *Observed
		machine   *fsm.FSM
		pending   Order
		orderedAt time.Time
	}
)

// SetDesired takes over what a revision declares. LoadsPerSecond is this scheduler's share of the rate of loads. What was
// observed of engines that stay is kept.
func (o *Planner) SetDesired(now time.Time, revision uint64, desired []Desired, loadsPerSecond float64) {
	o.revision = revision
	engines := map[string]*engine{}
	for _, d := range desired {
		e := o.engines[d.Target]
		if e == nil {
			e = &engine{machine: fsm.NewFSM(string(Settled), transitions, nil)}
		}
		e.desired = d
		engines[d.Target] = e
	}
	o.engines = engines
	if o.loads == nil {
		o.loads = rate.NewLimiter(rate.Limit(loadsPerSecond), 1)
	}
	o.loads.SetLimitAt(now, rate.Limit(loadsPerSecond))
}

// Observe takes in what an engine says it has.
func (o *Planner) Observe(target string, observed Observed) {
	e := o.engines[target]
	if e == nil {
		return
	}
	e.observed = &observed
	missing := e.missing()
	switch {
	case len(missing) == 0:
		e.step(eventSettle)
	case e.state() == Ordered && !slices.Contains(missing, e.pending):
		e.step(eventRetry) // what was ordered is there: on to the next
	}
}

// Due returns the orders to give now, one for each engine at most.
func (o *Planner) Due(now time.Time, standing func(target string) EngineStatus) []Order {
	names := slices.Sorted(maps.Keys(o.engines))
	budget := o.budget(names, standing)
	orders := []Order{}
	for _, name := range names {
		e, s := o.engines[name], standing(name)
		if !e.may(o.revision, s) {
			e.step(eventSettle)
			continue
		}
		if e.state() == Settled {
			if budget == 0 {
				continue
			}
			budget--
			e.step(eventDiffer)
		}
		if e.state() == Ordered && now.Sub(e.orderedAt) >= retryAfter {
			e.step(eventRetry)
		}
		if order, ok := o.order(now, e, s); ok {
			orders = append(orders, order)
		}
	}
	return orders
}

// Draining reports whether the engine must get no new work, since a model or role is to change.
func (o *Planner) Draining(target string) bool {
	e := o.engines[target]
	return e != nil && e.state() != Settled && e.disruptive()
}

// State returns where an engine is.
func (o *Planner) State(target string) State {
	if e := o.engines[target]; e != nil {
		return e.state()
	}
	return Settled
}

// budget returns how many more engines may start on their way.
func (o *Planner) budget(names []string, standing func(string) EngineStatus) int {
	held, under := 0, 0
	for _, name := range names {
		if standing(name).Votes {
			held++
		}
		if o.engines[name].state() != Settled {
			under++
		}
	}
	return max(max(held/atOnce, 1)-under, 0)
}

// order returns the engine's next order if it may be given now.
func (o *Planner) order(now time.Time, e *engine, s EngineStatus) (Order, bool) {
	if e.state() != Draining || e.disruptive() && s.Running > 0 {
		return Order{}, false
	}
	next := e.missing()[0]
	if next.Action != SetRole && !o.loads.AllowN(now, 1) {
		return Order{}, false
	}
	e.step(eventOrder)
	e.pending, e.orderedAt = next, now
	next.Target, next.Fence = e.desired.Target, o.revision
	return next, true
}

// may reports whether this scheduler may order the engine, and has something to order.
func (e *engine) may(revision uint64, s EngineStatus) bool {
	if e.observed == nil || e.observed.Fence > revision || len(e.missing()) == 0 {
		return false
	}
	return s.Majority || s.Votes && e.desired.ChecksFence
}

// missing returns the orders that would make the engine what is declared, in their order.
func (e *engine) missing() []Order {
	orders := []Order{}
	if e.observed == nil {
		return orders
	}
	if e.desired.Role != "" && e.desired.Role != e.observed.Role {
		orders = append(orders, Order{Action: SetRole, Name: e.desired.Role})
	}
	if e.desired.Model != "" && e.desired.Model != e.observed.Model {
		orders = append(orders, Order{Action: LoadModel, Name: e.desired.Model})
	}
	for _, adapter := range e.desired.Adapters {
		if !slices.Contains(e.observed.Adapters, adapter) {
			orders = append(orders, Order{Action: LoadAdapter, Name: adapter})
		}
	}
	return orders
}

// disruptive reports whether what is missing would cut off what runs.
func (e *engine) disruptive() bool {
	return slices.ContainsFunc(e.missing(), func(o Order) bool { return o.Action != LoadAdapter })
}

func (e *engine) state() State {
	return State(e.machine.Current())
}

func (e *engine) step(event string) {
	if e.machine.Can(event) {
		_ = e.machine.Event(context.Background(), event)
	}
}
