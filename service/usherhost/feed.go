package usherhost

import (
	"context"
	"log/slog"
	"net/netip"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/samphireusher/samphireusher/pkg/ushercatalog"
	"github.com/samphireusher/samphireusher/pkg/ushercluster"
)

const (
	// watchWait is how long the store holds a call that waits for changes, and storeSlack how much longer its answer may
	// take. Their sum is how long a reader that gets no answers goes unnoticed; it leaves the next host time to read
	// within the 2 s in which operators expect changes to be in force.
	watchWait  = 900 * time.Millisecond
	storeSlack = 400 * time.Millisecond
	// watchPause gathers changes between two calls, as each call is priced.
	watchPause = 150 * time.Millisecond
	// firstBackoff and longestBackoff bound the pause after a failed call.
	firstBackoff   = 100 * time.Millisecond
	longestBackoff = 500 * time.Millisecond
	// lapseGrace is how long entries that lapsed while the store was away may take to come back: about two seconds by the
	// users' pages, less what peers need to learn of it. It counts from the last call that failed, as the store may have
	// been back since.
	lapseGrace = 1900 * time.Millisecond
	// readerTimeout is how long the reader of a data centre may go without an answer of the store before the next host
	// reads too: one call with its slack. A reader whose call fails says so at once.
	readerTimeout = watchWait + storeSlack + 200*time.Millisecond
	// readerStep is how long the first host waits before it begins to read where no host gets answers: enough for another
	// one's success to be told. Each further host waits twice as long, so that few hosts ask a store that is down.
	readerStep     = 50 * time.Millisecond
	maxReaderSteps = 10
	// readerCheck is how often a host that does not read looks whether it has to; it does so at once when a reader says
	// that it gets no answers.
	readerCheck = 250 * time.Millisecond
	// pullDelay is how long a host may know that a peer is ahead before it asks for what it lacks: changes are also
	// sent unasked.
	pullDelay = 200 * time.Millisecond
)

type (
	// Store reads what the platform publishes.
	Store interface {
		// List returns a page of all entries, what to list after for the next one (empty at the end), and the store's
		// revision. With allowStale the list is cheaper and may be out of date.
		List(ctx context.Context, after string, allowStale bool) (entries []ushercatalog.Entry, next string, revision uint64, skipped []error, err error)
		// Watch waits for changes after a revision.
		Watch(ctx context.Context, after uint64, wait time.Duration) (entries []ushercatalog.Entry, revision uint64, skipped []error, err error)
		// HistoryGone tells whether an error of Watch means that changes were lost and List is due.
		HistoryGone(err error) bool
	}

	// feed keeps the catalog up to date, from the store or from peers. One host of the fleet reads the store, as each call
	// is priced; others take over where it gets no answers.
	feed struct {
		core  *core
		store Store
		peers *peers
		log   *slog.Logger

		listed bool
		// relaxed says that the next list may be out of date: the first one where the whole fleet starts for the first time,
		// as nothing was in use before. What has changed since comes with the calls that wait for changes.
		relaxed bool
		// away says that the last call failed, at failedAt, and relist when entries that lapsed with the store have to be
		// back.
		away     bool
		failedAt time.Time
		relist   time.Time
		backoff  time.Duration
		calls    metrics.Counter
		failed   metrics.Counter
		reading  bool
		up       bool
	}
)

func newFeed(c *core, store Store, firstStart bool, p *peers, log *slog.Logger, registry metrics.Registry) *feed {
	return &feed{
		core: c, store: store, relaxed: firstStart, peers: p, log: log, up: true,
		calls: metrics.NewRegisteredCounter("store.calls", registry), failed: metrics.NewRegisteredCounter("store.failed_calls", registry),
	}
}

// run reads, where this host has to, until ctx ends.
func (f *feed) run(ctx context.Context) {
	for ctx.Err() == nil {
		if f.listed && f.relist.IsZero() && !f.isReader() {
			wait(ctx, readerCheck, f.core.lostReader)
			continue
		}
		f.read(ctx)
	}
}

// follow asks a peer that is ahead for what is missing, until ctx ends. It does not wait for calls to the store, which may
// go unanswered.
func (f *feed) follow(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-f.core.behind:
			// What is missing may be on its way.
			sleep(ctx, pullDelay)
			f.pull(ctx)
		}
	}
}

