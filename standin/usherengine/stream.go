package usherengine

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/samphireusher/samphireusher/standin/internal/usherlife"
)

// foreignID names the generation whose events are mixed in when the engine has no other.
const foreignID = "foreign"

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

	// progress is what a reader of a generation may see now.
	progress struct {
		made     int
		total    int
		finish   string
		finished bool
		gone     bool
		foreign  string
		faults   Faults
		changed  <-chan struct{}
	}

	// reader writes one generation to one connection.
	reader struct {
		engine *Engine
		w      http.ResponseWriter
		r      *http.Request
		g      *generation
		life   *usherlife.Instance
		next   int
		sent   int
	}
)

// stream writes the tokens of g from an index on, then its end. The caller has counted this reader.
func (e *Engine) stream(w http.ResponseWriter, r *http.Request, g *generation, from int) {
	defer e.leave(g)
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-store")
	w.WriteHeader(http.StatusOK)
	out := &reader{engine: e, w: w, r: r, g: g, life: usherlife.FromContext(r.Context()), next: from}
	for {
		now := e.progress(g)
		if now.gone {
			panic(http.ErrAbortHandler)
		}
		out.writeTokens(now)
		if now.finished {
			out.write("end", endEvent{g.id, out.life.Incarnation, now.total, now.finish})
			return
		}
		out.flush()
		select {
		case <-now.changed:
		case <-r.Context().Done():
			return
		}
	}
}

func (e *Engine) progress(g *generation) progress {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := progress{
		made: g.made, total: g.answer.length, finish: g.answer.finish, finished: g.finished, gone: g.gone,
		faults: e.faults, changed: g.changed,
	}
	if e.faults.Crosstalk {
		now.foreign = e.state.neighbour(g)
	}
	return now
}

// neighbour returns the least id of another generation.
func (s *state) neighbour(g *generation) string {
	least := ""
	for id := range s.generations {
		if id != g.id && (least == "" || id < least) {
			least = id
		}
	}
	if least == "" {
		return foreignID
	}
	return least
}

func (e *Engine) leave(g *generation) {
	e.mu.Lock()
	defer e.mu.Unlock()
	g.readers--
	g.idleSince = time.Now()
}

func (o *reader) writeTokens(now progress) {
	for ; o.next < now.made; o.next++ {
		event := tokenEvent{o.g.id, o.life.Incarnation, o.next, o.g.answer.token(o.next)}
		if now.foreign != "" {
			o.write("token", tokenEvent{now.foreign, o.life.Incarnation, o.next, " (not yours)"})
		}
		o.write("token", event)
		if now.faults.Duplicate {
			o.write("token", event)
		}
		o.sent++
		if now.faults.CutAfterTokens > 0 && o.sent >= now.faults.CutAfterTokens {
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
