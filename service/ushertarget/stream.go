package ushertarget

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
)

const (
	maxEventBytes = 64 << 10
	readBytes     = 4 << 10
)

var (
	eventPrefix = []byte("event:")
	dataPrefix  = []byte("data:")
	tokenName   = []byte("token")
	endName     = []byte("end")
)

type (
	// Event is one event of a generation. Text is a JSON string, still quoted, and valid until the next call of Next.
	Event struct {
		Generation  string
		Incarnation uint64
		Index       int
		Text        json.RawMessage
		// End says that the generation is complete with Tokens tokens; Finish tells why it ended.
		End    bool
		Tokens int
		Finish string
	}

	// Stream reads the events of one generation in the order in which they arrive.
	Stream struct {
		// Incarnation is the target's, as it gave it before the first event.
		Incarnation uint64

		body    io.ReadCloser
		lines   *bufio.Scanner
		wire    eventWire
		name    []byte
		current Event
	}

	eventWire struct {
		Generation  string          `json:"generation_id"`
		Incarnation uint64          `json:"incarnation"`
		Index       int             `json:"index"`
		Text        json.RawMessage `json:"text"`
		Tokens      int             `json:"tokens"`
		Finish      string          `json:"finish"`
	}
)

// NewStream reads server-sent events from body, which Close closes.
func NewStream(body io.ReadCloser) *Stream {
	lines := bufio.NewScanner(body)
	lines.Buffer(make([]byte, 0, readBytes), maxEventBytes)
	return &Stream{body: body, lines: lines}
}

// Next returns the next event. The error is io.EOF where the target closed the stream, ErrMalformed where
// it sent something else, and otherwise what the connection says.
func (s *Stream) Next() (*Event, error) {
	for s.lines.Scan() {
		line := s.lines.Bytes()
		switch {
		case bytes.HasPrefix(line, eventPrefix):
			s.name = append(s.name[:0], bytes.TrimSpace(line[len(eventPrefix):])...)
		case bytes.HasPrefix(line, dataPrefix):
			done, err := s.decode(bytes.TrimSpace(line[len(dataPrefix):]))
			if err != nil || done {
				return &s.current, err
			}
		}
	}
	if err := s.lines.Err(); err != nil {
		return nil, ErrBroken.Wrap(err, "event stream")
	}
	return nil, io.EOF
}

// Close ends the stream; the generation goes on at the target until it is cancelled.
func (s *Stream) Close() error {
	return s.body.Close()
}

// decode fills current and reports whether data belonged to an event of a known name.
func (s *Stream) decode(data []byte) (bool, error) {
	isEnd := bytes.Equal(s.name, endName)
	if !isEnd && !bytes.Equal(s.name, tokenName) {
		return false, nil
	}
	s.wire = eventWire{Text: s.wire.Text[:0]}
	if err := json.Unmarshal(data, &s.wire); err != nil {
		return false, ErrMalformed.Wrap(err, "event %s", s.name)
	}
	s.current = Event{
		Generation: s.wire.Generation, Incarnation: s.wire.Incarnation, Index: s.wire.Index,
		Text: s.wire.Text, End: isEnd, Tokens: s.wire.Tokens, Finish: s.wire.Finish,
	}
	return true, nil
}
