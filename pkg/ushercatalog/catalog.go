// Package ushercatalog merges what the hosts know of the entries that the platform publishes.
//
// Every entry carries the revision of its last change, from one counter, so merging is the same whatever the order and
// the source: of two states of one entry the one with the higher revision holds. A host may take entries from the
// platform's store and from its peers alike, and a peer's view may be newer than its own. A removal is a state like any
// other and stays known for a while, so that an older view cannot bring the entry back.
//
// # Usage
//
//	var c ushercatalog.Catalog
//	changed := c.Merge(now, entries...)
//	c.ApplyFullList(now, listed, revision) // after a full list at revision: what is not listed is gone
//	for _, t := range c.Targets() {
//		...
//	}
package ushercatalog

import (
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/samphireusher/samphireusher/pkg/usherroute"
)

const (
	// Declaration is the kind of the one entry with the operators' routes, services and workspaces.
	Declaration Kind = iota
	// Evacuation is the kind of entries that name a data centre whose targets are to get nothing.
	Evacuation
	// Replica is the kind of entries that targets write about themselves.
	Replica

	// RemovalRetention is how long a removal stays known; far above any age of a peer's view or a cached read.
	RemovalRetention = 2 * time.Minute
)

type (
	// Kind tells what an entry is about.
	Kind uint8

	// Key names an entry.
	Key struct {
		Kind Kind   `cbor:"1,keyasint"`
		Name string `cbor:"2,keyasint"`
	}

	// Entry is one state of one published entry.
	Entry struct {
		Key      Key    `cbor:"1,keyasint"`
		Revision uint64 `cbor:"2,keyasint"`
		Removed  bool   `cbor:"3,keyasint,omitempty"`
		// Target is set for entries of kind Replica, unless the entry could not be read.
		Target *Target `cbor:"4,keyasint,omitempty"`
		// Declarations is set for entries of kind Declaration.
		Declarations *Declarations `cbor:"5,keyasint,omitempty"`
	}

	// Target is what a target says of itself.
	Target struct {
		ID         string         `cbor:"1,keyasint"`
		Service    string         `cbor:"2,keyasint"`
		Address    netip.AddrPort `cbor:"3,keyasint"`
		DataCentre string         `cbor:"4,keyasint"`
		Slots      int            `cbor:"5,keyasint"`
		// Leaving says that it accepts no new work.
		Leaving bool `cbor:"6,keyasint,omitempty"`
		// ColdRemaining is how much longer it was to be cold when it wrote the entry.
		ColdRemaining time.Duration `cbor:"7,keyasint,omitempty"`
		// Incarnation differs between starts under one id.
		Incarnation int64 `cbor:"8,keyasint,omitempty"`
	}

	// Declarations is the content of a Declaration entry.
	Declarations struct {
		Version    int64                  `cbor:"1,keyasint"`
		Routes     []usherroute.Route     `cbor:"2,keyasint"`
		Services   []usherroute.Service   `cbor:"3,keyasint"`
		Workspaces []usherroute.Workspace `cbor:"4,keyasint"`
		Limits     usherroute.Limits      `cbor:"5,keyasint"`
	}

	// KnownEntry is an entry with the time at which this host learned it.
	KnownEntry struct {
		Entry
		Learned time.Time
	}

	// Catalog is what one host knows. The zero value knows nothing. It is not safe for concurrent use.
	Catalog struct {
		entries map[Key]KnownEntry
		// revision is the highest up to which every change is known.
		revision uint64
		table    *usherroute.Table
	}
)

// Merge takes in entries and returns those that changed what is known.
func (c *Catalog) Merge(now time.Time, entries ...Entry) []Entry {
	var changed []Entry
	for _, e := range entries {
		old, known := c.entries[e.Key]
		if known && !supersedes(e, old.Entry) {
			continue
		}
		if c.entries == nil {
			c.entries = map[Key]KnownEntry{}
		}
		c.entries[e.Key] = KnownEntry{Entry: e, Learned: now}
		if e.Declarations != nil && (c.table == nil || e.Declarations.Version > c.table.Version()) {
			d := e.Declarations
			c.table = usherroute.NewTable(d.Version, d.Routes, d.Services, d.Workspaces, d.Limits)
		}
		changed = append(changed, e)
	}
	return changed
}

