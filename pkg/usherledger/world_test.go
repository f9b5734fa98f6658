package usherledger_test

import (
	"errors"
	"fmt"
	"strconv"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/samphireusher/samphireusher/pkg/usherledger"
	"github.com/samphireusher/samphireusher/pkg/usherrequest"
)

const (
	noFault fault = iota
	// anyGatewayRuns lets a gateway run an id that another one minted.
	anyGatewayRuns
	// sameIncarnation gives a restarted gateway the incarnation that it had before.
	sameIncarnation
	// forgetsRefusals refuses for want of room without giving the id up.
	forgetsRefusals
	// expiredNotRun claims that an expired id has not run.
	expiredNotRun
	// goneNotRun claims that an id whose gateway is gone has not run.
	goneNotRun
	// lostNotRun claims that a request whose target never answered has not run.
	lostNotRun
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
	// fault takes one mechanism out of the world.
	fault int

	// message is a request, its answer, a dispatch or a reply on its way.
	message struct {
		kind    kind
		to      int
		id      usherrequest.ID
		call    int
		attempt usherrequest.AttemptID
		output  output
	}

	kind int

	// gateway is one process; a restart replaces it.
	gateway struct {
		ledger  *usherledger.Ledger
		minter  *usherrequest.Minter
		lives   map[usherrequest.ID]*usherrequest.Life
		waiting map[usherrequest.ID][]int
	}

	// output is what a call returned: an outcome and, if it completed, which run of the request answered.
	output struct {
		outcome usherrequest.Outcome
		run     int
	}

	// call is one sending of an id by a caller, as porcupine sees it. A final one reads the count of runs.
	call struct {
		id     usherrequest.ID
		begun  int
		ended  int
		final  bool
		output output
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

const (
	request kind = iota
	dispatch
	reply
	refusal
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
		minter:  &usherrequest.Minter{Gateway: name, Incarnation: incarnation},
		lives:   make(map[usherrequest.ID]*usherrequest.Life),
		waiting: make(map[usherrequest.ID][]int),
	}
}

// run takes random steps and then delivers all that is left.
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
	switch w.choose(10) {
	case 0, 1:
		w.send()
	case 2, 3, 4, 5:
		if len(w.inFlight) > 0 {
			w.deliver(w.choose(len(w.inFlight)), w.choose(6) == 0)
		}
	case 6:
		w.now = w.now.Add(time.Duration(w.choose(8)) * time.Second)
	case 7:
		w.timeOut(w.choose(gatewayCount))
	case 8:
		if w.choose(3) == 0 {
			w.restart(w.choose(gatewayCount))
		}
	case 9:
		g := w.choose(gatewayCount)
		w.cut[g] = !w.cut[g]
	}
}

func (w *world) tick() int {
	w.clock++
	return w.clock
}

// send lets a caller use a new id at its gateway, or an old one at any gateway.
func (w *world) send() {
	if len(w.calls) >= callCount {
		return
	}
	to := w.choose(gatewayCount)
	var id usherrequest.ID
	if len(w.ids) == 0 || w.choose(3) == 0 {
		g := w.gateways[to]
		minted, err := g.minter.ID(w.now.Add(lifetime/4+time.Duration(w.choose(20))*time.Second), "weavers", "")
		if err != nil {
			panic(err)
		}
		w.ids = append(w.ids, minted)
		id = minted
	} else {
		id = w.ids[w.choose(len(w.ids))]
	}
	w.calls = append(w.calls, call{id: id, begun: w.tick()})
	w.inFlight = append(w.inFlight, message{kind: request, to: to, id: id, call: len(w.calls) - 1})
}

// deliver takes message i from its link, on which it may be lost or stay as a duplicate.
func (w *world) deliver(i int, duplicate bool) {
	m := w.inFlight[i]
	if !duplicate {
		w.inFlight = append(w.inFlight[:i], w.inFlight[i+1:]...)
	}
	if w.cut[m.to] && m.kind != dispatch {
		return
	}
	switch m.kind {
	case request:
		w.begin(m)
	case dispatch:
		w.execute(m)
	case reply, refusal:
		w.gateways[m.to].end(w, m)
	}
}

