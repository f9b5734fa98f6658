package daemon_test

import (
	"context"
	"net/http"
	"slices"
	"strconv"
	"strings"
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
		if dump := b.getAt(b.hosts[0], adminPort, "/dump"); !strings.Contains(dump.body, `"waited_ms"`) {
			t.Errorf("the placer's dump lists nothing that waits: %s", dump.body)
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

// collect returns the results of streams, each of which must be complete or refused without a run. In any case some must be complete.
func (b *testbed) collect(results []<-chan result) (refused []result) {
	b.t.Helper()
	for _, done := range results {
		got := <-done
		switch {
		case got.err != nil || got.status != http.StatusOK && got.status != http.StatusServiceUnavailable:
			b.t.Errorf("attempt %s: status %d, error %v", got.attempt, got.status, got.err)
		case got.status != http.StatusOK:
			refused = append(refused, got)
			if runs := b.runsOf(got.attempt); len(runs) > 0 || got.header.Get("Retry-After") == "" {
				b.t.Errorf("attempt %s refused with Retry-After %q after runs %v", got.attempt, got.header.Get("Retry-After"), runs)
			}
		}
	}
	if len(refused) == len(results) {
		b.t.Error("all streams were refused")
	}
	return refused
}

// Load: long streams fill the only engine for longer than urgent callers wait. Those that cannot begin in their time are refused, and
// return at different times.
func TestStreamsThatCannotBeginInTimeAreRefused(t *testing.T) {
	withTestbed(t, options{hosts: 3, engines: 1, editDeclarations: contended}, func(t *testing.T, b *testbed) {
		var long, urgent []<-chan result
		for range 7 {
			_, done := b.startStream(b.hosts[1], "/appraisal/600")
			long = append(long, done)
			time.Sleep(500 * time.Millisecond)
		}
		for _, path := range append([]string{"/eligibility/150"}, slices.Repeat([]string{"/eligibility/2"}, 7)...) {
			_, done := b.startStream(b.hosts[2], path)
			urgent = append(urgent, done)
		}
		refused, times := b.collect(urgent), map[string]bool{}
		for _, got := range refused {
			after := got.header.Get("Retry-After")
			if seconds, err := strconv.ParseFloat(after, 64); err != nil || seconds < 0.1 || seconds > 2 || !strings.Contains(got.body, "no_room") || got.elapsed > 6*time.Second {
				t.Errorf("refused with %q after %s, Retry-After %q", got.body, got.elapsed, after)
			}
			times[after] = true
		}
		if len(refused) < 4 || len(times) < len(refused)-1 {
			t.Errorf("%d of 8 refused, with %d times to return", len(refused), len(times))
		}
		if n := len(b.collect(long)); n > 0 {
			t.Errorf("%d long streams refused, which have the time to wait", n)
		}
	})
}

// Load: urgent streams come at the same moment, more than the queue of prompts should hold. Half of the engine's memory and slots are free, so
// none may wait.
func TestNothingWaitsWhileHalfOfThePlacesAreFree(t *testing.T) {
	withTestbed(t, options{hosts: 3, engines: 1, editDeclarations: contended}, func(t *testing.T, b *testbed) {
		done := make(chan result)
		for i := range 4 {
			r := b.request(t.Context(), b.hosts[i%3], http.MethodPost, "/eligibility/2", "")
			r.Header.Set("Token-Counts", "3000,10")
			go func() { done <- b.do(r) }()
		}
		for range 4 {
			if got := <-done; got.status != http.StatusOK || got.elapsed > 100*time.Millisecond {
				t.Errorf("status %d after %s", got.status, got.elapsed)
			}
		}
		if n := b.logBuffer.count(`"request waited for room"`); n > 0 {
			t.Errorf("%d streams waited", n)
		}
	})
}

// Load: more long prompts than the engines can read in time, while they have memory for copies. What begins while others wait gets no backup
// copy.
func TestBackupCopiesGiveWayWhileStreamsWait(t *testing.T) {
	withTestbed(t, options{hosts: 3, engines: 2, editDeclarations: contended}, func(t *testing.T, b *testbed) {
		done := make(chan result)
		const streams = 20
		for i := range streams {
			r := b.request(t.Context(), b.hosts[i%3], http.MethodPost, "/appraisal/20", "")
			r.Header.Set("Token-Counts", "3000,10")
			go func() { done <- b.do(r) }()
			if i == 0 {
				time.Sleep(10 * time.Millisecond)
			}
		}
		var attempts []string
		for range streams {
			got := <-done
			if got.status != http.StatusOK {
				t.Errorf("status %d", got.status)
			}
			attempts = append(attempts, got.attempt)
		}
		waited, copied, spared := 0, 0, 0
		for _, attempt := range attempts {
			_, run := b.onlyRun(attempt)
			backup := run.Header.Get("Kv-Backup") != ""
			switch waits := b.logBuffer.count(`"attempt":"`+attempt+`","outcome":"granted"`) > 0; {
			case waits && backup:
				waited, copied = waited+1, copied+1
			case waits:
				waited++
			case backup:
				spared++
			}
		}
		// Nothing waits behind the last two, one at each engine.
		if waited < 8 || copied > 2 || spared == 0 {
			t.Errorf("%d streams waited, %d of them got a backup copy, and so did %d others", waited, copied, spared)
		}
	})
}

// Failure: a caller leaves while its stream waits. It is withdrawn and never runs.
func TestStreamOfACallerThatLeavesIsWithdrawn(t *testing.T) {
	withTestbed(t, options{hosts: 3, engines: 1, editDeclarations: contended}, func(t *testing.T, b *testbed) {
		results := b.fillWithLongStreams(b.hosts[1], 12)
		ctx, leave := context.WithCancel(t.Context())
		r := b.request(ctx, b.hosts[2], http.MethodPost, "/appraisal/100", "")
		attempt, done := r.Header.Get("Attempt-Id"), make(chan result)
		go func() { done <- b.do(r) }()
		time.Sleep(100 * time.Millisecond)
		if dump := b.getAt(b.hosts[0], adminPort, "/dump"); !strings.Contains(dump.body, attempt) {
			t.Error("the stream does not wait")
		}
		leave()
		<-done
		time.Sleep(300 * time.Millisecond)
		if dump := b.getAt(b.hosts[0], adminPort, "/dump"); strings.Contains(dump.body, attempt) {
			t.Error("the stream of a caller that has left still waits")
		}
		b.collect(results)
		if runs := b.runsOf(attempt); len(runs) > 0 {
			t.Errorf("the stream of a caller that has left ran: %v", runs)
		}
	})
}

// Failure: the placer loses its machine with a full queue. The hosts ask the next one, and what waits is served.
func TestQueueMovesOnFromAFrozenPlacer(t *testing.T) {
	withTestbed(t, options{hosts: 5, engines: 1, editDeclarations: contended}, func(t *testing.T, b *testbed) {
		var results []<-chan result
		for _, h := range b.hosts[1:] {
			results = append(results, b.fillWithLongStreams(h, 5)...)
		}
		b.network.Pause(mustAddr(b.hosts[0].ip))
		time.Sleep(200 * time.Millisecond)
		if got := b.post(b.hosts[2], "/eligibility/2"); got.status != http.StatusOK || got.elapsed > 1500*time.Millisecond {
			t.Errorf("urgent stream: status %d after %s", got.status, got.elapsed)
		}
		if refused := b.collect(results); len(refused) > 0 {
			t.Errorf("%d of %d refused", len(refused), len(results))
		}
		if b.logBuffer.count(`"rank":2,"by":"host-3"`) == 0 {
			t.Error("the next placer gave no room to what waited")
		}
		b.network.Resume(mustAddr(b.hosts[0].ip))
	})
}

// Failure: a link is cut one way while streams wait, first for what the placer sends, then for what it is sent.
func TestQueueSurvivesALinkCutOneWay(t *testing.T) {
	for _, c := range []struct{ from, to int }{{0, 1}, {1, 0}} {
		t.Run(hostIP(c.from), func(t *testing.T) {
			withTestbed(t, options{hosts: 4, engines: 1, editDeclarations: contended}, func(t *testing.T, b *testbed) {
				results := b.fillWithLongStreams(b.hosts[1], 10)
				b.network.Block(mustAddr(hostIP(c.from)), mustAddr(hostIP(c.to)))
				results = append(results, b.fillWithLongStreams(b.hosts[2], 5)...)
				// The urgent kind's objective is 1.5 s.
				if got := b.post(b.hosts[1], "/eligibility/2"); got.status != http.StatusOK || got.elapsed > 1500*time.Millisecond {
					t.Errorf("urgent stream: status %d after %s", got.status, got.elapsed)
				}
				if refused := b.collect(results); len(refused) > 0 {
					t.Errorf("%d of %d refused", len(refused), len(results))
				}
			})
		})
	}
}

// Failure: a host is stopped while streams wait in it, and so is the placer. Each stream is served or refused within the grace, without a run.
func TestStoppingHostServesOrRefusesWhatWaits(t *testing.T) {
	for _, stopped := range []int{0, 1} {
		t.Run(hostIP(stopped), func(t *testing.T) {
			withTestbed(t, options{hosts: 4, engines: 1, editDeclarations: contended}, func(t *testing.T, b *testbed) {
				results := b.fillWithLongStreams(b.hosts[stopped], 15)
				b.stop(b.hosts[stopped])
				signal := time.Now()
				if refused := b.collect(results); len(refused) < 5 {
					t.Errorf("%d of 15 refused, want the 8 that waited; they could wait for longer than the host lives", len(refused))
				}
				if elapsed := time.Since(signal); elapsed > 7750*time.Millisecond {
					t.Errorf("last response %s after the signal", elapsed)
				}
				if got := b.post(b.hosts[2], "/eligibility/2"); got.status != http.StatusOK {
					t.Errorf("urgent stream at another host: status %d", got.status)
				}
			})
		})
	}
}

// Failure: half of the hosts start at the same moment while streams wait at the others.
func TestHostsThatStartAtOnceJoinTheQueue(t *testing.T) {
	withTestbed(t, options{hosts: 4, engines: 2, editDeclarations: contended}, func(t *testing.T, b *testbed) {
		var results []<-chan result
		for _, h := range b.hosts {
			results = append(results, b.fillWithLongStreams(h, 5)...)
		}
		for i := 4; i < 8; i++ {
			b.startHost(i)
		}
		time.Sleep(1500 * time.Millisecond)
		for _, h := range b.hosts[4:] {
			results = append(results, b.fillWithLongStreams(h, 3)...)
		}
		for _, h := range b.hosts[4:] {
			if got := b.post(h, "/eligibility/2"); got.status != http.StatusOK || got.elapsed > 1500*time.Millisecond {
				t.Errorf("%s: urgent stream: status %d after %s", h.name, got.status, got.elapsed)
			}
		}
		if refused := b.collect(results); len(refused) > 0 {
			t.Errorf("%d of %d refused", len(refused), len(results))
		}
	})
}
