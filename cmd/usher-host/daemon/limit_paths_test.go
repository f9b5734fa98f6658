package daemon_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/samphireusher/samphireusher/platform/usherstandin"
	"github.com/samphireusher/samphireusher/service/usherhost"
)

// A single host takes itself for one of nine until it hears of another one. A limit of 9 then gives it a turn each 1.25 s.
const (
	loneLimit = "9"
	loneTurn  = 1250 * time.Millisecond
)

// awaitLimit sends requests until a host knows of a limit.
func (b *testbed) awaitLimit(path string) {
	b.t.Helper()
	for range 50 {
		if b.callMany(5, path); b.logBuffer.count(`"target names a limit"`) > 0 {
			return
		}
	}
	b.t.Fatal("no host learned of the limit, so the test shows nothing")
}

// checkTurns checks that no two of the given requests come in one turn.
func checkTurns(t *testing.T, arrivals []usherstandin.Arrival, after time.Time) {
	t.Helper()
	var latest usherstandin.Arrival
	for _, a := range arrivals {
		if !a.At.After(after) {
			continue
		}
		// A turn may be used late, by a second at most.
		if distance := a.At.Sub(latest.At); !latest.At.IsZero() && distance < loneTurn-time.Second-50*time.Millisecond {
			t.Errorf("%q %s after %q", a.Path, distance, latest.Path)
		}
		latest = a
	}
}

// Each kind of answer that is the target's own to the attempt names the limit. Only those of other targets, and those that can't be
// used, are passed over.
func TestLimitIsTakenFromEachAnswer(t *testing.T) {
	for _, c := range []struct {
		name, path string
		fault      usherstandin.Fault
		limits     []string
		limited    bool
	}{
		{"success", "/allotment/x", usherstandin.NoFault, []string{loneLimit}, true},
		{"404", "/allotment/x", usherstandin.FailsAsNotFound, []string{loneLimit}, true},
		{"500", "/allotment/x", usherstandin.Fails, []string{loneLimit}, true},
		{"503", "/allotment/x", usherstandin.Refuses, []string{loneLimit}, true},
		{"sent twice", "/allotment/x", usherstandin.DuplicatesResponse, []string{loneLimit}, true},
		{"after a response to another request", "/allotment/x", usherstandin.SendsForeignFirst, []string{loneLimit}, true},
		{"head of a stream", "/appraisal/3", usherstandin.NoFault, []string{loneLimit}, true},
		{"500 to a stream", "/appraisal/3", usherstandin.Fails, []string{loneLimit}, true},
		{"503 to a stream", "/appraisal/3", usherstandin.Refuses, []string{loneLimit}, true},
		{"421", "/allotment/x", usherstandin.Misdirects, []string{loneLimit}, false},
		{"unsigned", "/allotment/x", usherstandin.Unsigned, []string{loneLimit}, false},
		{"two values", "/allotment/x", usherstandin.NoFault, []string{"3", "9"}, false},
		{"negative", "/allotment/x", usherstandin.NoFault, []string{"-9"}, false},
		{"exponent", "/allotment/x", usherstandin.NoFault, []string{"9e0"}, false},
		{"not a number", "/allotment/x", usherstandin.NoFault, []string{"NaN"}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			withTestbed(t, options{hosts: 1, engines: 1, plainTargets: 1}, func(t *testing.T, b *testbed) {
				for _, target := range b.targets {
					target.SetFault(c.fault)
					target.NameLimit(c.limits...)
				}
				b.post(b.hosts[0], c.path)
				named := b.logBuffer.count(`"target names a limit"`)
				if limited := named > 0; limited != c.limited {
					t.Errorf("taken for limited: %t, want %t", limited, c.limited)
				}
				unusable := c.fault == usherstandin.NoFault && !c.limited
				if logged := b.logBuffer.count("target said something about itself that cannot be used") > 0; logged != unusable {
					t.Errorf("logged as unusable: %t, want %t", logged, unusable)
				}
			})
		})
	}
}

