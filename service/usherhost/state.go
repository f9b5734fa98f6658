package usherhost

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/samphireusher/samphireusher/pkg/ushercatalog"
	"github.com/samphireusher/samphireusher/pkg/ushercluster"
	"github.com/samphireusher/samphireusher/pkg/usherpool"
	"github.com/samphireusher/samphireusher/pkg/usherroute"
	"github.com/samphireusher/samphireusher/pkg/ushershare"
	"github.com/samphireusher/samphireusher/pkg/usherspeed"
)

type (
	// sharedState holds the state that all parts of a host share. Its methods are safe for concurrent use and never
	// block on I/O.
	sharedState struct {
		mu      sync.Mutex
		random  *rand.Rand
		catalog ushercatalog.Catalog
		cluster *ushercluster.Cluster
		// clock has the times of what is known of other hosts and of the store's responses.
		clock         bootClock
		pool          *usherpool.Pool
		retryBudgets  map[string]*usherpool.RetryBudget
		retryDefaults usherpool.RetryBudget
		gracePeriod   time.Duration
		// lastStoreResponse is when the store last answered this host.
		lastStoreResponse time.Time
		// storeFailing reports that the last call to the store failed, storeAttempted that at least one call has ended.
		storeFailing   bool
		storeAttempted bool
		peerStatuses   map[string]peerStatus
		// latestContact is the most recent response of the store to any host, as far as this host knows. contactLostAt
		// is when that knowledge was last invalidated.
		latestContact storeContact
		contactLostAt time.Time
		// reportedLoads are the loads that this host last sent to its collector.
		reportedLoads map[string]usherpool.Load
		// fleetLoadDeltas and dataCentreLoadDeltas track which loads this host, as a collector, has sent to the hosts
		// of its data centre and to the collectors of others.
		fleetLoadDeltas      usherpool.DeltaTracker
		dataCentreLoadDeltas usherpool.DeltaTracker
		// leavingNotices are from targets that told this host or a peer that they are leaving.
		leavingNotices []leavingNotice
		// limitEnds are the limits that have ended lately, as this host or a peer learned.
		limitEnds map[limitKey]limitEnd
		// lentTurns are at targets that have named no limit to this host.
		lentTurns usherpool.LentTurns
		// roster are the hosts that share limits, in the order of their places.
		roster    []ushercluster.Member
		suspicion suspicion
		// callOutcomes are what this host saw of plain calls since its last report to the collector.
		callOutcomes []outcomeWire
		// callTails has the durations of plain calls, by route.
		callTails map[string]*usherspeed.Tail
		changed   chan struct{}
		// behindPeer is notified when a peer has a newer catalog than this host, readerFailed when a peer reports that
		// its calls to the store fail.
		behindPeer   chan struct{}
		readerFailed chan struct{}
		// behindSince is when this host learned that it is behind, or zero.
		behindSince time.Time
	}

	// storeContact is a response of the store to a host.
	storeContact struct {
		host string
		at   time.Time
	}

	// peerStatus is what a peer last reported about its catalog and its contact with the store.
	peerStatus struct {
		revision          uint64
		lastStoreResponse time.Time
		// storeFailing reports that the peer's last call to the store failed.
		storeFailing bool
	}
)

func newSharedState(settings *Settings, self ushercluster.Member, seed uint64, clock bootClock) *sharedState {
	random := rand.New(rand.NewPCG(seed, uint64(self.Incarnation)))
	return &sharedState{
		gracePeriod:   settings.Stop.Grace,
		random:        random,
		clock:         clock,
		cluster:       ushercluster.New(self, settings.seeds(), random),
		pool:          usherpool.New(usherpool.Options{DataCentre: settings.Process.DataCentre, Random: random, WeighParts: settings.Prefixes.Weigh}),
		retryBudgets:  map[string]*usherpool.RetryBudget{},
		retryDefaults: usherpool.RetryBudget{Ratio: settings.Retries.Ratio, Allowance: settings.Retries.Allowance, Window: settings.Retries.Window},
		peerStatuses:  map[string]peerStatus{},
		limitEnds:     map[limitKey]limitEnd{},
		suspicion:     newSuspicion(self.Name),
		callTails:     map[string]*usherspeed.Tail{},
		changed:       make(chan struct{}), behindPeer: make(chan struct{}, 1), readerFailed: make(chan struct{}, 1),
	}
}

