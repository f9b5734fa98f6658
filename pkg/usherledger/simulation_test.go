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

// Faults of the simulation. Each disables one mechanism that keeps a request from running twice or from being reported
// falsely as not_run.
const (
	noFault                    fault = "none"
	foreignIDsRun              fault = "a gateway runs an ID that another one issued"
	incarnationReused          fault = "a restarted gateway reuses its incarnation"
	refusalsNotRecorded        fault = "the ledger does not record a refused ID"
	expiredAsNotRun            fault = "an expired ID is reported as not_run"
	gatewayUnreachableAsNotRun fault = "an ID whose gateway is gone is reported as not_run"
	targetLostAsNotRun         fault = "a request whose target did not respond is reported as not_run"
)

const (
	requestMessage messageKind = iota
	dispatchMessage
	replyMessage
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
	fault       string
	messageKind int

	// output is the result of a call: its outcome and, if it completed, the number of the run that produced the answer.
	output struct {
		outcome usherrequest.Outcome
		run     int
	}

	// message is a request, its dispatch to the target or the target's reply, in flight on a link.
	message struct {
		kind    messageKind
		to      int
		call    int
		id      usherrequest.ID
		attempt usherrequest.AttemptID
		output  output
	}

	// call is one use of an ID by a caller. A final call reads how often the request ran.
	call struct {
		id                 usherrequest.ID
		startedAt, endedAt int
		final              bool
		output             output
	}

	// gateway is one gateway process. A restart replaces it.
	gateway struct {
		ledger       *usherledger.Ledger
		idGenerator  *usherrequest.IDGenerator
		lifecycles   map[usherrequest.ID]*usherrequest.Lifecycle
		waitingCalls map[usherrequest.ID][]int
	}

	// simulation has three gateways, one target that counts runs, callers, and links that lose, duplicate and reorder
	// messages.
	simulation struct {
		randomInt   func(int) int
		fault       fault
		now         time.Time
		clock       int
		gateways    []*gateway
		partitioned [gatewayCount]bool
		ids         []usherrequest.ID
		inFlight    []message
		calls       []call
		runs        map[usherrequest.ID]int
	}
)

func newSimulation(randomInt func(int) int, f fault) *simulation {
	s := &simulation{randomInt: randomInt, fault: f, now: start, runs: make(map[usherrequest.ID]int)}
	for i := range gatewayCount {
		s.gateways = append(s.gateways, newGateway(i, 1))
	}
	return s
}

func newGateway(index int, incarnation uint64) *gateway {
	name := strconv.Itoa(index)
	return &gateway{
		ledger:       usherledger.New(name, incarnation, limits),
		idGenerator:  &usherrequest.IDGenerator{Gateway: name, Incarnation: incarnation},
		lifecycles:   make(map[usherrequest.ID]*usherrequest.Lifecycle),
		waitingCalls: make(map[usherrequest.ID][]int),
	}
}

// run takes random steps, delivers the remaining messages and adds a final call per ID that reads its run count.
func (s *simulation) run(steps int) {
	for range steps {
		s.step()
	}
	s.partitioned = [gatewayCount]bool{}
	for len(s.inFlight) > 0 {
		s.deliver(0, false)
	}
	for _, id := range s.ids {
		s.calls = append(s.calls, call{id: id, startedAt: s.tick(), endedAt: s.tick(), final: true, output: output{run: s.runs[id]}})
	}
}

func (s *simulation) step() {
	g := s.randomInt(gatewayCount)
	switch s.randomInt(10) {
	case 0, 1:
		s.send(g)
	case 2, 3, 4, 5:
		if len(s.inFlight) > 0 {
			s.deliver(s.randomInt(len(s.inFlight)), s.randomInt(6) == 0)
		}
	case 6:
		s.now = s.now.Add(time.Duration(s.randomInt(8)) * time.Second)
	case 7:
		s.timeOutAttempt(s.gateways[g])
	case 8:
		if s.randomInt(3) == 0 {
			s.restart(g)
		}
	case 9:
		s.partitioned[g] = !s.partitioned[g]
	}
}

