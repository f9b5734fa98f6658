package ushergateway

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/samphireusher/samphireusher/pkg/usherconfig"
	"github.com/samphireusher/samphireusher/pkg/usherrequest"
)

// writeTimeout is how long a caller may take to read before it counts as gone.
const writeTimeout = 30 * time.Second

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
	}

	// wholeSink collects an answer and writes it at its end.
	wholeSink struct {
		w         http.ResponseWriter
		requestID string
		text      strings.Builder
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
	s.last("end", endWire{RequestID: s.requestID, Outcome: usherrequest.Completed, Tokens: answer.Tokens, Finish: answer.Finish})
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
	_ = s.control.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := s.w.Write(s.buffer); err != nil {
		return err
	}
	return s.control.Flush()
}

func (s *wholeSink) started(string) error {
	s.text.Reset()
	return nil
}

func (s *wholeSink) token(_ int, text []byte) error {
	var token string
	if err := json.Unmarshal(text, &token); err != nil {
		return errMalformed.Wrap(err, "token")
	}
	s.text.WriteString(token)
	return nil
}

func (s *wholeSink) end(answer answer, err error) {
	if err != nil {
		writeRefusal(s.w, s.requestID, err)
		return
	}
	writeJSON(s.w, http.StatusOK, endWire{
		RequestID: s.requestID, Outcome: usherrequest.Completed, Tokens: answer.Tokens, Finish: answer.Finish,
		Text: s.text.String(), Result: answer.Result,
	})
}
