package usherpool_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/joomcode/errorx"

	"github.com/samphireusher/samphireusher/pkg/ushercatalog"
	"github.com/samphireusher/samphireusher/pkg/usherpool"
	"pgregory.net/rapid"
)

const (
	// limitWindow, limitFactor and limitSlack bound the requests to a limited target, from the users' pages.
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
	limitStep   = 50 * time.Millisecond
)

var (
	request    = usherpool.Request{Service: engines}
	onlyChoice = usherpool.Choice{Target: *target(0).Target}
)

// newFleet returns the pools of hosts that share one target, which has named a limit to all of them.
func newFleet(hosts int, limit float64) []*usherpool.Pool {
	pools := make([]*usherpool.Pool, hosts)
	for i := range pools {
		pools[i] = newPool(uint64(i), targets(1), hosts)
		pools[i].SetPlace(i)
		pools[i].Limit(start, *target(0).Target, start, limit)
	}
	return pools
}

// send reports whether a host may send a request to the target, and counts it as sent.
func send(p *usherpool.Pool, now time.Time) bool {
	// Of all ways to send, this takes the least time.
	_, ok := p.AdoptChoice(now, request, onlyChoice)
	return ok
}

// borrow reports whether one of the hosts that a host asks for a turn lends one.
func borrow(pools []*usherpool.Pool, asks int, at func(host int) time.Time, perSecond float64, random *rand.Rand) bool {
	said := *target(0).Target
	for _, place := range append(pools[asks].Lenders(at(asks), said), random.IntN(len(pools))) {
		if pools[place].Lend(at(place), said, perSecond) {
			pools[asks].Borrow(at(asks), said)
			return true
		}
	}
	return false
}

// Any number of hosts with clocks that differ, lulls, surges and changes of the limit, that lend each other turns: in no window of 4 s do
// more requests reach the target than one and a half times the highest limit then in force, and five.
func TestHostsTogetherKeepTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := rapid.IntRange(1, 400).Draw(t, "hosts")
		limit := rapid.Float64Range(0, 50).Draw(t, "limit")
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "walk"), 1))
		said := *target(0).Target
		pools := newFleet(hosts, limit)
		offsets, believed := make([]time.Duration, hosts), make([]float64, hosts)
		for i := range pools {
			offsets[i] = time.Duration((2*random.Float64() - 1) * float64(time.Second))
			believed[i] = limit
		}
		type arrival struct {
			at    time.Time
			limit float64
		}
		var window []arrival
		demand, lend := random.Float64(), rapid.Bool().Draw(t, "lend")
		for now := start.Add(time.Second + time.Duration(random.IntN(1e9))); now.Before(start.Add(40 * time.Second)); now = now.Add(limitStep) {
			switch random.IntN(60) {
			case 0:
				// A lull.
				demand = 0
			case 1, 2:
				// All hosts have requests at once.
				demand = 1
			case 3:
				demand = random.Float64() * 0.1
			case 4:
				limit = random.Float64() * 50
			case 5:
				limit *= random.Float64()
			}
			for i, p := range pools {
				if demand == 0 || demand < 1 && random.Float64() >= demand {
					continue
				}
				hostNow := now.Add(offsets[i])
				at := func(host int) time.Time { return now.Add(offsets[host]) }
				if !send(p, hostNow) && !(lend && borrow(pools, i, at, believed[i], random) && send(p, hostNow)) {
					continue
				}
				window = append(window, arrival{at: now, limit: max(believed[i], limit)})
				p.Limit(hostNow.Add(time.Millisecond), said, hostNow, limit)
				believed[i] = limit
			}
			for len(window) > 0 && now.Sub(window[0].at) > limitWindow {
				window = window[1:]
			}
			highest := 0.0
			for _, a := range window {
				highest = max(highest, a.limit)
			}
			if allowed := limitFactor*highest*limitWindow.Seconds() + limitSlack; float64(len(window)) > allowed {
				t.Fatalf("%d requests in 4 s with limits up to %.1f, %.1f allowed", len(window), highest, allowed)
			}
		}
	})
}

