// Package usherevent splits the body of a stream into its events.
//
// Only complete events are returned: a target that dies may stop in the middle of an event, and the incomplete rest is
// discarded. The bytes of an event are passed on unchanged.
//
// # Usage
//
//	reader := usherevent.NewReader(body)
//	for {
//		event, err := reader.Next()
//		if err == io.EOF {
//			return nil // the stream is complete
//		}
//		...
//	}
package usherevent

import (
	"bufio"
	"bytes"
	"errors"
	"io"

	"github.com/joomcode/errorx"
)

const (
	// MaxBytes bounds the size of one event. It is many times the size of the tokens of one step, yet small enough that
	// many targets may send endless events at the same time.
	MaxBytes   = 64 << 10
	bufferSize = 4 << 10
)

var (
	// Errors is the namespace of this package's errors.
	Errors = errorx.NewNamespace("usher_event").ApplyModifiers(errorx.TypeModifierOmitStackTrace)
	// ErrTooLarge is the type of errors returned for events larger than MaxBytes.
	ErrTooLarge = Errors.NewType("too_large")

	idField = []byte("id:")
)

type (
	// Event is one event of a stream.
	Event struct {
		// ID is empty if the event has none.
		ID string
		// Raw has the event's bytes, including the empty line that ends it.
		Raw []byte
	}

	// Reader reads the events of a stream.
	Reader struct {
		r *bufio.Reader
	}
)

// IsComment reports whether an event consists of comments only, which receivers ignore.
func (e Event) IsComment() bool {
	for line := range bytes.Lines(e.Raw) {
		if line = bytes.TrimRight(line, "\r\n"); len(line) > 0 && line[0] != ':' {
			return false
		}
	}
	return true
}

// NewReader returns a Reader for the events in r.
func NewReader(r io.Reader) *Reader {
	return &Reader{r: bufio.NewReaderSize(r, bufferSize)}
}

// Next returns the next complete event. It returns io.EOF if the body ended after an event, and io.ErrUnexpectedEOF if
// it ended within one.
func (r *Reader) Next() (Event, error) {
	var e Event
	for {
		line, err := r.r.ReadSlice('\n')
		e.Raw = append(e.Raw, line...)
		if len(e.Raw) > MaxBytes {
			return Event{}, ErrTooLarge.New("event exceeds %d bytes", MaxBytes)
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if errors.Is(err, io.EOF) && len(e.Raw) > 0 {
			return Event{}, io.ErrUnexpectedEOF
		}
		if err != nil {
			return Event{}, err
		}
		if len(bytes.TrimRight(line, "\r\n")) == 0 {
			e.ID = id(e.Raw)
			return e, nil
		}
	}
}

// id returns the value of the last id field.
func id(raw []byte) string {
	value := ""
	for line := range bytes.Lines(raw) {
		if rest, found := bytes.CutPrefix(line, idField); found {
			value = string(bytes.TrimSpace(rest))
		}
	}
	return value
}
