package usherpool_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/joomcode/errorx"

	"github.com/samphireusher/samphireusher/pkg/usherpool"
)

const (
	// reportedLate is how old other hosts' loads are where hosts choose by themselves.
	reportedLate = 500 * time.Millisecond
)

// The pattern: a burst of long prompts at many hosts within the age of their reports, on the grown fleets. Each engine reads
// prompts one after the other, so the last of five begins two seconds late.
func TestBurstAtManyHostsIsSpreadByOnePlacer(t *testing.T) {
	const hosts, engineCount, prompts = 79, 44, 88
	known := targets(engineCount)
	placer := newPool(1, known, hosts)
	count := map[string]int{}
	most := 0
	for i := range prompts {
		now := start.Add(time.Duration(i) * reportedLate / prompts)
		r := appraisal()
		r.DataCentre = fmt.Sprint("dc", i%3)
		c, err := placer.Place(now, r, false)
		if err != nil {
			t.Fatal(err)
		}
		count[c.Target.ID]++
		most = max(most, count[c.Target.ID])
	}
	if even := prompts / engineCount; most > even+1 {
		t.Errorf("an engine got %d prompts; an even spread is %d", most, even)
	}
}

// The pattern: streams are about to go on at an engine that still receives their memory; a prompt there would hold them up.
func TestPromptsStayAwayFromWhereCopiesAreOnTheirWay(t *testing.T) {
	p := newPool(1, targets(2), 3)
	r := appraisal()
	r.Copy, r.Source = true, "dc0"
	holder, err := p.Place(start, r, false)
	if err != nil {
		t.Fatal(err)
	}
	other := "e0"
	if holder.Target.ID == other {
		other = "e1"
	}
	// Otherwise the holder would be the better one.
	p.SetPeerLoads(start, "host", map[string]usherpool.Load{other: {Streams: 2, Tokens: 6000}})
	c, err := p.Place(start, appraisal(), false)
	if err != nil {
		t.Fatal(err)
	}
	if c.Target.ID != other {
		t.Errorf("the prompt went to %s, which receives a copy", c.Target.ID)
	}
}

func TestPlacerCountsWhatItGaveUntilReportsHaveIt(t *testing.T) {
	p := newPool(1, targets(2), 3)
	first, err := p.Place(start, appraisal(), false)
	if err != nil {
		t.Fatal(err)
	}
	second, err := p.Place(start, appraisal(), false)
	if err != nil {
		t.Fatal(err)
	}
	if first.Target.ID == second.Target.ID {
		t.Errorf("both prompts went to %s", first.Target.ID)
	}
	for _, s := range p.Summaries(start.Add(time.Minute)) {
		if s.All != (usherpool.Load{}) {
			t.Errorf("%s counts %+v long after the hosts reported", s.ID, s.All)
		}
	}
}

func TestChoiceOfAnotherHostIsTakenOnlyIfTheTargetAcceptsWork(t *testing.T) {
	known := targets(3)
	known[1].Target.Leaving = true
	p := newPool(1, known, 2)
	for _, c := range []struct {
		id       string
		excluded []string
		taken    bool
	}{{"e0", nil, true}, {"e1", nil, false}, {"e2", []string{"e2"}, false}, {"unknown", nil, false}} {
		r := appraisal()
		r.Exclude = c.excluded
		var choice usherpool.Choice
		choice.Target.ID = c.id
		got, taken := p.AdoptChoice(start, r, choice)
		if taken != c.taken || taken && got.Target.Address != known[0].Target.Address {
			t.Errorf("%s: taken %v, address %s", c.id, taken, got.Target.Address)
		}
	}
}

// Cold engines bear a rate that all hosts share, so a placer's choice may not go beyond the part of the host that sends.
func TestColdTargetsAreWithheldFromPlacersOnceTheShareIsUsed(t *testing.T) {
	const hosts = 10
	known := targets(1)
	known[0].Target.ColdRemaining = time.Minute
	p := newPool(1, known, hosts)
	now, taken := start, 0
	for range 1000 {
		now = now.Add(10 * time.Millisecond)
		if len(p.ExcludedTargets(now, appraisal())) > 0 {
			continue
		}
		if _, ok := p.AdoptChoice(now, appraisal(), usherpool.Choice{Target: *known[0].Target}); ok {
			taken++
		}
	}
	if limit := int(coldRate/hosts*10) + 1; taken > limit || taken < limit/2 {
		t.Errorf("%d prompts in 10 s; this host's part is %d", taken, limit)
	}
	r := appraisal()
	r.Copy = true
	if got := p.ExcludedTargets(now, r); len(got) > 0 {
		t.Errorf("withheld from copies, which cold engines bear: %v", got)
	}
}

func TestTargetsThatFailAreWithheldFromPlacers(t *testing.T) {
	p := newPool(1, targets(2), 2)
	for range 5 {
		p.Observe(start, "e1", usherpool.Failed)
	}
	withheld := p.ExcludedTargets(start, appraisal())
	if len(withheld) != 1 || withheld[0] != "e1" {
		t.Errorf("withheld %v, want e1", withheld)
	}
	r := appraisal()
	r.Exclude = []string{"e0", "e1"}
	if _, err := p.Place(start, r, false); !errorx.IsOfType(err, usherpool.ErrNone) {
		t.Errorf("everything is excluded: %v", err)
	}
}

// The pattern: many streams begin within the age of reports, each with a standing copy. Hosts that placed those by themselves
// all found the same engines empty; an engine without room keeps no copy, and the stream has none when its engine goes.
func TestStandingCopiesOfABurstFitWhereTheyArePlaced(t *testing.T) {
	const engineCount, streams = 12, 60
	placer := newPool(1, targets(engineCount), 79)
	held := map[string]int{}
	for i := range streams {
		now := start.Add(time.Duration(i) * reportedLate / streams)
		r := appraisal()
		r.Copy, r.Backup, r.Source, r.DataCentre = true, true, fmt.Sprint("dc", i%3), fmt.Sprint("dc", i%3)
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
		// The share of memory up to which copies are kept that may also not be made.
		if room := 34312 * 6 / 10; tokens > room {
			t.Errorf("%s was given copies of %d tokens, of %d", id, tokens, room)
		}
	}
	if len(held) != engineCount {
		t.Errorf("%d of %d engines hold copies", len(held), engineCount)
	}
	// What stands somewhere does not keep prompts away, as what is about to go on there does.
	if c, err := placer.Place(start.Add(reportedLate), appraisal(), false); err != nil || c.Load.Awaited != 0 || c.Load.Incoming != 0 {
		t.Errorf("%+v, %v", c.Load, err)
	}
}