func (w *world) begin(m message) {
	g := w.gateways[m.to]
	if w.fault == forgetsRefusals {
		found, err := g.ledger.Lookup(w.now, m.id)
		if err == nil && found.Action == usherledger.Unseen && g.ledger.Len() == limits.Entries {
			w.answer(m.call, output{outcome: usherrequest.NotRun})
			return
		}
	}
	decision, err := g.ledger.Begin(w.now, m.id, usherledger.Digest{})
	if w.fault == anyGatewayRuns && decision.Action == usherledger.Forward && g.lives[m.id] == nil {
		decision = usherledger.Decision{Action: usherledger.Run}
	}
	var refused usherrequest.Refusal
	if errors.As(err, &refused) {
		w.answer(m.call, w.refused(refused))
		return
	}
	switch decision.Action {
	case usherledger.Run:
		g.lives[m.id] = newLife(g.minter.Attempt())
		g.waiting[m.id] = append(g.waiting[m.id], m.call)
		w.inFlight = append(w.inFlight, message{kind: dispatch, to: m.to, id: m.id, attempt: g.lives[m.id].Attempt()})
	case usherledger.Wait:
		g.waiting[m.id] = append(g.waiting[m.id], m.call)
	case usherledger.Answer:
		w.answer(m.call, outputOf(decision.Result))
	case usherledger.Forward:
		owner, err := strconv.Atoi(decision.Gateway)
		if err != nil {
			panic(err)
		}
		if w.cut[m.to] || w.cut[owner] {
			w.answer(m.call, w.refused(usherledger.Unreachable()))
			return
		}
		m.to = owner
		w.inFlight = append(w.inFlight, m)
	}
}

func newLife(attempt usherrequest.AttemptID) *usherrequest.Life {
	life := usherrequest.NewLife(usherrequest.Rules{})
	dispatched := func() error { return life.Dispatch(attempt) }
	for _, step := range []func() error{life.Queue, life.Grant, dispatched} {
		if err := step(); err != nil {
			panic(err)
		}
	}
	return life
}

// execute is the target: it counts what it runs, or refuses it by protocol. A link that duplicates a dispatch is
// not the ledger's to mend, so the target takes each attempt once.
func (w *world) execute(m message) {
	for i := 0; i < len(w.inFlight); i++ {
		if w.inFlight[i].kind == dispatch && w.inFlight[i].attempt == m.attempt {
			w.inFlight = append(w.inFlight[:i], w.inFlight[i+1:]...)
			i--
		}
	}
	m.kind = refusal
	if w.choose(4) > 0 {
		w.runs[m.id]++
		m.kind = reply
		m.output = output{outcome: usherrequest.Completed, run: w.runs[m.id]}
	}
	w.inFlight = append(w.inFlight, m)
}

// end takes what a target said about the attempt in progress and drops what belongs to any other.
func (g *gateway) end(w *world, m message) {
	life := g.lives[m.id]
	if life == nil || life.Attempt() != m.attempt {
		return
	}
	if m.kind == reply {
		if life.Ended() || life.Complete() == nil {
			g.finish(w, m.id, usherledger.Completed([]byte(strconv.Itoa(m.output.run))))
		}
		return
	}
	if life.Ended() || life.TargetRefused() != nil {
		return
	}
	if refused, err := life.Refuse(usherrequest.ReasonTargetRefused); err == nil {
		g.finish(w, m.id, usherledger.Refused(refused))
	}
}

// timeOut gives up one attempt that has no answer yet.
func (w *world) timeOut(index int) {
	g := w.gateways[index]
	for _, id := range w.ids {
		life := g.lives[id]
		if life == nil || life.Ended() {
			continue
		}
		refused, err := life.Refuse(usherrequest.ReasonTargetLost)
		if err != nil {
			panic(err)
		}
		if w.fault == lostNotRun {
			refused = usherrequest.ReceivedRefusal(usherrequest.NotRun, refused.Reason)
		}
		g.finish(w, id, usherledger.Refused(refused))
		return
	}
}

func (g *gateway) finish(w *world, id usherrequest.ID, result usherledger.Result) {
	if err := g.ledger.Finish(w.now, id, result); err != nil && w.fault == noFault {
		return
	}
	for _, waiting := range g.waiting[id] {
		w.answer(waiting, outputOf(result))
	}
	g.waiting[id] = nil
}

func (w *world) restart(index int) {
	incarnation := w.gateways[index].minter.Incarnation + 1
	if w.fault == sameIncarnation {
		incarnation--
	}
	w.gateways[index] = newGateway(index, incarnation)
	if w.fault == sameIncarnation {
		for range callCount {
			// Ids are not handed out twice, so that only the lost ledger is to blame.
			if _, err := w.gateways[index].minter.ID(w.now, "weavers", ""); err != nil {
				panic(err)
			}
		}
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
	run, err := strconv.Atoi(string(result.Answer))
	if result.Outcome() == usherrequest.Completed && err != nil {
		panic(err)
	}
	return output{outcome: result.Outcome(), run: run}
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

// history returns the calls as porcupine takes them. A call without an answer is open until the end.
func (w *world) history() []porcupine.Operation {
	var operations []porcupine.Operation
	for i, c := range w.calls {
		if c.ended == 0 {
			c.ended = w.clock + 1
		}
		operations = append(operations, porcupine.Operation{
			ClientId: i, Input: c, Call: int64(c.begun), Output: c.output, Return: int64(c.ended),
		})
	}
	return operations
}
