package usherengine

import (
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/justinas/alice"

	"github.com/samphireusher/samphireusher/standin/internal/usherhttp"
	"github.com/samphireusher/samphireusher/standin/internal/usherlife"
	"github.com/samphireusher/samphireusher/standin/ushermodel"
)

// forever is longer than any run of the stand-ins.
const forever = 100 * 365 * 24 * time.Hour

// Why an engine died.
const (
	deathSwitched = "switched"
	deathOverload = "cold_overload"
	deathPoison   = "poison"
	deathClosed   = "closed"
)

type (
	// Engine is an http.Handler that serves the surface of one model engine.
	Engine struct {
		config  Config
		gate    *usherlife.Gate
		handler http.Handler
		loops   sync.WaitGroup

		mu     sync.Mutex
		faults Faults
		state  *state
		record recorder
	}

	// state is all that an engine loses when it dies.
	state struct {
		life        *usherlife.Instance
		model       *ushermodel.Engine
		generations map[string]*generation
		byArrival   map[uint64]*generation
		cache       cacheLog
		orders      orderState
		reports     []report
		loadedAt    time.Time
		arrivals    uint64
		looping     bool
	}

	// generation is one prompt and the part of its answer that has been made.
	generation struct {
		id      string
		prompt  string
		arrival uint64
		answer  answer
		made    int
		// changed is closed and replaced whenever there is something new.
		changed  chan struct{}
		finished bool
		// gone marks a generation that was cancelled or not fetched in time.
		gone      bool
		readers   int
		idleSince time.Time
		record    int
	}
)

// New returns an engine that serves at once.
func New(config Config) *Engine {
	e := &Engine{config: config.withDefaults()}
	e.gate = usherlife.NewGate(e.config.Incarnation)
	life, _ := e.gate.Current()
	e.state = e.newState(life, e.config.Options.Cold)

	surface := http.NewServeMux()
	surface.HandleFunc("POST /v1/generations", e.serveGenerate)
	surface.HandleFunc("GET /v1/generations/{id}", e.serveResume)
	surface.HandleFunc("DELETE /v1/generations/{id}", e.serveCancel)
	surface.HandleFunc("GET /v1/report", e.serveReport)
	surface.HandleFunc("GET /v1/cache_events", e.serveCacheEvents)
	surface.HandleFunc("POST /v1/orders", e.serveOrder)
	surface.HandleFunc("GET /v1/orders", e.serveOrders)

	routes := http.NewServeMux()
	routes.Handle("/v1/", alice.New(e.gate.Middleware, e.delayed).Then(surface))
	usherhttp.HandleControl(routes, e, e.Record)
	e.handler = routes
	return e
}

// ServeHTTP serves the surface of the engine, its fault switches and its record.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.handler.ServeHTTP(w, r)
}

// Close ends the engine for good and waits for its work to stop.
func (e *Engine) Close() {
	e.mu.Lock()
	e.die(deathClosed, forever)
	e.mu.Unlock()
	e.loops.Wait()
}

func (e *Engine) newState(life *usherlife.Instance, cold bool) *state {
	options := e.config.Options
	options.Cold = cold
	s := &state{
		life:        life,
		model:       ushermodel.New(options),
		generations: map[string]*generation{},
		byArrival:   map[uint64]*generation{},
		orders:      orderState{Model: e.config.Model, Adapters: []string{}, Orders: []orderRecord{}},
	}
	s.reports = []report{s.report(life.StartTime)}
	return s
}

// die drops all connections and state. The caller holds the lock.
func (e *Engine) die(reason string, restartAfter time.Duration) {
	dying := e.state.life
	if !e.gate.Crash(restartAfter) {
		return
	}
	e.record.died(dying.Incarnation, reason)
	life, _ := e.gate.Current()
	e.state = e.newState(life, true)
}

func (e *Engine) restartAfter() time.Duration {
	if e.faults.RestartAfterMS > 0 {
		return time.Duration(e.faults.RestartAfterMS) * time.Millisecond
	}
	return e.config.RestartAfter
}

// locked runs use on the state of the life that took r. It drops the connection if that life is over.
func (e *Engine) locked(r *http.Request, use func(s *state)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.state.life != usherlife.FromContext(r.Context()) {
		panic(http.ErrAbortHandler)
	}
	e.expire(e.state, time.Now())
	use(e.state)
}

// delayed makes each answer late, as the fault switches say.
func (e *Engine) delayed(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if err := e.gate.DelayResponse(r.Context()); err != nil {
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	})
}

// expire drops the generations that nobody has read for too long.
func (e *Engine) expire(s *state, now time.Time) {
	for _, g := range s.generations {
		if g.readers == 0 && now.Sub(g.idleSince) >= e.config.Keep {
			s.drop(g)
		}
	}
}

func (s *state) drop(g *generation) {
	g.gone = true
	s.model.Cancel(g.key())
	delete(s.generations, g.id)
	delete(s.byArrival, g.arrival)
	g.wake()
}

// load returns how many generations run or wait.
func (s *state) load() int {
	load := s.model.Report(time.Time{})
	return load.Running + load.Waiting
}

// key returns the id under which the model knows the generation; the caller's id may come again after it was dropped.
func (g *generation) key() string {
	return strconv.FormatUint(g.arrival, 10)
}

// wake tells all readers that there is something new.
func (g *generation) wake() {
	close(g.changed)
	g.changed = make(chan struct{})
}
