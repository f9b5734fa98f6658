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
	// writeTimeout is how long a caller may take to read before it counts as gone.
	writeTimeout = 30 * time.Second
	// extendAfter is the time between two settings of a connection's deadline.
	extendAfter = time.Second
)

type (
	// endingSink is a sink that also takes the end.
	endingSink interface {
		sink
		end(answer answer, err error)
	}

	// eventSink streams server-sent events.
	eventSink struct {
		w         http.ResponseWriter
		control   *http.ResponseController
		requestID string
		begun     bool
		buffer    []byte
		// extended is when the connection's deadline was last set.
		extended time.Time
	}

	// collector keeps the text of an answer.
	collector struct {
		collected strings.Builder
	}

	// wholeSink collects an answer and writes it at its end.
	wholeSink struct {
		collector
		w         http.ResponseWriter
		requestID string
	}

	// keepingSink collects an answer for a caller that may go away, and passes it on while the caller is there.
	keepingSink struct {
		collector
		to   sink
		gone bool
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

func newSink(w http.ResponseWriter, call usherconfig.Call, requestID string) endingSink {
	if call.Template.Kind == usherconfig.GenerationTemplate && call.Template.Delivery == usherconfig.StreamDelivery {
		return newEventSink(w, requestID)
	}
	return &wholeSink{w: w, requestID: requestID}
}

func newEventSink(w http.ResponseWriter, requestID string) *eventSink {
	return &eventSink{w: w, control: http.NewResponseController(w), requestID: requestID}
}

func (s *eventSink) started(handle string) error {
	data, err := json.Marshal(startedWire{RequestID: s.requestID, Handle: handle})
	if err != nil {
		return err
	}
	return s.event("started", data)
}

// token writes one event with the token's index as its id. It is the hot path: it builds the event in a buffer that
// is used again.
func (s *eventSink) token(index int, text []byte) error {
	s.begin()
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
	if err != nil && !s.begun {
		writeRefusal(s.w, s.requestID, err)
		return
	}
	if err != nil {
		wire, _ := refusalOf(err)
		wire.RequestID = s.requestID
		s.last("refused", wire)
		return
	}
	answer.Text = "" // the caller has it, token by token
	s.last("end", answer.wire(s.requestID))
}

// endResult ends a stream whose request ran under the ledger.
func (s *eventSink) endResult(result usherledger.Result, err error) {
	switch {
	case err != nil:
		s.end(answer{}, err)
	case result.Outcome() != usherrequest.Completed:
		s.end(answer{}, result.Refusal)
	default:
		_ = s.event("end", result.Answer)
	}
}

func (s *eventSink) last(name string, wire any) {
	if data, err := json.Marshal(wire); err == nil {
		_ = s.event(name, data)
	}
}

func (s *eventSink) event(name string, data []byte) error {
	s.begin()
	s.buffer = append(s.buffer[:0], "event: "...)
	s.buffer = append(s.buffer, name...)
	s.buffer = append(s.buffer, "\ndata: "...)
	s.buffer = append(s.buffer, data...)
	s.buffer = append(s.buffer, "\n\n"...)
	return s.flush()
}

// text is empty: a stream keeps nothing.
func (s *eventSink) text() string {
	return ""
}

func (s *eventSink) begin() {
	if s.begun {
		return
	}
	s.begun = true
	s.w.Header().Set("Content-Type", "text/event-stream")
	s.w.Header().Set("Cache-Control", "no-store")
	s.w.WriteHeader(http.StatusOK)
}

func (s *eventSink) flush() error {
	if now := time.Now(); now.Sub(s.extended) >= extendAfter {
		s.extended = now
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

func (s *keepingSink) started(handle string) error {
	s.gone = s.gone || s.to.started(handle) != nil
	return s.collector.started(handle)
}

func (s *keepingSink) token(index int, text []byte) error {
	s.gone = s.gone || s.to.token(index, text) != nil
	return s.collector.token(index, text)
}

func (s *wholeSink) end(answer answer, err error) {
	if err != nil {
		writeRefusal(s.w, s.requestID, err)
		return
	}
	writeJSON(s.w, http.StatusOK, answer.wire(s.requestID))
}

// wire returns the answer as callers see its end.
func (a answer) wire(requestID string) endWire {
	return endWire{
		RequestID: requestID, Outcome: usherrequest.Completed, Tokens: a.Tokens, Finish: a.Finish,
		Text: a.Text, Result: a.Result,
	}
}
