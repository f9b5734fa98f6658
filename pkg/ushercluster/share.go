package ushercluster

import (
	"hash/fnv"
	"slices"
	"strings"
	"time"
)

// LimitDivisor returns the number of hosts by which a fleet-wide limit is divided. It decreases only slowly, because a
// host that hears from no other may be cut off while the others keep serving.
func (c *Cluster) LimitDivisor(now time.Time) int {
	_, hosts := c.LimitShare(now)
	return hosts
}

// LimitShare returns the number of hosts by which a fleet-wide limit is divided and the place of this one among them, from 0.
// A host that loses others from sight keeps its place, or all that are cut off would have the same one.
func (c *Cluster) LimitShare(now time.Time) (place, hosts int) {
	if !c.heardAny {
		name := fnv.New32a()
		_, _ = name.Write([]byte(c.self.Name))
		return int(name.Sum32() % initialLimitDivisor), initialLimitDivisor
	}
	alive := c.Alive(now)
	n := 1 + len(alive)
	expired := now.Sub(c.maxHostsAt) > limitDivisorRetention
	if n >= c.maxHosts || expired {
		c.maxHosts, c.maxHostsAt = n, now
	}
	if n >= c.placedAmong || expired {
		c.placedAmong = n
		c.place, _ = slices.BinarySearchFunc(alive, c.self.Name, func(m Member, name string) int { return strings.Compare(m.Name, name) })
	}
	return c.place, c.maxHosts
}