// All targets are limited. Callers without a turn are refused at once, as not run, and told to return at different times.
func TestCallersWithoutATurnAreRefusedAtOnce(t *testing.T) {
	withTestbed(t, options{hosts: 1, plainTargets: 2}, func(t *testing.T, b *testbed) {
		for _, target := range b.targets {
			target.NameLimit(loneLimit)
		}
		b.callMany(8, "/allotment/x")
		told := time.Now()
		served, advice := 0, map[string]bool{}
		for range 60 {
			switch got := b.post(b.hosts[0], "/allotment/x"); got.status {
			case http.StatusOK:
				served++
			case http.StatusServiceUnavailable:
				seconds, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
				if err != nil || seconds <= 0 || seconds > 1.6 || got.elapsed > 10*time.Millisecond || !strings.Contains(got.body, "limited") {
					t.Errorf("refused with %q after %s, Retry-After %q", got.body, got.elapsed, got.header.Get("Retry-After"))
				}
				advice[got.header.Get("Retry-After")] = true
			default:
				t.Errorf("status %d, error %v", got.status, got.err)
			}
			time.Sleep(100 * time.Millisecond)
		}
		// In 6 s four or five turns begin at each of the two targets, and one more may have begun before.
		if served < 8 || served > 12 || len(advice) < 40 {
			t.Errorf("%d of 60 calls served, %d different times to return", served, len(advice))
		}
		for _, target := range b.targets {
			checkTurns(t, target.Arrivals(), told)
		}
		b.callMany(2, "/allotment/x")
		dump, metrics := b.getAt(b.hosts[0], adminPort, usherhost.DumpPath).body, b.getAt(b.hosts[0], adminPort, usherhost.MetricsPath).body
		for _, want := range []string{`"limit": 9`, `"turn_in_ms"`} {
			if !strings.Contains(dump, want) {
				t.Errorf("the dump lacks %s", want)
			}
		}
		for _, name := range []string{"requests.refused.limited", "requests.held_off", "targets.limits"} {
			if !strings.Contains(metrics, name+" ") || strings.Contains(metrics, name+" 0\n") {
				t.Errorf("%s counts nothing", name)
			}
		}
	})
}

// A limit changes and ends with the answer that says so, with one log line each, and with the incarnation.
func TestLimitEnds(t *testing.T) {
	withTestbed(t, options{hosts: 1, plainTargets: 1}, func(t *testing.T, b *testbed) {
		target := b.targets["plain-0"]
		await := func(what string, done func() bool) {
			t.Helper()
			for end := time.Now().Add(2 * loneTurn); !done(); time.Sleep(50 * time.Millisecond) {
				if time.Now().After(end) {
					t.Errorf("%s is not noticed within two turns", what)
					return
				}
				b.post(b.hosts[0], "/allotment/x")
			}
		}
		free := func() bool {
			for _, got := range b.callMany(20, "/allotment/x") {
				if got.status != http.StatusOK {
					return false
				}
			}
			return true
		}
		for i, limit := range []string{loneLimit, "8", loneLimit} {
			target.NameLimit(limit)
			await("a limit of "+limit, func() bool { return b.logBuffer.count(`"target names a limit"`) == i+1 })
		}
		target.NameLimit()
		await("the end", func() bool { return b.logBuffer.count(`"kind":"limit"`) == 1 })
		if !free() {
			t.Error("calls are refused after the end of the limit")
		}
		if n := b.logBuffer.count(`"target names a limit"`); n != 3 {
			t.Errorf("%d log lines for a limit, a lower one and a higher one", n)
		}
		target.NameLimit("0")
		b.callMany(3, "/allotment/x")
		target.NameLimit()
		b.publishAgain("plain-0", 2)
		time.Sleep(time.Second)
		if !free() {
			t.Error("calls are refused by the next incarnation's limit")
		}
		if b.logBuffer.count(`"kind":"limit"`) != 2 {
			t.Error("the end with the incarnation is not logged")
		}
	})
}

