// Package ushercluster tells one host which other hosts there are.
//
// Hosts find each other through a few seed addresses and then by gossip: each sends a Report to a few others several
// times a second, and a report names further hosts with the age at which they were last heard of. Nothing is agreed on;
// a host that is not heard of for a while counts as gone, and one that says it stops is passed over at once. Hosts that
// are gone are still tried now and then, so that the parts of a split fleet find each other again.
//
// In a fleet of many hosts a report names few of them in full. Present has the others by a mark of their start, with the age
// at which they were heard of; a host that does not know a mark asks for it with its next reports.
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
//	near, far := c.Recipients(now)
//	send(c.Report(now), near...)
//	send(c.DataCentreReport(now), far...)
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

	// ReportInterval is the time between two reports of a host to the same peer in a small fleet. It bounds how old the
	// loads of other hosts are.
	ReportInterval = 250 * time.Millisecond
	// FailureTimeout is how long a host is not heard of before it counts as gone: four reports, so that single lost datagrams
	// do not remove it.
	FailureTimeout = 4*ReportInterval + ReportInterval/2
	// IndirectFailureTimeout stands for it in fleets where most hosts are heard of by way of others only.
	IndirectFailureTimeout = 4 * FailureTimeout
	// news is how long a change of a host's state is told before all else.
	news = 2 * time.Second
	// forget is how long a host that is gone is still tried.
	forget = 2 * time.Minute
	// retryInterval is the time between tries to reach a host that is gone or a seed that never answered.
	retryInterval = time.Second
	// nearFanout is how many hosts of the own data centre get a report of each host in each round, and siteFanout how many
	// of other data centres get one of all hosts of a data centre together: what passes between data centres does not
	// grow with their hosts.
	nearFanout = 3
	siteFanout = 3
	// smallFleet is up to how many others all are heard of within FailureTimeout.
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
		// CallerAddress is where callers reach it.
		CallerAddress netip.AddrPort `cbor:"4,keyasint"`
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
		// Present has five bytes for each host: the mark of its start and the age at which it was heard of, in
		// presenceUnit.
		Present []byte `cbor:"3,keyasint,omitempty"`
		// Wanted has marks that the sender does not know.
		Wanted []uint32 `cbor:"4,keyasint,omitempty"`
	}

	// Cluster is one host's view of all hosts.
	Cluster struct {
		self    Member
		seeds   []netip.AddrPort
		random  *rand.Rand
		members map[string]*member
		// byName has the members in order; nil if they have changed since.
		byName []*member
		// sites are the data centres of the members, by address.
		sites map[netip.AddrPort]string
		// marks are the names of the members by the mark of their start.
		marks    map[uint32]string
		selfMark uint32
		// newcomers are hosts of other data centres that were heard for the first time.
		newcomers []Member
		// wanted are marks that are not known, and since when.
		wanted map[uint32]time.Time
		tried  map[netip.AddrPort]time.Time
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
		mark uint32
		// wanted is when a peer asked for the host.
		wanted  time.Time
		heard   time.Time
		changed time.Time
		// direct is when the host itself was heard.
		direct time.Time
	}
)

// New returns the view of a host that has heard of no other.
func New(self Member, seeds []netip.AddrPort, random *rand.Rand) *Cluster {
	return &Cluster{
		self: self, seeds: seeds, random: random, selfMark: mark(self), members: map[string]*member{}, sites: map[netip.AddrPort]string{},
		marks: map[uint32]string{}, wanted: map[uint32]time.Time{}, tried: map[netip.AddrPort]time.Time{}, deaf: map[string]time.Time{},
	}
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
	known := c.members[r.From.Name]
	met := known != nil && known.Incarnation == r.From.Incarnation && !known.direct.IsZero()
	if c.learn(now, r.From, now, true) {
		changed = append(changed, r.From)
	}
	if !met && r.From.DataCentre != c.self.DataCentre && len(c.newcomers) < maxNewcomers {
		c.newcomers = append(c.newcomers, r.From)
	}
	for _, s := range r.Sightings {
		if s.Age >= 0 && s.Age < c.silence() && c.learn(now, s.Member, now.Add(-s.Age), false) {
			changed = append(changed, s.Member)
		}
	}
	c.receiveWanted(now, r.Wanted)
	return append(changed, c.receivePresent(now, r.Present)...)
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
	updated := &member{Member: m, mark: mark(m), heard: heard, changed: now}
	if known {
		updated.wanted = old.wanted
		if m.Incarnation == old.Incarnation {
			updated.direct = old.direct
		}
		delete(c.marks, old.mark)
	}
	c.marks[updated.mark] = m.Name
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
	if known {
		*old = *updated
	} else {
		c.members[m.Name], c.byName = updated, nil
	}
	c.sites[m.Address] = m.DataCentre
	if n := 1 + len(c.members); n > c.most {
		c.most, c.mostAt = n, now
	}
	return changed
}

