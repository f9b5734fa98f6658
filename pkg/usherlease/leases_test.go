package usherlease_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/samphireusher/samphireusher/pkg/usherlease"
	"github.com/samphireusher/samphireusher/pkg/ushermember"
)

const (
	targetIncarnation = 1
	memberIncarnation = 1_800_000_000_000
)

type scheduler struct {
	members *ushermember.Membership
	leases  *usherlease.Leases
}

// cell is a set of schedulers connected by links without loss or delay.
type cell struct {
	now        time.Time
	ids        []string
	list       ushermember.List
	schedulers map[ushermember.Key]*scheduler
	wire       func(ushermember.Heartbeat) ushermember.Heartbeat // may be nil
}

func newCell(members int, targets []usherlease.Target) *cell {
	c := &cell{now: time.Unix(1_800_000_000, 0), schedulers: make(map[ushermember.Key]*scheduler)}
	var list []ushermember.Member
	for i := range members {
		list = append(list, ushermember.Member{ID: fmt.Sprintf("kochi-%d", i)})
	}
	c.list = ushermember.NewList(1, list)
	for _, m := range list {
		s := &scheduler{
			members: ushermember.New(c.now, ushermember.Options{Cell: "kochi", ID: m.ID, Incarnation: memberIncarnation}),
			leases:  usherlease.New(c.now, usherlease.Options{}),
		}
		s.members.SetList(c.now, c.list)
		s.leases.SetTargets(targets)
		c.schedulers[m.Key()] = s
		c.ids = append(c.ids, m.ID)
	}
	return c
}

// round exchanges one round of heartbeats among all schedulers.
func (c *cell) round() {
	c.now = c.now.Add(time.Second)
	for _, id := range c.ids {
		s := c.schedulers[ushermember.KeyOf(id)]
		s.members.Tick(c.now)
		outgoing := s.members.Heartbeats(c.now)
		s.leases.FillBallots(c.now, s.members.View(c.now), outgoing)
		for _, out := range outgoing {
			to, ok := c.schedulers[out.Key]
			if !ok {
				continue
			}
			if c.wire != nil {
				out.Heartbeat = c.wire(out.Heartbeat)
			}
			if received, err := to.members.Receive(c.now, out.Heartbeat); err == nil {
				to.leases.Receive(c.now, received)
			}
		}
	}
}

// settle runs enough rounds for the member list to settle and for all members to lend their votes.
func (c *cell) settle() {
	for range 16 {
		c.round()
	}
}

func (c *cell) at(id string) *scheduler {
	return c.schedulers[ushermember.KeyOf(id)]
}

// holder returns the scheduler that holds a majority of the votes on the target.
func (c *cell) holder(t *testing.T, target string) *scheduler {
	t.Helper()
	for _, id := range c.ids {
		if s := c.at(id); s.leases.Budget(c.now, target).Majority {
			return s
		}
	}
	t.Fatalf("no scheduler holds target %s", target)
	return nil
}

func (c *cell) report(t *testing.T, s *scheduler, r usherlease.LoadReport) {
	t.Helper()
	r.RequestedAt, r.Incarnation = c.now, max(r.Incarnation, targetIncarnation)
	if err := s.leases.Report(c.now, r); err != nil {
		t.Fatal(err)
	}
}

// admitted returns how many of the given number of requests are granted.
func admitted(c *cell, s *scheduler, target string, tries int) (granted int) {
	for i := range tries {
		id := fmt.Sprint(c.now.UnixNano(), "-", i)
		if _, err := s.leases.Admit(c.now, usherlease.Request{Attempt: id, Target: target}); err == nil {
			granted++
		}
	}
	return granted
}

// takeover runs rounds until another scheduler holds a majority of the votes on the target. If stops is set, it first
// stops the previous holder. It returns the new holder and the number of rounds.
func (c *cell) takeover(t *testing.T, previous *scheduler, target string, stops bool) (*scheduler, int) {
	t.Helper()
	for key, s := range c.schedulers {
		if s == previous && stops {
			delete(c.schedulers, key)
			c.ids = slices.DeleteFunc(c.ids, func(id string) bool { return ushermember.KeyOf(id) == key })
		}
	}
	for rounds := 1; rounds < 20; rounds++ {
		c.round()
		for _, id := range c.ids {
			if s := c.at(id); s != previous && s.leases.Budget(c.now, target).Majority {
				return s, rounds
			}
		}
	}
	t.Fatal("no scheduler took over")
	return nil, 0
}

