// Package ushercluster maintains one host's view of the other hosts.
//
// Hosts find each other through a few seed addresses and then by gossip: several times a second each host sends a
// Report to a few others, and a report names further hosts with their latest known beats. A beat says for how long its host has been
// running, by that host's own clock, so it does not matter how long a report was on its way or waited for a process that
// stood still: each host maps the beats of another one to its own time by those that arrived fastest. There is no
// consensus. A host that has not been heard of for some time counts as gone, and one that announces that it is stopping
// is skipped at once. Hosts that are gone are still contacted now and then, so that the parts of a partitioned fleet
// find each other again.
//
// In a large fleet a report describes only few hosts in full. The others are listed in Digest by an ID of their
// incarnation, with their beats; a host that does not know an ID asks for it in its next reports.
//
// In each data centre the host with the largest capacity, and among equal ones the first by name, is the collector: the
// others report to it, and it sends them a summary of the fleet. Therefore the traffic of a host does not grow with the fleet, and little of it leaves the data centre.
// Each host decides for itself to skip a collector that it does not hear; two collectors at the same time do no harm.
//
// A Cluster does no I/O and reads no clock. Its times must be those of a steady clock that also counts the time in which the machine is
// suspended. It is not safe for concurrent use.
//
// # Usage
//
//	c := ushercluster.New(self, seeds, random)
//	local, remote := c.Recipients(now)
//	send(c.Report(now), local...)
//	send(c.DataCentreReport(now), remote...)
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
	// Starting hosts do not accept requests yet.
	Starting State = iota
	// Serving hosts accept requests.
	Serving
	// Stopping hosts only finish requests in progress.
	Stopping

	// ReportInterval is the time between two reports of a host to the same peer in a small fleet. It bounds the age of
	// other hosts' loads.
	ReportInterval = 250 * time.Millisecond
	// FailureTimeout is how long a host may not be heard of before it counts as gone. It spans four reports, so that a
	// single lost datagram does not remove a host.
	FailureTimeout = 4*ReportInterval + ReportInterval/2
	// IndirectFailureTimeout replaces FailureTimeout in fleets where most hosts are heard of only through others.
	IndirectFailureTimeout = 4 * FailureTimeout
	// changePriorityPeriod is how long a change of a host's state takes precedence in reports.
	changePriorityPeriod = 2 * time.Second
	// removalTimeout is how long a host that is gone is still contacted.
	removalTimeout = 2 * time.Minute
	// retryInterval is the time between attempts to contact a host that is gone or a seed that never answered.
	retryInterval = time.Second
	// localFanout is the number of hosts in the same data centre to which each host reports in each round. remoteFanout
	// is the number of hosts in other data centres to which all hosts of a data centre together report, so that the
	// traffic between data centres does not grow with the number of hosts.
	localFanout  = 3
	remoteFanout = 3
	// smallFleet is the number of other hosts up to which all of them are heard of within FailureTimeout.
	smallFleet = 10
	// candidatesPerDataCentre is how many hosts of another data centre are sent what its collector should know, in case
	// the first of them has just failed.
	candidatesPerDataCentre = 2
	// maxPeers bounds the hosts described in full in a report, so that it fits a datagram.
	maxPeers = 12
	// initialLimitDivisor is the number of hosts assumed to share limits until a peer is heard.
	initialLimitDivisor = 9
	// limitDivisorRetention is how long the largest number of hosts seen is used to divide limits.
	limitDivisorRetention = time.Minute
)

