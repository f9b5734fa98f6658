// Package usherfleet runs stand-ins and the product's daemons in one process, on an in-memory network, for tests.
//
// It starts the platform and the targets of a snapshot as HTTP servers, and gateways and schedulers that communicate by
// QUIC, so that tests use the same interfaces as the users of the product. Each of them has its own address on the
// fleet's Network, which can block links between them. Under testing/synctest, all waits are in virtual time.
//
// # Usage
//
//	fleet, err := usherfleet.Start(ctx, usherfleet.Config{Gateways: 3, Schedulers: 3, Engines: 3, Services: 1})
//	if err != nil {
//		return err
//	}
//	defer fleet.Close()
//	address := fleet.Gateways[0].Address()
package usherfleet

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/samphireusher/samphireusher/pkg/usherconfig"
	"github.com/samphireusher/samphireusher/pkg/usherkey"
	"github.com/samphireusher/samphireusher/pkg/usherlease"
	"github.com/samphireusher/samphireusher/pkg/ushermember"
	"github.com/samphireusher/samphireusher/service/usherclient"
	"github.com/samphireusher/samphireusher/standin/internal/usherlife"
	"github.com/samphireusher/samphireusher/standin/usherengine"
	"github.com/samphireusher/samphireusher/standin/ushernet"
	"github.com/samphireusher/samphireusher/standin/usherplain"
	"github.com/samphireusher/samphireusher/standin/usherplatform"
)

const (
	// Workspace and APIKey are the credentials of the first workspace of every fleet, OtherWorkspace and OtherAPIKey those
	// of the second.
	Workspace      = "kochi"
	APIKey         = "kochi-demo-key"
	OtherWorkspace = "thrissur"
	OtherAPIKey    = "thrissur-demo-key"

	keyValidity      = time.Hour
	secretBytes      = 32
	closeGracePeriod = time.Second
)

type (
	// Config configures a fleet. Hosts and targets are assigned to the data centres round-robin.
	Config struct {
		DataCentres int
		Gateways    int
		Schedulers  int
		Engines     int
		Services    int
		// Cells makes the schedulers of each data centre a separate cell.
		Cells bool
		// EngineDataCentre is the data centre of all engines. If empty, they are assigned round-robin.
		EngineDataCentre string
		// Engine configures each engine stand-in.
		Engine usherengine.Config
		// MaxColdConcurrency is the declared concurrency limit of a cold engine. Zero selects 1.
		MaxColdConcurrency int
		// MaxWarmConcurrency is the declared concurrency limit of a warm engine. Zero selects 32.
		MaxWarmConcurrency int
		// Lease and Member set the intervals of the schedulers' cell. If Member.Interval is zero, the intervals are a fifth
		// of those of the product, so that tests run faster.
		Lease  usherlease.Options
		Member ushermember.Options
		// Directory is an empty directory for the fleet's keys.
		Directory string
		// Network configures the in-memory network.
		Network ushernet.Options
		// Loopback uses sockets of the loopback interface instead of Network, for clients in other processes.
		Loopback bool
		Log      *slog.Logger
	}

	// Fleet is a running set of stand-ins and daemons.
	Fleet struct {
		Network    *ushernet.Network
		Platform   *usherplatform.Platform
		Engines    []*usherengine.Engine
		Services   []*usherplain.Service
		Gateways   []*Daemon
		Schedulers []*Daemon

		transport    transport
		mu           sync.Mutex // guards the lists of daemons while they start
		config       Config
		authority    usherkey.KeyPair
		secret       []byte
		platform     netip.AddrPort
		snapshot     usherconfig.Snapshot
		servers      []*http.Server
		background   sync.WaitGroup
		clients      []*usherclient.Client
		addressCount int
	}
)

