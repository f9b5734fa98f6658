package ushermember

import (
	"slices"
	"time"
)

// replaceVoters starts the time in which two lists count as in force.
func (m *Membership) replaceVoters(now time.Time, list List) {
	m.formerMax = max(m.formerMax, m.list.Len())
	m.settled = false
	m.agreedAt = time.Time{}
	m.adopted, m.adoptedAt = list.revision, now
	for _, key := range m.list.keys {
		if !list.Contains(key) && key != m.key {
			m.former[key] = true
		}
	}
	for _, key := range list.keys {
		delete(m.former, key)
	}
	if !m.list.Contains(m.key) {
		m.newcomer = true
	}
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
	clear(m.former)
}

// agreed reports whether no process can have an older list in force: all listed members have confirmed this one and
// no removed member is heard with an older one, or the platform's bound on late lists has passed.
func (m *Membership) agreed(now time.Time) bool {
	if m.options.ListLag > 0 && now.Sub(m.adoptedAt) >= m.options.ListLag {
		return true
	}
	for key := range m.former {
		if p := m.peers[key]; p != nil && p.revision < m.adopted {
			return false
		}
	}
	for _, key := range m.list.keys {
		if p := m.peers[key]; p != nil && !p.confirms(m.list.digest, m.adopted) {
			return false
		}
	}
	return true
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

// currentUntil returns until when the list counts as current: as long after a majority had it in force as others
// take to forget it. From then on this member may have been taken off a newer list without knowing.
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
	return times[others-1].Add(time.Duration(float64(m.options.SettleAfter) * (1 - clockMargin)))
}
