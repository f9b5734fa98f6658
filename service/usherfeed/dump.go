package usherfeed

import (
	"maps"
	"slices"
	"time"

	"github.com/samphireusher/samphireusher/pkg/usherview"
)

type dumpWire struct {
	usherview.Dump
	LeavingHosts []string `json:"leaving_hosts"`
	HostsAgeMS   int64    `json:"hosts_age_ms"`
}

// Dump returns the feed's state for the admin endpoint.
func (f *Feed) Dump() any {
	now := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	dump := dumpWire{Dump: f.store.Dump(now), LeavingHosts: slices.Sorted(maps.Keys(f.hosts.leaving))}
	if !f.hosts.asOf.IsZero() {
		dump.HostsAgeMS = now.Sub(f.hosts.asOf).Milliseconds()
	}
	return dump
}
