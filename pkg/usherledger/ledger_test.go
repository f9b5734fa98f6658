package usherledger_test

import (
	"cmp"
	"errors"
	"flag"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/samphireusher/samphireusher/pkg/usherledger"
	"github.com/samphireusher/samphireusher/pkg/usherrequest"
	"pgregory.net/rapid"
)

const (
	defaultSeed     = "1"
	rapidChecks     = "500"
	simulationSteps = 150
	faultSeeds      = 300
)

// States of a request in the linearizability model.
const (
	notStarted modelState = iota
	ran
	permanentlyRefused
)

type modelState int

// useSeed sets the seed of rapid from USHER_SEED. It is called from tests and not from TestMain, so that the test cache
// depends on the variable.
func useSeed(t *testing.T) {
	t.Helper()
	for name, value := range map[string]string{"rapid.seed": cmp.Or(os.Getenv("USHER_SEED"), defaultSeed), "rapid.checks": rapidChecks} {
		if err := flag.Set(name, value); err != nil {
			t.Fatal(err)
		}
	}
}

// linearizable reports whether some order of the calls satisfies the sequential specification: a request runs once or
// is refused permanently, and after "unknown" it may have run, been refused, or neither. A call without a response is
// concurrent with everything up to the end of the history.
func (s *simulation) linearizable() bool {
	byID := make(map[usherrequest.ID][]porcupine.Operation)
	for i, c := range s.calls {
		byID[c.id] = append(byID[c.id], porcupine.Operation{
			ClientId: i, Input: c, Call: int64(c.startedAt), Output: c.output, Return: int64(cmp.Or(c.endedAt, s.clock+1)),
		})
	}
	model := porcupine.NondeterministicModel{
		Init: func() []any { return []any{notStarted} },
		Step: func(state, input, out any) []any { return nextStates(state.(modelState), input.(call), out.(output)) },
	}
	for _, operations := range byID {
		if !porcupine.CheckOperations(model.ToModel(), operations) {
			return false
		}
	}
	return true
}

func nextStates(state modelState, c call, out output) []any {
	if c.final {
		if out.run == 0 && state != ran || out.run == 1 && state == ran {
			return []any{state}
		}
		return nil
	}
	switch out.outcome {
	case usherrequest.Completed:
		if out.run == 1 && state != permanentlyRefused {
			return []any{ran}
		}
		return nil
	case usherrequest.NotRun:
		if state != ran {
			return []any{permanentlyRefused}
		}
		return nil
	default:
		if state == notStarted {
			return []any{notStarted, ran, permanentlyRefused}
		}
		return []any{state}
	}
}

func TestRunsAtMostOnceAndReportsNotRunTruthfully(t *testing.T) {
	useSeed(t)
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "choice") }, noFault)
		s.run(simulationSteps)
		if err := s.checkCounts(); err != nil {
			t.Fatal(err)
		}
		if !s.linearizable() {
			t.Fatalf("history is not linearizable: %+v", s.calls)
		}
	})
}

func TestChecksDetectFaults(t *testing.T) {
	for _, f := range []fault{
		noFault, foreignIDsRun, incarnationReused, refusalsNotRecorded, expiredAsNotRun, gatewayUnreachableAsNotRun, targetLostAsNotRun,
	} {
		t.Run(string(f), func(t *testing.T) {
			countViolations, nonLinearizable, completed := 0, 0, 0
			for seed := range uint64(faultSeeds) {
				s := newSimulation(rand.New(rand.NewPCG(seed, 2)).IntN, f)
				s.run(simulationSteps)
				if s.checkCounts() != nil {
					countViolations++
				}
				if !s.linearizable() {
					nonLinearizable++
				}
				for _, c := range s.calls {
					if c.output.outcome == usherrequest.Completed {
						completed++
					}
				}
			}
			t.Logf("%d seeds: run counts show a violation in %d, histories are not linearizable in %d; %d calls completed",
				faultSeeds, countViolations, nonLinearizable, completed)
			if want := f != noFault; (countViolations > 0) != want || (nonLinearizable > 0) != want || completed == 0 {
				t.Errorf("violations by run counts %d, non-linearizable histories %d, completed calls %d", countViolations, nonLinearizable, completed)
			}
		})
	}
}

func newID(t *testing.T, generator *usherrequest.IDGenerator, key string) usherrequest.ID {
	t.Helper()
	id, err := generator.NewID(start.Add(lifetime), "weavers", key)
	if err != nil {
		t.Fatal(err)
	}
	return id
}

