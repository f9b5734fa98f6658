// Package usherfeed keeps a process's configuration up to date.
//
// It performs the I/O for a usherview.Store: it reads the platform, never writes to it, and exchanges versions and shards
// with the feeds of other processes over the link. A few readers in each data centre read the platform; the other
// processes receive updates from them. The list of leaving hosts is distributed in the same way.
//
// # Usage
//
//	feed := usherfeed.New(usherfeed.Options{Address: address, DataCentre: "kochi", Platform: platform, Link: node, Log: log})
//	feed.Register(mux)
//	go feed.Run(ctx)
//	if err := feed.WaitReady(ctx); err != nil {
//		return err
//	}
//	request, err := feed.Resolve("kochi", "appraisal", arguments)
package usherfeed

import (
	"context"
	"log/slog"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/samphireusher/samphireusher/pkg/usherconfig"
	"github.com/samphireusher/samphireusher/pkg/usherview"
)

const (
	tickInterval = 100 * time.Millisecond
	waitInterval = 20 * time.Millisecond
	// readInterval is the interval at which a reader reads the index.
	readInterval = time.Second
	// remotePeers is the number of members in other data centres with which a feed exchanges versions.
	remotePeers = 3
	// readersPerDataCentre is the number of processes per data centre that read the platform.
	readersPerDataCentre = 3
)

type (
	// Link sends messages to other processes. *usherlink.Node implements it.
	Link interface {
		Call(ctx context.Context, address, kind string, value, response any) error
		SendDatagram(address, kind string, value any) error
	}

	// Options configures a feed.
	Options struct {
		// Address is the address at which this process listens for other processes. It also identifies the feed.
		Address    netip.AddrPort
		DataCentre string
		Platform   *Platform
		Link       Link
		Log        *slog.Logger
		// Seeds are the processes to contact until a configuration lists any, so that a process can start without the
		// platform.
		Seeds []netip.AddrPort
		// View sets the timing of the store. Zero values select its defaults.
		View usherview.Settings
		// Seed is a random seed that must differ between starts.
		Seed uint64
	}

	// Feed provides the current configuration. It is safe for concurrent use.
	Feed struct {
		options     Options
		ctx         context.Context
		cancel      context.CancelFunc
		wg          sync.WaitGroup
		view        atomic.Pointer[usherconfig.View]
		unavailable atomic.Bool

		// mu guards store and hosts.
		mu    sync.Mutex
		store *usherview.Store
		hosts hostStates
	}
)

// New returns a feed without a configuration.
func New(options Options) *Feed {
	settings := options.View
	settings.Name, settings.DataCentre, settings.Seed = options.Address.String(), options.DataCentre, options.Seed
	settings.ReadersPerDataCentre = readersPerDataCentre
	if settings.ReadInterval == 0 {
		settings.ReadInterval = readInterval
	}
	f := &Feed{options: options, store: usherview.New(settings)}
	f.ctx, f.cancel = context.WithCancel(context.Background())
	f.view.Store(&usherconfig.View{})
	f.setMembers(usherconfig.Snapshot{})
	return f
}

// WaitReady waits until the feed has left the state usherview.Starting: it has a configuration, and either the platform and
// several peers have answered or the start timeout has passed. Run must be running.
func (f *Feed) WaitReady(ctx context.Context) error {
	for f.State() == usherview.Starting {
		if !wait(ctx, waitInterval) {
			return ctx.Err()
		}
	}
	return nil
}

// Run keeps the configuration up to date until ctx is done.
func (f *Feed) Run(ctx context.Context) {
	defer f.wg.Wait()
	defer f.cancel()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			f.step(func(s *usherview.Store) usherview.Effects { return s.Tick(now) })
			f.refreshHosts(now)
		}
	}
}

// step lets the store make a decision and performs the resulting effects. If that changed the configuration version, it
// publishes the new view.
func (f *Feed) step(decide func(s *usherview.Store) usherview.Effects) {
	f.mu.Lock()
	before := f.store.Version()
	effects := decide(f.store)
	view := f.store.View()
	if f.store.Version() != before {
		f.view.Store(&view)
		f.setMembers(view.Snapshot())
	}
	f.mu.Unlock()
	if view.Version() != before {
		f.options.Log.Info("configuration updated", "revision", view.Version().Revision, "workspaces", view.WorkspaceCount())
	}
	f.perform(effects)
}

