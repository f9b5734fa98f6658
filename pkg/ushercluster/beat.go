package ushercluster

import "time"

const (
	// beatUnit is the unit of a host's beat: how long its incarnation has been running.
	beatUnit = 20 * time.Millisecond
	// The fastest report that brought a beat counts for one to two times beatClockWindow. That is much longer than the time between
	// reports, and short enough that a host whose clock has been set back is known again soon.
	beatClockWindow = 5 * time.Second
	// maxBeat is a beat that no host reaches, and maxBeatLead by how much a beat may be ahead of those heard before. What is beyond is
	// garbage, and would make all later beats seem outdated.
	maxBeat     = 1 << 40
	maxBeatLead = removalTimeout
)

// beatClock maps the beats of another host to times of this one. The report of a beat takes some time to arrive, or is read late, so the
// earliest time that the beats heard lately point to is the best estimate, and a report that was held up cannot make its
// beat seem later than it was. The zero value has heard of none.
type beatClock struct {
	// earlier and latest are the earliest times of beat zero in the previous window and in this one, which began at since.
	earlier, latest time.Time
	since           time.Time
}

// add notes at now that a beat is no later than at.
func (b *beatClock) add(now time.Time, beat uint64, at time.Time) {
	zero := at.Add(-time.Duration(beat) * beatUnit)
	switch {
	case b.since.IsZero():
		b.earlier, b.latest, b.since = zero, zero, now
	case now.Sub(b.since) > beatClockWindow:
		b.earlier, b.latest, b.since = b.latest, zero, now
	case zero.Before(b.latest):
		b.latest = zero
	}
}

// timeOf returns when a beat was.
func (b *beatClock) timeOf(beat uint64) time.Time {
	zero := b.latest
	if b.earlier.Before(zero) {
		zero = b.earlier
	}
	return zero.Add(time.Duration(beat) * beatUnit)
}

// hear records a beat of a host that is no later than at.
func (c *Cluster) hear(m *member, now time.Time, beat uint64, at time.Time) {
	if beat > maxBeat || m.beat > 0 && m.clock.timeOf(beat).Sub(now) > maxBeatLead {
		c.implausible++
		return
	}
	if beat <= m.beat {
		return
	}
	m.clock.add(now, beat, at)
	m.beat = beat
	m.lastHeard = m.clock.timeOf(beat)
}

// Knows reports whether a beat of this incarnation of a host has been heard.
func (c *Cluster) Knows(m Member) bool {
	known := c.members[m.Name]
	return known != nil && known.Incarnation == m.Incarnation && known.beat > 0
}

// beatAt returns the beat of this host. It begins at one, as zero stands for none.
func (c *Cluster) beatAt(now time.Time) uint64 {
	if c.startedAt.IsZero() {
		c.startedAt = now
	}
	return 1 + uint64(now.Sub(c.startedAt)/beatUnit)
}

// SentAt returns when a report that has been received was sent, by the beat of its sender. A report may have waited in a socket, while this
// process or its sender stood still.
func (c *Cluster) SentAt(now time.Time, r Report) time.Time {
	m, known := c.members[r.From.Name]
	if !known || m.Incarnation != r.From.Incarnation || r.Beat == 0 || r.Beat > m.beat {
		return now
	}
	if sent := m.clock.timeOf(r.Beat); sent.Before(now) {
		return sent
	}
	return now
}
