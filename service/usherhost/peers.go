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
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rcrowley/go-metrics"

	"github.com/samphireusher/samphireusher/pkg/ushercatalog"
	"github.com/samphireusher/samphireusher/pkg/ushercluster"
	"github.com/samphireusher/samphireusher/pkg/usherconn"
	"github.com/samphireusher/samphireusher/pkg/usherpool"
	"github.com/samphireusher/samphireusher/pkg/usherresponse"
)

const (
	// maxDatagramBytes keeps datagrams within one packet at the usual MTU.
	maxDatagramBytes = 1400
	// readDatagramBytes is the largest possible size of a datagram.
	readDatagramBytes = 64 << 10
	// maxCatalogBytes bounds the catalog data accepted from a peer.
	maxCatalogBytes = 16 << 20
	peerTimeout     = 500 * time.Millisecond
	// peerIdleTimeout is how long a connection to a peer is kept for the next pull.
	peerIdleTimeout = 10 * time.Second
	// minReportInterval is the least time between two rounds of reports, so that urgent reports of several hosts are
	// sent together.
	minReportInterval = 20 * time.Millisecond
	catalogPath       = "/v1/catalog"
	// protocolVersion changes when older hosts cannot decode the messages.
	protocolVersion = 1
)

type (
	// peers exchanges reports and catalog changes with other hosts. Datagrams carry data that is small and soon
	// outdated; what is lost or too large is pulled over HTTP.
	peers struct {
		state      *sharedState
		log        *slog.Logger
		conn       net.PacketConn
		client     *http.Client
		sent       metrics.Counter
		received   metrics.Counter
		unreadable metrics.Counter
		// localBytes and remoteBytes count the bytes of datagrams sent within the data centre and to others.
		localBytes  metrics.Counter
		remoteBytes metrics.Counter
		// reportDue makes the host report at once.
		reportDue chan struct{}
		placement *placement
		lending   *lending
		// standstill detects that this process stood still, stale counts the datagrams dropped then.
		standstill *standstill
		stale      metrics.Counter
		// late counts the reports received long after they were sent.
		late metrics.Counter
		// implausible counts the beats that were ignored as they cannot be.
		implausible metrics.Counter
	}

	datagramWire struct {
		Version int                 `cbor:"1,keyasint"`
		Report  ushercluster.Report `cbor:"2,keyasint"`
		// Revision is the one up to which the sender knows every change. StoreAge is the time since the store last
		// answered the sender.
		Revision uint64        `cbor:"3,keyasint"`
		StoreAge time.Duration `cbor:"4,keyasint"`
		// StoreFailing reports that the sender's last call to the store failed.
		StoreFailing bool `cbor:"5,keyasint,omitempty"`
		// StoreContactHost is the host with the latest response of the store that the sender knows of, StoreContactAge
		// the age of that response.
		StoreContactHost string        `cbor:"6,keyasint,omitempty"`
		StoreContactAge  time.Duration `cbor:"7,keyasint,omitempty"`
		// Loads are all loads of the sender. DataCentreLoads are those of its data centre and FleetLoads those of all
		// hosts; both have the loads that have changed and, in turn, some of the others.
		Loads           map[string]usherpool.Load `cbor:"8,keyasint,omitempty"`
		DataCentreLoads map[string]usherpool.Load `cbor:"9,keyasint,omitempty"`
		FleetLoads      map[string]usherpool.Load `cbor:"10,keyasint,omitempty"`
		// Changes are those between BaseRevision and Revision.
		BaseRevision uint64               `cbor:"11,keyasint,omitempty"`
		Changes      []ushercatalog.Entry `cbor:"12,keyasint,omitempty"`
		// Urgent asks the collector to report to the others at once.
		Urgent bool `cbor:"13,keyasint,omitempty"`
		// StoreContactLostAge is the time since the sender learned that the host with the latest response of the store
		// gets none any more; nil if that is too long ago to matter.
		StoreContactLostAge *time.Duration `cbor:"17,keyasint,omitempty"`
		// Leaving are the notices of targets that told a host that they are leaving while no host has contact with the
		// store.
		Leaving []leavingNoticeWire `cbor:"16,keyasint,omitempty"`
		// LimitEnds are the limits that have ended lately.
		LimitEnds []limitEndWire `cbor:"19,keyasint,omitempty"`
		// LendQuestion asks for a turn at targets that have named a limit, LendReply responds to that.
		LendQuestion *lendQuestionWire `cbor:"40,keyasint,omitempty"`
		LendReply    *lendReplyWire    `cbor:"41,keyasint,omitempty"`
		// PlacementRequest or PlacementReply makes this a message about the placement of one request; all other fields
		// but Report.From are then empty.
		PlacementRequest *placementRequestWire `cbor:"14,keyasint,omitempty"`
		PlacementReply   *placementReplyWire   `cbor:"15,keyasint,omitempty"`
		// Suspicion tells of requests that were in progress on crashed targets.
		Suspicion *suspicionWire `cbor:"18,keyasint,omitempty"`
		// Outcomes makes this a message about what the sender saw of its runs.
		Outcomes []outcomeWire `cbor:"20,keyasint,omitempty"`
		// Speeds makes this a message about what a collector has learned of plain targets.
		Speeds *speedsWire `cbor:"24,keyasint,omitempty"`
	}

	// outgoingDatagram is a datagram with its recipients.
	outgoingDatagram struct {
		to       []netip.AddrPort
		datagram datagramWire
	}

	catalogWire struct {
		Version  int                  `cbor:"1,keyasint"`
		Revision uint64               `cbor:"2,keyasint"`
		Entries  []ushercatalog.Entry `cbor:"3,keyasint"`
	}
)