// A scheduler that takes over a target must count the requests that its predecessor has started, by the load report or by
// the announcements of gateways, whichever shows more.
func TestTakeoverCountsRunningRequests(t *testing.T) {
	for _, c := range []struct {
		name               string
		running, announced int
		want               int
	}{
		{"no running requests", 0, 0, 3},
		{"load report shows more", 2, 1, 1},
		{"gateways announce more", 1, 3, 0},
		{"more than the capacity", 5, 0, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			cell := newCell(5, []usherlease.Target{{ID: "a", ColdCapacity: 3, WarmCapacity: 24}})
			cell.settle()
			next, _ := cell.takeover(t, cell.holder(t, "a"), "a", true)
			if got := admitted(cell, next, "a", 4); got != 0 {
				t.Fatalf("granted %d requests before a load report", got)
			}
			cell.now = cell.now.Add(time.Second / 2)
			cell.report(t, next, usherlease.LoadReport{Target: "a", Requests: c.running, StepTime: time.Second})
			announcement := usherlease.Announcement{Gateway: "g"}
			for i := range c.announced {
				announcement.Running = append(announcement.Running, usherlease.RunningAttempt{Attempt: fmt.Sprint("old", i), Target: "a", Incarnation: targetIncarnation})
			}
			next.leases.ApplyAnnouncement(announcement)
			if got := admitted(cell, next, "a", 4); got != c.want {
				t.Errorf("granted %d requests, want %d", got, c.want)
			}
		})
	}
}

// A planned stop returns votes, so that another scheduler takes over sooner than after a crash.
func TestReturningVotesIsFasterThanExpiry(t *testing.T) {
	targets := []usherlease.Target{{ID: "a", ColdCapacity: 3, WarmCapacity: 24}}
	crashed := newCell(5, targets)
	crashed.settle()
	_, afterCrash := crashed.takeover(t, crashed.holder(t, "a"), "a", true)
	leaving := newCell(5, targets)
	leaving.settle()
	holder := leaving.holder(t, "a")
	holder.members.Leave()
	holder.leases.ReturnVotes(leaving.now)
	_, afterReturn := leaving.takeover(t, holder, "a", false)
	t.Logf("takeover took %d rounds after a crash, %d after votes were returned", afterCrash, afterReturn)
	if afterReturn >= afterCrash || afterReturn > 3 {
		t.Error("takeover after returning votes is too slow")
	}
}

// With the default lease of 4 s and margin of 5 percent, a vote is held for 3.8 s after the heartbeat was sent; no grant may
// be valid for longer.
func TestGrantEndsWithLease(t *testing.T) {
	c := newCell(3, []usherlease.Target{{ID: "a", ColdCapacity: 9, WarmCapacity: 24}})
	c.settle()
	c.round()
	holder := c.holder(t, "a")
	c.report(t, holder, usherlease.LoadReport{Target: "a", StepTime: time.Second})
	last := c.now
	for _, after := range []time.Duration{0, 3500 * time.Millisecond, 4 * time.Second} {
		c.now = last.Add(after)
		grant, err := holder.leases.Admit(c.now, usherlease.Request{Attempt: after.String(), Target: "a"})
		if end := c.now.Add(grant.ValidFor); err == nil && end.After(last.Add(3800*time.Millisecond)) {
			t.Errorf("grant given %v after the last heartbeat is valid for %v", after, grant.ValidFor)
		}
		if after > 3800*time.Millisecond && err == nil {
			t.Error("request granted after the votes expired")
		}
	}
}

// The capacity of a target rises only when its load reports show that it copes, and falls on a preemption, a jump of the
// step time and a restart.
func TestRampFollowsLoadReports(t *testing.T) {
	fast, slow := 10*time.Millisecond, 50*time.Millisecond
	type step struct {
		report   usherlease.LoadReport
		state    usherlease.State
		capacity int
	}
	warmUp := []step{
		{usherlease.LoadReport{Completed: 1, Requests: 0, StepTime: fast}, usherlease.Cold, 2},
		{usherlease.LoadReport{Completed: 2, Requests: 2, StepTime: fast}, usherlease.Warming, 4},
		{usherlease.LoadReport{Completed: 6, Requests: 4, StepTime: fast}, usherlease.Warm, 8},
	}
	for _, c := range []struct {
		name  string
		steps []step
	}{
		{"time alone", []step{{usherlease.LoadReport{Requests: 2, StepTime: fast}, usherlease.Cold, 2}, {usherlease.LoadReport{Requests: 2, StepTime: fast}, usherlease.Cold, 2}}},
		{"slow steps", []step{{usherlease.LoadReport{Completed: 9, Requests: 2, StepTime: slow}, usherlease.Cold, 2}}},
		{"unused level", []step{{usherlease.LoadReport{Completed: 9, StepTime: fast}, usherlease.Cold, 2}}},
		{"preemption", append(slices.Clone(warmUp), step{usherlease.LoadReport{Completed: 7, Preemptions: 1, Requests: 8, StepTime: fast}, usherlease.Warming, 4})},
		{"step time jumps", append(slices.Clone(warmUp), step{usherlease.LoadReport{Completed: 7, Requests: 8, StepTime: slow}, usherlease.Cold, 2})},
		{"new incarnation", append(slices.Clone(warmUp), step{usherlease.LoadReport{Incarnation: 2, StepTime: fast}, usherlease.Cold, 2})},
	} {
		t.Run(c.name, func(t *testing.T) {
			cell := newCell(1, []usherlease.Target{{ID: "a", ColdCapacity: 2, WarmCapacity: 8}})
			cell.settle()
			for i, s := range c.steps {
				cell.now = cell.now.Add(time.Second)
				s.report.Target = "a"
				cell.report(t, cell.at("kochi-0"), s.report)
				if b := cell.at("kochi-0").leases.Budget(cell.now, "a"); b.State != s.state || b.Capacity != s.capacity {
					t.Fatalf("after report %d: state %s and capacity %d, want %s and %d", i, b.State, b.Capacity, s.state, s.capacity)
				}
			}
		})
	}
}

