package ushersuspect_test

import (
	"cmp"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"reflect"
	"slices"
	"testing"
	"time"

	"github.com/samphireusher/samphireusher/pkg/usherrequest"
	"github.com/samphireusher/samphireusher/pkg/ushersuspect"
	"pgregory.net/rapid"
)

const (
	defaultSeed = "1"
	faultSeeds  = 100

	harmlessCount   = 12
	initialCrashers = 3
	crasherSends    = 10
	targetCount     = 4
)

const (
	noFault           fault = "none"
	idInFingerprint   fault = "the request id is part of the fingerprint"
	noExchange        fault = "gateways do not exchange crash reports"
	anyGatewayRetries fault = "every gateway retries a suspect"
	noIsolation       fault = "suspects run on the same target"
	noClearing        fault = "completing a request does not clear it"
)

var (
	start        = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	gatewayNames = []string{"g0", "g1", "g2"}
)

type (
	// fault is a mechanism that is disabled in the fleet.
	fault string

	// job is a request at a gateway. A crasher is a request that crashes every target it runs on.
	job struct {
		crasher     bool
		number      int
		gateway     int
		fingerprint ushersuspect.Fingerprint
		attempt     usherrequest.AttemptID
		target      int
		late        bool
	}

	// fleet simulates three gateways and a scheduler that places their requests. The scheduler's tracker is the last
	// one.
	fleet struct {
		choose      func(int) int
		fault       fault
		now         time.Time
		trackers    []*ushersuspect.Tracker
		incarnation [targetCount]uint64
		idGenerator usherrequest.IDGenerator
		pending     []job
		running     []job
		sends       int
		finished    int
		crashes     int
		lateCrashes int
	}
)

// useSeed sets the seed of rapid from USHER_SEED. It is called by the tests, not by TestMain, so that the test cache
// takes the variable into account.
func useSeed(t *testing.T) {
	t.Helper()
	if err := flag.Set("rapid.seed", cmp.Or(os.Getenv("USHER_SEED"), defaultSeed)); err != nil {
		t.Fatal(err)
	}
}

func fingerprint(text string) ushersuspect.Fingerprint {
	return must(ushersuspect.NewFingerprint("weavers", "appraisal", map[string]string{"text": text}))
}

func must[T any](value T, err error) T {
	if err != nil {
		panic(err)
	}
	return value
}

func newFleet(choose func(int) int, f fault) *fleet {
	fl := &fleet{choose: choose, fault: f, now: start, idGenerator: usherrequest.IDGenerator{Gateway: "g", Incarnation: 1}}
	for _, name := range append(slices.Clone(gatewayNames), "scheduler") {
		fl.trackers = append(fl.trackers, ushersuspect.New(name, ushersuspect.Limits{}))
	}
	for i := range harmlessCount {
		fl.pending = append(fl.pending, job{number: i, gateway: choose(3), fingerprint: fingerprint(fmt.Sprint(i))})
	}
	for range initialCrashers {
		fl.sendCrasher()
	}
	return fl
}

// sendCrasher sends the crasher once more, under a new request ID.
func (fl *fleet) sendCrasher() {
	if fl.sends == crasherSends {
		return
	}
	fl.sends++
	text := "killer"
	if fl.fault == idInFingerprint {
		text += fmt.Sprint(fl.sends)
	}
	fl.pending = append(fl.pending, job{crasher: true, gateway: fl.choose(3), fingerprint: fingerprint(text)})
}

// run simulates the fleet until every harmless request has completed, and returns the first violation.
func (fl *fleet) run() error {
	for range 3000 {
		fl.now = fl.now.Add(time.Millisecond)
		if fl.finished == harmlessCount && fl.sends == crasherSends && len(fl.running) == 0 {
			break
		}
		switch {
		case fl.choose(4) > 0 && len(fl.pending) > 0:
			if err := fl.dispatch(fl.choose(len(fl.pending))); err != nil {
				return err
			}
		case len(fl.running) > 0:
			fl.end(fl.choose(len(fl.running)))
		}
	}
	if fl.finished != harmlessCount {
		return fmt.Errorf("%d of %d harmless requests completed", fl.finished, harmlessCount)
	}
	if fl.lateCrashes > 1 {
		return fmt.Errorf("%d targets crashed under attempts that started after the first crash was known", fl.lateCrashes)
	}
	for i := range harmlessCount {
		for _, tr := range fl.trackers {
			if got := tr.Decide(fl.now, fingerprint(fmt.Sprint(i)), gatewayNames); got.Verdict != ushersuspect.Unrestricted {
				return fmt.Errorf("harmless request %d completed, but its decision is %+v", i, got)
			}
		}
	}
	return nil
}

