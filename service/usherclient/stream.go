package usherclient

import (
	"bufio"
	"encoding/json"
	"io"
	"strings"
)

const maxEventBytes = 4 << 20

type (
	startedEvent struct {
		RequestID string `json:"request_id"`
		Handle    string `json:"handle"`
	}

	tokenEvent struct {
		Index int    `json:"index"`
		Text  string `json:"text"`
	}

	// streamReader collects one streamed answer.
	streamReader struct {
		callbacks StreamCallbacks
		text      strings.Builder
		answer    Answer
		ended     bool
	}
)

// readStream reads server-sent events until the stream is closed. It returns ErrConnection if the stream closes without
// an end or refusal event.
func readStream(body io.Reader, callbacks *StreamCallbacks) (Answer, error) {
	r := &streamReader{}
	if callbacks != nil {
		r.callbacks = *callbacks
	}
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, maxEventBytes)
	name := ""
	for lines.Scan() {
		line := lines.Text()
		if value, ok := strings.CutPrefix(line, "event: "); ok {
			name = value
			continue
		}
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			continue
		}
		if err := r.event(name, []byte(data)); err != nil {
			return r.answer, err
		}
	}
	if !r.ended {
		return r.answer, ErrConnection.New("stream closed before its end event: %v", lines.Err())
	}
	return r.answer, nil
}

func (r *streamReader) event(name string, data []byte) error {
	switch name {
	case "started":
		var started startedEvent
		if err := json.Unmarshal(data, &started); err != nil {
			return ErrMalformed.Wrap(err, "decode event %s", name)
		}
		if r.callbacks.Started != nil {
			r.callbacks.Started(started.RequestID, started.Handle)
		}
	case "token":
		return r.token(data)
	case "end":
		if err := json.Unmarshal(data, &r.answer); err != nil {
			return ErrMalformed.Wrap(err, "decode event %s", name)
		}
		r.answer.Text = r.text.String()
		r.ended = true
	case "refused":
		var refusal Refusal
		if err := json.Unmarshal(data, &refusal); err != nil {
			return ErrMalformed.Wrap(err, "decode event %s", name)
		}
		return refusal
	}
	return nil
}

func (r *streamReader) token(data []byte) error {
	var token tokenEvent
	if err := json.Unmarshal(data, &token); err != nil {
		return ErrMalformed.Wrap(err, "decode event token")
	}
	r.text.WriteString(token.Text)
	if r.callbacks.Token != nil {
		r.callbacks.Token(token.Index, token.Text)
	}
	return nil
}
