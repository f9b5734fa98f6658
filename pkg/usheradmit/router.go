package usheradmit

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	routerSample = 3                     // other schedulers looked at for one request
	localMargin  = 0.03                  // share of the memory by which another must have more room than the local one
	promptPause  = 40 * time.Millisecond // until a prompt is mostly computed
)

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
		Local string // scheduler in the same process or host, whose summary is always fresh
		Seed  uint64 // of the sample

		peers  []*routerPeer
		byName map[string]*routerPeer
		random *rand.Rand
	}

	routerPeer struct {
		name    string
		summary Summary
		sent    int // requests since the summary
		sentAt  time.Time
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
		if t.Reserved {
			summary.Light++
		}
		spare, _ := p.score(now, &s.options, t, Request{}, &p.fresh, s.risk)
		summary.Spare = max(summary.Spare, spare)
		summary.Cost = max(summary.Cost, p.fresh.peak/float64(max(t.MemoryTokens, 1)))
	}
	return summary
}

// SetSummary takes in what a scheduler said about its room.
func (r *Router) SetSummary(name string, summary Summary) {
	peer, known := r.byName[name]
	if !known {
		if r.byName == nil {
			r.byName = make(map[string]*routerPeer)
			r.random = rand.New(rand.NewPCG(r.Seed, r.Seed))
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
// It is the local one unless the best of a few others has clearly more room: what is known of those is older,
// and routers that all chose the best one would overrun it.
func (r *Router) Pick(now time.Time, interactive bool) (string, bool) {
	best := r.byName[r.Local]
	if best != nil && best.summary.Targets == 0 {
		best = nil
	}
	margin := 0.0
	if best != nil {
		margin = localMargin
	}
	for range min(len(r.peers), routerSample) {
		peer := r.peers[r.random.IntN(len(r.peers))]
		if peer.summary.Targets > 0 && (best == nil || peer.room(now, interactive) > best.room(now, interactive)+margin) {
			best, margin = peer, 0
		}
	}
	if best == nil {
		best = r.any()
	}
	if best == nil {
		return "", false
	}
	best.sent++
	best.sentAt = now
	return best.name, true
}

// any returns a scheduler with a target, or nil.
func (r *Router) any() *routerPeer {
	for _, peer := range r.peers {
		if peer.summary.Targets > 0 {
			return peer
		}
	}
	return nil
}

func (p *routerPeer) room(now time.Time, interactive bool) float64 {
	s := p.summary
	room := s.Spare - s.Cost*float64(p.sent+s.Queued)/float64(s.Targets)
	if interactive && s.Light > 0 {
		room++
	}
	if now.Sub(p.sentAt) < promptPause {
		room -= spreadPenalty / float64(s.Targets)
	}
	return room
}
