package usherledger_test

import (
	"errors"
	"fmt"
	"slices"
	"strconv"
	"time"

	"github.com/samphireusher/samphireusher/pkg/usherledger"
	"github.com/samphireusher/samphireusher/pkg/usherrequest"
)

// Faults, each of which takes one mechanism out of the world.
const (
	noFault         fault = "none"
	anyGatewayRuns  fault = "a gateway runs an id that another one minted"
	sameIncarnation fault = "a restarted gateway keeps its incarnation"
	forgetsRefusals fault = "an id that was refused for want of room is not given up"
	expiredNotRun   fault = "an expired id is said not to have run"
	goneNotRun      fault = "an id whose gateway is gone is said not to have run"
	lostNotRun      fault = "a request whose target never answered is said not to have run"
)

const (
	request kind = iota
	dispatch
	reply
)

const (
	gatewayCount = 3
	callCount    = 16
	lifetime     = 20 * time.Second
)

var (
	start  = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	limits = usherledger.Limits{Entries: 1}
)

type (
	fault string
	kind  int

	// output is what a call returned: an outcome and, if it completed, which run of the request answered.
	output struct {
		outcome usherrequest.Outcome
		run     int
	}

	// message is a request, its dispatch to the target or the target's reply on its way.
	message struct {
		kind    kind
		to      int
		call    int
		id      usherrequest.ID
		attempt usherrequest.AttemptID
		output  output
	}

	// call is one sending of an id by a caller. A final one reads how often the request ran.
	call struct {
		id           usherrequest.ID
		begun, ended int
		final        bool
		output       output
	}

	// gateway is one process; a restart replaces it.
	gateway struct {
		ledger  *usherledger.Ledger
		minter  *usherrequest.IDGenerator
		lives   map[usherrequest.ID]*usherrequest.Lifecycle
		waiting map[usherrequest.ID][]int
	}

	// world is three gateways, one target that counts, callers, and links that lose, duplicate and reorder.
	world struct {
		choose   func(int) int
		fault    fault
		now      time.Time
		clock    int
		gateways []*gateway
		cut      [gatewayCount]bool
		ids      []usherrequest.ID
		inFlight []message
		calls    []call
		runs     map[usherrequest.ID]int
	}
)

func newWorld(choose func(int) int, f fault) *world {
	w := &world{choose: choose, fault: f, now: start, runs: make(map[usherrequest.ID]int)}
	for i := range gatewayCount {
		w.gateways = append(w.gateways, newGateway(i, 1))
	}
	return w
}

func newGateway(index int, incarnation uint64) *gateway {
	name := strconv.Itoa(index)
	return &gateway{
		ledger:  usherledger.New(name, incarnation, limits),
		minter:  &usherrequest.IDGenerator{Gateway: name, Incarnation: incarnation},
		lives:   make(map[usherrequest.ID]*usherrequest.Lifecycle),
		waiting: make(map[usherrequest.ID][]int),
	}
}

// run takes random steps, delivers all that is left and reads the counts.
func (w *world) run(steps int) {
	for range steps {
		w.step()
	}
	w.cut = [gatewayCount]bool{}
	for len(w.inFlight) > 0 {
		w.deliver(0, false)
	}
	for _, id := range w.ids {
		w.calls = append(w.calls, call{id: id, begun: w.tick(), ended: w.tick(), final: true, output: output{run: w.runs[id]}})
	}
}

func (w *world) step() {
	g := w.choose(gatewayCount)
	switch w.choose(10) {
	case 0, 1:
		w.send(g)
	case 2, 3, 4, 5:
		if len(w.inFlight) > 0 {
			w.deliver(w.choose(len(w.inFlight)), w.choose(6) == 0)
		}
	case 6:
		w.now = w.now.Add(time.Duration(w.choose(8)) * time.Second)
	case 7:
		w.timeOut(w.gateways[g])
	case 8:
		if w.choose(3) == 0 {
			w.restart(g)
		}
	case 9:
		w.cut[g] = !w.cut[g]
	}
}

func (w *world) tick() int {
	w.clock++
	return w.clock
}

// send lets a caller use a new id at its gateway, or an old one at any gateway.
func (w *world) send(to int) {
	if len(w.calls) == callCount {
		return
	}
	var id usherrequest.ID
	if len(w.ids) == 0 || w.choose(3) == 0 {
		expiry := w.now.Add(lifetime/4 + time.Duration(w.choose(20))*time.Second)
		id = must(w.gateways[to].minter.NewID(expiry, "weavers", ""))
		w.ids = append(w.ids, id)
	} else {
		id = w.ids[w.choose(len(w.ids))]
	}
	w.inFlight = append(w.inFlight, message{kind: request, to: to, id: id, call: len(w.calls)})
	w.calls = append(w.calls, call{id: id, begun: w.tick()})
}

// deliver takes message i from its link, on which it may be lost or stay as a duplicate.
func (w *world) deliver(i int, duplicate bool) {
	m := w.inFlight[i]
	if !duplicate || m.kind == dispatch {
		w.inFlight = slices.Delete(w.inFlight, i, i+1)
	}
	switch {
	case m.kind == dispatch:
		w.execute(m)
	case w.cut[m.to]:
	case m.kind == request:
		w.begin(m)
	default:
		w.end(m)
	}
}

