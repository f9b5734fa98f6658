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
		watcher StreamCallbacks
		text    strings.Builder
		answer  Answer
		ended   bool
	}
)

// readStream reads server-sent events to the end. A stream that ends without an end or a refusal is broken.
func readStream(body io.Reader, watcher *StreamCallbacks) (Answer, error) {
	r := &streamReader{}
	if watcher != nil {
		r.watcher = *watcher
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
		return r.answer, ErrConnection.New("the stream broke off: %v", lines.Err())
	}
	return r.answer, nil
}

func (r *streamReader) event(name string, data []byte) error {
	switch name {
	case "started":
		var started startedEvent
		if err := json.Unmarshal(data, &started); err != nil {
			return ErrMalformed.Wrap(err, "event %s", name)
		}
		if r.watcher.Started != nil {
			r.watcher.Started(started.RequestID, started.Handle)
		}
	case "token":
		return r.token(data)
	case "end":
		if err := json.Unmarshal(data, &r.answer); err != nil {
			return ErrMalformed.Wrap(err, "event %s", name)
		}
		r.answer.Text = r.text.String()
		r.ended = true
	case "refused":
		var refusal Refusal
		if err := json.Unmarshal(data, &refusal); err != nil {
			return ErrMalformed.Wrap(err, "event %s", name)
		}
		return refusal
	}
	return nil
}

func (r *streamReader) token(data []byte) error {
	var token tokenEvent
	if err := json.Unmarshal(data, &token); err != nil {
		return ErrMalformed.Wrap(err, "token")
	}
	r.text.WriteString(token.Text)
	if r.watcher.Token != nil {
		r.watcher.Token(token.Index, token.Text)
	}
	return nil
}