// Start starts a fleet. When it returns, the gateways are ready to serve.
func Start(ctx context.Context, config Config) (*Fleet, error) {
	f := &Fleet{config: config.withDefaults(), secret: make([]byte, secretBytes)}
	var err error
	if f.authority, err = usherkey.NewAuthority(time.Now(), keyValidity); err != nil {
		return nil, err
	}
	f.Network = ushernet.New(f.config.Network)
	f.transport = f.Network
	if f.config.Loopback {
		f.transport = loopback{}
	}
	f.Platform = usherplatform.New(usherplatform.Config{HostLag: time.Millisecond})
	if f.platform, err = f.serve(f.Platform); err != nil {
		return nil, err
	}
	if err := f.prepareSnapshot(); err != nil {
		return nil, err
	}
	if err := f.Publish(f.snapshot); err != nil {
		return nil, err
	}
	return f, f.startAll(ctx)
}

// startAll starts all daemons concurrently, because each one waits until it has received messages from others.
func (f *Fleet) startAll(ctx context.Context) error {
	errs := make(chan error, len(f.snapshot.Hosts))
	for _, h := range f.snapshot.Hosts {
		go func() { errs <- f.startDaemon(ctx, h) }()
	}
	var err error
	for range f.snapshot.Hosts {
		err = errors.Join(err, <-errs)
	}
	if err != nil {
		return errors.Join(err, f.Close())
	}
	byName := func(a, b *Daemon) int { return strings.Compare(a.Name(), b.Name()) }
	slices.SortFunc(f.Gateways, byName)
	slices.SortFunc(f.Schedulers, byName)
	return nil
}

// Snapshot returns the snapshot that was published last.
func (f *Fleet) Snapshot() usherconfig.Snapshot {
	return f.snapshot
}

// Publish publishes s with the next revision, like the operators' pipeline.
func (f *Fleet) Publish(s usherconfig.Snapshot) error {
	s = s.WithRevision(f.snapshot.Revision + 1)
	values := []usherplatform.Value{}
	for _, v := range usherconfig.Render(s) {
		values = append(values, usherplatform.Value{Key: v.Key, Body: v.Data})
	}
	if _, err := f.Platform.Publish(values); err != nil {
		return err
	}
	f.snapshot = s
	return nil
}

// Close kills all daemons and stops the stand-ins.
func (f *Fleet) Close() error {
	errs := []error{}
	for _, d := range slices.Concat(f.Gateways, f.Schedulers) {
		errs = append(errs, d.Kill())
	}
	for _, s := range f.servers {
		errs = append(errs, s.Close())
	}
	for _, e := range f.Engines {
		e.Close()
	}
	for _, c := range f.clients {
		c.Close()
	}
	f.background.Wait()
	time.Sleep(closeGracePeriod) // lets abandoned connections reach their deadlines
	return errors.Join(errs...)
}

// prepareSnapshot starts the targets, allocates the addresses of the daemons and builds the snapshot that declares both.
// It also sets the host list of the platform.
func (f *Fleet) prepareSnapshot() error {
	s := usherconfig.Snapshot{}
	for i := range f.config.DataCentres {
		s = s.WithDataCentre(usherconfig.DataCentre{Name: f.dataCentre(i), Region: "kerala", InService: true})
	}
	s = withTemplates(s.WithService(usherconfig.Service{Name: "appraiser", Kind: usherconfig.EngineService}).
		WithService(usherconfig.Service{Name: "registry", Kind: usherconfig.PlainService}))
	for i := range f.config.Engines {
		engine := usherengine.New(f.config.Engine)
		address, err := f.serve(engine)
		if err != nil {
			return err
		}
		f.Engines = append(f.Engines, engine)
		s = s.WithTarget(f.target(fmt.Sprintf("appraiser-%02d", i+1), "appraiser", i, address))
	}
	for i := range f.config.Services {
		service := usherplain.New(usherplain.Config{})
		address, err := f.serve(service)
		if err != nil {
			return err
		}
		f.Services = append(f.Services, service)
		s = s.WithTarget(f.target(fmt.Sprintf("registry-%02d", i+1), "registry", i, address))
	}
	hosts := []usherplatform.Host{}
	for _, role := range []usherconfig.Role{usherconfig.GatewayRole, usherconfig.SchedulerRole} {
		count := f.config.Gateways
		if role == usherconfig.SchedulerRole {
			count = f.config.Schedulers
		}
		for i := range count {
			address := f.allocateAddress()
			h := usherconfig.Host{Name: fmt.Sprintf("%s-%d", role, i+1), Address: address, DataCentre: f.dataCentre(i), Role: role, InService: true}
			s = s.WithHost(h)
			hosts = append(hosts, usherplatform.Host{
				Name: h.Name, Address: address.String(), DataCentre: h.DataCentre, Role: string(role), State: usherplatform.StateLive,
			})
		}
	}
	f.snapshot = s
	_, err := f.Platform.SetHosts(hosts)
	return err
}

