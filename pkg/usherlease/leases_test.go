package usherlease_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/samphireusher/samphireusher/pkg/usherlease"
	"github.com/samphireusher/samphireusher/pkg/ushermember"
)

const incarnation = 1

type scheduler struct {
	members *ushermember.Membership
	leases  *usherlease.Leases
}

// cell is some schedulers on perfect links.
type cell struct {
	now        time.Time
	ids        []string
	schedulers map[ushermember.Key]*scheduler
}

func newCell(members int, targets []usherlease.Target) *cell {
	c := &cell{now: time.Unix(1_800_000_000, 0), schedulers: make(map[ushermember.Key]*scheduler)}
	var list []ushermember.Member
	for i := range members {
		list = append(list, ushermember.Member{ID: fmt.Sprintf("kochi-%d", i)})
	}
	for _, m := range list {
		s := &scheduler{
			members: ushermember.New(c.now, ushermember.Options{Cell: "kochi", ID: m.ID, Incarnation: incarnation}),
			leases:  usherlease.New(c.now, usherlease.Options{}),
		}
		s.members.SetList(c.now, ushermember.NewList(1, list))
		s.leases.SetTargets(targets)
		c.schedulers[m.Key()] = s
		c.ids = append(c.ids, m.ID)
	}
	return c
}

// round sends one round of heartbeats and returns one of them.
func (c *cell) round() (sample ushermember.Heartbeat) {
	c.now = c.now.Add(time.Second)
	for _, id := range c.ids {
		s := c.schedulers[ushermember.KeyOf(id)]
		s.members.Tick(c.now)
		outgoing := s.members.Heartbeats(c.now)
		s.leases.Ballots(c.now, s.members.View(c.now), outgoing)
		for _, out := range outgoing {
			to, ok := c.schedulers[out.Key]
			if !ok {
				continue
			}
			if received, err := to.members.Receive(c.now, out.Heartbeat); err == nil {
				to.leases.Receive(c.now, received)
			}
			sample = out.Heartbeat
		}
	}
	return sample
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
	r.AskedAt, r.Incarnation = c.now, max(r.Incarnation, incarnation)
	if err := s.leases.Report(c.now, r); err != nil {
		t.Fatal(err)
	}
}

func TestHolderGrantsUpToWhatTargetBears(t *testing.T) {
	c := newCell(5, []usherlease.Target{{ID: "a", Cold: 3, Full: 24}})
	c.settle()
	holder := c.holder(t, "a")
	if _, err := holder.leases.Admit(c.now, usherlease.Request{Attempt: "early", Target: "a"}); err == nil {
		t.Fatal("granted before the load was known")
	}
	c.report(t, holder, usherlease.LoadReport{Target: "a", Running: 1, StepTime: time.Second})
	for i, want := range []bool{true, true, false} {
		_, err := holder.leases.Admit(c.now, usherlease.Request{Attempt: fmt.Sprint(i), Target: "a"})
		if got := err == nil; got != want {
			t.Fatalf("request %d with one of 3 in use: granted %v (%v), want %v", i, got, err, want)
		}
	}
}
