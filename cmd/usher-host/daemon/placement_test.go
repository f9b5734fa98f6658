package daemon_test

import (
	"testing"
	"time"
)

// Streams start at all hosts at the same moment, before any host can learn of the others' choices. They must not be placed
// on the same engines.
func TestConcurrentStreamsAreSpread(t *testing.T) {
	const hosts = 18
	withTestbed(t, options{hosts: hosts, engines: hosts}, func(t *testing.T, b *testbed) {
		time.Sleep(2 * time.Second)
		var results []<-chan result
		for _, h := range b.hosts {
			_, done := b.startStream(h, "/appraisal/40")
			results = append(results, done)
		}
		for _, done := range results {
			if got := <-done; got.err != nil || got.status != 200 {
				t.Errorf("status %d, error %v", got.status, got.err)
			}
		}
		for id, target := range b.targets {
			if n := len(target.Runs()); n != 1 {
				t.Errorf("%s ran %d streams, want 1", id, n)
			}
		}
	})
}

// The host that places streams loses power, and the other hosts still regard it as running for a while. Streams must start
// without it.
func TestStreamsStartWithoutThePlacer(t *testing.T) {
	withTestbed(t, options{hosts: 4, engines: 4}, func(t *testing.T, b *testbed) {
		time.Sleep(2 * time.Second)
		for i := range b.hosts[1:] {
			// The data centre that is first by name has the hosts 0 and 3. Host 0 places the streams.
			b.network.Block(mustAddr(b.hosts[i+1].ip), mustAddr(b.hosts[0].ip))
			b.network.Block(mustAddr(b.hosts[0].ip), mustAddr(b.hosts[i+1].ip))
		}
		for range 6 {
			for _, h := range b.hosts {
				if got := b.post(h, "/appraisal/1"); got.status != 200 || got.elapsed > 200*time.Millisecond {
					t.Errorf("%s: status %d after %s, error %v", h.name, got.status, got.elapsed, got.err)
				}
			}
		}
		if n := b.logBuffer.count("placer did not respond; choosing target locally"); n == 0 || n > 3 {
			t.Errorf("%d log lines about the unresponsive placer, want 1 to 3: about one from each of the three other hosts", n)
		}
	})
}

// A burst of prompts arrives at one engine, more than it can start in time. The late ones must get a lower priority.
func TestStreamsThatCannotStartInTimeGetLowerPriority(t *testing.T) {
	withTestbed(t, options{hosts: 1, engines: 1}, func(t *testing.T, b *testbed) {
		var results []<-chan result
		var attempts []string
		for range 6 {
			attempt, done := b.startStream(b.hosts[0], "/appraisal/3")
			attempts, results = append(attempts, attempt), append(results, done)
			time.Sleep(time.Millisecond)
		}
		for _, done := range results {
			if got := <-done; got.err != nil || got.status != 200 {
				t.Errorf("status %d, error %v", got.status, got.err)
			}
		}
		priority := func(attempt string) string {
			_, run := b.onlyRun(attempt)
			return run.Header.Get("Request-Priority")
		}
		if first, last := priority(attempts[0]), priority(attempts[5]); first != "5" || last != "7" {
			t.Errorf("priorities %s and %s, want 5 and 7: the first stream can start in time, the last cannot", first, last)
		}
	})
}
