package ushercluster

import (
	"encoding/binary"
	"hash/fnv"
	"net/netip"
	"slices"
	"time"
)

const (
	// digestEntryBytes is the size of a host's entry in Report.Digest: the incarnation ID and the lowest bits of the beat, which stand
	// for a time that is much longer than removalTimeout.
	digestEntryBytes = idBytes + beatBytes
	idBytes          = 4
	beatBytes        = 2
	// ageUnit is the unit of ages in Report.Pressures.
	ageUnit = 20 * time.Millisecond
	// maxDigestHosts bounds the hosts in Report.Digest, so that a report fits a datagram together with the loads. In
	// larger fleets the hosts take turns.
	maxDigestHosts = 120
	// stablePeers is how many other hosts a report describes in full while the fleet is stable. It serves hosts that
	// start.
	stablePeers = 3
	// stabilityPeriod is how long nothing may have changed before a report describes only stablePeers hosts in full.
	stabilityPeriod = 10 * time.Second
	// maxIntroductions bounds the introductions sent in one round, and maxNewRemoteHosts the hosts waiting for one.
	maxIntroductions  = 16
	maxNewRemoteHosts = 256
	// maxUnknownIDs bounds the IDs that a host asks for. requestLifetime is how long an ID is asked for, and how long
	// the host with the ID takes precedence in the reports of a peer that was asked.
	maxUnknownIDs   = 16
	requestLifetime = 500 * time.Millisecond
)

// Introduction is a report to a host of another data centre that has just sent its first report. It describes other
// hosts of that data centre.
type Introduction struct {
	To     netip.AddrPort
	Report Report
}

// incarnationID returns the ID of an incarnation of a host. Reports use it between hosts that know the host's full
// description.
func incarnationID(m Member) uint32 {
	h := fnv.New32a()
	// Writes to a hash do not fail.
	_, _ = h.Write(binary.BigEndian.AppendUint64([]byte(m.Name), uint64(m.Incarnation)))
	return h.Sum32()
}

// digest encodes the beats of the hosts, as far as they fit.
func (c *Cluster) digest(hosts []*member) []byte {
	hosts = hosts[:min(len(hosts), maxDigestHosts)]
	out := make([]byte, 0, digestEntryBytes*len(hosts))
	for _, m := range hosts {
		out = binary.BigEndian.AppendUint32(out, m.id)
		out = binary.BigEndian.AppendUint16(out, uint16(m.beat))
	}
	return out
}

// receiveDigest processes the beats of hosts and returns the hosts that had counted as gone.
func (c *Cluster) receiveDigest(now time.Time, digest []byte) []Member {
	var recovered []Member
	for entry := range slices.Chunk(digest, digestEntryBytes) {
		if len(entry) < digestEntryBytes {
			break
		}
		id := binary.BigEndian.Uint32(entry)
		name, known := c.namesByID[id]
		if !known {
			if id != c.selfID && len(c.unknownIDs) < maxUnknownIDs {
				c.unknownIDs[id] = now
			}
			continue
		}
		m := c.members[name]
		// The difference is below zero for older beats.
		newer := int16(binary.BigEndian.Uint16(entry[idBytes:]) - uint16(m.beat))
		if newer <= 0 || m.beat == 0 {
			continue
		}
		gone := now.Sub(m.lastHeard) > c.failureTimeout()
		c.hear(m, now, m.beat+uint64(newer), now)
		if gone && now.Sub(m.lastHeard) <= c.failureTimeout() {
			m.changedAt, m.lost = now, false
			recovered = append(recovered, m.Member)
		}
	}
	return recovered
}

// receiveUnknownIDs records which hosts a peer wants described in full.
func (c *Cluster) receiveUnknownIDs(now time.Time, ids []uint32) {
	for _, id := range ids[:min(len(ids), maxUnknownIDs)] {
		if name, known := c.namesByID[id]; known {
			c.members[name].requestedAt = now
		}
	}
}

// takeUnknownIDs returns the incarnation IDs to ask for and drops those that are known by now or have expired.
func (c *Cluster) takeUnknownIDs(now time.Time) []uint32 {
	var ids []uint32
	for id, since := range c.unknownIDs {
		if _, known := c.namesByID[id]; known || now.Sub(since) > requestLifetime {
			delete(c.unknownIDs, id)
			continue
		}
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// DataCentreReport returns the report for hosts of other data centres. Its Digest lists only the hosts of this data
// centre, as the other data centres report their own.
func (c *Cluster) DataCentreReport(now time.Time) Report {
	return c.report(now, func(m *member) bool { return m.DataCentre == c.self.DataCentre })
}

// report returns a report whose Digest lists the hosts for which include returns true.
func (c *Cluster) report(now time.Time, include func(m *member) bool) Report {
	r := c.Status(now)
	r.UnknownIDs = c.takeUnknownIDs(now)
	alive := make([]*member, 0, len(c.members))
	maxDescribed := stablePeers
	for _, m := range c.sorted() {
		if now.Sub(m.changedAt) < stabilityPeriod {
			maxDescribed = maxPeers
		}
		if now.Sub(m.lastHeard) <= c.failureTimeout() {
			alive = append(alive, m)
		}
	}
	// The order is random so that the hosts take turns.
	c.random.Shuffle(len(alive), func(i, j int) { alive[i], alive[j] = alive[j], alive[i] })
	r.Pressures = c.pressures(now, alive, include)
	if len(alive) <= maxPeers {
		maxDescribed = maxPeers
	} else {
		r.Digest = c.digest(slices.DeleteFunc(slices.Clone(alive), func(m *member) bool { return m.beat == 0 || !include(m) }))
	}
	slices.SortStableFunc(alive, func(a, b *member) int { return c.priority(now, a) - c.priority(now, b) })
	for i, m := range alive[:min(len(alive), maxPeers)] {
		if i < maxDescribed || c.priority(now, m) == 0 {
			r.Peers = append(r.Peers, m.info(now))
		}
	}
	return r
}

// Status returns the report without other hosts.
func (c *Cluster) Status(now time.Time) Report {
	return Report{From: c.self, Beat: c.beatAt(now)}
}

func (m *member) info(now time.Time) PeerInfo {
	return PeerInfo{Member: m.Member, Age: now.Sub(m.lastHeard), Beat: m.beat}
}

// Introductions returns the reports for hosts of other data centres that have just sent their first report. They
// describe the other hosts of the recipient's data centre: a data centre may have no seed, and its hosts have to find
// each other.
func (c *Cluster) Introductions(now time.Time) []Introduction {
	var out []Introduction
	for len(c.newRemoteHosts) > 0 && len(out) < maxIntroductions {
		to := c.newRemoteHosts[0]
		c.newRemoteHosts = c.newRemoteHosts[1:]
		r := c.Status(now)
		for _, i := range c.random.Perm(len(c.sorted())) {
			m := c.sorted()[i]
			if m.DataCentre == to.DataCentre && m.Name != to.Name && now.Sub(m.lastHeard) <= c.failureTimeout() && len(r.Peers) < maxPeers {
				r.Peers = append(r.Peers, m.info(now))
			}
		}
		if len(r.Peers) > 0 {
			out = append(out, Introduction{To: to.Address, Report: r})
		}
	}
	return out
}
