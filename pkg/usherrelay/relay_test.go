package usherrelay_test

import (
	"bytes"
	"cmp"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"testing"

	"github.com/samphireusher/samphireusher/pkg/usherrelay"
	"github.com/samphireusher/samphireusher/pkg/usherrequest"
	"pgregory.net/rapid"
)

const (
	defaultSeed = "1"
	checks      = "500"
)

// setSeed sets rapid's seed from USHER_SEED. Each test calls it, instead of TestMain, so that the test cache takes the
// variable into account.
func setSeed(t *testing.T) {
	t.Helper()
	for name, value := range map[string]string{"rapid.seed": cmp.Or(os.Getenv("USHER_SEED"), defaultSeed), "rapid.checks": checks} {
		if err := flag.Set(name, value); err != nil {
			t.Fatal(err)
		}
	}
}

type (
	// fault disables one mechanism of the relay under test.
	fault string

	// faultyRelay wraps a relay and changes its events and steps, so that it behaves as if the mechanism were missing.
	faultyRelay struct {
		*usherrelay.Relay
		fault  fault
		source usherrelay.Source
	}

	// caller records the tokens that the caller has received of a response of length tokens.
	caller struct {
		source   usherrelay.Source
		length   int
		received []usherrelay.Token
		ended    bool
	}
)

const (
	noFault          fault = "none"
	anyIndex         fault = "any index is accepted"
	anyGeneration    fault = "any generation is accepted"
	anyAttempt       fault = "any attempt is accepted"
	anyIncarnation   fault = "any incarnation is accepted"
	secondGeneration fault = "a second generation follows part of the first"
	earlyDelivery    fault = "a whole response is delivered before it is complete"
)

func (r *faultyRelay) Start(source usherrelay.Source) error {
	r.source = source
	return r.Relay.Start(source)
}

func (r *faultyRelay) Accept(event usherrelay.Event) usherrelay.Verdict {
	switch r.fault {
	case anyIndex:
		event.Index = r.NextIndex()
	case anyGeneration:
		event.Source.Generation = r.source.Generation
	case anyAttempt:
		event.Source.Attempt = r.source.Attempt
	case anyIncarnation:
		event.Source.TargetIncarnation = r.source.TargetIncarnation
	}
	return r.Relay.Accept(event)
}

func (r *faultyRelay) TargetLost() usherrelay.Step {
	if r.fault == secondGeneration && r.Delivered() > 0 && !r.Complete() {
		r.Relay = usherrelay.New(usherrequest.Stream, usherrelay.Limits{})
		return usherrelay.Step{Action: usherrelay.Retry}
	}
	return r.Relay.TargetLost()
}

func newRelay(delivery usherrequest.Delivery, limits usherrelay.Limits, f fault) *faultyRelay {
	if f == earlyDelivery {
		delivery = usherrequest.Stream
	}
	return &faultyRelay{Relay: usherrelay.New(delivery, limits), fault: f}
}

func source(number int) usherrelay.Source {
	return usherrelay.Source{
		Generation:        fmt.Sprint("generation-", number),
		Attempt:           usherrequest.AttemptID{Gateway: "g", Incarnation: 1, Counter: uint64(number)},
		TargetIncarnation: uint64(100 + number),
	}
}

func handle(s usherrelay.Source) usherrequest.Handle {
	return usherrequest.Handle{Generation: s.Generation, Attempt: s.Attempt, TargetIncarnation: s.TargetIncarnation}
}

// event returns the token at index of the generation s.
func event(s usherrelay.Source, index, length int) usherrelay.Event {
	text := fmt.Sprintf("%s/%d/%d/%d;", s.Generation, s.Attempt.Counter, s.TargetIncarnation, index)
	return usherrelay.Event{Source: s, Index: index, Bytes: []byte(text), Last: index == length-1}
}

