package daemon_test

import (
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/samphireusher/samphireusher/platform/usherstandin"
)

// drainTime is how long a target that says that it is leaving may still get requests, from the users' pages.
const drainTime = 2 * time.Second

// requestsAfter returns the requests, without calls to the control interface, that reached a target after a time.
func (b *testbed) requestsAfter(id string, at time.Time) (requests []usherstandin.Arrival) {
	for _, a := range b.targets[id].Arrivals() {
		if a.At.After(at) && a.Attempt != "" {
			requests = append(requests, a)
		}
	}
	return requests
}

// publishAgain publishes another state of a target's entry, for a later incarnation if born is above 1.
func (b *testbed) publishAgain(id string, born int) {
	key, entry := b.targets[id].Entry("ready")
	entry.(map[string]any)["seq"], entry.(map[string]any)["born"] = 99, born
	b.store.PutJSON(key, entry)
}

// callMany sends calls to the plain service and returns the results.
func (b *testbed) callMany(n int, path string) []result {
	results := make([]result, n)
	var calls sync.WaitGroup
	for i := range n {
		calls.Go(func() { results[i] = b.post(b.hosts[i%len(b.hosts)], path) })
		time.Sleep(5 * time.Millisecond)
	}
	calls.Wait()
	return results
}

// A target says in its responses that it is leaving, while its entry says that it is ready. The host went on sending requests to
// it until the store said so, or until it was gone.
func TestTargetThatSaysItIsLeavingGetsNoNewWork(t *testing.T) {
	for _, c := range []struct {
		name, path string
		fault      usherstandin.Fault
	}{
		{"response to a call", "/allotment/x", usherstandin.NoFault},
		{"failure", "/allotment/x", usherstandin.Fails},
		{"rejection", "/allotment/x", usherstandin.Refuses},
		{"head of a stream", "/appraisal/300", usherstandin.NoFault},
		{"failure of a stream", "/appraisal/3", usherstandin.Fails},
		{"rejection of a stream", "/eligibility/3", usherstandin.Refuses},
	} {
		t.Run(c.name, func(t *testing.T) {
			withTestbed(t, options{hosts: 1, engines: 3, plainTargets: 3}, func(t *testing.T, b *testbed) {
				prefix := "plain-"
				if !strings.HasPrefix(c.path, "/allotment") {
					prefix = "engine-"
				}
				// The host prefers targets of its own data centre.
				leaving := prefix + "0"
				b.targets[leaving].SetFault(c.fault)
				b.targets[leaving].SayLeaving(true)
				// Neither the store nor peers can tell.
				b.store.SetMode("", usherstandin.Unresponsive)
				var said time.Time
				for range 40 {
					go b.post(b.hosts[0], c.path)
					time.Sleep(60 * time.Millisecond)
					if arrivals := b.requestsAfter(leaving, time.Time{}); len(arrivals) > 0 && said.IsZero() {
						said = time.Now()
					}
				}
				if said.IsZero() {
					t.Fatal("no request reached the target, so the test shows nothing")
				}
				if late := b.requestsAfter(leaving, said); len(late) > 0 {
					t.Errorf("%d requests reached the target after it had said that it is leaving", len(late))
				}
				b.store.SetMode("", usherstandin.Serving)
				time.Sleep(3 * time.Second)
				b.targets[leaving].SayLeaving(false)
				b.targets[leaving].SetFault(usherstandin.NoFault)
				b.publishAgain(leaving, 1)
				time.Sleep(time.Second)
				again := time.Now()
				b.callMany(30, strings.Replace(c.path, "300", "2", 1))
				if late := b.requestsAfter(leaving, again); len(late) > 0 {
					t.Errorf("%d requests reached the target after its entry was published again", len(late))
				}
				b.publishAgain(leaving, 2)
				time.Sleep(time.Second)
				again = time.Now()
				b.callMany(30, strings.Replace(c.path, "300", "2", 1))
				if len(b.requestsAfter(leaving, again)) == 0 {
					t.Error("no request reached the next incarnation")
				}
			})
		})
	}
}

