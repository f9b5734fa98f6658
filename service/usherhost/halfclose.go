package usherhost

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/samphireusher/samphireusher/pkg/usherroute"
)

const (
	// halfCloseDelay is how long a request goes on after its caller has closed its sending side. The caller has left, or it
	// sends nothing more and reads on; the host cannot tell before it writes.
	halfCloseDelay = 250 * time.Millisecond
	// nextPartDelay is how much longer a request goes on if one part of its response could be written since.
	nextPartDelay = 150 * time.Millisecond
	// partsOfReader is the number of parts that are written after that before the caller counts as reading on: the first
	// one makes the operating system of a caller that has left reset the connection.
	partsOfReader = 2
)

// halfClose tells, once the caller of a request has closed its sending side, whether it has left or reads on. The zero value is ready
// to use.
type halfClose struct {
	// noRetry is set once the request must not be sent to another target, as its caller may have left.
	noRetry atomic.Bool
	// parts counts the writes of a response that is passed on as it comes: the events of a stream, the reads of a long body.
	parts atomic.Int64
	// writing is set while a part of a long body is being written. A write that waits for a caller that has left fails.
	writing atomic.Bool
}

// write sends a part of a long body to the caller.
func (d *halfClose) write(w http.ResponseWriter, part []byte) error {
	if len(part) == 0 {
		return nil
	}
	d.writing.Store(true)
	defer d.writing.Store(false)
	if _, err := w.Write(part); err != nil {
		return err
	}
	if err := http.NewResponseController(w).Flush(); err != nil {
		return err
	}
	d.parts.Add(1)
	return nil
}

// requestContext returns the context of the work on a request. Unlike that of r, it does not end as soon as the caller closes its
// sending side.
func (h *Host) requestContext(r *http.Request, req *requestState) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithDeadline(context.WithoutCancel(r.Context()), req.deadline)
	stopEnding := context.AfterFunc(h.requestsCtx, cancel)
	stopWatching := context.AfterFunc(r.Context(), func() {
		parts := req.halfClose.parts.Load()
		sleep(ctx, halfCloseDelay)
		req.halfClose.noRetry.Store(true)
		if req.halfClose.parts.Load() > parts && !req.outlivesHalfClose(parts) {
			// The next part shows whether the caller is there.
			sleep(ctx, nextPartDelay)
		}
		if !req.outlivesHalfClose(parts) {
			cancel()
		}
	})
	return ctx, func() {
		stopEnding()
		stopWatching()
		cancel()
	}
}

// outlivesHalfClose reports whether a request goes on although its caller has closed its sending side, when the given number of
// parts of its response had been written. To cut off a call that may run only once would save little, and its caller could not
// send it again.
func (req *requestState) outlivesHalfClose(parts int64) bool {
	d := &req.halfClose
	return req.route.Kind == usherroute.Once || d.writing.Load() || d.parts.Load() >= parts+partsOfReader
}
