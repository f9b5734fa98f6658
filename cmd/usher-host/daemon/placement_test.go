package daemon_test

import (
	"testing"
	"time"
)

// The pattern: streams begin at all hosts at the same moment, sooner than any host can hear of the others' choices.
func TestStreamsThatBeginTogetherAreSpread(t *testing.T) {
	const hosts = 18
	inBed(t, options{hosts: hosts, engines: hosts}, func(t *testing.T, b *bed) {
		time.Sleep(2 * time.Second)
		var ends []<-chan result
		for _, h := range b.hosts {
			_, done := b.beginStream(h, "/appraisal/40")
			ends = append(ends, done)
		}
		for _, done := range ends {
			if got := <-done; got.err != nil || got.status != 200 {
				t.Errorf("status %d, error %v", got.status, got.err)
			}
		}
		for id, target := range b.targets {
			if n := len(target.Runs()); n != 1 {
				t.Errorf("%s ran %d of as many streams as there are engines", id, n)
			}
		}
	})
}

// The pattern: the host that chooses loses power, and the others still know it for a while.
func TestStreamsBeginWhereThePlacerIsGone(t *testing.T) {
	inBed(t, options{hosts: 4, engines: 4}, func(t *testing.T, b *bed) {
		time.Sleep(2 * time.Second)
		for i := range b.hosts[1:] {
			// The first data centre by name has the hosts 0 and 3; the first of them chooses.
			b.network.Block(mustAddr(b.hosts[i+1].ip), mustAddr(b.hosts[0].ip))
			b.network.Block(mustAddr(b.hosts[0].ip), mustAddr(b.hosts[i+1].ip))
		}
		for range 6 {
			for _, h := range b.hosts {
				if got := b.post(h, "/appraisal/1"); got.status != 200 || got.took > 200*time.Millisecond {
					t.Errorf("%s: status %d after %s, error %v", h.name, got.status, got.took, got.err)
				}
			}
		}
		if n := b.lines.count("placer does not answer"); n == 0 || n > 3 {
			t.Errorf("the silence of the placer was noticed %d times, want once or so by each of three hosts", n)
		}
	})
}

// The pattern: a burst of prompts at one engine, more than it can begin in time.
func TestStreamsThatCannotBeginInTimeYield(t *testing.T) {
	inBed(t, options{hosts: 1, engines: 1}, func(t *testing.T, b *bed) {
		var ends []<-chan result
		var attempts []string
		for range 6 {
			attempt, done := b.beginStream(b.hosts[0], "/appraisal/3")
			attempts, ends = append(attempts, attempt), append(ends, done)
			time.Sleep(time.Millisecond)
		}
		for _, done := range ends {
			if got := <-done; got.err != nil || got.status != 200 {
				t.Errorf("status %d, error %v", got.status, got.err)
			}
		}
		rank := func(attempt string) string {
			_, run := b.only(attempt)
			return run.Header.Get("Request-Priority")
		}
		if first, last := rank(attempts[0]), rank(attempts[5]); first != "5" || last != "7" {
			t.Errorf("ranks %s and %s; the first can begin in time, the last cannot", first, last)
		}
	})
}
