// Package ushershare chooses the hosts that a caller is told to use, so that hosts of unequal capacity get connections in
// proportion to it.
//
// A caller picks one of the hosts named to it at random for each connection, so a host's part of the connections follows
// from how often it is named. Each host is named with a probability in proportion to what it can carry: its parts of the
// fleet's processors and links, of which the scarcer counts, against the strongest host. A host under pressure is named
// half as often for each level of it. No host is named less than minShare as often as the strongest, pressure apart, and
// each response names at least MinAddresses hosts, so that the loss of some is borne.
//
// Callers stop using connections to hosts that a response does not name any more. Therefore a choice is not drawn anew for
// each question: each host has a fixed random number for a caller, from a hash of its name and the caller's Seed, and is
// named if that number is below its probability. A host that comes, goes, or changes its pressure changes nothing else in
// the response, unless it was the strongest. All hosts that are asked name the same ones, as far as they know the same of
// the fleet, and the choices for different callers are independent.
//
// Where capacities do not differ and no host is under more pressure than others, all hosts are named up to MaxAddresses,
// those of the caller's data centre first.
//
// The package does no I/O and reads no clock.
//
// # Usage
//
//	seed := ushershare.Seed(caller, dataCentre, now)
//	for _, h := range ushershare.Choose(hosts, dataCentre, seed) {
//		...
//	}
package ushershare

import (
	"encoding/binary"
	"hash/fnv"
	"math"
	"net/netip"
	"slices"
	"time"
)

const (
	// MaxAddresses bounds the hosts in one response; callers use no more.
	MaxAddresses = 64
	// MinAddresses is the number of hosts that are named even if fewer could carry the load, if there are as many.
	MinAddresses = 8
	// MaxPressure is the highest level of pressure.
	MaxPressure = 3
	// minShare bounds how much less often a host is named than the strongest.
	minShare = 1.0 / 8
	// seedLifetime is how long a caller's seed stays the same. The choice changes at all, because callers that share an
	// IP address also share it.
	seedLifetime = 5 * time.Minute
)

type (
	// Host is a host that takes requests. Quantities of zero are not named.
	Host struct {
		Name       string
		DataCentre string
		Address    netip.AddrPort
		MilliCores uint32
		LinkMbps   uint32
		// Pressure is the level that the host names, from zero to MaxPressure.
		Pressure int
	}

	candidate struct {
		Host
		probability float64
		// rank is the candidate's random number divided by its probability. Lower ones are named first.
		rank float64
	}
)

// Seed returns the number from which the random choice for a caller follows. It stays the same for some minutes and changes
// at other moments for other callers.
func Seed(caller netip.Addr, dataCentre string, now time.Time) uint64 {
	key := append(caller.Unmap().AsSlice(), dataCentre...)
	phase := time.Duration(hash(0, key) % uint64(seedLifetime))
	period := now.Add(phase).UnixNano() / int64(seedLifetime)
	return hash(uint64(period), key)
}

// Choose returns the hosts that a caller is told to use: those of its data centre first, and apart from that in the given
// order.
func Choose(hosts []Host, dataCentre string, seed uint64) []Host {
	candidates, local := partition(hosts, dataCentre)
	if len(candidates) == 0 {
		return nil
	}
	setProbabilities(candidates, local)
	ranks := make([]float64, 0, len(candidates))
	for i := range candidates {
		c := &candidates[i]
		c.rank = fraction(hash(seed, []byte(c.Name))) / c.probability
		ranks = append(ranks, c.rank)
	}
	// Callers have to outlive the loss of their data centre: one host of another is named, if any would be among equals.
	firstRemote := math.Inf(-1)
	if 0 < local && local < min(len(ranks), MaxAddresses) {
		firstRemote = slices.Min(ranks[local:])
	}
	slices.Sort(ranks)
	limit := ranks[min(MinAddresses, len(ranks))-1]
	var chosen []Host
	for i, c := range candidates {
		if (c.rank < 1 || c.rank <= limit || i >= local && c.rank == firstRemote) && len(chosen) < MaxAddresses {
			chosen = append(chosen, c.Host)
		}
	}
	return chosen
}

// partition returns the hosts with those of the data centre first, and the number of these.
func partition(hosts []Host, dataCentre string) (candidates []candidate, local int) {
	for _, h := range hosts {
		if h.DataCentre == dataCentre {
			candidates = append(candidates, candidate{Host: h})
		}
	}
	local = len(candidates)
	for _, h := range hosts {
		if h.DataCentre != dataCentre {
			candidates = append(candidates, candidate{Host: h})
		}
	}
	return candidates, local
}

// setProbabilities sets how likely each candidate is named, apart from the bounds on the number of addresses.
func setProbabilities(candidates []candidate, local int) {
	parts, unequal, highest := shares(candidates), false, 0.0
	for i := range candidates {
		unequal = unequal || parts[i] != parts[0]
		candidates[i].probability = math.Ldexp(parts[i], -min(max(candidates[i].Pressure, 0), MaxPressure))
		highest = max(highest, candidates[i].probability)
	}
	for i := range candidates {
		candidates[i].probability /= highest
	}
	if !unequal || len(candidates) <= MaxAddresses {
		return
	}
	// Not all hosts would be named if they were equal, those of other data centres last.
	for i := range candidates {
		if i < local {
			candidates[i].probability *= min(1, MaxAddresses/float64(local))
		} else {
			candidates[i].probability *= float64(max(0, MaxAddresses-local)) / float64(len(candidates)-local)
		}
	}
}

// shares returns what each host can carry against the strongest: its part of the fleet's processors or that of its links,
// whichever is less. Measured by parts of the whole, a quantity that is abundant everywhere limits no host. A host that
// names none counts as the weakest.
func shares(candidates []candidate) []float64 {
	parts := make([]float64, len(candidates))
	for i := range parts {
		parts[i] = math.Inf(1)
	}
	for _, quantity := range []func(candidate) uint32{
		func(c candidate) uint32 { return c.MilliCores },
		func(c candidate) uint32 { return c.LinkMbps },
	} {
		least, total := uint32(0), 0.0
		for _, c := range candidates {
			if q := quantity(c); q > 0 && (least == 0 || q < least) {
				least = q
			}
		}
		for _, c := range candidates {
			total += float64(max(quantity(c), least))
		}
		for i, c := range candidates {
			if least > 0 {
				parts[i] = min(parts[i], float64(max(quantity(c), least))/total)
			}
		}
	}
	highest := slices.Max(parts)
	for i := range parts {
		if math.IsInf(highest, 1) {
			parts[i] = 1
			continue
		}
		parts[i] = max(parts[i]/highest, minShare)
	}
	return parts
}

// hash returns a number that is close to uniformly distributed.
func hash(seed uint64, data []byte) uint64 {
	h := fnv.New64a()
	// Writes to a hash do not fail.
	_, _ = h.Write(binary.BigEndian.AppendUint64(nil, seed))
	_, _ = h.Write(data)
	// The last bytes of FNV hardly change its high bits; this is the finalizer of SplitMix64.
	x := h.Sum64()
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// fraction maps a random number to (0, 1).
func fraction(x uint64) float64 { return (float64(x>>11) + 0.5) / (1 << 53) }
