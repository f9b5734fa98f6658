package usherhost

import (
	"io"
	"sync/atomic"
)

const (
	// heldStep is by how much the memory of an answer grows while it is read.
	bufferStep = 16 << 10
	// heldShare is the part of the allowed memory that all answers together are held in, and unlimitedHeld stands for it
	// where no limit is set.
	bufferMemoryFraction = 0.125
	defaultBufferBytes   = 64 << 20
)

type (
	// gate is a reader that ends after a number of bytes while it is limited. The zero limit is none.
	limitedReader struct {
		reader    io.Reader
		limited   bool
		remaining int64
	}

	// memory is what all answers of a host may be held in while they are read.
	bufferBudget struct {
		remaining atomic.Int64
	}

	// holding is the part of the memory that one answer takes.
	bufferReservation struct {
		budget   *bufferBudget
		reserved int64
	}
)

func newBufferBudget(megabytes int) *bufferBudget {
	m := new(bufferBudget)
	m.remaining.Store(defaultBufferBytes)
	if megabytes > 0 {
		m.remaining.Store(int64(bufferMemoryFraction * float64(megabytes) * megabyte))
	}
	return m
}

// take takes n more bytes, if they are left.
func (h *bufferReservation) reserve(n int64) bool {
	if h.budget.remaining.Add(-n) < 0 {
		h.budget.remaining.Add(n)
		return false
	}
	h.reserved += n
	return true
}

// release gives back what was taken.
func (h *bufferReservation) release() {
	h.budget.remaining.Add(h.reserved)
	h.reserved = 0
}

func (r *limitedReader) setLimit(n int64) { r.limited, r.remaining = true, n }

func (r *limitedReader) clearLimit() { r.limited = false }

// Read reads from the connection.
func (r *limitedReader) Read(b []byte) (int, error) {
	if !r.limited {
		return r.reader.Read(b)
	}
	if r.remaining <= 0 {
		return 0, errUnexpectedResponse.New("more bytes before the answer than are allowed")
	}
	n, err := r.reader.Read(b[:min(int64(len(b)), r.remaining)])
	r.remaining -= int64(n)
	return n, err
}
