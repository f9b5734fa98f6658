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
	defaultSeed = "1"
	checks      = "500"
	worldSteps  = 150
	faultSeeds  = 300
)

// States of one request in the model: what its history so far allows to be told.
const (
	fresh modelState = iota
	ran
	refusedForGood
)

type modelState int

// useSeed makes rapid walk as USHER_SEED says. A test calls it, not TestMain, so that the test cache takes note of the variable.
func useSeed(t *testing.T) {
	t.Helper()
	for name, value := range map[string]string{"rapid.seed": cmp.Or(os.Getenv("USHER_SEED"), defaultSeed), "rapid.checks": checks} {
		if err := flag.Set(name, value); err != nil {
			t.Fatal(err)
		}
	}
}

// explained reports whether some order of the calls meets the sequential specification: a request runs once or is
// refused for good, and "unknown" may be either or neither. A call without an answer is open until the end.
func (w *world) explained() bool {
	byID := make(map[usherrequest.ID][]porcupine.Operation)
	for i, c := range w.calls {
		byID[c.id] = append(byID[c.id], porcupine.Operation{
			ClientId: i, Input: c, Call: int64(c.begun), Output: c.output, Return: int64(cmp.Or(c.ended, w.clock+1)),
		})
	}
	model := porcupine.NondeterministicModel{
		Init: func() []any { return []any{fresh} },
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
		if out.run == 1 && state != refusedForGood {
			return []any{ran}
		}
		return nil
	case usherrequest.NotRun:
		if state != ran {
			return []any{refusedForGood}
		}
		return nil
	default:
		if state == fresh {
			return []any{fresh, ran, refusedForGood}
		}
		return []any{state}
	}
}

func TestRunsAtMostOnceAndRefusesTruthfully(t *testing.T) {
	useSeed(t)
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "choice") }, noFault)
		w.run(worldSteps)
		if err := w.check(); err != nil {
			t.Fatal(err)
		}
		if !w.explained() {
			t.Fatalf("no order of the calls explains %+v", w.calls)
		}
	})
}

func TestChecksFindFaults(t *testing.T) {
	for _, f := range []fault{
		noFault, anyGatewayRuns, sameIncarnation, forgetsRefusals, expiredNotRun, goneNotRun, lostNotRun,
	} {
		t.Run(string(f), func(t *testing.T) {
			counted, unexplained, completed := 0, 0, 0
			for seed := range uint64(faultSeeds) {
				w := newWorld(rand.New(rand.NewPCG(seed, 2)).IntN, f)
				w.run(worldSteps)
				if w.check() != nil {
					counted++
				}
				if !w.explained() {
					unexplained++
				}
				for _, c := range w.calls {
					if c.output.outcome == usherrequest.Completed {
						completed++
					}
				}
			}
			t.Logf("of %d seeds the counts show a violation with %d, the histories with %d; %d calls completed",
				faultSeeds, counted, unexplained, completed)
			if want := f != noFault; (counted > 0) != want || (unexplained > 0) != want || completed == 0 {
				t.Errorf("counts %d, histories %d, completed %d", counted, unexplained, completed)
			}
		})
	}
}

func mint(t *testing.T, minter *usherrequest.IDGenerator, key string) usherrequest.ID {
	t.Helper()
	id, err := minter.NewID(start.Add(lifetime), "weavers", key)
	if err != nil {
		t.Fatal(err)
	}
	return id
}

func expect(t *testing.T, step string, l *usherledger.Ledger, now time.Time, id usherrequest.ID, content usherledger.Digest, want string) {
	t.Helper()
	names := map[usherledger.Action]string{
		usherledger.Run: "run", usherledger.ReturnResult: "answer", usherledger.Wait: "wait", usherledger.Forward: "forward",
	}
	decision, err := l.Begin(now, id, content)
	got := names[decision.Action]
	var refused usherrequest.Refusal
	if errors.As(err, &refused) {
		got = refused.Error()
	}
	if got != want {
		t.Errorf("%s: %s, want %s", step, got, want)
	}
}

