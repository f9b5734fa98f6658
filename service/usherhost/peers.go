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
	catalogPath     = "/v1/catalog"
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
		// due makes the host report at once.
		due chan struct{}
	}

	datagramWire struct {
		Version int                 `cbor:"1,keyasint"`
		Report  ushercluster.Report `cbor:"2,keyasint"`
		// Revision is up to which the sender knows every change, StoreAge how long ago the store last answered it.
		Revision uint64                    `cbor:"3,keyasint"`
		StoreAge time.Duration             `cbor:"4,keyasint"`
		Loads    map[string]usherpool.Load `cbor:"5,keyasint,omitempty"`
		// Changes are those between Before and Revision.
		Before  uint64               `cbor:"6,keyasint,omitempty"`
		Changes []ushercatalog.Entry `cbor:"7,keyasint,omitempty"`
		// StoreFailing says that the sender's last call to the store failed.
		StoreFailing bool `cbor:"8,keyasint,omitempty"`
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
	return &peers{
		core: c, log: log, conn: conn,
		client: &http.Client{
			Transport: &http.Transport{DialContext: network.Dial, MaxIdleConnsPerHost: 1, IdleConnTimeout: 10 * time.Second},
		},
		sent: metrics.NewRegisteredCounter("peers.sent", registry), received: metrics.NewRegisteredCounter("peers.received", registry),
		bad: metrics.NewRegisteredCounter("peers.unreadable", registry), due: make(chan struct{}, 1),
	}, nil
}

// report tells peers about this host at each interval, and at once when its state changes.
func (p *peers) report(ctx context.Context) {
	ticker := time.NewTicker(ushercluster.Interval)
	defer ticker.Stop()
	for {
		p.sendReports()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-p.due:
		}
	}
}

// tell makes the host report at once.
func (p *peers) tell() {
	select {
	case p.due <- struct{}{}:
	default:
		// A report is due already.
	}
}

func (p *peers) sendReports() {
	d, to := p.core.report()
	for _, address := range to {
		p.send(d, address)
	}
}

func (p *peers) send(d datagramWire, to netip.AddrPort) {
	data, err := cbor.Marshal(d)
	if err != nil {
		p.log.Error("report not encoded", "error", err.Error())
		return
	}
	if _, err := p.conn.WriteTo(data, net.UDPAddrFromAddrPort(to)); err != nil {
		// A datagram that cannot be sent is like one that is lost: the next one follows.
		p.log.Debug("report not sent", "peer", to.String(), "error", err.Error())
		return
	}
	p.sent.Inc(1)
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

func (p *peers) accept(d datagramWire) {
	for _, m := range p.core.receive(d) {
		p.log.Info("host learned", "source", d.Report.From.Name, "peer", m.Name, "incarnation", m.Incarnation, "state", m.State)
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
}

// push sends changes to the hosts of this data centre that do not read the store themselves.
func (p *peers) push(before uint64, changes []ushercatalog.Entry) {
	if len(changes) == 0 {
		return
	}
	d, _ := p.core.report()
	d.Loads = nil
	d.Before, d.Changes = before, changes
	if data, err := cbor.Marshal(d); err != nil || len(data) > maxDatagramBytes {
		// Too large for a datagram: peers see that this host is ahead and ask.
		return
	}
	self := d.Report.From
	for _, m := range p.core.alive() {
		if m.DataCentre == self.DataCentre {
			p.send(d, m.Address)
		}
	}
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

func (c *core) alive() []ushercluster.Member {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cluster.Alive(time.Now())
}

// report returns what this host tells its peers now, and to whom.
func (c *core) report() (datagramWire, []netip.AddrPort) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	return datagramWire{
		Version: messageVersion, Report: c.cluster.Report(now), Revision: c.catalog.Revision(), StoreAge: now.Sub(c.storeHeard),
		Loads: c.pool.Own(), StoreFailing: c.storeFailing,
	}, c.cluster.Recipients(now)
}

// receive takes in a peer's report and returns the hosts it changes.
func (c *core) receive(d datagramWire) []ushercluster.Member {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	from := d.Report.From
	if from.Name == c.cluster.Self().Name {
		return nil
	}
	c.readers[from.Name] = readerState{address: from.Address, revision: d.Revision, storeSeen: now.Add(-d.StoreAge), failing: d.StoreFailing}
	if d.Changes == nil {
		c.pool.Report(now, from.Name, d.Loads)
	}
	changed := c.cluster.Receive(now, d.Report)
	if len(changed) > 0 {
		c.updatePool(now)
	}
	return changed
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
