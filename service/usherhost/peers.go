package usherhost

import (
	"bytes"
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rcrowley/go-metrics"

	"github.com/samphireusher/samphireusher/pkg/ushercatalog"
	"github.com/samphireusher/samphireusher/pkg/ushercluster"
	"github.com/samphireusher/samphireusher/pkg/usherpool"
)

const (
	// maxDatagramBytes keeps datagrams within one packet of the usual networks.
	maxDatagramBytes = 1400
	// readDatagramBytes is the largest datagram there can be.
	readDatagramBytes = 64 << 10
	// maxCatalogBytes bounds what a peer sends of its catalog.
	maxCatalogBytes = 16 << 20
	peerTimeout     = 500 * time.Millisecond
	// reportPause is the least time between two rounds of reports: urgent ones of several hosts are told together.
	reportPause = 20 * time.Millisecond
	catalogPath = "/v1/catalog"
	// messageVersion changes when older hosts cannot read the messages.
	messageVersion = 1
)

type (
	// peers exchanges reports and changes with other hosts. Datagrams carry what is small and soon outdated; what is
	// lost or too large is asked for by HTTP.
	peers struct {
		core     *core
		log      *slog.Logger
		conn     net.PacketConn
		client   *http.Client
		sent     metrics.Counter
		received metrics.Counter
		bad      metrics.Counter
		// nearBytes and farBytes are those of datagrams sent within the data centre and to others.
		nearBytes metrics.Counter
		farBytes  metrics.Counter
		// due makes the host report at once.
		due       chan struct{}
		placement *placement
	}

	datagramWire struct {
		Version int                 `cbor:"1,keyasint"`
		Report  ushercluster.Report `cbor:"2,keyasint"`
		// Revision is up to which the sender knows every change, StoreAge how long ago the store last answered it.
		Revision uint64        `cbor:"3,keyasint"`
		StoreAge time.Duration `cbor:"4,keyasint"`
		// StoreFailing says that the sender's last call to the store failed.
		StoreFailing bool `cbor:"5,keyasint,omitempty"`
		// BestHost had the latest answer of the store that the sender knows of, BestAge ago.
		BestHost string        `cbor:"6,keyasint,omitempty"`
		BestAge  time.Duration `cbor:"7,keyasint,omitempty"`
		// Loads are all those of the sender. Site are those of its data centre and Fleet those of all hosts, as far as they
		// have changed or have their turn.
		Loads map[string]usherpool.Load `cbor:"8,keyasint,omitempty"`
		Site  map[string]usherpool.Load `cbor:"9,keyasint,omitempty"`
		Fleet map[string]usherpool.Load `cbor:"10,keyasint,omitempty"`
		// Changes are those between Before and Revision.
		Before  uint64               `cbor:"11,keyasint,omitempty"`
		Changes []ushercatalog.Entry `cbor:"12,keyasint,omitempty"`
		// Urgent asks the collector to tell the others at once.
		Urgent bool `cbor:"13,keyasint,omitempty"`
		// Lost is how long ago the sender learned that the host with the latest answer of the store gets none any more; nil
		// if it is too long ago to matter.
		Lost *time.Duration `cbor:"17,keyasint,omitempty"`
		// Leaving are targets that told a host that they leave, while the store does not tell.
		Leaving []leavingWire `cbor:"16,keyasint,omitempty"`
		// Ask and Placed make it a message about the placement of one request; the rest but Report.From is empty then.
		Ask    *askWire    `cbor:"14,keyasint,omitempty"`
		Placed *placedWire `cbor:"15,keyasint,omitempty"`
	}

	// addressed is a datagram with its recipients.
	addressed struct {
		to       []netip.AddrPort
		datagram datagramWire
	}

	catalogWire struct {
		Version  int                  `cbor:"1,keyasint"`
		Revision uint64               `cbor:"2,keyasint"`
		Entries  []ushercatalog.Entry `cbor:"3,keyasint"`
	}
)

