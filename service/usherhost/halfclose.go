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
	// nextEventDelay is how much longer a stream goes on of which one event could be written since.
	nextEventDelay = 150 * time.Millisecond
	// eventsOfReader is the number of events that are written after that before the caller counts as reading on: the first
	// one makes the system of a caller that has left reset the connection.
	eventsOfReader = 2
)

// halfClose tracks a request whose caller has closed its sending side.
type halfClose struct {
	// final is set once the request must not be sent to another target.
	final atomic.Bool
	// responding is set when the response to a call is about to be written, events counts those written of a stream.
	responding atomic.Bool
	events     atomic.Int64
}

// requestContext returns the context of the work on a request.
func (h *Host) requestContext(r *http.Request, req *requestState) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithDeadline(context.WithoutCancel(r.Context()), req.deadline)
	keepEnding := context.AfterFunc(h.requestsCtx, cancel)
	keepWatching := context.AfterFunc(r.Context(), func() {
		events := req.halfClose.events.Load()
		sleep(ctx, halfCloseDelay)
		req.halfClose.final.Store(true)
		if req.halfClose.events.Load() > events && !req.outlivesHalfClose(events) {
			// The next event shows whether the caller is there.
			sleep(ctx, nextEventDelay)
		}
		if !req.outlivesHalfClose(events) {
			cancel()
		}
	})
	return ctx, func() {
		keepEnding()
		keepWatching()
		cancel()
	}
}

// outlivesHalfClose reports whether a request goes on although its caller has closed its sending side, when events had been
// written. To cut off a call that may run only once would save little, and its caller could not send it again.
func (req *requestState) outlivesHalfClose(events int64) bool {
	if req.route.Kind == usherroute.Stream {
		return req.halfClose.events.Load() >= events+eventsOfReader
	}
	return req.route.AtMostOnce() || req.halfClose.responding.Load()
}
