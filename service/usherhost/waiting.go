package usherhost

import (
	"context"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rcrowley/go-metrics"

	"github.com/samphireusher/samphireusher/pkg/ushercatalog"
	"github.com/samphireusher/samphireusher/pkg/ushercluster"
	"github.com/samphireusher/samphireusher/pkg/usherpool"
	"github.com/samphireusher/samphireusher/pkg/usherqueue"
)

const (
	// maxAskInterval bounds what a placer asks for.
	maxAskInterval = time.Second
	// maxDeclined bounds the grants that a host may decline for one request.
	maxDeclined = 4
	// pendingReplies is how many replies to asks for one request may be unread.
	pendingReplies = 4
)

// errNoRoom is the type of errors for requests that cannot begin in their time.
var errNoRoom = errNamespace.NewType("no_room")

// placeOrWait returns the target for a new stream once one has room for it, or a refusal if none will have in its time.
func (g *generation) placeOrWait(ctx context.Context) (usherpool.Choice, *refusal) {
	h, p := g.host, g.host.peers.placement
	if _, competes := h.state.contention(g.req.service.Name); !competes || g.req.ran {
		return g.placed(p.place(ctx, g.placementRequest(g.req.excludedTargets())))
	}
	id, replies := p.register(pendingReplies)
	defer p.unregister(id)
	start, asks, declined := time.Now(), 0, 0
	ask := waitWire{Attempt: g.req.Attempt, Content: g.req.content(), Precedence: g.req.rank()}
	for {
		r := g.placementRequest(g.req.excludedTargets())
		placer, own := p.selectPlacer()
		if placer.Name == "" || declined == maxDeclined {
			return g.placed(h.state.choose(r))
		}
		// Each target that was tried or declined makes the next grant another one.
		ask.Try, ask.Patience, ask.Waited = len(g.req.targets)+declined, g.req.patience(), time.Since(g.req.received)
		reply, answered := p.ask(ctx, placer, own, id, replies, r, ask)
		asks++
		if answered && reply.Verdict == verdictWait {
			reply = p.awaitVerdict(ctx, replies, reply)
		}
		if ctx.Err() != nil || !h.mayFinish(time.Until(g.req.deadline)) {
			ask.Withdrawn = true
			p.withdraw(placer, own, id, r, ask)
			g.logWait("withdrawn", placer, start, asks, reply)
			if ctx.Err() != nil {
				return usherpool.Choice{}, refuse(reasonExpired, noRetryAfter, ctx.Err())
			}
			return usherpool.Choice{}, refuse(reasonStopping, 0, nil)
		}
		switch {
		case !answered || reply.Verdict == verdictWait:
			continue
		case reply.Verdict == verdictRefuse:
			g.logWait("refused", placer, start, asks, reply)
			return usherpool.Choice{}, refuse(reasonNoRoom, reply.RetryAfter, errNoRoom.New("placer %s expects room in %s", placer.Name, reply.ExpectedWait))
		case reply.Target == "":
			return g.placed(h.state.choose(r))
		}
		if choice, taken := p.adopt(placer, own, r, reply); taken {
			if asks == 1 && time.Since(start) < usherqueue.AskInterval/2 {
				return choice, nil
			}
			g.logWait("granted", placer, start, asks, reply)
			if g.req.probes {
				return choice, nil
			}
			// Targets may have crashed under requests like this one meanwhile.
			return choice, h.refuseSuspect(g.req)
		}
		declined++
	}
}

// placed returns the refusal that goes with the error of a choice.
func (g *generation) placed(choice usherpool.Choice, err error) (usherpool.Choice, *refusal) {
	if err != nil {
		return choice, g.host.refuseUnplaced(g.req.service.Name, err)
	}
	return choice, nil
}

