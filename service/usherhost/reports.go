package usherhost

import (
	"maps"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/samphireusher/samphireusher/pkg/ushercatalog"
	"github.com/samphireusher/samphireusher/pkg/ushercluster"
	"github.com/samphireusher/samphireusher/pkg/usherpool"
)

const (
	// sourceHost, sourceDataCentre and sourceFleet are the prefixes of the source names under which the pool keeps
	// loads.
	sourceHost       = "host "
	sourceDataCentre = "data centre "
	sourceFleet      = "fleet"
)

// learned is what a peer's report changes.
type learned struct {
	// delay is how long the report was on its way, or waited for this process.
	delay time.Duration
	hosts []ushercluster.Member
	// leaving are the targets newly reported as leaving.
	leaving []string
	// unlimited are the targets whose limits have ended, limitEnds reports whether any end is new to this host.
	unlimited []ushercatalog.Target
	limitEnds bool
}

// isLate reports whether a report waited for so long that what it says of the moment is outdated.
func (l learned) isLate() bool { return l.delay >= standstillTime }

// takeLost returns the hosts that have become unheard since the last call, and the number of impossible beats ignored since.
func (s *sharedState) takeLost() (lost []ushercluster.Member, implausible int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	// Hosts that are forgotten may come back under other names.
	maps.DeleteFunc(s.peerStatuses, func(name string, _ peerStatus) bool { return s.cluster.LastDirect(name).IsZero() })
	return s.cluster.TakeLost(s.clock.now())
}

func (s *sharedState) localPeers() []ushercluster.Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cluster.LocalPeers(s.clock.now())
}

// changeRecipients returns the hosts to which the collector that has learned of a change passes it on.
func (s *sharedState) changeRecipients() []ushercluster.Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.now()
	return slices.Concat(s.cluster.LocalPeers(now), s.cluster.RemoteCollectors(now), s.cluster.UnheardCollectors(now))
}

// areRemote reports which of the addresses belong to hosts in other data centres.
func (s *sharedState) areRemote(addresses []netip.AddrPort) []bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	remote := make([]bool, len(addresses))
	for i, a := range addresses {
		remote[i] = s.cluster.IsRemote(a)
	}
	return remote
}

// isCollector reports whether this host is the collector of its data centre.
func (s *sharedState) isCollector() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cluster.Collector(s.clock.now()).Name == s.cluster.Self().Name
}

// statusDatagram returns the datagram with the status that is sent to every peer.
func (s *sharedState) statusDatagram() datagramWire {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.newStatusDatagram()
}

// newStatusDatagram is statusDatagram for callers that hold the lock.
func (s *sharedState) newStatusDatagram() datagramWire {
	now := s.clock.now()
	d := datagramWire{
		Version: protocolVersion, Report: s.cluster.Status(now), Revision: s.catalog.Revision(), StoreAge: now.Sub(s.lastStoreResponse),
		StoreFailing: s.storeFailing, Leaving: s.currentLeavingNotices(time.Now()), LimitEnds: s.currentLimitEnds(time.Now()),
	}
	if age := now.Sub(s.contactLostAt); age < staleAfter {
		d.StoreContactLostAge = &age
	}
	if !s.latestContact.at.IsZero() {
		d.StoreContactHost, d.StoreContactAge = s.latestContact.host, now.Sub(s.latestContact.at)
	}
	return d
}

// nextReports returns the reports that are due to be sent to peers.
func (s *sharedState) nextReports(urgent bool) []outgoingDatagram {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.now()
	base := s.newStatusDatagram()
	base.Report = s.cluster.Report(now)
	collector := s.cluster.Collector(now)
	var out []outgoingDatagram
	if collector.Name == s.cluster.Self().Name {
		out = s.collectorReports(now, base, urgent)
	} else {
		s.dataCentreLoadDeltas, s.fleetLoadDeltas = usherpool.DeltaTracker{}, usherpool.DeltaTracker{}
		d := base
		s.reportedLoads = s.pool.OwnLoads()
		d.Loads, d.Urgent = s.reportedLoads, urgent
		out = append(out, outgoingDatagram{to: []netip.AddrPort{collector.Address}, datagram: d})
	}
	collectors := []netip.AddrPort{collector.Address}
	if collector.Name == s.cluster.Self().Name {
		collectors = addresses(slices.Concat(s.cluster.LocalPeers(now), s.cluster.RemoteCollectors(now)))
	}
	if urgent && base.Report.From.State != ushercluster.Stopping {
		return append(out, s.suspicionReports(time.Now(), true, nil, collectors)...)
	}
	local, remote := s.cluster.Recipients(now)
	out = append(out, outgoingDatagram{to: local, datagram: base})
	out = append(out, s.callReports(time.Now(), collector)...)
	out = append(out, s.suspicionReports(time.Now(), false, slices.Concat(local, remote), collectors)...)
	if len(remote) > 0 {
		d := base
		d.Report = s.cluster.DataCentreReport(now)
		out = append(out, outgoingDatagram{to: remote, datagram: d})
	}
	for _, introduction := range s.cluster.Introductions(now) {
		d := base
		d.Report = introduction.Report
		out = append(out, outgoingDatagram{to: []netip.AddrPort{introduction.To}, datagram: d})
	}
	return out
}

