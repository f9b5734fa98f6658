package ushergateway

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/samphireusher/samphireusher/pkg/usherconfig"
	"github.com/samphireusher/samphireusher/pkg/usherledger"
	"github.com/samphireusher/samphireusher/pkg/usherrequest"
)

const (
	// writeTimeout is how long a write may block on a slow caller before the caller counts as disconnected.
	writeTimeout = 30 * time.Second
	// deadlineInterval is the minimum time between two updates of a connection's write deadline.
	deadlineInterval = time.Second
)

type (
	// responseSink is a sink that also writes the end of the response.
	responseSink interface {
		sink
		end(answer answer, err error)
	}

	// eventSink streams server-sent events.
	eventSink struct {
		w          http.ResponseWriter
		control    *http.ResponseController
		requestID  string
		headerSent bool
		buffer     []byte
		// deadlineSetAt is when the connection's write deadline was last set.
		deadlineSetAt time.Time
	}

	// collector is a sink that collects the text of an answer.
	collector struct {
		collected strings.Builder
	}

	// bufferedSink collects the answer and writes it in one response at the end.
	bufferedSink struct {
		collector
		w         http.ResponseWriter
		requestID string
	}

	// teeSink collects the answer and passes it on until next returns an error, which means that the caller
	// disconnected.
	teeSink struct {
		collector
		next         sink
		disconnected bool
	}

	startedWire struct {
		RequestID string `json:"request_id"`
		Handle    string `json:"handle"`
	}

	endWire struct {
		RequestID string               `json:"request_id"`
		Outcome   usherrequest.Outcome `json:"outcome"`
		Tokens    int                  `json:"tokens"`
		Finish    string               `json:"finish,omitempty"`
		Text      string               `json:"text,omitempty"`
		Result    json.RawMessage      `json:"result,omitempty"`
	}
)

func newSink(w http.ResponseWriter, resolved usherconfig.ResolvedRequest, requestID string) responseSink {
	if resolved.Template.Kind == usherconfig.GenerationTemplate && resolved.Template.Delivery == usherconfig.StreamDelivery {
		return newEventSink(w, requestID)
	}
	return &bufferedSink{w: w, requestID: requestID}
}

func newEventSink(w http.ResponseWriter, requestID string) *eventSink {
	return &eventSink{w: w, control: http.NewResponseController(w), requestID: requestID}
}

func (s *eventSink) started(handle string) error {
	data, err := json.Marshal(startedWire{RequestID: s.requestID, Handle: handle})
	if err != nil {
		return err
	}
	return s.writeEvent("started", data)
}

// token writes one event with the token's index as its ID. This is the hot path, so the event is built in a buffer that
// is reused.
func (s *eventSink) token(index int, text []byte) error {
	s.writeHeader()
	s.buffer = append(s.buffer[:0], "id: "...)
	s.buffer = strconv.AppendInt(s.buffer, int64(index), 10)
	s.buffer = append(s.buffer, "\nevent: token\ndata: {\"index\":"...)
	s.buffer = strconv.AppendInt(s.buffer, int64(index), 10)
	s.buffer = append(s.buffer, ",\"text\":"...)
	s.buffer = append(s.buffer, text...)
	s.buffer = append(s.buffer, "}\n\n"...)
	return s.flush()
}

func (s *eventSink) end(answer answer, err error) {
	if err != nil && !s.headerSent {
		writeRefusal(s.w, s.requestID, err)
		return
	}
	if err != nil {
		wire, _ := refusalOf(err)
		wire.RequestID = s.requestID
		s.writeJSONEvent("refused", wire)
		return
	}
	answer.Text = "" // already sent as tokens
	s.writeJSONEvent("end", answer.wire(s.requestID))
}

// endResult ends the stream of a request that was recorded in the ledger.
func (s *eventSink) endResult(result usherledger.Result, err error) {
	switch {
	case err != nil:
		s.end(answer{}, err)
	case result.Outcome() != usherrequest.Completed:
		s.end(answer{}, result.Refusal)
	default:
		_ = s.writeEvent("end", result.Answer)
	}
}

func (s *eventSink) writeJSONEvent(name string, wire any) {
	if data, err := json.Marshal(wire); err == nil {
		_ = s.writeEvent(name, data)
	}
}

func (s *eventSink) writeEvent(name string, data []byte) error {
	s.writeHeader()
	s.buffer = append(s.buffer[:0], "event: "...)
	s.buffer = append(s.buffer, name...)
	s.buffer = append(s.buffer, "\ndata: "...)
	s.buffer = append(s.buffer, data...)
	s.buffer = append(s.buffer, "\n\n"...)
	return s.flush()
}

// text returns "" because a stream is not collected.
func (s *eventSink) text() string {
	return ""
}

func (s *eventSink) writeHeader() {
	if s.headerSent {
		return
	}
	s.headerSent = true
	s.w.Header().Set("Content-Type", "text/event-stream")
	s.w.Header().Set("Cache-Control", "no-store")
	s.w.WriteHeader(http.StatusOK)
}

func (s *eventSink) flush() error {
	if now := time.Now(); now.Sub(s.deadlineSetAt) >= deadlineInterval {
		s.deadlineSetAt = now
		_ = s.control.SetWriteDeadline(now.Add(writeTimeout))
	}
	if _, err := s.w.Write(s.buffer); err != nil {
		return err
	}
	return s.control.Flush()
}

func (c *collector) started(string) error {
	c.collected.Reset()
	return nil
}

func (c *collector) token(_ int, text []byte) error {
	var token string
	if err := json.Unmarshal(text, &token); err != nil {
		return errMalformed.Wrap(err, "token")
	}
	c.collected.WriteString(token)
	return nil
}

func (c *collector) text() string {
	return c.collected.String()
}

func (s *teeSink) started(handle string) error {
	s.disconnected = s.disconnected || s.next.started(handle) != nil
	return s.collector.started(handle)
}

func (s *teeSink) token(index int, text []byte) error {
	s.disconnected = s.disconnected || s.next.token(index, text) != nil
	return s.collector.token(index, text)
}

func (s *bufferedSink) end(answer answer, err error) {
	if err != nil {
		writeRefusal(s.w, s.requestID, err)
		return
	}
	writeJSON(s.w, http.StatusOK, answer.wire(s.requestID))
}

// wire converts the answer to the message that ends a response.
func (a answer) wire(requestID string) endWire {
	return endWire{
		RequestID: requestID, Outcome: usherrequest.Completed, Tokens: a.Tokens, Finish: a.Finish,
		Text: a.Text, Result: a.Result,
	}
}
