package usherhost_test

import (
	"bytes"
	"fmt"
	"sync"
	"testing"

	"github.com/samphireusher/samphireusher/service/usherhost"
)

// blockedWriter is a writer that blocks until unblocked is closed.
type blockedWriter struct {
	unblocked chan struct{}
	bytes.Buffer
}

func (w *blockedWriter) Write(p []byte) (int, error) {
	<-w.unblocked
	return w.Buffer.Write(p)
}

// TestLogWriterNeverBlocks guards against an output that blocks, such as a full pipe, stalling the goroutines that log: a
// line is either written or counted as dropped.
func TestLogWriterNeverBlocks(t *testing.T) {
	const lines = 10_000
	out := &blockedWriter{unblocked: make(chan struct{})}
	w := usherhost.NewLogWriter(out)
	for i := range lines {
		if _, err := fmt.Fprintf(w, "line %d\n", i); err != nil {
			t.Fatal(err)
		}
	}
	if w.Dropped() == 0 {
		t.Error("no line was dropped while the output was blocked")
	}
	close(out.unblocked)
	w.Close()
	if got := bytes.Count(out.Bytes(), []byte("\n")); int64(got)+w.Dropped() != lines {
		t.Errorf("%d lines written and %d dropped, want %d in total", got, w.Dropped(), lines)
	}
}

// Work that ends late logs while the process exits. A line after Close ended the process with a panic.
func TestLogWriterDropsLinesAfterClose(t *testing.T) {
	var out bytes.Buffer
	w := usherhost.NewLogWriter(&out)
	var logging sync.WaitGroup
	for range 8 {
		logging.Go(func() {
			for range 2000 {
				if _, err := fmt.Fprintln(w, "line"); err != nil {
					t.Error(err)
				}
			}
		})
	}
	w.Close()
	logging.Wait()
	if got := int64(bytes.Count(out.Bytes(), []byte("\n"))); got+w.Dropped() != 16_000 {
		t.Errorf("%d lines written and %d dropped, want 16000 in total", got, w.Dropped())
	}
}