func expect(t *testing.T, step string, l *usherledger.Ledger, now time.Time, id usherrequest.ID, content usherledger.Digest, want string) {
	t.Helper()
	names := map[usherledger.Action]string{
		usherledger.Run: "run", usherledger.ReturnResult: "return result", usherledger.Wait: "wait", usherledger.Forward: "forward",
	}
	decision, err := l.Begin(now, id, content)
	got := names[decision.Action]
	var refusal usherrequest.Refusal
	if errors.As(err, &refusal) {
		got = refusal.Error()
	}
	if got != want {
		t.Errorf("%s: %s, want %s", step, got, want)
	}
}

func TestDecisions(t *testing.T) {
	var a, b usherledger.Digest
	b[0] = 1
	l := usherledger.New("0", 5, usherledger.Limits{Entries: 2})
	generator := &usherrequest.IDGenerator{Gateway: "0", Incarnation: 5}
	first, keyed, again := newID(t, generator, ""), newID(t, generator, "order/12"), newID(t, generator, "order/12")
	unused, refused := newID(t, generator, ""), newID(t, generator, "")
	foreign := newID(t, &usherrequest.IDGenerator{Gateway: "1", Incarnation: 5}, "")
	earlier := newID(t, &usherrequest.IDGenerator{Gateway: "0", Incarnation: 4}, "")

	expect(t, "first use", l, start, first, a, "run")
	expect(t, "retry while it runs", l, start, first, a, "wait")
	if err := l.Finish(start, first, usherledger.Completed([]byte("receipt"))); err != nil {
		t.Fatal(err)
	}
	expect(t, "retry after it ended", l, start, first, a, "return result")
	expect(t, "same ID with different content", l, start, first, b, "unknown: conflict")
	expect(t, "issued by another gateway", l, start, foreign, a, "forward")
	expect(t, "issued by an earlier incarnation", l, start, earlier, a, "unknown: gateway_gone")
	expect(t, "first use of an idempotency key", l, start, keyed, a, "run")
	expect(t, "second ID with the same key", l, start, again, a, "wait")
	expect(t, "ledger full", l, start, refused, a, "not_run: ledger_full")
	late := start.Add(lifetime)
	if _, err := l.Lookup(late, first); err == nil {
		t.Error("Lookup of an expired ID returned no error")
	}
	if got := l.Len(); got != 1 {
		t.Errorf("%d entries after the first expired, want 1, in progress", got)
	}
	expect(t, "expired", l, late, first, a, "unknown: expired")
	expect(t, "clock set back", l, start, first, a, "unknown: expired")
	expect(t, "unused and expired", l, start, unused, a, "unknown: expired")
}

func TestRefusedIDsStayRefused(t *testing.T) {
	var content usherledger.Digest
	l := usherledger.New("0", 5, usherledger.Limits{Entries: 1, AnswerBytes: 4})
	generator := &usherrequest.IDGenerator{Gateway: "0", Incarnation: 5}
	held, older, refused := newID(t, generator, ""), newID(t, generator, ""), newID(t, generator, "")
	expect(t, "first use", l, start, held, content, "run")
	expect(t, "ledger full", l, start, refused, content, "not_run: ledger_full")
	if err := l.Finish(start, held, usherledger.Completed([]byte("too long"))); err != nil {
		t.Fatal(err)
	}
	if decision, err := l.Lookup(start, held); err != nil || !decision.Result.AnswerDropped || decision.Result.Outcome() != usherrequest.Completed {
		t.Errorf("an answer above AnswerBytes must be dropped: got %+v, %v", decision, err)
	}
	late := start.Add(lifetime)
	if _, err := l.Lookup(late, held); err == nil || l.Len() != 0 {
		t.Fatalf("expired entry was answered or not dropped: %d entries", l.Len())
	}
	refused.Expiry, older.Expiry = late.Add(lifetime), late.Add(lifetime)
	expect(t, "refused earlier", l, late, refused, content, "not_run: id_given_up")
	expect(t, "unused with a lower counter", l, late, older, content, "not_run: id_given_up")
	next, err := generator.NewID(late.Add(lifetime), "weavers", "")
	if err != nil {
		t.Fatal(err)
	}
	expect(t, "issued later", l, late, next, content, "run")
	l.Stop()
	expect(t, "retry after Stop", l, late, next, content, "wait")
	next.Counter++
	expect(t, "new request after Stop", l, late, next, content, "not_run: stopping")
}

func BenchmarkBeginAndFinish(b *testing.B) {
	l := usherledger.New("0", 5, usherledger.Limits{Entries: 1 << 30, AnswerBytes: 1 << 30})
	generator := &usherrequest.IDGenerator{Gateway: "0", Incarnation: 5}
	result := usherledger.Completed([]byte("receipt"))
	b.ReportAllocs()
	for b.Loop() {
		id := must(generator.NewID(start.Add(lifetime), "weavers", ""))
		if _, err := l.Begin(start, id, usherledger.Digest{}); err != nil {
			b.Fatal(err)
		}
		if err := l.Finish(start, id, result); err != nil {
			b.Fatal(err)
		}
	}
}