func TestDecisions(t *testing.T) {
	var a, b usherledger.Digest
	b[0] = 1
	l := usherledger.New("0", 5, usherledger.Limits{Entries: 2})
	minter := &usherrequest.IDGenerator{Gateway: "0", Incarnation: 5}
	first, keyed, again := mint(t, minter, ""), mint(t, minter, "order/12"), mint(t, minter, "order/12")
	unused, refused := mint(t, minter, ""), mint(t, minter, "")
	foreign := mint(t, &usherrequest.IDGenerator{Gateway: "1", Incarnation: 5}, "")
	earlier := mint(t, &usherrequest.IDGenerator{Gateway: "0", Incarnation: 4}, "")

	expect(t, "first use", l, start, first, a, "run")
	expect(t, "resend while it runs", l, start, first, a, "wait")
	if err := l.Finish(start, first, usherledger.Completed([]byte("receipt"))); err != nil {
		t.Fatal(err)
	}
	expect(t, "resend after its end", l, start, first, a, "answer")
	expect(t, "same id, other content", l, start, first, b, "unknown: conflict")
	expect(t, "minted elsewhere", l, start, foreign, a, "forward")
	expect(t, "earlier incarnation", l, start, earlier, a, "unknown: gateway_gone")
	expect(t, "first use of a caller's key", l, start, keyed, a, "run")
	expect(t, "second id with that key", l, start, again, a, "wait")
	expect(t, "full", l, start, refused, a, "not_run: ledger_full")
	late := start.Add(lifetime)
	if _, err := l.Lookup(late, first); err == nil {
		t.Error("an expired id is still answered")
	}
	if got := l.Len(); got != 1 {
		t.Errorf("%d entries after the first expired, want the one in progress", got)
	}
	expect(t, "expired", l, late, first, a, "unknown: expired")
	expect(t, "clock set back", l, start, first, a, "unknown: expired")
	expect(t, "unused and expired", l, start, unused, a, "unknown: expired")
}

func TestRefusedIDsStayRefused(t *testing.T) {
	var content usherledger.Digest
	l := usherledger.New("0", 5, usherledger.Limits{Entries: 1, AnswerBytes: 4})
	minter := &usherrequest.IDGenerator{Gateway: "0", Incarnation: 5}
	held, older, refused := mint(t, minter, ""), mint(t, minter, ""), mint(t, minter, "")
	expect(t, "held", l, start, held, content, "run")
	expect(t, "full", l, start, refused, content, "not_run: ledger_full")
	if err := l.Finish(start, held, usherledger.Completed([]byte("too long"))); err != nil {
		t.Fatal(err)
	}
	if decision, err := l.Lookup(start, held); err != nil || !decision.Result.AnswerDropped || decision.Result.Outcome() != usherrequest.Completed {
		t.Errorf("an answer without room: %+v, %v", decision, err)
	}
	late := start.Add(lifetime)
	if _, err := l.Lookup(late, held); err == nil || l.Len() != 0 {
		t.Fatalf("%d entries after the expiry", l.Len())
	}
	refused.Expiry, older.Expiry = late.Add(lifetime), late.Add(lifetime)
	expect(t, "refused before", l, late, refused, content, "not_run: id_given_up")
	expect(t, "unused and older", l, late, older, content, "not_run: id_given_up")
	next, err := minter.NewID(late.Add(lifetime), "weavers", "")
	if err != nil {
		t.Fatal(err)
	}
	expect(t, "minted since", l, late, next, content, "run")
	l.Stop()
	expect(t, "resend while stopping", l, late, next, content, "wait")
	next.Counter++
	expect(t, "new while stopping", l, late, next, content, "not_run: stopping")
}

func BenchmarkBeginAndFinish(b *testing.B) {
	l := usherledger.New("0", 5, usherledger.Limits{Entries: 1 << 30, AnswerBytes: 1 << 30})
	minter := &usherrequest.IDGenerator{Gateway: "0", Incarnation: 5}
	result := usherledger.Completed([]byte("receipt"))
	b.ReportAllocs()
	for b.Loop() {
		id := must(minter.NewID(start.Add(lifetime), "weavers", ""))
		if _, err := l.Begin(start, id, usherledger.Digest{}); err != nil {
			b.Fatal(err)
		}
		if err := l.Finish(start, id, result); err != nil {
			b.Fatal(err)
		}
	}
}
