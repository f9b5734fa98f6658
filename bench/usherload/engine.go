package usherload

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"time"
)

const (
	readHeaderTimeout = time.Minute
	incarnation       = 1
)

type (
	// Engine is an engine without a model. The text of each token is the time at which it was sent, in Unix nanoseconds.
	Engine struct {
		// Gap is the time between two tokens; with 0 the engine sends as fast as the client reads.
		Gap time.Duration
	}

	generationRequest struct {
		Generation string `json:"generation_id"`
		MaxTokens  int    `json:"max_tokens"`
		Prompt     string `json:"prompt"`
	}
)

// Engine implements the RPC Load.Engine.
func (s *service) Engine(engine Engine, address *string) error {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/generations", engine.generate)
	mux.HandleFunc("GET /v1/report", ServeReport)
	mux.HandleFunc("DELETE /v1/generations/{id}", func(http.ResponseWriter, *http.Request) {})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	*address = listener.Addr().String()
	server := &http.Server{Handler: mux, ReadHeaderTimeout: readHeaderTimeout}
	go func() { _ = server.Serve(listener) }()
	return nil
}

func (e Engine) generate(w http.ResponseWriter, r *http.Request) {
	var body generationRequest
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	w.Header().Set("Usher-Incarnation", strconv.Itoa(incarnation))
	w.Header().Set("Content-Type", "text/event-stream")
	control := http.NewResponseController(w)
	head := `{"generation_id":` + strconv.Quote(body.Generation) + `,"incarnation":1`
	var event []byte
	next := time.Now()
	for index := range body.MaxTokens {
		event = append(append(event[:0], "event: token\ndata: "...), head...)
		event = strconv.AppendInt(append(event, `,"index":`...), int64(index), 10)
		event = strconv.AppendInt(append(event, `,"text":"`...), time.Now().UnixNano(), 10)
		event = append(event, "\"}\n\n"...)
		if _, err := w.Write(event); err != nil {
			return
		}
		if err := control.Flush(); err != nil {
			return
		}
		if e.Gap > 0 {
			next = next.Add(e.Gap)
			time.Sleep(time.Until(next))
		}
	}
	event = append(append(event[:0], "event: end\ndata: "...), head...)
	event = strconv.AppendInt(append(event, `,"tokens":`...), int64(body.MaxTokens), 10)
	event = append(event, ",\"finish\":\"stop\"}\n\n"...)
	_, _ = w.Write(event)
}

// ServeReport responds with a load report of typical size.
func ServeReport(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write([]byte(`{"incarnation":1,"age_ms":412,"running":31,"waiting":2,"memory_used_tokens":45210,"memory_tokens":60000,` +
		`"step_time_ms":17.4,"preemptions":3,"completed":18213,"model":"appraiser-7","warm":true}` + "\n"))
}
