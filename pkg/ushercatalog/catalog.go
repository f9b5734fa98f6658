// Package ushercatalog merges the entries that the platform publishes, as learned from different sources.
//
// Every entry carries the revision of its last change, from a single counter, so the result of a merge does not depend
// on order or source: of two states of an entry, the one with the higher revision wins. A host may take entries both
// from the platform's store and from its peers, and a peer may be ahead of it. A removal is a state like any other and
// is retained for a while, so that an older view cannot restore the entry.
//
// # Usage
//
//	var c ushercatalog.Catalog
//	changed := c.Merge(now, entries...)
//	c.ApplyFullList(now, listed, revision) // after a full list at revision: entries not listed are removed
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
	// Declaration is the kind of the single entry with the operators' routes, services and workspaces.
	Declaration Kind = iota
	// Evacuation is the kind of entries that name a data centre whose targets must not receive work.
	Evacuation
	// TargetEntry is the kind of entries that targets publish about themselves.
	TargetEntry

	// RemovalRetention is how long a removal is retained. It is far longer than a peer's view or a cached read can be
	// out of date.
	RemovalRetention = 2 * time.Minute
)

type (
	// Kind is the type of an entry.
	Kind uint8

	// Key identifies an entry.
	Key struct {
		Kind Kind   `cbor:"1,keyasint"`
		Name string `cbor:"2,keyasint"`
	}

	// Entry is one state of a published entry.
	Entry struct {
		Key      Key    `cbor:"1,keyasint"`
		Revision uint64 `cbor:"2,keyasint"`
		Removed  bool   `cbor:"3,keyasint,omitempty"`
		// Target is set for entries of kind TargetEntry, unless the entry could not be decoded.
		Target *Target `cbor:"4,keyasint,omitempty"`
		// Declarations is set for entries of kind Declaration.
		Declarations *Declarations `cbor:"5,keyasint,omitempty"`
	}

	// Target is a target's description of itself.
	Target struct {
		ID         string         `cbor:"1,keyasint"`
		Service    string         `cbor:"2,keyasint"`
		Address    netip.AddrPort `cbor:"3,keyasint"`
		DataCentre string         `cbor:"4,keyasint"`
		Slots      int            `cbor:"5,keyasint"`
		// Leaving is set if the target accepts no new work.
		Leaving bool `cbor:"6,keyasint,omitempty"`
		// ColdRemaining is how much longer the target expected to be cold when it wrote the entry.
		ColdRemaining time.Duration `cbor:"7,keyasint,omitempty"`
		// Incarnation differs between starts with the same id.
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

	// Catalog holds the entries known to one host. The zero value is an empty catalog. It is not safe for concurrent
	// use.
	Catalog struct {
		entries map[Key]KnownEntry
		// revision is the highest revision up to which every change is known.
		revision uint64
		table    *usherroute.Table
	}
)

// Merge merges entries and returns those that changed the catalog.
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

// ApplyFullList merges a full list whose first page was read at revision. Entries that are not listed and were last
// changed at or before that revision are removed. It returns all changes, including the removals.
func (c *Catalog) ApplyFullList(now time.Time, listed []Entry, revision uint64) []Entry {
	changed, _ := c.applyFullList(now, listed, revision, func(Entry) bool { return false })
	return changed
}

// ApplyFullListAfterOutage is like ApplyFullList, but for the first list after the store was unavailable. Entries of
// targets that were not leaving may have expired during the outage and are kept; kept reports whether there are any.
// The caller must list again once live targets have had time to publish their entries again.
func (c *Catalog) ApplyFullListAfterOutage(now time.Time, listed []Entry, revision uint64) (changed []Entry, kept bool) {
	return c.applyFullList(now, listed, revision, func(e Entry) bool { return e.Target != nil && !e.Target.Leaving })
}

func (c *Catalog) applyFullList(now time.Time, listed []Entry, revision uint64, keep func(Entry) bool) (changed []Entry, kept bool) {
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

// supersedes reports whether a replaces b. At the same revision a removal supersedes the entry: a list read at an
// entry's own revision may miss the entry, as later pages are read later.
func supersedes(a, b Entry) bool {
	return a.Revision > b.Revision || a.Revision == b.Revision && a.Removed && !b.Removed
}

// AdvanceRevision records that every change up to revision is known.
func (c *Catalog) AdvanceRevision(revision uint64) {
	c.revision = max(c.revision, revision)
}

// Revision returns the revision up to which every change is known.
func (c *Catalog) Revision() uint64 { return c.revision }

// Table returns the latest declarations, or nil if none are known. Their version never decreases.
func (c *Catalog) Table() *usherroute.Table { return c.table }

// Targets returns the decodable target entries that are not removed, sorted by id.
func (c *Catalog) Targets() []KnownEntry {
	var targets []KnownEntry
	for key, k := range c.entries {
		if key.Kind == TargetEntry && !k.Removed && k.Target != nil {
			targets = append(targets, k)
		}
	}
	slices.SortFunc(targets, func(a, b KnownEntry) int { return strings.Compare(a.Target.ID, b.Target.ID) })
	return targets
}

// Evacuated reports whether operators have taken a data centre out of service.
func (c *Catalog) Evacuated(dataCentre string) bool {
	k, known := c.entries[Key{Kind: Evacuation, Name: dataCentre}]
	return known && !k.Removed
}

// Entries returns all known entries, including removals, sorted by revision.
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

// Sweep deletes removals older than RemovalRetention.
func (c *Catalog) Sweep(now time.Time) {
	for key, k := range c.entries {
		if k.Removed && now.Sub(k.Learned) > RemovalRetention {
			delete(c.entries, key)
		}
	}
}
