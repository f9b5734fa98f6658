// Package usherlocate selects the gateway that a caller is directed to, and the response to a caller that arrives at
// another gateway with an outdated location.
//
// Gateways in the nearest data centre are preferred. Within a data centre, callers are distributed by weighted
// rendezvous hashing, so that adding or removing a gateway moves only its own callers. Gateways that are leaving, out
// of service or overloaded are skipped. The lifetime of a location differs slightly between callers, so that they do
// not all renew it at the same time.
//
// A gateway that takes new requests serves every caller, including those that are located elsewhere. Otherwise it
// refuses the request as not_run, with the address of another gateway. A request with an ID is first looked up in the
// ledger, because only the gateway that issued the ID knows whether the request ran.
//
// # Usage
//
//	view := usherlocate.NewView(gateways...).WithGateway(leaving)
//	caller := usherlocate.Caller{Workspace: workspace, Client: address, Near: []string{"kochi", "thrissur"}}
//	location, ok := view.Locate(caller)
//	refusal, refused := view.Redirect("kochi-1", caller)
package usherlocate

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/samphireusher/samphireusher/pkg/usherrequest"
)

const (
	// InService is the state of a gateway that takes new requests.
	InService State = iota
	// Overloaded is the state of a gateway that temporarily takes no new requests.
	Overloaded
	// Leaving is the state of a gateway that completes its current requests and then stops.
	Leaving
	// OutOfService is the state of a gateway whose host or data centre was taken out of service by operators.
	OutOfService
)

const (
	// Lifetime is the maximum time that callers keep a location.
	Lifetime = 30 * time.Second
	// ShortLifetime is the maximum time that they keep one that is not in the nearest data centre with gateways.
	ShortLifetime = 5 * time.Second

	// lifetimeJitter is the fraction of a lifetime by which it is shortened at most.
	lifetimeJitter = 0.2
)

type (
	// State is the service state of a gateway, which determines whether it takes new requests.
	State uint8

	// Gateway is what this process knows about one gateway.
	Gateway struct {
		Name       string
		Address    string
		DataCentre string
		// Weight is its relative share of the callers in its data centre. Zero and negative weights count as 1.
		Weight float64
		State  State
	}

	// Caller identifies a caller. Near lists data centres by distance, the nearest first; all others are equally far.
	Caller struct {
		Workspace string
		Client    string
		Near      []string
	}

	// Location is the gateway that a caller uses until the lifetime expires.
	Location struct {
		Gateway  string
		Address  string
		Lifetime time.Duration
	}

	// View is the set of gateways that this process knows. It is immutable.
	View struct {
		gateways []Gateway
	}
)

// NewView returns a view of gateways. If two have the same name, the later one is used.
func NewView(gateways ...Gateway) View {
	var v View
	for _, g := range gateways {
		v = v.WithGateway(g)
	}
	return v
}

// WithGateway returns the view with g, which replaces any gateway of the same name.
func (v View) WithGateway(g Gateway) View {
	v = v.Without(g.Name)
	v.gateways = append(v.gateways, g)
	return v
}

// Without returns the view without the gateway of that name.
func (v View) Without(name string) View {
	v.gateways = slices.DeleteFunc(slices.Clone(v.gateways), func(g Gateway) bool { return g.Name == name })
	return v
}

// Locate returns the location for caller. It returns false if no gateway takes new requests.
func (v View) Locate(caller Caller) (Location, bool) {
	return v.locate(caller, "")
}

// Redirect returns the refusal for a caller at the gateway called self. It returns false if that gateway takes new
// requests.
func (v View) Redirect(self string, caller Caller) (usherrequest.Refusal, bool) {
	reason := usherrequest.ReasonNotHere
	if i := slices.IndexFunc(v.gateways, func(g Gateway) bool { return g.Name == self }); i >= 0 {
		switch v.gateways[i].State {
		case InService:
			return usherrequest.Refusal{}, false
		case Overloaded:
			reason = usherrequest.ReasonOverloaded
		case Leaving:
			reason = usherrequest.ReasonStopping
		}
	}
	refusal := usherrequest.Refuse(usherrequest.Evidence{}, reason)
	if other, ok := v.locate(caller, self); ok {
		return refusal.WithOtherAddress(other.Address), true
	}
	return refusal.WithRetryAfter(ShortLifetime), true
}

// locate returns the best gateway by distance and rendezvous score, without the one called exclude.
func (v View) locate(caller Caller, exclude string) (Location, bool) {
	key := xxhash.Sum64String(caller.Workspace + "\x00" + caller.Client)
	var best Gateway
	var bestScore float64
	found, bestDistance, nearest := false, 0, math.MaxInt
	for _, g := range v.gateways {
		distance := caller.distance(g)
		nearest = min(nearest, distance)
		if g.State != InService || g.Name == exclude {
			continue
		}
		score := g.score(key)
		if !found || compare(distance, bestDistance, score, bestScore, g.Name, best.Name) < 0 {
			best, bestDistance, bestScore, found = g, distance, score, true
		}
	}
	lifetime := Lifetime
	if bestDistance > nearest {
		lifetime = ShortLifetime
	}
	return Location{Gateway: best.Name, Address: best.Address, Lifetime: jitterLifetime(lifetime, key)}, found
}

// compare orders by distance, then by descending score, then by name.
func compare(distance, otherDistance int, score, otherScore float64, name, otherName string) int {
	return cmp.Or(cmp.Compare(distance, otherDistance), cmp.Compare(otherScore, score), cmp.Compare(name, otherName))
}

// distance returns the index of the gateway's data centre in the caller's list, or the length of the list if it is not
// listed.
func (c Caller) distance(g Gateway) int {
	if i := slices.Index(c.Near, g.DataCentre); i >= 0 {
		return i
	}
	return len(c.Near)
}

// score returns the score of weighted rendezvous hashing: -weight / ln(u) for u uniform in (0, 1).
func (g Gateway) score(key uint64) float64 {
	weight := g.Weight
	if weight <= 0 {
		weight = 1
	}
	return -weight / math.Log(uniform(mix(key^xxhash.Sum64String(g.Name))))
}

// jitterLifetime shortens a lifetime by a fraction that depends on the caller.
func jitterLifetime(lifetime time.Duration, key uint64) time.Duration {
	return lifetime - time.Duration(float64(lifetime)*lifetimeJitter*uniform(mix(key)))
}

// uniform maps a hash to the open interval (0, 1).
func uniform(hash uint64) float64 {
	const bits = 53
	return (float64(hash>>(64-bits)) + 0.5) / (1 << bits)
}

// mix is the finalizer of SplitMix64.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
