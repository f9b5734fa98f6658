package usheradmit

import (
	"math"
	"math/rand/v2"
	"time"
)

const routerSample = 16 // schedulers looked at for one request

type (
	// Summary says how much room a scheduler has, for the others of its cell.
	Summary struct {
		Targets int
		Queued  int
		Spare   float64 // share of the memory that its emptiest target keeps free after a typical request
		Cost    float64 // share of a target's memory that a typical request takes
		Light   int     // targets kept light for interactive kinds
	}

	// Router spreads requests over the schedulers of a cell by the room that each said it has,
	// less what was sent to it since. The zero value knows no scheduler.
	Router struct {
		peers  []*routerPeer
		byName map[string]*routerPeer
		random *rand.Rand
	}

	routerPeer struct {
		name    string
		summary Summary
		sent    int // requests since the summary
	}
)

// Summary returns how much room the scheduler has.
func (s *Scheduler) Summary(now time.Time) Summary {
	p := &s.placement
	summary := Summary{Queued: s.queue.waiting, Spare: math.Inf(-1)}
	for t := range p.sample() {
		if !t.InService || now.Before(t.suspendedUntil) {
			continue
		}
		summary.Targets++
		if t.Light {
			summary.Light++
		}
		spare, _ := p.score(now, &s.options, t, Request{}, &p.fresh, s.risk)
		summary.Spare = max(summary.Spare, spare)
		summary.Cost = max(summary.Cost, p.fresh.peak/float64(max(t.MemoryTokens, 1)))
	}
	return summary
}

// Hear takes in what a scheduler said about its room.
func (r *Router) Hear(name string, summary Summary) {
	peer, known := r.byName[name]
	if !known {
		if r.byName == nil {
			r.byName = make(map[string]*routerPeer)
			r.random = rand.New(rand.NewPCG(0, 0))
		}
		peer = &routerPeer{name: name}
		r.byName[name] = peer
		r.peers = append(r.peers, peer)
	}
	peer.summary, peer.sent = summary, 0
}

// Forget drops a scheduler.
func (r *Router) Forget(name string) {
	delete(r.byName, name)
	for i, peer := range r.peers {
		if peer.name == name {
			r.peers = append(r.peers[:i], r.peers[i+1:]...)
			return
		}
	}
}

// Pick returns the scheduler that a request should go to, or false if none has a target.
func (r *Router) Pick(interactive bool) (string, bool) {
	var best *routerPeer
	offset := 0
	if len(r.peers) > routerSample {
		offset = r.random.IntN(len(r.peers))
	}
	for i := range min(len(r.peers), routerSample) {
		peer := r.peers[(offset+i)%len(r.peers)]
		if peer.summary.Targets > 0 && (best == nil || peer.room(interactive) > best.room(interactive)) {
			best = peer
		}
	}
	if best == nil {
		return "", false
	}
	best.sent++
	return best.name, true
}

func (p *routerPeer) room(interactive bool) float64 {
	s := p.summary
	room := s.Spare - s.Cost*float64(p.sent+s.Queued)/float64(s.Targets)
	if interactive && s.Light > 0 {
		room++
	}
	return room
}
