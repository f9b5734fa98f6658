package usherpool_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/joomcode/errorx"

	"github.com/samphireusher/samphireusher/pkg/ushercatalog"
	"github.com/samphireusher/samphireusher/pkg/usherpool"
	"github.com/samphireusher/samphireusher/pkg/usherroute"
)

const (
	engines      = "appraiser"
	plainService = "registry"
	// coldRate, coldBurstFactor and coldSlack bound the requests that a cold target may get in one second, from the
	// users' data sheets.
	coldRate        = 37.0
	coldBurstFactor = 1.5
	coldSlack       = 5
)

var start = time.Unix(1000, 0)

func table() *usherroute.Table {
	return usherroute.NewTable(1, nil, []usherroute.Service{
		{Name: engines, ColdRate: coldRate, Engine: &usherroute.Engine{Slots: 24, MemoryTokens: 34312, TokenCopyTime: 55 * time.Microsecond}},
		{Name: plainService},
	}, nil, usherroute.Limits{})
}

// target returns an engine in one of three data centres.
func target(i int) ushercatalog.KnownEntry {
	return ushercatalog.KnownEntry{Learned: start, Entry: ushercatalog.Entry{Target: &ushercatalog.Target{
		ID: fmt.Sprint("e", i), Service: engines, DataCentre: fmt.Sprint("dc", i%3), Slots: 24,
		Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 128, 0, byte(i)}), 80),
	}}}
}

func targets(n int) []ushercatalog.KnownEntry {
	var known []ushercatalog.KnownEntry
	for i := range n {
		known = append(known, target(i))
	}
	return known
}

func noneEvacuated(string) bool { return false }

func newPool(seed uint64, known []ushercatalog.KnownEntry, hosts int) *usherpool.Pool {
	p := usherpool.New(usherpool.Options{DataCentre: "dc0", Random: rand.New(rand.NewPCG(seed, 1))})
	p.Update(start, known, noneEvacuated, table(), hosts)
	return p
}

func engineRequest() usherpool.Request {
	return usherpool.Request{Service: engines, PromptTokens: 3000, OutputTokens: 900}
}

func streamLoad() usherpool.Load { return usherpool.Load{Streams: 1, Tokens: 3900} }

func TestChooseOnlyAcceptingTargets(t *testing.T) {
	known := targets(6)
	known[0].Target.Leaving = true
	known[3].Target.Service = plainService
	p := newPool(1, known, 1)
	p.Update(start, known[:5], func(dc string) bool { return dc == "dc1" }, table(), 1)
	for range 50 {
		c, err := p.Choose(start, engineRequest())
		if err != nil {
			t.Fatal(err)
		}
		if c.Target.ID != "e2" {
			t.Fatalf("chosen %s, want e2; e0 is leaving, e1 and e4 are evacuated, e3 has another service, e5 is gone", c.Target.ID)
		}
	}
	r := engineRequest()
	r.Exclude = []string{"e2"}
	if _, err := p.Choose(start, r); !errorx.IsOfType(err, usherpool.ErrNoTarget) {
		t.Errorf("with e2 excluded: %v", err)
	}
}

// Nine hosts start streams at a steady rate, each knowing the others' loads with a delay of one report.
func TestStreamsSpreadOverEngines(t *testing.T) {
	const hosts, streams = 9, 45
	known := targets(9)
	var pools []*usherpool.Pool
	for i := range hosts {
		pools = append(pools, newPool(uint64(i), known, hosts))
	}
	count := map[string]int{}
	for i := range streams {
		now := start.Add(time.Duration(i) * 200 * time.Millisecond)
		p := pools[i%hosts]
		c, err := p.Choose(now, engineRequest())
		if err != nil {
			t.Fatal(err)
		}
		p.AddLoad(c.Target.ID, streamLoad())
		count[c.Target.ID]++
		for from, sender := range pools {
			for to, receiver := range pools {
				if from != to {
					receiver.SetPeerLoads(now, fmt.Sprint("host", from), sender.OwnLoads())
				}
			}
		}
	}
	for id, n := range count {
		if n < 4 || n > 6 {
			t.Errorf("%s runs %d of %d streams, want 4 to 6: %v", id, n, streams, count)
		}
	}
}

