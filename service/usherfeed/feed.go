// Package usherfeed keeps the configuration in force in a process.
//
// It reads and watches the platform, and never writes to it. A value that does not hold together or goes back leaves the
// last good one in force.
//
// # Usage
//
//	feed := usherfeed.New(usherfeed.NewPlatform(address), log)
//	if err := feed.Start(ctx); err != nil {
//		return err
//	}
//	go feed.Run(ctx)
//	call, err := feed.Resolve("kochi", "appraisal", arguments)
package usherfeed

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/samphireusher/samphireusher/pkg/usherconfig"
)

const (
	hostsPeriod  = time.Second
	retryPause   = 200 * time.Millisecond
	catchUpPause = 10 * time.Millisecond
)

// Feed is the configuration in force. It is safe for use by several goroutines.
type Feed struct {
	platform *Platform
	log      *slog.Logger

	mu      sync.RWMutex
	view    usherconfig.View
	leaving map[string]bool
}

// New returns a feed without a configuration.
func New(platform *Platform, log *slog.Logger) *Feed {
	return &Feed{platform: platform, log: log}
}

// Start waits for a first configuration.
func (f *Feed) Start(ctx context.Context) error {
	for {
		err := f.refresh(ctx)
		if err == nil {
			f.refreshHosts(ctx)
			return nil
		}
		f.log.Warn("no configuration yet", "error", err)
		if !wait(ctx, retryPause) {
			return ctx.Err()
		}
	}
}

// Run follows the platform until ctx ends.
func (f *Feed) Run(ctx context.Context) {
	var duties sync.WaitGroup
	duties.Go(func() { f.watch(ctx) })
	duties.Go(func() { f.followHosts(ctx) })
	duties.Wait()
}

// View returns the view in force.
func (f *Feed) View() usherconfig.View {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.view
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

// Hosts returns the hosts of role that are in service, with their data centre.
func (f *Feed) Hosts(role usherconfig.Role) []usherconfig.Host {
	snapshot := f.Snapshot()
	hosts := []usherconfig.Host{}
	for _, h := range snapshot.Hosts {
		if h.Role == role {
			hosts = append(hosts, h)
		}
	}
	return hosts
}

// Leaving reports whether the platform lists the host as leaving, or operators took it out of service.
func (f *Feed) Leaving(host string) bool {
	f.mu.RLock()
	defer f.mu.RUnlock()
	if f.leaving[host] {
		return true
	}
	h, ok := f.view.Snapshot().Host(host)
	return ok && !h.InService
}

// Eligible reports whether new work may go to the target: it and its data centre are in service.
func (f *Feed) Eligible(_ time.Time, target string) bool {
	snapshot := f.Snapshot()
	t, ok := snapshot.Target(target)
	if !ok || !t.InService {
		return false
	}
	return inService(snapshot, t.DataCentre)
}

// DataCentreInService reports whether operators have the data centre in service.
func (f *Feed) DataCentreInService(name string) bool {
	return inService(f.Snapshot(), name)
}

func inService(snapshot usherconfig.Snapshot, dataCentre string) bool {
	d, ok := snapshot.DataCentre(dataCentre)
	return ok && d.InService
}

// CatchUp waits until the revision is in force.
func (f *Feed) CatchUp(ctx context.Context, revision uint64) error {
	for f.Revision() < revision {
		if !wait(ctx, catchUpPause) {
			return ctx.Err()
		}
	}
	return nil
}

func (f *Feed) watch(ctx context.Context) {
	version := uint64(0)
	for ctx.Err() == nil {
		change, err := f.platform.Watch(ctx, version)
		if err == nil && change.Version != version {
			err = f.refresh(ctx)
		}
		if err != nil {
			f.log.Warn("configuration service", "error", err)
			wait(ctx, retryPause)
			continue
		}
		version = change.Version
	}
}

// refresh reads the index and the shards that are not here yet.
func (f *Feed) refresh(ctx context.Context) error {
	index, err := f.platform.Value(ctx, usherconfig.IndexKey)
	if err != nil {
		return err
	}
	decoded, err := usherconfig.DecodeIndex(index)
	if err != nil {
		return err
	}
	current := f.View()
	if decoded.Version.Compare(current.Version()) <= 0 {
		return nil
	}
	shards := map[usherconfig.Digest][]byte{}
	for _, shard := range decoded.Shards() {
		if _, ok := current.Shard(shard.Digest); ok {
			continue
		}
		if shards[shard.Digest], err = f.platform.Value(ctx, shard.Key); err != nil {
			return err
		}
	}
	next, err := current.Advance(index, shards)
	if err != nil {
		return err
	}
	f.mu.Lock()
	f.view = next
	f.mu.Unlock()
	f.log.Info("configuration in force", "revision", next.Version().Revision, "workspaces", next.WorkspaceCount())
	return nil
}

func (f *Feed) followHosts(ctx context.Context) {
	for wait(ctx, hostsPeriod) {
		f.refreshHosts(ctx)
	}
}

func (f *Feed) refreshHosts(ctx context.Context) {
	hosts, err := f.platform.Hosts(ctx)
	if err != nil {
		f.log.Debug("host list", "error", err)
		return
	}
	leaving := map[string]bool{}
	for _, h := range hosts {
		leaving[h.Name] = h.Leaving
	}
	f.mu.Lock()
	f.leaving = leaving
	f.mu.Unlock()
}

func wait(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