type (
	// State is a host's lifecycle state. It determines whether the host accepts requests.
	State uint8

	// Member is a host's description of itself.
	Member struct {
		Name       string `cbor:"1,keyasint"`
		DataCentre string `cbor:"2,keyasint"`
		// Address is the address for other hosts.
		Address netip.AddrPort `cbor:"3,keyasint"`
		// CallerAddress is the address for callers.
		CallerAddress netip.AddrPort `cbor:"4,keyasint"`
		// Incarnation increases with each start.
		Incarnation int64 `cbor:"5,keyasint"`
		State       State `cbor:"6,keyasint"`
		// Capacity stays the same for an incarnation.
		Capacity Capacity `cbor:"7,keyasint,omitzero"`
	}

	// PeerInfo describes a host that the sender of a report has heard of. Age is the time since then; it counts only for recipients that
	// have heard no beat of the host.
	PeerInfo struct {
		Member Member        `cbor:"1,keyasint"`
		Age    time.Duration `cbor:"2,keyasint"`
		// Beat is the latest known beat of the host. Hosts of older versions have none.
		Beat uint64 `cbor:"3,keyasint,omitempty"`
	}

	// Report is a gossip message about hosts.
	Report struct {
		From  Member     `cbor:"1,keyasint"`
		Peers []PeerInfo `cbor:"2,keyasint"`
		// Beat is that of the sender when it made the report. Older versions have none, and use number 3 for ages of hosts.
		Beat uint64 `cbor:"6,keyasint,omitempty"`
		// Digest has six bytes for each host: its incarnation ID and the lowest bits of its beat.
		Digest []byte `cbor:"7,keyasint,omitempty"`
		// UnknownIDs lists incarnation IDs that the sender does not know.
		UnknownIDs []uint32 `cbor:"4,keyasint,omitempty"`
		// Pressures has six bytes for each host that has lately been under pressure: its incarnation ID, the level, and the
		// time since it said so, in units of ageUnit.
		Pressures []byte `cbor:"5,keyasint,omitempty"`
	}

	// Cluster is one host's view of all hosts.
	Cluster struct {
		self    Member
		seeds   []netip.AddrPort
		random  *rand.Rand
		members map[string]*member
		// byName has the members sorted by name, byRank in the order in which they become collectors; nil if the set of
		// members or a capacity has changed since.
		byName []*member
		byRank []*member
		// dataCentres maps the members' addresses to their data centres.
		dataCentres map[netip.AddrPort]string
		// namesByID maps incarnation IDs to the members' names.
		namesByID map[uint32]string
		selfID    uint32
		// pressure is the level of this host, pressedAt when it was last above zero.
		pressure  uint8
		pressedAt time.Time
		// newRemoteHosts are hosts of other data centres that have just sent their first report and are not introduced yet.
		newRemoteHosts []Member
		// unknownIDs has the incarnation IDs that are not known, and since when.
		unknownIDs map[uint32]time.Time
		lastTried  map[netip.AddrPort]time.Time
		// maxHosts is the largest number of hosts seen recently, including this one.
		maxHosts   int
		maxHostsAt time.Time
		// place is the place of this host among placedAmong hosts by name.
		place       int
		placedAmong int
		heardAny    bool
		// implausible counts the beats ignored since the last call of TakeLost.
		implausible int
		// startedAt is when this host's beat was zero.
		startedAt time.Time
		// collector is the host to which this one reports, since collectorSince.
		collector      string
		collectorSince time.Time
		// skippedCollectors has the hosts that are skipped as collectors, and until when.
		skippedCollectors map[string]time.Time
	}

	member struct {
		Member
		id uint32
		// replaced is the incarnation that this one has replaced. What is still told of it is outdated.
		replaced int64
		// beat is the latest one heard of, clock maps it to lastHeard.
		beat  uint64
		clock beatClock
		// requestedAt is when a peer last asked for the host's description.
		requestedAt time.Time
		lastHeard   time.Time
		changedAt   time.Time
		// lastDirect is when the latest message that was received of the host itself was sent.
		lastDirect time.Time
		// pressure is the level that the host named at pressureAt.
		pressure   uint8
		pressureAt time.Time
		// lost reports that TakeLost has returned the host since it was last heard.
		lost bool
	}
)

// New returns the view of a host that has not heard of any other.
func New(self Member, seeds []netip.AddrPort, random *rand.Rand) *Cluster {
	return &Cluster{
		self: self, seeds: seeds, random: random, selfID: incarnationID(self), members: map[string]*member{}, dataCentres: map[netip.AddrPort]string{},
		namesByID: map[uint32]string{}, unknownIDs: map[uint32]time.Time{}, lastTried: map[netip.AddrPort]time.Time{}, skippedCollectors: map[string]time.Time{},
	}
}

// Self returns this host's description of itself.
func (c *Cluster) Self() Member { return c.self }

// SetState changes the state of this host.
func (c *Cluster) SetState(s State) { c.self.State = s }

// SetSeeds replaces the seed addresses.
func (c *Cluster) SetSeeds(seeds []netip.AddrPort) { c.seeds = seeds }

