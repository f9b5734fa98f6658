package ushercluster

import (
	"encoding/binary"
	"hash/fnv"
	"math"
	"net/netip"
	"slices"
	"time"
)

const (
	// presenceBytes is what a host takes in Report.Present: the mark of its start and the age.
	presenceBytes = markBytes + 1
	markBytes     = 4
	// presenceUnit is the unit of the age. The largest age told is beyond IndirectFailureTimeout.
	presenceUnit = 20 * time.Millisecond
	// maxPresent bounds the hosts in Report.Present, so that a report fits a datagram beside loads. Beyond it each host
	// has its turn.
	maxPresent = 120
	// introductions is how many other hosts a report names in full where all are known. It is for hosts that start.
	introductions = 3
	// settled is how long nothing may have changed until reports name only that many.
	settled = 10 * time.Second
	// maxGreetings bounds the hosts that are told in one round of others in their data centre, and maxNewcomers those that
	// wait for it.
	maxGreetings = 16
	maxNewcomers = 256
	// maxWanted bounds the marks that a host asks about, and wantedLife is for how long they are named first.
	maxWanted  = 16
	wantedLife = 500 * time.Millisecond
)

// Introduction is what a host tells one that it has just heard for the first time.
type Introduction struct {
	To     netip.AddrPort
	Report Report
}

// mark stands for one start of a host where both sides know it.
func mark(m Member) uint32 {
	h := fnv.New32a()
	// Writes to a hash do not fail.
	_, _ = h.Write(binary.BigEndian.AppendUint64([]byte(m.Name), uint64(m.Incarnation)))
	return h.Sum32()
}

// present returns the hosts that were heard of lately, with their ages, as far as they fit.
func (c *Cluster) present(now time.Time, hosts []*member) []byte {
	hosts = hosts[:min(len(hosts), maxPresent)]
	out := make([]byte, 0, presenceBytes*len(hosts))
	for _, m := range hosts {
		age := (now.Sub(m.heard) + presenceUnit - 1) / presenceUnit
		out = binary.BigEndian.AppendUint32(out, m.mark)
		out = append(out, byte(min(max(age, 0), math.MaxUint8)))
	}
	return out
}

// receivePresent takes in the ages of hosts, and returns those that had counted as gone.
func (c *Cluster) receivePresent(now time.Time, present []byte) []Member {
	var back []Member
	for entry := range slices.Chunk(present, presenceBytes) {
		if len(entry) < presenceBytes {
			break
		}
		mark := binary.BigEndian.Uint32(entry)
		name, known := c.marks[mark]
		if !known {
			if mark != c.selfMark && len(c.wanted) < maxWanted {
				c.wanted[mark] = now
			}
			continue
		}
		m := c.members[name]
		heard := now.Add(-time.Duration(entry[markBytes]) * presenceUnit)
		if !heard.After(m.heard) {
			continue
		}
		if now.Sub(m.heard) > c.silence() && now.Sub(heard) <= c.silence() {
			m.changed = now
			back = append(back, m.Member)
		}
		m.heard = heard
	}
	return back
}

// receiveWanted remembers which hosts a peer has heard of only by their marks.
func (c *Cluster) receiveWanted(now time.Time, wanted []uint32) {
	for _, mark := range wanted[:min(len(wanted), maxWanted)] {
		if name, known := c.marks[mark]; known {
			c.members[name].wanted = now
		}
	}
}

// takeWanted returns the marks that this host does not know yet.
func (c *Cluster) takeWanted(now time.Time) []uint32 {
	var wanted []uint32
	for mark, since := range c.wanted {
		if _, known := c.marks[mark]; known || now.Sub(since) > wantedLife {
			delete(c.wanted, mark)
			continue
		}
		wanted = append(wanted, mark)
	}
	slices.Sort(wanted)
	return wanted
}

// DataCentreReport returns what this host tells other data centres. Present has only the hosts of its own one, as the others
// tell of theirs.
func (c *Cluster) DataCentreReport(now time.Time) Report {
	return c.report(now, func(m *member) bool { return m.DataCentre == c.self.DataCentre })
}

// report returns what this host tells, with the ages of the hosts that count.
func (c *Cluster) report(now time.Time, counts func(m *member) bool) Report {
	r := Report{From: c.self, Wanted: c.takeWanted(now)}
	alive := make([]*member, 0, len(c.members))
	named := introductions
	for _, m := range c.sorted() {
		if now.Sub(m.changed) < settled {
			named = maxSightings
		}
		if now.Sub(m.heard) <= c.silence() {
			alive = append(alive, m)
		}
	}
	// The random order gives each host its turn.
	c.random.Shuffle(len(alive), func(i, j int) { alive[i], alive[j] = alive[j], alive[i] })
	if len(alive) <= maxSightings {
		named = maxSightings
	} else {
		r.Present = c.present(now, slices.DeleteFunc(slices.Clone(alive), func(m *member) bool { return !counts(m) }))
	}
	slices.SortStableFunc(alive, func(a, b *member) int { return c.rank(now, a) - c.rank(now, b) })
	for i, m := range alive[:min(len(alive), maxSightings)] {
		if i < named || c.rank(now, m) == 0 {
			r.Sightings = append(r.Sightings, Sighting{Member: m.Member, Age: now.Sub(m.heard)})
		}
	}
	return r
}

// Introductions returns what this host tells the hosts of other data centres that it has just heard: the hosts of their own
// one. A data centre may have no seed, and its hosts have to find each other.
func (c *Cluster) Introductions(now time.Time) []Introduction {
	var out []Introduction
	for len(c.newcomers) > 0 && len(out) < maxGreetings {
		to := c.newcomers[0]
		c.newcomers = c.newcomers[1:]
		r := Report{From: c.self}
		for _, i := range c.random.Perm(len(c.sorted())) {
			m := c.sorted()[i]
			if m.DataCentre == to.DataCentre && m.Name != to.Name && now.Sub(m.heard) <= c.silence() && len(r.Sightings) < maxSightings {
				r.Sightings = append(r.Sightings, Sighting{Member: m.Member, Age: now.Sub(m.heard)})
			}
		}
		if len(r.Sightings) > 0 {
			out = append(out, Introduction{To: to.Address, Report: r})
		}
	}
	return out
}