// Many hosts with little work each know the others' loads half a second late. If all of them chose the best target, it
// would get all requests of that time.
func TestManyHostsDoNotOverloadOneTarget(t *testing.T) {
	const hosts, engineCount, perSecond, seconds, life = 79, 40, 50, 20, 6
	known := targets(engineCount)
	var pools []*usherpool.Pool
	for i := range hosts {
		pools = append(pools, newPool(uint64(i), known, hosts))
	}
	type stream struct {
		host int
		id   string
		ends time.Time
	}
	var streams []stream
	most := 0
	for i := range perSecond * seconds {
		now := start.Add(time.Duration(i) * time.Second / perSecond)
		streams = slices.DeleteFunc(streams, func(s stream) bool {
			if s.ends.After(now) {
				return false
			}
			pools[s.host].AddLoad(s.id, streamLoad().Negated())
			return true
		})
		if i%(perSecond/2) == 0 {
			for to, receiver := range pools {
				fleet := map[string]usherpool.Load{}
				for _, s := range streams {
					if s.host != to {
						l := fleet[s.id]
						fleet[s.id] = usherpool.Load{Streams: l.Streams + 1, Tokens: l.Tokens + streamLoad().Tokens}
					}
				}
				receiver.SetPeerLoads(now, "fleet", fleet)
			}
		}
		host := (i * 31) % hosts
		c, err := pools[host].Choose(now, engineRequest())
		if err != nil {
			t.Fatal(err)
		}
		pools[host].AddLoad(c.Target.ID, streamLoad())
		streams = append(streams, stream{host: host, id: c.Target.ID, ends: now.Add(life * time.Second)})
		count := map[string]int{}
		for _, s := range streams {
			count[s.id]++
			most = max(most, count[s.id])
		}
	}
	// An even spread is 7.5 streams per engine. An engine's KV cache holds twice that many streams of mean length.
	if even := float64(perSecond*life) / engineCount; float64(most) > 2*even {
		t.Errorf("an engine ran %d streams, an even spread is %.1f", most, even)
	}
}

func TestPeerLoadsExpire(t *testing.T) {
	p := newPool(1, targets(2), 2)
	p.SetPeerLoads(start, "other", map[string]usherpool.Load{"e0": {Streams: 9, Tokens: 30000}})
	if c, err := p.Choose(start, engineRequest()); err != nil || c.Target.ID != "e1" {
		t.Errorf("chosen %v, %v while e0 is loaded", c.Target.ID, err)
	}
	p.AddLoad("e1", streamLoad())
	if c, err := p.Choose(start.Add(10*time.Second), engineRequest()); err != nil || c.Target.ID != "e0" {
		t.Errorf("chosen %v, %v after the peer's loads expired", c.Target.ID, err)
	}
}

// All engines of a data centre come back cold at the same time, and every host sees them idle.
func TestColdEnginesStayWithinColdRate(t *testing.T) {
	for _, hosts := range []int{1, 9, 79} {
		known := targets(1)
		known[0].Target.ColdRemaining = 3 * time.Second
		var pools []*usherpool.Pool
		for i := range hosts {
			pools = append(pools, newPool(uint64(i), known, hosts))
		}
		var sent []time.Time
		for ms := range 3000 {
			now := start.Add(time.Duration(ms) * time.Millisecond)
			for _, p := range pools {
				if _, err := p.Choose(now, engineRequest()); err == nil {
					sent = append(sent, now)
				}
			}
		}
		bound := int(math.Floor(coldRate*coldBurstFactor)) + coldSlack
		for i := range sent {
			in := 0
			for _, at := range sent[i:] {
				if at.Sub(sent[i]) < time.Second {
					in++
				}
			}
			if in > bound {
				t.Errorf("%d hosts: %d requests within a second, want at most %d", hosts, in, bound)
				break
			}
		}
		if len(sent) < int(coldRate) {
			t.Errorf("%d hosts: only %d requests in 3 s", hosts, len(sent))
		}
	}
}

func TestFailingTargetsAreSkippedThenRetried(t *testing.T) {
	for _, c := range []struct {
		name    string
		results []usherpool.Result
		wait    time.Duration
		want    string
	}{
		{"unreachable", []usherpool.Result{usherpool.Unreachable}, 0, "e1"},
		{"full", []usherpool.Result{usherpool.Full}, 0, "e1"},
		{"replaced", []usherpool.Result{usherpool.Replaced}, 5 * time.Second, "e1"},
		{"fails repeatedly", []usherpool.Result{usherpool.Failed, usherpool.Failed, usherpool.Failed}, 0, "e1"},
		{"failed once", []usherpool.Result{usherpool.Failed, usherpool.Answered, usherpool.Answered, usherpool.Answered, usherpool.Answered}, 0, "e0"},
		{"unreachable long ago", []usherpool.Result{usherpool.Unreachable, usherpool.Unreachable}, 20 * time.Second, "e0"},
	} {
		p := newPool(1, targets(2), 1)
		// The load on e1 makes e0 the better target.
		p.AddLoad("e1", usherpool.Load{Streams: 12, Tokens: 20000})
		for _, r := range c.results {
			p.RecordResult(start, "e0", r)
		}
		got, err := p.Choose(start.Add(c.wait), engineRequest())
		if err != nil || got.Target.ID != c.want {
			t.Errorf("%s: chosen %s, %v; want %s", c.name, got.Target.ID, err, c.want)
		}
	}
}

