package usherhost

import (
	"context"
	"log/slog"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/samphireusher/samphireusher/pkg/ushercatalog"
	"github.com/samphireusher/samphireusher/pkg/ushercluster"
)

const (
	// longPollTime is how long the store holds a call that waits for changes, and storeTimeoutMargin how much longer
	// its response may take. A reader that gets no responses goes unnoticed for the sum of both, which leaves the next
	// host time to read within the 2 s in which operators expect changes to take effect.
	longPollTime       = 900 * time.Millisecond
	storeTimeoutMargin = 400 * time.Millisecond
	// watchInterval is the pause between two calls. It batches changes, as each call to the store is charged for.
	watchInterval = 150 * time.Millisecond
	// minBackoff and maxBackoff bound the pause after a failed call.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 500 * time.Millisecond
	// republishTimeout is how long entries that expired while the store was unavailable may take to reappear: about two
	// seconds according to the users' documentation, less the time in which peers learn of it. It starts at the last failed
	// call, as the store may have been available since then.
	republishTimeout = 1900 * time.Millisecond
	// readerTimeout is how long the reader of a data centre may go without a response from the store before the next
	// host reads too: one call with its margin. A reader whose call fails reports that at once.
	readerTimeout = longPollTime + storeTimeoutMargin + 200*time.Millisecond
	// readerSilence is how long a collector may not hear a reader itself before it reads too: three reports. It leaves more than half of
	// the time in which operators expect changes to take effect for passing them on; a needless call does no harm.
	readerSilence = 3 * ushercluster.ReportInterval
	// readerTakeoverStep is how long the first host waits before it starts to read if no host gets responses: enough
	// for another host's success to be reported. Each further host waits twice as long, so that few hosts call a store
	// that is down.
	readerTakeoverStep     = 50 * time.Millisecond
	maxReaderTakeoverSteps = 10
	// readerCheckInterval is how often a host that does not read the store checks whether it has to. It also does so at
	// once when a reader reports that its calls fail.
	readerCheckInterval = 100 * time.Millisecond
)

type (
	// Store reads the entries that the platform publishes.
	Store interface {
		// List returns a page of all entries, the key after which the next page starts (empty at the end), and the
		// store's revision. With allowStale the call is cheaper and the result may be out of date.
		List(ctx context.Context, after string, allowStale bool) (entries []ushercatalog.Entry, next string, revision uint64, skipped []error, err error)
		// Watch waits for changes after a revision.
		Watch(ctx context.Context, after uint64, wait time.Duration) (entries []ushercatalog.Entry, revision uint64, skipped []error, err error)
		// HistoryGone reports whether an error of Watch means that changes were lost and List is required.
		HistoryGone(err error) bool
	}

	// feed keeps the catalog up to date, from the store or from peers. One host of the fleet reads the store, as each
	// call is charged for; other hosts take over if it gets no responses.
	feed struct {
		state       *sharedState
		store       Store
		peers       *peers
		containment *containment
		log         *slog.Logger

		listed bool
		// allowStale reports whether the next list may be out of date. It is set for the first list when the whole
		// fleet starts for the first time, as no entries were in use before. Later changes arrive through Watch.
		allowStale bool
		// storeLost is set by a failed call, at failedAt, until the next full list. relistAt is when entries that
		// expired during the outage must have reappeared.
		storeLost   bool
		failedAt    time.Time
		relistAt    time.Time
		backoff     time.Duration
		calls       metrics.Counter
		failedCalls metrics.Counter
		// behind has the times in milliseconds from when this host learned that it is behind until it had pulled the changes.
		behind        metrics.Histogram
		isStoreReader bool
		storeUp       bool
		// takingOver is set from when this host starts to read until it has a response. Its first call does not wait for changes, or
		// the next hosts would start to read before its success is reported.
		takingOver bool

		// unresponsive has the peers that did not respond to a pull, and until when they are not asked. Only followPeers uses it.
		unresponsive map[string]time.Time
		// readOnce makes a host that does not read the store make one call.
		readOnce chan struct{}
	}
)

func newFeed(s *sharedState, store Store, firstStart bool, p *peers, c *containment, log *slog.Logger, registry metrics.Registry) *feed {
	return &feed{
		state: s, store: store, allowStale: firstStart, peers: p, containment: c, log: log, storeUp: true, unresponsive: map[string]time.Time{}, readOnce: make(chan struct{}, 1),
		calls: metrics.NewRegisteredCounter("store.calls", registry), failedCalls: metrics.NewRegisteredCounter("store.failed_calls", registry),
		behind: metrics.NewRegisteredHistogram("catalog.behind_ms", registry, metrics.NewExpDecaySample(sampleSize, sampleAlpha)),
	}
}

