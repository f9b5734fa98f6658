package usherprefix_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/samphireusher/samphireusher/pkg/usherprefix"
)

var (
	start  = time.Unix(1000, 0)
	engine = usherprefix.Target{ID: "e0", Incarnation: 3}
	prompt = []usherprefix.Part{{ID: "a", Tokens: 800}, {ID: "b", Tokens: 400}}
	// roomy is the memory of an engine with nothing running.
	roomy = usherprefix.Memory{Capacity: 34000}
)

// sent returns a view of an engine that has just processed a prompt of 2,600 tokens.
func sent(parts []usherprefix.Part) *usherprefix.View {
	var v usherprefix.View
	v.Record(start, engine, usherprefix.Prompt{Parts: parts, Tokens: 2600, ReadAt: start.Add(400 * time.Millisecond)}, roomy)
	return &v
}

func TestPartsAreSavedInOrderOnceTheyAreProcessed(t *testing.T) {
	later := start.Add(500 * time.Millisecond)
	for _, c := range []struct {
		name    string
		at      time.Time
		target  usherprefix.Target
		parts   []usherprefix.Part
		atLeast int
		atMost  int
	}{
		{"before the prompt is processed", start.Add(300 * time.Millisecond), engine, prompt, 0, 0},
		{"all parts", later, engine, prompt, 1150, 1200},
		{"another part behind the first", later, engine, []usherprefix.Part{prompt[0], {ID: "c", Tokens: 400}}, 780, 800},
		{"another part before the second", later, engine, []usherprefix.Part{{ID: "c", Tokens: 400}, prompt[1]}, 0, 0},
		{"another length", later, engine, []usherprefix.Part{{ID: "a", Tokens: 900}}, 0, 0},
		{"another target", later, usherprefix.Target{ID: "e1", Incarnation: 3}, prompt, 0, 0},
		{"a restarted target", later, usherprefix.Target{ID: "e0", Incarnation: 4}, prompt, 0, 0},
		{"half an age later", start.Add(15 * time.Second), engine, prompt, 550, 650},
		{"an age later", start.Add(30 * time.Second), engine, prompt, 0, 0},
	} {
		if got := sent(prompt).Saved(c.at, c.target, c.parts, roomy); got < c.atLeast || got > c.atMost {
			t.Errorf("%s: %d tokens saved, want %d to %d", c.name, got, c.atLeast, c.atMost)
		}
	}
}

// Other prompts and running requests take the memory of an engine. The parts that were used least recently yield.
func TestPartsYieldUnderMemoryPressure(t *testing.T) {
	v := sent(prompt)
	now := start.Add(time.Second)
	for _, c := range []struct {
		used, atLeast, atMost int
	}{{20000, 1100, 1200}, {33000, 400, 800}, {34000, 0, 0}} {
		if got := v.Saved(now, engine, prompt, usherprefix.Memory{Used: c.used, Capacity: 34000}); got < c.atLeast || got > c.atMost {
			t.Errorf("%d tokens in use: %d saved, want %d to %d", c.used, got, c.atLeast, c.atMost)
		}
	}
	hot := []usherprefix.Part{{ID: "hot", Tokens: 300}}
	for range 14 {
		v.Record(now, engine, usherprefix.Prompt{Parts: hot, Tokens: 2400, ReadAt: now}, roomy)
	}
	if got := v.Saved(now, engine, prompt, roomy); got != 0 {
		t.Errorf("%d tokens saved after 33,600 others", got)
	}
	if got := v.Saved(now, engine, hot, roomy); got != 300 {
		t.Errorf("%d tokens saved of a part that is in use, want 300", got)
	}
	// What has yielded is there again once it is processed again.
	again := usherprefix.Prompt{Parts: prompt, Tokens: 2600, ReadAt: now.Add(time.Second)}
	v.Record(now, engine, again, roomy)
	if early, got := v.Saved(now, engine, prompt, roomy), v.Saved(again.ReadAt, engine, prompt, roomy); early != 0 || got < 1100 {
		t.Errorf("%d tokens saved before the parts are processed again, %d afterwards", early, got)
	}
}

// answers lets v see first events that come 100 ms later than expected, give or take the given error.
func answers(v *usherprefix.View, deviation time.Duration) {
	for i := range 40 {
		late := 100*time.Millisecond + deviation - time.Duration(i%2)*2*deviation
		v.Observe(engine, nil, usherprefix.Answer{Expected: time.Second, Seen: time.Second + late})
	}
}

func TestWrongBeliefsAreFoundOutByLateAnswers(t *testing.T) {
	later := start.Add(500 * time.Millisecond)
	late := usherprefix.Answer{Saving: 170 * time.Millisecond, Expected: 200 * time.Millisecond, Seen: 470 * time.Millisecond}
	inTime := usherprefix.Answer{Saving: 170 * time.Millisecond, Expected: 200 * time.Millisecond, Seen: 300 * time.Millisecond}
	v := sent(prompt)
	if v.Observe(engine, prompt, late) {
		t.Error("an answer counts as late before the usual lateness is known")
	}
	answers(v, 20*time.Millisecond)
	if !v.Observe(engine, prompt, late) {
		t.Error("a late answer was not found")
	}
	if got := v.Saved(later, engine, prompt, roomy); got < 550 || got > 600 {
		t.Errorf("%d tokens saved after a late answer, want half of 1200", got)
	}
	if v.Observe(engine, prompt, inTime) || v.Saved(later, engine, prompt, roomy) < 1100 {
		t.Error("an answer in time did not confirm the parts")
	}
	for range 3 {
		v.Observe(engine, prompt, late)
	}
	if got := v.Saved(later, engine, prompt, roomy); got != 0 {
		t.Errorf("%d tokens saved after three late answers", got)
	}
	// Where answers scatter by more than the saving, one says nothing.
	v = sent(prompt)
	answers(v, 200*time.Millisecond)
	if v.Observe(engine, prompt, late) {
		t.Error("an answer within the usual error counts as late")
	}
}

func TestViewIsBounded(t *testing.T) {
	var v usherprefix.View
	for i := range 3000 {
		at := start.Add(time.Duration(i) * time.Millisecond)
		parts := []usherprefix.Part{{ID: fmt.Sprint(i), Tokens: 1}, {ID: string(make([]byte, 65)), Tokens: 1}}
		v.Record(at, usherprefix.Target{ID: fmt.Sprint("e", i)}, usherprefix.Prompt{Parts: parts, Tokens: 2, ReadAt: at}, roomy)
		v.Record(at, usherprefix.Target{ID: "e"}, usherprefix.Prompt{Parts: parts, Tokens: 2, ReadAt: at}, roomy)
	}
	now := start.Add(3 * time.Second)
	if s := v.Summary(now); s != (usherprefix.Summary{Targets: 2048, Parts: 2047 + 32, Tokens: 2047 + 32}) {
		t.Errorf("%+v", s)
	}
	if s := v.Summary(now.Add(time.Minute)); s != (usherprefix.Summary{}) {
		t.Errorf("a minute later: %+v", s)
	}
}
