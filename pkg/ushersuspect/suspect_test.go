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

	innocents    = 12
	firstKillers = 3
	killerSends  = 10
	targetCount  = 4
)

const (
	noFault    fault = "none"
	idCounts   fault = "the id is part of the fingerprint"
	noSpread   fault = "gateways keep their suspicion to themselves"
	allTry     fault = "every gateway tries a suspect again"
	notApart   fault = "suspects share a target"
	noClearing fault = "finishing clears nothing"
)

var (
	start        = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	gatewayNames = []string{"g0", "g1", "g2"}
)

type (
	// fault takes one mechanism out of the fleet.
	fault string

	// job is a request at a gateway. The killer crashes every target that runs it.
	job struct {
		killer      bool
		number      int
		gateway     int
		fingerprint ushersuspect.Fingerprint
		attempt     usherrequest.AttemptID
		target      int
		late        bool
	}

	// fleet is three gateways and, as the last watch, a scheduler that places what they run.
	fleet struct {
		choose      func(int) int
		fault       fault
		now         time.Time
		watches     []*ushersuspect.Tracker
		incarnation [targetCount]uint64
		minter      usherrequest.IDGenerator
		pending     []job
		running     []job
		sends       int
		finished    int
		deaths      int
		lateDeaths  int
	}
)

// useSeed makes rapid walk as USHER_SEED says. A test calls it, not TestMain, so that the test cache takes note of the variable.
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
	fl := &fleet{choose: choose, fault: f, now: start, minter: usherrequest.IDGenerator{Gateway: "g", Incarnation: 1}}
	for _, name := range append(slices.Clone(gatewayNames), "scheduler") {
		fl.watches = append(fl.watches, ushersuspect.New(name, ushersuspect.Limits{}))
	}
	for i := range innocents {
		fl.pending = append(fl.pending, job{number: i, gateway: choose(3), fingerprint: fingerprint(fmt.Sprint(i))})
	}
	for range firstKillers {
		fl.sendKiller()
	}
	return fl
}

// sendKiller sends the killer, as ever under a new id.
func (fl *fleet) sendKiller() {
	if fl.sends == killerSends {
		return
	}
	fl.sends++
	text := "killer"
	if fl.fault == idCounts {
		text += fmt.Sprint(fl.sends)
	}
	fl.pending = append(fl.pending, job{killer: true, gateway: fl.choose(3), fingerprint: fingerprint(text)})
}

// run works until every innocent request is answered, and returns what is wrong.
func (fl *fleet) run() error {
	for range 3000 {
		fl.now = fl.now.Add(time.Millisecond)
		if fl.finished == innocents && fl.sends == killerSends && len(fl.running) == 0 {
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
	if fl.finished != innocents {
		return fmt.Errorf("%d of %d innocent requests were answered", fl.finished, innocents)
	}
	if fl.lateDeaths > 1 {
		return fmt.Errorf("%d targets died of runs that began after the first death was known", fl.lateDeaths)
	}
	for i := range innocents {
		for _, w := range fl.watches {
			if got := w.Decide(fl.now, fingerprint(fmt.Sprint(i)), gatewayNames); got.Verdict != ushersuspect.Unrestricted {
				return fmt.Errorf("innocent request %d finished and is judged %+v", i, got)
			}
		}
	}
	return nil
}

func (fl *fleet) dispatch(i int) error {
	j := fl.pending[i]
	watch, scheduler := fl.watches[j.gateway], fl.watches[3]
	peers := gatewayNames
	if fl.fault == allTry {
		peers = []string{gatewayNames[j.gateway]}
	}
	judgement := watch.Decide(fl.now, j.fingerprint, peers)
	j.target = fl.choose(targetCount)
	target := fl.target(j.target)
	switch judgement.Verdict {
	case ushersuspect.Wait:
		return nil
	case ushersuspect.Redirected:
		fl.pending[i].gateway = slices.Index(gatewayNames, judgement.Gateway)
		return nil
	case ushersuspect.Refused:
		if !j.killer {
			return fmt.Errorf("innocent request %d is refused", j.number)
		}
		fl.pending = slices.Delete(fl.pending, i, i+1)
		fl.sendKiller()
		return nil
	case ushersuspect.Isolated:
		if fl.fault != notApart && !scheduler.Apart(fl.now, j.fingerprint, target) {
			return nil
		}
	}
	fl.pending = slices.Delete(fl.pending, i, i+1)
	j.attempt = fl.minter.NewAttemptID()
	j.late = fl.deaths > 0
	watch.Start(target, j.attempt, j.fingerprint)
	scheduler.Start(target, j.attempt, j.fingerprint)
	fl.running = append(fl.running, j)
	return nil
}

func (fl *fleet) target(i int) ushersuspect.Target {
	return ushersuspect.Target{Name: fmt.Sprint("t", i), Incarnation: fl.incarnation[i]}
}

// end lets an innocent request finish, or the killer take its target with it.
func (fl *fleet) end(i int) {
	j := fl.running[i]
	if !j.killer {
		fl.running = slices.Delete(fl.running, i, i+1)
		fl.finished++
		fl.watches[j.gateway].Finish(fl.now, j.attempt, fl.fault != noClearing)
		fl.watches[3].Finish(fl.now, j.attempt, fl.fault != noClearing)
		fl.spread()
		return
	}
	fl.deaths++
	if j.late {
		fl.lateDeaths++
	}
	for _, w := range fl.watches {
		w.TargetCrashed(fl.now, fl.target(j.target))
	}
	fl.incarnation[j.target]++
	var alive []job
	for _, other := range fl.running {
		switch {
		case other.target != j.target:
			alive = append(alive, other)
		case other.killer:
			fl.sendKiller()
		default:
			fl.pending = append(fl.pending, other)
		}
	}
	fl.running = alive
	fl.spread()
}

// spread sends every watch's changes to all, in a random order and some of them twice.
func (fl *fleet) spread() {
	if fl.fault == noSpread {
		return
	}
	var data [][]byte
	for _, w := range fl.watches {
		message, _ := w.Changes(fl.now, 0)
		encoded := must(message.Encode())
		data = append(data, encoded, encoded)
	}
	for len(data) > 0 {
		i := fl.choose(len(data))
		message := must(ushersuspect.DecodeMessage(data[i]))
		data = slices.Delete(data, i, i+1)
		for _, w := range fl.watches {
			if err := w.Merge(fl.now, message); err != nil {
				panic(err)
			}
		}
	}
}

func TestKillersAreStoppedAndInnocentsAnswered(t *testing.T) {
	useSeed(t)
	rapid.Check(t, func(t *rapid.T) {
		r := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "walk"), 1))
		if err := newFleet(r.IntN, noFault).run(); err != nil {
			t.Fatal(err)
		}
	})
}