// logWait records the end of a request's wait.
func (g *generation) logWait(outcome string, placer ushercluster.Member, start time.Time, asks int, reply placementReplyWire) {
	waited, rank := time.Since(start), g.req.route.Priority
	metrics.GetOrRegisterHistogram(fmt.Sprintf("waiting.rank_%d_ms", min(max(rank, 0), 9)), g.host.metrics.registry, metrics.NewExpDecaySample(sampleSize, sampleAlpha)).Update(waited.Milliseconds())
	g.host.log.Info("request waited for room", "attempt", g.req.Attempt, "outcome", outcome, "route", g.req.route.Name, "workspace", g.req.workspace.Name, "rank", rank,
		"by", placer.Name, "asks", asks, "waited_ms", waited.Milliseconds(), "forecast_ms", reply.ExpectedWait.Milliseconds(), "retry_after", reply.RetryAfter.String(),
		"target", reply.Target, "load", reply.Load)
}

// content returns a hash of what the caller asked for, which is the same if it asks again.
func (req *requestState) content() uint64 {
	hash := xxhash.New()
	for _, part := range []string{req.workspace.Name, req.Method, req.Host, req.URI, req.OwnPart} {
		_, _ = hash.WriteString(part)
		_, _ = hash.Write([]byte{0})
	}
	_, _ = hash.Write(req.Body)
	return hash.Sum64()
}

// ask asks a placer once for a request that can wait. It returns the first reply.
func (p *placement) ask(ctx context.Context, placer ushercluster.Member, own bool, id uint64, replies <-chan placementReplyWire, r usherpool.Request, ask waitWire) (placementReplyWire, bool) {
	if own {
		return p.room.ask(placer.Name, r, ask, true, func(reply placementReplyWire) {
			reply.ID = id
			p.handleReply(placer, reply)
		}), true
	}
	return p.exchange(ctx, placer, id, replies, p.parameters(r).withWait(ask))
}

// awaitVerdict returns the verdict about a request that waits, or the given reply if it is time to ask again.
func (p *placement) awaitVerdict(ctx context.Context, replies <-chan placementReplyWire, wait placementReplyWire) placementReplyWire {
	timer := time.NewTimer(min(max(wait.RetryAfter, usherqueue.AskInterval), maxAskInterval))
	defer timer.Stop()
	for {
		select {
		case reply := <-replies:
			if reply.Verdict != verdictWait {
				return reply
			}
		case <-ctx.Done():
			return wait
		case <-timer.C:
			return wait
		}
	}
}

// withdraw tells a placer that a request does not wait any more.
func (p *placement) withdraw(placer ushercluster.Member, own bool, id uint64, r usherpool.Request, ask waitWire) {
	if own {
		p.room.ask(placer.Name, r, ask, true, nil)
		return
	}
	d := p.state.identityDatagram()
	d.PlacementRequest = &placementRequestWire{ID: id, Parameters: placementParameters{Service: r.Service, Wait: &ask}}
	p.peers.send(d, placer.Address)
}

// adopt returns the choice that a placer made for this host, if this host too considers the target available.
func (p *placement) adopt(placer ushercluster.Member, own bool, r usherpool.Request, reply placementReplyWire) (usherpool.Choice, bool) {
	choice := usherpool.Choice{
		Target: ushercatalog.Target{ID: reply.Target}, Delay: reply.Delay, PrefillTime: reply.PrefillTime, Late: reply.Late, Load: reply.Load, Kept: reply.Kept, Forecast: reply.Forecast, OutputTokens: reply.OutputTokens, Placer: placer.Name,
	}
	if own {
		// The turn and the part of a cold target's rate were taken with the grant.
		return p.state.fillChoice(choice)
	}
	return p.state.adoptChoice(r, choice)
}

// fillChoice completes a choice that this host made as the placer.
func (s *sharedState) fillChoice(choice usherpool.Choice) (usherpool.Choice, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	target, known := s.pool.Target(choice.Target.ID)
	choice.Target = target
	return choice, known && s.pool.Accepts(target.ID)
}

// patience returns how much longer the caller of a stream waits for its first event.
func (req *requestState) patience() time.Duration {
	left := time.Until(req.deadline)
	if req.route.Patience > 0 {
		left = min(left, req.route.Patience-time.Since(req.received))
	}
	return left
}
