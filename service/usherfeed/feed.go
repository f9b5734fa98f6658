// Package usherfeed keeps the configuration in force in a process.
//
// It does the I/O of a usherview.Store: reads the platform, which it never writes to, and exchanges versions and shards
// with the feeds of other processes over the link. A few readers in each data centre read the platform; the others
// hear from them. The list of leaving hosts travels the same way.
//
// # Usage
//
//	feed := usherfeed.New(usherfeed.Options{Address: address, DataCentre: "kochi", Platform: platform, Link: node, Log: log})
//	feed.Register(mux)
//	go feed.Run(ctx)
//	if err := feed.Start(ctx); err != nil {
//		return err
//	}
//	call, err := feed.Resolve("kochi", "appraisal", arguments)
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
	tickPeriod   = 100 * time.Millisecond
	catchUpPause = 20 * time.Millisecond
	// readInterval is the time between a reader's reads of the index.
	readInterval = time.Second
	// remotePeers is how many members of other data centres a feed exchanges versions with.
	remotePeers = 3
	// readersPerPlace is how many processes of a data centre read the platform.
	readersPerPlace = 3
)

type (
	// Link carries messages to other processes; *usherlink.Node is one.
	Link interface {
		Call(ctx context.Context, address, kind string, value, answer any) error
		SendDatagram(address, kind string, value any) error
	}

	// Options are what a feed is made of.
	Options struct {
		// Address is where this process listens for others; it is its name among feeds.
		Address    netip.AddrPort
		DataCentre string
		Platform   *Platform
		Link       Link
		Log        *slog.Logger
		// Seeds are processes to ask before a configuration tells of any, so that a start needs no platform.
		Seeds []netip.AddrPort
		// View times the store; zero values stand for its defaults.
		View usherview.Settings
		// Seed differs for each start.
		Seed uint64
	}

	// Feed is the configuration in force. It is safe for use by several goroutines.
	Feed struct {
		options Options
		ctx     context.Context
		cancel  context.CancelFunc
		duties  sync.WaitGroup
		view    atomic.Pointer[usherconfig.View]
		outage  atomic.Bool

		// mu guards the store and what belongs to its decisions.
		mu    sync.Mutex
		store *usherview.Store
		hosts hostStates
	}
)

// New returns a feed without a configuration.
func New(options Options) *Feed {
	settings := options.View
	settings.Name, settings.DataCentre, settings.Seed = options.Address.String(), options.DataCentre, options.Seed
	settings.ReadersPerDataCentre = readersPerPlace
	if settings.ReadInterval == 0 {
		settings.ReadInterval = readInterval
	}
	f := &Feed{options: options, store: usherview.New(settings)}
	f.ctx, f.cancel = context.WithCancel(context.Background())
	f.view.Store(&usherconfig.View{})
	f.setMembers(usherconfig.Snapshot{})
	return f
}

// WaitReady waits until a configuration is in force, from the platform or from peers. Run must be running.
func (f *Feed) WaitReady(ctx context.Context) error {
	for f.State() == usherview.Starting {
		if !wait(ctx, catchUpPause) {
			return ctx.Err()
		}
	}
	return nil
}

// Run follows the platform and the peers until ctx ends.
func (f *Feed) Run(ctx context.Context) {
	defer f.duties.Wait()
	defer f.cancel()
	ticker := time.NewTicker(tickPeriod)
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

// step lets the store decide and does what it wants done.
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
		f.options.Log.Info("configuration in force", "revision", view.Version().Revision, "workspaces", view.WorkspaceCount())
	}
	f.perform(effects)
}

// setMembers tells the store whom to exchange versions with: all of the own data centre and a few of the others. The
// caller holds the lock, or has the feed to itself.
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
	f.hosts.reader = readsHosts(self, f.options.DataCentre, local)
	f.store.SetMembers(append(local, nearest(self, remote, remotePeers)...))
}

// perform does the store's effects without waiting for them.
func (f *Feed) perform(effects usherview.Effects) {
	for _, r := range effects.Reads {
		f.background(func() { f.read(r) })
	}
	for _, m := range effects.Send {
		f.send(m)
	}
}

// background runs duty unless the feed has ended.
func (f *Feed) background(duty func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.ctx.Err() == nil {
		f.duties.Go(duty)
	}
}

func (f *Feed) read(r usherview.Read) {
	data, err := f.options.Platform.Value(f.ctx, r.Key)
	f.notePlatform(r.Key, err)
	f.step(func(s *usherview.Store) usherview.Effects { return s.ReadDone(time.Now(), r.ID, data, err) })
}

// notePlatform logs when the platform stops answering and when it answers again, and nothing in between.
func (f *Feed) notePlatform(key string, err error) {
	switch {
	case err != nil && !f.outage.Swap(true):
		f.options.Log.Warn("configuration service does not answer; what is in force stays", "key", key, "error", err)
	case err == nil && f.outage.Swap(false):
		f.options.Log.Info("configuration service answers again")
	}
}

// State returns whether the feed is starting, serving or unconfirmed.
func (f *Feed) State() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.store.State(time.Now())
}

// View returns the view in force.
func (f *Feed) View() usherconfig.View {
	return *f.view.Load()
}

// Revision returns the revision in force.
func (f *Feed) Revision() uint64 {
	return f.View().Version().Revision
}

// Snapshot returns everything in force but the workspaces.
func (f *Feed) Snapshot() usherconfig.Snapshot {
	return f.View().Snapshot()
}

// Workspace returns a workspace's settings.
func (f *Feed) Workspace(name string) (usherconfig.Workspace, bool) {
	return f.View().Workspace(name)
}

// Resolve checks a request and fills what it leaves out.
func (f *Feed) Resolve(workspace, template string, arguments []usherconfig.Argument) (usherconfig.Call, error) {
	return f.View().Resolve(workspace, template, arguments)
}

// Service returns a service.
func (f *Feed) Service(name string) (usherconfig.Service, bool) {
	return f.Snapshot().Service(name)
}

// Target returns a target.
func (f *Feed) Target(name string) (usherconfig.Target, bool) {
	return f.Snapshot().Target(name)
}

// Hosts returns the declared hosts of role, those out of service included.
func (f *Feed) Hosts(role usherconfig.Role) []usherconfig.Host {
	hosts := []usherconfig.Host{}
	for _, h := range f.Snapshot().Hosts {
		if h.Role == role {
			hosts = append(hosts, h)
		}
	}
	return hosts
}

// Leaving reports whether the platform lists the host as leaving, or operators took it out of service.
func (f *Feed) Leaving(host string) bool {
	h, ok := f.Snapshot().Host(host)
	if ok && !h.InService {
		return true
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.hosts.leaving[host]
}

// Eligible reports whether new work may go to the target: it and its data centre are in service, it is not
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

// WaitForRevision waits until the revision is in force, which the process at address has.
func (f *Feed) WaitForRevision(ctx context.Context, revision uint64, address string) error {
	version := usherconfig.Version{Revision: revision}
	for f.Revision() < revision {
		f.step(func(s *usherview.Store) usherview.Effects {
			_, effects := s.RequireVersion(time.Now(), version, address)
			return effects
		})
		if !wait(ctx, catchUpPause) {
			return ctx.Err()
		}
	}
	return nil
}

func wait(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