// slowDials is a network on which connections take a while.
type slowDials struct{ usherhost.Network }

const slowDialTime = 100 * time.Millisecond

func (n slowDials) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	time.Sleep(slowDialTime)
	return n.Network.Dial(ctx, network, address)
}

// Calls that were chosen for a target, and not sent yet as it named its limit, are sent elsewhere.
func TestCallsThatAreNotSentYetKeepTheLimit(t *testing.T) {
	slow := func(p *usherhost.Platform) { p.Network = slowDials{p.Network} }
	withTestbed(t, options{hosts: 1, plainTargets: 2, editPlatform: slow}, func(t *testing.T, b *testbed) {
		b.targets["plain-0"].NameLimit(loneLimit)
		var told time.Time
		var calls sync.WaitGroup
		for range 40 {
			calls.Go(func() {
				if got := b.post(b.hosts[0], "/allotment/x"); got.status != http.StatusOK {
					t.Errorf("status %d, error %v", got.status, got.err)
				}
			})
			time.Sleep(10 * time.Millisecond)
			if told.IsZero() && b.logBuffer.count(`"target names a limit"`) > 0 {
				told = time.Now()
			}
		}
		calls.Wait()
		if b.logBuffer.count(`"target names a limit"`) == 0 || told.IsZero() {
			t.Fatal("the limit was not named among the calls, so the test shows nothing")
		}
		if late := b.requestsAfter("plain-0", told); len(late) > 1 {
			t.Errorf("%d requests in 0.4 s after the limit was named, want one at most", len(late))
		}
		if metrics := b.getAt(b.hosts[0], adminPort, usherhost.MetricsPath).body; strings.Contains(metrics, "requests.withdrawn 0") {
			t.Error("no call was withdrawn, so the test shows nothing")
		}
	})
}

// Calls to the control interface of a limited engine keep the limit too: polls while the store is away, and copies on notice.
func TestControlCallsKeepTheLimit(t *testing.T) {
	withTestbed(t, options{hosts: 1, engines: 3, editDeclarations: withoutBackupCopies}, func(t *testing.T, b *testbed) {
		attempt, done := b.startStream(b.hosts[0], "/appraisal/400")
		time.Sleep(500 * time.Millisecond)
		source := b.currentEngine(attempt)
		b.targets[source].NameLimit(loneLimit)
		b.store.SetMode("", usherstandin.Unresponsive)
		// The first poll tells of the limit.
		for range 1000 {
			if len(b.targets[source].Arrivals()) > 1 {
				break
			}
			time.Sleep(10 * time.Millisecond)
		}
		told := time.Now()
		time.Sleep(5 * time.Second)
		polls := 0
		for _, a := range b.targets[source].Arrivals() {
			if a.At.After(told) && a.Path == "/report" {
				polls++
			}
		}
		// Polls leave every other turn to requests.
		if polls < 1 || polls > 3 {
			t.Errorf("%d polls in 5 s", polls)
		}
		b.targets[source].Drain()
		time.Sleep(3500 * time.Millisecond)
		checkTurns(t, b.targets[source].Arrivals(), told)
		b.kill(source)
		if got := <-done; got.err != nil || !isComplete(got.body, attempt, 400) {
			t.Errorf("error %v, %d events", got.err, len(events(got.body)))
		}
	})
}

