// Package usherevent splits the body of a stream into its events.
//
// Only whole events come out: a target that dies may stop in the middle of one, and what it leaves is discarded. The
// bytes of an event are kept as they came.
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
	// MaxBytes bounds one event: many times what the tokens of one step take, and little where many targets send events
	// without end.
	MaxBytes   = 64 << 10
	bufferSize = 4 << 10
)

var (
	// Errors is the namespace of this package's errors.
	Errors = errorx.NewNamespace("usher_event").ApplyModifiers(errorx.TypeModifierOmitStackTrace)
	// ErrTooLarge is the type of errors on events beyond MaxBytes.
	ErrTooLarge = Errors.NewType("too_large")

	idField = []byte("id:")
)

type (
	// Event is one event of a stream.
	Event struct {
		// ID is empty if the event has none.
		ID string
		// Raw has the event's bytes with the empty line that ends it.
		Raw []byte
	}

	// Reader reads events.
	Reader struct {
		r *bufio.Reader
	}
)

// NewReader returns a reader of the events in r.
func NewReader(r io.Reader) *Reader {
	return &Reader{r: bufio.NewReaderSize(r, bufferSize)}
}

// Next returns the next whole event. It returns io.EOF if the body ended after the last event, and
// io.ErrUnexpectedEOF if it ended within one.
func (r *Reader) Next() (Event, error) {
	var e Event
	for {
		line, err := r.r.ReadSlice('\n')
		e.Raw = append(e.Raw, line...)
		if len(e.Raw) > MaxBytes {
			return Event{}, ErrTooLarge.New("an event has more than %d bytes", MaxBytes)
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
