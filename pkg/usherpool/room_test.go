package usherpool_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/joomcode/errorx"

	"github.com/samphireusher/samphireusher/pkg/ushercatalog"
	"github.com/samphireusher/samphireusher/pkg/usherpool"
	"github.com/samphireusher/samphireusher/pkg/usherroute"
)

// room is that of two engines with 24 slots and memory for 20,000 tokens each.
func roomOfTwoEngines(now time.Time) (*usherpool.Pool, usherpool.Room) {
	engine := &usherroute.Engine{Slots: 24, MemoryTokens: 20_000}
	route := func(name string, rank int, objective time.Duration) usherroute.Route {
		return usherroute.Route{Name: name, Host: "h", Prefix: "/" + name, Kind: usherroute.Stream, Priority: rank, Objective: objective, Shares: []usherroute.Share{{Service: "s", Weight: 1}}}
	}
	table := usherroute.NewTable(1, []usherroute.Route{route("urgent", 0, 1500*time.Millisecond), route("lesser", 2, 4*time.Second)}, []usherroute.Service{{Name: "s", Engine: engine}}, nil, usherroute.Limits{})
	pool := usherpool.New(usherpool.Options{Random: rand.New(rand.NewPCG(1, 2))})
	var entries []ushercatalog.KnownEntry
	for _, id := range []string{"a", "b"} {
		entries = append(entries, ushercatalog.KnownEntry{Entry: ushercatalog.Entry{Target: &ushercatalog.Target{ID: id, Service: "s", Slots: 24}}, Learned: now})
	}
	pool.Update(now, entries, func(string) bool { return false }, table, 1)
	contention, _ := table.Contention("s")
	return pool, usherpool.Room{Contention: contention}
}

// Load: generations fill the memory of all engines. The lesser kind leaves room that the urgent one uses.
func TestLesserRequestsLeaveRoomForUrgentOnes(t *testing.T) {
	now := time.Unix(1e9, 0)
	pool, room := roomOfTwoEngines(now)
	pool.AddLoad("a", usherpool.Load{Streams: 4, Tokens: 15_500})
	pool.AddLoad("b", usherpool.Load{Streams: 4, Tokens: 15_500})
	r := usherpool.Request{Service: "s", PromptTokens: 2000, Rank: 2}
	if _, err := pool.PlaceInRoom(now, r, room, false); !errorx.IsOfType(err, usherpool.ErrNoRoom) {
		t.Errorf("lesser request: %v, want no room", err)
	}
	whole := room
	whole.Whole = true
	if _, err := pool.PlaceInRoom(now, r, whole, false); err != nil {
		t.Errorf("lesser request that is due: %v", err)
	}
	r.Rank = 0
	if c, err := pool.PlaceInRoom(now, r, room, false); err != nil || c.Late {
		t.Errorf("urgent request: %v, late %t", err, c.Late)
	}
	if _, err := pool.PlaceInRoom(now, r, room, false); err == nil {
		t.Error("a third request was placed where two have filled the memory")
	}
	if pool.IsHalfFree(now, "s") {
		t.Error("full engines count as half free")
	}
}

// Load: a burst of long prompts. Their queue must leave urgent prompts the time to be read.
func TestQueuedPromptsLeaveUrgentOnesTheirObjective(t *testing.T) {
	now := time.Unix(1e9, 0)
	pool, room := roomOfTwoEngines(now)
	placed := 0
	for range 10 {
		if _, err := pool.PlaceInRoom(now, usherpool.Request{Service: "s", PromptTokens: 2400, Rank: 2}, room, false); err == nil {
			placed++
		}
	}
	if placed != 4 {
		t.Errorf("%d long prompts queued at two engines, want 4: two take half of the urgent objective", placed)
	}
	if c, err := pool.PlaceInRoom(now, usherpool.Request{Service: "s", PromptTokens: 2400}, room, false); err != nil || c.PrefillTime > room.Objective {
		t.Errorf("urgent prompt: %v, to be read in %s", err, c.PrefillTime)
	}
	kept := room
	kept.Kept, _ = pool.MostRoom(now, usherpool.Request{Service: "s"})
	if c, _ := pool.PlaceInRoom(now.Add(time.Second), usherpool.Request{Service: "s", PromptTokens: 2400}, kept, false); c.Target.ID == kept.Kept {
		t.Error("a target that is kept for another request was chosen")
	}
}

// Load: prompts follow each other at the pace at which engines process them. What hosts report late must not count as a queue, but what is
// reported for too long must.
func TestPromptsReportedLateAreNoQueue(t *testing.T) {
	now := time.Unix(1e9, 0)
	pool, room := roomOfTwoEngines(now)
	r := usherpool.Request{Service: "s", PromptTokens: 2400, Rank: 2, Exclude: []string{"b"}}
	if _, err := pool.PlaceInRoom(now, r, room, false); err != nil {
		t.Fatal(err)
	}
	pool.SetPeerLoads(now, "x", map[string]usherpool.Load{"a": {Streams: 1, Tokens: 2400, Prefill: 2400}})
	if _, err := pool.PlaceInRoom(now.Add(400*time.Millisecond), r, room, false); err != nil {
		t.Errorf("next prompt: %v", err)
	}
	pool.SetPeerLoads(now.Add(1500*time.Millisecond), "x", map[string]usherpool.Load{"a": {Streams: 2, Tokens: 4800, Prefill: 4800}})
	if _, err := pool.PlaceInRoom(now.Add(1500*time.Millisecond), r, room, false); err == nil {
		t.Error("a prompt was placed behind two that are overdue")
	}
}

// Contention is declared by ranks and objectives that differ enough, on engines with memory.
func TestContention(t *testing.T) {
	for _, c := range []struct {
		memory, rank int
		objective    time.Duration
		want         bool
	}{{100, 2, 3 * time.Second, true}, {100, 0, 3 * time.Second, false}, {100, 2, 2900 * time.Millisecond, false}, {0, 2, 3 * time.Second, false}} {
		var routes []usherroute.Route
		for name, r := range map[string]usherroute.Route{"a": {Objective: 1500 * time.Millisecond}, "b": {Priority: c.rank, Objective: c.objective}} {
			r.Name, r.Host, r.Prefix, r.Kind, r.Shares = name, "h", "/"+name, usherroute.Stream, []usherroute.Share{{Service: "s", Weight: 1}}
			routes = append(routes, r)
		}
		table := usherroute.NewTable(1, routes, []usherroute.Service{{Name: "s", Engine: &usherroute.Engine{MemoryTokens: c.memory}}}, nil, usherroute.Limits{})
		got, competes := table.Contention("s")
		if competes != c.want || competes && (got.Objective != 1500*time.Millisecond || got.Rank != 0) {
			t.Errorf("%+v: contention %+v, %t", c, got, competes)
		}
	}
}