// The same for responses of the control interface: to a copy, and to a poll while the store is away.
func TestEngineThatSaysItIsLeavingInControlCallsGetsNoNewWork(t *testing.T) {
	withTestbed(t, options{hosts: 1, engines: 4, editDeclarations: withoutBackupCopies}, func(t *testing.T, b *testbed) {
		attempt, done := b.startStream(b.hosts[0], "/appraisal/200")
		time.Sleep(500 * time.Millisecond)
		source := b.currentEngine(attempt)
		b.store.SetMode("", usherstandin.Unresponsive)
		b.targets[source].SayLeaving(true)
		time.Sleep(3 * time.Second)
		said := time.Now()
		b.callMany(20, "/eligibility/2")
		if late := b.requestsAfter(source, said); len(late) > 0 {
			t.Errorf("%d requests reached the engine", len(late))
		}
		if !strings.Contains(b.getAt(b.hosts[0], adminPort, "/dump").body, `"leaving": true`) {
			t.Error("the dump does not show that the engine leaves")
		}
		// What runs there is copied on notice.
		b.kill(source)
		if got := <-done; got.err != nil || !isComplete(got.body, attempt, 200) {
			t.Errorf("error %v, %d events", got.err, len(events(got.body)))
		}
	})
}

// What comes with a response of another target, or to another attempt, says nothing about the target that was meant.
func TestNoticeOfAnotherTargetSaysNothing(t *testing.T) {
	for name, fault := range map[string]usherstandin.Fault{"address of another target": usherstandin.Misdirects, "unsigned response": usherstandin.Unsigned, "lost response": usherstandin.DropsConnection} {
		t.Run(name, func(t *testing.T) {
			withTestbed(t, options{hosts: 1, plainTargets: 2}, func(t *testing.T, b *testbed) {
				for _, target := range b.targets {
					target.FailNext(fault, fault)
					target.SayLeaving(true)
				}
				b.callMany(4, "/allotment/x")
				if n := b.logBuffer.count("target says that it is leaving"); n > 0 {
					t.Errorf("%d targets are taken to be leaving", n)
				}
			})
		})
	}
}

// A target turns a request away and asks for a rest. The host sent it requests all the same, and all at once when it came back.
func TestTargetThatAsksForARestGetsNothing(t *testing.T) {
	const rest = 3 * time.Second
	for _, c := range []struct{ name, path, prefix string }{{"calls", "/allotment/x", "plain-"}, {"streams", "/eligibility/2", "engine-"}} {
		t.Run(c.name, func(t *testing.T) {
			withTestbed(t, options{hosts: 2, engines: 3, plainTargets: 3}, func(t *testing.T, b *testbed) {
				id := c.prefix + "1"
				b.targets[id].AskForRest(strconv.FormatFloat(rest.Seconds(), 'f', 1, 64))
				var asked time.Time
				for range 30 {
					b.callMany(2, c.path)
					if arrivals := b.targets[id].Arrivals(); len(arrivals) > 0 {
						asked = arrivals[0].At
					}
				}
				if asked.IsZero() {
					t.Fatal("no request reached the target, so the test shows nothing")
				}
				b.targets[id].AskForRest()
				var calls sync.WaitGroup
				for time.Now().Before(asked.Add(rest + time.Second)) {
					for _, h := range b.hosts {
						calls.Go(func() { b.post(h, c.path) })
					}
					time.Sleep(10 * time.Millisecond)
				}
				calls.Wait()
				during, first := 0, 0
				for _, a := range b.targets[id].Arrivals() {
					switch since := a.At.Sub(asked); {
					case since > 500*time.Millisecond && since < rest:
						during++
					case since >= rest && since < rest+150*time.Millisecond:
						first++
					}
				}
				// The second host may have asked a moment later than the first one.
				if during > 0 {
					t.Errorf("%d requests reached the target in its rest", during)
				}
				if first == 0 || first > 6 {
					t.Errorf("%d requests reached the target in the 0.15 s after its rest; want some, at most 3 of each host", first)
				}
			})
		})
	}
}

