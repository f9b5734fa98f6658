package usherhost

import (
	"io"
	"sync/atomic"
)

const (
	// heldStep is by how much the memory of an answer grows while it is read.
	heldStep = 16 << 10
	// heldShare is the part of the allowed memory that all answers together are held in, and unlimitedHeld stands for it
	// where no limit is set.
	heldShare     = 0.125
	unlimitedHeld = 64 << 20
)

type (
	// gate is a reader that ends after a number of bytes while it is limited. The zero limit is none.
	gate struct {
		reader  io.Reader
		limited bool
		left    int64
	}

	// memory is what all answers of a host may be held in while they are read.
	memory struct {
		left atomic.Int64
	}

	// holding is the part of the memory that one answer takes.
	holding struct {
		memory *memory
		taken  int64
	}
)

func newMemory(megabytes int) *memory {
	m := new(memory)
	m.left.Store(unlimitedHeld)
	if megabytes > 0 {
		m.left.Store(int64(heldShare * float64(megabytes) * megabyte))
	}
	return m
}

// take takes n more bytes, if they are left.
func (h *holding) take(n int64) bool {
	if h.memory.left.Add(-n) < 0 {
		h.memory.left.Add(n)
		return false
	}
	h.taken += n
	return true
}

// release gives back what was taken.
func (h *holding) release() {
	h.memory.left.Add(h.taken)
	h.taken = 0
}

func (g *gate) limit(n int64) { g.limited, g.left = true, n }

func (g *gate) open() { g.limited = false }

// Read reads from the connection.
func (g *gate) Read(b []byte) (int, error) {
	if !g.limited {
		return g.reader.Read(b)
	}
	if g.left <= 0 {
		return 0, errForeign.New("more bytes before the answer than are allowed")
	}
	n, err := g.reader.Read(b[:min(int64(len(b)), g.left)])
	g.left -= int64(n)
	return n, err
}
