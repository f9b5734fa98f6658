package usherhost

import (
	"errors"
	"io"
	"sync/atomic"
)

const (
	// bufferStep is the increment by which the buffer for a response grows while it is read.
	bufferStep = 16 << 10
	// bufferMemoryFraction is the fraction of the allowed memory that may buffer responses, and defaultBufferBytes the
	// amount if no memory limit is set.
	bufferMemoryFraction = 0.125
	defaultBufferBytes   = 64 << 20
)

type (
	// limitedReader is a reader that can be limited to a number of bytes. The zero value has no limit.
	limitedReader struct {
		reader    io.Reader
		limited   bool
		remaining int64
		// end is the error by which the target ended the connection.
		end error
	}

	// responseBody is the body of a response that was read through a limitedReader.
	responseBody struct {
		io.ReadCloser
		limiter *limitedReader
	}

	// bufferBudget is the memory that a host may use to buffer responses while they are read.
	bufferBudget struct {
		remaining atomic.Int64
	}

	// bufferReservation is the part of the budget that one response uses.
	bufferReservation struct {
		budget   *bufferBudget
		reserved int64
	}
)

func newBufferBudget(megabytes int) *bufferBudget {
	budget := new(bufferBudget)
	budget.remaining.Store(defaultBufferBytes)
	if megabytes > 0 {
		budget.remaining.Store(int64(bufferMemoryFraction * float64(megabytes) * megabyte))
	}
	return budget
}

// reserve reserves n more bytes and reports whether they were available.
func (r *bufferReservation) reserve(n int64) bool {
	if r.budget.remaining.Add(-n) < 0 {
		r.budget.remaining.Add(n)
		return false
	}
	r.reserved += n
	return true
}

// release returns the reserved bytes to the budget.
func (r *bufferReservation) release() {
	r.budget.remaining.Add(r.reserved)
	r.reserved = 0
}

func (r *limitedReader) setLimit(n int64) { r.limited, r.remaining = true, n }

func (r *limitedReader) clearLimit() { r.limited = false }

// Read implements io.Reader. It fails once the limit is reached.
func (r *limitedReader) Read(b []byte) (int, error) {
	if r.limited && r.remaining <= 0 {
		return 0, errUnexpectedResponse.New("too many bytes before the response")
	}
	if r.limited {
		b = b[:min(int64(len(b)), r.remaining)]
	}
	n, err := r.reader.Read(b)
	r.remaining -= int64(n)
	if endedByTarget(err) {
		r.end = err
	}
	return n, err
}

// cause returns the end of the connection in place of an error that it led to: net/http takes a line that is cut off for a whole
// one, and reports it as malformed.
func (r *limitedReader) cause(err error) error {
	switch {
	case err == nil || r.end == nil || endedByTarget(err):
		return err
	case errors.Is(r.end, io.EOF):
		return errConnectionLost.Wrap(io.ErrUnexpectedEOF, "%s", err)
	default:
		return errConnectionLost.Wrap(r.end, "%s", err)
	}
}

// Read implements io.Reader.
func (b responseBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	return n, b.limiter.cause(err)
}
