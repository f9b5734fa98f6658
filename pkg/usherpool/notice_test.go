package usherpool_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/samphireusher/samphireusher/pkg/ushercatalog"
	"github.com/samphireusher/samphireusher/pkg/usherpool"
	"pgregory.net/rapid"
)

// said is what the targets of a walk said of themselves, by id and incarnation.
type said struct {
	leaving map[string]bool
	rests   map[string]time.Time
}

func incarnationName(t ushercatalog.Target) string {
	return fmt.Sprint(t.ID, " ", t.Address, " ", t.Incarnation)
}

// Responses, lists, notices of peers, restarts and reused addresses come in any order. No choice may name an incarnation that
// has said that it is leaving or that rests, and every other one that is published stays usable.
func TestChoicesRespectWhatTargetsSaid(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "walk"), 1))
		published := targets(3)
		p := newPool(1, published, 1)
		now := start
		s := said{leaving: map[string]bool{}, rests: map[string]time.Time{}}
		for range 80 {
			now = now.Add(time.Duration(random.IntN(700)) * time.Millisecond)
			i := random.IntN(len(published))
			target := *published[i].Target
			switch random.IntN(8) {
			case 0:
				p.Depart(now, target)
				s.leaving[incarnationName(target)] = true
			case 1:
				until := now.Add(time.Duration(random.IntN(3000)) * time.Millisecond)
				p.Rest(target, until)
				if until.After(s.rests[incarnationName(target)]) {
					s.rests[incarnationName(target)] = until
				}
			case 2:
				// The entry changes, or the target starts again, or another one gets its address.
				next := target
				switch random.IntN(3) {
				case 0:
					next.Slots++
				case 1:
					next.Incarnation++
				case 2:
					next.ID, next.Incarnation = fmt.Sprint(next.ID, "'"), 1
				}
				published[i].Target, published[i].Learned = &next, now
				p.Update(now, published, noneEvacuated, table(), 1)
			case 3:
				// The entry is missing for a while, as when the store was away.
				p.Update(now, append(published[:i:i], published[i+1:]...), noneEvacuated, table(), 1)
				p.Update(now, published, noneEvacuated, table(), 1)
			case 4:
				p.MarkLeaving(target.ID, target.Incarnation, now.Add(-time.Hour))
			case 5:
				p.RecordResult(now, target.ID, usherpool.Answered)
			default:
				p.EndedNotices(now)
			}
			checkChoices(t, p, now, published, s)
		}
	})
}

func checkChoices(t *rapid.T, p *usherpool.Pool, now time.Time, published []ushercatalog.KnownEntry, s said) {
	for _, r := range []usherpool.Request{{Service: engines, PromptTokens: 100}, {Service: engines, PromptTokens: 100, Copy: true}} {
		for range 3 {
			choice, err := p.Choose(now, r)
			if placed, placeErr := p.Place(now, r, false); placeErr == nil {
				checkChoice(t, now, placed.Target, s)
			}
			if err == nil {
				checkChoice(t, now, choice.Target, s)
			}
		}
	}
	for _, k := range published {
		name := incarnationName(*k.Target)
		if adopted, ok := p.AdoptChoice(now, usherpool.Request{Service: engines}, usherpool.Choice{Target: *k.Target}); ok {
			checkChoice(t, now, adopted.Target, s)
		}
		if free := !s.leaving[name] && !now.Before(s.rests[name]); p.MayReceive(now, *k.Target) != free {
			t.Fatalf("target %s may receive requests: %t, want %t", name, !free, free)
		}
	}
}

func checkChoice(t *rapid.T, now time.Time, chosen ushercatalog.Target, s said) {
	if name := incarnationName(chosen); s.leaving[name] || now.Before(s.rests[name]) {
		t.Fatalf("chose %s, which leaves (%t) or rests until %s", name, s.leaving[name], s.rests[name])
	}
}

// What is remembered of targets that said that they are leaving must not grow with each target that comes and goes.
func TestDeparturesAreForgotten(t *testing.T) {
	p := newPool(1, nil, 1)
	now := start
	ended := 0
	for i := range 20_000 {
		now = now.Add(time.Second)
		known := target(i % 200)
		known.Target.ID = fmt.Sprint("t", i)
		p.Update(now, []ushercatalog.KnownEntry{known}, noneEvacuated, table(), 1)
		p.Depart(now, *known.Target)
		ended += len(p.EndedNotices(now))
	}
	if remembered := 20_000 - ended; remembered > 1000 {
		t.Errorf("%d departures are remembered after 20,000 targets in as many seconds, want those of ten minutes", remembered)
	}
}

// A target asks for a rest in its last response, after its entry has gone, and the entry comes back. The rest is still what it
// asked for, and its end is told once.
func TestRestOfATargetWithoutEntryIsKept(t *testing.T) {
	published := targets(1)
	p := newPool(1, published, 1)
	p.Update(start, nil, noneEvacuated, table(), 1)
	if !p.Rest(*published[0].Target, start.Add(time.Minute)) || p.Rest(*published[0].Target, start.Add(time.Second)) {
		t.Error("want a longer rest to count and a shorter one not to")
	}
	p.Update(start.Add(time.Second), published, noneEvacuated, table(), 1)
	if choice, err := p.Choose(start.Add(2*time.Second), usherpool.Request{Service: engines, PromptTokens: 100}); err == nil {
		t.Errorf("chose %s in its rest", choice.Target.ID)
	}
	other := target(0)
	other.Target.Incarnation = 7
	if p.Rest(*other.Target, start.Add(time.Hour)) {
		t.Error("a rest of another incarnation counts")
	}
	if ended := p.EndedNotices(start.Add(2 * time.Minute)); len(ended) != 1 || ended[0].Kind != usherpool.RestEnded {
		t.Errorf("ended %+v, want one rest", ended)
	}
}

func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{12, 64, 1200} {
		b.Run(fmt.Sprint(n, " targets"), func(b *testing.B) {
			p := newPool(1, targets(n), 9)
			for b.Loop() {
				if _, err := p.Choose(start, usherpool.Request{Service: engines, PromptTokens: 3000}); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
