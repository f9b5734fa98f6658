// Package usherhistory records what callers and targets observed during a test run, and checks it against the guarantees
// of the system.
//
// It never uses the system's own records. The callers' side is what their clients returned: tokens with their index,
// complete responses, refusals with an outcome, lost connections. The targets' side is what the stand-ins recorded. Each
// request carries a unique mark in its parameters, by which executions are matched to requests.
//
// # Usage
//
//	history := &usherhistory.History{}
//	caller := usherhistory.Caller{History: history, Client: client}
//	caller.Stream(ctx, addresses, mark, request)
//	recording := usherhistory.Recording{Observations: history.Observations(), Engines: engines, Services: services}
//	for _, violation := range recording.Check() {
//		t.Error(violation)
//	}
package usherhistory

import (
	"encoding/json"
	"slices"
	"sync"
	"time"

	"github.com/samphireusher/samphireusher/standin/usherengine"
	"github.com/samphireusher/samphireusher/standin/usherplain"
)

// Outcomes of requests as observed by callers. The last two are not reported by the system: the request ended with an error
// that is no refusal, or no connection was established.
const (
	Completed    = "completed"
	NotRun       = "not_run"
	RanInPart    = "ran_in_part"
	Unknown      = "unknown"
	Disconnected = "broken"
	Unreachable  = "unreachable"
)

type (
	// Token is a token that a caller received.
	Token struct {
		Index int
		Text  string
	}

	// Observation is what a caller observed of one send of a request.
	Observation struct {
		Mark    string
		Gateway string
		// IsGeneration is set if an engine generates the response; AtMostOnce is set if the request must not run twice.
		IsGeneration, AtMostOnce bool
		RequestID                string
		SentAt, EndedAt          time.Time
		Tokens                   []Token
		Text                     string
		Result                   json.RawMessage
		Outcome, Reason          string
		// DisconnectedAt is when the first connection of a stream was lost; Resumptions counts how often the stream was
		// resumed.
		DisconnectedAt time.Time
		Resumptions    int
		Error          string
	}

	// Engine is the record of an engine.
	Engine struct {
		Name string
		// Config determines the generated texts. ColdCapacity is the number of concurrent generations that the engine can run
		// while it is cold. TurnedCold is set if it was turned cold with generations in progress, so that its peak load while
		// cold is no evidence of a violation.
		Config       usherengine.Config
		ColdCapacity int
		TurnedCold   bool
		Record       usherengine.Record
	}

	// Service is the record of a plain service.
	Service struct {
		Name   string
		Record usherplain.Record
	}

	// Span is a period during which a condition held for a gateway or a target. A zero Until is the end of the run.
	Span struct {
		Name        string
		From, Until time.Time
	}

	// Publication is a change of the prompts of the templates, which contain its number.
	Publication struct {
		Number int
		At     time.Time
	}

	// Recording is everything that was recorded during a run.
	Recording struct {
		Observations []Observation
		Engines      []Engine
		Services     []Service
		// Crashes has the periods during which gateways, by address, were down after a crash; PlannedStops has those since the
		// start of a planned stop.
		Crashes, PlannedStops []Span
		// OutOfService has the periods during which targets, by name, must not start anything.
		OutOfService []Span
		// StalledConnections has the periods during which gateways, by name, may have had a request in a stalled connection.
		// The system gives no guarantee for such a request; StalledStarts counts the resulting starts.
		StalledConnections []Span
		Publications       []Publication
		// PropagationLimit is the maximum time until a publication takes effect. If it is zero, the configuration is not
		// checked.
		PropagationLimit time.Duration
	}

	// History collects observations from concurrent callers.
	History struct {
		mu           sync.Mutex
		observations []Observation
	}
)

// Add records an observation.
func (h *History) Add(o Observation) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.observations = append(h.observations, o)
}

// Observations returns the recorded observations in the order in which their requests ended.
func (h *History) Observations() []Observation {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Clone(h.observations)
}

// Outcomes counts the observations by outcome.
func (h *History) Outcomes() map[string]int {
	counts := map[string]int{}
	for _, o := range h.Observations() {
		counts[o.Outcome]++
	}
	return counts
}

func (s Span) overlaps(from, until time.Time) bool {
	return !s.From.After(until) && (s.Until.IsZero() || s.Until.After(from))
}