// The limit, the number of hosts and the place of this one change again and again, which moves its turns. The requests of one host
// stay nine tenths of a period apart, less the time in which a turn may be used.
func TestMovedTurnsStayApart(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "walk"), 1))
		hosts, limit := 1+random.IntN(50), 5*random.Float64()
		pool := newFleet(hosts, limit)[0]
		var latest time.Time
		for now := start.Add(time.Second); now.Before(start.Add(10 * time.Minute)); now = now.Add(limitStep) {
			if random.IntN(100) == 0 {
				hosts, limit = 1+random.IntN(50), 5*random.Float64()
				pool.SetPlace(random.IntN(hosts))
				pool.Update(now, targets(1), noneEvacuated, table(), hosts)
				pool.Limit(now, *target(0).Target, now, limit)
			}
			if !send(pool, now) {
				continue
			}
			period := time.Duration(float64(hosts) / max(0.8*limit, 0.25) * float64(time.Second))
			if distance := now.Sub(latest); distance < period*9/10-min(period, time.Second) {
				t.Fatalf("%s between two requests of a host with a turn each %s", distance, period)
			}
			latest = now
		}
	})
}

// A host that always has requests gets its share of the limit, and none starves.
func TestEachHostGetsItsTurns(t *testing.T) {
	for _, c := range []struct {
		hosts int
		limit float64
	}{{1, 0.2}, {1, 50}, {3, 0}, {9, 3.5}, {40, 4.9}, {195, 20}} {
		pools, sent := newFleet(c.hosts, c.limit), make([]int, c.hosts)
		rate := max(0.8*c.limit, 0.25)
		duration := time.Duration(20 * float64(c.hosts) / rate * float64(time.Second))
		for now := start; now.Before(start.Add(duration)); now = now.Add(min(limitStep, duration/400)) {
			for i, p := range pools {
				if send(p, now) {
					sent[i]++
				}
			}
		}
		for i, n := range sent {
			if n < 19 || n > 21 {
				t.Errorf("%d hosts, limit %g: host %d sent %d requests in 20 of its turns", c.hosts, c.limit, i, n)
			}
		}
	}
}

// Responses of different connections overtake each other. A lower limit counts at once, a higher one or none only if the request
// was sent after the latest response that names one.
func TestOvertakingResponsesRaiseNoLimit(t *testing.T) {
	said := *target(0).Target
	at := func(seconds int) time.Time { return start.Add(time.Duration(seconds) * time.Second) }
	for _, c := range []struct {
		name            string
		received, sent  int
		limit           float64
		want            float64
		changed, absent bool
	}{
		{name: "the same", received: 12, sent: 11, limit: 3, want: 3},
		{name: "lower, sent before", received: 12, sent: 5, limit: 2, want: 2, changed: true},
		{name: "lower, sent after", received: 12, sent: 11, limit: 2, want: 2, changed: true},
		{name: "higher, sent before", received: 12, sent: 5, limit: 4, want: 3},
		{name: "higher, sent after", received: 12, sent: 11, limit: 4, want: 4, changed: true},
		{name: "none, sent before", sent: 5, absent: true, want: 3},
		{name: "none, sent after", sent: 11, absent: true, want: -1, changed: true},
	} {
		p := newPool(1, targets(1), 1)
		p.Limit(at(10), said, at(9), 3)
		changed := false
		if c.absent {
			changed = p.Unlimit(said, at(c.sent))
		} else {
			changed = p.Limit(at(c.received), said, at(c.sent), c.limit)
		}
		if got := limitInForce(p, at(13)); got != c.want || changed != c.changed {
			t.Errorf("%s: limit %g, changed %t; want %g, %t", c.name, got, changed, c.want, c.changed)
		}
	}
	// The latest response that names a limit counts, even if it is the same one.
	p := newPool(1, targets(1), 1)
	p.Limit(at(10), said, at(9), 3)
	p.Limit(at(20), said, at(19), 3)
	if p.Unlimit(said, at(15)) {
		t.Error("the limit ends by a response to a request sent before the latest one that names it")
	}
}