func (s *simulation) tick() int {
	s.clock++
	return s.clock
}

// send sends a request to a gateway, with a new ID of that gateway or an existing ID of any gateway.
func (s *simulation) send(to int) {
	if len(s.calls) == callCount {
		return
	}
	var id usherrequest.ID
	if len(s.ids) == 0 || s.randomInt(3) == 0 {
		expiry := s.now.Add(lifetime/4 + time.Duration(s.randomInt(20))*time.Second)
		id = must(s.gateways[to].idGenerator.NewID(expiry, "weavers", ""))
		s.ids = append(s.ids, id)
	} else {
		id = s.ids[s.randomInt(len(s.ids))]
	}
	s.inFlight = append(s.inFlight, message{kind: requestMessage, to: to, id: id, call: len(s.calls)})
	s.calls = append(s.calls, call{id: id, startedAt: s.tick()})
}

// deliver delivers message i. It is lost if the gateway is partitioned, and a duplicate stays in flight.
func (s *simulation) deliver(i int, duplicate bool) {
	m := s.inFlight[i]
	if !duplicate || m.kind == dispatchMessage {
		s.inFlight = slices.Delete(s.inFlight, i, i+1)
	}
	switch {
	case m.kind == dispatchMessage:
		s.executeOnTarget(m)
	case s.partitioned[m.to]:
	case m.kind == requestMessage:
		s.handleRequest(m)
	default:
		s.handleReply(m)
	}
}

func (s *simulation) handleRequest(m message) {
	g := s.gateways[m.to]
	decision, err := s.decide(g, m.id)
	var refusal usherrequest.Refusal
	if errors.As(err, &refusal) {
		s.completeCall(m.call, s.refusalOutput(refusal))
		return
	}
	switch decision.Action {
	case usherledger.Run:
		lifecycle, attempt := usherrequest.NewLifecycle(usherrequest.Rules{}), g.idGenerator.NewAttemptID()
		if err := errors.Join(lifecycle.Queue(), lifecycle.Grant(), lifecycle.Dispatch(attempt)); err != nil {
			panic(err)
		}
		g.lifecycles[m.id] = lifecycle
		s.inFlight = append(s.inFlight, message{kind: dispatchMessage, to: m.to, id: m.id, attempt: attempt})
		g.waitingCalls[m.id] = append(g.waitingCalls[m.id], m.call)
	case usherledger.Wait:
		g.waitingCalls[m.id] = append(g.waitingCalls[m.id], m.call)
	case usherledger.ReturnResult:
		s.completeCall(m.call, outputOf(decision.Result))
	case usherledger.Forward:
		owner := must(strconv.Atoi(decision.Gateway))
		if s.partitioned[m.to] || s.partitioned[owner] {
			s.completeCall(m.call, s.refusalOutput(usherledger.GatewayUnreachable()))
			return
		}
		m.to = owner
		s.inFlight = append(s.inFlight, m)
	}
}

// decide asks the ledger for a decision, sometimes as an overloaded gateway.
func (s *simulation) decide(g *gateway, id usherrequest.ID) (usherledger.Decision, error) {
	overloaded := s.randomInt(8) == 0
	found, err := g.ledger.Lookup(s.now, id)
	notStarted := err == nil && found.Action == usherledger.NotStarted
	if s.fault == refusalsNotRecorded && notStarted && (overloaded || g.ledger.Len() == limits.Entries) {
		return found, usherrequest.Refuse(usherrequest.Evidence{}, usherrequest.ReasonOverloaded)
	}
	if overloaded {
		return g.ledger.Refuse(s.now, id, usherrequest.ReasonOverloaded)
	}
	decision, err := g.ledger.Begin(s.now, id, usherledger.Digest{})
	if s.fault == foreignIDsRun && decision.Action == usherledger.Forward && g.lifecycles[id] == nil {
		decision.Action = usherledger.Run
	}
	return decision, err
}

