package usherrequest_test

import (
	"cmp"
	"flag"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"github.com/samphireusher/samphireusher/pkg/usherrequest"
	"pgregory.net/rapid"
)

const defaultSeed = "1"

var start = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

// useSeed sets the seed of rapid from USHER_SEED. It is called by the tests, not by TestMain, so that the test cache
// takes the variable into account.
func useSeed(t *testing.T) {
	t.Helper()
	if err := flag.Set("rapid.seed", cmp.Or(os.Getenv("USHER_SEED"), defaultSeed)); err != nil {
		t.Fatal(err)
	}
}

func keyring(t testing.TB, secrets ...string) usherrequest.Keyring {
	t.Helper()
	var accepted [][]byte
	for _, secret := range secrets {
		accepted = append(accepted, []byte(strings.Repeat(secret, usherrequest.MinSecretBytes)))
	}
	k, err := usherrequest.NewKeyring(accepted[0], accepted[1:]...)
	if err != nil {
		t.Fatal(err)
	}
	return k
}

func TestOutcomeIsDerivedFromEvidence(t *testing.T) {
	var none usherrequest.Evidence
	tests := []struct {
		name     string
		evidence usherrequest.Evidence
		want     string
	}{
		{"nothing written", none, "not_run"},
		{"written", none.WithWrite(), "unknown"},
		{"refused by the target", none.WithWrite().WithTargetRefusal(), "not_run"},
		{"partial answer", none.WithWrite().WithPartialAnswer(), "ran_in_part"},
		{"partial answer, then a refusal", none.WithWrite().WithPartialAnswer().WithTargetRefusal(), "ran_in_part"},
		{"complete answer", none.WithWrite().WithPartialAnswer().WithCompleteAnswer(), "completed"},
	}
	for _, test := range tests {
		if got := usherrequest.Refuse(test.evidence, usherrequest.ReasonTargetLost); got.Error() != test.want+": target_lost" {
			t.Errorf("%s: %v, want %s", test.name, got, test.want)
		}
	}
	if got := (usherrequest.Refusal{}).Outcome(); got != usherrequest.Unknown {
		t.Errorf("zero refusal has outcome %v", got)
	}
}

// TestLifecycleEndsOnceWithCorrectOutcome runs random sequences of events and compares the outcome with a record of
// what really ran.
func TestLifecycleEndsOnceWithCorrectOutcome(t *testing.T) {
	useSeed(t)
	rapid.Check(t, func(t *rapid.T) {
		rules := usherrequest.Rules{Idempotent: rapid.Bool().Draw(t, "idempotent")}
		lifecycle := usherrequest.NewLifecycle(rules)
		ids := usherrequest.IDGenerator{Gateway: "g", Incarnation: 1}
		// ran counts the attempts that certainly ran; mayRun reports whether the current attempt may have run.
		ran, mayRun, ends := 0, false, 0
		end := func(refusal usherrequest.Refusal, err error) error {
			if err != nil {
				return err
			}
			if ends++; (refusal.Outcome() == usherrequest.NotRun) == (ran > 0 || mayRun) {
				t.Fatalf("refused with outcome %v, but %d attempts ran, and the current one may have: %v", refusal, ran, mayRun)
			}
			return nil
		}
		steps := []struct {
			do    func() error
			after func()
		}{
			{lifecycle.Queue, func() {}},
			{lifecycle.Grant, func() {}},
			{func() error { return lifecycle.Dispatch(ids.NewAttemptID()) }, func() { mayRun = true }},
			{lifecycle.MarkUnsent, func() { mayRun = false }},
			{lifecycle.TargetRefused, func() { mayRun = false }},
			{lifecycle.Stream, func() { ran, mayRun = ran+1, false }},
			{lifecycle.Retry, func() {
				if mayRun {
					ran, mayRun = ran+1, false
				}
			}},
			{lifecycle.Complete, func() { ends++ }},
			{func() error { return end(lifecycle.Refuse(usherrequest.ReasonTargetLost)) }, func() {}},
			{func() error { return end(lifecycle.Cancel()) }, func() {}},
		}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			step := rapid.IntRange(0, len(steps)-1).Draw(t, "step")
			before := lifecycle.State()
			if err := steps[step].do(); err == nil {
				steps[step].after()
			} else if !errorx.IsOfType(err, usherrequest.ErrInvalidTransition) || lifecycle.State() != before {
				t.Fatalf("step %d in %s: %v", step, before, err)
			}
		}
		if ends > 1 || (ends == 1) != lifecycle.Ended() {
			t.Fatalf("ended %d times, in state %s", ends, lifecycle.State())
		}
		if !rules.Idempotent && ran > 1 {
			t.Fatalf("a request that is not idempotent ran %d times", ran)
		}
	})
}

