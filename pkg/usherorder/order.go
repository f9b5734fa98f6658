// Package usherorder reconciles engines with their declaration. It decides which orders a scheduler gives to engines: to
// load a model or an adapter, or to change their role.
//
// Orders depend only on the declaration, so schedulers with the same revision give the same orders. The revision is the
// fencing token. An engine that checks the token refuses orders of schedulers with an older revision. An engine that does
// not check it gets orders only from the holder of a majority of votes, which observes the state of the engine and corrects
// the effect of outdated orders. A scheduler that observes a token higher than its own revision gives no orders, since its
// own revision is outdated.
//
// The model or role of an engine changes only when no requests run on it: it is drained first, and only a quarter of the
// engines on which a scheduler holds votes are in transition at once. Load orders stay within the scheduler's share of the
// declared rate.
//
// A Planner does no I/O and does not read the clock.
//
// # Usage
//
//	var planner usherorder.Planner
//	planner.SetDesired(now, revision, desired, loadsPerSecond)
//	planner.Observe("appraiser-01", observed)
//	for _, order := range planner.Due(now, status) {
//		send(order)
//	}
//	if planner.Draining("appraiser-01") {
//		// send no new requests
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

// The actions of an order.
const (
	LoadModel   Action = "load_model"
	LoadAdapter Action = "load_adapter"
	SetRole     Action = "set_role"
)

// The states of the transition of an engine to its declared state. Settled engines need no orders, Draining ones wait until
// an order can be given, and Ordered ones have been given an order that is not visible yet.
const (
	Settled  State = "settled"
	Draining State = "draining"
	Ordered  State = "ordered"

	eventDiffer = "differ"
	eventOrder  = "order"
	eventSettle = "settle"
	eventRetry  = "retry"

	// retryInterval is the time after which an order is repeated if the engine does not show its effect.
	retryInterval = 10 * time.Second
	// transitionDivisor limits the engines in transition at once to one in this many of those on which votes are held.
	transitionDivisor = 4
)

var transitions = fsm.Events{
	{Name: eventDiffer, Src: []string{string(Settled)}, Dst: string(Draining)},
	{Name: eventOrder, Src: []string{string(Draining)}, Dst: string(Ordered)},
	{Name: eventRetry, Src: []string{string(Ordered)}, Dst: string(Draining)},
	{Name: eventSettle, Src: []string{string(Draining), string(Ordered)}, Dst: string(Settled)},
}

type (
	// Action is the kind of an order.
	Action string

	// State is the state of an engine's transition.
	State string

	// Desired is the declared state of one engine. Empty fields cause no orders.
	Desired struct {
		Target      string
		Model       string
		Adapters    []string
		Role        string
		ChecksFence bool
	}

	// Observed is the state that an engine reports. Fence is the highest fencing token that it has accepted.
	Observed struct {
		Fence    uint64
		Model    string
		Adapters []string
		Role     string
	}

	// Order is an order to one engine. Fence is the fencing token, Name that of the model, adapter or role.
	Order struct {
		Target string
		Fence  uint64
		Action Action
		Name   string
	}

	// EngineStatus is the scheduler's current relation to an engine.
	EngineStatus struct {
		// Votes reports whether the scheduler holds any votes on the engine, Majority whether it holds more than half.
		Votes    bool
		Majority bool
		// Running is the number of requests that the engine has, or may have, in progress.
		Running int
	}

	// Planner decides the orders of one scheduler. The zero value gives no orders.
	Planner struct {
		revision    uint64
		engines     map[string]*engine
		loadLimiter *rate.Limiter
	}

	engine struct {
		desired   Desired
		observed  *Observed
		machine   *fsm.FSM
		pending   Order
		orderedAt time.Time
	}
)

// SetDesired sets the declared states of a revision. LoadsPerSecond is this scheduler's share of the rate of loads. The
// observed state of engines that remain is kept.
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
	if o.loadLimiter == nil {
		o.loadLimiter = rate.NewLimiter(rate.Limit(loadsPerSecond), 1)
	}
	o.loadLimiter.SetLimitAt(now, rate.Limit(loadsPerSecond))
}

// Observe records the state that an engine reports.
func (o *Planner) Observe(target string, observed Observed) {
	e := o.engines[target]
	if e == nil {
		return
	}
	e.observed = &observed
	missing := e.missingOrders()
	switch {
	case len(missing) == 0:
		e.transition(eventSettle)
	case e.state() == Ordered && !slices.Contains(missing, e.pending):
		e.transition(eventRetry) // the order has taken effect; continue with the next
	}
}

// Due returns the orders to give now, at most one per engine.
func (o *Planner) Due(now time.Time, status func(target string) EngineStatus) []Order {
	names := slices.Sorted(maps.Keys(o.engines))
	budget := o.transitionBudget(names, status)
	orders := []Order{}
	for _, name := range names {
		e, s := o.engines[name], status(name)
		if !e.canOrder(o.revision, s) {
			e.transition(eventSettle)
			continue
		}
		if e.state() == Settled {
			if budget == 0 {
				continue
			}
			budget--
			e.transition(eventDiffer)
		}
		if e.state() == Ordered && now.Sub(e.orderedAt) >= retryInterval {
			e.transition(eventRetry)
		}
		if order, ok := o.nextOrder(now, e, s); ok {
			orders = append(orders, order)
		}
	}
	return orders
}

// Draining reports whether the engine must get no new requests because its model or role is about to change.
func (o *Planner) Draining(target string) bool {
	e := o.engines[target]
	return e != nil && e.state() != Settled && e.isDisruptive()
}

// State returns the state of an engine's transition.
func (o *Planner) State(target string) State {
	if e := o.engines[target]; e != nil {
		return e.state()
	}
	return Settled
}

// transitionBudget returns how many more engines may start a transition.
func (o *Planner) transitionBudget(names []string, status func(string) EngineStatus) int {
	held, active := 0, 0
	for _, name := range names {
		if status(name).Votes {
			held++
		}
		if o.engines[name].state() != Settled {
			active++
		}
	}
	return max(max(held/transitionDivisor, 1)-active, 0)
}

// nextOrder returns the engine's next order if it may be given now. A disruptive order waits until no requests run, a load
// order until the rate allows it.
func (o *Planner) nextOrder(now time.Time, e *engine, s EngineStatus) (Order, bool) {
	if e.state() != Draining || e.isDisruptive() && s.Running > 0 {
		return Order{}, false
	}
	next := e.missingOrders()[0]
	if next.Action != SetRole && !o.loadLimiter.AllowN(now, 1) {
		return Order{}, false
	}
	e.transition(eventOrder)
	e.pending, e.orderedAt = next, now
	next.Target, next.Fence = e.desired.Target, o.revision
	return next, true
}

// canOrder reports whether this scheduler may give the engine orders and has any to give.
func (e *engine) canOrder(revision uint64, s EngineStatus) bool {
	if e.observed == nil || e.observed.Fence > revision || len(e.missingOrders()) == 0 {
		return false
	}
	return s.Majority || s.Votes && e.desired.ChecksFence
}

// missingOrders returns the orders that bring the engine to its declared state, in sequence.
func (e *engine) missingOrders() []Order {
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

// isDisruptive reports whether the missing orders would interrupt running requests.
func (e *engine) isDisruptive() bool {
	return slices.ContainsFunc(e.missingOrders(), func(o Order) bool { return o.Action != LoadAdapter })
}

func (e *engine) state() State {
	return State(e.machine.Current())
}

func (e *engine) transition(event string) {
	if e.machine.Can(event) {
		_ = e.machine.Event(context.Background(), event)
	}
}