// limitInForce returns the limit of the first target, or -1 if there is none.
func limitInForce(p *usherpool.Pool, now time.Time) float64 {
	for _, s := range p.Summaries(now) {
		if s.Limit != nil {
			return *s.Limit
		}
	}
	return -1
}

// A limit belongs to one incarnation at one address. It outlasts the loss of the entry, and ends with the incarnation.
func TestLimitBelongsToOneIncarnation(t *testing.T) {
	restarted, moved := *target(0).Target, *target(0).Target
	restarted.Incarnation++
	moved.Address = target(7).Target.Address
	for _, c := range []struct {
		name string
		next *ushercatalog.Target
		want float64
	}{{"the same after a while", target(0).Target, 3}, {"restarted", &restarted, -1}, {"at another address", &moved, -1}} {
		p := newPool(1, targets(1), 1)
		p.Limit(start, *target(0).Target, start, 3)
		p.Update(start.Add(time.Second), nil, noneEvacuated, table(), 1)
		next := target(0)
		next.Target = c.next
		p.Update(start.Add(time.Minute), []ushercatalog.KnownEntry{next}, noneEvacuated, table(), 1)
		if got := limitInForce(p, start.Add(time.Minute)); got != c.want {
			t.Errorf("%s: limit %g, want %g", c.name, got, c.want)
		}
		// What is told of an incarnation that is gone says nothing about this one.
		if changed := p.Limit(start.Add(time.Minute), *target(0).Target, start, 2); changed != (c.want == 3) {
			t.Errorf("%s: a late response changes the limit: %t", c.name, changed)
		}
	}
}

// A response that named a limit while the target's entry was missing was forgotten once the entry came back.
func TestLimitOfATargetWhoseEntryIsMissing(t *testing.T) {
	restarted, moved := *target(0).Target, *target(0).Target
	restarted.Incarnation++
	moved.Address = target(7).Target.Address
	for _, c := range []struct {
		name string
		next *ushercatalog.Target
		want float64
	}{{"the same", target(0).Target, 3}, {"restarted", &restarted, -1}, {"at another address", &moved, -1}} {
		p := newPool(1, targets(1), 1)
		p.Update(start.Add(time.Second), nil, noneEvacuated, table(), 1)
		said, now := *target(0).Target, start.Add(2*time.Second)
		if !p.Limit(now, said, start, 3) || p.Limit(now, said, start, 4) {
			t.Errorf("%s: the limit is not new, or an overtaken response raises it", c.name)
		}
		if named, limited := p.LimitNamed(said); !limited || !named.Equal(now) {
			t.Errorf("%s: limited %t at %s", c.name, limited, named)
		}
		if first, second := p.Claim(now, usherpool.Choice{Target: said}), p.Claim(now, usherpool.Choice{Target: said}); !first || second {
			t.Errorf("%s: requests that were chosen before take no turn", c.name)
		}
		next := target(0)
		next.Target = c.next
		p.Update(start.Add(time.Minute), []ushercatalog.KnownEntry{next}, noneEvacuated, table(), 1)
		if got := limitInForce(p, start.Add(time.Minute)); got != c.want {
			t.Errorf("%s: limit %g, want %g", c.name, got, c.want)
		}
	}
}

// What is remembered of limits must not grow with each target whose entry is missing.
func TestLimitsOfMissingEntriesAreBounded(t *testing.T) {
	p := newPool(1, nil, 1)
	said, remembered := *target(0).Target, 0
	for i := range 10_000 {
		said.Incarnation = int64(i)
		if p.Limit(start, said, start, 3) {
			remembered++
		}
	}
	if remembered != 4096 {
		t.Errorf("%d limits are remembered, want 4,096", remembered)
	}
	p.Update(start.Add(time.Hour), nil, noneEvacuated, table(), 1)
	if ended := len(p.EndedNotices(start.Add(time.Hour))); ended != remembered {
		t.Errorf("%d of %d limits have ended after an hour", ended, remembered)
	}
}