func TestNoRetryAfterDeliveryBegins(t *testing.T) {
	for _, delivery := range []usherrequest.Delivery{usherrequest.Stream, usherrequest.Whole} {
		lifecycle := usherrequest.NewLifecycle(usherrequest.Rules{Idempotent: true, Delivery: delivery})
		for _, step := range []func() error{
			lifecycle.Queue, lifecycle.Grant, func() error { return lifecycle.Dispatch(usherrequest.AttemptID{Counter: 1}) }, lifecycle.Stream,
		} {
			if err := step(); err != nil {
				t.Fatal(err)
			}
		}
		streamed := delivery == usherrequest.Stream
		if err := lifecycle.BeginDelivery(); (err == nil) != streamed {
			t.Errorf("%s: BeginDelivery while streaming: %v", delivery, err)
		}
		if got := lifecycle.CanRetry(); got == streamed {
			t.Errorf("%s: CanRetry = %v", delivery, got)
		}
	}
}

func TestParseIDWithRotatedSecrets(t *testing.T) {
	ids := usherrequest.IDGenerator{Gateway: "kochi-1", Incarnation: 7}
	id, err := ids.NewID(start.Add(time.Hour), "weavers", "order/12")
	if err != nil {
		t.Fatal(err)
	}
	text, err := keyring(t, "a").SignID(id)
	if err != nil {
		t.Fatal(err)
	}
	for _, secrets := range [][]string{{"a"}, {"a", "b"}, {"b", "a"}, {"c", "b", "a"}} {
		if got, err := keyring(t, secrets...).ParseID("weavers", text); err != nil || got != id {
			t.Errorf("with secrets %v: %v, %v, want %v", secrets, got, err, id)
		}
	}
	if _, err := keyring(t, "b").ParseID("weavers", text); !errorx.IsOfType(err, usherrequest.ErrForged) {
		t.Errorf("with another secret: %v", err)
	}
	if _, err := (usherrequest.Keyring{}).ParseID("weavers", text); !errorx.IsOfType(err, usherrequest.ErrForged) {
		t.Errorf("without a secret: %v", err)
	}
	if _, err := keyring(t, "a").ParseID("potters", text); !errorx.IsOfType(err, usherrequest.ErrWorkspaceMismatch) {
		t.Errorf("for another workspace: %v", err)
	}
	if _, err := keyring(t, "a").ParseHandle(start, "weavers", text); err == nil {
		t.Error("an id was accepted as a handle")
	}
	for i := range len(text) {
		changed := []byte(text)
		changed[i] ^= 1
		if _, err := keyring(t, "a").ParseID("weavers", string(changed)); err == nil {
			t.Fatalf("text with byte %d changed was accepted", i)
		}
	}
}

func TestParseHandle(t *testing.T) {
	k := keyring(t, "a")
	handle := usherrequest.Handle{
		Workspace: "weavers", Generation: "g1", Attempt: usherrequest.AttemptID{Gateway: "kochi-1", Incarnation: 7, Counter: 1},
		Target: "appraiser-3", TargetIncarnation: 2, Gateway: "kochi-1", Expiry: start.Add(time.Minute),
	}.WithNextIndex(5)
	text, err := k.SignHandle(handle)
	if err != nil {
		t.Fatal(err)
	}
	tests := []struct {
		name      string
		now       time.Time
		workspace string
		want      *errorx.Type
	}{
		{"valid", start, "weavers", nil},
		{"another workspace", start, "potters", usherrequest.ErrWorkspaceMismatch},
		{"expired", handle.Expiry, "weavers", usherrequest.ErrExpired},
	}
	for _, test := range tests {
		got, err := k.ParseHandle(test.now, test.workspace, text)
		if test.want == nil && (err != nil || got != handle) {
			t.Errorf("%s: %v, %v", test.name, got, err)
		}
		if test.want != nil && !errorx.IsOfType(err, test.want) {
			t.Errorf("%s: error %v, want %v", test.name, err, test.want)
		}
	}
}

func FuzzParseID(f *testing.F) {
	k := keyring(f, "a", "b")
	text, err := k.SignID(usherrequest.ID{Gateway: "kochi-1", Incarnation: 7, Counter: 1, Expiry: start, Workspace: "weavers", Key: "k"})
	fuzzRoundTrip(f, text, err, func(text string) (string, error) {
		id, err := k.ParseID("weavers", text)
		if err != nil {
			return text, nil
		}
		return k.SignID(id)
	})
}

func FuzzParseHandle(f *testing.F) {
	k := keyring(f, "a", "b")
	text, err := k.SignHandle(usherrequest.Handle{Workspace: "weavers", Generation: "g", Target: "t", Expiry: start.Add(time.Hour)})
	fuzzRoundTrip(f, text, err, func(text string) (string, error) {
		handle, err := k.ParseHandle(start, "weavers", text)
		if err != nil {
			return text, nil
		}
		return k.SignHandle(handle)
	})
}

// fuzzRoundTrip checks that a text that roundTrip accepts is encoded as the same text again.
func fuzzRoundTrip(f *testing.F, text string, err error, roundTrip func(string) (string, error)) {
	if err != nil {
		f.Fatal(err)
	}
	for _, seed := range []string{
		text, text[:len(text)/2], text + "A", text + "=", "", "AAAA", strings.Repeat("A", 40), "n" + text[1:],
		strings.Repeat("_", usherrequest.MaxTextBytes+1),
	} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		if got, err := roundTrip(text); err != nil || got != text {
			t.Fatalf("%q was accepted, but its value encodes as %q, %v", text, got, err)
		}
	})
}
