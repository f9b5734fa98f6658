package ushermember

import (
	"slices"
	"time"
)

// replaceVoters starts the time in which two lists count as in force. In that time only members of both vote. A member
// that had lost contact to most others counts as newly listed: it may have been off a list that it never saw.
func (m *Membership) replaceVoters(now time.Time, list List) {
	if !m.list.Contains(m.key) || now.After(m.currentUntil()) {
		m.newcomer = true
	}
	for _, key := range m.list.keys {
		if !list.Contains(key) && key != m.key {
			m.former[key] = true
		}
	}
	if m.list.Len() > 0 {
		m.formerMax = max(m.formerMax, m.list.Len())
		m.voters = slices.DeleteFunc(slices.Clone(m.voters), func(key Key) bool { return !list.Contains(key) })
	} else {
		m.voters = list.keys
	}
	m.settled = false
	m.agreedAt = time.Time{}
	m.adopted, m.adoptedAt = list.revision, now
}

// settle forgets older lists once every member of the list in force has confirmed it for long enough.
func (m *Membership) settle(now time.Time) {
	if m.settled || m.list.Len() == 0 {
		return
	}
	if !m.agreed(now) {
		m.agreedAt = time.Time{}
		return
	}
	if m.agreedAt.IsZero() {
		m.agreedAt = now
	}
	if now.Sub(m.agreedAt) < m.options.SettleAfter {
		return
	}
	m.markSettled()
}

func (m *Membership) markSettled() {
	m.settled = true
	m.newcomer = false
	m.formerMax = 0
	m.voters = m.list.keys
	clear(m.former)
}

// agreed reports whether no process can have another list in force: all listed members are confirming this one, no
// removed member was heard with an older one and none with a newer. Silent members are overlooked only where nobody
// who is heard knows of another list, so that a dead host doesn't keep a whole cell that has just started waiting.
func (m *Membership) agreed(now time.Time) bool {
	heard, silent, fresh := 1, 0, m.fresh()
	for key, p := range m.peers {
		if m.former[key] && p.revision < m.adopted || p.revision > m.list.revision {
			return false
		}
		switch {
		case !m.list.Contains(key):
		case now.Sub(p.heardAt) > m.options.DeadAfter:
			silent++
		case !p.confirms(m.list.digest, m.adopted):
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

// fresh reports whether this process has known no list but the one in force.
func (m *Membership) fresh() bool {
	return m.formerMax == 0 && !m.settled
}

func (p *peer) confirms(digest, revision uint64) bool {
	return p.list == digest && p.revision >= revision
}

// total returns the number of votes that budgets divide by.
func (m *Membership) total() int {
	total := max(m.list.Len(), m.formerMax)
	if m.settled {
		return total
	}
	for _, p := range m.peers {
		total = max(total, p.total)
	}
	return total
}

// confirm notes that more than half of the list has echoed a heartbeat sent since the last start or pause.
func (m *Membership) confirm() {
	if m.confirmed {
		return
	}
	count := 1
	for key, p := range m.peers {
		if m.list.Contains(key) && p.echoed >= m.probe {
			count++
		}
	}
	m.confirmed = 2*count > m.list.Len()
}

// currentUntil returns until when the list counts as current: for less time after a majority had it in force than
// others take to forget it. From then on this member may have been taken off a newer list without knowing.
func (m *Membership) currentUntil() time.Time {
	var times []time.Time
	for _, key := range m.list.keys {
		if p := m.peers[key]; p != nil && p.confirms(m.list.digest, m.adopted) {
			times = append(times, p.echoedAt)
		}
	}
	slices.SortFunc(times, func(a, b time.Time) int { return b.Compare(a) })
	others := m.list.Len() / 2 // with this member a majority
	switch {
	case others > len(times):
		return time.Time{}
	case others == 0:
		return m.lastTick.Add(m.options.SettleAfter)
	}
	return times[others-1].Add(time.Duration(float64(m.options.SettleAfter) * contactFraction))
}
