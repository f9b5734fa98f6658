package usherengine

import (
	"net/http"
	"time"

	"github.com/samphireusher/samphireusher/standin/internal/usherhttp"
	"github.com/samphireusher/samphireusher/standin/ushermodel"
)

// bytesPerToken is the number of prompt bytes that count as one token.
const bytesPerToken = 4

// Reasons for a refusal.
const (
	reasonOverloaded = "overloaded"
	reasonCold       = "cold"
	reasonConflict   = "generation_conflict"
	reasonUnknown    = "unknown_generation"
	reasonNoID       = "generation_id is missing"
	reasonFromIndex  = "from_index is negative"
)

type (
	generateRequest struct {
		GenerationID string `json:"generation_id"`
		Prompt       string `json:"prompt"`
		MaxTokens    int    `json:"max_tokens"`
		Priority     int    `json:"priority"`
		FromIndex    int    `json:"from_index"`
		Isolated     bool   `json:"isolated"`
		CacheKey     string `json:"cache_key"`
	}

	cancelResponse struct {
		GenerationID string `json:"generation_id"`
		Tokens       int    `json:"tokens"`
	}

	// refusal is the status and the reason of a request that is not run.
	refusal struct {
		status int
		reason string
	}
)

func (e *Engine) serveGenerate(w http.ResponseWriter, r *http.Request) {
	var body generateRequest
	if err := usherhttp.Decode(w, r, &body); err != nil {
		usherhttp.RefuseNotRun(w, http.StatusBadRequest, err.Error())
		return
	}
	var (
		g       *generation
		refused refusal
	)
	e.withState(r, func(s *state) {
		if g, refused = e.findOrAdmit(s, body); g != nil {
			g.readers++
		}
	})
	if g == nil {
		usherhttp.RefuseNotRun(w, refused.status, refused.reason)
		return
	}
	e.stream(w, r, g, body.FromIndex)
}

// findOrAdmit returns the generation with the id of the request. If there is none, it starts one or returns why it is
// refused.
func (e *Engine) findOrAdmit(s *state, body generateRequest) (*generation, refusal) {
	if body.GenerationID == "" {
		return nil, refusal{http.StatusBadRequest, reasonNoID}
	}
	if body.FromIndex < 0 {
		return nil, refusal{http.StatusBadRequest, reasonFromIndex}
	}
	if g, exists := s.generations[body.GenerationID]; exists {
		if g.prompt != body.Prompt {
			return nil, refusal{http.StatusConflict, reasonConflict}
		}
		return g, refusal{}
	}
	if e.faults.Refuse || s.model.Report(time.Now()).Waiting >= e.config.MaxWaiting {
		return nil, refusal{http.StatusTooManyRequests, reasonOverloaded}
	}
	if time.Now().Before(s.modelReadyAt) {
		return nil, refusal{http.StatusServiceUnavailable, reasonCold}
	}
	return e.admit(s, body)
}

// admit submits a new generation to the model. If the engine is cold and the generation exceeds its cold capacity, the
// engine refuses it or crashes, depending on Config.RefuseWhenCold.
func (e *Engine) admit(s *state, body generateRequest) (*generation, refusal) {
	g := e.newGeneration(s, body)
	if err := s.submit(g, body); err != nil {
		return nil, refusal{http.StatusBadRequest, err.Error()}
	}
	if s.model.Overloaded() && e.config.RefuseWhenCold {
		s.model.Cancel(g.modelID())
		return nil, refusal{http.StatusServiceUnavailable, reasonCold}
	}
	s.generations[g.id], s.byArrival[g.arrival] = g, g
	e.recorder.generationStarted(s, g, body.Isolated)
	if s.model.Overloaded() {
		e.crash(crashOverload, e.restartDelay())
		panic(http.ErrAbortHandler)
	}
	if g.answer.length == 0 {
		e.finish(g)
	}
	e.recordReport(s, time.Now())
	e.ensureLoop(s)
	return g, refusal{}
}

func (e *Engine) newGeneration(s *state, body generateRequest) *generation {
	s.arrivals++
	return &generation{
		id:      body.GenerationID,
		prompt:  body.Prompt,
		arrival: s.arrivals,
		answer:  e.config.answer(body.GenerationID, body.Prompt, body.MaxTokens),
		changed: make(chan struct{}),
	}
}

// submit submits a generation to the model, unless its answer has no tokens.
func (s *state) submit(g *generation, body generateRequest) error {
	if g.answer.length == 0 {
		return nil
	}
	tokens := promptTokens(body.Prompt)
	return s.model.Submit(time.Now(), ushermodel.Request{
		Generation:   g.modelID(),
		PromptTokens: tokens,
		Prefix:       s.cache.register(body.CacheKey),
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
	e.withState(r, func(s *state) {
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
	e.withState(r, func(s *state) {
		if g = s.generations[r.PathValue("id")]; g != nil {
			s.drop(g)
			e.recorder.generationCancelled(g)
			e.recordReport(s, time.Now())
		}
	})
	if g == nil {
		usherhttp.Refuse(w, http.StatusNotFound, reasonUnknown)
		return
	}
	usherhttp.Reply(w, http.StatusOK, cancelResponse{g.id, g.generatedTokens})
}
