package usherhost

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/samphireusher/samphireusher/pkg/ushercall"
	"github.com/samphireusher/samphireusher/pkg/ushercatalog"
)

const (
	// targetPollInterval is the time between two polls of a target: a few polls within the notice that reclaimed
	// targets give.
	targetPollInterval = 300 * time.Millisecond
	targetPollTimeout  = 250 * time.Millisecond
	// staleAfter is how long no host may have heard from the store before targets are polled: a long poll, the pause
	// after it and the time for a report to arrive.
	staleAfter = longPollTime + watchInterval + 300*time.Millisecond
	// leavingNoticeLifetime is how long peers are told that a target is leaving: longer than the notice that reclaimed
	// targets give, and than a report takes to reach every host.
	leavingNoticeLifetime = 5 * time.Second
	// maxLeavingNotices bounds the notices in one message.
	maxLeavingNotices = 12
)

type (
	// targetPoller asks the targets that run this host's streams whether they are leaving, while no host has contact with
	// the store.
	targetPoller struct {
		state   *sharedState
		peers   *peers
		engines Engines
		log     *slog.Logger
		polls   metrics.Counter
		active  bool
		// note records what a target says of itself.
		note func(target ushercatalog.Target, attempt string, sent time.Time, n ushercall.Notice)
		// containment guards the polls, which run concurrently.
		containment *containment
	}

	// leavingNotice says that one incarnation of a target told a host that it is leaving.
	leavingNotice struct {
		target      string
		incarnation int64
		since       time.Time
	}

	leavingNoticeWire struct {
		Target      string        `cbor:"1,keyasint"`
		Incarnation int64         `cbor:"2,keyasint,omitempty"`
		Age         time.Duration `cbor:"3,keyasint"`
	}
)

func newTargetPoller(s *sharedState, p *peers, engines Engines, c *containment, log *slog.Logger, registry metrics.Registry) *targetPoller {
	return &targetPoller{state: s, peers: p, engines: engines, containment: c, log: log, polls: metrics.NewRegisteredCounter("targets.asked", registry)}
}

// run polls until ctx ends.
func (p *targetPoller) run(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, targetPollInterval)
		stale := p.state.storeStale()
		if stale != p.active {
			p.active = stale
			p.log.Info("started or stopped polling targets", "asking", stale, "revision", p.state.revision())
		}
		if stale {
			p.poll(ctx)
		}
	}
}

func (p *targetPoller) poll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, targetPollTimeout)
	defer cancel()
	var polling sync.WaitGroup
	for _, t := range p.state.runningTargets() {
		if !p.state.takeTurnForPoll(t.ID) {
			continue
		}
		p.polls.Inc(1)
		polling.Go(func() { _ = p.containment.run("poll of a target", func() { p.pollTarget(ctx, t) }) })
	}
	polling.Wait()
}

func (p *targetPoller) pollTarget(ctx context.Context, t ushercatalog.Target) {
	sent := time.Now()
	leaving, notice, err := p.engines.Leaving(ctx, t.Address)
	p.note(t, "", sent, notice)
	if err != nil {
		p.log.Debug("failed to query target state", "target", t.ID, "error", errorText(err))
		return
	}
	if leaving && p.state.recordLeaving(t.ID) {
		p.log.Info("target learned", "source", t.Address.String(), "target", t.ID, "leaving", true)
		p.peers.reportNow()
	}
}

// storeStale reports whether no host has recently heard from the store, as far as this one knows.
func (s *sharedState) storeStale() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.catalog.Table() != nil && (s.latestContact.at.IsZero() || time.Since(s.latestContact.at) >= staleAfter)
}

// runningTargets returns the targets that run streams of this host and may be polled.
func (s *sharedState) runningTargets() []ushercatalog.Target {
	s.mu.Lock()
	defer s.mu.Unlock()
	var targets []ushercatalog.Target
	now := time.Now()
	for id, load := range s.pool.OwnLoads() {
		_, rests := s.pool.Rests(now, id)
		if t, known := s.pool.Target(id); known && load.Streams > 0 && !rests {
			targets = append(targets, t)
		}
	}
	return targets
}

// recordLeaving records that a target told this host that it is leaving, and reports whether that is new.
func (s *sharedState) recordLeaving(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	t, known := s.pool.Target(id)
	return known && s.addLeavingNotice(leavingNotice{target: id, incarnation: t.Incarnation, since: now})
}

// addLeavingNotice records a notice and reports whether it is new.
func (s *sharedState) addLeavingNotice(notice leavingNotice) bool {
	if !s.pool.MarkLeaving(notice.target, notice.incarnation, notice.since) {
		return false
	}
	s.leavingNotices = append(s.leavingNotices, notice)
	s.notifyChanged()
	return true
}

// currentLeavingNotices returns the notices to send to peers, newest first, and drops those that have expired.
func (s *sharedState) currentLeavingNotices(now time.Time) []leavingNoticeWire {
	s.leavingNotices = slices.DeleteFunc(s.leavingNotices, func(notice leavingNotice) bool { return now.Sub(notice.since) > leavingNoticeLifetime })
	slices.SortFunc(s.leavingNotices, func(a, b leavingNotice) int { return b.since.Compare(a.since) })
	var out []leavingNoticeWire
	for _, notice := range s.leavingNotices[:min(len(s.leavingNotices), maxLeavingNotices)] {
		out = append(out, leavingNoticeWire{Target: notice.target, Incarnation: notice.incarnation, Age: now.Sub(notice.since)})
	}
	return out
}

// mergeLeavingNotices merges the notices sent by a peer and returns the targets for which they are new.
func (s *sharedState) mergeLeavingNotices(now time.Time, notices []leavingNoticeWire) []string {
	var added []string
	for _, w := range notices[:min(len(notices), maxLeavingNotices)] {
		if w.Age < 0 || w.Age > leavingNoticeLifetime {
			continue
		}
		if s.addLeavingNotice(leavingNotice{target: w.Target, incarnation: w.Incarnation, since: now.Add(-w.Age)}) {
			added = append(added, w.Target)
		}
	}
	return added
}
