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

// useSeed makes rapid walk as USHER_SEED says. A test calls it, not TestMain, so that the test cache takes note of the variable.
func useSeed(t *testing.T) {
	t.Helper()
	for name, value := range map[string]string{"rapid.seed": cmp.Or(os.Getenv("USHER_SEED"), defaultSeed), "rapid.checks": checks} {
		if err := flag.Set(name, value); err != nil {
			t.Fatal(err)
		}
	}
}

type (
	// fault takes one mechanism out of the relay under test.
	fault string

	// faulty changes events on their way to a relay, as if the relay did not look at them closely.
	faulty struct {
		*usherrelay.Relay
		fault  fault
		source usherrelay.Source
	}

	// caller is what the caller has seen of an answer of length tokens.
	caller struct {
		source usherrelay.Source
		length int
		seen   []usherrelay.Token
		ended  bool
	}
)

const (
	noFault          fault = "none"
	anyIndex         fault = "any index is accepted"
	anyGeneration    fault = "any generation is accepted"
	anyAttempt       fault = "any attempt is accepted"
	anyIncarnation   fault = "any incarnation is accepted"
	secondGeneration fault = "a second generation follows a part of the first"
	earlyRelease     fault = "a whole answer is released as it comes"
)

func (f *faulty) Start(source usherrelay.Source) error {
	f.source = source
	return f.Relay.Start(source)
}

func (f *faulty) Accept(event usherrelay.Event) usherrelay.Verdict {
	switch f.fault {
	case anyIndex:
		event.Index = f.NextIndex()
	case anyGeneration:
		event.Source.Generation = f.source.Generation
	case anyAttempt:
		event.Source.Attempt = f.source.Attempt
	case anyIncarnation:
		event.Source.TargetIncarnation = f.source.TargetIncarnation
	}
	return f.Relay.Accept(event)
}

func (f *faulty) TargetLost() usherrelay.Step {
	if f.fault == secondGeneration && f.Delivered() > 0 && !f.Complete() {
		f.Relay = usherrelay.New(usherrequest.Stream, usherrelay.Limits{})
		return usherrelay.Step{Action: usherrelay.RunAfresh}
	}
	return f.Relay.TargetLost()
}

func newRelay(delivery usherrequest.Delivery, limits usherrelay.Limits, f fault) *faulty {
	if f == earlyRelease {
		delivery = usherrequest.Stream
	}
	return &faulty{Relay: usherrelay.New(delivery, limits), fault: f}
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

// event returns the token that the one generation has at index.
func event(s usherrelay.Source, index, length int) usherrelay.Event {
	text := fmt.Sprintf("%s/%d/%d/%d;", s.Generation, s.Attempt.Counter, s.TargetIncarnation, index)
	return usherrelay.Event{Source: s, Index: index, Bytes: []byte(text), Last: index == length-1}
}

// walk sends a stream through a relay over links that lose, reorder, duplicate and cross events, with broken links
// and lost targets, and returns what is wrong with what the caller saw.
func walk(choose func(int) int, delivery usherrequest.Delivery, f fault) error {
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
			case usherrelay.Gap, usherrelay.Full:
				sent = r.NextIndex()
			}
		case 8:
			if step := r.Disconnected(); step.Action == usherrelay.Resume {
				sent = step.From
			}
		case 9:
			crossed := c.source
			switch choose(3) {
			case 0:
				crossed.Generation = "crossed"
			case 1:
				crossed.Attempt.Counter += 1000
			case 2:
				crossed.TargetIncarnation += 1000
			}
			inFlight = append(inFlight, event(crossed, r.NextIndex(), c.length))
		case 10:
			if choose(4) > 0 {
				continue
			}
			released := r.Delivered()
			switch step := r.TargetLost(); step.Action {
			case usherrelay.RunAfresh:
				if released > 0 {
					return fmt.Errorf("run afresh after %d tokens", released)
				}
				attempt++
				c.source, sent = source(attempt), 0
				if err := r.Start(c.source); err != nil {
					return err
				}
			case usherrelay.End:
				c.ended = true
				if step.Outcome != usherrequest.RanInPart {
					return fmt.Errorf("ended as %v after %d tokens", step.Outcome, released)
				}
			}
		case 11:
			if delivery == usherrequest.Stream && choose(4) == 0 && !c.ended && len(c.seen) < c.length {
				// The gateway dies with what the caller had not read, and another one takes over.
				c.seen = c.seen[:len(c.seen)-choose(len(c.seen)+1)]
				r.Relay = usherrelay.NewResumed(handle(c.source).WithNextIndex(len(c.seen)), usherrelay.Limits{})
				sent = r.Disconnected().From
			}
		default:
			if err := c.take(r, delivery); err != nil {
				return err
			}
		}
	}
	return c.finish(r, delivery)
}