// notify wakes the goroutine that receives from wake. Notifications that arrive while one is pending are merged with
// it.
func notify(wake chan<- struct{}) {
	select {
	case wake <- struct{}{}:
	default:
		// A notification is already pending.
	}
}

// table returns the declarations in force, or nil until they are known reliably. Declarations received from a peer may
// be out of date, even if that peer has heard from a host that reads the store, so they are used only once this host's
// first call to the store has succeeded or failed.
func (s *sharedState) table() *usherroute.Table {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.storeAttempted {
		return nil
	}
	return s.catalog.Table()
}

func (s *sharedState) revision() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.catalog.Revision()
}

// watchChanges returns a channel that is closed at the next change of targets or hosts.
func (s *sharedState) watchChanges() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// apply runs a change of the catalog and updates the pool if any entry changed.
func (s *sharedState) apply(change func(now time.Time, catalog *ushercatalog.Catalog) []ushercatalog.Entry) []ushercatalog.Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	changed := change(now, &s.catalog)
	if len(changed) > 0 {
		s.updatePool(now)
		s.notifyChanged()
	}
	return changed
}

// notifyChanged wakes the goroutines that wait on watchChanges.
func (s *sharedState) notifyChanged() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *sharedState) updatePool(now time.Time) {
	place, hosts := s.cluster.LimitShare(s.clock.now())
	s.pool.SetPlace(place)
	s.updateRoster(hosts)
	s.pool.Update(now, s.catalog.Targets(), s.catalog.Evacuated, s.catalog.Table(), hosts)
}

// choose selects a target for r.
func (s *sharedState) choose(r usherpool.Request) (usherpool.Choice, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pool.Choose(time.Now(), r)
}

// accepts reports whether a target accepts new work.
func (s *sharedState) accepts(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pool.Accepts(id)
}

func (s *sharedState) target(id string) (ushercatalog.Target, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pool.Target(id)
}

// otherTarget returns another target of the same service, whether or not it accepts work.
func (s *sharedState) otherTarget(than ushercatalog.Target) (ushercatalog.Target, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pool.Other(than)
}

// isReplaced reports whether another target, or a later start of this one, has its address.
func (s *sharedState) isReplaced(target ushercatalog.Target) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pool.Replaced(target)
}

func (s *sharedState) addLoad(id string, l usherpool.Load) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pool.AddLoad(id, l)
}

func (s *sharedState) recordResult(id string, r usherpool.Result) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pool.RecordResult(time.Now(), id, r)
}

func (s *sharedState) markCold(id string, remaining time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pool.MarkCold(time.Now(), id, remaining)
}

// countRequest counts a caller's request towards the retry budget of a service.
func (s *sharedState) countRequest(service string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.retryBudget(service).RecordRequest(time.Now())
}

// allowRetry takes one retry from the budget of a service and reports whether one was available.
func (s *sharedState) allowRetry(service string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	return s.retryBudget(service).AllowRetry(now, s.cluster.LimitDivisor(s.clock.now()))
}

func (s *sharedState) retryBudget(service string) *usherpool.RetryBudget {
	b, known := s.retryBudgets[service]
	if !known {
		b = &usherpool.RetryBudget{Ratio: s.retryDefaults.Ratio, Allowance: s.retryDefaults.Allowance, Window: s.retryDefaults.Window}
		s.retryBudgets[service] = b
	}
	return b
}

// randomFraction returns a uniformly distributed number in [0, 1).
func (s *sharedState) randomFraction() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.random.Float64()
}

func (s *sharedState) self() ushercluster.Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cluster.Self()
}

func (s *sharedState) setState(hostState ushercluster.State) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cluster.SetState(hostState)
}

// servingHosts returns the hosts that take requests, including this one.
func (s *sharedState) servingHosts() []ushershare.Host {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.now()
	var hosts []ushershare.Host
	for _, m := range append(s.cluster.Alive(now), s.cluster.Self()) {
		if m.State == ushercluster.Serving {
			hosts = append(hosts, ushershare.Host{
				Name: m.Name, DataCentre: m.DataCentre, Address: m.CallerAddress, MilliCores: m.Capacity.MilliCores, LinkMbps: m.Capacity.LinkMbps,
				Pressure: int(s.cluster.Pressure(now, m.Name)),
			})
		}
	}
	return hosts
}
