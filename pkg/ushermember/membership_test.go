package ushermember_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"github.com/samphireusher/samphireusher/pkg/ushermember"
)

// network connects the members of one cell by links that may be blocked in each direction.
type network struct {
	now          time.Time
	members      map[string]*ushermember.Membership
	blocked      func(from, to string) bool
	lastReceived map[string]ushermember.Heartbeat // the last heartbeat received by each member
}

var start = time.Unix(1_800_000_000, 0)

func newNetwork(published ushermember.List) *network {
	n := &network{
		now: start, members: make(map[string]*ushermember.Membership), lastReceived: make(map[string]ushermember.Heartbeat),
		blocked: func(string, string) bool { return false },
	}
	for _, m := range published.Members() {
		n.start(m.ID, 1, published)
	}
	return n
}

func (n *network) start(id string, incarnation uint64, published ushermember.List) {
	n.members[id] = ushermember.New(n.now, ushermember.Options{Cell: "kochi", ID: id, Incarnation: incarnation})
	n.members[id].SetList(n.now, published)
}

func list(revision uint64, ids ...string) ushermember.List {
	var members []ushermember.Member
	for _, id := range ids {
		members = append(members, ushermember.Member{ID: id})
	}
	return ushermember.NewList(revision, members)
}

func (n *network) rounds(count int) {
	for range count {
		n.now = n.now.Add(time.Second)
		for _, id := range slices.Sorted(maps.Keys(n.members)) {
			n.members[id].Tick(n.now)
			for _, out := range n.members[id].Heartbeats(n.now) {
				to := n.members[out.To.ID]
				if to == nil || n.blocked(id, out.To.ID) {
					continue
				}
				n.lastReceived[out.To.ID] = out.Heartbeat
				_, _ = to.Receive(n.now, out.Heartbeat)
			}
		}
	}
}

// states returns the states of all members as one member sees them, in the order of the list.
func (n *network) states(id string) string {
	var states []ushermember.State
	for _, mv := range n.members[id].View(n.now).Members {
		states = append(states, mv.State)
	}
	return fmt.Sprint(states)
}

func TestStates(t *testing.T) {
	for _, c := range []struct {
		name       string
		act        func(n *network)
		rounds     int
		seenByA    string
		seenByB    string
		candidates int // of a
	}{
		{"all links work", func(*network) {}, 1, "[alive alive alive]", "[alive alive alive]", 3},
		{"link from b to a is blocked", func(n *network) {
			n.blocked = func(from, to string) bool { return from == "b" && to == "a" }
		}, 6, "[alive dead alive]", "[joining alive alive]", 2},
		{"c is silent for 3 s", func(n *network) {
			n.blocked = func(from, _ string) bool { return from == "c" }
		}, 3, "[alive alive suspect]", "[alive alive suspect]", 3},
		{"c is silent for 6 s", func(n *network) {
			n.blocked = func(from, _ string) bool { return from == "c" }
		}, 6, "[alive alive dead]", "[alive alive dead]", 2},
		{"c announces that it is leaving", func(n *network) { n.members["c"].Leave() }, 1, "[alive alive leaving]", "[alive alive leaving]", 2},
		{"c announces that it is leaving and cancels", func(n *network) {
			n.members["c"].Leave()
			n.rounds(1)
			n.members["c"].CancelLeave()
		}, 2, "[alive alive alive]", "[alive alive alive]", 3},
		{"c is published as leaving", func(n *network) {
			n.members["a"].SetList(n.now, ushermember.NewList(2, []ushermember.Member{{ID: "a"}, {ID: "b"}, {ID: "c", Leaving: true}}))
		}, 1, "[alive alive leaving]", "[alive alive alive]", 2},
		{"c restarts", func(n *network) { n.start("c", 2, list(1, "a", "b", "c")) }, 2, "[alive alive alive]", "[alive alive alive]", 3},
	} {
		t.Run(c.name, func(t *testing.T) {
			n := newNetwork(list(1, "a", "b", "c"))
			n.rounds(8)
			c.act(n)
			n.rounds(c.rounds)
			if a, b := n.states("a"), n.states("b"); a != c.seenByA || b != c.seenByB {
				t.Errorf("a sees %s and b %s, want %s and %s", a, b, c.seenByA, c.seenByB)
			}
			if got := len(n.members["a"].View(n.now).Candidates); got != c.candidates {
				t.Errorf("a has %d candidates, want %d", got, c.candidates)
			}
		})
	}
}

