// Package usherfleet joins stand-ins and the product's daemons in one process, on a network in memory, for tests.
//
// It starts the platform and the targets that a snapshot declares as HTTP servers, and gateways and schedulers that talk
// QUIC to each other, so that a test meets the product at the same edges as its users do. Each has an address of
// its own on the fleet's Network, which can cut links between them. Run under testing/synctest, nothing waits.
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
	// Workspace and APIKey are the credentials of the one workspace that every fleet has; OtherWorkspace has OtherAPIKey.
	Workspace      = "kochi"
	APIKey         = "kochi-demo-key"
	OtherWorkspace = "thrissur"
	OtherAPIKey    = "thrissur-demo-key"

	keyValidity = time.Hour
	secretBytes = 32
	settle      = time.Second
)

type (
	// Config says how large a fleet is. Data centres are dealt in turn.
	Config struct {
		DataCentres int
		Gateways    int
		Schedulers  int
		Engines     int
		Services    int
		// Cells makes the schedulers of each data centre a cell.
		Cells bool
		// EngineDataCentre names the one data centre that all engines are in; empty deals them in turn.
		EngineDataCentre string
		// Engine sets what every engine stand-in is.
		Engine usherengine.Config
		// ColdCapacity is the load that a cold engine bears; zero counts as one.
		ColdCapacity int
		// WarmCapacity is the load that a warm engine bears; zero counts as 32.
		WarmCapacity int
		// Lease and Member time the schedulers' cell; zero values stand for intervals a fifth of the product's, so that
		// tests need not wait.
		Lease  usherlease.Options
		Member ushermember.Options
		// Directory holds the fleet's keys; it must be empty.
		Directory string
		// Network sets what the network does.
		Network ushernet.Options
		// Loopback puts the fleet on real sockets, for callers that are processes of their own; then Network stays unused.
		Loopback bool
		Log      *slog.Logger
	}

	// Fleet is a running fleet.
	Fleet struct {
		Network    *ushernet.Network
		Platform   *usherplatform.Platform
		Engines    []*usherengine.Engine
		Services   []*usherplain.Service
		Gateways   []*Daemon
		Schedulers []*Daemon

		sockets   sockets
		mu        sync.Mutex // guards the lists of daemons while they start
		config    Config
		authority usherkey.KeyPair
		secret    []byte
		platform  netip.AddrPort
		snapshot  usherconfig.Snapshot
		servers   []*http.Server
		duties    sync.WaitGroup
		callers   []*usherclient.Client
		addresses int
	}
)

// Start brings a fleet up; its gateways serve when it returns.
func Start(ctx context.Context, config Config) (*Fleet, error) {
	f := &Fleet{config: config.withDefaults(), secret: make([]byte, secretBytes)}
	var err error
	if f.authority, err = usherkey.NewAuthority(time.Now(), keyValidity); err != nil {
		return nil, err
	}
	f.Network = ushernet.New(f.config.Network)
	f.sockets = f.Network
	if f.config.Loopback {
		f.sockets = loopback{}
	}
	f.Platform = usherplatform.New(usherplatform.Config{HostLag: time.Millisecond})
	if f.platform, err = f.serve(f.Platform); err != nil {
		return nil, err
	}
	if err := f.declare(); err != nil {
		return nil, err
	}
	if err := f.Publish(f.snapshot); err != nil {
		return nil, err
	}
	return f, f.startAll(ctx)
}

// startAll starts the daemons at once, for each waits until it hears others.
func (f *Fleet) startAll(ctx context.Context) error {
	failures := make(chan error, len(f.snapshot.Hosts))
	for _, h := range f.snapshot.Hosts {
		go func() { failures <- f.startDaemon(ctx, h) }()
	}
	var failure error
	for range f.snapshot.Hosts {
		failure = errors.Join(failure, <-failures)
	}
	if failure != nil {
		return errors.Join(failure, f.Close())
	}
	byName := func(a, b *Daemon) int { return strings.Compare(a.Name(), b.Name()) }
	slices.SortFunc(f.Gateways, byName)
	slices.SortFunc(f.Schedulers, byName)
	return nil
}

// Snapshot returns what was published last.
func (f *Fleet) Snapshot() usherconfig.Snapshot {
	return f.snapshot
}

// Publish publishes s under the next revision, as the operators' pipeline does.
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

// Close ends every daemon at once, and the stand-ins.
func (f *Fleet) Close() error {
	failures := []error{}
	for _, d := range slices.Concat(f.Gateways, f.Schedulers) {
		failures = append(failures, d.Kill())
	}
	for _, s := range f.servers {
		failures = append(failures, s.Close())
	}
	for _, e := range f.Engines {
		e.Close()
	}
	for _, c := range f.callers {
		c.Close()
	}
	f.duties.Wait()
	time.Sleep(settle) // connections that nobody waits for any more reach their deadlines
	return errors.Join(failures...)
}

// declare starts the targets and reserves the daemons' addresses.
func (f *Fleet) declare() error {
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
			address := f.newAddress()
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
		Name: name, Address: address, DataCentre: f.dataCentre(i), Service: service, BearableColdLoad: f.config.ColdCapacity,
		MaxWarmConcurrency: f.config.WarmCapacity, InService: true,
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

// NewClient returns a caller of the fleet's first workspace.
func (f *Fleet) NewClient() *usherclient.Client {
	return f.NewClientOf(Workspace, APIKey)
}

// NewClientOf returns a caller with the given credentials.
func (f *Fleet) NewClientOf(workspace, key string) *usherclient.Client {
	f.mu.Lock()
	defer f.mu.Unlock()
	client := usherclient.NewWith(workspace, key, usherclient.Dial(f.sockets.Dialer(f.nextAddress().Addr())))
	f.callers = append(f.callers, client)
	return client
}

// serve serves handler at a new address.
func (f *Fleet) serve(handler http.Handler) (netip.AddrPort, error) {
	address := f.newAddress()
	listener, err := f.sockets.Listen(address)
	if err != nil {
		return netip.AddrPort{}, err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute, ConnContext: usherlife.ConnContext}
	f.servers = append(f.servers, server)
	f.duties.Go(func() { _ = server.Serve(listener) })
	return address, nil
}

func (f *Fleet) newAddress() netip.AddrPort {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.nextAddress()
}

// nextAddress returns the address of one more host. The caller holds the lock.
func (f *Fleet) nextAddress() netip.AddrPort {
	f.addresses++
	return f.sockets.Address(f.addresses)
}

// keysOf writes the keys of the daemon called name.
func (f *Fleet) keysOf(name string) (*usherkey.Credentials, error) {
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
		full  = 32
		quick = 200 * time.Millisecond
	)
	for field, value := range map[*int]int{&c.DataCentres: 1, &c.Gateways: 1, &c.Schedulers: 1, &c.ColdCapacity: 1, &c.WarmCapacity: full} {
		if *field == 0 {
			*field = value
		}
	}
	if c.Member.Interval == 0 {
		c.Member = ushermember.Options{
			Interval: quick, SuspectAfter: 5 * quick / 2, DeadAfter: 4 * quick, SettleAfter: 5 * quick,
			PauseAfter: 10 * quick,
		}
		c.Lease.Lease = 4 * quick
	}
	if c.Log == nil {
		c.Log = slog.New(slog.DiscardHandler)
	}
	return c
}
