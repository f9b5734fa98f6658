package usherpool

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/samphireusher/samphireusher/pkg/ushercatalog"
)

const (
	// lendMargin is the time in which another host uses a turn that it was lent.
	lendMargin = 200 * time.Millisecond
	// spareDistance is the time between the spare turns of all hosts, spareValidity how long a host may lend one. The turns of a
	// limit take up to 0.8 of it; three spare ones in any 4 s, with clocks that differ, keep within what a target bears besides.
	spareDistance = 2500 * time.Millisecond
	spareValidity = 500 * time.Millisecond
	// maxBorrowed bounds the turns that other hosts have lent this one for a target and that are not used yet.
	maxBorrowed = 8
)

// LentTurns are the turns that a host has lent at targets that have named no limit to it. The zero value is ready for use.
type LentTurns struct {
	limits map[incarnation]*limit
}

// HeldOff returns the targets of a service that would take a request but for their limits, sorted by id, if there is no other one.
func (p *Pool) HeldOff(now time.Time, service string) []ushercatalog.Target {
	var held []ushercatalog.Target
	for _, t := range p.targets {
		if t.entry.Service != service || !t.accepting || t.health.blocked(now) || !t.rest.allows(now) {
			continue
		}
		if p.mayTake(now, t) {
			return nil
		}
		held = append(held, t.entry)
	}
	slices.SortFunc(held, func(a, b ushercatalog.Target) int { return strings.Compare(a.ID, b.ID) })
	return held
}

// Lenders returns the places of the hosts that may have a turn for a target now: by its limit, and the spare turn.
func (p *Pool) Lenders(now time.Time, said ushercatalog.Target) []int {
	l := p.limitOf(said)
	if l == nil {
		return nil
	}
	return slices.Compact([]int{p.placeAt(now, p.period(l)), p.placeAt(now, p.sparePeriod())})
}

// Lend uses a turn of this host for a request of another one, and reports whether there is one. perSecond is the limit that the target has
// named to the host that asks. A turn that was not used, lapsed or not, is made up for in this host's spare turn, so all hosts still send
// no more than their turns in the long run. The spare turns of all hosts follow each other by the time of day whatever limits they know
// of. Turns by a limit are lent only if the other host knows no lower one, or the turns of both limits could come at once.
func (p *Pool) Lend(now time.Time, said ushercatalog.Target, perSecond float64) bool {
	l := p.limitOf(said)
	switch {
	case l == nil || !(perSecond >= 0):
		return false
	case perSecond >= l.perSecond:
		return p.lendTurn(now, l) || p.lendSpare(now, l)
	}
	lower := *l
	lower.perSecond = perSecond
	if !p.lendSpare(now, &lower) {
		return false
	}
	l.used, l.spare = lower.used, lower.spare
	return true
}

// LendUnlimited is Lend for a target that has named no limit to this host. Only spare turns are lent.
func (p *Pool) LendUnlimited(now time.Time, lent *LentTurns, said ushercatalog.Target, perSecond float64) bool {
	key := incarnationOf(said)
	if t, known := p.targets[said.ID]; !known || incarnationOf(t.entry) != key || t.limit != nil || !(perSecond >= 0) {
		return false
	}
	if _, known := lent.limits[key]; !known && !lent.add(now, key) {
		return false
	}
	l := lent.limits[key]
	l.perSecond, l.named = perSecond, now
	return p.lendSpare(now, l)
}

// Claim counts the turn that was lent at a target before it named a limit to this host.
func (lent *LentTurns) Claim(p *Pool, said ushercatalog.Target) {
	before, known := lent.limits[incarnationOf(said)]
	if l := p.limitOf(said); known && l != nil {
		l.used, l.spare = before.used, before.spare
		delete(lent.limits, incarnationOf(said))
	}
}

func (lent *LentTurns) add(now time.Time, key incarnation) bool {
	if len(lent.limits) >= maxDepartures {
		maps.DeleteFunc(lent.limits, func(_ incarnation, l *limit) bool { return now.Sub(l.named) > departureRetention })
	}
	if len(lent.limits) >= maxDepartures {
		return false
	}
	if lent.limits == nil {
		lent.limits = map[incarnation]*limit{}
	}
	lent.limits[key] = &limit{}
	return true
}

// lendTurn uses this host's turn if there is time left in it for another host.
func (p *Pool) lendTurn(now time.Time, l *limit) bool {
	began, open := p.turn(now, l)
	if !open || now.Sub(began) >= min(p.period(l), turnValidity)-lendMargin {
		return false
	}
	l.used = began
	return true
}

// lendSpare uses this host's spare turn if there is one now, in place of its latest turn by the limit.
func (p *Pool) lendSpare(now time.Time, l *limit) bool {
	began, unused := p.latestTurn(now, l)
	period := p.sparePeriod()
	spare := now.Add(-p.phase(now, period))
	if !unused || now.Sub(spare) >= spareValidity || float64(spare.Sub(l.spare)) <= minTurnDistance*float64(period) {
		return false
	}
	l.used, l.spare = began, spare
	return true
}

// Borrow records that another host has lent this one a turn for a target.
func (p *Pool) Borrow(now time.Time, said ushercatalog.Target) {
	l := p.limitOf(said)
	if l == nil {
		return
	}
	if !now.Before(l.borrowedUntil) {
		l.borrowed = 0
	}
	l.borrowed, l.borrowedUntil = min(l.borrowed+1, maxBorrowed), now.Add(lendMargin)
}

// hasBorrowed reports whether a request may be sent now in a turn of another host.
func (l *limit) hasBorrowed(now time.Time) bool { return l.borrowed > 0 && now.Before(l.borrowedUntil) }

// sparePeriod returns the time between two spare turns of one host.
func (p *Pool) sparePeriod() time.Duration { return time.Duration(p.hosts) * spareDistance }

// placeAt returns the place of the host whose turn began last.
func (p *Pool) placeAt(now time.Time, period time.Duration) int {
	begun := int(now.UnixNano() % int64(period) / max(int64(period)/int64(p.hosts), 1))
	return (begun + p.hosts - 1) % p.hosts
}