func TestCheckFindsFaults(t *testing.T) {
	for _, f := range []fault{noFault, idCounts, noSpread, allTry, notApart, noClearing} {
		found := 0
		var example error
		for seed := range uint64(faultSeeds) {
			if err := newFleet(rand.New(rand.NewPCG(seed, 3)).IntN, f).run(); err != nil {
				found++
				example = err
			}
		}
		t.Logf("%s: found with %d of %d seeds, such as: %v", f, found, faultSeeds, example)
		if (found > 0) != (f != noFault) {
			t.Errorf("%s: found with %d of %d seeds", f, found, faultSeeds)
		}
	}
}

func TestMergeIsCommutativeAndIdempotent(t *testing.T) {
	useSeed(t)
	sightings := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) ushersuspect.CrashReport {
		return ushersuspect.CrashReport{
			Fingerprint: fingerprint(fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "request"))),
			Target:      fmt.Sprint("t", rapid.IntRange(0, 2).Draw(t, "target")),
			Age:         time.Duration(rapid.IntRange(0, 20).Draw(t, "age")) * time.Minute,
			Cleared:     rapid.Bool().Draw(t, "cleared"),
		}
	}), 1, 12)
	rapid.Check(t, func(t *rapid.T) {
		list := sightings.Draw(t, "sightings")
		again := append(rapid.Permutation(list).Draw(t, "order"), list[:rapid.IntRange(0, len(list)).Draw(t, "repeated")]...)
		var states [2]map[ushersuspect.CrashReport]bool
		for i, l := range [][]ushersuspect.CrashReport{list, again} {
			w := ushersuspect.New("g", ushersuspect.Limits{})
			for _, s := range l {
				message := ushersuspect.Message{Version: ushersuspect.MessageVersion, CrashReports: []ushersuspect.CrashReport{s}}
				if err := w.Merge(start, message); err != nil {
					t.Fatal(err)
				}
			}
			states[i] = make(map[ushersuspect.CrashReport]bool)
			message, _ := w.Changes(start, 0)
			for _, s := range message.CrashReports {
				states[i][s] = true
			}
		}
		if !reflect.DeepEqual(states[0], states[1]) {
			t.Fatalf("in order %v, otherwise %v", states[0], states[1])
		}
	})
}

// crash makes the request called text die with n targets.
func crash(w *ushersuspect.Tracker, now time.Time, text string, n int) {
	for i := range n {
		target := ushersuspect.Target{Name: text, Incarnation: uint64(i)}
		w.Start(target, usherrequest.AttemptID{Counter: uint64(i)}, fingerprint(text))
		w.TargetCrashed(now, target)
	}
}

func TestSuspicionEndsAndIsNotRevived(t *testing.T) {
	var w, peer ushersuspect.Tracker
	crash(&w, start, "killer", 2)
	end := start.Add(ushersuspect.DefaultHold)
	if got := w.Decide(start, fingerprint("killer"), nil); got.Verdict != ushersuspect.Refused || got.RetryAfter != ushersuspect.DefaultHold {
		t.Errorf("after two deaths: %+v", got)
	}
	// The peer hears of it late, so that its suspicion would outlive the first one.
	message, _ := w.Changes(start, 0)
	if err := peer.Merge(start.Add(time.Second), message); err != nil {
		t.Fatal(err)
	}
	late, _ := peer.Changes(end, 0)
	if len(late.CrashReports) != 2 {
		t.Fatalf("peer tells of %d deaths, want 2", len(late.CrashReports))
	}
	if err := w.Merge(end, late); err != nil {
		t.Fatal(err)
	}
	if got := w.Decide(end, fingerprint("killer"), nil); got.Verdict != ushersuspect.Unrestricted {
		t.Errorf("after the hold: %+v", got)
	}
	if w.Decide(end.Add(2*ushersuspect.DefaultHold), fingerprint("killer"), nil); w.Len() != 0 {
		t.Errorf("%d requests are remembered for good", w.Len())
	}
}

func TestRecordsAreBoundedAndKeepTheWorst(t *testing.T) {
	w := ushersuspect.New("g0", ushersuspect.Limits{Records: 4})
	crash(w, start, "killer", 2)
	for i := range 20 {
		crash(w, start, fmt.Sprint("once-", i), 1)
	}
	if got := w.Decide(start, fingerprint("killer"), nil); got.Verdict != ushersuspect.Refused || w.Len() != 4 {
		t.Errorf("killer is judged %+v among %d records", got, w.Len())
	}
}

func FuzzDecodeMessage(f *testing.F) {
	var w ushersuspect.Tracker
	crash(&w, start, "killer", 2)
	message, _ := w.Changes(start, 0)
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
