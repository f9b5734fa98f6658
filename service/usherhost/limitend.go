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
		// sent is when the latest such request was sent.
		sent time.Time
		// renewedUntil is until when this host replaces sent by that of its own later requests. It is zero if the host did
		// not keep the limit.
		renewedUntil time.Time
	}

	limitEndWire struct {
		Target      string         `cbor:"1,keyasint"`
		Incarnation int64          `cbor:"2,keyasint,omitempty"`
		Address     netip.AddrPort `cbor:"3,keyasint"`
		// Age is the time since the request was sent.
		Age time.Duration `cbor:"4,keyasint"`
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
	key := limitKeyOf(target)
	if s.pool.Unlimit(target, sent) {
		s.limitEnds[key] = limitEnd{sent: sent, renewedUntil: time.Now().Add(limitEndLifetime)}
		return true
	}
	// Hosts that were told of the limit just before it ended need a later time.
	if end, told := s.limitEnds[key]; told && time.Now().Before(end.renewedUntil) && sent.Sub(end.sent) > limitEndMargin {
		end.sent = sent
		s.limitEnds[key] = end
	}
	return false
}

// currentLimitEnds returns the notices to send to peers, newest first, and drops those that have expired.
func (s *sharedState) currentLimitEnds(now time.Time) []limitEndWire {
	var out []limitEndWire
	for key, end := range s.limitEnds {
		if now.Sub(end.sent) > limitEndLifetime {
			delete(s.limitEnds, key)
			continue
		}
		out = append(out, limitEndWire{Target: key.target, Incarnation: key.incarnation, Address: key.address, Age: now.Sub(end.sent)})
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
		end.sent = sent
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
