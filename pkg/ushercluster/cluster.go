// Package ushercluster tells one host which other hosts there are.
//
// Hosts find each other through a few seed addresses and then by gossip: each sends a Report to a few others several
// times a second, and a report names further hosts with the age at which they were last heard of. Nothing is agreed on;
// a host that is not heard of for a while counts as gone, and one that says it stops is passed over at once. Hosts that
// are gone are still tried now and then, so that the parts of a split fleet find each other again.
//
// In each data centre the first host by name is the collector: the others report to it, and it tells them what the fleet
// knows. So the traffic of a host does not grow with the fleet, and little of it leaves a data centre. A collector that
// is not heard is passed over by each host for itself; two collectors for a moment do no harm.
//
// A Cluster does no I/O and reads no clock. It is not safe for concurrent use.
//
// # Usage
//
//	c := ushercluster.New(self, seeds, random)
//	for _, to := range c.Recipients(now) {
//		send(to, c.Report(now))
//	}
//	c.Receive(now, report)
//	for _, m := range c.Alive(now) {
//		...
//	}
package ushercluster

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strings"
	"time"
)

const (
	// Starting hosts do not take requests yet.
	Starting State = iota
	// Serving hosts take requests.
	Serving
	// Stopping hosts finish what they have.
	Stopping

	// Interval is the time between two reports of a host to the same peer in a small fleet. It bounds how old the
	// loads of other hosts are.
	Interval = 250 * time.Millisecond
	// Silence is how long a host is not heard of before it counts as gone: four reports, so that single lost datagrams
	// do not remove it.
	Silence = 4*Interval + Interval/2
	// LongSilence stands for it in fleets where most hosts are heard of by way of others only.
	LongSilence = 4 * Silence
	// news is how long a change of a host's state is told before all else.
	news = 2 * time.Second
	// forget is how long a host that is gone is still tried.
	forget = 2 * time.Minute
	// retryInterval is the time between tries to reach a host that is gone or a seed that never answered.
	retryInterval = time.Second
	// nearFanout and farFanout are how many hosts of the own data centre and of others get a report in each round.
	nearFanout = 3
	farFanout  = 1
	// smallFleet is up to how many others all are heard of within Silence.
	smallFleet = 10
	// relays is how many hosts of another data centre are told what its collector should know, in case the first of
	// them has just died.
	relays = 2
	// maxSightings bounds the further hosts named in a report, so that it fits a datagram.
	maxSightings = 12
	// sharersFloor is how many hosts are assumed to share limits until a peer was heard.
	sharersFloor = 9
	// sharersMemory is how long the largest number of hosts seen counts for shares of limits.
	sharersMemory = time.Minute
)

type (
	// State tells whether a host takes requests.
	State uint8

	// Member is what a host says of itself.
	Member struct {
		Name       string `cbor:"1,keyasint"`
		DataCentre string `cbor:"2,keyasint"`
		// Address is where its peers reach it.
		Address netip.AddrPort `cbor:"3,keyasint"`
		// Callers is where callers reach it.
		Callers netip.AddrPort `cbor:"4,keyasint"`
		// Incarnation rises with each start.
		Incarnation int64 `cbor:"5,keyasint"`
		State       State `cbor:"6,keyasint"`
	}

	// Sighting names a host that the sender of a report heard of.
	Sighting struct {
		Member Member        `cbor:"1,keyasint"`
		Age    time.Duration `cbor:"2,keyasint"`
	}

	// Report is what a host tells its peers about hosts.
	Report struct {
		From      Member     `cbor:"1,keyasint"`
		Sightings []Sighting `cbor:"2,keyasint"`
	}

	// Cluster is one host's view of all hosts.
	Cluster struct {
		self    Member
		seeds   []netip.AddrPort
		random  *rand.Rand
		members map[string]*member
		// sites are the data centres of the members, by address.
		sites map[netip.AddrPort]string
		tried map[netip.AddrPort]time.Time
		// most is the largest number of hosts seen lately, self included.
		most   int
		mostAt time.Time
		heard  bool
		// collector is the host that this one reports to, since collectorSince.
		collector      string
		collectorSince time.Time
		// deaf are hosts that were passed over as collectors, and until when.
		deaf map[string]time.Time
	}

	member struct {
		Member
		heard   time.Time
		changed time.Time
		// direct is when the host itself was heard.
		direct time.Time
	}
)

// New returns the view of a host that has heard of no other.
func New(self Member, seeds []netip.AddrPort, random *rand.Rand) *Cluster {
	return &Cluster{self: self, seeds: seeds, random: random, members: map[string]*member{}, sites: map[netip.AddrPort]string{}, tried: map[netip.AddrPort]time.Time{}, deaf: map[string]time.Time{}}
}

