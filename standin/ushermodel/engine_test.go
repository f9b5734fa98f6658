package ushermodel_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"pgregory.net/rapid"

	"github.com/samphireusher/samphireusher/standin/ushermodel"
)

var start = time.Unix(0, 0)

func submit(t testing.TB, e *ushermodel.Engine, r ushermodel.Request) {
	t.Helper()
	if err := e.Submit(start, r); err != nil {
		t.Fatal(err)
	}
}

// drain runs steps until the engine is idle and returns the number of events by generation and kind.
func drain(e *ushermodel.Engine) map[string]map[ushermodel.EventKind]int {
	counts := make(map[string]map[ushermodel.EventKind]int)
	for {
		duration, events := e.Step(start)
		for _, event := range events {
			if counts[event.Generation] == nil {
				counts[event.Generation] = make(map[ushermodel.EventKind]int)
			}
			counts[event.Generation][event.Kind]++
		}
		if duration == 0 {
			return counts
		}
	}
}

func TestStepDuration(t *testing.T) {
	e := ushermodel.New(ushermodel.Options{MaxPromptTokens: 1000})
	submit(t, e, ushermodel.Request{Generation: "a", PromptTokens: 1000, OutputTokens: 3})
	first, _ := e.Step(start)
	if want := 10*time.Millisecond + 60*time.Microsecond + 120*time.Microsecond + 20*time.Millisecond; first != want {
		t.Errorf("first step took %v, want %v", first, want)
	}
	second, _ := e.Step(start)
	if want := 10*time.Millisecond + 60*time.Microsecond + 1001*120*time.Nanosecond; second != want {
		t.Errorf("second step took %v, want %v", second, want)
	}
}

func TestLongPromptTakesSeveralSteps(t *testing.T) {
	e := ushermodel.New(ushermodel.Options{MaxPromptTokens: 400})
	submit(t, e, ushermodel.Request{Generation: "a", PromptTokens: 1000, OutputTokens: 1})
	for step, prompt := range []int{400, 400, 200} {
		duration, events := e.Step(start)
		if minimum := 10*time.Millisecond + time.Duration(prompt)*20*time.Microsecond; duration < minimum {
			t.Errorf("step %d took %v, want at least %v", step, duration, minimum)
		}
		if got, want := len(events) > 0, step == 2; got != want {
			t.Errorf("step %d: events %v, want any: %v", step, events, want)
		}
	}
}

func TestPreemptsNewestOfLowestPriority(t *testing.T) {
	e := ushermodel.New(ushermodel.Options{MemoryTokens: 1000})
	submit(t, e, ushermodel.Request{Generation: "old", PromptTokens: 300, OutputTokens: 400})
	submit(t, e, ushermodel.Request{Generation: "new", PromptTokens: 300, OutputTokens: 400})
	submit(t, e, ushermodel.Request{Generation: "lookup", PromptTokens: 300, OutputTokens: 40, Priority: 1})
	counts := drain(e)
	if counts["new"][ushermodel.EventPreempted] == 0 || counts["old"][ushermodel.EventPreempted]+counts["lookup"][ushermodel.EventPreempted] > 0 {
		t.Errorf("preempted %v, want only new", counts)
	}
	for name, want := range map[string]int{"old": 399, "new": 399, "lookup": 39} {
		if got := counts[name]; got[ushermodel.EventToken] != want || got[ushermodel.EventDone] != 1 {
			t.Errorf("%s: %v, want %d tokens before the last one, and one end", name, got, want)
		}
	}
}

func TestCachedPrefixIsNotRecomputed(t *testing.T) {
	e := ushermodel.New(ushermodel.Options{PrefixTokens: 500, MaxPromptTokens: 600})
	request := ushermodel.Request{PromptTokens: 600, Prefix: 7, PrefixTokens: 400, OutputTokens: 1}
	durations := make([]time.Duration, 2)
	for i := range durations {
		request.Generation = fmt.Sprint(i)
		submit(t, e, request)
		durations[i], _ = e.Step(start)
	}
	if got, want := durations[0]-durations[1], 400*20*time.Microsecond; got != want {
		t.Errorf("second prompt was %v faster, want %v", got, want)
	}
	submit(t, e, ushermodel.Request{Generation: "other", PromptTokens: 300, Prefix: 8, PrefixTokens: 200, OutputTokens: 1})
	e.Step(start)
	events := e.CacheEvents()
	if len(events) != 3 || events[1].Stored || events[1].Prefix != 7 || events[2].Sequence != 3 {
		t.Errorf("cache events %+v, want 7 stored, 7 evicted, 8 stored", events)
	}
}

