// Package usherplain is a stand-in of a plain service, some of whose calls may not be repeated.
//
// It executes every call that reaches it, a repeated one too, and counts the executions by call id and by operation
// and parameters. So its record shows whether the product ran anything twice.
//
// # Usage
//
//	service := usherplain.New(usherplain.Config{})
//	http.Serve(listener, service)
//	for _, call := range service.Record().Calls {
//		if call.Executions > 1 {
//			// executed more than once
//		}
//	}
package usherplain

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/justinas/alice"

	"github.com/samphireusher/samphireusher/standin/internal/usherhttp"
	"github.com/samphireusher/samphireusher/standin/internal/usherlife"
)

// Defaults of a Config whose field is zero.
const (
	defaultServiceTime   = 2 * time.Millisecond
	defaultRestartAfter  = 2 * time.Second
	defaultMaxConcurrent = 64
)

// foreignID is the call id of a crossed answer when there was no other call.
const foreignID = "foreign"

type (
	// Config describes a plain service. Zero fields have defaults.
	Config struct {
		// Incarnation is the first incarnation; it rises by one at each restart.
		Incarnation int64
		// ServiceTime is how long a call takes.
		ServiceTime time.Duration
		// MaxConcurrent bounds the calls in progress; beyond it a call is refused.
		MaxConcurrent int
		// RestartAfter is how long the service stays dead.
		RestartAfter time.Duration
	}

	// Service is an http.Handler that serves the surface of one plain service.
	Service struct {
		config  Config
		gate    *usherlife.Gate
		handler http.Handler

		mu         sync.Mutex
		faults     Faults
		inProgress int
		completed  int
		record     recorder
	}

	callBody struct {
		CallID     string          `json:"call_id"`
		Operation  string          `json:"operation"`
		Parameters json.RawMessage `json:"parameters"`
	}

	reportAnswer struct {
		Incarnation int64 `json:"incarnation"`
		AgeMS       int64 `json:"age_ms"`
		Running     int   `json:"running"`
		Completed   int   `json:"completed"`
		Warm        bool  `json:"warm"`
	}

	callAnswer struct {
		CallID string     `json:"call_id"`
		Result callResult `json:"result"`
	}

	callResult struct {
		Operation  string          `json:"operation"`
		Parameters json.RawMessage `json:"parameters"`
		// Sequence counts the executions of the service, Execution those of this operation with these parameters.
		Sequence  int `json:"sequence"`
		Execution int `json:"execution"`
	}
)

// New returns a service that serves at once.
func New(config Config) *Service {
	s := &Service{config: config.withDefaults()}
	s.gate = usherlife.NewGate(s.config.Incarnation)

	surface := http.NewServeMux()
	surface.HandleFunc("POST /v1/calls", s.serveCall)
	surface.HandleFunc("GET /v1/report", s.serveReport)

	routes := http.NewServeMux()
	routes.Handle("/v1/", alice.New(s.gate.Middleware).Then(surface))
	usherhttp.HandleControl(routes, s, s.Record)
	s.handler = routes
	return s
}

func (c Config) withDefaults() Config {
	if c.ServiceTime == 0 {
		c.ServiceTime = defaultServiceTime
	}
	if c.MaxConcurrent == 0 {
		c.MaxConcurrent = defaultMaxConcurrent
	}
	if c.RestartAfter == 0 {
		c.RestartAfter = defaultRestartAfter
	}
	return c
}

// ServeHTTP serves the surface of the service, its fault switches and its record.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.handler.ServeHTTP(w, r)
}

func (s *Service) serveCall(w http.ResponseWriter, r *http.Request) {
	var body callBody
	if err := usherhttp.Decode(w, r, &body); err != nil {
		usherhttp.RefuseNotRun(w, http.StatusBadRequest, err.Error())
		return
	}
	if body.CallID == "" || body.Operation == "" {
		usherhttp.RefuseNotRun(w, http.StatusBadRequest, "call_id or operation is missing")
		return
	}
	if !s.enter() {
		usherhttp.RefuseNotRun(w, http.StatusTooManyRequests, "overloaded")
		return
	}
	defer s.leave()
	life := usherlife.FromContext(r.Context())
	// A caller that goes away does not stop the call; the death of the service does.
	if err := usherlife.Sleep(life.Context(), s.config.ServiceTime); err != nil {
		panic(http.ErrAbortHandler)
	}
	if err := s.gate.WaitUnfrozen(life.Context()); err != nil {
		panic(http.ErrAbortHandler)
	}
	answer := s.execute(life, body)
	s.answer(life.Context(), w, answer)
}

// serveReport tells the load without a lag.
func (s *Service) serveReport(w http.ResponseWriter, r *http.Request) {
	life := usherlife.FromContext(r.Context())
	s.mu.Lock()
	answer := reportAnswer{Incarnation: life.Incarnation, Running: s.inProgress, Completed: s.completed, Warm: true}
	s.mu.Unlock()
	usherhttp.Reply(w, http.StatusOK, answer)
}

func (s *Service) enter() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Refuse || s.inProgress >= s.config.MaxConcurrent {
		s.record.Refused++
		return false
	}
	s.inProgress++
	s.record.PeakRunning = max(s.record.PeakRunning, s.inProgress)
	return true
}

func (s *Service) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inProgress--
	s.completed++
}

// execute runs a call unless the service dies before it, and may die after it.
func (s *Service) execute(life *usherlife.Instance, body callBody) callAnswer {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.DieBefore {
		s.faults.DieBefore = false
		s.die()
	}
	if life.Ended() {
		panic(http.ErrAbortHandler)
	}
	answer := s.record.executed(life.Incarnation, body)
	if s.faults.DieAfter {
		s.faults.DieAfter = false
		s.die()
		panic(http.ErrAbortHandler)
	}
	if s.faults.Crosstalk {
		answer.CallID = s.record.another(body.CallID)
	}
	return answer
}

// answer writes the answer late, not at all or as it is.
func (s *Service) answer(life context.Context, w http.ResponseWriter, answer callAnswer) {
	if err := s.gate.DelayResponse(life); err != nil {
		panic(http.ErrAbortHandler)
	}
	if s.Faults().LoseAnswers {
		panic(http.ErrAbortHandler)
	}
	usherhttp.Reply(w, http.StatusOK, answer)
}

// die drops all connections. The caller holds the lock.
func (s *Service) die() {
	restartAfter := s.config.RestartAfter
	if s.faults.RestartAfterMS > 0 {
		restartAfter = time.Duration(s.faults.RestartAfterMS) * time.Millisecond
	}
	if s.gate.Crash(restartAfter) {
		s.record.Deaths++
	}
}
