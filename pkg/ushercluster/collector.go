package ushercluster

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"
)

// Collector returns the host to which this one reports; it may be this host itself.
func (c *Cluster) Collector(now time.Time) Member {
	for _, m := range c.hostsIn(now, c.self.DataCentre) {
		if m.Name == c.self.Name {
			break
		}
		if until, skipped := c.skippedCollectors[m.Name]; skipped && now.Before(until) {
			continue
		}
		if c.collector != m.Name {
			c.collector, c.collectorSince = m.Name, now
		}
		if now.Sub(c.collectorSince) > FailureTimeout && now.Sub(c.members[m.Name].lastDirect) > FailureTimeout {
			c.skippedCollectors[m.Name] = now.Add(IndirectFailureTimeout)
			continue
		}
		return m
	}
	c.collector = c.self.Name
	return c.self
}

// Placers returns the hosts that choose targets for the fleet, in the order in which to ask them: the collector and its
// successor of the first data centre by name, which hear of all loads, and then those of the next ones.
func (c *Cluster) Placers(now time.Time) []Member {
	return firstOfEach(c.hostsByDataCentre(now))
}

// RemoteCollectors returns the hosts of other data centres that are sent what the collectors there should know.
func (c *Cluster) RemoteCollectors(now time.Time) []Member {
	hosts := c.hostsByDataCentre(now)
	delete(hosts, c.self.DataCentre)
	return firstOfEach(hosts)
}

// UnheardCollectors returns hosts of the other data centres of which no host is heard, in the place of RemoteCollectors: packets may be
// lost only on their way from there, so that these hosts hear of what they are sent.
func (c *Cluster) UnheardCollectors(now time.Time) []Member {
	heard, unheard := c.hostsByDataCentre(now), map[string][]Member{}
	for _, m := range c.ranked() {
		if len(heard[m.DataCentre]) == 0 {
			unheard[m.DataCentre] = append(unheard[m.DataCentre], m.Member)
		}
	}
	return firstOfEach(unheard)
}

// firstOfEach returns the first hosts of each data centre, sorted by data centre.
func firstOfEach(byDataCentre map[string][]Member) []Member {
	var first []Member
	for _, dataCentre := range slices.Sorted(maps.Keys(byDataCentre)) {
		first = append(first, byDataCentre[dataCentre][:min(len(byDataCentre[dataCentre]), candidatesPerDataCentre)]...)
	}
	return first
}

// LocalPeers returns the other hosts of this data centre that were heard of recently, in the order in which they become
// its collector.
func (c *Cluster) LocalPeers(now time.Time) []Member {
	return slices.DeleteFunc(c.hostsIn(now, c.self.DataCentre), func(m Member) bool { return m.Name == c.self.Name })
}

// LocalRank returns how many hosts of this data centre precede this one.
func (c *Cluster) LocalRank(now time.Time) int {
	return slices.IndexFunc(c.hostsIn(now, c.self.DataCentre), func(m Member) bool { return m.Name == c.self.Name })
}

// hostsIn returns the hosts of a data centre in the order in which they become its collector.
func (c *Cluster) hostsIn(now time.Time, dataCentre string) []Member {
	return c.hostsByDataCentre(now)[dataCentre]
}

// hostsByDataCentre returns the hosts of each data centre, including this one, in the order in which they become its
// collector: sorted by capacity and name, with stopping hosts last.
func (c *Cluster) hostsByDataCentre(now time.Time) map[string][]Member {
	hosts, stopping, selfAdded := map[string][]Member{}, []Member(nil), false
	add := func(m Member) {
		if m.State == Stopping {
			stopping = append(stopping, m)
			return
		}
		hosts[m.DataCentre] = append(hosts[m.DataCentre], m)
	}
	for _, m := range c.ranked() {
		if !selfAdded && compareRank(c.self, m.Member) < 0 {
			selfAdded = true
			add(c.self)
		}
		if now.Sub(m.lastHeard) <= c.failureTimeout() {
			add(m.Member)
		}
	}
	if !selfAdded {
		add(c.self)
	}
	for _, m := range stopping {
		hosts[m.DataCentre] = append(hosts[m.DataCentre], m)
	}
	return hosts
}

// ranked returns the members in the order in which they become collectors of their data centres, whatever their states.
func (c *Cluster) ranked() []*member {
	if c.byRank == nil {
		c.byRank = slices.SortedFunc(maps.Values(c.members), func(a, b *member) int { return compareRank(a.Member, b.Member) })
	}
	return c.byRank
}

// compareRank compares by capacity, the largest first, and then by name. Hosts with little capacity would be slow to pass
// on what all others wait for.
func compareRank(a, b Member) int {
	return cmp.Or(b.Capacity.Compare(a.Capacity), strings.Compare(a.Name, b.Name))
}
