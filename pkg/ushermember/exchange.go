package ushermember

import "time"

// Heartbeats returns one heartbeat for each listed peer and records them as sent at now.
func (m *Membership) Heartbeats(now time.Time) []Outgoing {
	m.sequence++
	m.sent[m.sequence%sentWindow] = now
	base := Heartbeat{
		Cell:        m.options.Cell,
		From:        m.key,
		Incarnation: m.options.Incarnation,
		Sequence:    m.sequence,
		List:        m.list.digest,
		Revision:    m.list.revision,
		Total:       m.totalVotes(),
		Settled:     m.settled,
		Fresh:       m.fresh(),
		Leaving:     m.leaving,
	}
	candidates := m.list.encode(m.isCandidate)
	heard := m.list.encode(m.isHeard)
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
		if p.listDigest == m.list.digest {
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

// Receive handles a heartbeat. It rejects heartbeats from other cells, from members that aren't listed, and old ones.
func (m *Membership) Receive(now time.Time, h Heartbeat) (Received, error) {
	p := m.peers[h.From]
	if h.Cell != m.options.Cell || p == nil {
		return Received{}, ErrNotMember.New("member %x of cell %q is not on the list of this cell", uint64(h.From), h.Cell)
	}
	if !p.isNewer(h) {
		return Received{}, ErrStale.New("heartbeat %d of incarnation %d is not newer than the last one received", h.Sequence, h.Incarnation)
	}
	if h.Incarnation != p.incarnation {
		*p = peer{member: p.member, state: Unknown, incarnation: h.Incarnation}
	}
	p.sequence, p.heardAt = h.Sequence, now
	p.listDigest, p.revision, p.fresh, p.total = h.List, h.Revision, h.Fresh, h.Total
	candidates, heard := h.CandidateKeys, h.CandidateKeys
	if h.List == m.list.digest && len(h.CandidateKeys) == 0 {
		candidates, heard = m.list.decode(h.Candidates), m.list.decode(h.Heard)
	}
	p.heard = heard
	sentAt := m.sentAt(h.Echo)
	if sentAt.After(p.echoSentAt) {
		p.echoSentAt, p.echoedSequence = sentAt, h.Echo.Sequence
	}
	m.updateState(now, p, h.Leaving)
	if h.Settled && h.List == m.list.digest && h.Revision >= m.adoptedRevision {
		m.markSettled()
	}
	return Received{
		From: p.member, Key: h.From, Incarnation: h.Incarnation, EchoSentAt: sentAt,
		Candidates: candidates, Total: h.Total, Ballot: h.Ballot,
	}, nil
}

// isNewer reports whether a heartbeat is newer than those received. A lower incarnation is accepted only once the
// higher one is dead, because a delayed datagram is more likely than a process that restarted with a lower incarnation.
func (p *peer) isNewer(h Heartbeat) bool {
	if h.Incarnation == p.incarnation {
		return h.Sequence > p.sequence
	}
	return h.Incarnation > p.incarnation || p.state == Dead
}

// updateState updates the state of a member whose heartbeat has just been received.
func (m *Membership) updateState(now time.Time, p *peer, leaving bool) {
	if leaving || p.member.Leaving {
		p.state = m.lifecycle.next(p.state, eventLeave)
		return
	}
	p.state = m.lifecycle.next(p.state, eventReturn)
	p.state = m.lifecycle.next(p.state, eventHear)
	if !p.echoSentAt.IsZero() && now.Sub(p.echoSentAt) <= m.options.SuspectAfter {
		p.state = m.lifecycle.next(p.state, eventJoin)
	}
}

// sentAt returns when this process sent the echoed heartbeat, or the zero time if that is unknown.
func (m *Membership) sentAt(echo Echo) time.Time {
	if echo.Incarnation != m.options.Incarnation || echo.Sequence == 0 || echo.Sequence > m.sequence {
		return time.Time{}
	}
	if m.sequence-echo.Sequence >= sentWindow {
		return time.Time{}
	}
	return m.sent[echo.Sequence%sentWindow]
}
