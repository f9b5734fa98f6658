package usherhost

import (
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
	if !r.limited {
		return r.reader.Read(b)
	}
	if r.remaining <= 0 {
		return 0, errUnexpectedResponse.New("too many bytes before the response")
	}
	n, err := r.reader.Read(b[:min(int64(len(b)), r.remaining)])
	r.remaining -= int64(n)
	return n, err
}
