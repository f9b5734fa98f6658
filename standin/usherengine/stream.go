package usherengine

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/samphireusher/samphireusher/standin/internal/usherlife"
)

// defaultCrosstalkID is the generation id of crosstalk events if the engine has no other generation.
const defaultCrosstalkID = "foreign"

type (
	tokenEvent struct {
		GenerationID string `json:"generation_id"`
		Incarnation  int64  `json:"incarnation"`
		Index        int    `json:"index"`
		Text         string `json:"text"`
	}

	endEvent struct {
		GenerationID string `json:"generation_id"`
		Incarnation  int64  `json:"incarnation"`
		Tokens       int    `json:"tokens"`
		Finish       string `json:"finish"`
	}

	// snapshot is the state of a generation as seen by its readers.
	snapshot struct {
		generatedTokens int
		total           int
		finish          string
		finished        bool
		dropped         bool
		crosstalkID     string
		faults          Faults
		changed         <-chan struct{}
	}

	// reader writes a generation to a connection.
	reader struct {
		engine     *Engine
		w          http.ResponseWriter
		r          *http.Request
		g          *generation
		instance   *usherlife.Instance
		nextIndex  int
		tokensSent int
	}
)

// stream writes the tokens of g from an index on, then its end. The caller must have incremented g.readers.
func (e *Engine) stream(w http.ResponseWriter, r *http.Request, g *generation, from int) {
	defer e.releaseReader(g)
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-store")
	w.WriteHeader(http.StatusOK)
	out := &reader{engine: e, w: w, r: r, g: g, instance: usherlife.FromContext(r.Context()), nextIndex: from}
	for {
		current := e.snapshot(g)
		if current.dropped {
			panic(http.ErrAbortHandler)
		}
		out.writeTokens(current)
		if current.finished {
			out.write("end", endEvent{g.id, out.instance.Incarnation, current.total, current.finish})
			return
		}
		out.flush()
		select {
		case <-current.changed:
		case <-r.Context().Done():
			return
		}
	}
}

func (e *Engine) snapshot(g *generation) snapshot {
	e.mu.Lock()
	defer e.mu.Unlock()
	current := snapshot{
		generatedTokens: g.generatedTokens, total: g.answer.length, finish: g.answer.finish, finished: g.finished, dropped: g.dropped,
		faults: e.faults, changed: g.changed,
	}
	if e.faults.Crosstalk {
		current.crosstalkID = e.state.crosstalkID(g)
	}
	return current
}

// crosstalkID returns the smallest id of another generation, so that the choice is deterministic.
func (s *state) crosstalkID(g *generation) string {
	smallest := ""
	for id := range s.generations {
		if id != g.id && (smallest == "" || id < smallest) {
			smallest = id
		}
	}
	if smallest == "" {
		return defaultCrosstalkID
	}
	return smallest
}

func (e *Engine) releaseReader(g *generation) {
	e.mu.Lock()
	defer e.mu.Unlock()
	g.readers--
	g.idleSince = time.Now()
}

func (o *reader) writeTokens(current snapshot) {
	for ; o.nextIndex < current.generatedTokens; o.nextIndex++ {
		event := tokenEvent{o.g.id, o.instance.Incarnation, o.nextIndex, o.g.answer.token(o.nextIndex)}
		if current.crosstalkID != "" {
			o.write("token", tokenEvent{current.crosstalkID, o.instance.Incarnation, o.nextIndex, " (not yours)"})
		}
		o.write("token", event)
		if current.faults.Duplicate {
			o.write("token", event)
		}
		o.tokensSent++
		if current.faults.CutAfterTokens > 0 && o.tokensSent >= current.faults.CutAfterTokens {
			o.flush()
			panic(http.ErrAbortHandler)
		}
	}
}

func (o *reader) write(name string, event any) {
	if err := o.engine.gate.DelayResponse(o.r.Context()); err != nil {
		panic(http.ErrAbortHandler)
	}
	body, err := json.Marshal(event)
	if err != nil {
		panic(err)
	}
	if _, err := fmt.Fprintf(o.w, "event: %s\ndata: %s\n\n", name, body); err != nil {
		panic(http.ErrAbortHandler)
	}
}

func (o *reader) flush() {
	if flusher, ok := o.w.(http.Flusher); ok {
		flusher.Flush()
	}
}