func TestTotalDuringListChange(t *testing.T) {
	all := []string{"a", "b", "c", "d"}
	for _, c := range []struct {
		name          string
		before, after ushermember.List
		updated       []string
		rounds        int
		total         int
		wantAbstain   bool
		wantSettled   bool
	}{
		{"one member hasn't received the larger list", list(1, "a", "b", "c"), list(2, all...), []string{"a", "b"}, 20, 4, true, false},
		{"all have had the larger list for long", list(1, "a", "b", "c"), list(2, all...), all, 20, 4, false, true},
		{"one member hasn't received the smaller list", list(1, all...), list(2, "a", "b", "c"), []string{"a", "b"}, 20, 4, false, false},
		{"all have just received the smaller list", list(1, all...), list(2, "a", "b", "c"), all, 2, 4, false, false},
		{"all have had the smaller list for long", list(1, all...), list(2, "a", "b", "c"), all, 20, 3, false, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			n := newNetwork(c.before)
			n.rounds(10)
			if c.after.Len() > c.before.Len() {
				n.start("d", 1, c.after)
			}
			for _, id := range c.updated {
				n.members[id].SetList(n.now, c.after)
			}
			n.rounds(c.rounds)
			if v := n.members["a"].View(n.now); v.Total != c.total || v.Settled != c.wantSettled {
				t.Errorf("total %d, settled %v; want %d, %v", v.Total, v.Settled, c.total, c.wantSettled)
			}
			if got := n.members["d"].View(n.now).Abstain; c.after.Len() == 4 && got != c.wantAbstain {
				t.Errorf("the new member abstains: %v, want %v", got, c.wantAbstain)
			}
		})
	}
}

func TestPausedMemberIsUnconfirmedUntilMajorityAnswers(t *testing.T) {
	n := newNetwork(list(1, "a", "b", "c"))
	n.rounds(8)
	a := n.members["a"]
	if !a.View(n.now).Confirmed {
		t.Fatal("unconfirmed although all links work")
	}
	n.now = n.now.Add(10 * time.Second)
	if paused := a.Tick(n.now); !paused || a.View(n.now).Confirmed {
		t.Fatal("a late tick leaves the view confirmed")
	}
	if n.rounds(3); !a.View(n.now).Confirmed {
		t.Fatal("still unconfirmed after a majority has answered")
	}
}

func TestRestartedMemberLearnsThatListIsSettled(t *testing.T) {
	n := newNetwork(list(1, "a", "b", "c"))
	n.rounds(10)
	n.start("c", 2, list(1, "a", "b", "c"))
	delete(n.members, "b") // a dead member must not delay it
	if n.rounds(2); n.members["c"].View(n.now).Abstain {
		t.Fatal("abstains although another member knows that the list is settled")
	}
}

func TestDeadHostDelaysSettlingOnlyAfterListChange(t *testing.T) {
	for name, listChanged := range map[string]bool{"all have just started": false, "some knew another list": true} {
		published := list(2, "a", "b", "c", "d")
		n := newNetwork(published)
		if listChanged {
			n.start("a", 1, list(1, "a", "b", "c"))
			n.members["a"].SetList(n.now, published)
		}
		delete(n.members, "d")
		if n.rounds(40); n.members["b"].View(n.now).Abstain != listChanged {
			t.Errorf("%s: b abstains: %v, want %v", name, !listChanged, listChanged)
		}
	}
}

func TestReceiveRejects(t *testing.T) {
	n := newNetwork(list(1, "a", "b"))
	n.rounds(2)
	good := n.lastReceived["a"]
	for _, c := range []struct {
		name   string
		change func(h *ushermember.Heartbeat)
		want   *errorx.Type
	}{
		{"duplicate", func(*ushermember.Heartbeat) {}, ushermember.ErrStale},
		{"older incarnation", func(h *ushermember.Heartbeat) { h.Incarnation, h.Sequence = 0, 99 }, ushermember.ErrStale},
		{"other cell", func(h *ushermember.Heartbeat) { h.Cell = "thrissur" }, ushermember.ErrNotMember},
		{"not listed", func(h *ushermember.Heartbeat) { h.From = ushermember.KeyOf("x") }, ushermember.ErrNotMember},
	} {
		h := good
		c.change(&h)
		if _, err := n.members["a"].Receive(n.now, h); !errorx.IsOfType(err, c.want) {
			t.Errorf("%s: %v, want %v", c.name, err, c.want)
		}
	}
}

func TestSummary(t *testing.T) {
	n := newNetwork(list(3, "a", "b", "c"))
	n.members["c"].Leave()
	n.rounds(2)
	s := n.members["a"].View(n.now).Summary()
	if s.Cell != "kochi" || s.Revision != 3 || s.Listed != 3 || s.Alive != 2 || s.Leaving != 1 {
		t.Errorf("summary %+v", s)
	}
}
