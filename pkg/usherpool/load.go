package usherpool

import (
	"maps"
	"time"
)

type (
	// Load is work at a target.
	Load struct {
		// Calls are requests of plain services.
		Calls int `cbor:"1,keyasint,omitempty"`
		// Streams are running generations.
		Streams int `cbor:"2,keyasint,omitempty"`
		// Tokens are the memory of running generations at their expected end.
		Tokens int `cbor:"3,keyasint,omitempty"`
		// Prefill are prompt tokens that are not read yet.
		Prefill int `cbor:"4,keyasint,omitempty"`
		// Copies and CopyTokens are copies of other targets' generations.
		Copies     int `cbor:"5,keyasint,omitempty"`
		CopyTokens int `cbor:"6,keyasint,omitempty"`
		// Incoming are tokens of copies that are on their way.
		Incoming int `cbor:"7,keyasint,omitempty"`
		// Awaited are copies whose runs are about to go on here, as their targets are leaving.
		Awaited int `cbor:"8,keyasint,omitempty"`
	}

	peerLoads struct {
		loads map[string]heardLoad
	}

	// heardLoad is a load that a peer told, and how long it counts.
	heardLoad struct {
		Load
		until time.Time
	}
)

// OwnLoads returns the load that this host itself has on each target.
func (p *Pool) OwnLoads() map[string]Load {
	loads := map[string]Load{}
	for id, t := range p.targets {
		if t.own != (Load{}) {
			loads[id] = t.own
		}
	}
	return loads
}

// SetPeerLoads replaces the loads reported by a peer or a group of peers.
func (p *Pool) SetPeerLoads(now time.Time, source string, loads map[string]Load) {
	heard := make(map[string]heardLoad, len(loads))
	for id, l := range loads {
		heard[id] = heardLoad{Load: l, until: now.Add(loadLifetime)}
	}
	p.peers[source] = peerLoads{loads: heard}
}

// DropPeerLoads discards the loads reported by the sources for which drop returns true.
func (p *Pool) DropPeerLoads(drop func(source string) bool) {
	maps.DeleteFunc(p.peers, func(source string, _ peerLoads) bool { return drop(source) })
}

// TotalLoads returns the load on each target from this host and from the sources for which counts returns true.
func (p *Pool) TotalLoads(now time.Time, counts func(source string) bool) map[string]Load {
	sum := p.OwnLoads()
	// Peers that are gone leave nothing behind.
	maps.DeleteFunc(p.peers, func(_ string, peer peerLoads) bool { return peer.outdated(now) })
	for source, peer := range p.peers {
		if !counts(source) {
			continue
		}
		for id, load := range peer.loads {
			if !now.After(load.until) {
				sum[id] = sum[id].plus(load.Load)
			}
		}
	}
	return sum
}

// outdated tells whether nothing that the peer told counts any more.
func (l peerLoads) outdated(now time.Time) bool {
	for _, load := range l.loads {
		if !now.After(load.until) {
			return false
		}
	}
	return true
}

// SubtractLoads returns loads minus others; no field falls below zero.
func SubtractLoads(loads, others map[string]Load) map[string]Load {
	rest := make(map[string]Load, len(loads))
	for id, l := range loads {
		d := l.plus(others[id].Negated())
		rest[id] = Load{
			Calls: max(d.Calls, 0), Streams: max(d.Streams, 0), Tokens: max(d.Tokens, 0), Prefill: max(d.Prefill, 0), Copies: max(d.Copies, 0),
			CopyTokens: max(d.CopyTokens, 0), Incoming: max(d.Incoming, 0), Awaited: max(d.Awaited, 0),
		}
	}
	return rest
}

// load sums up what all hosts have at a target.
func (p *Pool) load(now time.Time, t *target) Load {
	sum := t.own
	for _, peer := range p.peers {
		if l, heard := peer.loads[t.entry.ID]; heard && !now.After(l.until) {
			sum = sum.plus(l.Load)
		}
	}
	return sum.plus(t.reservations(now))
}

func (l Load) plus(o Load) Load {
	return Load{
		Calls: l.Calls + o.Calls, Streams: l.Streams + o.Streams, Tokens: l.Tokens + o.Tokens, Prefill: l.Prefill + o.Prefill,
		Copies: l.Copies + o.Copies, CopyTokens: l.CopyTokens + o.CopyTokens, Incoming: l.Incoming + o.Incoming, Awaited: l.Awaited + o.Awaited,
	}
}

// Negated returns the load that takes l away.
func (l Load) Negated() Load {
	return Load{Calls: -l.Calls, Streams: -l.Streams, Tokens: -l.Tokens, Prefill: -l.Prefill, Copies: -l.Copies, CopyTokens: -l.CopyTokens, Incoming: -l.Incoming, Awaited: -l.Awaited}
}
