package usherhost

import (
	"io"
	"sync"
	"sync/atomic"

	"github.com/samphireusher/samphireusher/pkg/usherring"
)

const (
	// logQueueLines bounds the lines that wait to be written: a second of a busy host's log.
	logQueueLines = 2048
	// logBatchBytes bounds the bytes of one write; a batch costs one system call.
	logBatchBytes = 64 << 10
)

// LogWriter writes log lines from a goroutine of its own, so that logging never blocks. Lines beyond the bound are
// dropped and counted.
type LogWriter struct {
	lines   *usherring.Ring[[]byte]
	dropped atomic.Int64
	done    chan struct{}
	// mu guards closed. It is held for the time of queueing a line.
	mu     sync.RWMutex
	closed bool
}

// NewLogWriter returns a writer of lines to out. Close flushes it.
func NewLogWriter(out io.Writer) *LogWriter {
	w := &LogWriter{lines: usherring.New[[]byte](logQueueLines), done: make(chan struct{})}
	go w.run(out)
	return w
}

// Write queues one line.
func (w *LogWriter) Write(line []byte) (int, error) {
	w.mu.RLock()
	defer w.mu.RUnlock()
	if w.closed || !w.lines.Offer(append([]byte(nil), line...)) {
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines that were dropped.
func (w *LogWriter) Dropped() int64 { return w.dropped.Load() }

// Close writes the queued lines. Later ones are dropped.
func (w *LogWriter) Close() {
	w.mu.Lock()
	w.closed = true
	w.mu.Unlock()
	w.lines.Close()
	<-w.done
}

func (w *LogWriter) run(out io.Writer) {
	defer close(w.done)
	var batch []byte
	for line := range w.lines.Items() {
		batch = append(batch[:0], line...)
		for w.lines.Len() > 0 && len(batch) < logBatchBytes {
			batch = append(batch, <-w.lines.Items()...)
		}
		if _, err := out.Write(batch); err != nil {
			// The error cannot be logged anywhere, so it is counted as a drop.
			w.dropped.Add(1)
		}
	}
}
