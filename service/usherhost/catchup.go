package usherhost

import (
	"context"
	"maps"
	"net/netip"
	"time"

	"github.com/samphireusher/samphireusher/pkg/ushercatalog"
)

const (
	// pullDelay is how long a host waits before it pulls the changes that a peer has and it lacks, as changes are also
	// pushed.
	pullDelay = 50 * time.Millisecond
	// pullHedgeDelay is after what time without a response another peer is asked as well. A peer responds within a few
	// milliseconds; one behind a broken link would be waited for until peerTimeout.
	pullHedgeDelay = 100 * time.Millisecond
	// unresponsiveTime is how long a peer is not asked again that did not respond to a pull, and maxPulls the number of peers
	// that are asked at a time. If none responds, the host reads the store itself.
	unresponsiveTime = 2 * time.Second
	maxPulls         = 3
	// storeTurnStep is how long a host leaves the reading of the store to each of up to maxStoreTurns hosts of its data centre,
	// if nobody responds who has the changes. What one of them reads is reported to the next ones in that time.
	storeTurnStep = 100 * time.Millisecond
	maxStoreTurns = 5
)

type (
	// aheadPeer is a peer with a newer catalog than this host's.
	aheadPeer struct {
		name     string
		address  netip.AddrPort
		revision uint64
		// responsive reports that the peer is not known to leave pulls without a response, reachable that no peer of its data
		// centre is. local reports that it is in this host's data centre.
		responsive, reachable, local bool
	}

	// catchUpAttempt is an attempt to catch up with the peers that are ahead.
	catchUpAttempt struct {
		feed *feed
		// behindSince is when this host learned that it is behind.
		behindSince time.Time
		// asked counts the peers, pending those of them that have neither responded nor failed.
		asked   int
		pending int
		// begun receives the names of peers that have begun to respond, ended the results.
		begun chan string
		ended chan pullResult
	}

	pullResult struct {
		peer    aheadPeer
		changed []ushercatalog.Entry
		err     error
	}
)

// followPeers pulls missing changes from peers that are ahead, until ctx ends. It does not wait for calls to the store,
// which may get no response.
func (f *feed) followPeers(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-f.state.behindPeer:
			// The missing changes may already be in transit.
			sleep(ctx, pullDelay)
			f.catchUp(ctx)
		}
	}
}

// catchUp pulls the changes that peers have and this host lacks. A peer that does not respond at once is not waited for: the next one
// is asked as well, and the first result counts. If none of these peers responds, one host after the other reads the store,
// until the changes are at a peer that does.
func (f *feed) catchUp(ctx context.Context) {
	// What is still pending when this host has caught up is cancelled.
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	now := time.Now()
	maps.DeleteFunc(f.unresponsive, func(_ string, until time.Time) bool { return now.After(until) })
	a := &catchUpAttempt{feed: f, behindSince: f.state.currentlyBehindSince(), begun: make(chan string), ended: make(chan pullResult)}
	// readsAt is when it is this host's turn to read the store, once enough peers have been asked.
	for readsAt := (time.Time{}); ctx.Err() == nil; {
		peer, behind := f.state.peerAhead(f.unresponsive)
		patience := pullHedgeDelay
		switch {
		case !behind:
			return
		case peer.responsive && a.pending < maxPulls:
			a.ask(ctx, peer)
		case readsAt.IsZero():
			turn := f.state.storeTurn()
			readsAt, patience = time.Now().Add(turn), min(turn, storeTurnStep)
		case time.Now().Before(readsAt):
			patience = storeTurnStep
		default:
			f.log.Info("no peer that is ahead responds; reading the store", "revision", f.state.revision(), "peer_revision", peer.revision,
				"asked", a.asked, "behind_ms", time.Since(a.behindSince).Milliseconds())
			notify(f.readOnce)
			return
		}
		if a.wait(ctx, patience) {
			return
		}
	}
}

// ask begins to pull from a peer. The peer is not asked again for some time, unless it responds.
func (a *catchUpAttempt) ask(ctx context.Context, peer aheadPeer) {
	f := a.feed
	f.unresponsive[peer.name] = time.Now().Add(unresponsiveTime)
	a.asked++
	a.pending++
	go func() {
		result := pullResult{peer: peer}
		panicked := f.containment.run("pull from a peer", func() {
			result.changed, result.err = f.peers.pull(ctx, peer.address, f.state.revision(), func() { send(ctx, a.begun, peer.name) })
		})
		if panicked != nil {
			result.err = panicked
		}
		send(ctx, a.ended, result)
	}()
}