// Self returns what this host says of itself.
func (c *Cluster) Self() Member { return c.self }

// SetState changes what this host says of itself.
func (c *Cluster) SetState(s State) { c.self.State = s }

// SetSeeds replaces the seed addresses.
func (c *Cluster) SetSeeds(seeds []netip.AddrPort) { c.seeds = seeds }

// Receive takes in a report and returns the hosts that are new or changed their state.
func (c *Cluster) Receive(now time.Time, r Report) []Member {
	var changed []Member
	if c.learn(now, r.From, now, true) {
		changed = append(changed, r.From)
	}
	for _, s := range r.Sightings {
		if s.Age >= 0 && s.Age < c.silence() && c.learn(now, s.Member, now.Add(-s.Age), false) {
			changed = append(changed, s.Member)
		}
	}
	return changed
}

// learn takes in what a host says of itself, directly or by way of a peer. A start is told from another by when it was
// heard: incarnations come from clocks that may have been set back.
func (c *Cluster) learn(now time.Time, m Member, heard time.Time, direct bool) bool {
	if m.Name == c.self.Name || m.Name == "" {
		return false
	}
	c.heard = true
	old, known := c.members[m.Name]
	if known && m.Incarnation == old.Incarnation && m.State < old.State {
		return false
	}
	if known && m.Incarnation != old.Incarnation && !heard.After(old.heard) {
		return false
	}
	changed := !known || old.Incarnation != m.Incarnation || old.State != m.State || now.Sub(old.heard) > c.silence()
	updated := &member{Member: m, heard: heard, changed: now}
	if known {
		updated.direct = old.direct
	}
	if direct {
		updated.direct = now
		delete(c.deaf, m.Name)
	}
	if known && old.heard.After(heard) {
		updated.heard = old.heard
	}
	if !changed {
		updated.changed = old.changed
	}
	c.members[m.Name] = updated
	c.sites[m.Address] = m.DataCentre
	if n := 1 + len(c.members); n > c.most {
		c.most, c.mostAt = n, now
	}
	return changed
}

// silence returns how long a host may not be heard of.
func (c *Cluster) silence() time.Duration {
	if len(c.members) > smallFleet {
		return LongSilence
	}
	return Silence
}