// All targets of a service rest. Callers are refused at once and told when the first one is back, each another moment.
func TestCallersLearnWhenTheFirstTargetIsBack(t *testing.T) {
	withTestbed(t, options{hosts: 1, plainTargets: 3}, func(t *testing.T, b *testbed) {
		for id, value := range map[string]string{"plain-0": "4", "plain-1": "8.5", "plain-2": "20"} {
			b.targets[id].AskForRest(value)
		}
		b.callMany(6, "/allotment/x")
		asked := time.Now()
		seen := map[string]bool{}
		for _, got := range b.callMany(10, "/allotment/x") {
			seconds, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
			if got.status != http.StatusServiceUnavailable || err != nil || seconds < 3 || seconds > 5.5 || got.elapsed > 10*time.Millisecond {
				t.Errorf("status %d, Retry-After %q after %s; want 503 at once and about 4 s", got.status, got.header.Get("Retry-After"), got.elapsed)
			}
			seen[got.header.Get("Retry-After")] = true
		}
		if len(seen) < 8 {
			t.Errorf("%d different times to return for 10 callers", len(seen))
		}
		b.targets["plain-0"].AskForRest()
		time.Sleep(time.Until(asked.Add(4200 * time.Millisecond)))
		if got := b.post(b.hosts[0], "/allotment/x"); got.status != http.StatusOK {
			t.Errorf("status %d after the first rest", got.status)
		}
	})
}

// Faulty values of the header start no rest, and are logged.
func TestUnusableRestIsIgnored(t *testing.T) {
	for name, values := range map[string][]string{
		"no number": {"soon"}, "negative": {"-3"}, "date": {"Sat, 05 Dec 2026 08:00:00 GMT"}, "not a number": {"NaN"}, "infinite": {"Inf"},
		"overflow": {strings.Repeat("9", 400)}, "two values": {"1", "30"}, "more than a day": {"86401"}, "nothing": {""}, "two points": {"1.2.3"}, "exponent": {"1e9"},
	} {
		t.Run(name, func(t *testing.T) {
			withTestbed(t, options{hosts: 1, plainTargets: 1}, func(t *testing.T, b *testbed) {
				b.targets["plain-0"].AskForRest(values...)
				b.post(b.hosts[0], "/allotment/x")
				b.targets["plain-0"].AskForRest()
				time.Sleep(200 * time.Millisecond)
				if got := b.post(b.hosts[0], "/allotment/x"); got.status != http.StatusOK {
					t.Errorf("status %d, error %v", got.status, got.err)
				}
				if b.logBuffer.count("target said something about itself that cannot be used") != 1 {
					t.Error("the value is not logged")
				}
			})
		})
	}
}

// A stream runs at an engine that asks for a rest. Polls and copies wait, and the rest ends with the incarnation.
func TestRestingEngineIsNotPolled(t *testing.T) {
	withTestbed(t, options{hosts: 1, engines: 2, editDeclarations: withoutBackupCopies}, func(t *testing.T, b *testbed) {
		attempt, done := b.startStream(b.hosts[0], "/appraisal/250")
		time.Sleep(500 * time.Millisecond)
		source := b.currentEngine(attempt)
		b.targets[source].AskForRest("4")
		for range 6 {
			b.post(b.hosts[0], "/eligibility/2")
		}
		b.targets[source].AskForRest()
		asked := time.Now()
		b.store.SetMode("", usherstandin.Unresponsive)
		time.Sleep(3500 * time.Millisecond)
		for _, a := range b.targets[source].Arrivals() {
			if a.At.After(asked) {
				t.Errorf("%s reached the engine %s after it had asked for a rest", a.Path, a.At.Sub(asked))
			}
		}
		b.store.SetMode("", usherstandin.Serving)
		b.publishAgain(source, 2)
		time.Sleep(2 * time.Second)
		again := time.Now()
		b.callMany(20, "/eligibility/2")
		if len(b.requestsAfter(source, again)) == 0 {
			t.Error("the next incarnation gets no requests")
		}
		<-done
	})
}