func (w *world) begin(m message) {
	g := w.gateways[m.to]
	decision, err := w.decide(g, m.id)
	var refused usherrequest.Refusal
	if errors.As(err, &refused) {
		w.answer(m.call, w.refused(refused))
		return
	}
	switch decision.Action {
	case usherledger.Run:
		life, attempt := usherrequest.NewLifecycle(usherrequest.Rules{}), g.minter.NewAttemptID()
		if err := errors.Join(life.Queue(), life.Grant(), life.Dispatch(attempt)); err != nil {
			panic(err)
		}
		g.lives[m.id] = life
		w.inFlight = append(w.inFlight, message{kind: dispatch, to: m.to, id: m.id, attempt: attempt})
		g.waiting[m.id] = append(g.waiting[m.id], m.call)
	case usherledger.Wait:
		g.waiting[m.id] = append(g.waiting[m.id], m.call)
	case usherledger.ReturnResult:
		w.answer(m.call, outputOf(decision.Result))
	case usherledger.Forward:
		owner := must(strconv.Atoi(decision.Gateway))
		if w.cut[m.to] || w.cut[owner] {
			w.answer(m.call, w.refused(usherledger.GatewayUnreachable()))
			return
		}
		m.to = owner
		w.inFlight = append(w.inFlight, m)
	}
}

// decide asks the ledger, sometimes as an overloaded gateway does.
func (w *world) decide(g *gateway, id usherrequest.ID) (usherledger.Decision, error) {
	overloaded := w.choose(8) == 0
	found, err := g.ledger.Lookup(w.now, id)
	unseen := err == nil && found.Action == usherledger.NotStarted
	if w.fault == forgetsRefusals && unseen && (overloaded || g.ledger.Len() == limits.Entries) {
		return found, usherrequest.Refuse(usherrequest.Evidence{}, usherrequest.ReasonOverloaded)
	}
	if overloaded {
		return g.ledger.Refuse(w.now, id, usherrequest.ReasonOverloaded)
	}
	decision, err := g.ledger.Begin(w.now, id, usherledger.Digest{})
	if w.fault == anyGatewayRuns && decision.Action == usherledger.Forward && g.lives[id] == nil {
		decision.Action = usherledger.Run
	}
	return decision, err
}

// execute is the target: it counts what it runs, or refuses it by protocol.
func (w *world) execute(m message) {
	m.kind, m.output = reply, output{outcome: usherrequest.NotRun}
	if w.choose(4) > 0 {
		w.runs[m.id]++
		m.output = output{usherrequest.Completed, w.runs[m.id]}
	}
	w.inFlight = append(w.inFlight, m)
}

// end takes what the target said about the attempt in progress and drops what belongs to any other.
func (w *world) end(m message) {
	g := w.gateways[m.to]
	life := g.lives[m.id]
	switch {
	case life == nil || life.Attempt() != m.attempt:
	case m.output.outcome == usherrequest.Completed:
		if life.Ended() || life.Complete() == nil {
			w.finish(g, m.id, usherledger.Completed([]byte(strconv.Itoa(m.output.run))))
		}
	case life.TargetRefused() == nil:
		w.finish(g, m.id, usherledger.Refused(must(life.Refuse(usherrequest.ReasonTargetRefused))))
	}
}

// timeOut gives up one attempt that has no answer yet.
func (w *world) timeOut(g *gateway) {
	for _, id := range w.ids {
		if life := g.lives[id]; life != nil && !life.Ended() {
			refused := must(life.Refuse(usherrequest.ReasonTargetLost))
			if w.fault == lostNotRun {
				refused = usherrequest.ReceivedRefusal(usherrequest.NotRun, refused.Reason)
			}
			w.finish(g, id, usherledger.Refused(refused))
			return
		}
	}
}

func (w *world) finish(g *gateway, id usherrequest.ID, result usherledger.Result) {
	if err := g.ledger.Finish(w.now, id, result); err != nil && w.fault == noFault {
		return
	}
	for _, waiting := range g.waiting[id] {
		w.answer(waiting, outputOf(result))
	}
	g.waiting[id] = nil
}

func (w *world) restart(index int) {
	old := w.gateways[index].minter
	w.gateways[index] = newGateway(index, old.Incarnation+1)
	if w.fault == sameIncarnation {
		// Ids are not handed out twice, so that only the lost ledger is to blame.
		w.gateways[index] = newGateway(index, old.Incarnation)
		w.gateways[index].minter = old
	}
}

func (w *world) refused(r usherrequest.Refusal) output {
	if w.fault == expiredNotRun && r.Reason == usherrequest.ReasonExpired ||
		w.fault == goneNotRun && r.Reason == usherrequest.ReasonGatewayGone {
		return output{outcome: usherrequest.NotRun}
	}
	return output{outcome: r.Outcome()}
}

// answer ends a call, unless the answer is lost on its way.
func (w *world) answer(number int, out output) {
	if w.calls[number].ended == 0 && w.choose(6) > 0 {
		w.calls[number].ended = w.tick()
		w.calls[number].output = out
	}
}

func outputOf(result usherledger.Result) output {
	out := output{outcome: result.Outcome()}
	if out.outcome == usherrequest.Completed {
		out.run = must(strconv.Atoi(string(result.Answer)))
	}
	return out
}

// check compares what callers were told with what the target counted.
func (w *world) check() error {
	for id, runs := range w.runs {
		if runs > 1 {
			return fmt.Errorf("request %d of gateway %s ran %d times", id.Counter, id.Gateway, runs)
		}
	}
	for i, c := range w.calls {
		if c.ended != 0 && !c.final && c.output.outcome == usherrequest.NotRun && w.runs[c.id] > 0 {
			return fmt.Errorf("call %d was told not_run, the request ran", i)
		}
	}
	return nil
}

func must[T any](value T, err error) T {
	if err != nil {
		panic(err)
	}
	return value
}
