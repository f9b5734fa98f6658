package usherhost_test

import (
	"bytes"
	"fmt"
	"testing"

	"github.com/samphireusher/samphireusher/service/usherhost"
)

// gate is a writer that waits until it is opened.
type gate struct {
	opened chan struct{}
	bytes.Buffer
}

func (g *gate) Write(p []byte) (int, error) {
	<-g.opened
	return g.Buffer.Write(p)
}

func TestLoggingNeverWaits(t *testing.T) {
	const lines = 10_000
	out := &gate{opened: make(chan struct{})}
	w := usherhost.NewLogWriter(out)
	for i := range lines {
		if _, err := fmt.Fprintf(w, "line %d\n", i); err != nil {
			t.Fatal(err)
		}
	}
	if w.Dropped() == 0 {
		t.Error("nothing was dropped while nothing could be written")
	}
	close(out.opened)
	w.Close()
	if got := bytes.Count(out.Bytes(), []byte("\n")); int64(got)+w.Dropped() != lines {
		t.Errorf("%d lines written and %d dropped of %d", got, w.Dropped(), lines)
	}
}
