package usherload

import (
	"context"
	"errors"
	"log/slog"
	"net/netip"
	"os"
	"path/filepath"
	"time"

	"github.com/samphireusher/samphireusher/pkg/usherconfig"
	"github.com/samphireusher/samphireusher/pkg/usherkey"
	"github.com/samphireusher/samphireusher/pkg/usherlink"
	"github.com/samphireusher/samphireusher/pkg/usherorder"
	"github.com/samphireusher/samphireusher/service/ushergrant"
	"github.com/samphireusher/samphireusher/service/usherscheduler"
	"github.com/samphireusher/samphireusher/service/ushertarget"
)

const keyValidity = time.Hour

type (
	// Peers are the daemons that the measured process talks to.
	Peers struct {
		Fleet Fleet
		// Subject is the address of the measured process's node and Name its name.
		Subject, Name string
		Authority     usherkey.KeyPair
		// Directory is where keys may be written.
		Directory string
	}

	// peers are running peers.
	peers struct {
		Peers
		meter meter
		// known has the peers by their stand-in addresses, by which they reach each other without a network.
		known map[string]*peer
		// toSubject is the forwarder to the measured process.
		toSubject string
		order     []string
		grants    granter
		// runs are started once all peers are known.
		runs []func()
	}

	peer struct {
		peers *peers
		name  string
		mux   *usherlink.Mux
		node  *usherlink.Node
	}

	// listener is a gateway that only listens.
	listener struct{}

	// Reports gives every target the same load report, without a network.
	Reports struct{}
)

var errNoPeer = errors.New("no such peer")

// Peers starts peers and returns the addresses at which the measured process reaches them, schedulers first.
func (s *service) Peers(config Peers, addresses *[]string) error {
	p := &peers{Peers: config, known: map[string]*peer{}, grants: newGranter(config.Fleet)}
	var err error
	if p.toSubject, err = forward(config.Subject, p.meter.receive, p.meter.send); err != nil {
		return err
	}
	view, err := NewView(config.Fleet.Snapshot())
	if err != nil {
		return err
	}
	for _, role := range []usherconfig.Role{usherconfig.SchedulerRole, usherconfig.GatewayRole} {
		for _, h := range view.Hosts(role) {
			if h.Name == config.Name {
				continue
			}
			address, err := p.start(h, view)
			if err != nil {
				return err
			}
			*addresses = append(*addresses, address)
		}
	}
	for _, run := range p.runs {
		go run()
	}
	s.peers = p
	return nil
}

// Traffic returns what has crossed so far.
func (s *service) Traffic(_ Nothing, traffic *Traffic) error {
	if s.feeds != nil {
		*traffic = s.feeds.meter.traffic()
		return nil
	}
	*traffic = s.peers.meter.traffic()
	return nil
}

func (p *peers) start(h usherconfig.Host, view View) (string, error) {
	keys, err := NewKeys(p.Authority, p.Directory, h.Name)
	if err != nil {
		return "", err
	}
	d := &peer{peers: p, name: h.Name, mux: &usherlink.Mux{}}
	log := slog.New(slog.DiscardHandler)
	if d.node, err = usherlink.Listen("127.0.0.1:0", keys, usherlink.HandlerFunc(d.mux.ServeMessage), log); err != nil {
		return "", err
	}
	if h.Role == usherconfig.GatewayRole {
		ushergrant.RegisterListener(d.mux, listener{})
	} else if err := d.schedule(h, view, log); err != nil {
		return "", err
	}
	p.known[h.Address.String()] = d
	p.order = append(p.order, h.Address.String())
	return forward(d.node.Address(), p.meter.send, p.meter.receive)
}

// schedule runs a scheduler, or where the measured process is a gateway, one that grants all.
func (d *peer) schedule(h usherconfig.Host, view View, log *slog.Logger) error {
	if d.peers.Name != Scheduler(0) {
		ushergrant.Register(d.mux, d.peers.grants)
		return nil
	}
	s, err := usherscheduler.New(usherscheduler.Options{
		Name: h.Name, DataCentre: DataCentre, Incarnation: uint64(time.Now().UnixNano()), ReportLag: time.Second,
		Config: view, Targets: Reports{}, Link: d, Log: log,
	})
	if err != nil {
		return err
	}
	s.Register(d.mux)
	d.peers.runs = append(d.peers.runs, func() { s.Run(context.Background()) })
	return nil
}

// SendDatagram implements ushergrant.Link: peers reach the measured process by network and each other without.
func (d *peer) SendDatagram(address, kind string, value any) error {
	other, ok := d.peers.known[address]
	if !ok {
		return d.node.SendDatagram(d.peers.toSubject, kind, value)
	}
	body, err := usherlink.Encode(value)
	if err != nil {
		return err
	}
	_, err = other.mux.ServeMessage(context.Background(), usherlink.Peer{Name: d.name}, kind, body)
	return err
}

// Call implements ushergrant.Link towards the measured process.
func (d *peer) Call(ctx context.Context, _, kind string, value, answer any) error {
	return d.node.Call(ctx, d.peers.toSubject, kind, value, answer)
}

// Report implements usherscheduler.Targets.
func (Reports) Report(context.Context, netip.AddrPort) (ushertarget.Report, error) {
	age, warm := int64(100), true
	return ushertarget.Report{
		Incarnation: incarnation, AgeMillis: &age, Running: 4, MemoryUsedTokens: 4000, MemoryTokens: memoryTokens, StepTimeMillis: 12, Completed: 1000, Warm: &warm,
	}, nil
}

// Orders implements usherscheduler.Targets.
func (Reports) Orders(context.Context, netip.AddrPort) (usherorder.Observed, error) {
	return usherorder.Observed{}, nil
}

// Order implements usherscheduler.Targets.
func (Reports) Order(context.Context, netip.AddrPort, usherorder.Order) error { return nil }

// Advertised implements ushergrant.Listener.
func (listener) Advertised(ushergrant.Advertisement) {}

// NewKeys issues keys to the process called name.
func NewKeys(authority usherkey.KeyPair, directory, name string) (*usherkey.Credentials, error) {
	pair, err := authority.Issue(name, time.Now(), keyValidity)
	if err != nil {
		return nil, err
	}
	path := func(ending string) string { return filepath.Join(directory, name+ending) }
	files := usherkey.Files{Certificate: path(".pem"), Key: path(".key"), Authorities: path("-fleet.pem")}
	for _, f := range []struct {
		path string
		data []byte
	}{{files.Certificate, pair.Certificate}, {files.Key, pair.Key}, {files.Authorities, authority.Certificate}} {
		if err := os.WriteFile(f.path, f.data, 0o600); err != nil {
			return nil, err
		}
	}
	return usherkey.Load(files)
}
