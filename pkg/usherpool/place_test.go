package usherpool_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/joomcode/errorx"

	"github.com/samphireusher/samphireusher/pkg/usherpool"
)

const (
	// reportAge is the age of other hosts' loads where hosts choose by themselves.
	reportAge = 500 * time.Millisecond
)

// A burst of long prompts arrives at many hosts faster than they learn of each other's loads, as on the large fleets of
// the benchmark (such as himig-loans-grown). Engines process prompts one at a time, so the last of five on one engine
// would start two seconds late.
func TestPlacerSpreadsBurstOfManyHosts(t *testing.T) {
	const hosts, engineCount, prompts = 79, 44, 88
	known := targets(engineCount)
	placer := newPool(1, known, hosts)
	count := map[string]int{}
	most := 0
	for i := range prompts {
		now := start.Add(time.Duration(i) * reportAge / prompts)
		r := engineRequest()
		r.DataCentre = fmt.Sprint("dc", i%3)
		c, err := placer.Place(now, r, false)
		if err != nil {
			t.Fatal(err)
		}
		count[c.Target.ID]++
		most = max(most, count[c.Target.ID])
	}
	if even := prompts / engineCount; most > even+1 {
		t.Errorf("an engine got %d prompts, an even spread is %d", most, even)
	}
}

// Streams are about to resume on an engine that is still receiving their KV caches. A prompt processed there would delay
// them.
func TestPromptsAvoidTargetsReceivingCopies(t *testing.T) {
	p := newPool(1, targets(2), 3)
	r := engineRequest()
	r.Copy, r.SourceDataCentre = true, "dc0"
	holder, err := p.Place(start, r, false)
	if err != nil {
		t.Fatal(err)
	}
	other := "e0"
	if holder.Target.ID == other {
		other = "e1"
	}
	// Without the copy, the holder would be the better target.
	p.SetPeerLoads(start, "host", map[string]usherpool.Load{other: {Streams: 2, Tokens: 6000}})
	c, err := p.Place(start, engineRequest(), false)
	if err != nil {
		t.Fatal(err)
	}
	if c.Target.ID != other {
		t.Errorf("the prompt went to %s, which is receiving a copy", c.Target.ID)
	}
}

func TestReservationsCountUntilReported(t *testing.T) {
	p := newPool(1, targets(2), 3)
	first, err := p.Place(start, engineRequest(), false)
	if err != nil {
		t.Fatal(err)
	}
	second, err := p.Place(start, engineRequest(), false)
	if err != nil {
		t.Fatal(err)
	}
	if first.Target.ID == second.Target.ID {
		t.Errorf("both prompts went to %s", first.Target.ID)
	}
	for _, s := range p.Summaries(start.Add(time.Minute)) {
		if s.All != (usherpool.Load{}) {
			t.Errorf("%s still has load %+v a minute later", s.ID, s.All)
		}
	}
}

func TestAdoptChoiceRequiresAcceptingTarget(t *testing.T) {
	known := targets(3)
	known[1].Target.Leaving = true
	p := newPool(1, known, 2)
	for _, c := range []struct {
		id       string
		excluded []string
		taken    bool
	}{{"e0", nil, true}, {"e1", nil, false}, {"e2", []string{"e2"}, false}, {"unknown", nil, false}} {
		r := engineRequest()
		r.Exclude = c.excluded
		var choice usherpool.Choice
		choice.Target.ID = c.id
		got, taken := p.AdoptChoice(start, r, choice)
		if taken != c.taken || taken && got.Target.Address != known[0].Target.Address {
			t.Errorf("%s: taken %v, address %s", c.id, taken, got.Target.Address)
		}
	}
}

// The request rate that cold engines tolerate is divided among all hosts, so choices made by a placer must not exceed
// the share of the requesting host.
func TestColdTargetsAreExcludedOnceShareIsUsed(t *testing.T) {
	const hosts = 10
	known := targets(1)
	known[0].Target.ColdRemaining = time.Minute
	p := newPool(1, known, hosts)
	now, taken := start, 0
	for range 1000 {
		now = now.Add(10 * time.Millisecond)
		if len(p.ExcludedTargets(now, engineRequest())) > 0 {
			continue
		}
		if _, ok := p.AdoptChoice(now, engineRequest(), usherpool.Choice{Target: *known[0].Target}); ok {
			taken++
		}
	}
	if limit := int(coldRate/hosts*10) + 1; taken > limit || taken < limit/2 {
		t.Errorf("%d prompts in 10 s, this host's share is %d", taken, limit)
	}
	r := engineRequest()
	r.Copy = true
	if got := p.ExcludedTargets(now, r); len(got) > 0 {
		t.Errorf("targets excluded for copies, which cold engines tolerate: %v", got)
	}
}

func TestFailingTargetsAreExcluded(t *testing.T) {
	p := newPool(1, targets(2), 2)
	for range 5 {
		p.RecordResult(start, "e1", usherpool.Failed)
	}
	excluded := p.ExcludedTargets(start, engineRequest())
	if len(excluded) != 1 || excluded[0] != "e1" {
		t.Errorf("excluded %v, want e1", excluded)
	}
	r := engineRequest()
	r.Exclude = []string{"e0", "e1"}
	if _, err := p.Place(start, r, false); !errorx.IsOfType(err, usherpool.ErrNone) {
		t.Errorf("with all targets excluded: %v", err)
	}
}

// Many streams with backup copies start faster than hosts learn of each other's loads. Hosts that placed the copies by
// themselves would all find the same engines empty. An engine without room keeps no copy, so the stream is lost if its
// own engine goes away.
func TestBackupCopiesOfBurstFitMemory(t *testing.T) {
	const engineCount, streams = 12, 60
	placer := newPool(1, targets(engineCount), 79)
	held := map[string]int{}
	for i := range streams {
		now := start.Add(time.Duration(i) * reportAge / streams)
		r := engineRequest()
		r.Copy, r.Backup, r.SourceDataCentre, r.DataCentre = true, true, fmt.Sprint("dc", i%3), fmt.Sprint("dc", i%3)
		c, err := placer.Place(now, r, false)
		if errorx.IsOfType(err, usherpool.ErrFull) {
			continue
		}
		if err != nil {
			t.Fatal(err)
		}
		held[c.Target.ID] += r.PromptTokens + r.OutputTokens
	}
	for id, tokens := range held {
		// 60 % of an engine's KV cache may be used before backup copies are refused.
		if room := 34312 * 6 / 10; tokens > room {
			t.Errorf("%s was given copies of %d tokens, want at most %d", id, tokens, room)
		}
	}
	if len(held) != engineCount {
		t.Errorf("%d of %d engines hold copies", len(held), engineCount)
	}
	// Backup copies must not divert prompts, unlike copies that are about to be resumed.
	if c, err := placer.Place(start.Add(reportAge), engineRequest(), false); err != nil || c.Load.Awaited != 0 || c.Load.Incoming != 0 {
		t.Errorf("%+v, %v", c.Load, err)
	}
}