func newPeers(c *core, network Network, address netip.AddrPort, log *slog.Logger, registry metrics.Registry) (*peers, error) {
	conn, err := network.ListenPacket(address)
	if err != nil {
		return nil, err
	}
	p := &peers{
		core: c, log: log, conn: conn,
		client: &http.Client{
			Transport: &http.Transport{DialContext: network.Dial, MaxIdleConnsPerHost: 1, IdleConnTimeout: 10 * time.Second},
		},
		sent: metrics.NewRegisteredCounter("peers.sent", registry), received: metrics.NewRegisteredCounter("peers.received", registry),
		bad:       metrics.NewRegisteredCounter("peers.unreadable", registry),
		nearBytes: metrics.NewRegisteredCounter("peers.near_bytes", registry), farBytes: metrics.NewRegisteredCounter("peers.far_bytes", registry),
		due: make(chan struct{}, 1),
	}
	p.placement = newPlacement(c, p, registry)
	return p, nil
}

// report tells peers about this host at each interval, and at once when something must not wait.
func (p *peers) report(ctx context.Context) {
	ticker := time.NewTicker(ushercluster.Interval)
	defer ticker.Stop()
	urgent := false
	for {
		for _, r := range p.core.reports(urgent) {
			p.send(r.datagram, r.to...)
		}
		sleep(ctx, reportPause)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			urgent = false
		case <-p.due:
			urgent = true
		}
	}
}

// tell makes the host report at once.
func (p *peers) tell() { signal(p.due) }

func (p *peers) send(d datagramWire, to ...netip.AddrPort) {
	data, err := cbor.Marshal(d)
	if err != nil {
		p.log.Error("report not encoded", "error", err.Error())
		return
	}
	for i, far := range p.core.far(to) {
		address := to[i]
		if _, err := p.conn.WriteTo(data, net.UDPAddrFromAddrPort(address)); err != nil {
			// A datagram that cannot be sent is like one that is lost: the next one follows.
			p.log.Debug("report not sent", "peer", address.String(), "error", err.Error())
			continue
		}
		p.sent.Inc(1)
		if far {
			p.farBytes.Inc(int64(len(data)))
		} else {
			p.nearBytes.Inc(int64(len(data)))
		}
	}
}

// receive takes in datagrams until the socket is closed.
func (p *peers) receive() {
	buffer := make([]byte, readDatagramBytes)
	for {
		n, from, err := p.conn.ReadFrom(buffer)
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			p.log.Warn("datagram not received", "error", err.Error())
			time.Sleep(firstBackoff)
			continue
		}
		var d datagramWire
		if err := cbor.Unmarshal(buffer[:n], &d); err != nil || d.Version != messageVersion {
			p.bad.Inc(1)
			p.log.Warn("datagram not readable", "peer", from.String(), "version", d.Version)
			continue
		}
		p.received.Inc(1)
		p.accept(d)
	}
}

// describe names hosts for the log.
func describe(members []ushercluster.Member) []hostWire {
	hosts := make([]hostWire, 0, len(members))
	for _, m := range members {
		hosts = append(hosts, hostWire{Name: m.Name, DataCentre: m.DataCentre, State: m.State, Incarnation: m.Incarnation})
	}
	return hosts
}

func (p *peers) accept(d datagramWire) {
	switch {
	case d.Ask != nil:
		p.placement.answer(d.Report.From, *d.Ask)
		return
	case d.Placed != nil:
		p.placement.accept(d.Report.From, *d.Placed)
		return
	}
	hosts, targets := p.core.receive(d)
	if len(hosts) > 0 {
		p.log.Info("hosts learned", "source", d.Report.From.Name, "hosts", describe(hosts))
	}
	for _, id := range targets {
		p.log.Info("target learned", "source", d.Report.From.Name, "target", id, "leaving", true)
	}
	if d.Urgent && p.core.collects() {
		p.tell()
	}
	if len(d.Changes) == 0 {
		return
	}
	changed := p.core.apply(func(now time.Time, c *ushercatalog.Catalog) []ushercatalog.Entry {
		changed := c.Merge(now, d.Changes...)
		if c.Revision() >= d.Before {
			c.CaughtUp(d.Revision)
		}
		return changed
	})
	announce(p.log, d.Report.From.Name, changed)
	if len(changed) > 0 && p.core.collects() && d.Report.From.DataCentre != p.core.self().DataCentre {
		p.distribute(d.Before, d.Revision, d.Changes, p.core.near())
	}
}

// push sends changes that the store told to all hosts: those of this data centre, and the others' collectors.
func (p *peers) push(before uint64, changes []ushercatalog.Entry) {
	if len(changes) > 0 {
		p.distribute(before, p.core.revision(), changes, append(p.core.near(), p.core.relays()...))
	}
}