func (fl *fleet) dispatch(i int) error {
	j := fl.pending[i]
	tracker, scheduler := fl.trackers[j.gateway], fl.trackers[3]
	peers := gatewayNames
	if fl.fault == anyGatewayRetries {
		peers = []string{gatewayNames[j.gateway]}
	}
	decision := tracker.Decide(fl.now, j.fingerprint, peers)
	j.target = fl.choose(targetCount)
	target := fl.target(j.target)
	switch decision.Verdict {
	case ushersuspect.Wait:
		return nil
	case ushersuspect.Redirected:
		fl.pending[i].gateway = slices.Index(gatewayNames, decision.Gateway)
		return nil
	case ushersuspect.Refused:
		if !j.crasher {
			return fmt.Errorf("harmless request %d is refused", j.number)
		}
		fl.pending = slices.Delete(fl.pending, i, i+1)
		fl.sendCrasher()
		return nil
	case ushersuspect.Isolated:
		if fl.fault != noIsolation && !scheduler.CanIsolate(fl.now, j.fingerprint, target) {
			return nil
		}
	}
	fl.pending = slices.Delete(fl.pending, i, i+1)
	j.attempt = fl.idGenerator.NewAttemptID()
	j.late = fl.crashes > 0
	tracker.Start(target, j.attempt, j.fingerprint)
	scheduler.Start(target, j.attempt, j.fingerprint)
	fl.running = append(fl.running, j)
	return nil
}

func (fl *fleet) target(i int) ushersuspect.Target {
	return ushersuspect.Target{Name: fmt.Sprint("t", i), Incarnation: fl.incarnation[i]}
}

// end completes a harmless request, or lets a crasher crash its target.
func (fl *fleet) end(i int) {
	j := fl.running[i]
	if !j.crasher {
		fl.running = slices.Delete(fl.running, i, i+1)
		fl.finished++
		fl.trackers[j.gateway].Finish(fl.now, j.attempt, fl.fault != noClearing)
		fl.trackers[3].Finish(fl.now, j.attempt, fl.fault != noClearing)
		fl.exchange()
		return
	}
	fl.crashes++
	if j.late {
		fl.lateCrashes++
	}
	for _, tr := range fl.trackers {
		tr.TargetCrashed(fl.now, fl.target(j.target))
	}
	fl.incarnation[j.target]++
	var remaining []job
	for _, other := range fl.running {
		switch {
		case other.target != j.target:
			remaining = append(remaining, other)
		case other.crasher:
			fl.sendCrasher()
		default:
			fl.pending = append(fl.pending, other)
		}
	}
	fl.running = remaining
	fl.exchange()
}

// exchange sends the changes of every tracker to all others, twice and in random order.
func (fl *fleet) exchange() {
	if fl.fault == noExchange {
		return
	}
	var data [][]byte
	for _, tr := range fl.trackers {
		message, _ := tr.Changes(fl.now, 0)
		encoded := must(message.Encode())
		data = append(data, encoded, encoded)
	}
	for len(data) > 0 {
		i := fl.choose(len(data))
		message := must(ushersuspect.DecodeMessage(data[i]))
		data = slices.Delete(data, i, i+1)
		for _, tr := range fl.trackers {
			if err := tr.Merge(fl.now, message); err != nil {
				panic(err)
			}
		}
	}
}

func TestCrashersAreStoppedAndHarmlessRequestsCompleted(t *testing.T) {
	useSeed(t)
	rapid.Check(t, func(t *rapid.T) {
		r := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "walk"), 1))
		if err := newFleet(r.IntN, noFault).run(); err != nil {
			t.Fatal(err)
		}
	})
}

func TestSimulationDetectsFaults(t *testing.T) {
	for _, f := range []fault{noFault, idInFingerprint, noExchange, anyGatewayRetries, noIsolation, noClearing} {
		found := 0
		var example error
		for seed := range uint64(faultSeeds) {
			if err := newFleet(rand.New(rand.NewPCG(seed, 3)).IntN, f).run(); err != nil {
				found++
				example = err
			}
		}
		t.Logf("%s: detected with %d of %d seeds, for example: %v", f, found, faultSeeds, example)
		if (found > 0) != (f != noFault) {
			t.Errorf("%s: detected with %d of %d seeds", f, found, faultSeeds)
		}
	}
}