func TestColdEngine(t *testing.T) {
	tests := []struct {
		name       string
		requests   int
		alive      bool
		overloaded bool
	}{
		{"at its capacity", 4, true, false},
		{"overloaded above its capacity", 5, true, true},
		{"crashes under full load", 17, false, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			e := ushermodel.New(ushermodel.Options{Cold: true})
			for i := range test.requests {
				submit(t, e, ushermodel.Request{Generation: fmt.Sprint(i), PromptTokens: 10, OutputTokens: 1000})
			}
			e.Step(start)
			if e.Alive() != test.alive || e.Overloaded() != test.overloaded {
				t.Errorf("alive %v overloaded %v, want %v %v", e.Alive(), e.Overloaded(), test.alive, test.overloaded)
			}
			drain(e)
			if e.Alive() && e.Cold() {
				t.Error("engine is still cold after completing its work")
			}
		})
	}
}

func TestKillRestartAndErrors(t *testing.T) {
	e := ushermodel.New(ushermodel.Options{})
	request := ushermodel.Request{Generation: "a", PromptTokens: 10, OutputTokens: 10}
	submit(t, e, request)
	if err := e.Submit(start, request); !errorx.IsOfType(err, ushermodel.ErrDuplicate) {
		t.Errorf("second submit: %v", err)
	}
	if err := e.Submit(start, ushermodel.Request{Generation: "b", PromptTokens: 60_000}); !errorx.IsOfType(err, ushermodel.ErrTooLarge) {
		t.Errorf("large prompt: %v", err)
	}
	e.Step(start)
	if p, ok := e.Lookup("a"); !ok || p.GeneratedTokens != 1 || p.Done {
		t.Errorf("progress %+v %v", p, ok)
	}
	e.Crash()
	if err := e.Submit(start, request); !errorx.IsOfType(err, ushermodel.ErrDown) {
		t.Errorf("submit while the engine is down: %v", err)
	}
	e.Restart()
	if _, ok := e.Lookup("a"); ok || !e.Cold() || e.Report(start).Incarnation != 2 {
		t.Errorf("restarted engine is warm or kept earlier state: %+v", e.Report(start))
	}
}

func TestEveryGenerationEndsOnceAndMemoryIsFreed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := ushermodel.New(ushermodel.Options{MemoryTokens: 2000, MaxPromptTokens: 300, RetainFinished: 4})
		cancelled := ""
		outputs := make(map[string]int)
		for i := range rapid.IntRange(1, 12).Draw(t, "requests") {
			generation := fmt.Sprint(i)
			outputs[generation] = rapid.IntRange(1, 900).Draw(t, "output")
			request := ushermodel.Request{
				Generation: generation, OutputTokens: outputs[generation],
				PromptTokens: rapid.IntRange(1, 900).Draw(t, "prompt"), Priority: rapid.IntRange(0, 1).Draw(t, "priority"),
			}
			if err := e.Submit(start, request); err != nil {
				t.Fatal(err)
			}
			if rapid.Bool().Draw(t, "cancel") && cancelled == "" && e.Cancel(generation) {
				cancelled = generation
			}
		}
		counts := drain(e)
		for generation, output := range outputs {
			got := counts[generation]
			if generation == cancelled {
				if len(got) > 0 {
					t.Fatalf("cancelled generation had events %v", got)
				}
				continue
			}
			if got[ushermodel.EventDone] != 1 || got[ushermodel.EventToken] != output-1 {
				t.Fatalf("generation %s of %d tokens: %v", generation, output, got)
			}
		}
		if report := e.Report(start); report.MemoryUsed != 0 || report.Running+report.Waiting != 0 {
			t.Fatalf("drained engine reports %+v", report)
		}
	})
}
