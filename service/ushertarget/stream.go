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
	// maxIndexDigits is the number of decimal digits that always fit an int.
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
	// Event is one event of a generation. Text is a quoted JSON string that is valid until the next call of Next.
	Event struct {
		Generation  string
		Incarnation uint64
		Index       int
		Text        json.RawMessage
		// End marks the end of the generation, after Tokens tokens. Finish is the reason why it ended.
		End    bool
		Tokens int
		Finish string
	}

	// Stream reads the events of one generation in order of arrival.
	Stream struct {
		// Incarnation is the target's incarnation from the response header.
		Incarnation uint64

		body  io.ReadCloser
		lines *bufio.Scanner
		wire  eventWire
		name  []byte
		// prefix is the data of this generation's token events up to the index.
		prefix  []byte
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

// NewStream returns a stream that reads server-sent events from body. Close closes body.
func NewStream(body io.ReadCloser) *Stream {
	lines := bufio.NewScanner(body)
	lines.Buffer(make([]byte, 0, readBytes), maxEventBytes)
	return &Stream{body: body, lines: lines}
}

// Next returns the next event. The error is io.EOF if the target closed the stream, ErrMalformed if an event cannot be
// decoded, and ErrConnection if reading failed.
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
		return nil, ErrConnection.Wrap(err, "read event stream")
	}
	return nil, io.EOF
}

// Close closes the stream. The generation continues at the target until it is cancelled.
func (s *Stream) Close() error {
	return s.body.Close()
}

// decode sets current from data and reports whether the event has a known name.
func (s *Stream) decode(data []byte) (bool, error) {
	isEnd := bytes.Equal(s.name, endName)
	if !isEnd && !bytes.Equal(s.name, tokenName) {
		return false, nil
	}
	if !isEnd && s.decodeFast(data) {
		return true, nil
	}
	s.wire = eventWire{Text: s.wire.Text[:0]}
	if err := json.Unmarshal(data, &s.wire); err != nil {
		return false, ErrMalformed.Wrap(err, "decode event %s", s.name)
	}
	s.current = Event{
		Generation: s.wire.Generation, Incarnation: s.wire.Incarnation, Index: s.wire.Index,
		Text: s.wire.Text, End: isEnd, Tokens: s.wire.Tokens, Finish: s.wire.Finish,
	}
	s.cachePrefix(data, isEnd)
	return true, nil
}

// cachePrefix stores the prefix of data for decodeFast, if data is a token event in the usual format.
func (s *Stream) cachePrefix(data []byte, isEnd bool) {
	s.prefix = s.prefix[:0]
	if i := bytes.Index(data, indexField); i >= 0 && !isEnd {
		s.prefix = append(s.prefix, data[:i+len(indexField)]...)
	}
	if !s.decodeFast(data) {
		s.prefix = s.prefix[:0]
	}
}

// decodeFast updates current from a token event that differs from the previous one only in its index and text, and
// reports whether data is such an event. It avoids the general JSON decoder on the hot path; decode falls back to that
// for everything else.
func (s *Stream) decodeFast(data []byte) bool {
	rest, found := bytes.CutPrefix(data, s.prefix)
	if !found || len(s.prefix) == 0 {
		return false
	}
	digits, text, found := bytes.Cut(rest, textField)
	if !found {
		return false
	}
	index, ok := parseDecimal(digits)
	if text, found = bytes.CutSuffix(text, []byte("}")); !ok || !found || !isJSONString(text) {
		return false
	}
	s.current.Index, s.current.Text = index, text
	return true
}

// parseDecimal parses a JSON number without sign, fraction or exponent.
func parseDecimal(digits []byte) (int, bool) {
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

// isJSONString reports whether text is exactly one JSON string.
func isJSONString(text []byte) bool {
	return len(text) > 1 && text[0] == '"' && json.Valid(text)
}
