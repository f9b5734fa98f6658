package usherpool_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/samphireusher/samphireusher/pkg/ushercatalog"
	"github.com/samphireusher/samphireusher/pkg/usherpool"
)

// readTime is enough for an idle engine to process the prompt of sharingRequest.
const readTime = time.Second

// newWeighingPool returns a pool that counts what targets keep. All its targets are in its own data centre.
func newWeighingPool(known []ushercatalog.KnownEntry) *usherpool.Pool {
	for _, k := range known {
		k.Target.DataCentre = "dc0"
	}
	p := usherpool.New(usherpool.Options{DataCentre: "dc0", Random: rand.New(rand.NewPCG(1, 1)), WeighParts: true})
	p.Update(start, known, noneEvacuated, table(), 1)
	return p
}

func sharingRequest() usherpool.Request {
	r := engineRequest()
	r.Parts = []usherpool.Part{{ID: "system", Tokens: 600}, {ID: "document", Tokens: 1500}}
	return r
}

func placeStream(t *testing.T, p *usherpool.Pool, now time.Time, r usherpool.Request) usherpool.Choice {
	t.Helper()
	c, err := p.Place(now, r, false)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// A few requests with the same beginning come one after the other, and all engines have room.
func TestSavingOutweighsShortWait(t *testing.T) {
	p := newWeighingPool(targets(6))
	first := placeStream(t, p, start, sharingRequest())
	if first.Kept != (usherpool.Kept{}) {
		t.Errorf("the first request is expected to find %+v", first.Kept)
	}
	now := start.Add(readTime)
	// Two streams there delay another one by 50 ms; 2,100 tokens take 300 ms.
	p.SetPeerLoads(now, "host", map[string]usherpool.Load{first.Target.ID: {Streams: 2, Tokens: 6000}})
	second := placeStream(t, p, now, sharingRequest())
	if second.Target.ID != first.Target.ID || second.Kept.Otherwise == first.Target.ID || second.Kept.Otherwise == "" {
		t.Errorf("chosen %s, otherwise %q; want %s and another one", second.Target.ID, second.Kept.Otherwise, first.Target.ID)
	}
	if second.Kept.Tokens < 1900 || second.Kept.Tokens > 2100 || second.PrefillTime != usherpool.PrefillTime(3000-second.Kept.Tokens) {
		t.Errorf("%d tokens kept, expected prefill %s", second.Kept.Tokens, second.PrefillTime)
	}
	other := sharingRequest()
	other.Parts = []usherpool.Part{{ID: "another", Tokens: 600}, {ID: "document", Tokens: 1500}}
	if c := placeStream(t, p, now, other); c.Kept.Tokens != 0 || c.Target.ID == first.Target.ID {
		t.Errorf("a prompt with another beginning went to %s and is expected to find %+v", c.Target.ID, c.Kept)
	}
}

// The engine that holds the beginning of a prompt has long prompts queued, or its memory is short, while others are idle.
func TestWaitOutweighsSaving(t *testing.T) {
	for name, load := range map[string]usherpool.Load{
		"prompts are queued": {Prefill: 2600}, "many streams run": {Streams: 13}, "memory is short": {Tokens: 33000},
	} {
		p := newWeighingPool(targets(6))
		first := placeStream(t, p, start, sharingRequest())
		now := start.Add(readTime)
		p.SetPeerLoads(now, "host", map[string]usherpool.Load{first.Target.ID: load})
		if c := placeStream(t, p, now, sharingRequest()); c.Target.ID == first.Target.ID {
			t.Errorf("%s: the request went there, with %+v", name, c.Kept)
		}
	}
}

// Ten hosts want a part at once that one engine holds. None of them may wait there for longer than the part saves, and
// the engines that some of them go to hold the part from then on.
func TestHotPartSpreads(t *testing.T) {
	const hosts = 10
	p := newWeighingPool(targets(hosts))
	first := placeStream(t, p, start, sharingRequest())
	now := start.Add(readTime)
	count := map[string]int{}
	for range hosts {
		c := placeStream(t, p, now, sharingRequest())
		count[c.Target.ID]++
		if alone := usherpool.PrefillTime(3000); c.PrefillTime > alone {
			t.Errorf("a prompt at %s is processed after %s, on an idle engine it is after %s", c.Target.ID, c.PrefillTime, alone)
		}
	}
	if count[first.Target.ID] < 2 || len(count) < 2 {
		t.Errorf("prompts by engine: %v; the part is at %s", count, first.Target.ID)
	}
	holders := p.KeptParts(now.Add(readTime)).Targets
	if holders != len(count) {
		t.Errorf("%d engines hold the part, want %d", holders, len(count))
	}
	spread := map[string]int{}
	for range hosts {
		c := placeStream(t, p, now.Add(2*readTime), sharingRequest())
		spread[c.Target.ID]++
		if count[c.Target.ID] == 0 && c.Kept.Tokens > 0 {
			t.Errorf("%s is expected to keep %+v without having had the part", c.Target.ID, c.Kept)
		}
	}
	if len(spread) < len(count) {
		t.Errorf("prompts by engine in the second burst: %v, in the first: %v", spread, count)
	}
}

// The engine that holds the beginning of a prompt cannot take it.
func TestTargetThatCannotTakeThePromptHasNoPull(t *testing.T) {
	for name, change := range map[string]func(p *usherpool.Pool, known []ushercatalog.KnownEntry, holder *ushercatalog.Target, r *usherpool.Request){
		"it leaves": func(p *usherpool.Pool, _ []ushercatalog.KnownEntry, holder *ushercatalog.Target, _ *usherpool.Request) {
			p.Depart(start, *holder)
		},
		"it rests": func(p *usherpool.Pool, _ []ushercatalog.KnownEntry, holder *ushercatalog.Target, _ *usherpool.Request) {
			p.Rest(*holder, start.Add(time.Minute))
		},
		"it is limited and this host has no turn": func(p *usherpool.Pool, _ []ushercatalog.KnownEntry, holder *ushercatalog.Target, r *usherpool.Request) {
			r.Exclude = []string{holder.ID}
		},
		"it has restarted": func(p *usherpool.Pool, known []ushercatalog.KnownEntry, holder *ushercatalog.Target, _ *usherpool.Request) {
			for _, k := range known {
				if k.Target.ID == holder.ID {
					k.Target.Incarnation++
				}
			}
			p.Update(start, known, noneEvacuated, table(), 1)
		},
	} {
		known := targets(4)
		p := newWeighingPool(known)
		r := sharingRequest()
		holder := placeStream(t, p, start, r).Target
		change(p, known, &holder, &r)
		if c := placeStream(t, p, start.Add(readTime), r); c.Kept.Tokens != 0 {
			t.Errorf("%s: %s is expected to keep %+v", name, c.Target.ID, c.Kept)
		}
	}
}

// The placer is lost. The host that is to choose knows which targets its own requests went to, whoever had chosen them.
func TestHostAloneUsesItsOwnHistory(t *testing.T) {
	known := targets(30)
	p := newWeighingPool(known)
	adopted, taken := p.AdoptChoice(start, sharingRequest(), usherpool.Choice{Target: ushercatalog.Target{ID: "e17"}, PrefillTime: 400 * time.Millisecond, Kept: usherpool.Kept{Tokens: 1 << 40}})
	if !taken || adopted.Kept.Tokens >= 3000 {
		t.Fatalf("taken %v, kept %+v", taken, adopted.Kept)
	}
	p.Update(start, known, noneEvacuated, table(), 300)
	// Choose compares five of the 30 targets.
	c, err := p.Choose(start.Add(readTime), sharingRequest())
	if err != nil || c.Target.ID != "e17" || c.Kept.Tokens < 1900 {
		t.Errorf("chosen %s with %+v, %v", c.Target.ID, c.Kept, err)
	}
}

func TestPartsDoNotCountUnlessWeighed(t *testing.T) {
	p := newPool(1, targets(6), 1)
	placeStream(t, p, start, sharingRequest())
	if c := placeStream(t, p, start.Add(readTime), sharingRequest()); c.Kept != (usherpool.Kept{}) || p.KeptParts(start.Add(readTime)).Parts != 0 {
		t.Errorf("kept %+v, %+v", c.Kept, p.KeptParts(start.Add(readTime)))
	}
}
