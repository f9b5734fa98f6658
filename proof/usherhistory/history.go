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
//	evidence := usherhistory.Evidence{Answers: history.Answers(), Engines: engines, Services: services}
//	for _, violation := range evidence.Check() {
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
	Completed   = "completed"
	NotRun      = "not_run"
	RanInPart   = "ran_in_part"
	Unknown     = "unknown"
	Broken      = "broken"
	Unreachable = "unreachable"
)

type (
	// Token is one token as a caller saw it.
	Token struct {
		Index int
		Text  string
	}

	// Answer is what one caller saw of one sending of a request.
	Answer struct {
		Mark    string
		Gateway string
		// Generation says that an engine makes the answer; Once that the request may not run twice.
		Generation, Once bool
		RequestID        string
		Sent, Ended      time.Time
		Tokens           []Token
		Text             string
		Result           json.RawMessage
		Outcome, Reason  string
		// Broke is when the first connection of a stream broke off; Resumed counts those that took it up.
		Broke   time.Time
		Resumed int
		Error   string
	}

	// Engine is one engine's side.
	Engine struct {
		Name string
		// Config makes the texts; Bears is the load that the engine bears while it is cold. Chilled says that it was turned
		// cold with work in progress, so that its peak while cold proves nothing.
		Config  usherengine.Config
		Bears   int
		Chilled bool
		Record  usherengine.Record
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

	// Evidence is the whole history of a run.
	Evidence struct {
		Answers  []Answer
		Engines  []Engine
		Services []Service
		// Deaths are the times in which gateways, by address, were down by no plan; Stops those after a planned stop ended.
		Deaths, Stops []Span
		// Closed are the times in which targets, by name, may begin nothing.
		Closed []Span
		// Stalled are the times in which gateways, by name, may have had a request in a connection that stood still. The
		// design leaves such a write uncovered; Uncovered counts what came of it.
		Stalled      []Span
		Publications []Publication
		// InForce is how long a publication may take; zero leaves the configuration unchecked.
		InForce time.Duration
	}

	// History collects answers from many callers at once.
	History struct {
		mu      sync.Mutex
		answers []Answer
	}
)

// Add records an answer.
func (h *History) Add(a Answer) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.answers = append(h.answers, a)
}

// Answers returns what was recorded, in the order in which it ended.
func (h *History) Answers() []Answer {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Clone(h.answers)
}

// Outcomes counts the answers by outcome.
func (h *History) Outcomes() map[string]int {
	counts := map[string]int{}
	for _, a := range h.Answers() {
		counts[a.Outcome]++
	}
	return counts
}

func (s Span) covers(from, until time.Time) bool {
	return !s.From.After(until) && (s.Until.IsZero() || s.Until.After(from))
}