func newPeers(s *sharedState, platform Platform, address netip.AddrPort, log *slog.Logger, registry metrics.Registry) (*peers, error) {
	network := platform.Network
	conn, err := network.ListenPacket(address)
	if err != nil {
		return nil, err
	}
	p := &peers{
		state: s, log: log, conn: conn,
		client: &http.Client{
			Transport: usherresponse.Transport{Base: &http.Transport{
				DialContext: usherconn.Dialer(network.Dial), MaxIdleConnsPerHost: 1, IdleConnTimeout: peerIdleTimeout, MaxResponseHeaderBytes: maxServerHeaderBytes,
			}},
		},
		sent: metrics.NewRegisteredCounter("peers.sent", registry), received: metrics.NewRegisteredCounter("peers.received", registry),
		unreadable: metrics.NewRegisteredCounter("peers.unreadable", registry),
		localBytes: metrics.NewRegisteredCounter("peers.near_bytes", registry), remoteBytes: metrics.NewRegisteredCounter("peers.far_bytes", registry),
		reportDue: make(chan struct{}, 1), standstill: newStandstill(platform.Uptime), stale: metrics.NewRegisteredCounter("peers.stale", registry),
		late: metrics.NewRegisteredCounter("peers.late", registry), implausible: metrics.NewRegisteredCounter("peers.impossible_beats", registry),
	}
	p.placement, p.lending = newPlacement(s, p, registry), newLending(s, p, registry)
	return p, nil
}

// runReports sends reports to peers at each interval, and at once when an urgent report is due.
func (p *peers) runReports(ctx context.Context) {
	ticker := time.NewTicker(ushercluster.ReportInterval)
	defer ticker.Stop()
	urgent := false
	for {
		// Blame also ends by answers and with time.
		logBlamed(p.state, p.log, p.state.self().Name)
		p.logEndedNotices()
		p.logLost()
		for _, r := range p.state.nextReports(urgent) {
			p.send(r.datagram, r.to...)
		}
		sleep(ctx, minReportInterval)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			urgent = false
		case <-p.reportDue:
			urgent = true
		}
	}
}

