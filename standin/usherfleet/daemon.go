package usherfleet

import (
	"context"
	"errors"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/samphireusher/samphireusher/pkg/usherconfig"
	"github.com/samphireusher/samphireusher/pkg/usherlink"
	"github.com/samphireusher/samphireusher/pkg/usherrequest"
	"github.com/samphireusher/samphireusher/service/usherfeed"
	"github.com/samphireusher/samphireusher/service/ushergateway"
	"github.com/samphireusher/samphireusher/service/ushergrant"
	"github.com/samphireusher/samphireusher/service/usherscheduler"
	"github.com/samphireusher/samphireusher/service/ushertarget"
)

type (
	// Daemon is a gateway or a scheduler that runs in this process.
	Daemon struct {
		host       usherconfig.Host
		fleet      *Fleet
		feed       *usherfeed.Feed
		targets    *ushertarget.Client
		platform   *usherfeed.Platform
		node       *usherlink.Node
		component  component
		server     *http.Server
		kept       ushergateway.KeptConns
		cancel     context.CancelFunc
		background sync.WaitGroup
		once       sync.Once
	}

	component interface {
		Run(ctx context.Context)
		Stop(ctx context.Context) error
		Dump(ctx context.Context) any
	}
)

// Name returns the name of the daemon's host.
func (d *Daemon) Name() string {
	return d.host.Name
}

// Address returns the address on which the daemon listens.
func (d *Daemon) Address() string {
	return d.host.Address.String()
}

// Revision returns the configuration revision that is in effect in the daemon.
func (d *Daemon) Revision() uint64 {
	return d.feed.Revision()
}

// Dump returns the daemon's state.
func (d *Daemon) Dump(ctx context.Context) any {
	return d.component.Dump(ctx)
}

// Stop stops the daemon gracefully.
func (d *Daemon) Stop(ctx context.Context) error {
	err := d.component.Stop(ctx)
	if d.server != nil {
		d.kept.Drain(ctx)
		err = errors.Join(err, d.server.Shutdown(ctx))
	}
	return errors.Join(err, d.Kill())
}

// Kill stops the daemon immediately, as if its host was lost.
func (d *Daemon) Kill() error {
	var err error
	d.once.Do(func() {
		// Close the sockets first, because a lost host sends nothing more.
		if d.server != nil {
			err = d.server.Close()
		}
		err = errors.Join(err, d.node.Close())
		d.cancel()
		d.background.Wait()
		d.targets.Close()
		d.platform.Close()
	})
	return err
}

// Restart replaces d, after Kill or Stop, with a new daemon that has the same name and address.
func (f *Fleet) Restart(ctx context.Context, d *Daemon) error {
	for _, list := range [][]*Daemon{f.Gateways, f.Schedulers} {
		for i, existing := range list {
			if existing != d {
				continue
			}
			started, err := f.newDaemon(ctx, d.host)
			if err != nil {
				return err
			}
			list[i] = started
		}
	}
	return nil
}

func (f *Fleet) startDaemon(ctx context.Context, host usherconfig.Host) error {
	d, err := f.newDaemon(ctx, host)
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if host.Role == usherconfig.GatewayRole {
		f.Gateways = append(f.Gateways, d)
	} else {
		f.Schedulers = append(f.Schedulers, d)
	}
	return nil
}

func (f *Fleet) newDaemon(ctx context.Context, host usherconfig.Host) (*Daemon, error) {
	d := &Daemon{host: host, fleet: f}
	keys, err := f.issueCredentials(host.Name)
	if err != nil {
		return nil, err
	}
	log := f.config.Log.With("process", host.Name)
	mux := &usherlink.Mux{}
	socket, err := f.transport.ListenPacket(host.Address)
	if err != nil {
		return nil, err
	}
	if d.node, err = usherlink.Open(socket, keys, usherlink.HandlerFunc(mux.ServeMessage), log); err != nil {
		return nil, err
	}
	dial := f.transport.Dialer(host.Address.Addr())
	d.targets = ushertarget.NewClientWith(ushertarget.Dial(dial))
	d.platform = usherfeed.NewPlatformWith(f.platform, usherfeed.Dial(dial))
	seeds := []netip.AddrPort{}
	for _, h := range f.snapshot.Hosts {
		if h.Name != host.Name {
			seeds = append(seeds, h.Address)
		}
	}
	d.feed = usherfeed.New(usherfeed.Options{
		Address: host.Address, DataCentre: host.DataCentre, Platform: d.platform, Link: d.node,
		Log: log, Seeds: seeds, Seed: uint64(time.Now().UnixNano()),
	})
	d.feed.Register(mux)
	if host.Role == usherconfig.GatewayRole {
		err = d.initGateway(mux)
	} else {
		err = d.initScheduler(mux)
	}
	if err != nil {
		return nil, err
	}
	runCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	d.cancel = cancel
	d.background.Go(func() { d.feed.Run(runCtx) })
	if err := d.feed.WaitReady(ctx); err != nil {
		return nil, errors.Join(err, d.Kill())
	}
	d.background.Go(func() { d.component.Run(runCtx) })
	return d, d.listen()
}

// listen starts to serve clients if the daemon is a gateway. It is called once a configuration is in effect.
func (d *Daemon) listen() error {
	gateway, ok := d.component.(*ushergateway.Gateway)
	if !ok {
		return nil
	}
	listener, err := d.fleet.transport.Listen(d.host.Address)
	if err != nil {
		return err
	}
	d.server = &http.Server{Handler: gateway.Routes(), ReadHeaderTimeout: time.Minute, ConnState: d.kept.Track}
	d.background.Go(func() { _ = d.server.Serve(listener) })
	return nil
}

func (d *Daemon) initGateway(mux *usherlink.Mux) error {
	keyring, err := usherrequest.NewKeyring(d.fleet.secret)
	if err != nil {
		return err
	}
	gateway, err := ushergateway.New(ushergateway.Options{
		Name: d.host.Name, DataCentre: d.host.DataCentre, Address: d.host.Address, Incarnation: uint64(time.Now().UnixNano()),
		Keyring: keyring, Config: d.feed, Grants: ushergrant.NewClient(d.node), Targets: d.targets,
		Link: d.node, Log: d.fleet.config.Log.With("process", d.host.Name),
	})
	if err != nil {
		return err
	}
	gateway.Register(mux)
	d.component = gateway
	return nil
}

func (d *Daemon) initScheduler(mux *usherlink.Mux) error {
	scheduler, err := usherscheduler.New(usherscheduler.Options{
		Name: d.host.Name, DataCentre: d.host.DataCentre, Incarnation: uint64(time.Now().UnixNano()), ReportLag: time.Second,
		CellByDataCentre: d.fleet.config.Cells, Lease: d.fleet.config.Lease, Member: d.fleet.config.Member, Config: d.feed, Targets: d.targets, Link: d.node, Log: d.fleet.config.Log.With("process", d.host.Name),
	})
	if err != nil {
		return err
	}
	scheduler.Register(mux)
	d.component = scheduler
	return nil
}