// setMembers sets the peers with which the store exchanges versions: all processes of its own data centre and a few in
// other data centres. The caller must hold mu, or no other goroutine may use the feed yet.
func (f *Feed) setMembers(snapshot usherconfig.Snapshot) {
	local, remote := []usherview.Member{}, []usherview.Member{}
	for _, h := range snapshot.Hosts {
		m := usherview.Member{Name: h.Address.String(), DataCentre: h.DataCentre}
		if h.DataCentre == f.options.DataCentre {
			local = append(local, m)
		} else {
			remote = append(remote, m)
		}
	}
	if len(snapshot.Hosts) == 0 {
		for _, seed := range f.options.Seeds {
			local = append(local, usherview.Member{Name: seed.String(), DataCentre: f.options.DataCentre})
		}
	}
	self := f.options.Address.String()
	f.hosts.reader = isReader(self, f.options.DataCentre, local)
	f.store.SetMembers(append(local, rendezvousSelect(self, remote, remotePeers)...))
}

// perform starts the store's effects without waiting for them.
func (f *Feed) perform(effects usherview.Effects) {
	for _, r := range effects.Reads {
		f.background(func() { f.read(r) })
	}
	for _, m := range effects.Send {
		f.send(m)
	}
}

// background runs task in a goroutine unless the feed has been stopped.
func (f *Feed) background(task func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.ctx.Err() == nil {
		f.wg.Go(task)
	}
}

func (f *Feed) read(r usherview.Read) {
	data, err := f.options.Platform.Value(f.ctx, r.Key)
	f.logPlatform(r.Key, err)
	f.step(func(s *usherview.Store) usherview.Effects { return s.ReadDone(time.Now(), r.ID, data, err) })
}

// logPlatform logs when the platform becomes unavailable and when it is available again, and nothing in between.
func (f *Feed) logPlatform(key string, err error) {
	switch {
	case err != nil && !f.unavailable.Swap(true):
		f.options.Log.Warn("configuration service unavailable; current configuration remains in effect", "key", key, "error", err)
	case err == nil && f.unavailable.Swap(false):
		f.options.Log.Info("configuration service available again")
	}
}

// State returns the state of the feed: starting, serving or unconfirmed.
func (f *Feed) State() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.store.State(time.Now())
}

// View returns the current view.
func (f *Feed) View() usherconfig.View {
	return *f.view.Load()
}

// Revision returns the current configuration revision.
func (f *Feed) Revision() uint64 {
	return f.View().Version().Revision
}

// Snapshot returns the current configuration without the workspaces.
func (f *Feed) Snapshot() usherconfig.Snapshot {
	return f.View().Snapshot()
}

// Workspace returns a workspace's settings.
func (f *Feed) Workspace(name string) (usherconfig.Workspace, bool) {
	return f.View().Workspace(name)
}

// Resolve validates a request and fills in default values.
func (f *Feed) Resolve(workspace, template string, arguments []usherconfig.Argument) (usherconfig.ResolvedRequest, error) {
	return f.View().Resolve(workspace, template, arguments)
}

// Service returns the settings of a service.
func (f *Feed) Service(name string) (usherconfig.Service, bool) {
	return f.Snapshot().Service(name)
}

// Target returns the settings of a target.
func (f *Feed) Target(name string) (usherconfig.Target, bool) {
	return f.Snapshot().Target(name)
}

// Hosts returns the declared hosts with the given role, including those out of service.
func (f *Feed) Hosts(role usherconfig.Role) []usherconfig.Host {
	hosts := []usherconfig.Host{}
	for _, h := range f.Snapshot().Hosts {
		if h.Role == role {
			hosts = append(hosts, h)
		}
	}
	return hosts
}

// Leaving reports whether the platform lists the host as leaving or operators have taken it out of service.
func (f *Feed) Leaving(host string) bool {
	h, ok := f.Snapshot().Host(host)
	if ok && !h.InService {
		return true
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.hosts.leaving[host]
}

// Eligible reports whether the target may receive new work: the target and its data centre are in service, it is not
// leaving, and this process's view of that is confirmed.
func (f *Feed) Eligible(now time.Time, target string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.hosts.leaving[target] && f.store.Eligible(now, target).OK
}

// DataCentreInService reports whether operators have the data centre in service.
func (f *Feed) DataCentreInService(name string) bool {
	d, ok := f.Snapshot().DataCentre(name)
	return ok && d.InService
}

// WaitForRevision waits until this feed has at least the given revision, which the process at address can supply.
func (f *Feed) WaitForRevision(ctx context.Context, revision uint64, address string) error {
	version := usherconfig.Version{Revision: revision}
	for f.Revision() < revision {
		f.step(func(s *usherview.Store) usherview.Effects {
			_, effects := s.RequireVersion(time.Now(), version, address)
			return effects
		})
		if !wait(ctx, waitInterval) {
			return ctx.Err()
		}
	}
	return nil
}

// wait waits for d. It returns false if ctx ends first.
func wait(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