// Streams go on at the holder of their copies, which has named a limit. They wait for their turns there, one after the other.
func TestStreamsWaitForATurnAtTheHolder(t *testing.T) {
	withTestbed(t, options{hosts: 1, engines: 2}, func(t *testing.T, b *testbed) {
		streams := map[string]<-chan result{}
		for range 10 {
			r, done := b.request(t.Context(), b.hosts[0], http.MethodPost, "/appraisal/200", "entry"), make(chan result, 1)
			// All copies fit.
			r.Header.Set("Token-Counts", "300,90")
			go func() { done <- b.do(r) }()
			streams[r.Header.Get("Attempt-Id")] = done
		}
		time.Sleep(time.Second)
		moved := 0
		for attempt := range streams {
			if b.currentEngine(attempt) == "engine-0" {
				moved++
			}
		}
		// A turn each 0.25 s.
		b.targets["engine-1"].NameLimit("45")
		b.awaitLimit("/eligibility/1")
		killed := time.Now()
		b.kill("engine-0")
		for attempt, done := range streams {
			if got := <-done; got.err != nil || !isComplete(got.body, attempt, 200) {
				t.Errorf("error %v, %d events", got.err, len(events(got.body)))
			}
		}
		late := b.requestsAfter("engine-1", killed)
		if len(late) < moved || moved < 3 {
			t.Fatalf("%d requests for %d streams, so the test shows nothing", len(late), moved)
		}
		if span := late[moved-1].At.Sub(late[0].At); span < time.Duration(moved-2)*250*time.Millisecond {
			t.Errorf("%d streams went on within %s", moved, span)
		}
	})
}

// A copy is released at a limited engine only if there is a turn; it expires otherwise.
func TestCopiesAreReleasedWithinTheLimit(t *testing.T) {
	for name, limits := range map[string][]string{"limited": {"0"}, "free": nil} {
		t.Run(name, func(t *testing.T) {
			withTestbed(t, options{hosts: 1, engines: 3, editDeclarations: withoutBackupCopies}, func(t *testing.T, b *testbed) {
				attempt, done := b.startStream(b.hosts[0], "/appraisal/100")
				time.Sleep(500 * time.Millisecond)
				source := b.currentEngine(attempt)
				b.publish(source, "draining")
				time.Sleep(500 * time.Millisecond)
				b.targets[source].NameLimit(limits...)
				<-done
				time.Sleep(time.Second)
				released := 0
				for _, a := range b.targets[source].Arrivals() {
					if strings.HasPrefix(a.Path, "/kv-handle/") {
						released++
					}
				}
				if limited := b.logBuffer.count(`"target names a limit"`) > 0; limited != (limits != nil) || limited != (released == 0) {
					t.Errorf("limited: %t, %d releases", limited, released)
				}
			})
		})
	}
}

// Orders to end a run are not held back: a limited engine gets them at once.
func TestRunsEndWhateverTheLimit(t *testing.T) {
	withTestbed(t, options{hosts: 1, engines: 4}, func(t *testing.T, b *testbed) {
		attempt, done := b.startStream(b.hosts[0], "/appraisal/250")
		time.Sleep(500 * time.Millisecond)
		b.targets[b.currentEngine(attempt)].NameLimit("0")
		b.awaitLimit("/eligibility/1")
		b.silence(b.hosts[0], 0)
		got := <-done
		b.checkOverlap(attempt)
		if got.err != nil || !isComplete(got.body, attempt, 250) {
			t.Errorf("error %v, %d events", got.err, len(events(got.body)))
		}
	})
}

// The same where no turn comes soon: a stream that may run again is refused or runs elsewhere, one that may not ends.
func TestStreamsPassOverAHolderWithoutATurn(t *testing.T) {
	withTestbed(t, options{hosts: 1, engines: 2}, func(t *testing.T, b *testbed) {
		attempt, done := b.startStream(b.hosts[0], "/appraisal/200")
		time.Sleep(time.Second)
		source := b.currentEngine(attempt)
		holder := fmt.Sprint("engine-", 1-int(source[len(source)-1]-'0'))
		// A turn each 36 s.
		b.targets[holder].NameLimit("0")
		b.awaitLimit("/eligibility/1")
		told := time.Now()
		b.kill(source)
		killed := time.Now()
		<-done
		if waited := time.Since(killed); waited > 4*time.Second {
			t.Errorf("the stream ended after %s", waited)
		}
		if late := b.requestsAfter(holder, told.Add(50*time.Millisecond)); len(late) > 1 {
			t.Errorf("%d requests reached the holder", len(late))
		}
	})
}
