package usherhost

import (
	"context"
	"time"

	"github.com/samphireusher/samphireusher/pkg/ushercall"
	"github.com/samphireusher/samphireusher/pkg/ushercatalog"
	"github.com/samphireusher/samphireusher/pkg/usherpool"
)

const (
	// maxRestWait is how long a stream waits for the target that holds its copy: callers bear pauses of several seconds, and
	// copies live for a few.
	maxRestWait = 2 * time.Second
	// restSpread is the part of the time until a target is back by which callers' times to return differ, and minRestSpread
	// the least difference.
	restSpread    = 0.25
	minRestSpread = 200 * time.Millisecond
)

// errWithdrawn is the type of errors for requests that were not sent, as their target left, asked for a rest or named
// a limit after it was chosen.
var errWithdrawn = errNamespace.NewType("withdrawn")

// noteTarget records what a target says of itself in a response. attempt is the one that the response belongs to, sent when the
// request was sent.
func (h *Host) noteTarget(target ushercatalog.Target, attempt string, sent time.Time, n ushercall.Notice) {
	if n.Unusable != "" {
		h.metrics.noticesIgnored.Inc(1)
		h.log.Info("target said something about itself that cannot be used", "target", target.ID, "incarnation", target.Incarnation, "attempt", attempt, "header", n.Unusable)
	}
	if n.Rest > 0 {
		until := time.Now().Add(n.Rest)
		h.metrics.rests.Inc(1)
		if h.state.recordRest(target, until) {
			h.log.Info("target asks for a rest", "target", target.ID, "incarnation", target.Incarnation, "attempt", attempt, "until", until, "duration_ms", n.Rest.Milliseconds())
		}
	}
	h.noteLimit(target, attempt, sent, n)
	if n.Leaving && h.state.recordDeparture(target) {
		h.metrics.departures.Inc(1)
		h.log.Info("target says that it is leaving", "target", target.ID, "incarnation", target.Incarnation, "attempt", attempt)
		h.peers.reportNow()
	}
}

// logEndedNotices logs what has ended of what targets said of themselves.
func (p *peers) logEndedNotices() {
	for _, e := range p.state.endedNotices() {
		p.log.Info("what a target said of itself has ended", "target", e.Target, "incarnation", e.Incarnation, "kind", e.Kind)
	}
}

// withdrawn returns the result for a request that may not be sent any more to the target that was chosen for it.
func (h *Host) withdrawn(req *requestState, choice usherpool.Choice) (sendResult, bool) {
	if h.state.mayReceive(choice) {
		return sendResult{}, false
	}
	h.metrics.withdrawn.Inc(1)
	h.log.Info("chosen target does not take the request any more; choosing again", "attempt", req.Attempt, "target", choice.Target.ID, "incarnation", choice.Target.Incarnation)
	return sendResult{choice: choice, result: usherpool.Withdrawn, err: errWithdrawn.New("target %s does not take the request any more", choice.Target.ID)}, true
}

// awaitRest waits until the target that holds the copy of a stream takes requests again, if that is soon.
func (g *generation) awaitRest(ctx context.Context, target string) {
	if wait := time.Until(g.host.state.restEnd(target)); wait > 0 && wait <= maxRestWait {
		g.host.log.Info("stream waits for the end of a rest", "attempt", g.req.Attempt, "target", target, "duration_ms", wait.Milliseconds())
		sleep(ctx, wait)
	}
}

// recordDeparture records that a target said that it is leaving, and reports whether that is new. Peers are told as well.
func (s *sharedState) recordDeparture(target ushercatalog.Target) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.addLeavingNotice(leavingNotice{target: target.ID, incarnation: target.Incarnation, since: now})
	if !s.pool.Depart(now, target) {
		return false
	}
	s.notifyChanged()
	return true
}

// recordRest records until when a target wants nothing from this host, and reports whether that is later than known.
func (s *sharedState) recordRest(target ushercatalog.Target, until time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pool.Rest(target, until)
}

// restEnd returns until when a target wants nothing from this host; zero if it does not rest.
func (s *sharedState) restEnd(target string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	until, _ := s.pool.Rests(time.Now(), target)
	return until
}

// mayHold reports whether a stream may go on from its copy at a target: now, or after a rest that ends or a turn that comes soon.
func (s *sharedState) mayHold(target string) bool {
	return s.accepts(target) && time.Until(s.restEnd(target)) <= maxRestWait && time.Until(s.nextTurn(target)) <= maxRestWait
}

// rests reports whether a target wants nothing from this host now.
func (s *sharedState) rests(target string) bool { return !s.restEnd(target).IsZero() }

func (s *sharedState) mayReceive(choice usherpool.Choice) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	return s.pool.MayReceive(now, choice.Target) && s.pool.Claim(now, choice)
}

func (s *sharedState) endedNotices() []usherpool.EndedNotice {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pool.EndedNotices(time.Now())
}

// back returns after what time callers may return to a service all of whose targets rest, or take no request of this host now.
// Callers get different times, or they would all return at the same moment.
func (s *sharedState) back(service string) (time.Duration, bool) {
	earliest, latest, rests := s.backWithin(service)
	return earliest + time.Duration(s.randomFraction()*float64(latest-earliest)), rests
}

// backWithin returns the earliest and the latest time that callers are told.
func (s *sharedState) backWithin(service string) (earliest, latest time.Duration, rests bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	at, rests := s.pool.Back(time.Now(), service)
	if !rests {
		return 0, 0, false
	}
	earliest = time.Until(at)
	return earliest, earliest + max(time.Duration(restSpread*float64(earliest)), minRestSpread), true
}
