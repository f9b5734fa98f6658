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
	// maxIndexDigits is how many decimal digits of an index surely fit an int.
	maxIndexDigits = 18
)

var (
	eventPrefix = []byte("event:")
	dataPrefix  = []byte("data:")
	tokenName   = []byte("token")
	endName     = []byte("end")
	indexField  = []byte(`"index":`)
	textField   = []byte(`,"text":`)
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

		body  io.ReadCloser
		lines *bufio.Scanner
		wire  eventWire
		name  []byte
		// head is how the token events of this generation begin, up to the index.
		head    []byte
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
		return nil, ErrConnection.Wrap(err, "event stream")
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
	if !isEnd && s.decodeNext(data) {
		return true, nil
	}
	s.wire = eventWire{Text: s.wire.Text[:0]}
	if err := json.Unmarshal(data, &s.wire); err != nil {
		return false, ErrMalformed.Wrap(err, "event %s", s.name)
	}
	s.current = Event{
		Generation: s.wire.Generation, Incarnation: s.wire.Incarnation, Index: s.wire.Index,
		Text: s.wire.Text, End: isEnd, Tokens: s.wire.Tokens, Finish: s.wire.Finish,
	}
	s.learn(data, isEnd)
	return true, nil
}

// learn keeps how data begins, if it is a token event of the usual form.
func (s *Stream) learn(data []byte, isEnd bool) {
	s.head = s.head[:0]
	if i := bytes.Index(data, indexField); i >= 0 && !isEnd {
		s.head = append(s.head, data[:i+len(indexField)]...)
	}
	if !s.decodeNext(data) {
		s.head = s.head[:0]
	}
}

// decodeNext fills current from a token event that differs from the one before only in its index and text, and reports
// whether data is one. It spares the hot path the general decoder, which has to take whatever else a target sends.
func (s *Stream) decodeNext(data []byte) bool {
	rest, found := bytes.CutPrefix(data, s.head)
	if !found || len(s.head) == 0 {
		return false
	}
	digits, text, found := bytes.Cut(rest, textField)
	if !found {
		return false
	}
	index, ok := decimal(digits)
	if text, found = bytes.CutSuffix(text, []byte("}")); !ok || !found || !isString(text) {
		return false
	}
	s.current.Index, s.current.Text = index, text
	return true
}

// decimal returns the value of a JSON number without sign, fraction and exponent.
func decimal(digits []byte) (int, bool) {
	if len(digits) == 0 || len(digits) > maxIndexDigits || len(digits) > 1 && digits[0] == '0' {
		return 0, false
	}
	n := 0
	for _, d := range digits {
		if d < '0' || d > '9' {
			return 0, false
		}
		n = n*10 + int(d-'0')
	}
	return n, true
}

// isString reports whether text is one string in JSON.
func isString(text []byte) bool {
	return len(text) > 1 && text[0] == '"' && json.Valid(text)
}
