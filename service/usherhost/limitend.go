package usherhost

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/samphireusher/samphireusher/pkg/ushercatalog"
	"github.com/samphireusher/samphireusher/pkg/usherpool"
)

const (
	// limitEndLifetime is how long peers are told that a limit has ended, and how long a host that kept it goes on to tell later
	// times: longer than a report takes to reach every host.
	limitEndLifetime = 5 * time.Second
	// limitEndMargin bounds the time that notices take from host to host, which their ages do not include.
	limitEndMargin = time.Second
	// maxLimitEnds bounds the notices in one message.
	maxLimitEnds = 12
	// limitEndRetention is how long a host that asks is told, maxKnownLimitEnds how many ends are remembered.
	limitEndRetention = 10 * time.Minute
	maxKnownLimitEnds = 4096
)

type (
	// limitKey identifies a target between two starts, at one address.
	limitKey struct {
		target      string
		address     netip.AddrPort
		incarnation int64
	}

	// limitEnd says that a target has named no limit in its response to a request.
	limitEnd struct {
		// sent is when the latest such request was sent, seenBy the host that sent it.
		sent   time.Time
		seenBy string
		// seen is when this host itself last sent such a request, or zero.
		seen time.Time
		// renewedUntil is until when this host replaces sent by that of its own later requests. It is zero if the host did
		// not keep the limit.
		renewedUntil time.Time
	}

	limitEndWire struct {
		Target      string         `cbor:"1,keyasint"`
		Incarnation int64          `cbor:"2,keyasint,omitempty"`
		Address     netip.AddrPort `cbor:"3,keyasint"`
		// Age is the time since the request was sent, SeenBy the host that sent it.
		Age    time.Duration `cbor:"4,keyasint"`
		SeenBy string        `cbor:"5,keyasint,omitempty"`
	}
)

func limitKeyOf(t ushercatalog.Target) limitKey {
	return limitKey{target: t.ID, address: t.Address, incarnation: t.Incarnation}
}

// entry returns what identifies the target in the pool.
func (k limitKey) entry() ushercatalog.Target {
	return ushercatalog.Target{ID: k.target, Address: k.address, Incarnation: k.incarnation}
}

// recordNoLimit records that a target named no limit in its response to a request sent at the given time, and reports whether a
// limit has ended by that.
func (s *sharedState) recordNoLimit(target ushercatalog.Target, sent time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	key, self := limitKeyOf(target), s.cluster.Self().Name
	if s.pool.Unlimit(target, sent) {
		s.limitEnds[key] = limitEnd{sent: sent, seenBy: self, seen: sent, renewedUntil: time.Now().Add(limitEndLifetime)}
		return true
	}
	end, told := s.limitEnds[key]
	if !told {
		return false
	}
	if sent.After(end.seen) {
		end.seen = sent
	}
	// Hosts that were told of the limit just before it ended need a later time.
	if time.Now().Before(end.renewedUntil) && sent.Sub(end.sent) > limitEndMargin {
		end.sent, end.seenBy = sent, self
	}
	s.limitEnds[key] = end
	return false
}

// wire returns what this host tells of the end of a limit, by its own response if it has sent a request since the end.
func (e limitEnd) wire(key limitKey, now time.Time, self string) limitEndWire {
	w := limitEndWire{Target: key.target, Incarnation: key.incarnation, Address: key.address, Age: now.Sub(e.sent), SeenBy: e.seenBy}
	if e.seen.After(e.sent.Add(-limitEndMargin)) {
		w.Age, w.SeenBy = now.Sub(e.seen), self
	}
	return w
}

// currentLimitEnds returns the notices to send to peers, newest first, and forgets the ends that have long been known.
func (s *sharedState) currentLimitEnds(now time.Time) []limitEndWire {
	var out []limitEndWire
	for key, end := range s.limitEnds {
		age := now.Sub(end.sent)
		if age > limitEndRetention || age > limitEndLifetime && len(s.limitEnds) > maxKnownLimitEnds {
			delete(s.limitEnds, key)
		}
		if age <= limitEndLifetime {
			out = append(out, limitEndWire{Target: key.target, Incarnation: key.incarnation, Address: key.address, Age: age, SeenBy: end.seenBy})
		}
	}
	slices.SortFunc(out, func(a, b limitEndWire) int { return cmp.Compare(a.Age, b.Age) })
	return out[:min(len(out), maxLimitEnds)]
}

// mergeLimitEnds merges the notices sent by a peer, except those that are older than what the target told this host. It returns
// the targets whose limits have ended by that, and whether any notice is new.
func (s *sharedState) mergeLimitEnds(now time.Time, notices []limitEndWire) (ended []ushercatalog.Target, news bool) {
	for _, w := range notices[:min(len(notices), maxLimitEnds)] {
		if w.Age < 0 || w.Age > limitEndLifetime {
			continue
		}
		key, sent := limitKey{target: w.Target, address: w.Address, incarnation: w.Incarnation}, now.Add(-w.Age)
		named, limited := s.pool.LimitNamed(key.entry())
		entry, known := s.pool.Target(w.Target)
		if limited && named.After(sent) || !limited && (!known || limitKeyOf(entry) != key) {
			continue
		}
		end, told := s.limitEnds[key]
		switch {
		case s.pool.Unlimit(key.entry(), sent.Add(-limitEndMargin)):
			end.renewedUntil = now.Add(limitEndLifetime)
			ended = append(ended, key.entry())
		case told && sent.Sub(end.sent) <= limitEndMargin:
			continue
		}
		end.sent, end.seenBy = sent, w.SeenBy
		s.limitEnds[key], news = end, true
	}
	return ended, news
}

// logLimitEnds logs the ends of limits that a peer told.
func (p *peers) logLimitEnds(source string, ended []ushercatalog.Target) {
	for _, t := range ended {
		p.log.Info("what a target said of itself has ended", "source", source, "target", t.ID, "incarnation", t.Incarnation, "kind", usherpool.LimitEnded)
	}
}
