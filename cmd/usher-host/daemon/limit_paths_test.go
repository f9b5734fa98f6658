package daemon_test

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
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
		// 6 s have four or five turns at each of the two targets.
		if served < 8 || served > 10 || len(advice) < 40 {
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
		for _, want := range []string{"requests.refused.limited 5", "requests.held_off 5", "targets.limits "} {
			if !strings.Contains(metrics, want) {
				t.Errorf("the metrics lack %q", want)
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

// Calls that were chosen for a target, and not sent yet as it named its limit, are sent elsewhere.
func TestCallsThatAreNotSentYetKeepTheLimit(t *testing.T) {
	withTestbed(t, options{hosts: 1, plainTargets: 2}, func(t *testing.T, b *testbed) {
		// A burst is chosen at once; the connections take longer than the first answers.
		b.targets["plain-0"].NameLimit(loneLimit)
		b.callMany(10, "/allotment/x")
		time.Sleep(time.Second)
		told := time.Now()
		for _, got := range b.callMany(200, "/allotment/x") {
			if got.status != http.StatusOK {
				t.Errorf("status %d, error %v", got.status, got.err)
			}
		}
		checkTurns(t, b.targets["plain-0"].Arrivals(), told)
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
		for len(b.targets[source].Arrivals()) < 2 {
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

// Streams go on at the holder of their copy, which has named a limit. They wait for a turn there, one after the other.
func TestStreamsWaitForATurnAtTheHolder(t *testing.T) {
	withTestbed(t, options{hosts: 1, engines: 2}, func(t *testing.T, b *testbed) {
		attempt, done := b.startStream(b.hosts[0], "/appraisal/200")
		time.Sleep(time.Second)
		source := b.currentEngine(attempt)
		holder := "engine-0"
		if source == holder {
			holder = "engine-1"
		}
		b.targets[holder].NameLimit(loneLimit)
		for b.logBuffer.count(`"target names a limit"`) == 0 {
			b.callMany(5, "/eligibility/1")
		}
		told := time.Now()
		b.kill(source)
		got := <-done
		if got.err != nil || !isComplete(got.body, attempt, 200) {
			t.Errorf("error %v, %d events", got.err, len(events(got.body)))
		}
		checkTurns(t, b.targets[holder].Arrivals(), told)
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
		for b.logBuffer.count(`"target names a limit"`) == 0 {
			b.callMany(5, "/eligibility/1")
		}
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