// ApplyFullList takes in a full list whose first page was read at revision. What is known from before that revision and is
// not listed was removed; it returns the removals.
func (c *Catalog) ApplyFullList(now time.Time, listed []Entry, revision uint64) []Entry {
	changed, _ := c.complete(now, listed, revision, func(Entry) bool { return false })
	return changed
}

// ApplyFullListAfterOutage is ApplyFullList for the first list after the store was away. Entries of targets that were not leaving
// may have lapsed meanwhile and are kept; it tells whether there are any. List again once those that live have had the
// time to come back.
func (c *Catalog) ApplyFullListAfterOutage(now time.Time, listed []Entry, revision uint64) (changed []Entry, kept bool) {
	return c.complete(now, listed, revision, func(e Entry) bool { return e.Target != nil && !e.Target.Leaving })
}

func (c *Catalog) complete(now time.Time, listed []Entry, revision uint64, keep func(Entry) bool) (changed []Entry, kept bool) {
	present := make(map[Key]bool, len(listed))
	for _, e := range listed {
		present[e.Key] = true
	}
	var removals []Entry
	for key, k := range c.entries {
		switch {
		case present[key] || k.Removed || k.Revision > revision || key.Kind == Declaration:
		case keep(k.Entry):
			kept = true
		default:
			removals = append(removals, Entry{Key: key, Revision: revision, Removed: true})
		}
	}
	changed = append(c.Merge(now, listed...), c.Merge(now, removals...)...)
	c.AdvanceRevision(revision)
	return changed, kept
}

// supersedes tells whether a replaces b. A list that was read at an entry's own revision may miss it, as later pages
// are read later, so at one revision the removal is the newer state.
func supersedes(a, b Entry) bool {
	return a.Revision > b.Revision || a.Revision == b.Revision && a.Removed && !b.Removed
}

// AdvanceRevision records that every change up to revision is known.
func (c *Catalog) AdvanceRevision(revision uint64) {
	c.revision = max(c.revision, revision)
}

// Revision returns the revision up to which every change is known.
func (c *Catalog) Revision() uint64 { return c.revision }

// Table returns the newest declarations, or nil if none are known. Their version never goes back.
func (c *Catalog) Table() *usherroute.Table { return c.table }

// Targets returns the readable entries of targets that are not removed, sorted by id.
func (c *Catalog) Targets() []KnownEntry {
	var targets []KnownEntry
	for key, k := range c.entries {
		if key.Kind == Replica && !k.Removed && k.Target != nil {
			targets = append(targets, k)
		}
	}
	slices.SortFunc(targets, func(a, b KnownEntry) int { return strings.Compare(a.Target.ID, b.Target.ID) })
	return targets
}

// Evacuated tells whether operators have taken a data centre out.
func (c *Catalog) Evacuated(dataCentre string) bool {
	k, known := c.entries[Key{Kind: Evacuation, Name: dataCentre}]
	return known && !k.Removed
}

// Entries returns everything known, removals included, sorted by revision.
func (c *Catalog) Entries() []Entry {
	entries := make([]Entry, 0, len(c.entries))
	for _, k := range c.entries {
		entries = append(entries, k.Entry)
	}
	slices.SortFunc(entries, func(a, b Entry) int {
		if a.Revision != b.Revision {
			return int(int64(a.Revision) - int64(b.Revision))
		}
		return strings.Compare(a.Key.Name, b.Key.Name)
	})
	return entries
}

// Sweep forgets removals that are older than RemovalRetention.
func (c *Catalog) Sweep(now time.Time) {
	for key, k := range c.entries {
		if k.Removed && now.Sub(k.Learned) > RemovalRetention {
			delete(c.entries, key)
		}
	}
}
