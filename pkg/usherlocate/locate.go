// Package usherlocate decides which gateway a caller is told to use, and what a caller meets that comes to the wrong
// one with an old answer.
//
// The gateways of the nearest data centre come first. Within it callers are spread by weighted rendezvous hashing, so
// that a gateway that comes or goes moves no caller but its own. Gateways that are leaving, out of service or
// overloaded are passed over. An answer has a lifetime that differs a little between callers, so that they do not all
// ask again at once.
//
// A gateway serves whoever comes to it while it can, wherever the caller belongs. Once it cannot, it refuses the
// request as not_run with the address of another gateway. A request with an id goes to the ledger first: only the
// gateway that minted the id knows whether it ran.
//
// # Usage
//
//	view := usherlocate.NewView(gateways...).WithGateway(leaving)
//	caller := usherlocate.Caller{Workspace: workspace, Client: address, Near: []string{"kochi", "thrissur"}}
//	answer, ok := view.Locate(caller)
//	refusal, refused := view.TurnAway("kochi-1", caller)
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
	// Overloaded is the state of a gateway that takes none for a moment.
	Overloaded
	// Leaving is the state of a gateway that finishes what it has and then stops.
	Leaving
	// OutOfService is the state of a gateway whose host or data centre operators have taken out.
	OutOfService
)

const (
	// Lifetime is how long callers keep an answer at most.
	Lifetime = 30 * time.Second
	// ShortLifetime is how long they keep one that names a gateway farther away than need be.
	ShortLifetime = 5 * time.Second

	// lifetimeSpread is the part of a lifetime by which answers differ.
	lifetimeSpread = 0.2
)

type (
	// State says whether a gateway takes new requests.
	State uint8

	// Gateway is what a process knows about one gateway.
	Gateway struct {
		Name       string
		Address    string
		DataCentre string
		// Weight is its share among the gateways of its data centre; not positive counts as one.
		Weight float64
		State  State
	}

	// Caller is who asks. Near lists data centres, the nearest first; all others are equally far.
	Caller struct {
		Workspace string
		Client    string
		Near      []string
	}

	// Answer names the gateway to use until the lifetime is over.
	Answer struct {
		Gateway  string
		Address  string
		Lifetime time.Duration
	}

	// View is what a process knows about all gateways. It is immutable.
	View struct {
		gateways []Gateway
	}
)

// NewView returns a view of gateways. Of two with one name the later counts.
func NewView(gateways ...Gateway) View {
	var v View
	for _, g := range gateways {
		v = v.WithGateway(g)
	}
	return v
}

// WithGateway returns the view with g in place of the gateway of that name.
func (v View) WithGateway(g Gateway) View {
	v = v.Without(g.Name)
	v.gateways = append(v.gateways, g)
	return v
}

// Without returns the view without the gateway called name.
func (v View) Without(name string) View {
	v.gateways = slices.DeleteFunc(slices.Clone(v.gateways), func(g Gateway) bool { return g.Name == name })
	return v
}

// Locate returns the answer for caller, unless no gateway takes new requests.
func (v View) Locate(caller Caller) (Answer, bool) {
	return v.locate(caller, "")
}

// TurnAway returns the refusal that caller meets at the gateway called self if it takes no new requests.
func (v View) TurnAway(self string, caller Caller) (usherrequest.Refusal, bool) {
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

// locate finds the first gateway by distance and rendezvous score, except the one called but.
func (v View) locate(caller Caller, but string) (Answer, bool) {
	key := xxhash.Sum64String(caller.Workspace + "\x00" + caller.Client)
	var best Gateway
	var bestScore float64
	found, bestTier, nearest := false, 0, math.MaxInt
	for _, g := range v.gateways {
		tier := caller.tier(g)
		nearest = min(nearest, tier)
		if g.State != InService || g.Name == but {
			continue
		}
		score := g.score(key)
		if !found || compare(tier, bestTier, score, bestScore, g.Name, best.Name) < 0 {
			best, bestTier, bestScore, found = g, tier, score, true
		}
	}
	lifetime := Lifetime
	if bestTier > nearest {
		lifetime = ShortLifetime
	}
	return Answer{Gateway: best.Name, Address: best.Address, Lifetime: spread(lifetime, key)}, found
}

// compare orders by tier, then by score from high to low, then by name.
func compare(tier, otherTier int, score, otherScore float64, name, otherName string) int {
	return cmp.Or(cmp.Compare(tier, otherTier), cmp.Compare(otherScore, score), cmp.Compare(name, otherName))
}

// tier returns how far a gateway is in the order of the caller's data centres.
func (c Caller) tier(g Gateway) int {
	if i := slices.Index(c.Near, g.DataCentre); i >= 0 {
		return i
	}
	return len(c.Near)
}

// score is that of weighted rendezvous hashing: -weight / ln(u) for u uniform in (0, 1).
func (g Gateway) score(key uint64) float64 {
	weight := g.Weight
	if weight <= 0 {
		weight = 1
	}
	return -weight / math.Log(uniform(mix(key^xxhash.Sum64String(g.Name))))
}

// spread shortens a lifetime by a part that depends on the caller.
func spread(lifetime time.Duration, key uint64) time.Duration {
	return lifetime - time.Duration(float64(lifetime)*lifetimeSpread*uniform(mix(key)))
}

// uniform maps a hash to the open interval from 0 to 1.
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
