package usherhost

import (
	"net/netip"
	"strings"
	"time"

	"github.com/samphireusher/samphireusher/pkg/ushercluster"
	"github.com/samphireusher/samphireusher/pkg/usherpool"
)

const (
	// sourceHost, sourceSite and sourceFleet begin the names under which loads are kept.
	sourceHost  = "host "
	sourceSite  = "site "
	sourceFleet = "fleet"
)

func (c *core) near() []ushercluster.Member {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cluster.LocalPeers(time.Now())
}

func (c *core) relays() []ushercluster.Member {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cluster.RemoteCollectors(time.Now())
}

// far tells which of the addresses are of hosts in other data centres.
func (c *core) far(addresses []netip.AddrPort) []bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	far := make([]bool, len(addresses))
	for i, a := range addresses {
		far[i] = c.cluster.IsRemote(a)
	}
	return far
}

// collects tells whether this host is the collector of its data centre.
func (c *core) collects() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cluster.Collector(time.Now()).Name == c.cluster.Self().Name
}

// state returns what this host tells any peer.
func (c *core) state() datagramWire {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.stateAt(time.Now())
}

func (c *core) stateAt(now time.Time) datagramWire {
	d := datagramWire{
		Version: messageVersion, Report: ushercluster.Report{From: c.cluster.Self()}, Revision: c.catalog.Revision(), StoreAge: now.Sub(c.storeHeard),
		StoreFailing: c.storeFailing, Leaving: c.leavingNow(now),
	}
	if age := now.Sub(c.lost); age < staleAfter {
		d.Lost = &age
	}
	if !c.best.at.IsZero() {
		d.BestHost, d.BestAge = c.best.host, now.Sub(c.best.at)
	}
	return d
}

// reports returns what this host tells its peers now.
func (c *core) reports(urgent bool) []addressed {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	base := c.stateAt(now)
	base.Report = c.cluster.Report(now)
	collector := c.cluster.Collector(now)
	var out []addressed
	if collector.Name == c.cluster.Self().Name {
		out = c.collected(now, base)
	} else {
		c.toldSite, c.toldFleet = usherpool.DeltaTracker{}, usherpool.DeltaTracker{}
		d := base
		c.reported = c.pool.OwnLoads()
		d.Loads, d.Urgent = c.reported, urgent
		out = append(out, addressed{to: []netip.AddrPort{collector.Address}, datagram: d})
	}
	if urgent && base.Report.From.State != ushercluster.Stopping {
		return out
	}
	near, far := c.cluster.Recipients(now)
	out = append(out, addressed{to: near, datagram: base})
	if len(far) > 0 {
		d := base
		d.Report = c.cluster.DataCentreReport(now)
		out = append(out, addressed{to: far, datagram: d})
	}
	for _, g := range c.cluster.Introductions(now) {
		d := base
		d.Report = g.Report
		out = append(out, addressed{to: []netip.AddrPort{g.To}, datagram: d})
	}
	return out
}

// collected returns what a collector tells the hosts of its data centre, and the collectors of others.
func (c *core) collected(now time.Time, base datagramWire) []addressed {
	c.pool.DropPeerLoads(func(source string) bool { return source == sourceFleet })
	outside := base
	outside.Report = c.cluster.DataCentreReport(now)
	fleet := c.toldFleet.Next(c.pool.TotalLoads(now, func(string) bool { return true }))
	site := c.toldSite.Next(c.pool.TotalLoads(now, func(source string) bool { return strings.HasPrefix(source, sourceHost) }))
	near, relays := addresses(c.cluster.LocalPeers(now)), addresses(c.cluster.RemoteCollectors(now))
	out := c.batches(base, near, fleet, func(d *datagramWire, loads map[string]usherpool.Load) { d.Fleet = loads })
	return append(out, c.batches(outside, relays, site, func(d *datagramWire, loads map[string]usherpool.Load) { d.Site = loads })...)
}

// batches returns a report with the first batch of loads, and messages with the others.
func (c *core) batches(report datagramWire, to []netip.AddrPort, loads []map[string]usherpool.Load, set func(*datagramWire, map[string]usherpool.Load)) []addressed {
	out := []addressed{{to: to, datagram: report}}
	for i, batch := range loads {
		if i > 0 {
			more := c.stateAt(time.Now())
			out = append(out, addressed{to: to, datagram: more})
		}
		set(&out[i].datagram, batch)
	}
	return out
}

// receive takes in a peer's report and returns the hosts that it changes and the targets that it says are leaving.
func (c *core) receive(d datagramWire) (hosts []ushercluster.Member, targets []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	from := d.Report.From
	if from.Name == c.cluster.Self().Name {
		return nil, nil
	}
	hosts = c.cluster.Receive(now, d.Report)
	c.readers[from.Name] = readerState{revision: d.Revision, storeSeen: now.Add(-d.StoreAge), failing: d.StoreFailing}
	c.learnContact(now, d)
	c.learnLoads(now, d)
	if d.Revision > c.catalog.Revision() {
		signal(c.behind)
	}
	if d.StoreFailing {
		signal(c.lostReader)
	}
	if len(hosts) > 0 {
		c.updatePool(now)
	}
	return hosts, c.learnLeaving(now, d.Leaving)
}

// learnContact takes in who had an answer of the store.
func (c *core) learnContact(now time.Time, d datagramWire) {
	if d.Lost != nil && *d.Lost >= 0 {
		c.lose(now.Add(-*d.Lost))
	}
	if d.StoreFailing && c.best.host == d.Report.From.Name {
		c.lose(now)
	}
	if !d.StoreFailing {
		c.contact(storeContact{host: d.Report.From.Name, at: now.Add(-d.StoreAge)})
	}
	if r, known := c.readers[d.BestHost]; d.BestHost != "" && (!known || !r.failing) {
		c.contact(storeContact{host: d.BestHost, at: now.Add(-d.BestAge)})
	}
}

// lose gives up what was known of answers of the store up to a time. Later ones count, so that a host which reads in place
// of another is not overlooked.
func (c *core) lose(at time.Time) {
	if at.After(c.lost) {
		c.lost = at
	}
	if !c.best.at.After(c.lost) {
		c.best = storeContact{}
	}
}

func (c *core) contact(s storeContact) {
	if s.at.After(c.best.at) && s.at.After(c.lost) {
		c.best = s
	}
}

// learnLoads takes in what runs where.
func (c *core) learnLoads(now time.Time, d datagramWire) {
	from := d.Report.From
	if d.Loads != nil {
		c.pool.SetPeerLoads(now, sourceHost+from.Name, d.Loads)
	}
	if d.Site != nil {
		c.pool.MergePeerLoads(now, sourceSite+from.DataCentre, d.Site)
	}
	if d.Fleet != nil && c.cluster.Collector(now).Name == from.Name {
		c.pool.DropPeerLoads(func(source string) bool { return source != sourceFleet })
		c.pool.MergePeerLoads(now, sourceFleet, usherpool.SubtractLoads(d.Fleet, c.reported))
	}
}

// changesAfter returns what is known of entries that changed after a revision.
func (c *core) changesAfter(after uint64) catalogWire {
	c.mu.Lock()
	defer c.mu.Unlock()
	w := catalogWire{Version: messageVersion, Revision: c.catalog.Revision()}
	for _, e := range c.catalog.Entries() {
		if e.Revision > after {
			w.Entries = append(w.Entries, e)
		}
	}
	return w
}