// simulate sends a generation through a relay over a connection that loses, reorders and duplicates events and delivers
// those of other sources, with broken connections and lost targets. It returns the first error in what the caller
// receives.
func simulate(choose func(int) int, delivery usherrequest.Delivery, f fault) error {
	r := newRelay(delivery, usherrelay.Limits{Tokens: 1 + choose(8)}, f)
	c := &caller{source: source(1), length: 1 + choose(12)}
	attempt, sent := 1, 0
	if err := r.Start(c.source); err != nil {
		return err
	}
	var inFlight []usherrelay.Event
	for range 200 {
		switch choose(13) {
		case 0, 1, 2, 3:
			if sent < c.length {
				inFlight = append(inFlight, event(c.source, sent, c.length))
				sent++
			}
		case 4, 5, 6, 7:
			if len(inFlight) == 0 {
				continue
			}
			i := choose(2) * choose(len(inFlight))
			arrived := inFlight[i]
			if choose(8) > 0 {
				inFlight = append(inFlight[:i], inFlight[i+1:]...)
			}
			switch r.Accept(arrived) {
			case usherrelay.Gap, usherrelay.BufferFull:
				sent = r.NextIndex()
			}
		case 8:
			if step := r.Disconnected(); step.Action == usherrelay.Resume {
				sent = step.From
			}
		case 9:
			stray := c.source
			switch choose(3) {
			case 0:
				stray.Generation = "stray"
			case 1:
				stray.Attempt.Counter += 1000
			case 2:
				stray.TargetIncarnation += 1000
			}
			inFlight = append(inFlight, event(stray, r.NextIndex(), c.length))
		case 10:
			if choose(4) > 0 {
				continue
			}
			delivered := r.Delivered()
			switch step := r.TargetLost(); step.Action {
			case usherrelay.Retry:
				if delivered > 0 {
					return fmt.Errorf("retried after %d tokens", delivered)
				}
				attempt++
				c.source, sent = source(attempt), 0
				if err := r.Start(c.source); err != nil {
					return err
				}
			case usherrelay.End:
				c.ended = true
				if step.Outcome != usherrequest.RanInPart {
					return fmt.Errorf("ended with outcome %v after %d tokens", step.Outcome, delivered)
				}
			}
		case 11:
			if delivery == usherrequest.Stream && choose(4) == 0 && !c.ended && len(c.received) < c.length {
				// The gateway crashes, tokens that the caller had not yet read are lost, and another gateway takes over.
				c.received = c.received[:len(c.received)-choose(len(c.received)+1)]
				r.Relay = usherrelay.NewResumed(handle(c.source).WithNextIndex(len(c.received)), usherrelay.Limits{})
				sent = r.Disconnected().From
			}
		default:
			if err := c.drain(r, delivery); err != nil {
				return err
			}
		}
	}
	return c.finish(r, delivery)
}

// drain reads all tokens that the relay delivers and compares them with those of the generation.
func (c *caller) drain(r *faultyRelay, delivery usherrequest.Delivery) error {
	for token, ok := r.Next(); ok; token, ok = r.Next() {
		want := event(c.source, len(c.received), c.length)
		c.received = append(c.received, token)
		if delivery == usherrequest.Whole && !r.Complete() {
			return fmt.Errorf("token %d of a whole response delivered before the end", token.Index)
		}
		if token.Index != want.Index || token.Last != want.Last || !bytes.Equal(token.Bytes, want.Bytes) {
			return fmt.Errorf("caller received %+v (%q), want %q", token, token.Bytes, want.Bytes)
		}
	}
	return nil
}

// finish sends the remaining tokens over a fault-free connection, after which the caller must have the complete response.
func (c *caller) finish(r *faultyRelay, delivery usherrequest.Delivery) error {
	for !c.ended && !r.Complete() {
		if err := c.drain(r, delivery); err != nil {
			return err
		}
		if verdict := r.Accept(event(c.source, r.NextIndex(), c.length)); verdict != usherrelay.Accepted {
			return fmt.Errorf("verdict %d on token %d over a fault-free connection", verdict, r.NextIndex())
		}
	}
	if err := c.drain(r, delivery); err != nil {
		return err
	}
	if !c.ended && len(c.received) != c.length {
		return fmt.Errorf("caller received %d of %d tokens", len(c.received), c.length)
	}
	return nil
}

func TestCallerReceivesEachTokenOnceInOrder(t *testing.T) {
	setSeed(t)
	for _, delivery := range []usherrequest.Delivery{usherrequest.Stream, usherrequest.Whole} {
		rapid.Check(t, func(t *rapid.T) {
			choose := func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "choice") }
			if err := simulate(choose, delivery, noFault); err != nil {
				t.Fatal(err)
			}
		})
	}
}

// TestSimulationDetectsFaults checks that simulate finds each injected fault, and none in the relay itself.
func TestSimulationDetectsFaults(t *testing.T) {
	for _, f := range []fault{
		noFault, anyIndex, anyGeneration, anyAttempt, anyIncarnation, secondGeneration, earlyDelivery,
	} {
		delivery := usherrequest.Stream
		if f == earlyDelivery {
			delivery = usherrequest.Whole
		}
		detected := 0
		for seed := range uint64(200) {
			if simulate(rand.New(rand.NewPCG(seed, 1)).IntN, delivery, f) != nil {
				detected++
			}
		}
		t.Logf("%s: detected with %d of 200 seeds", f, detected)
		if (detected > 0) != (f != noFault) {
			t.Errorf("%s: detected with %d of 200 seeds", f, detected)
		}
	}
}

