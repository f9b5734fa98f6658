package usheradmit

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	routerSampleSize = 3                     // other schedulers compared per request
	localMargin      = 0.03                  // share of memory that another scheduler must have free beyond that of the local one
	prefillDelay     = 40 * time.Millisecond // time in which most prompts are processed
)

type (
	// Summary describes the free capacity of a scheduler to the others of its cell.
	Summary struct {
		Targets         int
		Queued          int
		FreeShare       float64 // highest share of memory that one of its targets would keep free after a typical request
		RequestShare    float64 // share of a target's memory that a typical request uses
		ReservedTargets int     // targets reserved for interactive requests
	}

	// Router distributes requests among the schedulers of a cell by the free capacity in their summaries, less the requests
	// sent to them since. The zero value has no schedulers.
	Router struct {
		Local string // scheduler in the same process or on the same host, whose summary is always current
		Seed  uint64 // seed for sampling schedulers

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

// Summary returns the current summary of the scheduler.
func (s *Scheduler) Summary(now time.Time) Summary {
	p := &s.placement
	summary := Summary{Queued: s.queue.length, FreeShare: math.Inf(-1)}
	for t := range p.sample() {
		if !t.InService || now.Before(t.suspendedUntil) {
			continue
		}
		summary.Targets++
		if t.Reserved {
			summary.ReservedTargets++
		}
		free, _ := p.score(now, &s.options, t, Request{}, &p.typicalRequest, s.riskMargin)
		summary.FreeShare = max(summary.FreeShare, free)
		summary.RequestShare = max(summary.RequestShare, p.typicalRequest.peak/float64(max(t.MemoryTokens, 1)))
	}
	return summary
}

// SetSummary sets the latest summary of a scheduler, which is added if it is new.
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

func (r *Router) RemoveScheduler(name string) {
	delete(r.byName, name)
	for i, peer := range r.peers {
		if peer.name == name {
			r.peers = append(r.peers[:i], r.peers[i+1:]...)
			return
		}
	}
}

// Pick returns the scheduler for a request, or false if none has a target. It is the local scheduler unless one of a few
// randomly sampled others clearly has more free memory. The summaries of the others are older, and if all routers chose the
// best scheduler they would overload it.
func (r *Router) Pick(now time.Time, interactive bool) (string, bool) {
	best := r.byName[r.Local]
	if best != nil && best.summary.Targets == 0 {
		best = nil
	}
	margin := 0.0
	if best != nil {
		margin = localMargin
	}
	for range min(len(r.peers), routerSampleSize) {
		peer := r.peers[r.random.IntN(len(r.peers))]
		if peer.summary.Targets > 0 && (best == nil || peer.estimateFreeShare(now, interactive) > best.estimateFreeShare(now, interactive)+margin) {
			best, margin = peer, 0
		}
	}
	if best == nil {
		best = r.anyWithTargets()
	}
	if best == nil {
		return "", false
	}
	best.sent++
	best.sentAt = now
	return best.name, true
}

// anyWithTargets returns a scheduler with a target, or nil.
func (r *Router) anyWithTargets() *routerPeer {
	for _, peer := range r.peers {
		if peer.summary.Targets > 0 {
			return peer
		}
	}
	return nil
}

func (p *routerPeer) estimateFreeShare(now time.Time, interactive bool) float64 {
	s := p.summary
	free := s.FreeShare - s.RequestShare*float64(p.sent+s.Queued)/float64(s.Targets)
	if interactive && s.ReservedTargets > 0 {
		free++
	}
	if now.Sub(p.sentAt) < prefillDelay {
		free -= prefillPenalty / float64(s.Targets)
	}
	return free
}
