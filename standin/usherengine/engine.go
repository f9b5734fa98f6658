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

// forever is a restart delay that is longer than the stand-ins ever run.
const forever = 100 * 365 * 24 * time.Hour

// Reasons for a crash.
const (
	crashFaultSwitch = "switched"
	crashOverload    = "cold_overload"
	crashPoison      = "poison"
	crashClosed      = "closed"
)

type (
	// Engine is an http.Handler that serves the API of a model engine.
	Engine struct {
		config    Config
		gate      *usherlife.Gate
		handler   http.Handler
		stepLoops sync.WaitGroup

		mu       sync.Mutex
		faults   Faults
		state    *state
		recorder recorder
	}

	// state is the state that an engine loses when it crashes.
	state struct {
		instance     *usherlife.Instance
		model        *ushermodel.Engine
		generations  map[string]*generation
		byArrival    map[uint64]*generation
		cache        cacheLog
		orders       orderState
		reports      []report
		modelReadyAt time.Time
		arrivals     uint64
		loopRunning  bool
	}

	// generation is a prompt with its answer, of which the first generatedTokens tokens have been generated.
	generation struct {
		id              string
		prompt          string
		arrival         uint64
		answer          answer
		generatedTokens int
		// changed is closed and replaced at each change that the readers have to check.
		changed  chan struct{}
		finished bool
		// dropped is set if the generation was cancelled or was without a reader for the retention time.
		dropped     bool
		readers     int
		idleSince   time.Time
		recordIndex int
	}
)

// New returns an engine that is ready to serve.
func New(config Config) *Engine {
	e := &Engine{config: config.withDefaults()}
	e.gate = usherlife.NewGate(e.config.Incarnation)
	instance, _ := e.gate.Current()
	e.state = e.newState(instance, e.config.Options.Cold)

	engineRoutes := http.NewServeMux()
	engineRoutes.HandleFunc("POST /v1/generations", e.serveGenerate)
	engineRoutes.HandleFunc("GET /v1/generations/{id}", e.serveResume)
	engineRoutes.HandleFunc("DELETE /v1/generations/{id}", e.serveCancel)
	engineRoutes.HandleFunc("GET /v1/report", e.serveReport)
	engineRoutes.HandleFunc("GET /v1/cache_events", e.serveCacheEvents)
	engineRoutes.HandleFunc("POST /v1/orders", e.serveOrder)
	engineRoutes.HandleFunc("GET /v1/orders", e.serveOrders)

	routes := http.NewServeMux()
	routes.Handle("/v1/", alice.New(e.gate.Middleware, e.delayResponses).Then(engineRoutes))
	usherhttp.HandleControl(routes, e, e.Record)
	e.handler = routes
	return e
}

// ServeHTTP serves the API of the engine, its fault switches and its record.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.handler.ServeHTTP(w, r)
}

// Close stops the engine permanently and waits until its step loops have ended.
func (e *Engine) Close() {
	e.mu.Lock()
	e.crash(crashClosed, forever)
	e.mu.Unlock()
	e.stepLoops.Wait()
}

func (e *Engine) newState(instance *usherlife.Instance, cold bool) *state {
	options := e.config.Options
	options.Cold = cold
	s := &state{
		instance:    instance,
		model:       ushermodel.New(options),
		generations: map[string]*generation{},
		byArrival:   map[uint64]*generation{},
		orders:      orderState{Model: e.config.Model, Adapters: []string{}, Orders: []orderRecord{}},
	}
	s.reports = []report{s.report(instance.StartTime)}
	return s
}

// crash drops all connections and state. The caller must hold the lock.
func (e *Engine) crash(reason string, restartDelay time.Duration) {
	crashing := e.state.instance
	if !e.gate.Crash(restartDelay) {
		return
	}
	e.recorder.crashed(crashing.Incarnation, reason)
	instance, _ := e.gate.Current()
	e.state = e.newState(instance, true)
}

func (e *Engine) restartDelay() time.Duration {
	if e.faults.RestartAfterMS > 0 {
		return time.Duration(e.faults.RestartAfterMS) * time.Millisecond
	}
	return e.config.RestartAfter
}

// withState locks the engine and calls fn with the state of the instance that accepted r. It drops the connection if
// that instance has crashed.
func (e *Engine) withState(r *http.Request, fn func(s *state)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.state.instance != usherlife.FromContext(r.Context()) {
		panic(http.ErrAbortHandler)
	}
	e.dropExpired(e.state, time.Now())
	fn(e.state)
}

// delayResponses delays each response as the fault switches specify.
func (e *Engine) delayResponses(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if err := e.gate.DelayResponse(r.Context()); err != nil {
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	})
}

// dropExpired drops the generations that were without a reader for the retention time.
func (e *Engine) dropExpired(s *state, now time.Time) {
	for _, g := range s.generations {
		if g.readers == 0 && now.Sub(g.idleSince) >= e.config.Retention {
			s.drop(g)
		}
	}
}

func (s *state) drop(g *generation) {
	g.dropped = true
	s.model.Cancel(g.modelID())
	delete(s.generations, g.id)
	delete(s.byArrival, g.arrival)
	g.notifyReaders()
}

// generationCount returns the number of running and waiting generations.
func (s *state) generationCount() int {
	load := s.model.Report(time.Time{})
	return load.Running + load.Waiting
}

// modelID returns the id of the generation in the model. The caller's id is not used because it may be reused after the
// generation is dropped.
func (g *generation) modelID() string {
	return strconv.FormatUint(g.arrival, 10)
}

// notifyReaders makes all readers check for changes.
func (g *generation) notifyReaders() {
	close(g.changed)
	g.changed = make(chan struct{})
}
