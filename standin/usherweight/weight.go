// Package usherweight is a stand-in of the weight store, which limits the rate of its readers.
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

// Defaults of a Config whose field is zero.
const (
	defaultPerSecond = 1
	defaultBurst     = 2
)

type (
	// Config describes a weight store. Zero fields have defaults.
	Config struct {
		// PerSecond is how many weights may be fetched in a second, Burst how many at once.
		PerSecond float64
		Burst     int
	}

	// Faults are the switches of a weight store.
	Faults struct {
		// Down drops the connection of each reader.
		Down bool `json:"down"`
		// SlowMS makes each answer late.
		SlowMS int64 `json:"slow_ms"`
	}

	// Record counts the calls for weights.
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

	weightsAnswer struct {
		Name   string `json:"name"`
		Digest string `json:"digest"`
	}
)

// New returns a weight store that serves at once.
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

// Faults returns the switches as they stand.
func (s *Store) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// SetFaults sets all switches at once.
func (s *Store) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
}

// Record returns the counts of the calls.
func (s *Store) Record() Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	seen := s.record
	seen.Fetched = map[string]int{}
	for name, count := range s.record.Fetched {
		seen.Fetched[name] = count
	}
	return seen
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
	if wait := s.take(name); wait > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(wait.Seconds()))))
		usherhttp.Refuse(w, http.StatusTooManyRequests, "too_many_calls")
		return
	}
	usherhttp.Reply(w, http.StatusOK, weightsAnswer{name, strconv.FormatUint(xxhash.Sum64String(name), 16)})
}

// take counts a call and returns how long it would have to wait for its turn.
func (s *Store) take(name string) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.record.Calls++
	turn := s.limiter.Reserve()
	wait := turn.Delay()
	if wait > 0 {
		turn.Cancel()
		s.record.Refused++
		return wait
	}
	s.record.Fetched[name]++
	return 0
}