// collectorReports returns the reports of a collector to the hosts of its data centre and to the collectors of others.
func (s *sharedState) collectorReports(now time.Time, base datagramWire, urgent bool) []outgoingDatagram {
	s.pool.DropPeerLoads(func(source string) bool { return source == sourceFleet })
	remote := base
	remote.Report = s.cluster.DataCentreReport(now)
	fleet := s.fleetLoadDeltas.Next(s.pool.TotalLoads(time.Now(), func(string) bool { return true }))
	local := s.dataCentreLoadDeltas.Next(s.pool.TotalLoads(time.Now(), func(source string) bool { return strings.HasPrefix(source, sourceHost) }))
	localPeers, remoteCollectors := addresses(s.cluster.LocalPeers(now)), addresses(s.cluster.RemoteCollectors(now))
	if urgent {
		remoteCollectors = append(remoteCollectors, addresses(s.cluster.UnheardCollectors(now))...)
	}
	out := s.batchReports(base, localPeers, fleet, func(d *datagramWire, loads map[string]usherpool.Load) { d.FleetLoads = loads })
	return append(out, s.batchReports(remote, remoteCollectors, local, func(d *datagramWire, loads map[string]usherpool.Load) { d.DataCentreLoads = loads })...)
}

// batchReports returns a report with the first batch of loads, and further datagrams with the other batches.
func (s *sharedState) batchReports(report datagramWire, to []netip.AddrPort, loads []map[string]usherpool.Load, set func(*datagramWire, map[string]usherpool.Load)) []outgoingDatagram {
	out := []outgoingDatagram{{to: to, datagram: report}}
	for i, batch := range loads {
		if i > 0 {
			more := s.newStatusDatagram()
			out = append(out, outgoingDatagram{to: to, datagram: more})
		}
		set(&out[i].datagram, batch)
	}
	return out
}

// isOutdated reports whether a message was sent too long ago to be answered or learned from.
func (s *sharedState) isOutdated(r ushercluster.Report) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.now()
	return learned{delay: now.Sub(s.cluster.SentAt(now, r))}.isLate()
}

// applyDatagram merges a peer's report.
func (s *sharedState) applyDatagram(d datagramWire) (l learned) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now, received := time.Now(), s.clock.now()
	from := d.Report.From
	if from.Name == s.cluster.Self().Name {
		return l
	}
	l.hosts = s.cluster.Receive(received, d.Report)
	// All ages count from when the report was sent, as it may have waited.
	sent := s.cluster.SentAt(received, d.Report)
	l.delay = received.Sub(sent)
	s.peerStatuses[from.Name] = peerStatus{revision: d.Revision, lastStoreResponse: sent.Add(-d.StoreAge), storeFailing: d.StoreFailing}
	s.mergeStoreContact(sent, d)
	if !l.isLate() {
		s.mergeLoads(now, d)
	}
	if d.Revision > s.catalog.Revision() {
		s.recordBehind(now)
	}
	if d.StoreFailing {
		notify(s.readerFailed)
	}
	if len(l.hosts) > 0 {
		s.updatePool(now)
	}
	l.leaving = s.mergeLeavingNotices(now.Add(-l.delay), d.Leaving)
	l.unlimited, l.limitEnds = s.mergeLimitEnds(now.Add(-l.delay), d.LimitEnds)
	return l
}

// mergeStoreContact updates the latest known response of the store from a report with the time at which it was sent.
func (s *sharedState) mergeStoreContact(sent time.Time, d datagramWire) {
	if d.StoreContactLostAge != nil && *d.StoreContactLostAge >= 0 {
		s.invalidateContact(sent.Add(-*d.StoreContactLostAge))
	}
	if d.StoreFailing && s.latestContact.host == d.Report.From.Name {
		s.invalidateContact(sent)
	}
	if !d.StoreFailing {
		s.recordContact(storeContact{host: d.Report.From.Name, at: sent.Add(-d.StoreAge)})
	}
	if r, known := s.peerStatuses[d.StoreContactHost]; d.StoreContactHost != "" && (!known || !r.storeFailing) {
		s.recordContact(storeContact{host: d.StoreContactHost, at: sent.Add(-d.StoreContactAge)})
	}
}

// invalidateContact discards responses of the store up to a time. Later ones count, so that a host which has taken over
// reading is not overlooked.
func (s *sharedState) invalidateContact(at time.Time) {
	if at.After(s.contactLostAt) {
		s.contactLostAt = at
	}
	if !s.latestContact.at.After(s.contactLostAt) {
		s.latestContact = storeContact{}
	}
}

func (s *sharedState) recordContact(contact storeContact) {
	if contact.at.After(s.latestContact.at) && contact.at.After(s.contactLostAt) {
		s.latestContact = contact
	}
}

// mergeLoads merges the loads that a peer reports.
func (s *sharedState) mergeLoads(now time.Time, d datagramWire) {
	from := d.Report.From
	if d.Loads != nil {
		s.pool.SetPeerLoads(now, sourceHost+from.Name, d.Loads)
	}
	if d.DataCentreLoads != nil {
		s.pool.MergePeerLoads(now, sourceDataCentre+from.DataCentre, d.DataCentreLoads)
	}
	if d.FleetLoads != nil && s.cluster.Collector(s.clock.now()).Name == from.Name {
		s.pool.DropPeerLoads(func(source string) bool { return source != sourceFleet })
		s.pool.MergePeerLoads(now, sourceFleet, usherpool.SubtractLoads(d.FleetLoads, s.reportedLoads))
	}
}

// changesAfter returns the known entries that changed after a revision.
func (s *sharedState) changesAfter(after uint64) catalogWire {
	s.mu.Lock()
	defer s.mu.Unlock()
	w := catalogWire{Version: protocolVersion, Revision: s.catalog.Revision()}
	for _, e := range s.catalog.Entries() {
		if e.Revision > after {
			w.Entries = append(w.Entries, e)
		}
	}
	return w
}
