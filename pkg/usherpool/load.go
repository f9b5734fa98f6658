package usherpool

import (
	"maps"
	"time"
)

type (
	// Load is the work on a target.
	Load struct {
		// Calls is the number of requests of plain services.
		Calls int `cbor:"1,keyasint,omitempty"`
		// Streams is the number of running generations.
		Streams int `cbor:"2,keyasint,omitempty"`
		// Tokens is the KV cache size of the running generations at their expected end, in tokens.
		Tokens int `cbor:"3,keyasint,omitempty"`
		// Prefill is the number of prompt tokens that are not processed yet.
		Prefill int `cbor:"4,keyasint,omitempty"`
		// Copies and CopyTokens are the number and the size of KV cache copies of generations that run on other targets.
		Copies     int `cbor:"5,keyasint,omitempty"`
		CopyTokens int `cbor:"6,keyasint,omitempty"`
		// Incoming is the number of tokens in copies that are still being transferred.
		Incoming int `cbor:"7,keyasint,omitempty"`
		// Awaited is the number of copies whose generations are about to resume here because their targets are leaving.
		Awaited int `cbor:"8,keyasint,omitempty"`
	}

	peerLoads struct {
		loads map[string]reportedLoad
	}

	// reportedLoad is a load reported by a peer, with the time until which it is valid.
	reportedLoad struct {
		Load
		expires time.Time
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
	reported := make(map[string]reportedLoad, len(loads))
	for id, l := range loads {
		reported[id] = reportedLoad{Load: l, expires: now.Add(loadLifetime)}
	}
	p.peers[source] = peerLoads{loads: reported}
}

// DropPeerLoads discards the loads reported by the sources for which drop returns true.
func (p *Pool) DropPeerLoads(drop func(source string) bool) {
	maps.DeleteFunc(p.peers, func(source string, _ peerLoads) bool { return drop(source) })
}

// TotalLoads returns the load on each target from this host and from the sources for which counts returns true.
func (p *Pool) TotalLoads(now time.Time, counts func(source string) bool) map[string]Load {
	sum := p.OwnLoads()
	// Peers that are gone must not leave empty entries behind.
	maps.DeleteFunc(p.peers, func(_ string, peer peerLoads) bool { return peer.expired(now) })
	for source, peer := range p.peers {
		if !counts(source) {
			continue
		}
		for id, load := range peer.loads {
			if !now.After(load.expires) {
				sum[id] = sum[id].plus(load.Load)
			}
		}
	}
	return sum
}

// expired reports whether none of the peer's loads is valid any more.
func (l peerLoads) expired(now time.Time) bool {
	for _, load := range l.loads {
		if !now.After(load.expires) {
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

// totalLoad returns the load on a target from all hosts, including reservations that are not reported yet.
func (p *Pool) totalLoad(now time.Time, t *target) Load {
	sum := t.own
	for _, peer := range p.peers {
		if l, reported := peer.loads[t.entry.ID]; reported && !now.After(l.expires) {
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

// Negated returns the load that cancels l when added.
func (l Load) Negated() Load {
	return Load{Calls: -l.Calls, Streams: -l.Streams, Tokens: -l.Tokens, Prefill: -l.Prefill, Copies: -l.Copies, CopyTokens: -l.CopyTokens, Incoming: -l.Incoming, Awaited: -l.Awaited}
}