func TestMergeIsCommutativeAndIdempotent(t *testing.T) {
	useSeed(t)
	reports := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) ushersuspect.CrashReport {
		return ushersuspect.CrashReport{
			Fingerprint: fingerprint(fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "request"))),
			Target:      fmt.Sprint("t", rapid.IntRange(0, 2).Draw(t, "target")),
			Age:         time.Duration(rapid.IntRange(0, 20).Draw(t, "age")) * time.Minute,
			Cleared:     rapid.Bool().Draw(t, "cleared"),
		}
	}), 1, 12)
	rapid.Check(t, func(t *rapid.T) {
		list := reports.Draw(t, "reports")
		reordered := append(rapid.Permutation(list).Draw(t, "order"), list[:rapid.IntRange(0, len(list)).Draw(t, "repeated")]...)
		var states [2]map[ushersuspect.CrashReport]bool
		for i, l := range [][]ushersuspect.CrashReport{list, reordered} {
			tr := ushersuspect.New("g", ushersuspect.Limits{})
			for _, s := range l {
				message := ushersuspect.Message{Version: ushersuspect.MessageVersion, CrashReports: []ushersuspect.CrashReport{s}}
				if err := tr.Merge(start, message); err != nil {
					t.Fatal(err)
				}
			}
			states[i] = make(map[ushersuspect.CrashReport]bool)
			message, _ := tr.Changes(start, 0)
			for _, s := range message.CrashReports {
				states[i][s] = true
			}
		}
		if !reflect.DeepEqual(states[0], states[1]) {
			t.Fatalf("in order %v, reordered and repeated %v", states[0], states[1])
		}
	})
}

// crash runs the request with this text on n targets and lets each of them crash.
func crash(tr *ushersuspect.Tracker, now time.Time, text string, n int) {
	for i := range n {
		target := ushersuspect.Target{Name: text, Incarnation: uint64(i)}
		tr.Start(target, usherrequest.AttemptID{Counter: uint64(i)}, fingerprint(text))
		tr.TargetCrashed(now, target)
	}
}

func TestSuspicionExpiresAndIsNotRenewedByLateReports(t *testing.T) {
	var tr, peer ushersuspect.Tracker
	crash(&tr, start, "killer", 2)
	end := start.Add(ushersuspect.DefaultCrashTTL)
	if got := tr.Decide(start, fingerprint("killer"), nil); got.Verdict != ushersuspect.Refused || got.RetryAfter != ushersuspect.DefaultCrashTTL {
		t.Errorf("after two crashes: %+v", got)
	}
	// The peer receives the report late, so its record of the crashes would outlive the original one.
	message, _ := tr.Changes(start, 0)
	if err := peer.Merge(start.Add(time.Second), message); err != nil {
		t.Fatal(err)
	}
	late, _ := peer.Changes(end, 0)
	if len(late.CrashReports) != 2 {
		t.Fatalf("peer reports %d crashes, want 2", len(late.CrashReports))
	}
	if err := tr.Merge(end, late); err != nil {
		t.Fatal(err)
	}
	if got := tr.Decide(end, fingerprint("killer"), nil); got.Verdict != ushersuspect.Unrestricted {
		t.Errorf("after the crash TTL: %+v", got)
	}
	if tr.Decide(end.Add(2*ushersuspect.DefaultCrashTTL), fingerprint("killer"), nil); tr.Len() != 0 {
		t.Errorf("%d requests are still remembered", tr.Len())
	}
}

func TestRecordsAreBoundedAndKeepMostCrashes(t *testing.T) {
	tr := ushersuspect.New("g0", ushersuspect.Limits{MaxRequests: 4})
	crash(tr, start, "killer", 2)
	for i := range 20 {
		crash(tr, start, fmt.Sprint("once-", i), 1)
	}
	if got := tr.Decide(start, fingerprint("killer"), nil); got.Verdict != ushersuspect.Refused || tr.Len() != 4 {
		t.Errorf("decision on the crasher is %+v with %d records", got, tr.Len())
	}
}

func FuzzDecodeMessage(f *testing.F) {
	var tr ushersuspect.Tracker
	crash(&tr, start, "killer", 2)
	message, _ := tr.Changes(start, 0)
	encoded := must(message.Encode())
	for _, seed := range [][]byte{encoded, encoded[:len(encoded)/2], append(slices.Clone(encoded), 0), {}, {0xa0}, {0x9f}, {0xbf, 0xff}} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		message, err := ushersuspect.DecodeMessage(data)
		if err != nil {
			return
		}
		if _, err := message.Encode(); err != nil {
			t.Fatalf("decoded %+v does not encode: %v", message, err)
		}
		if err := ushersuspect.New("g", ushersuspect.Limits{}).Merge(start, message); err != nil {
			t.Fatalf("decoded %+v does not merge: %v", message, err)
		}
	})
}