// isReader tells whether this host has to read the store, and logs when that changes.
func (f *feed) isReader() bool {
	reader := f.core.mustRead()
	if reader != f.reading {
		f.reading = reader
		f.log.Info("reader of the store changed", "reading", reader, "revision", f.core.revision())
	}
	return reader
}

// read makes one call to the store.
func (f *feed) read(ctx context.Context) {
	if !f.relist.IsZero() && time.Now().After(f.relist) {
		f.listed, f.relist = false, time.Time{}
	}
	err := f.call(ctx)
	if ctx.Err() != nil {
		return
	}
	f.core.triedStore()
	if err == nil {
		if !f.up {
			f.up = true
			f.core.setStoreFailing(false)
			f.peers.tell()
			f.log.Info("store answers again", "revision", f.core.revision())
		}
		f.backoff = 0
		sleep(ctx, watchPause)
		return
	}
	f.failed.Inc(1)
	if f.store.HistoryGone(err) {
		f.log.Info("store has dropped the changes since the last call; listing anew", "revision", f.core.revision())
		f.listed = false
		return
	}
	if f.up {
		f.up = false
		f.core.setStoreFailing(true)
		f.peers.tell()
		f.log.Warn("store does not answer", "error", err.Error(), "revision", f.core.revision())
	}
	f.away, f.failedAt = true, time.Now()
	// What was changed while a call was lost is found by listing: a watch that was cut may have missed changes.
	f.listed = false
	f.backoff = min(max(2*f.backoff, firstBackoff), longestBackoff)
	sleep(ctx, f.backoff)
}

func (f *feed) call(ctx context.Context) error {
	before := f.core.revision()
	var (
		entries  []ushercatalog.Entry
		revision uint64
		skipped  []error
		err      error
		listing  = !f.listed
	)
	if listing {
		entries, revision, skipped, err = f.list(ctx)
		f.relaxed = false
	} else {
		entries, revision, skipped, err = f.watch(ctx, before)
	}
	for _, fault := range skipped {
		f.log.Warn("published entry not readable; it names nothing to use", "error", fault.Error())
	}
	if err != nil {
		return err
	}
	f.listed = true
	f.core.storeAnswered()
	changed := f.core.apply(func(now time.Time, c *ushercatalog.Catalog) []ushercatalog.Entry {
		c.Sweep(now)
		if listing {
			return f.complete(now, c, entries, revision)
		}
		changed := c.Merge(now, entries...)
		c.AdvanceRevision(revision)
		return changed
	})
	f.announce("store", changed)
	if listing {
		// A list does not tell every change in between, so peers must not count as having caught up by it.
		f.peers.push(revision, changed)
		return nil
	}
	// What this host had from a peer already is news to others.
	f.peers.push(before, entries)
	return nil
}

// watch waits for changes after a revision.
func (f *feed) watch(ctx context.Context, after uint64) ([]ushercatalog.Entry, uint64, []error, error) {
	ctx, cancel := context.WithTimeout(ctx, watchWait+storeSlack)
	defer cancel()
	f.calls.Inc(1)
	return f.store.Watch(ctx, after, f.watchTime())
}

// list reads all pages. Each has the time of a call, so that a slow store with many entries is read to the end, and a
// silent one is noticed. The revision is that of the first page: later ones may be newer, and watching from the first one
// misses nothing.
func (f *feed) list(ctx context.Context) (entries []ushercatalog.Entry, revision uint64, skipped []error, err error) {
	after := ""
	for first := true; first || after != ""; first = false {
		page, next, pageRevision, faults, err := f.page(ctx, after)
		if err != nil {
			return nil, 0, skipped, err
		}
		if first {
			revision = pageRevision
		}
		entries, skipped, after = append(entries, page...), append(skipped, faults...), next
	}
	return entries, revision, skipped, nil
}

func (f *feed) page(ctx context.Context, after string) (entries []ushercatalog.Entry, next string, revision uint64, skipped []error, err error) {
	ctx, cancel := context.WithTimeout(ctx, watchWait+storeSlack)
	defer cancel()
	f.calls.Inc(1)
	return f.store.List(ctx, after, f.relaxed)
}

