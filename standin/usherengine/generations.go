package usherengine

import (
	"net/http"
	"time"

	"github.com/samphireusher/samphireusher/standin/internal/usherhttp"
	"github.com/samphireusher/samphireusher/standin/ushermodel"
)

// bytesPerToken is how many bytes of a prompt count as one token.
const bytesPerToken = 4

// Reasons of a refusal.
const (
	reasonOverloaded = "overloaded"
	reasonCold       = "cold"
	reasonConflict   = "generation_conflict"
	reasonUnknown    = "unknown_generation"
	reasonNoID       = "generation_id is missing"
	reasonFromIndex  = "from_index is negative"
)

type (
	generateBody struct {
		GenerationID string `json:"generation_id"`
		Prompt       string `json:"prompt"`
		MaxTokens    int    `json:"max_tokens"`
		Priority     int    `json:"priority"`
		FromIndex    int    `json:"from_index"`
		Isolated     bool   `json:"isolated"`
		CacheKey     string `json:"cache_key"`
	}

	cancelAnswer struct {
		GenerationID string `json:"generation_id"`
		Tokens       int    `json:"tokens"`
	}

	// refusal is an answer that says that a request did not run.
	refusal struct {
		status int
		reason string
	}
)

func (e *Engine) serveGenerate(w http.ResponseWriter, r *http.Request) {
	var body generateBody
	if err := usherhttp.Decode(w, r, &body); err != nil {
		usherhttp.RefuseNotRun(w, http.StatusBadRequest, err.Error())
		return
	}
	var (
		g       *generation
		refused refusal
	)
	e.locked(r, func(s *state) {
		if g, refused = e.accept(s, body); g != nil {
			g.readers++
		}
	})
	if g == nil {
		usherhttp.RefuseNotRun(w, refused.status, refused.reason)
		return
	}
	e.stream(w, r, g, body.FromIndex)
}

// accept finds the generation of body or starts it, or returns why it does not run.
func (e *Engine) accept(s *state, body generateBody) (*generation, refusal) {
	if body.GenerationID == "" {
		return nil, refusal{http.StatusBadRequest, reasonNoID}
	}
	if body.FromIndex < 0 {
		return nil, refusal{http.StatusBadRequest, reasonFromIndex}
	}
	if g, known := s.generations[body.GenerationID]; known {
		if g.prompt != body.Prompt {
			return nil, refusal{http.StatusConflict, reasonConflict}
		}
		return g, refusal{}
	}
	if e.faults.Refuse || s.model.Report(time.Now()).Waiting >= e.config.MaxWaiting {
		return nil, refusal{http.StatusTooManyRequests, reasonOverloaded}
	}
	if time.Now().Before(s.loadedAt) {
		return nil, refusal{http.StatusServiceUnavailable, reasonCold}
	}
	return e.admit(s, body)
}

// admit hands a new generation to the model. It dies of one that is more than it bears, if it does not refuse it.
func (e *Engine) admit(s *state, body generateBody) (*generation, refusal) {
	g := e.newGeneration(s, body)
	if err := s.submit(g, body); err != nil {
		return nil, refusal{http.StatusBadRequest, err.Error()}
	}
	if s.model.Overloaded() && e.config.ColdRefuses {
		s.model.Cancel(g.key())
		return nil, refusal{http.StatusServiceUnavailable, reasonCold}
	}
	s.generations[g.id], s.byArrival[g.arrival] = g, g
	e.record.started(s, g, body.Isolated)
	if s.model.Overloaded() {
		e.die(deathOverload, e.restartAfter())
		panic(http.ErrAbortHandler)
	}
	if g.answer.length == 0 {
		e.finish(g)
	}
	e.noteReport(s, time.Now())
	e.start(s)
	return g, refusal{}
}

func (e *Engine) newGeneration(s *state, body generateBody) *generation {
	s.arrivals++
	return &generation{
		id:      body.GenerationID,
		prompt:  body.Prompt,
		arrival: s.arrivals,
		answer:  e.config.answer(body.GenerationID, body.Prompt, body.MaxTokens),
		changed: make(chan struct{}),
	}
}

// submit gives the model a generation; an answer without tokens needs none.
func (s *state) submit(g *generation, body generateBody) error {
	if g.answer.length == 0 {
		return nil
	}
	tokens := promptTokens(body.Prompt)
	return s.model.Submit(time.Now(), ushermodel.Request{
		Generation:   g.key(),
		PromptTokens: tokens,
		Prefix:       s.cache.prefix(body.CacheKey),
		PrefixTokens: tokens / prefixDivisor,
		OutputTokens: g.answer.length,
		Priority:     body.Priority,
		Tag:          g.arrival,
	})
}

func promptTokens(prompt string) int {
	return max(1, (len(prompt)+bytesPerToken-1)/bytesPerToken)
}

func (e *Engine) serveResume(w http.ResponseWriter, r *http.Request) {
	from, err := usherhttp.QueryInt(r, "from")
	if err != nil {
		usherhttp.Refuse(w, http.StatusBadRequest, err.Error())
		return
	}
	var g *generation
	e.locked(r, func(s *state) {
		if g = s.generations[r.PathValue("id")]; g != nil {
			g.readers++
		}
	})
	if g == nil {
		usherhttp.Refuse(w, http.StatusNotFound, reasonUnknown)
		return
	}
	e.stream(w, r, g, int(from))
}

func (e *Engine) serveCancel(w http.ResponseWriter, r *http.Request) {
	var g *generation
	e.locked(r, func(s *state) {
		if g = s.generations[r.PathValue("id")]; g != nil {
			s.drop(g)
			e.record.cancelled(g)
			e.noteReport(s, time.Now())
		}
	})
	if g == nil {
		usherhttp.Refuse(w, http.StatusNotFound, reasonUnknown)
		return
	}
	usherhttp.Reply(w, http.StatusOK, cancelAnswer{g.id, g.made})
}
