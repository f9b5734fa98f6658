package daemon_test

import (
	"net/http"
	"testing"
	"time"
)

// stopAfterStream stops a host while it serves a stream that lasts beyond the grace period, and returns the time of the signal.
func (b *testbed) stopAfterStream(h *host) time.Time {
	b.startStream(h, "/appraisal/1000")
	time.Sleep(time.Second)
	b.stop(h)
	return time.Now()
}

// Callers whose answer about hosts is still valid send streams to a host that has been stopping for seconds. It took those
// that may be resumed until it exited, and cut them off. Found by review/3.
func TestStoppingHostTakesNoStreamThatItCannotFinish(t *testing.T) {
	for _, c := range []struct {
		after time.Duration
		want  int
	}{
		{100 * time.Millisecond, http.StatusOK},
		{2 * time.Second, http.StatusOK},
		{3 * time.Second, http.StatusServiceUnavailable},
		{5 * time.Second, http.StatusServiceUnavailable},
		{6500 * time.Millisecond, http.StatusServiceUnavailable},
		{7300 * time.Millisecond, http.StatusServiceUnavailable},
	} {
		t.Run(c.after.String(), func(t *testing.T) {
			withTestbed(t, options{hosts: 2, engines: 3, eventInterval: 250 * time.Millisecond}, func(t *testing.T, b *testbed) {
				stopped := b.stopAfterStream(b.hosts[0])
				time.Sleep(time.Until(stopped.Add(c.after)))
				got := b.post(b.hosts[0], "/eligibility/8")
				if got.err != nil || got.status != c.want {
					t.Errorf("status %d, error %v, %d events; want %d", got.status, got.err, len(events(got.body)), c.want)
				}
				if refused := got.status == http.StatusServiceUnavailable; refused && (got.header.Get("Retry-After") == "" || len(b.runsOf(got.attempt)) > 0) {
					t.Errorf("refused with Retry-After %q after runs %v", got.header.Get("Retry-After"), b.runsOf(got.attempt))
				}
			})
		})
	}
}
