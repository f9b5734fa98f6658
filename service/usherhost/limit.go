package usherhost

import (
	"context"
	"time"

	"github.com/joomcode/errorx"

	"github.com/samphireusher/samphireusher/pkg/ushercall"
	"github.com/samphireusher/samphireusher/pkg/ushercatalog"
	"github.com/samphireusher/samphireusher/pkg/usherpool"
)

// noteLimit records the limit that a target names, or that it names none any more, in its response to a request sent at the given
// time.
func (h *Host) noteLimit(target ushercatalog.Target, attempt string, sent time.Time, n ushercall.Notice) {
	switch {
	case n.Limited:
		h.metrics.limits.Inc(1)
		if h.state.recordLimit(target, sent, n.Limit) {
			h.log.Info("target names a limit", "target", target.ID, "incarnation", target.Incarnation, "attempt", attempt, "per_second", n.Limit)
		}
	case n.Unlimited && h.state.recordNoLimit(target, sent):
		h.log.Info("what a target said of itself has ended", "target", target.ID, "incarnation", target.Incarnation, "kind", usherpool.LimitEnded, "attempt", attempt)
		h.peers.reportNow()
	}
}

// refuseUnplaced refuses a request for which no target could be chosen.
func (h *Host) refuseUnplaced(service string, err error) *refusal {
	reason := reasonNoTarget
	if errorx.IsOfType(err, usherpool.ErrLimited) {
		reason = reasonLimited
		h.metrics.heldOff.Inc(1)
	}
	return refuse(reason, h.retryAfter(service, err), err)
}

// takeTurn reports whether a request that was not chosen for its target may be sent there now by the target's limit.
func (h *Host) takeTurn(target string) bool {
	if _, ok := h.state.takeTurn(target); ok {
		return true
	}
	h.metrics.heldOff.Inc(1)
	return false
}

// awaitTurn waits until the limit of the target that holds the copy of a stream lets the stream go on there, if that is soon,
// and reports whether it may.
func (g *generation) awaitTurn(ctx context.Context, target string) bool {
	for latest := time.Now().Add(maxRestWait); ctx.Err() == nil; {
		opens, ok := g.host.state.takeTurn(target)
		if ok {
			return true
		}
		if opens.After(latest) {
			break
		}
		g.host.log.Info("stream waits for a turn", "attempt", g.req.Attempt, "target", target, "duration_ms", time.Until(opens).Milliseconds())
		sleep(ctx, time.Until(opens))
	}
	g.host.metrics.heldOff.Inc(1)
	return false
}

func (s *sharedState) recordLimit(target ushercatalog.Target, sent time.Time, perSecond float64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	changed := s.pool.Limit(time.Now(), target, sent, perSecond)
	s.lentTurns.Claim(s.pool, target)
	return changed
}

func (s *sharedState) takeTurn(target string) (opens time.Time, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pool.TakeTurn(time.Now(), target)
}

func (s *sharedState) takeTurnForPoll(target string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pool.TakeTurnForPoll(time.Now(), target)
}

// spendTurn counts a request that is sent whatever the target's limit.
func (s *sharedState) spendTurn(target string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pool.SpendTurn(time.Now(), target)
}

// nextTurn returns when the limit of a target lets this host send the next request; zero for now.
func (s *sharedState) nextTurn(target string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pool.NextTurn(time.Now(), target)
}
