// Package usherroute determines the route and the workspace of a call.
//
// A Table holds one version of the operators' declarations: routes by host and path prefix, services, workspaces with
// their keys, and limits on what callers send. Tables are immutable, and a newer one replaces an older one as a whole,
// so that a call is processed under a single version throughout.
//
// # Usage
//
//	table := usherroute.NewTable(version, routes, services, workspaces, limits)
//	route, err := table.Route("fair.example", "/appraisals/7")
//	if err != nil {
//		return err // ErrNoRoute
//	}
//	workspace, err := table.Authenticate(route, key)
package usherroute

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/joomcode/errorx"
)

const (
	// Idempotent calls may be executed more than once.
	Idempotent Kind = iota
	// Once is the kind of calls that are executed at most once.
	Once
	// Stream is the kind of calls answered with a stream of events. They are executed at most once unless
	// Route.Resumable is set.
	Stream
)

var (
	// Errors is the namespace of this package's errors.
	Errors = errorx.NewNamespace("usher_route").ApplyModifiers(errorx.TypeModifierOmitStackTrace)
	// ErrNoRoute is the type of errors returned for calls that match no route.
	ErrNoRoute = Errors.NewType("no_route")
	// ErrUnknownKey is the type of errors returned for calls whose key belongs to no workspace.
	ErrUnknownKey = Errors.NewType("unknown_key")
)

type (
	// Kind determines how often a call may be executed.
	Kind uint8

	// Route declares how calls to one path prefix of a host are handled.
	Route struct {
		Name   string `cbor:"1,keyasint"`
		Host   string `cbor:"2,keyasint"`
		Prefix string `cbor:"3,keyasint"`
		Kind   Kind   `cbor:"4,keyasint"`
		// Timeout bounds how long a caller waits; zero means no bound.
		Timeout time.Duration `cbor:"5,keyasint"`
		// Objective is the latency objective: for the first event of streams, and for the response of other calls.
		Objective time.Duration `cbor:"6,keyasint"`
		// MaxPause is the longest pause between two events that still meets the objective.
		MaxPause time.Duration `cbor:"7,keyasint"`
		// Patience is how long callers of a stream wait for its first event before they leave; zero if it is not known.
		Patience time.Duration `cbor:"13,keyasint,omitempty"`
		// Priority is the priority of the calls; zero is the most urgent.
		Priority int `cbor:"8,keyasint"`
		// MaxTargets is how many targets one attempt of a caller may be sent to.
		MaxTargets int `cbor:"9,keyasint"`
		// Public routes require no key.
		Public bool `cbor:"10,keyasint"`
		// Resumable streams may be continued by another execution after the last event received.
		Resumable bool `cbor:"11,keyasint"`
		// Shares distribute the calls over services.
		Shares []Share `cbor:"12,keyasint"`
	}

	// Share is a service's part of a route's calls.
	Share struct {
		Service string  `cbor:"1,keyasint"`
		Weight  float64 `cbor:"2,keyasint"`
	}

	// Service is a group of interchangeable targets.
	Service struct {
		Name string `cbor:"1,keyasint"`
		// ColdRate is how many requests per second a cold target tolerates; zero means no bound.
		ColdRate float64 `cbor:"2,keyasint"`
		// MaxConnections bounds the connections to one target from all callers together.
		MaxConnections int `cbor:"3,keyasint"`
		// HealthPath is the path of a target's health check.
		HealthPath string `cbor:"5,keyasint,omitempty"`
		// Engine describes the targets if they are model engines.
		Engine *Engine `cbor:"4,keyasint,omitempty"`
	}

	// Engine describes model engines with continuous batching.
	Engine struct {
		Slots        int `cbor:"1,keyasint"`
		MemoryTokens int `cbor:"2,keyasint"`
		// EventTokens is the number of tokens in one event of a stream.
		EventTokens int `cbor:"3,keyasint"`
		// BackupCopies reports whether a generation's KV cache can be copied to another engine while it grows.
		BackupCopies bool `cbor:"4,keyasint"`
		// OnDemandCopies reports whether a generation's KV cache can be copied to another engine on demand.
		OnDemandCopies bool `cbor:"5,keyasint"`
		// CopyLifetime is how long a copy is kept after its last part was received.
		CopyLifetime time.Duration `cbor:"6,keyasint"`
		// TokenCopyTime is how long copying the KV cache of one token takes between engines of the same data centre.
		TokenCopyTime time.Duration `cbor:"7,keyasint"`
	}

	// Workspace is a customer with its own keys.
	Workspace struct {
		Name string   `cbor:"1,keyasint"`
		Keys []string `cbor:"2,keyasint"`
		// Priority overrides the priority of the route, if set.
		Priority *int `cbor:"3,keyasint,omitempty"`
	}

	// Limits bound what callers may send. Zero means no bound.
	Limits struct {
		HeaderBytes   int           `cbor:"1,keyasint"`
		BodyBytes     int64         `cbor:"2,keyasint"`
		HeaderTimeout time.Duration `cbor:"3,keyasint"`
		IdleTimeout   time.Duration `cbor:"4,keyasint"`
	}

	// Table is one version of the operators' declarations. The zero value has no routes.
	Table struct {
		version         int64
		routes          map[string][]Route
		services        map[string]Service
		workspacesByKey map[string]Workspace
		limits          Limits
		workspaceCount  int
	}
)

