package usherpool_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/samphireusher/samphireusher/pkg/usherpool"
)

// Load: one host alone has requests, and borrows the turns of all others. It gets what all turns together make up, and no more.
func TestBorrowedTurnsAddUpToTheLimit(t *testing.T) {
	for _, c := range []struct {
		hosts int
		limit float64
	}{{3, 0}, {5, 0.5}, {9, 3.5}, {40, 4.9}, {195, 20}} {
		pools, sent := newFleet(c.hosts, c.limit), 0
		random := rand.New(rand.NewPCG(1, 1))
		rate := max(0.8*c.limit, 0.25)
		const duration = 5 * time.Minute
		for now := start; now.Before(start.Add(duration)); now = now.Add(100 * time.Millisecond) {
			at := func(int) time.Time { return now }
			if send(pools[1], now) || borrow(pools, 1, at, c.limit, random) && send(pools[1], now) {
				sent++
			}
		}
		all := rate * duration.Seconds()
		// It asks ten times a second.
		if most := min(all, 10*duration.Seconds()); float64(sent) < most*0.8-2 || float64(sent) > all+float64(c.hosts) {
			t.Errorf("%d hosts, limit %g: %d requests, %.0f turns", c.hosts, c.limit, sent, all)
		}
	}
}

// A host that knows of no limit lends spare turns by the limit of the host that asks, and has no turn left of what it lent when it learns
// of the limit.
func TestSpareTurnsOfAHostThatKnowsNoLimit(t *testing.T) {
	said := *target(0).Target
	for _, c := range []struct {
		limit       float64
		least, most int
	}{{0, 14, 15}, {0.2, 14, 15}, {50, 24, 24}} {
		p, lent, got := newPool(1, targets(1), 1), usherpool.LentTurns{}, 0
		var latest time.Time
		now := start
		for ; now.Before(start.Add(time.Minute)); now = now.Add(limitStep) {
			if p.LendUnlimited(now, &lent, said, c.limit) {
				got, latest = got+1, now
			}
		}
		if got < c.least || got > c.most {
			t.Errorf("limit %g: %d turns lent in a minute, want %d to %d", c.limit, got, c.least, c.most)
		}
		p.Limit(latest, said, latest, c.limit)
		lent.Claim(p, said)
		if c.limit < 1 && send(p, latest.Add(time.Millisecond)) {
			t.Errorf("limit %g: a lent turn is used again", c.limit)
		}
	}
	p, lent := newPool(1, targets(1), 1), usherpool.LentTurns{}
	gone := said
	gone.Incarnation++
	if p.LendUnlimited(start, &lent, gone, 0.2) {
		t.Error("a turn is lent at another incarnation")
	}
}

// What is remembered of lent turns must not grow with each target that comes and goes.
func TestLentTurnsAreBounded(t *testing.T) {
	lent := usherpool.LentTurns{}
	lends := func(i int, now time.Time) bool {
		k := target(0)
		k.Target.ID = fmt.Sprint("t", i)
		p := newPool(1, nil, 1)
		p.Update(now, append(targets(0), k), noneEvacuated, table(), 1)
		return p.LendUnlimited(now, &lent, *k.Target, 50)
	}
	// A spare turn of the only host begins.
	now, n := time.Unix(1_800_000_000, 0), 0
	for i := range 5_000 {
		if lends(i, now) {
			n++
		}
	}
	if n != 4096 || !lends(5_000, now.Add(time.Hour)) {
		t.Errorf("turns at %d targets, want 4,096, and others after an hour", n)
	}
}