// executeOnTarget runs a dispatch on the target, which counts the run or refuses the request by protocol.
func (s *simulation) executeOnTarget(m message) {
	m.kind, m.output = replyMessage, output{outcome: usherrequest.NotRun}
	if s.randomInt(4) > 0 {
		s.runs[m.id]++
		m.output = output{usherrequest.Completed, s.runs[m.id]}
	}
	s.inFlight = append(s.inFlight, m)
}

// handleReply handles the target's reply to the attempt in progress and ignores replies to other attempts.
func (s *simulation) handleReply(m message) {
	g := s.gateways[m.to]
	lifecycle := g.lifecycles[m.id]
	switch {
	case lifecycle == nil || lifecycle.Attempt() != m.attempt:
	case m.output.outcome == usherrequest.Completed:
		if lifecycle.Ended() || lifecycle.Complete() == nil {
			s.finish(g, m.id, usherledger.Completed([]byte(strconv.Itoa(m.output.run))))
		}
	case lifecycle.TargetRefused() == nil:
		s.finish(g, m.id, usherledger.Refused(must(lifecycle.Refuse(usherrequest.ReasonTargetRefused))))
	}
}

// timeOutAttempt ends one attempt that has no reply yet.
func (s *simulation) timeOutAttempt(g *gateway) {
	for _, id := range s.ids {
		if lifecycle := g.lifecycles[id]; lifecycle != nil && !lifecycle.Ended() {
			refusal := must(lifecycle.Refuse(usherrequest.ReasonTargetLost))
			if s.fault == targetLostAsNotRun {
				refusal = usherrequest.ReceivedRefusal(usherrequest.NotRun, refusal.Reason)
			}
			s.finish(g, id, usherledger.Refused(refusal))
			return
		}
	}
}

func (s *simulation) finish(g *gateway, id usherrequest.ID, result usherledger.Result) {
	if err := g.ledger.Finish(s.now, id, result); err != nil && s.fault == noFault {
		return
	}
	for _, waiting := range g.waitingCalls[id] {
		s.completeCall(waiting, outputOf(result))
	}
	g.waitingCalls[id] = nil
}

func (s *simulation) restart(index int) {
	old := s.gateways[index].idGenerator
	s.gateways[index] = newGateway(index, old.Incarnation+1)
	if s.fault == incarnationReused {
		// The ID generator is kept, so that no ID is issued twice and only the lost ledger can cause a violation.
		s.gateways[index] = newGateway(index, old.Incarnation)
		s.gateways[index].idGenerator = old
	}
}

func (s *simulation) refusalOutput(r usherrequest.Refusal) output {
	if s.fault == expiredAsNotRun && r.Reason == usherrequest.ReasonExpired ||
		s.fault == gatewayUnreachableAsNotRun && r.Reason == usherrequest.ReasonGatewayUnreachable {
		return output{outcome: usherrequest.NotRun}
	}
	return output{outcome: r.Outcome()}
}

// completeCall ends a call, unless the response is lost.
func (s *simulation) completeCall(number int, out output) {
	if s.calls[number].endedAt == 0 && s.randomInt(6) > 0 {
		s.calls[number].endedAt = s.tick()
		s.calls[number].output = out
	}
}

func outputOf(result usherledger.Result) output {
	out := output{outcome: result.Outcome()}
	if out.outcome == usherrequest.Completed {
		out.run = must(strconv.Atoi(string(result.Answer)))
	}
	return out
}

// checkCounts compares the outcomes that callers received with the run counts of the target.
func (s *simulation) checkCounts() error {
	for id, runs := range s.runs {
		if runs > 1 {
			return fmt.Errorf("request %d of gateway %s ran %d times", id.Counter, id.Gateway, runs)
		}
	}
	for i, c := range s.calls {
		if c.endedAt != 0 && !c.final && c.output.outcome == usherrequest.NotRun && s.runs[c.id] > 0 {
			return fmt.Errorf("call %d got not_run, but the request ran", i)
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
