package usherpool

import (
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/samphireusher/samphireusher/pkg/ushercatalog"
)

const (
	// departureRetention is how long it is remembered that a target said it leaves, after its entry was last published:
	// longer than entries are missing that expired while the store was away. maxDepartures bounds what is remembered
	// of targets without an entry, departures and rests apart.
	departureRetention = 10 * time.Minute
	maxDepartures      = 4096
	// restSpacing is the least time between the first requests to a target whose rest has ended. It halves with each answer;
	// below minRestSpacing the target gets requests like any other.
	restSpacing    = 100 * time.Millisecond
	minRestSpacing = 10 * time.Millisecond
)

type (
	// incarnation identifies a target between two starts, at one address.
	incarnation struct {
		id      string
		address netip.AddrPort
		born    int64
	}

	// rest is a time in which a target wants nothing from this host.
	rest struct {
		until time.Time
		// spacing is the least time between requests after the rest, zero for any; next is when the next one may be sent.
		spacing time.Duration
		next    time.Time
	}
)

func incarnationOf(t ushercatalog.Target) incarnation {
	return incarnation{id: t.ID, address: t.Address, born: t.Incarnation}
}

// Depart records that an incarnation of a target said itself that it is leaving, and reports whether that is new. Nothing takes
// that back: neither a later entry nor a later response.
func (p *Pool) Depart(now time.Time, said ushercatalog.Target) bool {
	key := incarnationOf(said)
	if _, known := p.departed[key]; known {
		return false
	}
	if len(p.departed) >= maxDepartures {
		p.dropOldestDeparture()
	}
	p.departed[key] = now
	if t, known := p.targets[said.ID]; known && incarnationOf(t.entry) == key {
		t.accepting = false
	}
	return true
}

func (p *Pool) dropOldestDeparture() {
	var oldest incarnation
	var at time.Time
	for key, published := range p.departed {
		if at.IsZero() || published.Before(at) {
			oldest, at = key, published
		}
	}
	delete(p.departed, oldest)
}

// sweepNotices forgets the rests that are over, and the departures of incarnations that have another one as successor or
// have long been gone.
func (p *Pool) sweepNotices(now time.Time) {
	for key, r := range p.resting {
		if _, replaced := p.targets[key.id]; replaced || !now.Before(r.until) {
			delete(p.resting, key)
			p.ended = append(p.ended, EndedNotice{Target: key.id, Incarnation: key.born, Kind: RestEnded})
		}
	}
	for key, published := range p.departed {
		t, known := p.targets[key.id]
		switch {
		case known && incarnationOf(t.entry) == key:
			p.departed[key] = now
		case known, now.Sub(published) > departureRetention:
			delete(p.departed, key)
			p.ended = append(p.ended, EndedNotice{Target: key.id, Incarnation: key.born, Kind: DepartureEnded})
		}
	}
}

// Rest records that an incarnation of a target wants nothing from this host until the given time, and reports whether that is
// later than known.
func (p *Pool) Rest(said ushercatalog.Target, until time.Time) bool {
	key, r := incarnationOf(said), rest{until: until, spacing: restSpacing, next: until}
	switch t, known := p.targets[said.ID]; {
	case known && incarnationOf(t.entry) != key:
		return false
	case known && until.After(t.rest.until):
		t.rest = r
		return true
	case !known && until.After(p.resting[key].until) && len(p.resting) < maxDepartures:
		p.resting[key] = r
		return true
	}
	return false
}

// RestEnded, DepartureEnded and LimitEnded are the kinds of what can end; the last two as the incarnation is gone.
const (
	RestEnded      NoticeKind = "rest"
	DepartureEnded NoticeKind = "departure"
	LimitEnded     NoticeKind = "limit"
)

type (
	// NoticeKind is what a target said of itself, as logs name it.
	NoticeKind string

	// EndedNotice is the end of what a target said of itself.
	EndedNotice struct {
		Target      string
		Incarnation int64
		Kind        NoticeKind
	}
)

// EndedNotices returns what has ended since the last call.
func (p *Pool) EndedNotices(now time.Time) []EndedNotice {
	ended := p.ended
	p.ended = nil
	for _, t := range p.targets {
		if !t.rest.until.IsZero() && !now.Before(t.rest.until) {
			t.rest.until = time.Time{}
			ended = append(ended, EndedNotice{Target: t.entry.ID, Incarnation: t.entry.Incarnation, Kind: RestEnded})
		}
	}
	slices.SortFunc(ended, func(a, b EndedNotice) int { return strings.Compare(a.Target, b.Target) })
	return ended
}

// Rests reports whether a target wants nothing from this host now, and until when.
func (p *Pool) Rests(now time.Time, id string) (until time.Time, rests bool) {
	t, known := p.targets[id]
	if !known || !now.Before(t.rest.until) {
		return time.Time{}, false
	}
	return t.rest.until, true
}

// MayReceive reports whether a request that was chosen for an incarnation of a target may still be sent there.
func (p *Pool) MayReceive(now time.Time, chosen ushercatalog.Target) bool {
	t, known := p.targets[chosen.ID]
	if !known || incarnationOf(t.entry) != incarnationOf(chosen) {
		// Its entry is gone. What was sent before that is decided by the incarnation that is expected there.
		_, departed := p.departed[incarnationOf(chosen)]
		return !departed && !now.Before(p.resting[incarnationOf(chosen)].until)
	}
	return t.accepting && !now.Before(t.rest.until)
}

// Back returns when the first target of a service takes a request again, if none takes one now only because each rests or it is
// not this host's turn.
func (p *Pool) Back(now time.Time, service string) (at time.Time, rests bool) {
	for _, t := range p.targets {
		if t.entry.Service != service || !t.accepting {
			continue
		}
		opens := t.rest.opens(now)
		if turn := p.advisedTurn(now, t.limit); turn.After(opens) {
			opens = turn
		}
		if opens.IsZero() {
			return time.Time{}, false
		}
		if at.IsZero() || opens.Before(at) {
			at = opens
		}
	}
	return at, !at.IsZero()
}

// opens returns when the next request may be sent, or zero if one may be sent now.
func (r *rest) opens(now time.Time) time.Time {
	switch {
	case now.Before(r.until):
		return r.until
	case r.spacing > 0 && now.Before(r.next):
		return r.next
	default:
		return time.Time{}
	}
}

// allows reports whether a request may be sent now.
func (r *rest) allows(now time.Time) bool { return r.opens(now).IsZero() }

// sent records that a request is sent.
func (r *rest) sent(now time.Time) {
	r.next = now.Add(r.spacing)
}

// answered records that the target has answered a request.
func (r *rest) answered(now time.Time) {
	if now.Before(r.until) {
		return
	}
	if r.spacing /= 2; r.spacing < minRestSpacing {
		r.spacing = 0
	}
}