func (p *peers) distribute(before, revision uint64, changes []ushercatalog.Entry, to []ushercluster.Member) {
	d := p.core.state()
	d.Before, d.Revision, d.Changes = before, revision, changes
	if data, err := cbor.Marshal(d); err != nil || len(data) > maxDatagramBytes {
		// Too large for a datagram: peers see that this host is ahead and ask.
		p.tell()
		return
	}
	p.send(d, addresses(to)...)
}

func addresses(members []ushercluster.Member) []netip.AddrPort {
	to := make([]netip.AddrPort, 0, len(members))
	for _, m := range members {
		to = append(to, m.Address)
	}
	return to
}

// pull asks a peer for the changes after a revision.
func (p *peers) pull(ctx context.Context, address netip.AddrPort, after uint64) (changed []ushercatalog.Entry, err error) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address.String()+catalogPath+"?after="+strconv.FormatUint(after, 10), nil)
	if err != nil {
		return nil, err
	}
	response, err := p.client.Do(request)
	if err != nil {
		return nil, err
	}
	defer func() { err = errors.Join(err, response.Body.Close()) }()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxCatalogBytes))
	if err != nil {
		return nil, err
	}
	var c catalogWire
	if err := cbor.Unmarshal(data, &c); err != nil {
		return nil, err
	}
	return p.core.apply(func(now time.Time, catalog *ushercatalog.Catalog) []ushercatalog.Entry {
		changed := catalog.Merge(now, c.Entries...)
		catalog.CaughtUp(c.Revision)
		return changed
	}), nil
}

// serveCatalog answers a peer's pull.
func (p *peers) serveCatalog(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		http.Error(w, "after must be a revision", http.StatusBadRequest)
		return
	}
	var out bytes.Buffer
	if err := cbor.NewEncoder(&out).Encode(p.core.changesAfter(after)); err != nil {
		p.log.Error("catalog not encoded", "error", err.Error())
		http.Error(w, "not encoded", http.StatusInternalServerError)
		return
	}
	if _, err := w.Write(out.Bytes()); err != nil {
		p.log.Debug("peer left", "error", err.Error())
	}
}

const (
	// sourceHost, sourceSite and sourceFleet begin the names under which loads are kept.
	sourceHost  = "host "
	sourceSite  = "site "
	sourceFleet = "fleet"
)

func (c *core) near() []ushercluster.Member {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cluster.Near(time.Now())
}

func (c *core) relays() []ushercluster.Member {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cluster.Relays(time.Now())
}

// far tells which of the addresses are of hosts in other data centres.
func (c *core) far(addresses []netip.AddrPort) []bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	far := make([]bool, len(addresses))
	for i, a := range addresses {
		far[i] = c.cluster.Far(a)
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
		c.toldSite, c.toldFleet = usherpool.Told{}, usherpool.Told{}
		d := base
		c.reported = c.pool.Own()
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
		d.Report = c.cluster.SiteReport(now)
		out = append(out, addressed{to: far, datagram: d})
	}
	for _, g := range c.cluster.Greetings(now) {
		d := base
		d.Report = g.Report
		out = append(out, addressed{to: []netip.AddrPort{g.To}, datagram: d})
	}
	return out
}

// collected returns what a collector tells the hosts of its data centre, and the collectors of others.
func (c *core) collected(now time.Time, base datagramWire) []addressed {
	c.pool.Forget(func(source string) bool { return source == sourceFleet })
	outside := base
	outside.Report = c.cluster.SiteReport(now)
	fleet := c.toldFleet.Next(c.pool.Sum(now, func(string) bool { return true }))
	site := c.toldSite.Next(c.pool.Sum(now, func(source string) bool { return strings.HasPrefix(source, sourceHost) }))
	near, relays := addresses(c.cluster.Near(now)), addresses(c.cluster.Relays(now))
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
		c.pool.Report(now, sourceHost+from.Name, d.Loads)
	}
	if d.Site != nil {
		c.pool.Merge(now, sourceSite+from.DataCentre, d.Site)
	}
	if d.Fleet != nil && c.cluster.Collector(now).Name == from.Name {
		c.pool.Forget(func(source string) bool { return source != sourceFleet })
		c.pool.Merge(now, sourceFleet, usherpool.Minus(d.Fleet, c.reported))
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