// watchTime returns how long the store may hold a call: no longer than until the next list is due.
func (f *feed) watchTime() time.Duration {
	if f.relist.IsZero() {
		return watchWait
	}
	return min(watchWait, max(time.Until(f.relist)-watchPause, time.Millisecond))
}

// complete takes in a full list. The first one after an outage does not end targets whose entries may have lapsed.
func (f *feed) complete(now time.Time, c *ushercatalog.Catalog, entries []ushercatalog.Entry, revision uint64) []ushercatalog.Entry {
	if !f.away {
		return c.ApplyFullList(now, entries, revision)
	}
	f.away = false
	changed, kept := c.ApplyFullListAfterOutage(now, entries, revision)
	if kept {
		f.relist = f.failedAt.Add(lapseGrace)
		f.log.Info("entries may have lapsed with the store; they are waited for", "revision", revision, "duration_ms", f.relist.Sub(now).Milliseconds())
	}
	return changed
}

func (f *feed) pull(ctx context.Context) {
	address, revision, ahead := f.core.ahead()
	if !ahead {
		return
	}
	changed, err := f.peers.pull(ctx, address, f.core.revision())
	if err != nil {
		f.log.Warn("peer did not tell its changes", "peer", address.String(), "revision", revision, "error", err.Error())
		return
	}
	f.announce(address.String(), changed)
}

// announce logs what this host learned.
func (f *feed) announce(source string, changed []ushercatalog.Entry) {
	announce(f.log, source, changed)
}

func announce(log *slog.Logger, source string, changed []ushercatalog.Entry) {
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

// wait returns after d, or at a signal.
func wait(ctx context.Context, d time.Duration, signal <-chan struct{}) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-signal:
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

// storeAnswered records an answer of the store.
func (c *core) storeAnswered() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.storeHeard = time.Now()
	c.contact(storeContact{host: c.cluster.Self().Name, at: c.storeHeard})
}

// triedStore records that a call to the store has ended.
func (c *core) triedStore() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.storeTried {
		c.storeTried = true
		c.announceChange()
	}
}

// setStoreFailing records whether the last call to the store failed.
func (c *core) setStoreFailing(failing bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.storeFailing = failing
	if failing && c.best.host == c.cluster.Self().Name {
		c.lose(time.Now())
	}
}

// mustRead tells whether this host has to read the store: the collector of the first data centre by name does, and
// those of the others where that one gets no answers. The remaining hosts read, one after the other, where no host is
// known to get any.
func (c *core) mustRead() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	self := c.cluster.Self()
	collects := c.cluster.Collector(now).Name == self.Name
	for _, m := range c.cluster.RemoteCollectors(now) {
		if (m.DataCentre < self.DataCentre || !collects) && c.fresh(now, m.Name) {
			return false
		}
	}
	if collects {
		return true
	}
	if c.fresh(now, c.cluster.Collector(now).Name) {
		return false
	}
	if c.best.host == self.Name {
		return true
	}
	since := c.lost
	if !c.best.at.IsZero() {
		since = c.best.at.Add(readerTimeout + ushercluster.ReportInterval)
	}
	return now.After(since.Add(readerStep << min(max(c.cluster.LocalRank(now)-1, 0), maxReaderSteps)))
}

// fresh tells whether a peer that reads the store has had an answer lately.
func (c *core) fresh(now time.Time, name string) bool {
	r, known := c.readers[name]
	return known && !r.failing && now.Sub(r.storeSeen) < readerTimeout
}

// ahead returns the peer that knows the most, if it knows more than this host; one of the own data centre if it can.
func (c *core) ahead() (address netip.AddrPort, revision uint64, ahead bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	revision = c.catalog.Revision()
	self := c.cluster.Self()
	for _, near := range []bool{true, false} {
		for _, m := range c.cluster.Alive(time.Now()) {
			if r, known := c.readers[m.Name]; known && (m.DataCentre == self.DataCentre) == near && r.revision > revision {
				address, revision, ahead = m.Address, r.revision, true
			}
		}
		if ahead {
			return address, revision, true
		}
	}
	return netip.AddrPort{}, 0, false
}
