package daemon_test

import (
	"testing"
	"time"
)

// contended declares a short urgent kind of streams (eligibility) and a long lesser one (appraisal), both run at most once.
func contended(d map[string]any) {
	routes := d["routes"].([]any)
	long, short := routes[0].(map[string]any), routes[1].(map[string]any)
	long["priority"], long["goalMs"] = 2, 4000
	short["priority"], short["resumable"], short["maxAttempts"], short["timeoutMs"] = 0, false, 1, 6000
}

// fillWithLongStreams starts more long streams than the engines have room for, and returns their results.
func (b *testbed) fillWithLongStreams(h *host, n int) []<-chan result {
	var results []<-chan result
	for range n {
		_, done := b.startStream(h, "/appraisal/100")
		results = append(results, done)
	}
	time.Sleep(500 * time.Millisecond)
	return results
}

// Load: a burst of long streams fills the only engine. Urgent ones must start at once, the others wait and are served.
func TestUrgentStreamsStartWhileLongOnesWait(t *testing.T) {
	withTestbed(t, options{hosts: 3, engines: 1, editDeclarations: contended}, func(t *testing.T, b *testbed) {
		var results []<-chan result
		for _, h := range b.hosts {
			results = append(results, b.fillWithLongStreams(h, 5)...)
		}
		for _, h := range b.hosts {
			if got := b.post(h, "/eligibility/2"); got.status != 200 || got.elapsed > time.Second {
				t.Errorf("%s: status %d after %s", h.name, got.status, got.elapsed)
			}
		}
		for _, done := range results {
			if got := <-done; got.err != nil || got.status != 200 {
				t.Errorf("status %d, error %v", got.status, got.err)
			}
		}
		if n := b.logBuffer.count(`"request waited for room"`); n < 5 {
			t.Errorf("%d requests waited, want at least 5 of 15: seven fit", n)
		}
	})
}
