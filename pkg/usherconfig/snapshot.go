package usherconfig

import (
	"cmp"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"slices"
	"strings"
)

type (
	// KeyHash is the SHA-256 of a workspace's key.
	KeyHash [sha256.Size]byte

	// Snapshot is a whole declaration under one revision. Each slice is in order of name.
	Snapshot struct {
		Revision    uint64
		Services    []Service
		Targets     []Target
		DataCentres []DataCentre
		Hosts       []Host
		Templates   []Template
		Workspaces  []Workspace
	}

	// item is anything with a name that a snapshot holds in order.
	item interface {
		itemName() string
	}
)

// HashKey returns the hash under which a workspace's key is declared.
func HashKey(key string) KeyHash {
	return sha256.Sum256([]byte(key))
}

// String returns the hash in lower-case hexadecimal.
func (h KeyHash) String() string {
	return hex.EncodeToString(h[:])
}

// VerifyKey reports whether key is the workspace's key, in a time that does not depend on where they differ.
func (w Workspace) VerifyKey(key string) bool {
	hash := HashKey(key)
	return subtle.ConstantTimeCompare(hash[:], w.KeyHash[:]) == 1
}

// WithRevision returns a copy of s under another revision.
func (s Snapshot) WithRevision(revision uint64) Snapshot {
	s.Revision = revision
	return s
}

// WithService returns a copy of s in which v replaces the service of its name, or is added.
func (s Snapshot) WithService(v Service) Snapshot {
	s.Services = withItem(s.Services, v)
	return s
}

// WithTarget returns a copy of s in which v replaces the target of its name, or is added.
func (s Snapshot) WithTarget(v Target) Snapshot {
	s.Targets = withItem(s.Targets, v)
	return s
}

// WithDataCentre returns a copy of s in which v replaces the data centre of its name, or is added.
func (s Snapshot) WithDataCentre(v DataCentre) Snapshot {
	s.DataCentres = withItem(s.DataCentres, v)
	return s
}

// WithHost returns a copy of s in which v replaces the host of its name, or is added.
func (s Snapshot) WithHost(v Host) Snapshot {
	s.Hosts = withItem(s.Hosts, v)
	return s
}

// WithTemplate returns a copy of s in which v replaces the template of its name, or is added.
func (s Snapshot) WithTemplate(v Template) Snapshot {
	s.Templates = withItem(s.Templates, v)
	return s
}

// WithWorkspace returns a copy of s in which v replaces the workspace of its name, or is added.
func (s Snapshot) WithWorkspace(v Workspace) Snapshot {
	s.Workspaces = withItem(s.Workspaces, v)
	return s
}

// Service returns the service called name.
func (s Snapshot) Service(name string) (Service, bool) { return findItem(s.Services, name) }

// Target returns the target called name.
func (s Snapshot) Target(name string) (Target, bool) { return findItem(s.Targets, name) }

// DataCentre returns the data centre called name.
func (s Snapshot) DataCentre(name string) (DataCentre, bool) { return findItem(s.DataCentres, name) }

// Host returns the host called name.
func (s Snapshot) Host(name string) (Host, bool) { return findItem(s.Hosts, name) }

// Template returns the template called name.
func (s Snapshot) Template(name string) (Template, bool) { return findItem(s.Templates, name) }

// Workspace returns the workspace called name.
func (s Snapshot) Workspace(name string) (Workspace, bool) { return findItem(s.Workspaces, name) }

// TargetsOf returns the targets of a service in order of name.
func (s Snapshot) TargetsOf(service string) []Target {
	var targets []Target
	for _, t := range s.Targets {
		if t.Service == service {
			targets = append(targets, t)
		}
	}
	return targets
}

func findItem[T item](items []T, name string) (T, bool) {
	i, found := searchItem(items, name)
	if !found {
		var none T
		return none, false
	}
	return items[i], true
}

func withItem[T item](items []T, v T) []T {
	i, found := searchItem(items, v.itemName())
	items = slices.Clone(items)
	if found {
		items[i] = v
		return items
	}
	return slices.Insert(items, i, v)
}

func searchItem[T item](items []T, name string) (int, bool) {
	return slices.BinarySearchFunc(items, name, func(v T, name string) int {
		return strings.Compare(v.itemName(), name)
	})
}

func compareItems[T item](a, b T) int {
	return strings.Compare(a.itemName(), b.itemName())
}

func compareParameterValues(a, b ParameterValue) int {
	return cmp.Or(strings.Compare(a.Template, b.Template), strings.Compare(a.Parameter, b.Parameter))
}
