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
	incarnation       = 1 // of a target
	memberIncarnation = 1_800_000_000_000
)

type scheduler struct {
	members *ushermember.Membership
	leases  *usherlease.Leases
}

// cell is some schedulers on perfect links.
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

// round sends one round of heartbeats.
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

// settle runs rounds until all members have settled the list and lend.
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
	r.RequestedAt, r.Incarnation = c.now, max(r.Incarnation, incarnation)
	if err := s.leases.Report(c.now, r); err != nil {
		t.Fatal(err)
	}
}

func admitted(c *cell, s *scheduler, target string, tries int) (granted int) {
	for i := range tries {
		id := fmt.Sprint(c.now.UnixNano(), "-", i)
		if _, err := s.leases.Admit(c.now, usherlease.Request{Attempt: id, Target: target}); err == nil {
			granted++
		}
	}
	return granted
}

// takeover lets a scheduler go, stopping it or not. It returns the next holder and how many rounds pass until then.
func (c *cell) takeover(t *testing.T, gone *scheduler, target string, stops bool) (*scheduler, int) {
	t.Helper()
	for key, s := range c.schedulers {
		if s == gone && stops {
			delete(c.schedulers, key)
			c.ids = slices.DeleteFunc(c.ids, func(id string) bool { return ushermember.KeyOf(id) == key })
		}
	}
	for rounds := 1; rounds < 20; rounds++ {
		c.round()
		for _, id := range c.ids {
			if s := c.at(id); s != gone && s.leases.Budget(c.now, target).Majority {
				return s, rounds
			}
		}
	}
	t.Fatal("nobody takes over")
	return nil, 0
}

func TestTakeoverCountsWhatStillRuns(t *testing.T) {
	for _, c := range []struct {
		name               string
		running, announced int
		want               int
	}{
		{"nothing runs", 0, 0, 3},
		{"the report shows more", 2, 1, 1},
		{"gateways announce more", 1, 3, 0},
		{"more than the target bears", 5, 0, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			cell := newCell(5, []usherlease.Target{{ID: "a", ColdCapacity: 3, WarmCapacity: 24}})
			cell.settle()
			next, _ := cell.takeover(t, cell.holder(t, "a"), "a", true)
			if got := admitted(cell, next, "a", 4); got != 0 {
				t.Fatalf("granted %d before a report", got)
			}
			cell.now = cell.now.Add(time.Second / 2)
			cell.report(t, next, usherlease.LoadReport{Target: "a", Running: c.running, StepTime: time.Second})
			announcement := usherlease.Announcement{Gateway: "g"}
			for i := range c.announced {
				announcement.Running = append(announcement.Running, usherlease.RunningAttempt{Attempt: fmt.Sprint("old", i), Target: "a", Incarnation: incarnation})
			}
			next.leases.ApplyAnnouncement(announcement)
			if got := admitted(cell, next, "a", 4); got != c.want {
				t.Errorf("granted %d, want %d", got, c.want)
			}
		})
	}
}

func TestGiveBackIsFasterThanDeath(t *testing.T) {
	targets := []usherlease.Target{{ID: "a", ColdCapacity: 3, WarmCapacity: 24}}
	dead := newCell(5, targets)
	dead.settle()
	_, afterDeath := dead.takeover(t, dead.holder(t, "a"), "a", true)
	leaving := newCell(5, targets)
	leaving.settle()
	holder := leaving.holder(t, "a")
	holder.members.Leave()
	holder.leases.ReturnVotes(leaving.now)
	_, afterGiveBack := leaving.takeover(t, holder, "a", false)
	t.Logf("taken over %d rounds after a death, %d after giving back", afterDeath, afterGiveBack)
	if afterGiveBack >= afterDeath || afterGiveBack > 3 {
		t.Error("giving back is slow")
	}
}

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
			t.Errorf("a grant given %v after the last heartbeat is valid for %v", after, grant.ValidFor)
		}
		if after > 3800*time.Millisecond && err == nil {
			t.Error("granted without a vote")
		}
	}
}

