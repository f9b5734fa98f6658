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
	// KeyHash is the SHA-256 of the API key of a workspace.
	KeyHash [sha256.Size]byte

	// Snapshot is a complete declaration under one revision. Each slice is sorted by name.
	Snapshot struct {
		Revision    uint64
		Services    []Service
		Targets     []Target
		DataCentres []DataCentre
		Hosts       []Host
		Templates   []Template
		Workspaces  []Workspace
	}

	// item is a named element of the sorted slices of a snapshot.
	item interface {
		itemName() string
	}
)

// HashKey returns the hash of an API key, as it is declared for a workspace.
func HashKey(key string) KeyHash {
	return sha256.Sum256([]byte(key))
}

// String returns the hash in lower-case hexadecimal digits.
func (h KeyHash) String() string {
	return hex.EncodeToString(h[:])
}

// VerifyKey reports whether key is the API key of the workspace. The comparison takes constant time, so that its
// duration does not show where the keys differ.
func (w Workspace) VerifyKey(key string) bool {
	hash := HashKey(key)
	return subtle.ConstantTimeCompare(hash[:], w.KeyHash[:]) == 1
}

// WithRevision returns a copy of s with the revision set.
func (s Snapshot) WithRevision(revision uint64) Snapshot {
	s.Revision = revision
	return s
}

// WithService returns a copy of s with v added. It replaces a service of the same name.
func (s Snapshot) WithService(v Service) Snapshot {
	s.Services = withItem(s.Services, v)
	return s
}

// WithTarget returns a copy of s with v added. It replaces a target of the same name.
func (s Snapshot) WithTarget(v Target) Snapshot {
	s.Targets = withItem(s.Targets, v)
	return s
}

// WithDataCentre returns a copy of s with v added. It replaces a data centre of the same name.
func (s Snapshot) WithDataCentre(v DataCentre) Snapshot {
	s.DataCentres = withItem(s.DataCentres, v)
	return s
}

// WithHost returns a copy of s with v added. It replaces a host of the same name.
func (s Snapshot) WithHost(v Host) Snapshot {
	s.Hosts = withItem(s.Hosts, v)
	return s
}

// WithTemplate returns a copy of s with v added. It replaces a template of the same name.
func (s Snapshot) WithTemplate(v Template) Snapshot {
	s.Templates = withItem(s.Templates, v)
	return s
}

// WithWorkspace returns a copy of s with v added. It replaces a workspace of the same name.
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

// TargetsOf returns the targets of a service, sorted by name.
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
		var zero T
		return zero, false
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