func TestGapIsReportedOnceUntilMissingTokenArrives(t *testing.T) {
	s := source(1)
	r := usherrelay.New(usherrequest.Stream, usherrelay.Limits{})
	if err := r.Start(s); err != nil {
		t.Fatal(err)
	}
	for _, step := range []struct {
		index int
		want  usherrelay.Verdict
	}{
		{0, usherrelay.Accepted},
		{2, usherrelay.Gap},
		{3, usherrelay.OutOfOrder},
		{1, usherrelay.Accepted},
		{1, usherrelay.Duplicate},
		{3, usherrelay.Gap},
		{2, usherrelay.Accepted},
		{3, usherrelay.Accepted},
		{4, usherrelay.Ended},
	} {
		if got := r.Accept(event(s, step.index, 4)); got != step.want {
			t.Fatalf("token %d: verdict %d, want %d", step.index, got, step.want)
		}
	}
}

func TestResumeAtAnotherGateway(t *testing.T) {
	s := source(1)
	r := usherrelay.NewResumed(handle(s).WithNextIndex(2), usherrelay.Limits{})
	if got := r.Disconnected(); got != (usherrelay.Step{Action: usherrelay.Resume, From: 2}) {
		t.Fatalf("step after a broken connection: %+v", got)
	}
	for i := range 4 {
		r.Accept(event(s, i, 4))
	}
	for i := 2; i < 4; i++ {
		token, ok := r.Next()
		if want := event(s, i, 4); !ok || token.Index != i || !bytes.Equal(token.Bytes, want.Bytes) || token.Last != want.Last {
			t.Fatalf("token %d: %+v, %v", i, token, ok)
		}
	}
	lost := usherrelay.NewResumed(handle(s), usherrelay.Limits{}).TargetLost()
	if lost.Action != usherrelay.End || lost.Outcome != usherrequest.RanInPart {
		t.Errorf("step of a resumed relay after its target was lost: %+v", lost)
	}
}

func TestBuffersAreBounded(t *testing.T) {
	for _, test := range []struct {
		name     string
		delivery usherrequest.Delivery
		limits   usherrelay.Limits
		want     usherrelay.Verdict
	}{
		{"tokens of a stream", usherrequest.Stream, usherrelay.Limits{Tokens: 3}, usherrelay.BufferFull},
		{"bytes of a stream", usherrequest.Stream, usherrelay.Limits{Bytes: 60}, usherrelay.BufferFull},
		{"bytes of a whole response", usherrequest.Whole, usherrelay.Limits{Bytes: 60}, usherrelay.TooLong},
	} {
		r := usherrelay.New(test.delivery, test.limits)
		if err := r.Start(source(1)); err != nil {
			t.Fatal(err)
		}
		verdict := usherrelay.Accepted
		for i := 0; i < 100 && verdict == usherrelay.Accepted; i++ {
			verdict = r.Accept(event(source(1), i, 100))
		}
		if verdict != test.want {
			t.Errorf("%s: verdict %d, want %d", test.name, verdict, test.want)
		}
	}
}

// relayToken passes one token through r.
func relayToken(r *usherrelay.Relay, e usherrelay.Event) bool {
	if r.Accept(e) != usherrelay.Accepted {
		return false
	}
	_, ok := r.Next()
	return ok
}

func TestTokenDoesNotAllocate(t *testing.T) {
	r := usherrelay.New(usherrequest.Stream, usherrelay.Limits{})
	e := event(source(1), 0, 1<<30)
	if err := r.Start(e.Source); err != nil {
		t.Fatal(err)
	}
	relayToken(r, e)
	allocations := testing.AllocsPerRun(1000, func() {
		e.Index++
		if !relayToken(r, e) {
			t.Fatal("token was not relayed")
		}
	})
	if allocations != 0 {
		t.Errorf("%v allocations per token, want 0", allocations)
	}
}

func BenchmarkRelay(b *testing.B) {
	r := usherrelay.New(usherrequest.Stream, usherrelay.Limits{})
	e := event(source(1), 0, 1<<62)
	if err := r.Start(e.Source); err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		if !relayToken(r, e) {
			b.Fatal("token was not relayed")
		}
		e.Index++
	}
}