// run reads the store while this host has to, until ctx ends.
func (f *feed) run(ctx context.Context) {
	for ctx.Err() == nil {
		if f.listed && f.relistAt.IsZero() && !f.updateReader() && !f.awaitTurn(ctx) {
			continue
		}
		f.poll(ctx)
	}
}

// awaitTurn waits until it is time to check again whether this host has to read the store. It reports whether one call is
// requested meanwhile.
func (f *feed) awaitTurn(ctx context.Context) bool {
	timer := time.NewTimer(readerCheckInterval)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-f.state.readerFailed:
	case <-f.readOnce:
		return true
	}
	return false
}

// updateReader reports whether this host has to read the store, and logs when that changes.
func (f *feed) updateReader() bool {
	reader := f.state.shouldReadStore()
	if reader != f.isStoreReader {
		f.isStoreReader, f.takingOver = reader, reader
		f.log.Info("started or stopped reading the store", "reading", reader, "revision", f.state.revision())
	}
	return reader
}

// poll makes one call to the store.
func (f *feed) poll(ctx context.Context) {
	if !f.relistAt.IsZero() && time.Now().After(f.relistAt) {
		f.listed, f.relistAt = false, time.Time{}
	}
	err := f.fetch(ctx)
	if ctx.Err() != nil {
		return
	}
	f.state.recordStoreAttempt()
	if err == nil {
		if !f.storeUp {
			f.storeUp = true
			f.state.setStoreFailing(false)
			f.peers.reportNow()
			f.log.Info("store available again", "revision", f.state.revision())
		}
		f.backoff = 0
		if f.takingOver {
			f.takingOver = false
			f.peers.reportNow()
		}
		sleep(ctx, watchInterval)
		return
	}
	f.failedCalls.Inc(1)
	if f.store.HistoryGone(err) {
		f.log.Info("changes since the last call cannot be read; reading a full list", "revision", f.state.revision(), "error", errorText(err))
		f.listed = false
		return
	}
	if f.storeUp {
		f.storeUp = false
		f.state.setStoreFailing(true)
		f.peers.reportNow()
		f.log.Warn("store unavailable; retrying", "error", errorText(err), "revision", f.state.revision())
	}
	f.storeLost, f.failedAt = true, time.Now()
	// Changes made during a failed call are found by listing: a watch that was cut off may have missed some.
	f.listed = false
	f.backoff = min(max(2*f.backoff, minBackoff), maxBackoff)
	sleep(ctx, f.backoff)
}

func (f *feed) fetch(ctx context.Context) error {
	before := f.state.revision()
	var (
		entries  []ushercatalog.Entry
		revision uint64
		skipped  []error
		err      error
		listing  = !f.listed
	)
	if listing {
		entries, revision, skipped, err = f.list(ctx)
		f.allowStale = false
	} else {
		entries, revision, skipped, err = f.watch(ctx, before)
	}
	for _, skippedErr := range skipped {
		f.log.Warn("published entry could not be decoded; skipping it", "error", errorText(skippedErr))
	}
	if err != nil {
		return err
	}
	f.listed = true
	f.state.recordStoreResponse()
	changed := f.state.apply(func(now time.Time, c *ushercatalog.Catalog) []ushercatalog.Entry {
		c.Sweep(now)
		if listing {
			return f.applyList(now, c, entries, revision)
		}
		changed := c.Merge(now, entries...)
		c.AdvanceRevision(revision)
		return changed
	})
	f.logChanges("store", changed)
	if listing {
		// A list does not contain every intermediate change, so peers must not count as caught up by it.
		f.peers.pushChanges(revision, revision, changed)
		return nil
	}
	// Entries that this host already had from a peer are new to others.
	f.peers.pushChanges(before, revision, entries)
	return nil
}

// watch waits for changes after a revision.
func (f *feed) watch(ctx context.Context, after uint64) ([]ushercatalog.Entry, uint64, []error, error) {
	ctx, cancel := context.WithTimeout(ctx, longPollTime+storeTimeoutMargin)
	defer cancel()
	f.calls.Inc(1)
	return f.store.Watch(ctx, after, f.watchWait())
}

// list reads all pages. Each page has the timeout of one call, so that a slow store with many entries is read to the
// end and an unresponsive one is detected. The revision is that of the first page: later pages may be newer, and
// watching from the first revision misses nothing.
func (f *feed) list(ctx context.Context) (entries []ushercatalog.Entry, revision uint64, skipped []error, err error) {
	after := ""
	for first := true; first || after != ""; first = false {
		page, next, pageRevision, pageSkipped, err := f.listPage(ctx, after)
		if err != nil {
			return nil, 0, skipped, err
		}
		if first {
			revision = pageRevision
		}
		entries, skipped, after = append(entries, page...), append(skipped, pageSkipped...), next
	}
	return entries, revision, skipped, nil
}