// What is remembered of limits must not grow with each target that comes and goes.
func TestLimitsAreForgotten(t *testing.T) {
	p := newPool(1, nil, 1)
	now, ended := start, 0
	for i := range 5_000 {
		now = now.Add(time.Second)
		known := target(i % 200)
		known.Target.ID = fmt.Sprint("t", i)
		p.Update(now, []ushercatalog.KnownEntry{known}, noneEvacuated, table(), 1)
		p.Limit(now, *known.Target, now, 3)
		ended += len(p.EndedNotices(now))
	}
	if remembered := 5_000 - ended; remembered > 1000 {
		t.Errorf("%d limits are remembered after 5,000 targets in as many seconds, want those of ten minutes", remembered)
	}
}

// Each way to send a request uses the turn, and none is left for another one.
func TestEachWayToSendUsesTheTurn(t *testing.T) {
	said := *target(0).Target
	p := newPool(1, targets(1), 1)
	p.Limit(start, said, start, 1)
	p.SpendTurn(start, said.ID)
	if _, err := p.Choose(start, request); !errorx.IsOfType(err, usherpool.ErrLimited) {
		t.Errorf("error %v without a turn", err)
	}
	ways := map[string]func(p *usherpool.Pool, now time.Time) bool{
		"choice": func(p *usherpool.Pool, now time.Time) bool {
			c, err := p.Choose(now, request)
			return err == nil && c.HasTurn
		},
		"own placement": func(p *usherpool.Pool, now time.Time) bool {
			return len(p.ExcludedTargets(now, request)) == 0 && place(p, now)
		},
		"adopted choice": func(p *usherpool.Pool, now time.Time) bool {
			_, ok := p.AdoptChoice(now, request, usherpool.Choice{Target: said})
			return ok
		},
		"earlier choice": func(p *usherpool.Pool, now time.Time) bool { return p.Claim(now, usherpool.Choice{Target: said}) },
		"resume":         func(p *usherpool.Pool, now time.Time) bool { _, ok := p.TakeTurn(now, said.ID); return ok },
		"poll":           func(p *usherpool.Pool, now time.Time) bool { return p.TakeTurnForPoll(now, said.ID) },
	}
	for first, use := range ways {
		for second, again := range ways {
			p := newPool(1, targets(1), 1)
			p.Limit(start, said, start, 1)
			// The only host has a turn each 1.25 s, counted from the epoch.
			if !use(p, start) || again(p, start.Add(100*time.Millisecond)) {
				t.Errorf("%s, then %s: want one, and not the other", first, second)
			}
			if excluded := p.ExcludedTargets(start.Add(100*time.Millisecond), request); len(excluded) != 1 {
				t.Errorf("%s: %v are excluded from the choices of others", first, excluded)
			}
			if !p.Claim(start, usherpool.Choice{Target: said, HasTurn: true}) {
				t.Errorf("%s: a choice with a turn may not be sent", first)
			}
			if next := p.NextTurn(start.Add(100*time.Millisecond), said.ID); !next.Equal(start.Add(1250 * time.Millisecond)) {
				t.Errorf("%s: the next turn is in %s, want 1.25 s", first, next.Sub(start))
			}
			if at, all := p.Back(start.Add(100*time.Millisecond), engines); !all || !at.Equal(start.Add(1250*time.Millisecond)) {
				t.Errorf("%s: the target is back in %s (%t), want 1.25 s", first, at.Sub(start), all)
			}
		}
	}
	// What may not wait uses the next turn as well.
	p = newPool(1, targets(1), 1)
	p.Limit(start, said, start, 1)
	p.SpendTurn(start, said.ID)
	p.SpendTurn(start, said.ID)
	for _, c := range []struct {
		after time.Duration
		want  bool
	}{{500 * time.Millisecond, false}, {1300 * time.Millisecond, false}, {2600 * time.Millisecond, true}} {
		if _, ok := p.TakeTurn(start.Add(c.after), said.ID); ok != c.want {
			t.Errorf("a turn %s after two requests at once: %t, want %t", c.after, ok, c.want)
		}
	}
}

func place(p *usherpool.Pool, now time.Time) bool {
	c, err := p.Place(now, request, true)
	return err == nil && c.HasTurn
}
