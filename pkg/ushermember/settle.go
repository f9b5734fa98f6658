package ushermember

import (
	"slices"
	"time"
)

// replaceVoters starts the transition in which both the old and the new list may be in force. During it only the votes
// of members of both lists count. If this process had lost contact with the majority it is treated as newly listed,
// because it may have been removed by a list that it never received.
func (m *Membership) replaceVoters(now time.Time, list List) {
	if !m.list.Contains(m.key) || now.After(m.currentUntil()) {
		m.abstaining = true
	}
	for _, key := range m.list.keys {
		if !list.Contains(key) && key != m.key {
			m.formerMembers[key] = true
		}
	}
	if m.list.Len() > 0 {
		m.maxFormerLen = max(m.maxFormerLen, m.list.Len())
		m.voters = slices.DeleteFunc(slices.Clone(m.voters), func(key Key) bool { return !list.Contains(key) })
	} else {
		m.voters = list.keys
	}
	m.settled = false
	m.confirmedSince = time.Time{}
	m.adoptedRevision, m.adoptedAt = list.revision, now
}

// settleIfConfirmed drops older lists once every member of the current list has confirmed it for SettleAfter.
func (m *Membership) settleIfConfirmed(now time.Time) {
	if m.settled || m.list.Len() == 0 {
		return
	}
	if !m.allConfirmed(now) {
		m.confirmedSince = time.Time{}
		return
	}
	if m.confirmedSince.IsZero() {
		m.confirmedSince = now
	}
	if now.Sub(m.confirmedSince) < m.options.SettleAfter {
		return
	}
	m.markSettled()
}

func (m *Membership) markSettled() {
	m.settled = true
	m.abstaining = false
	m.maxFormerLen = 0
	m.voters = m.list.keys
	clear(m.formerMembers)
}

// allConfirmed reports whether no process can have another list in force: all listed members confirm the current one,
// no removed member has sent heartbeats with an older one, and no member with a newer one. Members that send no
// heartbeats are ignored only if none of the others knows of another list, so that one dead host doesn't block a cell
// that has just started.
func (m *Membership) allConfirmed(now time.Time) bool {
	heard, silent, fresh := 1, 0, m.fresh()
	for key, p := range m.peers {
		if m.formerMembers[key] && p.revision < m.adoptedRevision || p.revision > m.list.revision {
			return false
		}
		switch {
		case !m.list.Contains(key):
		case now.Sub(p.heardAt) > m.options.DeadAfter:
			silent++
		case !p.confirms(m.list.digest, m.adoptedRevision):
			return false
		default:
			heard++
			fresh = fresh && p.fresh
		}
	}
	if silent == 0 {
		return true
	}
	return fresh && 2*heard > m.list.Len() && now.Sub(m.adoptedAt) >= m.options.Bootstrap
}

// fresh reports whether this process has never known another list than the current one.
func (m *Membership) fresh() bool {
	return m.maxFormerLen == 0 && !m.settled
}

func (p *peer) confirms(digest, revision uint64) bool {
	return p.listDigest == digest && p.revision >= revision
}

// totalVotes returns the number of votes by which limits are divided.
func (m *Membership) totalVotes() int {
	total := max(m.list.Len(), m.maxFormerLen)
	if m.settled {
		return total
	}
	for _, p := range m.peers {
		total = max(total, p.total)
	}
	return total
}

// updateConfirmed sets confirmed once more than half of the list has echoed a heartbeat sent since the last start or
// pause.
func (m *Membership) updateConfirmed() {
	if m.confirmed {
		return
	}
	count := 1
	for key, p := range m.peers {
		if m.list.Contains(key) && p.echoedSequence >= m.probeSequence {
			count++
		}
	}
	m.confirmed = 2*count > m.list.Len()
}

// currentUntil returns the time until which the list counts as current: contactFraction of SettleAfter after a majority
// last confirmed it, which is less than the others take to drop it. After that, this member may have been removed by a
// newer list without knowing.
func (m *Membership) currentUntil() time.Time {
	var times []time.Time
	for _, key := range m.list.keys {
		if p := m.peers[key]; p != nil && p.confirms(m.list.digest, m.adoptedRevision) {
			times = append(times, p.echoSentAt)
		}
	}
	slices.SortFunc(times, func(a, b time.Time) int { return b.Compare(a) })
	others := m.list.Len() / 2 // together with this member, a majority
	switch {
	case others > len(times):
		return time.Time{}
	case others == 0:
		return m.lastTick.Add(m.options.SettleAfter)
	}
	return times[others-1].Add(time.Duration(float64(m.options.SettleAfter) * contactFraction))
}