// All targets but one leave in turn while the store is away, so that only their responses tell. Every call must be served, and none
// by a target that has said that it is leaving.
func TestTargetsLeaveInTurnWhileTheStoreIsAway(t *testing.T) {
	const n = 4
	withTestbed(t, options{hosts: 3, plainTargets: n}, func(t *testing.T, b *testbed) {
		b.store.SetMode("", usherstandin.Unresponsive)
		time.Sleep(2 * time.Second)
		for i := range n - 1 {
			id := "plain-" + strconv.Itoa(i)
			b.targets[id].SayLeaving(true)
			// Each host learns of it from a response, or from another host.
			b.callMany(60, "/allotment/x")
			time.Sleep(drainTime)
			late := time.Now()
			for _, got := range b.callMany(60, "/allotment/x") {
				if got.status != http.StatusOK {
					t.Errorf("status %d, error %v after %d targets have left", got.status, got.err, i+1)
				}
			}
			if requests := b.requestsAfter(id, late); len(requests) > 0 {
				t.Errorf("%d requests reached %s", len(requests), id)
			}
			b.kill(id)
		}
	})
}

// Half of the targets ask for a rest at the peak of the load. The calls that are not turned away by them are served by the others.
func TestHalfOfTheTargetsRestAtThePeak(t *testing.T) {
	withTestbed(t, options{hosts: 3, plainTargets: 6}, func(t *testing.T, b *testbed) {
		for _, id := range []string{"plain-0", "plain-1", "plain-2"} {
			b.targets[id].AskForRest("2")
		}
		turnedAway, served := 0, 0
		for _, got := range b.callMany(300, "/allotment/x") {
			switch got.status {
			case http.StatusOK:
				served++
			case http.StatusServiceUnavailable:
				turnedAway++
			default:
				t.Errorf("status %d, error %v", got.status, got.err)
			}
		}
		// Each of three hosts meets each of three targets once, and may have sent more before the first response.
		if turnedAway > 30 || served < 270 {
			t.Errorf("%d of 300 calls served, %d turned away", served, turnedAway)
		}
	})
}

// A target says that it is leaving while another request, for which it has been chosen, waits for a connection to it. That request
// must go elsewhere, and no retry is needed for it.
func TestRequestThatWasChosenBeforeIsWithdrawn(t *testing.T) {
	withTestbed(t, options{hosts: 1, plainTargets: 2, noRetries: true}, func(t *testing.T, b *testbed) {
		h, leaving := b.hosts[0], "plain-0"
		b.targets[leaving].SayLeaving(true)
		go b.post(h, "/allotment/first")
		time.Sleep(5 * time.Millisecond)
		_, entry := b.targets[leaving].Entry("ready")
		target := netip.MustParseAddrPort(entry.(map[string]any)["address"].(string)).Addr()
		b.network.Block(mustAddr(h.ip), target)
		second := make(chan result, 1)
		go func() { second <- b.post(h, "/allotment/second") }()
		time.Sleep(50 * time.Millisecond)
		b.network.Unblock(mustAddr(h.ip), target)
		if got := <-second; got.status != http.StatusOK || !strings.HasSuffix(got.body, "by plain-1") {
			t.Errorf("status %d, error %v, body %q; want an answer of the other target", got.status, got.err, got.body)
		}
		if b.logBuffer.count("choosing again") != 1 {
			t.Error("the request was not chosen for the leaving target, so the test shows nothing")
		}
	})
}