func TestRampFollowsEvidence(t *testing.T) {
	fast, slow := 10*time.Millisecond, 50*time.Millisecond
	type step struct {
		report   usherlease.LoadReport
		state    usherlease.State
		bearable int
	}
	warmUp := []step{
		{usherlease.LoadReport{Completed: 1, Running: 0, StepTime: fast}, usherlease.Cold, 2},
		{usherlease.LoadReport{Completed: 2, Running: 2, StepTime: fast}, usherlease.Warming, 4},
		{usherlease.LoadReport{Completed: 6, Running: 4, StepTime: fast}, usherlease.Warm, 8},
	}
	for _, c := range []struct {
		name  string
		steps []step
	}{
		{"time alone", []step{{usherlease.LoadReport{Running: 2, StepTime: fast}, usherlease.Cold, 2}, {usherlease.LoadReport{Running: 2, StepTime: fast}, usherlease.Cold, 2}}},
		{"slow steps", []step{{usherlease.LoadReport{Completed: 9, Running: 2, StepTime: slow}, usherlease.Cold, 2}}},
		{"unused level", []step{{usherlease.LoadReport{Completed: 9, StepTime: fast}, usherlease.Cold, 2}}},
		{"preemption", append(slices.Clone(warmUp), step{usherlease.LoadReport{Completed: 7, Preempted: 1, Running: 8, StepTime: fast}, usherlease.Warming, 4})},
		{"step time jumps", append(slices.Clone(warmUp), step{usherlease.LoadReport{Completed: 7, Running: 8, StepTime: slow}, usherlease.Cold, 2})},
		{"new incarnation", append(slices.Clone(warmUp), step{usherlease.LoadReport{Incarnation: 2, StepTime: fast}, usherlease.Cold, 2})},
	} {
		t.Run(c.name, func(t *testing.T) {
			cell := newCell(1, []usherlease.Target{{ID: "a", ColdCapacity: 2, WarmCapacity: 8}})
			cell.settle()
			for i, s := range c.steps {
				cell.now = cell.now.Add(time.Second)
				s.report.Target = "a"
				cell.report(t, cell.at("kochi-0"), s.report)
				if b := cell.at("kochi-0").leases.Budget(cell.now, "a"); b.State != s.state || b.Capacity != s.bearable {
					t.Fatalf("after report %d it is %s and bears %d, want %s and %d", i, b.State, b.Capacity, s.state, s.bearable)
				}
			}
		})
	}
}

func TestWarmTargetIsLoadedBeyondShareOnlyByFreshReports(t *testing.T) {
	c := newCell(4, []usherlease.Target{{ID: "a", ColdCapacity: 4, WarmCapacity: 4}})
	c.settle()
	holder, _ := c.takeover(t, c.holder(t, "a"), "a", true) // one of four votes is gone
	for i := range 3 {
		c.round()
		c.report(t, holder, usherlease.LoadReport{Target: "a", Running: 2, Completed: uint64(8 * i), StepTime: time.Millisecond})
	}
	if b := holder.leases.Budget(c.now, "a"); b.State != usherlease.Warm || b.Share != 3 {
		t.Fatalf("budget %+v", b)
	}
	if got := admitted(c, holder, "a", 4); got != 2 {
		t.Errorf("granted %d beside 2 that run, want 2 of 4 with a share of 3", got)
	}
	c.now = c.now.Add(2500 * time.Millisecond)
	if got := admitted(c, holder, "a", 4); got != 0 {
		t.Errorf("granted %d by an old report", got)
	}
}

func TestVotesHoldWhileTargetListsDiffer(t *testing.T) {
	c := newCell(3, []usherlease.Target{{ID: "a", ColdCapacity: 3}})
	c.settle()
	holder := c.holder(t, "a")
	holder.leases.SetTargets([]usherlease.Target{{ID: "a", ColdCapacity: 3}, {ID: "b", ColdCapacity: 3}})
	for range 8 {
		c.round()
		if votes := holder.leases.Budget(c.now, "a").Votes; votes != 3 {
			t.Fatalf("%d votes left", votes)
		}
	}
}

func TestHeartbeatFitsDatagram(t *testing.T) {
	const datagram = 1200
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
	for i, id := range c.ids { // half know another list and another set of targets
		if s := c.at(id); i%2 == 0 {
			list := append(c.list.Members(), ushermember.Member{ID: "kochi-new"})
			s.members.SetList(c.now, ushermember.NewList(2, list))
			s.leases.SetTargets(manyTargets(1199))
		}
	}
	for range 4 {
		c.round()
	}
	c.ids = c.ids[:3] // few are left, so each lends many targets to each
	for range 12 {
		c.round()
	}
	if t.Logf("at most %d bytes", largest); largest > datagram {
		t.Errorf("a heartbeat of %d bytes", largest)
	}
}

func TestValidity(t *testing.T) {
	asked := time.Unix(0, 0)
	v := usherlease.NewValidity(asked, time.Second)
	for after, want := range map[time.Duration]bool{0: true, 940 * time.Millisecond: true, 960 * time.Millisecond: false} {
		if got := v.Covers(asked.Add(after)); got != want {
			t.Errorf("%v after asking: %v, want %v", after, got, want)
		}
	}
}