func (f *feed) listPage(ctx context.Context, after string) (entries []ushercatalog.Entry, next string, revision uint64, skipped []error, err error) {
	ctx, cancel := context.WithTimeout(ctx, longPollTime+storeTimeoutMargin)
	defer cancel()
	f.calls.Inc(1)
	return f.store.List(ctx, after, f.allowStale)
}

// watchWait returns how long the store may hold a call: at most until the next list is due, and not at all if this host takes over.
func (f *feed) watchWait() time.Duration {
	if f.takingOver {
		return time.Millisecond
	}
	if f.relistAt.IsZero() {
		return longPollTime
	}
	return min(longPollTime, max(time.Until(f.relistAt)-watchInterval, time.Millisecond))
}

// applyList applies a full list. The first list after an outage does not remove targets whose entries may have
// expired during it.
func (f *feed) applyList(now time.Time, c *ushercatalog.Catalog, entries []ushercatalog.Entry, revision uint64) []ushercatalog.Entry {
	if !f.storeLost {
		return c.ApplyFullList(now, entries, revision)
	}
	f.storeLost = false
	changed, kept := c.ApplyFullListAfterOutage(now, entries, revision)
	if kept {
		f.relistAt = f.failedAt.Add(republishTimeout)
		f.log.Info("entries missing from the store after an outage; keeping them until the next full list", "revision", revision, "duration_ms", f.relistAt.Sub(now).Milliseconds())
	}
	return changed
}

// logChanges logs what this host learned.
func (f *feed) logChanges(source string, changed []ushercatalog.Entry) {
	logCatalogChanges(f.log, source, changed)
}

func logCatalogChanges(log *slog.Logger, source string, changed []ushercatalog.Entry) {
	for _, e := range changed {
		switch {
		case e.Declarations != nil:
			log.Info("declarations learned", "source", source, "revision", e.Revision, "version", e.Declarations.Version)
		case e.Key.Kind == ushercatalog.Evacuation:
			log.Info("evacuation learned", "source", source, "revision", e.Revision, "data_centre", e.Key.Name, "out", !e.Removed)
		case e.Target == nil:
			log.Info("target learned", "source", source, "revision", e.Revision, "target", e.Key.Name, "state", "gone")
		default:
			log.Info("target learned", "source", source, "revision", e.Revision, "target", e.Key.Name, "leaving", e.Target.Leaving,
				"cold_ms", e.Target.ColdRemaining.Milliseconds(), "service", e.Target.Service, "address", e.Target.Address.String())
		}
	}
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// recordStoreResponse records a response of the store to this host.
func (s *sharedState) recordStoreResponse() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastStoreResponse = s.clock.now()
	s.recordContact(storeContact{host: s.cluster.Self().Name, at: s.lastStoreResponse})
}

// recordStoreAttempt records that a call to the store has ended.
func (s *sharedState) recordStoreAttempt() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.storeAttempted {
		s.storeAttempted = true
		s.notifyChanged()
	}
}

// setStoreFailing records whether the last call to the store failed.
func (s *sharedState) setStoreFailing(failing bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.storeFailing = failing
	if failing && s.latestContact.host == s.cluster.Self().Name {
		s.invalidateContact(s.clock.now())
	}
}

// shouldReadStore reports whether this host has to read the store. The collector of the first data centre by name does,
// and the other collectors do if that one gets no responses. The remaining hosts read, one after the other, if no host
// is known to get any.
func (s *sharedState) shouldReadStore() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.now()
	self := s.cluster.Self()
	isCollector := s.cluster.Collector(now).Name == self.Name
	for _, m := range s.cluster.RemoteCollectors(now) {
		silent := isCollector && now.Sub(s.cluster.LastDirect(m.Name)) > readerSilence
		if (m.DataCentre < self.DataCentre || !isCollector) && s.hasStoreContact(now, m.Name) && !silent {
			return false
		}
	}
	if isCollector {
		return true
	}
	if s.hasStoreContact(now, s.cluster.Collector(now).Name) {
		return false
	}
	if s.latestContact.host == self.Name {
		return true
	}
	since := s.contactLostAt
	if !s.latestContact.at.IsZero() {
		since = s.latestContact.at.Add(readerTimeout + ushercluster.ReportInterval)
	}
	return now.After(since.Add(readerTakeoverStep << min(max(s.cluster.LocalRank(now)-1, 0), maxReaderTakeoverSteps)))
}

// hasStoreContact reports whether a peer has recently had a response from the store.
func (s *sharedState) hasStoreContact(now time.Time, name string) bool {
	r, known := s.peerStatuses[name]
	return known && !r.storeFailing && now.Sub(r.lastStoreResponse) < readerTimeout
}
