package usherhost

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/samphireusher/samphireusher/pkg/ushercatalog"
	"github.com/samphireusher/samphireusher/pkg/ushercluster"
	"github.com/samphireusher/samphireusher/pkg/usherpool"
	"github.com/samphireusher/samphireusher/pkg/usherroute"
)

type (
	// core holds what all duties of a host share. Its methods are safe for concurrent use and never block on I/O.
	sharedState struct {
		mu            sync.Mutex
		random        *rand.Rand
		catalog       ushercatalog.Catalog
		cluster       *ushercluster.Cluster
		pool          *usherpool.Pool
		retryBudgets  map[string]*usherpool.RetryBudget
		retryDefaults usherpool.RetryBudget
		gracePeriod   time.Duration
		// storeHeard is when this host last had an answer of the store.
		lastStoreResponse time.Time
		// storeFailing says that its last call to the store failed, storeTried that one has ended.
		storeFailing   bool
		storeAttempted bool
		peerStatuses   map[string]peerStatus
		// best is the latest answer of the store that any host had, as far as this one knows, and lost when that
		// knowledge was given up.
		latestContact storeContact
		contactLostAt time.Time
		// reported is what this host last told its collector.
		reportedLoads map[string]usherpool.Load
		// toldFleet and toldSite are what this host, as a collector, told those of its data centre and of others.
		fleetLoadDeltas      usherpool.DeltaTracker
		dataCentreLoadDeltas usherpool.DeltaTracker
		// leaving are targets that told this host or a peer that they leave.
		leavingNotices []leavingNotice
		changed        chan struct{}
		// behind tells that a peer knows more than this host, lostReader that a reader of the store gets no answers.
		behindPeer   chan struct{}
		readerFailed chan struct{}
	}

	// storeContact is an answer of the store that a host had.
	storeContact struct {
		host string
		at   time.Time
	}

	// readerState is what a peer told of its reading of the store.
	peerStatus struct {
		revision          uint64
		lastStoreResponse time.Time
		// failing says that its last call to the store failed.
		storeFailing bool
	}
)

func newSharedState(settings *Settings, self ushercluster.Member, seed uint64) *sharedState {
	random := rand.New(rand.NewPCG(seed, uint64(self.Incarnation)))
	return &sharedState{
		gracePeriod:   settings.Stop.Grace,
		random:        random,
		cluster:       ushercluster.New(self, settings.seeds(), random),
		pool:          usherpool.New(usherpool.Options{DataCentre: settings.Process.DataCentre, Random: random}),
		retryBudgets:  map[string]*usherpool.RetryBudget{},
		retryDefaults: usherpool.RetryBudget{Ratio: settings.Retries.Ratio, Allowance: settings.Retries.Allowance, Window: settings.Retries.Window},
		peerStatuses:  map[string]peerStatus{},
		changed:       make(chan struct{}), behindPeer: make(chan struct{}, 1), readerFailed: make(chan struct{}, 1),
	}
}

// signal makes a duty look at once; one look is enough for several signals.
func notify(wake chan<- struct{}) {
	select {
	case wake <- struct{}{}:
	default:
		// A look is due already.
	}
}

// table returns the declarations in force, or nil as long as none are known for certain. What a peer tells may be out of
// date, even where it has heard of a host that reads the store; it counts once the store has answered or failed this host.
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

// apply runs a change of the catalog and brings the pool up to it.
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

// announceChange wakes those that wait for changes.
func (s *sharedState) notifyChanged() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *sharedState) updatePool(now time.Time) {
	s.pool.Update(now, s.catalog.Targets(), s.catalog.Evacuated, s.catalog.Table(), s.cluster.LimitDivisor(now))
}

// choose returns the target for r.
func (s *sharedState) choose(r usherpool.Request) (usherpool.Choice, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pool.Choose(time.Now(), r)
}

// accepts tells whether a target may be sent new work.
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

func (s *sharedState) addLoad(id string, l usherpool.Load) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pool.Add(id, l)
}

func (s *sharedState) recordResult(id string, r usherpool.Result) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pool.Observe(time.Now(), id, r)
}

func (s *sharedState) markCold(id string, left time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pool.MarkCold(time.Now(), id, left)
}

// countRequest counts a caller's request to a service.
func (s *sharedState) countRequest(service string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.retryBudget(service).RecordRequest(time.Now())
}

// mayRepeat takes a repeated send out of the budget of a service.
func (s *sharedState) allowRetry(service string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	return s.retryBudget(service).AllowRetry(now, s.cluster.LimitDivisor(now))
}

func (s *sharedState) retryBudget(service string) *usherpool.RetryBudget {
	b, known := s.retryBudgets[service]
	if !known {
		b = &usherpool.RetryBudget{Ratio: s.retryDefaults.Ratio, Allowance: s.retryDefaults.Allowance, Window: s.retryDefaults.Window}
		s.retryBudgets[service] = b
	}
	return b
}

// point returns a number spread evenly over [0, 1).
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

// serving returns the hosts that take requests, this one included, those of a data centre first.
func (s *sharedState) servingHosts(dataCentre string) []ushercluster.Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	var near, far []ushercluster.Member
	for _, m := range append(s.cluster.Alive(time.Now()), s.cluster.Self()) {
		switch {
		case m.State != ushercluster.Serving:
		case m.DataCentre == dataCentre:
			near = append(near, m)
		default:
			far = append(far, m)
		}
	}
	return append(near, far...)
}