// wait waits until a pull has succeeded, all have failed, or no peer has begun to respond within patience. It reports whether one has
// succeeded. A response that has begun is waited for, as a large catalog takes its time.
func (a *catchUpAttempt) wait(ctx context.Context, patience time.Duration) bool {
	timer := time.NewTimer(patience)
	defer timer.Stop()
	expired := timer.C
	for {
		select {
		case <-ctx.Done():
			return false
		case <-expired:
			if a.pending > 0 {
				a.feed.log.Info("peers have not begun to respond to pulls", "pending", a.pending, "asked", a.asked, "behind_ms", time.Since(a.behindSince).Milliseconds())
			}
			return false
		case name := <-a.begun:
			delete(a.feed.unresponsive, name)
			expired = nil
		case result := <-a.ended:
			a.pending--
			if result.err == nil {
				a.complete(result)
				return true
			}
			a.feed.unresponsive[result.peer.name] = time.Now().Add(unresponsiveTime)
			if ctx.Err() == nil {
				a.feed.log.Warn("failed to pull changes from peer; asking another one", "peer", result.peer.name, "revision", result.peer.revision, "error", errorText(result.err))
			}
			if a.pending == 0 || expired == nil {
				return false
			}
		}
	}
}

// send sends a value unless ctx ends first.
func send[T any](ctx context.Context, to chan<- T, value T) {
	select {
	case to <- value:
	case <-ctx.Done():
	}
}

// complete records a pull that succeeded. A collector tells its data centre at once, and the other collectors, as their hosts may reach
// nobody else who has the changes.
func (a *catchUpAttempt) complete(result pullResult) {
	f, behind := a.feed, time.Since(a.behindSince)
	delete(f.unresponsive, result.peer.name)
	f.logChanges(result.peer.address.String(), result.changed)
	f.log.Info("changes pulled from peer", "peer", result.peer.name, "revision", f.state.revision(), "asked", a.asked, "behind_ms", behind.Milliseconds())
	f.behind.Update(behind.Milliseconds())
	if len(result.changed) > 0 && f.state.isCollector() {
		f.peers.reportNow()
	}
}

// recordBehind records that a peer has a newer catalog than this host.
func (s *sharedState) recordBehind(now time.Time) {
	if s.behindSince.IsZero() {
		s.behindSince = now
	}
	notify(s.behindPeer)
}

// currentlyBehindSince returns when this host learned that it is behind: now if it is not known to be.
func (s *sharedState) currentlyBehindSince() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.behindSince.IsZero() {
		return time.Now()
	}
	return s.behindSince
}

// isPreferredTo reports whether to pull from p in place of q.
func (p aheadPeer) isPreferredTo(q aheadPeer) bool {
	switch {
	case p.responsive != q.responsive:
		return p.responsive
	case p.reachable != q.reachable:
		return p.reachable
	case p.local != q.local:
		return p.local
	}
	return p.revision > q.revision
}

// peerAhead returns the peer to pull from, and whether any has a newer catalog than this host.
func (s *sharedState) peerAhead(unresponsive map[string]time.Time) (peer aheadPeer, behind bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	self, alive := s.cluster.Self(), s.cluster.Alive(s.clock.now())
	silent := map[string]bool{}
	for _, m := range alive {
		if now.Before(unresponsive[m.Name]) {
			silent[m.DataCentre] = true
		}
	}
	for _, m := range alive {
		status, known := s.peerStatuses[m.Name]
		if !known || status.revision <= s.catalog.Revision() {
			continue
		}
		candidate := aheadPeer{
			name: m.Name, address: m.Address, revision: status.revision, responsive: !now.Before(unresponsive[m.Name]),
			reachable: !silent[m.DataCentre], local: m.DataCentre == self.DataCentre,
		}
		if !behind || candidate.isPreferredTo(peer) {
			peer, behind = candidate, true
		}
	}
	if !behind {
		s.behindSince = time.Time{}
	}
	return peer, behind
}

// storeTurn returns how long this host leaves it to others of its data centre to read the store.
func (s *sharedState) storeTurn() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return storeTurnStep * time.Duration(min(max(s.cluster.LocalRank(s.clock.now()), 0), maxStoreTurns))
}
