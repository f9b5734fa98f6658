// Package usherplain is a stand-in for a plain service, some of whose calls are not idempotent.
//
// It executes every call that it receives, including repeated ones, and counts the executions by call id and by
// operation and parameters. The record therefore shows whether the product executed a call more than once.
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

// Defaults for Config fields that are zero.
const (
	defaultServiceTime   = 2 * time.Millisecond
	defaultRestartAfter  = 2 * time.Second
	defaultMaxConcurrent = 64
)

// defaultCrosstalkID is the call id of a crosstalk response if there was no other call.
const defaultCrosstalkID = "foreign"

type (
	// Config configures a plain service. Zero fields select defaults.
	Config struct {
		// Incarnation is the first incarnation. Each restart increments it.
		Incarnation int64
		// ServiceTime is the duration of a call.
		ServiceTime time.Duration
		// MaxConcurrent is the maximum number of calls in progress. Calls above it are refused.
		MaxConcurrent int
		// RestartAfter is the time from a crash to the restart.
		RestartAfter time.Duration
	}

	// Service is an http.Handler that serves the API of a plain service.
	Service struct {
		config  Config
		gate    *usherlife.Gate
		handler http.Handler

		mu         sync.Mutex
		faults     Faults
		inProgress int
		completed  int
		recorder   recorder
	}

	callRequest struct {
		CallID     string          `json:"call_id"`
		Operation  string          `json:"operation"`
		Parameters json.RawMessage `json:"parameters"`
	}

	reportResponse struct {
		Incarnation int64 `json:"incarnation"`
		AgeMS       int64 `json:"age_ms"`
		Running     int   `json:"running"`
		Completed   int   `json:"completed"`
		Warm        bool  `json:"warm"`
	}

	callResponse struct {
		CallID string     `json:"call_id"`
		Result callResult `json:"result"`
	}

	callResult struct {
		Operation  string          `json:"operation"`
		Parameters json.RawMessage `json:"parameters"`
		// Sequence counts all executions of the service, Execution those of this operation with equal parameters.
		Sequence  int `json:"sequence"`
		Execution int `json:"execution"`
	}
)

// New returns a service that is ready to serve.
func New(config Config) *Service {
	s := &Service{config: config.withDefaults()}
	s.gate = usherlife.NewGate(s.config.Incarnation)

	serviceRoutes := http.NewServeMux()
	serviceRoutes.HandleFunc("POST /v1/calls", s.serveCall)
	serviceRoutes.HandleFunc("GET /v1/report", s.serveReport)

	routes := http.NewServeMux()
	routes.Handle("/v1/", alice.New(s.gate.Middleware).Then(serviceRoutes))
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

// ServeHTTP serves the API of the service, its fault switches and its record.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.handler.ServeHTTP(w, r)
}

func (s *Service) serveCall(w http.ResponseWriter, r *http.Request) {
	var body callRequest
	if err := usherhttp.Decode(w, r, &body); err != nil {
		usherhttp.RefuseNotRun(w, http.StatusBadRequest, err.Error())
		return
	}
	if body.CallID == "" || body.Operation == "" {
		usherhttp.RefuseNotRun(w, http.StatusBadRequest, "call_id or operation is missing")
		return
	}
	if !s.admit() {
		usherhttp.RefuseNotRun(w, http.StatusTooManyRequests, "overloaded")
		return
	}
	defer s.release()
	instance := usherlife.FromContext(r.Context())
	// A crash of the service ends the call, but a disconnect of the caller does not.
	if err := usherlife.Sleep(instance.Context(), s.config.ServiceTime); err != nil {
		panic(http.ErrAbortHandler)
	}
	if err := s.gate.WaitUnfrozen(instance.Context()); err != nil {
		panic(http.ErrAbortHandler)
	}
	response := s.execute(instance, body)
	s.respond(instance.Context(), w, response)
}

// serveReport reports the current load, without a lag.
func (s *Service) serveReport(w http.ResponseWriter, r *http.Request) {
	instance := usherlife.FromContext(r.Context())
	s.mu.Lock()
	response := reportResponse{Incarnation: instance.Incarnation, Running: s.inProgress, Completed: s.completed, Warm: true}
	s.mu.Unlock()
	usherhttp.Reply(w, http.StatusOK, response)
}

func (s *Service) admit() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Refuse || s.inProgress >= s.config.MaxConcurrent {
		s.recorder.Refused++
		return false
	}
	s.inProgress++
	s.recorder.PeakRunning = max(s.recorder.PeakRunning, s.inProgress)
	return true
}

func (s *Service) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inProgress--
	s.completed++
}

// execute executes a call. The service crashes before or after that if CrashBefore or CrashAfter is set.
func (s *Service) execute(instance *usherlife.Instance, body callRequest) callResponse {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.CrashBefore {
		s.faults.CrashBefore = false
		s.crash()
	}
	if instance.Ended() {
		panic(http.ErrAbortHandler)
	}
	response := s.recorder.addExecution(instance.Incarnation, body)
	if s.faults.CrashAfter {
		s.faults.CrashAfter = false
		s.crash()
		panic(http.ErrAbortHandler)
	}
	if s.faults.Crosstalk {
		response.CallID = s.recorder.crosstalkID(body.CallID)
	}
	return response
}

// respond writes the response, unless the fault switches delay or suppress it.
func (s *Service) respond(ctx context.Context, w http.ResponseWriter, response callResponse) {
	if err := s.gate.DelayResponse(ctx); err != nil {
		panic(http.ErrAbortHandler)
	}
	if s.Faults().LoseAnswers {
		panic(http.ErrAbortHandler)
	}
	usherhttp.Reply(w, http.StatusOK, response)
}

// crash drops all connections. The caller must hold the lock.
func (s *Service) crash() {
	restartAfter := s.config.RestartAfter
	if s.faults.RestartAfterMS > 0 {
		restartAfter = time.Duration(s.faults.RestartAfterMS) * time.Millisecond
	}
	if s.gate.Crash(restartAfter) {
		s.recorder.Crashes++
	}
}
