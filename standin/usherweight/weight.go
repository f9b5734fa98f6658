// Package usherweight is a stand-in for the weight store, which rate-limits its readers.
//
// # Usage
//
//	weights := usherweight.New(usherweight.Config{PerSecond: 2})
//	http.Serve(listener, weights)
package usherweight

import (
	"math"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/time/rate"

	"github.com/samphireusher/samphireusher/standin/internal/usherhttp"
	"github.com/samphireusher/samphireusher/standin/internal/usherlife"
)

// Defaults for Config fields that are zero.
const (
	defaultPerSecond = 1
	defaultBurst     = 2
)

type (
	// Config configures a weight store. Zero fields select defaults.
	Config struct {
		// PerSecond is the number of weights that can be fetched per second, Burst the number that can be fetched at once.
		PerSecond float64
		Burst     int
	}

	// Faults holds the fault switches of a weight store. They stay in effect until they are set again.
	Faults struct {
		// Down closes the connection of each reader without a response.
		Down bool `json:"down"`
		// SlowMS delays each response by this number of milliseconds.
		SlowMS int64 `json:"slow_ms"`
	}

	// Record holds the call counts of all readers.
	Record struct {
		Calls   int            `json:"calls"`
		Refused int            `json:"refused"`
		Fetched map[string]int `json:"fetched"`
	}

	// Store is an http.Handler that serves weights.
	Store struct {
		handler http.Handler
		limiter *rate.Limiter

		mu     sync.Mutex
		faults Faults
		record Record
	}

	weightsResponse struct {
		Name   string `json:"name"`
		Digest string `json:"digest"`
	}
)

// New returns a weight store that is ready to serve.
func New(config Config) *Store {
	if config.PerSecond == 0 {
		config.PerSecond = defaultPerSecond
	}
	if config.Burst == 0 {
		config.Burst = defaultBurst
	}
	s := &Store{limiter: rate.NewLimiter(rate.Limit(config.PerSecond), config.Burst)}
	s.record.Fetched = map[string]int{}
	routes := http.NewServeMux()
	routes.HandleFunc("GET /v1/weights/{name}", s.serveWeights)
	usherhttp.HandleControl(routes, s, s.Record)
	s.handler = routes
	return s
}

// ServeHTTP serves the weights, the fault switches and the record.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.handler.ServeHTTP(w, r)
}

// Faults returns the current fault switches.
func (s *Store) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// SetFaults replaces all fault switches.
func (s *Store) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
}

// Record returns a copy of the call counts.
func (s *Store) Record() Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	record := s.record
	record.Fetched = map[string]int{}
	for name, count := range s.record.Fetched {
		record.Fetched[name] = count
	}
	return record
}

func (s *Store) serveWeights(w http.ResponseWriter, r *http.Request) {
	faults := s.Faults()
	if err := usherlife.Sleep(r.Context(), time.Duration(faults.SlowMS)*time.Millisecond); err != nil {
		return
	}
	if faults.Down {
		panic(http.ErrAbortHandler)
	}
	name := r.PathValue("name")
	if wait := s.reserve(name); wait > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(wait.Seconds()))))
		usherhttp.Refuse(w, http.StatusTooManyRequests, "too_many_calls")
		return
	}
	usherhttp.Reply(w, http.StatusOK, weightsResponse{name, strconv.FormatUint(xxhash.Sum64String(name), 16)})
}

// reserve counts a call and returns zero if it is within the rate limit. Otherwise it returns the time after which to
// retry.
func (s *Store) reserve(name string) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.record.Calls++
	reservation := s.limiter.Reserve()
	wait := reservation.Delay()
	if wait > 0 {
		reservation.Cancel()
		s.record.Refused++
		return wait
	}
	s.record.Fetched[name]++
	return 0
}