func NewTable(version int64, routes []Route, services []Service, workspaces []Workspace, limits Limits) *Table {
	t := &Table{
		version: version, limits: limits, workspaceCount: len(workspaces),
		routes: map[string][]Route{}, services: map[string]Service{}, workspacesByKey: map[string]Workspace{},
	}
	for _, r := range routes {
		host := strings.ToLower(r.Host)
		t.routes[host] = append(t.routes[host], r)
	}
	for _, rs := range t.routes {
		slices.SortStableFunc(rs, func(a, b Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for _, s := range services {
		t.services[s.Name] = s
	}
	for _, w := range workspaces {
		for _, key := range w.Keys {
			t.workspacesByKey[key] = w
		}
	}
	return t
}

// Version returns the version number assigned by operators.
func (t *Table) Version() int64 { return t.version }

// Limits returns the limits on what callers send.
func (t *Table) Limits() Limits { return t.limits }

// Service returns the declaration of a service.
func (t *Table) Service(name string) (Service, bool) {
	s, ok := t.services[name]
	return s, ok
}

// Services returns all services in unspecified order.
func (t *Table) Services() []Service {
	services := make([]Service, 0, len(t.services))
	for _, s := range t.services {
		services = append(services, s)
	}
	return services
}

// Route returns the route of host with the longest prefix of path.
func (t *Table) Route(host, path string) (Route, error) {
	host = strings.ToLower(host)
	if i := strings.LastIndexByte(host, ':'); i >= 0 {
		host = host[:i]
	}
	for _, r := range t.routes[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, nil
		}
	}
	return Route{}, ErrNoRoute.New("no route for host %q and path %q in declarations version %d", host, path, t.version)
}

// Authenticate returns the workspace that holds key. Calls of public routes, and all calls if the table has no
// workspaces, require no key; a known key is still resolved for them.
func (t *Table) Authenticate(r Route, key string) (Workspace, error) {
	if w, ok := t.workspacesByKey[key]; ok && key != "" {
		return w, nil
	}
	if r.Public || t.workspaceCount == 0 {
		return Workspace{}, nil
	}
	return Workspace{}, ErrUnknownKey.New("the key belongs to no workspace in declarations version %d", t.version)
}

// AtMostOnce reports whether calls of the route may be executed only once.
func (r Route) AtMostOnce() bool {
	return r.Kind == Once || r.Kind == Stream && !r.Resumable
}

// Service selects the service of a call. point must be uniformly distributed over [0, 1).
func (r Route) Service(point float64) string {
	total := 0.0
	for _, s := range r.Shares {
		total += s.Weight
	}
	for _, s := range r.Shares {
		if point -= s.Weight / total; point < 0 {
			return s.Service
		}
	}
	if len(r.Shares) == 0 {
		return ""
	}
	return r.Shares[len(r.Shares)-1].Service
}
