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
	core struct {
		mu      sync.Mutex
		random  *rand.Rand
		catalog ushercatalog.Catalog
		cluster *ushercluster.Cluster
		pool    *usherpool.Pool
		budgets map[string]*usherpool.RetryBudget
		budget  usherpool.RetryBudget
		grace   time.Duration
		// storeHeard is when this host last had an answer of the store.
		storeHeard time.Time
		// storeFailing says that its last call to the store failed, storeTried that one has ended.
		storeFailing bool
		storeTried   bool
		readers      map[string]readerState
		// best is the latest answer of the store that any host had, as far as this one knows, and lost when that
		// knowledge was given up.
		best storeContact
		lost time.Time
		// reported is what this host last told its collector.
		reported map[string]usherpool.Load
		// toldFleet and toldSite are what this host, as a collector, told those of its data centre and of others.
		toldFleet usherpool.DeltaTracker
		toldSite  usherpool.DeltaTracker
		// leaving are targets that told this host or a peer that they leave.
		leaving []leavingMark
		changed chan struct{}
		// behind tells that a peer knows more than this host, lostReader that a reader of the store gets no answers.
		behind     chan struct{}
		lostReader chan struct{}
	}

	// storeContact is an answer of the store that a host had.
	storeContact struct {
		host string
		at   time.Time
	}

	// readerState is what a peer told of its reading of the store.
	readerState struct {
		revision  uint64
		storeSeen time.Time
		// failing says that its last call to the store failed.
		failing bool
	}
)

func newCore(s *Settings, self ushercluster.Member, seed uint64) *core {
	random := rand.New(rand.NewPCG(seed, uint64(self.Incarnation)))
	return &core{
		grace:   s.Stop.Grace,
		random:  random,
		cluster: ushercluster.New(self, s.seeds(), random),
		pool:    usherpool.New(usherpool.Options{DataCentre: s.Process.DataCentre, Random: random}),
		budgets: map[string]*usherpool.RetryBudget{},
		budget:  usherpool.RetryBudget{Ratio: s.Retries.Ratio, Allowance: s.Retries.Allowance, Window: s.Retries.Window},
		readers: map[string]readerState{},
		changed: make(chan struct{}), behind: make(chan struct{}, 1), lostReader: make(chan struct{}, 1),
	}
}

// signal makes a duty look at once; one look is enough for several signals.
func signal(duty chan<- struct{}) {
	select {
	case duty <- struct{}{}:
	default:
		// A look is due already.
	}
}

// table returns the declarations in force, or nil as long as none are known for certain. What a peer tells may be out of
// date, even where it has heard of a host that reads the store; it counts once the store has answered or failed this host.
func (c *core) table() *usherroute.Table {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.storeTried {
		return nil
	}
	return c.catalog.Table()
}

func (c *core) revision() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.catalog.Revision()
}

// watchChanges returns a channel that is closed at the next change of targets or hosts.
func (c *core) watchChanges() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.changed
}

// apply runs a change of the catalog and brings the pool up to it.
func (c *core) apply(change func(now time.Time, catalog *ushercatalog.Catalog) []ushercatalog.Entry) []ushercatalog.Entry {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	changed := change(now, &c.catalog)
	if len(changed) > 0 {
		c.updatePool(now)
		c.announceChange()
	}
	return changed
}

// announceChange wakes those that wait for changes.
func (c *core) announceChange() {
	close(c.changed)
	c.changed = make(chan struct{})
}

func (c *core) updatePool(now time.Time) {
	c.pool.Update(now, c.catalog.Targets(), c.catalog.Evacuated, c.catalog.Table(), c.cluster.LimitDivisor(now))
}

// choose returns the target for r.
func (c *core) choose(r usherpool.Request) (usherpool.Choice, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pool.Choose(time.Now(), r)
}

// accepts tells whether a target may be sent new work.
func (c *core) accepts(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pool.Accepts(id)
}

func (c *core) target(id string) (ushercatalog.Target, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pool.Target(id)
}

func (c *core) add(id string, l usherpool.Load) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pool.Add(id, l)
}

func (c *core) observe(id string, r usherpool.Result) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pool.Observe(time.Now(), id, r)
}

func (c *core) cold(id string, left time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pool.MarkCold(time.Now(), id, left)
}

// countRequest counts a caller's request to a service.
func (c *core) countRequest(service string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.budgetOf(service).RecordRequest(time.Now())
}

// mayRepeat takes a repeated send out of the budget of a service.
func (c *core) mayRepeat(service string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	return c.budgetOf(service).AllowRetry(now, c.cluster.LimitDivisor(now))
}

func (c *core) budgetOf(service string) *usherpool.RetryBudget {
	b, known := c.budgets[service]
	if !known {
		b = &usherpool.RetryBudget{Ratio: c.budget.Ratio, Allowance: c.budget.Allowance, Window: c.budget.Window}
		c.budgets[service] = b
	}
	return b
}

// point returns a number spread evenly over [0, 1).
func (c *core) point() float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.random.Float64()
}

func (c *core) self() ushercluster.Member {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cluster.Self()
}

func (c *core) setState(s ushercluster.State) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cluster.SetState(s)
}

// serving returns the hosts that take requests, this one included, those of a data centre first.
func (c *core) serving(dataCentre string) []ushercluster.Member {
	c.mu.Lock()
	defer c.mu.Unlock()
	var near, far []ushercluster.Member
	for _, m := range append(c.cluster.Alive(time.Now()), c.cluster.Self()) {
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