func TestOnDemandCopiesStayInDataCentreAndBackupsLeaveIt(t *testing.T) {
	p := newPool(1, targets(6), 1)
	for range 20 {
		r := engineRequest()
		r.Copy, r.SourceDataCentre, r.Exclude = true, "dc0", []string{"e0"}
		if c, err := p.Choose(start, r); err != nil || c.Target.DataCentre != "dc0" {
			t.Fatalf("an on-demand copy goes to %s, %v; want dc0", c.Target.DataCentre, err)
		}
		r.Backup = true
		if c, err := p.Choose(start, r); err != nil || c.Target.DataCentre == "dc0" {
			t.Fatalf("a backup copy goes to %s, %v; want another data centre", c.Target.DataCentre, err)
		}
	}
}

// The engines are so full that further copies would evict running generations from memory.
func TestBackupCopiesLeaveRoomForGenerations(t *testing.T) {
	p := newPool(1, targets(2), 1)
	for _, id := range []string{"e0", "e1"} {
		p.AddLoad(id, usherpool.Load{Streams: 5, Tokens: 20000})
	}
	r := engineRequest()
	r.Copy, r.Backup, r.SourceDataCentre = true, true, "dc0"
	if _, err := p.Choose(start, r); !errorx.IsOfType(err, usherpool.ErrFull) {
		t.Errorf("a backup copy: error %v, want ErrFull", err)
	}
	r.Backup = false
	if _, err := p.Choose(start, r); err != nil {
		t.Errorf("an on-demand copy: error %v, want none", err)
	}
}

// Streams are about to resume at the holder of their copies, and new prompts would delay them.
func TestPromptsAvoidTargetsWithPendingResumes(t *testing.T) {
	p := newPool(1, targets(2), 1)
	p.AddLoad("e0", usherpool.Load{Copies: 3, CopyTokens: 9000, Awaited: 3})
	p.AddLoad("e1", usherpool.Load{Streams: 5, Tokens: 19500})
	if c, err := p.Choose(start, engineRequest()); err != nil || c.Target.ID != "e1" {
		t.Errorf("chosen %s, %v; want e1", c.Target.ID, err)
	}
}

func TestRetriesStayWithinBudgetOfAllHosts(t *testing.T) {
	const hosts, ratio, allowance = 9, 0.2, 58.0
	window := 10 * time.Second
	budgets := make([]*usherpool.RetryBudget, hosts)
	for i := range budgets {
		budgets[i] = &usherpool.RetryBudget{Ratio: ratio, Allowance: allowance, Window: window}
	}
	var requests, retries []time.Time
	for ms := 0; ms < 40000; ms += 10 {
		now := start.Add(time.Duration(ms) * time.Millisecond)
		b := budgets[(ms/10)%hosts]
		b.RecordRequest(now)
		requests = append(requests, now)
		// Tries to retry every request three times.
		for range 3 {
			if b.AllowRetry(now, hosts) {
				retries = append(retries, now)
			}
		}
	}
	in := func(times []time.Time, from time.Time) (n int) {
		for _, at := range times {
			if !at.Before(from) && at.Before(from.Add(window)) {
				n++
			}
		}
		return n
	}
	for from := start; from.Before(start.Add(30 * time.Second)); from = from.Add(500 * time.Millisecond) {
		if n, allowed := in(retries, from), ratio*float64(in(requests, from))+allowance; float64(n) > allowed {
			t.Fatalf("%d retries in a window, want at most %.0f", n, allowed)
		}
	}
	if len(retries) < 100 {
		t.Errorf("only %d retries in 40 s", len(retries))
	}
}

// The index of targets by service is kept between updates, as most of them change none. An entry with another service, and one that is gone, must
// change it.
func TestTargetsAreFoundUnderTheirPresentService(t *testing.T) {
	known, declarations := targets(3), table()
	p := newPool(1, nil, 3)
	p.Update(start, known, noneEvacuated, declarations, 3)
	moved := *known[0].Target
	moved.Service = "other"
	known[0].Target = &moved
	p.Update(start, known[:2], noneEvacuated, declarations, 3)
	for range 20 {
		if c, err := p.Choose(start, engineRequest()); err != nil || c.Target.ID != known[1].Target.ID {
			t.Fatalf("%s chosen, want %s, the only target of the service; %v", c.Target.ID, known[1].Target.ID, err)
		}
	}
	r := engineRequest()
	r.Service = "other"
	if c, err := p.Choose(start, r); err != nil || c.Target.ID != moved.ID {
		t.Errorf("%s chosen, want %s under its new service; %v", c.Target.ID, moved.ID, err)
	}
}