// reportNow makes the host report at once.
func (p *peers) reportNow() { notify(p.reportDue) }

func (p *peers) send(d datagramWire, to ...netip.AddrPort) {
	data, err := cbor.Marshal(d)
	if err != nil {
		p.log.Error("failed to encode datagram", "error", errorText(err))
		return
	}
	for i, remote := range p.state.areRemote(to) {
		address := to[i]
		if _, err := p.conn.WriteTo(data, net.UDPAddrFromAddrPort(address)); err != nil {
			// Handled like a lost datagram: a later one replaces it.
			p.log.Debug("failed to send datagram", "peer", address.String(), "error", errorText(err))
			continue
		}
		p.sent.Inc(1)
		if remote {
			p.remoteBytes.Inc(int64(len(data)))
		} else {
			p.localBytes.Inc(int64(len(data)))
		}
	}
}

// receive handles datagrams until the socket is closed.
func (p *peers) receive() {
	buffer := make([]byte, readDatagramBytes)
	for {
		n, from, err := p.conn.ReadFrom(buffer)
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			p.log.Warn("failed to receive datagram; retrying", "error", errorText(err))
			time.Sleep(minBackoff)
			continue
		}
		if p.isStale() {
			p.stale.Inc(1)
			continue
		}
		var d datagramWire
		if err := cbor.Unmarshal(buffer[:n], &d); err != nil || d.Version != protocolVersion {
			p.unreadable.Inc(1)
			p.log.Warn("datagram dropped: malformed or unsupported protocol version", "peer", from.String(), "version", d.Version)
			continue
		}
		p.received.Inc(1)
		p.handle(d)
	}
}

// logLost logs which hosts are not heard any more.
func (p *peers) logLost() {
	lost, implausible := p.state.takeLost()
	if len(lost) > 0 {
		p.log.Info("hosts lost", "hosts", describeHosts(lost))
	}
	if implausible > 0 {
		p.implausible.Inc(int64(implausible))
		p.log.Warn("impossible beats of hosts ignored", "count", implausible)
	}
}

// describeHosts returns hosts as they are logged.
func describeHosts(members []ushercluster.Member) []hostWire {
	hosts := make([]hostWire, 0, len(members))
	for _, m := range members {
		hosts = append(hosts, describeHost(m))
	}
	return hosts
}

func describeHost(m ushercluster.Member) hostWire {
	return hostWire{
		Name: m.Name, DataCentre: m.DataCentre, State: m.State, Incarnation: m.Incarnation, Cores: float64(m.Capacity.MilliCores) / 1000, LinkMbps: m.Capacity.LinkMbps,
	}
}

func (p *peers) mergeSuspicion(source string, w suspicionWire, delay time.Duration) {
	if err := p.state.mergeSuspicion(w, delay); err != nil {
		p.unreadable.Inc(1)
		p.log.Warn("crash reports dropped: malformed", "peer", source, "error", errorText(err))
		return
	}
	logBlamed(p.state, p.log, source)
}