// Receive processes a report and returns the hosts that are new, recovered or have changed their state.
func (c *Cluster) Receive(now time.Time, r Report) []Member {
	var changed []Member
	known := c.members[r.From.Name]
	heardBefore := known != nil && known.Incarnation == r.From.Incarnation && !known.lastDirect.IsZero()
	if c.update(now, PeerInfo{Member: r.From, Beat: r.Beat}, now) {
		changed = append(changed, r.From)
	}
	sent := c.SentAt(now, r)
	c.recordDirect(now, r.From, sent)
	if !heardBefore && r.From.DataCentre != c.self.DataCentre && len(c.newRemoteHosts) < maxNewRemoteHosts {
		c.newRemoteHosts = append(c.newRemoteHosts, r.From)
	}
	for _, p := range r.Peers {
		if p.Age >= 0 && p.Age < c.failureTimeout() && c.update(now, p, sent.Add(-p.Age)) {
			changed = append(changed, p.Member)
		}
	}
	c.receiveUnknownIDs(now, r.UnknownIDs)
	c.receivePressures(sent, r.Pressures)
	return append(changed, c.receiveDigest(now, r.Digest)...)
}

// recordDirect records that a host itself has sent a message.
func (c *Cluster) recordDirect(now time.Time, from Member, sent time.Time) {
	m, known := c.members[from.Name]
	if !known || m.Incarnation != from.Incarnation || sent.Before(m.lastDirect) {
		return
	}
	m.lastDirect = sent
	if now.Sub(sent) <= FailureTimeout {
		delete(c.skippedCollectors, from.Name)
	}
}

// update processes what is told of a host by itself or by a peer, and reports whether the host is new, has recovered or has changed. heard is
// when the host was heard of if no beat of it is known here. A newer incarnation is recognised by the time at which it was heard, not by
// its number: incarnations are derived from clocks that may have been set back.
func (c *Cluster) update(now time.Time, p PeerInfo, heard time.Time) bool {
	m := p.Member
	if m.Name == c.self.Name || m.Name == "" {
		return false
	}
	c.heardAny = true
	old, known := c.members[m.Name]
	same := known && m.Incarnation == old.Incarnation
	switch {
	case same && m.State < old.State:
		return false
	case !same && now.Sub(heard) > c.failureTimeout():
		return false
	case known && !same && (!heard.After(old.lastHeard) || m.Incarnation == old.replaced):
		return false
	}
	if same && m.Capacity == (Capacity{}) {
		// Hosts that do not know of capacities pass on descriptions without them.
		m.Capacity = old.Capacity
	}
	updated := &member{Member: m, id: incarnationID(m), lastHeard: heard, changedAt: now}
	if known {
		delete(c.namesByID, old.id)
		updated.requestedAt, updated.replaced = old.requestedAt, old.Incarnation
	}
	if same {
		updated.replaced, updated.beat, updated.clock, updated.lastDirect = old.replaced, old.beat, old.clock, old.lastDirect
		updated.pressure, updated.pressureAt = old.pressure, old.pressureAt
		if p.Beat > 0 || old.beat > 0 || old.lastHeard.After(heard) {
			updated.lastHeard = old.lastHeard
		}
	}
	if updated.beat > 0 {
		heard = now
	}
	c.hear(updated, now, p.Beat, heard)
	recovered := same && now.Sub(old.lastHeard) > c.failureTimeout() && now.Sub(updated.lastHeard) <= c.failureTimeout()
	updated.lost = same && old.lost && !recovered
	changed := !same || old.State != m.State || recovered
	if !changed {
		updated.changedAt = old.changedAt
	}
	c.namesByID[updated.id] = m.Name
	if !known || old.Capacity != m.Capacity {
		c.byName, c.byRank = nil, nil
	}
	if known {
		*old = *updated
	} else {
		c.members[m.Name] = updated
	}
	c.dataCentres[m.Address] = m.DataCentre
	if n := 1 + len(c.members); n > c.maxHosts {
		c.maxHosts, c.maxHostsAt = n, now
	}
	return changed
}

// failureTimeout returns how long a host may not be heard of before it counts as gone.
func (c *Cluster) failureTimeout() time.Duration {
	if len(c.members) > smallFleet {
		return IndirectFailureTimeout
	}
	return FailureTimeout
}

