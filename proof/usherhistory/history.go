// Package usherhistory records what callers and targets saw, and checks the promises of the system against it.
//
// It never reads the product's own account. A caller's side is what its client returned: tokens with their index, whole
// answers, refusals with an outcome, connections that broke. The targets' side is what the stand-ins recorded. Each
// request carries a mark of its own in its parameters, by which executions are matched to requests.
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

// Outcomes that callers see. The last two are not the system's: the connection failed, or none came about.
const (
	Completed    = "completed"
	NotRun       = "not_run"
	RanInPart    = "ran_in_part"
	Unknown      = "unknown"
	Disconnected = "broken"
	Unreachable  = "unreachable"
)

type (
	// Token is one token as a caller saw it.
	Token struct {
		Index int
		Text  string
	}

	// Observation is what one caller saw of one sending of a request.
	Observation struct {
		Mark    string
		Gateway string
		// IsGeneration says that an engine makes the answer; AtMostAtMostOnce that the request may not run twice.
		IsGeneration, AtMostOnce bool
		RequestID                string
		SentAt, EndedAt          time.Time
		Tokens                   []Token
		Text                     string
		Result                   json.RawMessage
		Outcome, Reason          string
		// DisconnectedAt is when the first connection of a stream broke off; Resumptions counts those that took it up.
		DisconnectedAt time.Time
		Resumptions    int
		Error          string
	}

	// Engine is one engine's side.
	Engine struct {
		Name string
		// Config makes the texts; ColdCapacity is the load that the engine bears while it is cold. TurnedCold says that it was turned
		// cold with work in progress, so that its peak while cold proves nothing.
		Config       usherengine.Config
		ColdCapacity int
		TurnedCold   bool
		Record       usherengine.Record
	}

	// Service is one plain service's side.
	Service struct {
		Name   string
		Record usherplain.Record
	}

	// Span is a time in which something held for a gateway or a target. A zero Until is the end of the run.
	Span struct {
		Name        string
		From, Until time.Time
	}

	// Publication is a change of the templates' prompts, which carry its number.
	Publication struct {
		Number int
		At     time.Time
	}

	// Recording is the whole history of a run.
	Recording struct {
		Observations []Observation
		Engines      []Engine
		Services     []Service
		// Crashes are the times in which gateways, by address, were down by no plan; PlannedStops those after a planned stop ended.
		Crashes, PlannedStops []Span
		// OutOfService are the times in which targets, by name, may begin nothing.
		OutOfService []Span
		// StalledConnections are the times in which gateways, by name, may have had a request in a connection that stood still. The
		// design leaves such a write uncovered; StalledStarts counts what came of it.
		StalledConnections []Span
		Publications       []Publication
		// PropagationLimit is how long a publication may take; zero leaves the configuration unchecked.
		PropagationLimit time.Duration
	}

	// History collects answers from many callers at once.
	History struct {
		mu           sync.Mutex
		observations []Observation
	}
)

// Add records an answer.
func (h *History) Add(a Observation) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.observations = append(h.observations, a)
}

// Observations returns what was recorded, in the order in which it ended.
func (h *History) Observations() []Observation {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Clone(h.observations)
}

// Outcomes counts the answers by outcome.
func (h *History) Outcomes() map[string]int {
	counts := map[string]int{}
	for _, a := range h.Observations() {
		counts[a.Outcome]++
	}
	return counts
}

func (s Span) covers(from, until time.Time) bool {
	return !s.From.After(until) && (s.Until.IsZero() || s.Until.After(from))
}