// silence returns how long a host may not be heard of.
func (c *Cluster) silence() time.Duration {
	if len(c.members) > smallFleet {
		return IndirectFailureTimeout
	}
	return FailureTimeout
}

// Alive returns the hosts heard of lately, without this one, sorted by name.
func (c *Cluster) Alive(now time.Time) []Member {
	alive := make([]Member, 0, len(c.members))
	for _, m := range c.sorted() {
		if now.Sub(m.heard) <= c.silence() {
			alive = append(alive, m.Member)
		}
	}
	return alive
}

// sorted returns the members by name.
func (c *Cluster) sorted() []*member {
	if c.byName == nil {
		c.byName = slices.SortedFunc(maps.Values(c.members), func(a, b *member) int { return strings.Compare(a.Name, b.Name) })
	}
	return c.byName
}

// Report returns what this host tells its peers.
func (c *Cluster) Report(now time.Time) Report {
	return c.report(now, func(*member) bool { return true })
}

// rank puts hosts whose state has just changed, and those that a peer asked for, before the others.
func (c *Cluster) rank(now time.Time, m *member) int {
	if now.Sub(m.changed) < news || now.Sub(m.wanted) < wantedLife {
		return 0
	}
	return 1
}

// Recipients returns the addresses to which this host reports now, those of other data centres apart; call it each
// ReportInterval.
func (c *Cluster) Recipients(now time.Time) (near, far []netip.AddrPort) {
	var retried []netip.AddrPort
	known := map[netip.AddrPort]bool{c.self.Address: true}
	for _, m := range c.members {
		switch silent := now.Sub(m.heard); {
		case silent > forget:
			delete(c.members, m.Name)
			c.byName = nil
			delete(c.sites, m.Address)
			delete(c.marks, m.mark)
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
	if share := float64(siteFanout) / float64(1+len(near)); c.random.Float64() < share {
		far = c.sample(far, 1)
	} else {
		far = nil
	}
	near = append(c.sample(near, nearFanout), c.sample(retried, nearFanout)...)
	for _, seed := range c.seeds {
		if !known[seed] && c.due(now, seed) {
			near = append(near, seed)
		}
	}
	return near, far
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
		if now.Sub(c.collectorSince) > FailureTimeout && now.Sub(c.members[m.Name].direct) > FailureTimeout {
			c.deaf[m.Name] = now.Add(IndirectFailureTimeout)
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
	return firstOfEach(c.bySite(now))
}

// RemoteCollectors returns the hosts of the other data centres that are told what their collectors should know.
func (c *Cluster) RemoteCollectors(now time.Time) []Member {
	sites := c.bySite(now)
	delete(sites, c.self.DataCentre)
	return firstOfEach(sites)
}

// firstOfEach returns the first hosts of each data centre, by the names of these.
func firstOfEach(sites map[string][]Member) []Member {
	var first []Member
	for _, site := range slices.Sorted(maps.Keys(sites)) {
		first = append(first, sites[site][:min(len(sites[site]), relays)]...)
	}
	return first
}

// LocalPeers returns the other hosts of this data centre that were heard of lately, sorted by name.
func (c *Cluster) LocalPeers(now time.Time) []Member {
	return slices.DeleteFunc(c.site(now, c.self.DataCentre), func(m Member) bool { return m.Name == c.self.Name })
}

// LocalRank returns how many hosts of this data centre come before this one.
func (c *Cluster) LocalRank(now time.Time) int {
	return slices.IndexFunc(c.site(now, c.self.DataCentre), func(m Member) bool { return m.Name == c.self.Name })
}

// site returns the hosts of a data centre that may be its collector, sorted by name. Hosts that stop come last.
func (c *Cluster) site(now time.Time, dataCentre string) []Member {
	return c.bySite(now)[dataCentre]
}

// bySite returns the hosts of each data centre that may be its collector, this one included, sorted by name. Hosts that
// stop come last.
func (c *Cluster) bySite(now time.Time) map[string][]Member {
	sites, stopping, placed := map[string][]Member{}, []Member(nil), false
	add := func(m Member) {
		if m.State == Stopping {
			stopping = append(stopping, m)
			return
		}
		sites[m.DataCentre] = append(sites[m.DataCentre], m)
	}
	for _, m := range c.sorted() {
		if !placed && m.Name > c.self.Name {
			placed = true
			add(c.self)
		}
		if now.Sub(m.heard) <= c.silence() {
			add(m.Member)
		}
	}
	if !placed {
		add(c.self)
	}
	for _, m := range stopping {
		sites[m.DataCentre] = append(sites[m.DataCentre], m)
	}
	return sites
}

// IsRemote tells whether an address is of a host that is known to be in another data centre.
func (c *Cluster) IsRemote(address netip.AddrPort) bool {
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

// LimitDivisor returns the number of hosts by which a fleet-wide limit is divided. It falls only slowly: a host that hears nobody is cut off, and the
// others go on.
func (c *Cluster) LimitDivisor(now time.Time) int {
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