func (p *peers) handle(d datagramWire) {
	isReport := d.PlacementRequest == nil && d.PlacementReply == nil && len(d.Outcomes) == 0 && d.Speeds == nil
	switch {
	case p.mayHaveWaited(d.Report):
		p.stale.Inc(1)
		return
	case !isReport && p.state.isOutdated(d.Report):
		p.late.Inc(1)
		return
	case d.PlacementRequest != nil:
		p.placement.handleRequest(d.Report.From, *d.PlacementRequest)
		return
	case d.PlacementReply != nil:
		p.placement.handleReply(d.Report.From, *d.PlacementReply)
		return
	case len(d.Outcomes) > 0:
		p.handleOutcomes(d.Report.From.Name, d.Outcomes)
		return
	case d.Speeds != nil:
		p.state.adoptSpeeds(d.Report.From.Name, *d.Speeds)
		return
	}
	learned := p.state.applyDatagram(d)
	if learned.isLate() {
		p.late.Inc(1)
		p.log.Debug("report received long after it was sent", "source", d.Report.From.Name, "delay_ms", learned.delay.Milliseconds())
	}
	if d.Suspicion != nil {
		p.mergeSuspicion(d.Report.From.Name, *d.Suspicion, learned.delay)
	}
	if len(learned.hosts) > 0 {
		p.log.Info("hosts learned", "source", d.Report.From.Name, "hosts", describeHosts(learned.hosts))
	}
	for _, id := range learned.leaving {
		p.log.Info("target learned", "source", d.Report.From.Name, "target", id, "leaving", true)
	}
	p.logLimitEnds(d.Report.From.Name, learned.unlimited)
	if d.LendQuestion != nil {
		p.lending.handleQuestion(d.Report.From, *d.LendQuestion)
	}
	if d.LendReply != nil {
		p.lending.handleReply(d.Report.From, *d.LendReply)
	}
	if (d.Urgent || learned.limitEnds) && p.state.isCollector() {
		p.reportNow()
	}
	if len(d.Changes) == 0 {
		return
	}
	changed := p.state.apply(func(now time.Time, c *ushercatalog.Catalog) []ushercatalog.Entry {
		changed := c.Merge(now, d.Changes...)
		if c.Revision() >= d.BaseRevision {
			c.AdvanceRevision(d.Revision)
		}
		return changed
	})
	logCatalogChanges(p.log, d.Report.From.Name, changed)
	if len(changed) > 0 && p.state.isCollector() && d.Report.From.DataCentre != p.state.self().DataCentre {
		p.distribute(d.BaseRevision, d.Revision, d.Changes, p.state.localPeers())
	}
}

// pushChanges sends the changes between two revisions, read from the store, to the hosts of this data centre and to the collectors of
// the others. The catalog may have a later revision by now, from another host that reads the store.
func (p *peers) pushChanges(base, revision uint64, changes []ushercatalog.Entry) {
	if len(changes) > 0 {
		p.distribute(base, revision, changes, p.state.changeRecipients())
	}
}

func (p *peers) distribute(base, revision uint64, changes []ushercatalog.Entry, to []ushercluster.Member) {
	d := p.state.statusDatagram()
	d.BaseRevision, d.Revision, d.Changes = base, revision, changes
	if data, err := cbor.Marshal(d); err != nil || len(data) > maxDatagramBytes {
		// Too large for a datagram: peers see that this host is ahead and pull the changes.
		p.reportNow()
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

// pull requests the changes after a revision from a peer, and calls begun once the peer begins to respond.
func (p *peers) pull(ctx context.Context, address netip.AddrPort, after uint64, begun func()) (changed []ushercatalog.Entry, err error) {
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
	if response.StatusCode != http.StatusOK {
		return nil, errUnexpectedResponse.New("peer responded with status %q", response.Status)
	}
	begun()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxCatalogBytes))
	if err != nil {
		return nil, err
	}
	var c catalogWire
	if err := cbor.Unmarshal(data, &c); err != nil {
		return nil, err
	}
	return p.state.apply(func(now time.Time, catalog *ushercatalog.Catalog) []ushercatalog.Entry {
		changed := catalog.Merge(now, c.Entries...)
		catalog.AdvanceRevision(c.Revision)
		return changed
	}), nil
}

// serveCatalog responds to a peer's pull.
func (p *peers) serveCatalog(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		http.Error(w, "after must be a revision", http.StatusBadRequest)
		return
	}
	var out bytes.Buffer
	if err := cbor.NewEncoder(&out).Encode(p.state.changesAfter(after)); err != nil {
		p.log.Error("failed to encode catalog", "error", errorText(err))
		http.Error(w, "not encoded", http.StatusInternalServerError)
		return
	}
	if _, err := w.Write(out.Bytes()); err != nil {
		p.log.Debug("failed to send catalog", "error", errorText(err))
	}
}