func (f *Fleet) target(name, service string, i int, address netip.AddrPort) usherconfig.Target {
	t := usherconfig.Target{
		Name: name, Address: address, DataCentre: f.dataCentre(i), Service: service, MaxColdConcurrency: f.config.MaxColdConcurrency,
		MaxWarmConcurrency: f.config.MaxWarmConcurrency, InService: true,
	}
	if service == "appraiser" {
		t.MemoryTokens = 60_000
		t.DataCentre = cmp.Or(f.config.EngineDataCentre, t.DataCentre)
	}
	return t
}

func (f *Fleet) dataCentre(i int) string {
	names := []string{"kochi", "thrissur", "kozhikode"}
	return names[i%f.config.DataCentres%len(names)]
}

// NewClient returns a client with the credentials of the first workspace.
func (f *Fleet) NewClient() *usherclient.Client {
	return f.NewClientOf(Workspace, APIKey)
}

// NewClientOf returns a client with the given credentials.
func (f *Fleet) NewClientOf(workspace, key string) *usherclient.Client {
	f.mu.Lock()
	defer f.mu.Unlock()
	client := usherclient.NewWith(workspace, key, usherclient.Dial(f.transport.Dialer(f.allocateAddressLocked().Addr())))
	f.clients = append(f.clients, client)
	return client
}

// serve starts an HTTP server for handler at a new address.
func (f *Fleet) serve(handler http.Handler) (netip.AddrPort, error) {
	address := f.allocateAddress()
	listener, err := f.transport.Listen(address)
	if err != nil {
		return netip.AddrPort{}, err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute, ConnContext: usherlife.ConnContext}
	f.servers = append(f.servers, server)
	f.background.Go(func() { _ = server.Serve(listener) })
	return address, nil
}

func (f *Fleet) allocateAddress() netip.AddrPort {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.allocateAddressLocked()
}

// allocateAddressLocked returns a new address. The caller must hold the lock.
func (f *Fleet) allocateAddressLocked() netip.AddrPort {
	f.addressCount++
	return f.transport.Address(f.addressCount)
}

// issueCredentials issues the credentials of the named daemon, writes them to files and loads them from there.
func (f *Fleet) issueCredentials(name string) (*usherkey.Credentials, error) {
	pair, err := f.authority.Issue(name, time.Now(), keyValidity)
	if err != nil {
		return nil, err
	}
	path := func(ending string) string { return filepath.Join(f.config.Directory, name+ending) }
	files := usherkey.Files{Certificate: path(".pem"), Key: path(".key"), Authorities: path("-fleet.pem")}
	for file, data := range map[string][]byte{
		files.Certificate: pair.Certificate, files.Key: pair.Key, files.Authorities: f.authority.Certificate,
	} {
		if err := os.WriteFile(file, data, 0o600); err != nil {
			return nil, err
		}
	}
	return usherkey.Load(files)
}

func (c Config) withDefaults() Config {
	const (
		defaultMaxWarmConcurrency = 32
		interval                  = 200 * time.Millisecond
	)
	for field, value := range map[*int]int{&c.DataCentres: 1, &c.Gateways: 1, &c.Schedulers: 1, &c.MaxColdConcurrency: 1, &c.MaxWarmConcurrency: defaultMaxWarmConcurrency} {
		if *field == 0 {
			*field = value
		}
	}
	if c.Member.Interval == 0 {
		c.Member = ushermember.Options{
			Interval: interval, SuspectAfter: 5 * interval / 2, DeadAfter: 4 * interval, SettleAfter: 5 * interval,
			PauseAfter: 10 * interval,
		}
		c.Lease.Lease = 4 * interval
	}
	if c.Log == nil {
		c.Log = slog.New(slog.DiscardHandler)
	}
	return c
}
