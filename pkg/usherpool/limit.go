package usherpool

import (
	"time"

	"github.com/samphireusher/samphireusher/pkg/ushercatalog"
)

const (
	// minLimitRate is how many requests a second all hosts together send a target that takes fewer, so that one of them learns
	// when it takes more.
	minLimitRate = 0.25
	// turnValidity bounds how long a host may use its turn. After a lull, all hosts together then send at most what the target
	// takes in that time.
	turnValidity = time.Second
	// minTurnDistance is the least part of the period between two turns that one host uses. Turns move when the limit or the
	// number of hosts changes, and with the time of day.
	minTurnDistance = 0.9
	// maxTurnAdvice bounds the time after which callers are advised to return. Other hosts have turns before that.
	maxTurnAdvice = 2 * time.Second
)

// limit is how many requests a target takes from all hosts together. Each host may send one in its turn. The turns of all hosts
// follow each other at even distances by the time of day, so they keep the limit in any window, however many hosts there are and
// whatever arrives at once; a turn that is not used is lent to a host that asks for it, or lapses.
type limit struct {
	perSecond float64
	// named is when the latest response that names a limit was received.
	named time.Time
	// used is the latest turn that this host has used, polled the latest one that it used for a poll.
	used   time.Time
	polled time.Time
	// spare is the latest spare turn that this host has lent.
	spare time.Time
	// borrowed is the number of turns that other hosts have lent this one, to be used before borrowedUntil.
	borrowed      int
	borrowedUntil time.Time
	// missingSince is when the target's entry was lost.
	missingSince time.Time
}

// SetPlace sets the place of this host, from 0, among those that share limits.
func (p *Pool) SetPlace(place int) { p.place = place }

// Limit records that an incarnation of a target takes that many requests a second from all hosts together, according to the
// response to a request sent at the given time, and reports whether that is new. Responses overtake each other, so a higher limit
// counts only if its request was sent after the latest response that names one had been received.
func (p *Pool) Limit(now time.Time, said ushercatalog.Target, sent time.Time, perSecond float64) bool {
	l := p.limitOf(said)
	if l == nil {
		return p.addLimit(now, said, perSecond)
	}
	changed := perSecond < l.perSecond || perSecond > l.perSecond && sent.After(l.named)
	if changed {
		l.perSecond = perSecond
	}
	l.named = now
	return changed
}

// addLimit records the first limit of an incarnation, unless another one has taken its place. Its entry may be missing.
func (p *Pool) addLimit(now time.Time, said ushercatalog.Target, perSecond float64) bool {
	t, known := p.targets[said.ID]
	switch {
	case known && incarnationOf(t.entry) == incarnationOf(said):
		t.limit = &limit{perSecond: perSecond, named: now}
	case known, len(p.limits) >= maxDepartures:
		return false
	default:
		p.limits[incarnationOf(said)] = &limit{perSecond: perSecond, named: now, missingSince: now}
	}
	return true
}

// Unlimit records that an incarnation of a target did not name a limit in its response to a request sent at the given time, and
// reports whether a limit has ended by that.
func (p *Pool) Unlimit(said ushercatalog.Target, sent time.Time) bool {
	l := p.limitOf(said)
	if l == nil || !sent.After(l.named) {
		return false
	}
	delete(p.limits, incarnationOf(said))
	if t, known := p.targets[said.ID]; known && t.limit == l {
		t.limit = nil
	}
	return true
}

// LimitNamed returns when the latest response that names a limit of an incarnation was received, if it has a limit.
func (p *Pool) LimitNamed(said ushercatalog.Target) (at time.Time, ok bool) {
	l := p.limitOf(said)
	if l == nil {
		return time.Time{}, false
	}
	return l.named, true
}

// LimitOf returns the limit of an incarnation, if it has named one.
func (p *Pool) LimitOf(said ushercatalog.Target) (perSecond float64, limited bool) {
	l := p.limitOf(said)
	if l == nil {
		return 0, false
	}
	return l.perSecond, true
}

// limitOf returns the limit of an incarnation, whether or not its entry is known; nil for none.
func (p *Pool) limitOf(said ushercatalog.Target) *limit {
	if t, known := p.targets[said.ID]; known && incarnationOf(t.entry) == incarnationOf(said) {
		return t.limit
	}
	return p.limits[incarnationOf(said)]
}

// keepLimit remembers the limit of a target whose entry is missing. It may come back.
func (p *Pool) keepLimit(now time.Time, t *target) {
	if t.limit != nil && len(p.limits) < maxDepartures {
		t.limit.missingSince = now
		p.limits[incarnationOf(t.entry)] = t.limit
	}
}