// Alive returns the hosts heard of lately, without this one, sorted by name.
func (c *Cluster) Alive(now time.Time) []Member {
	var alive []Member
	for _, m := range c.members {
		if now.Sub(m.heard) <= c.silence() {
			alive = append(alive, m.Member)
		}
	}
	slices.SortFunc(alive, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
	return alive
}

// Report returns what this host tells its peers.
func (c *Cluster) Report(now time.Time) Report {
	r := Report{From: c.self}
	alive := make([]*member, 0, len(c.members))
	for _, m := range c.members {
		if now.Sub(m.heard) <= c.silence() {
			alive = append(alive, m)
		}
	}
	// The random order gives each host its turn; the sort before makes it depend on the seed only.
	slices.SortFunc(alive, func(a, b *member) int { return strings.Compare(a.Name, b.Name) })
	c.random.Shuffle(len(alive), func(i, j int) { alive[i], alive[j] = alive[j], alive[i] })
	slices.SortStableFunc(alive, func(a, b *member) int { return cmp.Compare(c.rank(now, a), c.rank(now, b)) })
	for _, m := range alive[:min(len(alive), maxSightings)] {
		r.Sightings = append(r.Sightings, Sighting{Member: m.Member, Age: now.Sub(m.heard)})
	}
	return r
}

// rank puts hosts whose state has just changed before the others.
func (c *Cluster) rank(now time.Time, m *member) int {
	if now.Sub(m.changed) < news {
		return 0
	}
	return 1
}

// Recipients returns the addresses to which this host reports now; call it each Interval.
func (c *Cluster) Recipients(now time.Time) []netip.AddrPort {
	var near, far, retried []netip.AddrPort
	known := map[netip.AddrPort]bool{c.self.Address: true}
	for _, m := range c.members {
		switch silent := now.Sub(m.heard); {
		case silent > forget:
			delete(c.members, m.Name)
			delete(c.sites, m.Address)
			continue
		case silent > c.silence():
			if c.due(now, m.Address) {
				retried = append(retried, m.Address)
			}
		case m.DataCentre == c.self.DataCentre:
			near = append(near, m.Address)
		default:
			far = append(far, m.Address)
		}
		known[m.Address] = true
	}
	to := append(c.sample(near, nearFanout), c.sample(far, farFanout)...)
	to = append(to, c.sample(retried, nearFanout)...)
	for _, seed := range c.seeds {
		if !known[seed] && c.due(now, seed) {
			to = append(to, seed)
		}
	}
	return to
}

// sample returns up to n of the addresses.
func (c *Cluster) sample(addresses []netip.AddrPort, n int) []netip.AddrPort {
	slices.SortFunc(addresses, compareAddresses)
	c.random.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	return addresses[:min(len(addresses), n)]
}

// Collector returns the host that this one reports to; it may be this host itself.
func (c *Cluster) Collector(now time.Time) Member {
	for _, m := range c.site(now, c.self.DataCentre) {
		if m.Name == c.self.Name {
			break
		}
		if until, deaf := c.deaf[m.Name]; deaf && now.Before(until) {
			continue
		}
		if c.collector != m.Name {
			c.collector, c.collectorSince = m.Name, now
		}
		if now.Sub(c.collectorSince) > Silence && now.Sub(c.members[m.Name].direct) > Silence {
			c.deaf[m.Name] = now.Add(LongSilence)
			continue
		}
		return m
	}
	c.collector = c.self.Name
	return c.self
}

// Placers returns the hosts that choose targets for the fleet, in the order in which they are asked: those that hear of
// all loads in the first data centre by name, and then those of the next.
func (c *Cluster) Placers(now time.Time) []Member {
	sites := map[string]bool{c.self.DataCentre: true}
	for _, m := range c.Alive(now) {
		sites[m.DataCentre] = true
	}
	var placers []Member
	for _, site := range slices.Sorted(maps.Keys(sites)) {
		hosts := c.site(now, site)
		placers = append(placers, hosts[:min(len(hosts), relays)]...)
	}
	return placers
}

// Relays returns the hosts of the other data centres that are told what their collectors should know.
func (c *Cluster) Relays(now time.Time) []Member {
	sites := map[string]bool{}
	for _, m := range c.Alive(now) {
		sites[m.DataCentre] = true
	}
	delete(sites, c.self.DataCentre)
	var to []Member
	for _, site := range slices.Sorted(maps.Keys(sites)) {
		hosts := c.site(now, site)
		to = append(to, hosts[:min(len(hosts), relays)]...)
	}
	return to
}

// Near returns the other hosts of this data centre that were heard of lately, sorted by name.
func (c *Cluster) Near(now time.Time) []Member {
	return slices.DeleteFunc(c.site(now, c.self.DataCentre), func(m Member) bool { return m.Name == c.self.Name })
}

// Rank returns how many hosts of this data centre come before this one.
func (c *Cluster) Rank(now time.Time) int {
	return slices.IndexFunc(c.site(now, c.self.DataCentre), func(m Member) bool { return m.Name == c.self.Name })
}

// site returns the hosts of a data centre that may be its collector, sorted by name. Hosts that stop come last.
func (c *Cluster) site(now time.Time, dataCentre string) []Member {
	hosts := slices.DeleteFunc(append(c.Alive(now), c.self), func(m Member) bool { return m.DataCentre != dataCentre })
	slices.SortFunc(hosts, func(a, b Member) int {
		if stops := a.State == Stopping; stops != (b.State == Stopping) {
			if stops {
				return 1
			}
			return -1
		}
		return strings.Compare(a.Name, b.Name)
	})
	return hosts
}

// Far tells whether an address is of a host that is known to be in another data centre.
func (c *Cluster) Far(address netip.AddrPort) bool {
	site, known := c.sites[address]
	return known && site != c.self.DataCentre
}

// due tells whether an address that does not answer may be tried again.
func (c *Cluster) due(now time.Time, address netip.AddrPort) bool {
	if at, tried := c.tried[address]; tried && now.Sub(at) < retryInterval && c.heard {
		return false
	}
	c.tried[address] = now
	return true
}

// Sharers returns how many hosts divide a limit. It falls only slowly: a host that hears nobody is cut off, and the
// others go on.
func (c *Cluster) Sharers(now time.Time) int {
	if !c.heard {
		return sharersFloor
	}
	if n := 1 + len(c.Alive(now)); n >= c.most || now.Sub(c.mostAt) > sharersMemory {
		c.most, c.mostAt = n, now
	}
	return c.most
}

func compareAddresses(a, b netip.AddrPort) int {
	if n := a.Addr().Compare(b.Addr()); n != 0 {
		return n
	}
	return cmp.Compare(a.Port(), b.Port())
}