// take reads what the relay releases and compares it with the one generation.
func (c *caller) take(r *faulty, delivery usherrequest.Delivery) error {
	for token, ok := r.Next(); ok; token, ok = r.Next() {
		want := event(c.source, len(c.seen), c.length)
		c.seen = append(c.seen, token)
		if delivery == usherrequest.Whole && !r.Complete() {
			return fmt.Errorf("token %d released before the end", token.Index)
		}
		if token.Index != want.Index || token.Last != want.Last || !bytes.Equal(token.Bytes, want.Bytes) {
			return fmt.Errorf("caller saw %+v (%q), want %q", token, token.Bytes, want.Bytes)
		}
	}
	return nil
}

// finish sends the rest over a link without faults, after which the caller must have the whole answer.
func (c *caller) finish(r *faulty, delivery usherrequest.Delivery) error {
	for !c.ended && !r.Complete() {
		if err := c.take(r, delivery); err != nil {
			return err
		}
		if verdict := r.Accept(event(c.source, r.NextIndex(), c.length)); verdict != usherrelay.Accepted {
			return fmt.Errorf("verdict %d on token %d over a good link", verdict, r.NextIndex())
		}
	}
	if err := c.take(r, delivery); err != nil {
		return err
	}
	if !c.ended && len(c.seen) != c.length {
		return fmt.Errorf("caller saw %d of %d tokens", len(c.seen), c.length)
	}
	return nil
}

func TestCallerSeesEachTokenOnceInOrder(t *testing.T) {
	useSeed(t)
	for _, delivery := range []usherrequest.Delivery{usherrequest.Stream, usherrequest.Whole} {
		rapid.Check(t, func(t *rapid.T) {
			choose := func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "choice") }
			if err := walk(choose, delivery, noFault); err != nil {
				t.Fatal(err)
			}
		})
	}
}

func TestCheckFindsFaults(t *testing.T) {
	for _, f := range []fault{
		noFault, anyIndex, anyGeneration, anyAttempt, anyIncarnation, secondGeneration, earlyRelease,
	} {
		delivery := usherrequest.Stream
		if f == earlyRelease {
			delivery = usherrequest.Whole
		}
		found := 0
		for seed := range uint64(200) {
			if walk(rand.New(rand.NewPCG(seed, 1)).IntN, delivery, f) != nil {
				found++
			}
		}
		t.Logf("%s: found with %d of 200 seeds", f, found)
		if (found > 0) != (f != noFault) {
			t.Errorf("%s: found with %d of 200 seeds", f, found)
		}
	}
}

func TestGapIsReportedOnceUntilTheMissingTokenComes(t *testing.T) {
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
		{3, usherrelay.Ahead},
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

func TestAnotherGatewayTakesOver(t *testing.T) {
	s := source(1)
	r := usherrelay.NewResumed(handle(s).WithNextIndex(2), usherrelay.Limits{})
	if got := r.Disconnected(); got != (usherrelay.Step{Action: usherrelay.Resume, From: 2}) {
		t.Fatalf("broken link: %+v", got)
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
		t.Errorf("a resumed relay whose target is gone: %+v", lost)
	}
}

func TestBuffersAreBounded(t *testing.T) {
	for _, test := range []struct {
		name     string
		delivery usherrequest.Delivery
		limits   usherrelay.Limits
		want     usherrelay.Verdict
	}{
		{"tokens of a stream", usherrequest.Stream, usherrelay.Limits{Tokens: 3}, usherrelay.Full},
		{"bytes of a stream", usherrequest.Stream, usherrelay.Limits{Bytes: 60}, usherrelay.Full},
		{"bytes of a whole answer", usherrequest.Whole, usherrelay.Limits{Bytes: 60}, usherrelay.TooLong},
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

// relayToken passes one token of a long stream through r.
func relayToken(r *usherrelay.Relay, e usherrelay.Event) bool {
	if r.Accept(e) != usherrelay.Accepted {
		return false
	}
	_, ok := r.Next()
	return ok
}

func TestTokenCostsNoAllocation(t *testing.T) {
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
		t.Errorf("%v allocations for each token, want 0", allocations)
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
