package daemon_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/samphireusher/samphireusher/platform/usherstandin"
	"github.com/samphireusher/samphireusher/service/usherhost"
)

// The connection of a stream goes silent before its first event, and the stream is sent to another engine. The first one did not learn that its
// connection was closed, and worked on until the end.
func TestRunThatIsNotWaitedForIsEnded(t *testing.T) {
	withTestbed(t, options{hosts: 1, engines: 4}, func(t *testing.T, b *testbed) {
		attempt, done := b.startStream(b.hosts[0], "/eligibility/150")
		for len(b.runsOf(attempt)) == 0 {
			time.Sleep(100 * time.Microsecond)
		}
		first := b.currentEngine(attempt)
		b.silence(b.hosts[0], 0)
		<-done
		if b.currentEngine(attempt) == first {
			t.Fatal("the stream was not sent to a second engine, so the test shows nothing")
		}
		b.checkOverlap(attempt)
	})
}

// The caller leaves while its host waits for the end of a run whose answer was lost. The order was the caller's to cancel, and the run went on.
func TestLostRunIsEndedAlsoIfItsCallerLeaves(t *testing.T) {
	for _, path := range []string{"/appraisal/200", "/eligibility/150"} {
		t.Run(path, func(t *testing.T) {
			withTestbed(t, options{hosts: 1, engines: 4}, func(t *testing.T, b *testbed) {
				b.failNextRun(usherstandin.LosesAnswerLater)
				refuseMoves(b)
				ctx, leave := context.WithCancel(t.Context())
				r := b.request(ctx, b.hosts[0], http.MethodPost, path, "a body")
				done := make(chan struct{})
				go func() {
					defer close(done)
					b.do(r)
				}()
				time.Sleep(time.Second)
				leave()
				time.Sleep(time.Second)
				for _, target := range b.targets {
					target.RefuseMoves(false)
				}
				left := time.Now()
				<-done
				time.Sleep(8 * time.Second)
				for _, runs := range b.runsOf(r.Header.Get("Attempt-Id")) {
					for _, run := range runs {
						if late := run.LastWork.Sub(left); late > overlapAllowed {
							t.Errorf("the engine worked for %s after it took orders again", late)
						}
					}
				}
			})
		})
	}
}

// Many callers leave at once while their hosts wait for the ends of runs. Each would leave one more run to be ended beside the requests, so that
// the number of calls grows with the trouble.
func TestOrdersForAbandonedRunsAreBounded(t *testing.T) {
	const requests, allowed = 40, 16
	var orders atomic.Int64
	o := options{hosts: 1, engines: 4, wrapTarget: func(_ string, target http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/kv-move" {
				orders.Add(1)
				time.Sleep(2 * time.Second)
			}
			target.ServeHTTP(w, r)
		})
	}}
	withTestbed(t, o, func(t *testing.T, b *testbed) {
		for _, target := range b.targets {
			target.SetFault(usherstandin.LosesAnswerLater)
		}
		ctx, leave := context.WithCancel(t.Context())
		for range requests {
			r := b.request(ctx, b.hosts[0], http.MethodPost, "/appraisal/300", "a body")
			go b.do(r)
		}
		time.Sleep(time.Second)
		if n := orders.Load(); n < requests {
			t.Errorf("%d orders before the callers leave, want %d", n, requests)
		}
		leave()
		time.Sleep(100 * time.Millisecond)
		orders.Store(0)
		time.Sleep(500 * time.Millisecond)
		if n := orders.Load(); n != allowed {
			t.Errorf("%d orders once the callers have left, want %d", n, allowed)
		}
		if metrics := b.getAt(b.hosts[0], adminPort, usherhost.MetricsPath).body; !strings.Contains(metrics, fmt.Sprintf("streams.abandoned_left %d\n", requests-allowed)) {
			t.Errorf("want %d runs counted as left", requests-allowed)
		}
		time.Sleep(20 * time.Second)
	})
}