// LastDirect returns when the latest message that was received of a host itself was sent.
func (c *Cluster) LastDirect(name string) time.Time {
	if m, known := c.members[name]; known {
		return m.lastDirect
	}
	return time.Time{}
}

// TakeLost returns the hosts that have come to count as gone since the last call, and how many beats were ignored since as they
// cannot be.
func (c *Cluster) TakeLost(now time.Time) (lost []Member, implausible int) {
	for _, m := range c.sorted() {
		if !m.lost && now.Sub(m.lastHeard) > c.failureTimeout() {
			m.lost = true
			lost = append(lost, m.Member)
		}
	}
	implausible, c.implausible = c.implausible, 0
	return lost, implausible
}

// Alive returns the hosts heard of recently, without this one, sorted by name.
func (c *Cluster) Alive(now time.Time) []Member {
	alive := make([]Member, 0, len(c.members))
	for _, m := range c.sorted() {
		if now.Sub(m.lastHeard) <= c.failureTimeout() {
			alive = append(alive, m.Member)
		}
	}
	return alive
}

// sorted returns the members sorted by name.
func (c *Cluster) sorted() []*member {
	if c.byName == nil {
		c.byName = slices.SortedFunc(maps.Values(c.members), func(a, b *member) int { return strings.Compare(a.Name, b.Name) })
	}
	return c.byName
}

// Report returns the report whose Digest covers all hosts.
func (c *Cluster) Report(now time.Time) Report {
	return c.report(now, func(*member) bool { return true })
}

// priority returns 0 for hosts whose state has just changed and those that a peer asked for, and 1 for the others.
// Lower values come first.
func (c *Cluster) priority(now time.Time, m *member) int {
	if now.Sub(m.changedAt) < changePriorityPeriod || now.Sub(m.requestedAt) < requestLifetime {
		return 0
	}
	return 1
}

// Recipients returns the addresses to report to in this round, with those of other data centres in remote. It must be
// called every ReportInterval.
func (c *Cluster) Recipients(now time.Time) (local, remote []netip.AddrPort) {
	var retried []netip.AddrPort
	known := map[netip.AddrPort]bool{c.self.Address: true}
	for _, m := range c.members {
		switch sinceHeard := now.Sub(m.lastHeard); {
		case sinceHeard > removalTimeout:
			delete(c.members, m.Name)
			c.byName, c.byRank = nil, nil
			delete(c.dataCentres, m.Address)
			delete(c.namesByID, m.id)
			continue
		case sinceHeard > c.failureTimeout():
			if c.mayRetry(now, m.Address) {
				retried = append(retried, m.Address)
			}
		case m.DataCentre == c.self.DataCentre:
			local = append(local, m.Address)
		default:
			remote = append(remote, m.Address)
		}
		known[m.Address] = true
	}
	if share := float64(remoteFanout) / float64(1+len(local)); c.random.Float64() < share {
		remote = c.sample(remote, 1)
	} else {
		remote = nil
	}
	local = append(c.sample(local, localFanout), c.sample(retried, localFanout)...)
	for _, seed := range c.seeds {
		if !known[seed] && c.mayRetry(now, seed) {
			local = append(local, seed)
		}
	}
	return local, remote
}

// sample returns up to n of the addresses, chosen at random.
func (c *Cluster) sample(addresses []netip.AddrPort, n int) []netip.AddrPort {
	slices.SortFunc(addresses, compareAddresses)
	c.random.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	return addresses[:min(len(addresses), n)]
}

// IsRemote reports whether an address belongs to a host known to be in another data centre.
func (c *Cluster) IsRemote(address netip.AddrPort) bool {
	dataCentre, known := c.dataCentres[address]
	return known && dataCentre != c.self.DataCentre
}

// mayRetry reports whether an address that does not answer may be contacted again, and records the attempt.
func (c *Cluster) mayRetry(now time.Time, address netip.AddrPort) bool {
	if at, tried := c.lastTried[address]; tried && now.Sub(at) < retryInterval && c.heardAny {
		return false
	}
	c.lastTried[address] = now
	return true
}

func compareAddresses(a, b netip.AddrPort) int {
	if n := a.Addr().Compare(b.Addr()); n != 0 {
		return n
	}
	return cmp.Compare(a.Port(), b.Port())
}
