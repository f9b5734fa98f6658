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
	// Peers configures the daemons that communicate with the measured process.
	Peers struct {
		Fleet Fleet
		// Subject is the address of the measured process's node, and Name its name in the fleet.
		Subject, Name string
		Authority     usherkey.KeyPair
		// Directory is the directory for the peers' key files.
		Directory string
	}

	// peers are running peers.
	peers struct {
		Peers
		meter meter
		// byAddress holds the peers by their placeholder addresses. Messages between peers are delivered directly, without a
		// network.
		byAddress map[string]*peer
		// toSubject is the address of the forwarder to the measured process.
		toSubject string
		addresses []string
		granter   granter
		// startFuncs run the schedulers; they are called once byAddress is complete.
		startFuncs []func()
	}

	peer struct {
		peers *peers
		name  string
		mux   *usherlink.Mux
		node  *usherlink.Node
	}

	// discardListener is a gateway that ignores advertisements.
	discardListener struct{}

	// StaticTargets returns the same load report for every target, without a network.
	StaticTargets struct{}
)

var errNoPeers = errors.New("no peers are running")

// Peers implements the RPC Load.Peers. The addresses are those at which the measured process reaches the peers,
// schedulers first.
func (s *service) Peers(config Peers, addresses *[]string) error {
	p := &peers{Peers: config, byAddress: map[string]*peer{}, granter: newGranter(config.Fleet)}
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
	for _, run := range p.startFuncs {
		go run()
	}
	s.peers = p
	return nil
}

// Traffic implements the RPC Load.Traffic.
func (s *service) Traffic(_ Empty, traffic *Traffic) error {
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
		ushergrant.RegisterListener(d.mux, discardListener{})
	} else if err := d.startScheduler(h, view, log); err != nil {
		return "", err
	}
	p.byAddress[h.Address.String()] = d
	p.addresses = append(p.addresses, h.Address.String())
	return forward(d.node.Address(), p.meter.send, p.meter.receive)
}

// startScheduler starts a scheduler: a real one if the measured process is a scheduler, else one that grants every
// request.
func (d *peer) startScheduler(h usherconfig.Host, view View, log *slog.Logger) error {
	if d.peers.Name != Scheduler(0) {
		ushergrant.Register(d.mux, d.peers.granter)
		return nil
	}
	s, err := usherscheduler.New(usherscheduler.Options{
		Name: h.Name, DataCentre: DataCentre, Incarnation: uint64(time.Now().UnixNano()), ReportLag: time.Second,
		Config: view, Targets: StaticTargets{}, Link: d, Log: log,
	})
	if err != nil {
		return err
	}
	s.Register(d.mux)
	d.peers.startFuncs = append(d.peers.startFuncs, func() { s.Run(context.Background()) })
	return nil
}

// SendDatagram implements ushergrant.Link. It sends to the measured process over the network and calls other peers
// directly.
func (d *peer) SendDatagram(address, kind string, value any) error {
	other, ok := d.peers.byAddress[address]
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

// Call implements ushergrant.Link. It always calls the measured process.
func (d *peer) Call(ctx context.Context, _, kind string, value, response any) error {
	return d.node.Call(ctx, d.peers.toSubject, kind, value, response)
}

// Report implements usherscheduler.Targets.
func (StaticTargets) Report(context.Context, netip.AddrPort) (ushertarget.Report, error) {
	age, warm := int64(100), true
	return ushertarget.Report{
		Incarnation: incarnation, AgeMillis: &age, Running: 4, MemoryUsedTokens: 4000, MemoryTokens: memoryTokens, StepTimeMillis: 12, Completed: 1000, Warm: &warm,
	}, nil
}

// Orders implements usherscheduler.Targets.
func (StaticTargets) Orders(context.Context, netip.AddrPort) (usherorder.Observed, error) {
	return usherorder.Observed{}, nil
}

// Order implements usherscheduler.Targets.
func (StaticTargets) Order(context.Context, netip.AddrPort, usherorder.Order) error { return nil }

// Advertised implements ushergrant.Listener.
func (discardListener) Advertised(ushergrant.Advertisement) {}

// NewKeys issues a certificate to the process called name, writes its key files to the directory and loads them.
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