// The holder of a majority may exceed its share on a warm target while a load report no older than 2 s shows unused
// capacity.
func TestWarmTargetIsLoadedBeyondShareOnlyByFreshReports(t *testing.T) {
	c := newCell(4, []usherlease.Target{{ID: "a", ColdCapacity: 4, WarmCapacity: 4}})
	c.settle()
	holder, _ := c.takeover(t, c.holder(t, "a"), "a", true) // one of four votes is lost
	for i := range 3 {
		c.round()
		c.report(t, holder, usherlease.LoadReport{Target: "a", Requests: 2, Completed: uint64(8 * i), StepTime: time.Millisecond})
	}
	if b := holder.leases.Budget(c.now, "a"); b.State != usherlease.Warm || b.Share != 3 {
		t.Fatalf("got budget %+v, want a warm target and a share of 3", b)
	}
	if got := admitted(c, holder, "a", 4); got != 2 {
		t.Errorf("granted %d requests while 2 run, want 2 for a capacity of 4 and a share of 3", got)
	}
	c.now = c.now.Add(2500 * time.Millisecond)
	if got := admitted(c, holder, "a", 4); got != 0 {
		t.Errorf("granted %d requests on the basis of an old load report", got)
	}
}

// Members whose sets of targets differ list the lent targets explicitly, so that no vote is lost while a change of the
// targets spreads.
func TestVotesAreKeptWhileTargetListsDiffer(t *testing.T) {
	c := newCell(3, []usherlease.Target{{ID: "a", ColdCapacity: 3}})
	c.settle()
	holder := c.holder(t, "a")
	holder.leases.SetTargets([]usherlease.Target{{ID: "a", ColdCapacity: 3}, {ID: "b", ColdCapacity: 3}})
	for range 8 {
		c.round()
		if votes := holder.leases.Budget(c.now, "a").Votes; votes != 3 {
			t.Fatalf("%d votes held, want 3", votes)
		}
	}
}

// Heartbeats must not be fragmented, even while member lists and sets of targets differ and few members are left, which
// gives the largest ballots.
func TestHeartbeatFitsDatagram(t *testing.T) {
	const maxDatagram = 1200
	c := newCell(27, manyTargets(1200))
	c.settle()
	largest := 0
	c.wire = func(h ushermember.Heartbeat) ushermember.Heartbeat {
		encoded, err := cbor.Marshal(h)
		if err != nil {
			t.Fatal(err)
		}
		largest = max(largest, len(encoded))
		return h
	}
	for i, id := range c.ids { // half of the members have another member list and another set of targets
		if s := c.at(id); i%2 == 0 {
			list := append(c.list.Members(), ushermember.Member{ID: "kochi-new"})
			s.members.SetList(c.now, ushermember.NewList(2, list))
			s.leases.SetTargets(manyTargets(1199))
		}
	}
	for range 4 {
		c.round()
	}
	c.ids = c.ids[:3] // with few members left, each lends many votes to each other member
	for range 12 {
		c.round()
	}
	if t.Logf("largest heartbeat: %d bytes", largest); largest > maxDatagram {
		t.Errorf("largest heartbeat has %d bytes, which exceeds a datagram", largest)
	}
}

func TestValidity(t *testing.T) {
	requestedAt := time.Unix(0, 0)
	v := usherlease.NewValidity(requestedAt, time.Second)
	for after, want := range map[time.Duration]bool{0: true, 940 * time.Millisecond: true, 960 * time.Millisecond: false} {
		if got := v.Covers(requestedAt.Add(after)); got != want {
			t.Errorf("%v after the request: got %v, want %v", after, got, want)
		}
	}
}