// sweepLimits forgets the limits of incarnations that have another one as successor or have long been gone.
func (p *Pool) sweepLimits(now time.Time) {
	for key, l := range p.limits {
		if _, replaced := p.targets[key.id]; replaced || now.Sub(l.missingSince) > departureRetention {
			delete(p.limits, key)
			p.ended = append(p.ended, EndedNotice{Target: key.id, Incarnation: key.born, Kind: LimitEnded})
		}
	}
}

// period returns the time between two turns of one host.
func (p *Pool) period(l *limit) time.Duration {
	rate := max(allowanceShare*l.perSecond, minLimitRate)
	return max(time.Duration(float64(p.hosts)/rate*float64(time.Second)), 1)
}

// phase returns the time since this host's latest turn began, if it has one in each period.
func (p *Pool) phase(now time.Time, period time.Duration) time.Duration {
	ahead := period / time.Duration(p.hosts) * time.Duration(p.hosts-1-p.place%p.hosts)
	return time.Duration((now.UnixNano() + int64(ahead)) % int64(period))
}

// latestTurn returns when this host's latest turn began, and whether no request was sent in it.
func (p *Pool) latestTurn(now time.Time, l *limit) (began time.Time, unused bool) {
	period := p.period(l)
	began = now.Add(-p.phase(now, period))
	return began, float64(began.Sub(l.used)) > minTurnDistance*float64(period)
}

// turn returns when this host's latest turn began, and whether a request may be sent in it now.
func (p *Pool) turn(now time.Time, l *limit) (began time.Time, open bool) {
	began, unused := p.latestTurn(now, l)
	return began, unused && now.Sub(began) < min(p.period(l), turnValidity)
}

// opens returns when the next request may be sent, or zero if one may be sent now.
func (p *Pool) opens(now time.Time, l *limit) time.Time {
	if l == nil || l.hasBorrowed(now) {
		return time.Time{}
	}
	began, open := p.turn(now, l)
	if open {
		return time.Time{}
	}
	next := began.Add(p.period(l))
	if float64(next.Sub(l.used)) <= minTurnDistance*float64(p.period(l)) {
		next = next.Add(p.period(l))
	}
	return next
}

// advisedTurn returns when callers may return for a turn, or zero for now.
func (p *Pool) advisedTurn(now time.Time, l *limit) time.Time {
	next := p.opens(now, l)
	if latest := now.Add(maxTurnAdvice); next.After(latest) {
		return latest
	}
	return next
}

// mayTake reports whether a request may be sent to a target now by its limit.
func (p *Pool) mayTake(now time.Time, t *target) bool {
	return t.limit == nil || p.opens(now, t.limit).IsZero()
}

// takeTurn uses this host's turn, or one that it was lent, if there is one now.
func (p *Pool) takeTurn(now time.Time, l *limit) bool {
	if l == nil {
		return true
	}
	began, open := p.turn(now, l)
	switch {
	case open:
		l.used = began
	case l.hasBorrowed(now):
		l.borrowed--
	default:
		return false
	}
	return true
}

// TakeTurn uses a turn for a request that no choice was made for, and reports whether there is one now. Otherwise it returns when
// the next one begins. Targets without a limit need none.
func (p *Pool) TakeTurn(now time.Time, id string) (opens time.Time, ok bool) {
	t, known := p.targets[id]
	if !known || p.takeTurn(now, t.limit) {
		return time.Time{}, true
	}
	return p.opens(now, t.limit), false
}

// TakeTurnForPoll uses a turn for a poll, and reports whether there is one now. Polls leave at least every other turn to requests.
func (p *Pool) TakeTurnForPoll(now time.Time, id string) bool {
	t, known := p.targets[id]
	if !known || t.limit == nil {
		return true
	}
	l := t.limit
	began, open := p.turn(now, l)
	if !open || float64(now.Sub(l.polled)) <= (1+minTurnDistance)*float64(p.period(l)) {
		return false
	}
	l.used, l.polled = began, began
	return true
}

// SpendTurn counts a request that is sent whether or not there is a turn: it uses this one or the next one.
func (p *Pool) SpendTurn(now time.Time, id string) {
	t, known := p.targets[id]
	if !known || t.limit == nil || p.takeTurn(now, t.limit) {
		return
	}
	began, _ := p.turn(now, t.limit)
	t.limit.used = began.Add(p.period(t.limit))
}

// Claim reports whether a request may be sent to the target that was chosen for it. If the target has named a limit since then,
// that takes a turn.
func (p *Pool) Claim(now time.Time, c Choice) bool {
	return c.HasTurn || p.takeTurn(now, p.limitOf(c.Target))
}

// NextTurn returns when the next request may be sent to a target by its limit, or zero if one may be sent now.
func (p *Pool) NextTurn(now time.Time, id string) time.Time {
	t, known := p.targets[id]
	if !known {
		return time.Time{}
	}
	return p.opens(now, t.limit)
}
