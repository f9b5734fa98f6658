package ushermember

import "time"

// Heartbeats returns one heartbeat for each peer that is listed. They count as sent at now.
func (m *Membership) Heartbeats(now time.Time) []Outgoing {
	m.sequence++
	m.sent[m.sequence%sentTimes] = now
	base := Heartbeat{
		Cell:        m.options.Cell,
		From:        m.key,
		Incarnation: m.options.Incarnation,
		Sequence:    m.sequence,
		List:        m.list.digest,
		Revision:    m.list.revision,
		Total:       m.total(),
		Settled:     m.settled,
		Fresh:       m.fresh(),
		Leaving:     m.leaving,
	}
	candidates := m.list.encode(m.candidate)
	heard := m.list.encode(m.hears)
	outgoing := make([]Outgoing, 0, m.list.Len())
	for i, key := range m.list.keys {
		if key == m.key {
			continue
		}
		p := m.peers[key]
		h := base
		if !p.heardAt.IsZero() {
			h.Echo = Echo{Incarnation: p.incarnation, Sequence: p.sequence}
		}
		if p.list == m.list.digest {
			h.Heard, h.Candidates = heard, candidates
		} else {
			h.CandidateKeys = m.list.decode(candidates)
		}
		outgoing = append(outgoing, Outgoing{
			To: m.list.members[i], Key: key, Incarnation: p.incarnation, EchoReceivedAt: p.heardAt, Heartbeat: h,
		})
	}
	return outgoing
}

// Receive takes in a heartbeat. It refuses those of other cells, of members that aren't listed, and old ones.
func (m *Membership) Receive(now time.Time, h Heartbeat) (Received, error) {
	p := m.peers[h.From]
	if h.Cell != m.options.Cell || p == nil {
		return Received{}, ErrForeign.New("heartbeat of member %x of cell %q", uint64(h.From), h.Cell)
	}
	if !p.accepts(h) {
		return Received{}, ErrStale.New("heartbeat %d of incarnation %d", h.Sequence, h.Incarnation)
	}
	if h.Incarnation != p.incarnation {
		*p = peer{member: p.member, state: Unknown, incarnation: h.Incarnation}
	}
	p.sequence, p.heardAt = h.Sequence, now
	p.list, p.revision, p.fresh, p.total = h.List, h.Revision, h.Fresh, h.Total
	candidates, heard := h.CandidateKeys, h.CandidateKeys
	if h.List == m.list.digest && len(h.CandidateKeys) == 0 {
		candidates, heard = m.list.decode(h.Candidates), m.list.decode(h.Heard)
	}
	p.heard = heard
	sentAt := m.sentAt(h.Echo)
	if sentAt.After(p.echoedAt) {
		p.echoedAt, p.echoed = sentAt, h.Echo.Sequence
	}
	m.advance(now, p, h.Leaving)
	if h.Settled && h.List == m.list.digest && h.Revision >= m.adopted {
		m.markSettled()
	}
	return Received{
		From: p.member, Key: h.From, Incarnation: h.Incarnation, EchoSentAt: sentAt,
		Candidates: candidates, Total: h.Total, Ballot: h.Ballot,
	}, nil
}

// accepts reports whether a heartbeat is newer than those received. A smaller incarnation counts only once the
// larger one is dead, since a late datagram is likelier than a process whose number went down.
func (p *peer) accepts(h Heartbeat) bool {
	if h.Incarnation == p.incarnation {
		return h.Sequence > p.sequence
	}
	return h.Incarnation > p.incarnation || p.state == Dead
}

// advance moves the life cycle of a member that has just been heard.
func (m *Membership) advance(now time.Time, p *peer, leaving bool) {
	if leaving || p.member.Leaving {
		p.state = m.lifecycle.next(p.state, eventLeave)
		return
	}
	p.state = m.lifecycle.next(p.state, eventReturn)
	p.state = m.lifecycle.next(p.state, eventHear)
	if !p.echoedAt.IsZero() && now.Sub(p.echoedAt) <= m.options.SuspectAfter {
		p.state = m.lifecycle.next(p.state, eventJoin)
	}
}

// sentAt returns when this process sent the echoed heartbeat, or zero.
func (m *Membership) sentAt(echo Echo) time.Time {
	if echo.Incarnation != m.options.Incarnation || echo.Sequence == 0 || echo.Sequence > m.sequence {
		return time.Time{}
	}
	if m.sequence-echo.Sequence >= sentTimes {
		return time.Time{}
	}
	return m.sent[echo.Sequence%sentTimes]
}
