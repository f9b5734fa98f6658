package usherproof_test

import (
	"net/netip"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/samphireusher/samphireusher/proof/usherhistory"
	"github.com/samphireusher/samphireusher/standin/usherengine"
	"github.com/samphireusher/samphireusher/standin/usherfleet"
	"github.com/samphireusher/samphireusher/standin/ushermodel"
	"github.com/samphireusher/samphireusher/standin/usherplain"
	"github.com/samphireusher/samphireusher/standin/usherplatform"
)

// promiseCallers is the load of the tests of one promise each.
const promiseCallers = 10

// fleetOfThree has a data centre out of three for each gateway, scheduler, engine and service.
var fleetOfThree = usherfleet.Config{DataCentres: 3, Gateways: 3, Schedulers: 3, Engines: 3, Services: 3}

// prove runs a scenario of failures over a mixed load in virtual time, mends everything and checks the history.
func prove(t *testing.T, config usherfleet.Config, scenario func(f *failures)) {
	t.Helper()
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		seed := number(t, "USHER_SEED", defaultSeed)
		w := newWorld(t, config)
		l := w.startLoad(promiseCallers, seed)
		time.Sleep(3 * time.Second)
		f := newFailures(w, l, seed)
		scenario(f)
		f.heal()
		w.serves(recoveryLimit)
		l.end()
		t.Logf("outcomes %v, late starts out of stalled connections %d", w.history.Outcomes(), w.collect().StalledStarts())
		w.check()
	})
}

// saw fails a test whose scenario showed nothing.
func (w *world) saw(what string, holds bool) {
	w.t.Helper()
	if !holds {
		w.t.Errorf("the scenario shows nothing: no %s", what)
	}
}

// stalled notes that a gateway's connections stood still, so that what it wrote before arrives until a time.
func (f *failures) stalled(h *host, from, until time.Time) {
	f.evidence.StalledConnections = append(f.evidence.StalledConnections, usherhistory.Span{Name: h.daemon.Name(), From: from, Until: until})
}

func (f *failures) gatewayHosts() []*host {
	return f.hostsOf(true)
}

func (f *failures) schedulerHosts() []*host {
	return f.hostsOf(false)
}

func (f *failures) hostsOf(gateway bool) []*host {
	hosts := []*host{}
	for _, h := range f.hosts {
		if h.gateway == gateway {
			hosts = append(hosts, h)
		}
	}
	return hosts
}

func TestTokensOnceInOrderFromOneGeneration(t *testing.T) {
	prove(t, fleetOfThree, func(f *failures) {
		setEngines(f.fleet, usherengine.Faults{Duplicate: true, Cross: true, CutAfterTokens: 9, DelayMS: 1})
		for _, h := range f.gatewayHosts() {
			time.Sleep(2 * time.Second)
			f.killHost(h)
			time.Sleep(time.Second)
			f.start(h)
		}
		resumed := 0
		for _, a := range f.history.Observations() {
			resumed += a.Resumptions
		}
		f.saw("stream that was resumed", resumed > 0)
	})
}

// TestColdTargetsAreNotOverloaded has engines restart cold again and again while the schedulers are split with one that
// hears both sides, are paused beyond their leases and restarted.
func TestColdTargetsAreNotOverloaded(t *testing.T) {
	config := usherfleet.Config{DataCentres: 1, Gateways: 4, Schedulers: 5, Engines: 3, Services: 1}
	prove(t, config, func(f *failures) {
		for i, disturb := range []func(){f.overlap, f.lateWake, f.restartScheduler, f.overlap, f.lateWake, f.restartScheduler} {
			f.fleet.Engines[i%len(f.fleet.Engines)].SetFaults(usherengine.Faults{Die: true, RestartAfterMS: 150})
			disturb()
			f.mend()
			time.Sleep(2 * time.Second)
		}
		peak, deaths := 0, 0
		for _, e := range f.fleet.Engines {
			peak = max(peak, e.Record().PeakRunningCold)
			deaths += len(e.Record().Deaths)
		}
		f.saw("cold engine with all that it bears", peak >= coldBears)
		f.saw("death of an engine", deaths > 0)
	})
}

// overlap lets the last scheduler hear both halves, which do not hear each other.
func (f *failures) overlap() {
	sides := [2][]netip.Addr{}
	for i, h := range f.hosts {
		if i < len(f.hosts)-1 {
			sides[i%2] = append(sides[i%2], addressOf(h.daemon))
		}
	}
	f.logf("split with overlap")
	f.fleet.Network.Partition(sides[0], sides[1])
	time.Sleep(3 * time.Second)
}

// lateWake pauses a scheduler and a gateway for longer than a lease.
func (f *failures) lateWake() {
	hosts := []*host{f.gatewayHosts()[1], f.schedulerHosts()[1]}
	f.logf("%s and %s pause", hosts[0].daemon.Name(), hosts[1].daemon.Name())
	for _, h := range hosts {
		f.fleet.Network.Pause(addressOf(h.daemon))
	}
	time.Sleep(3 * time.Second)
	for _, h := range hosts {
		f.fleet.Network.Resume(addressOf(h.daemon))
	}
}

func (f *failures) restartScheduler() {
	h := f.schedulerHosts()[0]
	f.killHost(h)
	time.Sleep(100 * time.Millisecond)
	f.start(h)
}

// TestDataCentreOut takes a data centre out while a gateway and a scheduler are paused, which wake with an old view.
func TestDataCentreOut(t *testing.T) {
	prove(t, fleetOfThree, func(f *failures) {
		hosts := []*host{f.gatewayHosts()[1], f.schedulerHosts()[1]}
		for _, h := range hosts {
			f.fleet.Network.Pause(addressOf(h.daemon))
		}
		out := time.Now()
		f.setDataCentre("kochi", false)
		time.Sleep(inForce + time.Second)
		for _, h := range hosts {
			f.fleet.Network.Resume(addressOf(h.daemon))
		}
		f.stalled(hosts[0], out, time.Now().Add(time.Second))
		time.Sleep(4 * time.Second)
		f.closed("appraiser-01", out, time.Now())
		f.setDataCentre("kochi", true)
		returned := time.Now()
		time.Sleep(inForce + 4*time.Second)
		f.saw("work before it was out", startedBetween(f.fleet.Engines[0], out.Add(-3*time.Second), out) > 0)
		f.saw("work after its return", startedBetween(f.fleet.Engines[0], returned, time.Now()) > 0)
	})
}

func startedBetween(engine *usherengine.Engine, from, until time.Time) int {
	count := 0
	for _, g := range engine.Record().Generations {
		if at := time.UnixMilli(g.StartedAtMS); at.After(from) && at.Before(until) {
			count++
		}
	}
	return count
}

// TestLeavingTarget has the platform show a target as leaving, which is reclaimed soon after.
func TestLeavingTarget(t *testing.T) {
	prove(t, fleetOfThree, func(f *failures) {
		shown := time.Now()
		f.saw("work before it was leaving", startedBetween(f.fleet.Engines[0], shown.Add(-3*time.Second), shown) > 0)
		f.showLeaving("appraiser-01", "appraiser-02")
		time.Sleep(2 * time.Second)
		f.logf("engine 1 is reclaimed")
		f.fleet.Engines[0].SetFaults(usherengine.Faults{Die: true, RestartAfterMS: 2500})
		time.Sleep(inForce + 2*time.Second)
		f.closed("appraiser-01", shown, time.Now())
		f.closed("appraiser-02", shown, time.Now())
		f.showLeaving()
	})
}

// TestLeavingTargetAfterLateWake has a gateway wake up with old news in its sockets, after the platform showed a target
// as leaving.
func TestLeavingTargetAfterLateWake(t *testing.T) {
	config := usherfleet.Config{DataCentres: 1, Gateways: 3, Schedulers: 3, Engines: 2, Services: 1}
	prove(t, config, func(f *failures) {
		for _, h := range f.gatewayHosts() {
			f.fleet.Network.Pause(addressOf(h.daemon))
			time.Sleep(time.Second)
			shown := time.Now()
			f.showLeaving("appraiser-01")
			time.Sleep(inForce)
			f.fleet.Network.Resume(addressOf(h.daemon))
			f.stalled(h, shown, time.Now().Add(time.Second))
			time.Sleep(4 * time.Second)
			f.closed("appraiser-01", shown, time.Now())
			f.showLeaving()
			time.Sleep(inForce)
		}
	})
}

// TestManyLeavingTargets has the platform show most targets as leaving at once, as when a data centre is reclaimed.
func TestManyLeavingTargets(t *testing.T) {
	config := usherfleet.Config{DataCentres: 1, Gateways: 2, Schedulers: 3, Engines: 30, Services: 1}
	prove(t, config, func(f *failures) {
		leaving := []string{}
		for _, target := range f.fleet.Snapshot().Targets {
			if target.Service == "appraiser" && len(leaving) < 28 {
				leaving = append(leaving, target.Name)
			}
		}
		shown := time.Now()
		f.showLeaving(leaving...)
		time.Sleep(inForce + 4*time.Second)
		for _, name := range leaving {
			f.closed(name, shown, time.Now())
		}
		f.showLeaving()
	})
}

// TestOwnAnswer has targets answer late and under the ids of others.
func TestOwnAnswer(t *testing.T) {
	prove(t, fleetOfThree, func(f *failures) {
		setEngines(f.fleet, usherengine.Faults{Cross: true, DelayMS: 30})
		for _, faults := range []usherplain.Faults{{Cross: true}, {Cross: true, DelayMS: 400}, {DelayMS: 400, FreezeMS: 1000}} {
			for _, s := range f.fleet.Services {
				s.SetFaults(faults)
			}
			time.Sleep(3 * time.Second)
		}
	})
}

// TestNotRunMeansNotRun has targets refuse, die before and after they run, and lose their answers.
func TestNotRunMeansNotRun(t *testing.T) {
	prove(t, fleetOfThree, func(f *failures) {
		for i, faults := range []usherplain.Faults{
			{Refuse: true}, {DieBefore: true, RestartAfterMS: 200}, {DieAfter: true, RestartAfterMS: 200}, {LoseAnswers: true},
			{Die: true, RestartAfterMS: 300}, {DieAfter: true, RestartAfterMS: 200},
		} {
			for j, s := range f.fleet.Services {
				s.SetFaults(faults)
				f.fleet.Engines[j].SetFaults(usherengine.Faults{Refuse: i == 0, Die: (i+j)%3 == 1, RestartAfterMS: 300})
			}
			if faults.Refuse {
				mark := f.load.mark()
				f.caller().Call(f.t.Context(), f.gateways()[0], mark, standing(mark))
			}
			time.Sleep(2 * time.Second)
		}
		f.saw("refusal as not run", f.history.Outcomes()[usherhistory.NotRun] > 0)
		f.saw("unknown outcome", f.history.Outcomes()[usherhistory.Unknown] > 0)
	})
}

// TestAtMostOnce kills and restarts gateways and cuts them apart while callers send again to other ones.
func TestAtMostOnce(t *testing.T) {
	prove(t, fleetOfThree, func(f *failures) {
		for i, h := range f.gatewayHosts() {
			f.fleet.Services[i].SetFaults(usherplain.Faults{LoseAnswers: i == 1, DelayMS: 20})
			f.killHost(h)
			time.Sleep(500 * time.Millisecond)
			f.start(h)
			f.fleet.Network.Block(addressOf(h.daemon), addressOf(f.gatewayHosts()[(i+1)%3].daemon))
			time.Sleep(2 * time.Second)
			f.mend()
		}
		sent := map[string]int{}
		again := 0
		for _, a := range f.history.Observations() {
			if a.AtMostOnce {
				sent[a.Mark]++
				if sent[a.Mark] == 2 {
					again++
				}
			}
		}
		f.saw("allotment that was sent again", again > 0)
	})
}

// TestPlannedStops stops and restarts every host, one after another, and nothing else fails.
func TestPlannedStops(t *testing.T) {
	prove(t, fleetOfThree, func(f *failures) {
		for _, h := range f.hosts {
			f.stopHost(h)
			f.finishStops(true)
			time.Sleep(200 * time.Millisecond)
			f.start(h)
			time.Sleep(1500 * time.Millisecond)
		}
		for _, v := range f.collect().CheckPlannedStops() {
			f.t.Error(v)
		}
	})
}

// TestConfigurationInForce publishes through outages, restarts, one-way cuts and races of operators.
func TestConfigurationInForce(t *testing.T) {
	prove(t, fleetOfThree, func(f *failures) {
		f.publishRule()
		time.Sleep(inForce)
		f.setPlatformFaults(usherplatform.Faults{Stale: true, StaleVersion: 2})
		time.Sleep(inForce)
		f.killHost(f.gatewayHosts()[0])
		f.start(f.gatewayHosts()[0])
		f.setPlatformFaults(usherplatform.Faults{Down: true})
		f.killHost(f.gatewayHosts()[1])
		f.start(f.gatewayHosts()[1])
		time.Sleep(5 * time.Second)
		f.setPlatformFaults(usherplatform.Faults{SlowMS: 100})
		f.fleet.Network.Block(addressOf(f.hosts[0].daemon), addressOf(f.hosts[1].daemon))
		f.fleet.Network.Block(addressOf(f.hosts[2].daemon), addressOf(f.hosts[0].daemon))
		time.Sleep(time.Second)
		f.publishRule()
		time.Sleep(time.Second)
		f.race()
		time.Sleep(inForce + 2*time.Second)
		f.sameRuleEverywhere()
	})
}

// sameRuleEverywhere asks each gateway for a generation and compares the rules that their prompts have.
func (f *failures) sameRuleEverywhere() {
	since := time.Now()
	time.Sleep(2 * time.Second)
	rules := map[string]int{}
	for _, e := range f.fleet.Engines {
		for _, g := range e.Record().Generations {
			if time.UnixMilli(g.StartedAtMS).After(since.Add(time.Second)) {
				rules[g.Prompt[:len("Judge by rule 00")]]++
			}
		}
	}
	if len(rules) != 1 {
		f.t.Errorf("rules in force: %v", rules)
	}
}

// TestCrashingRequests has two requests that crash each target that runs them, at once and sent again at every gateway.
func TestCrashingRequests(t *testing.T) {
	config := fleetOfThree
	config.Engines = 6
	prove(t, config, func(f *failures) {
		setEngines(f.fleet, usherengine.Faults{Poison: true, RestartAfterMS: 300})
		marks := []string{f.load.mark() + "-poison", f.load.mark() + "-poison"}
		for _, mark := range marks {
			f.load.callers.Go(func() {
				for i := range 9 {
					f.caller().Stream(f.t.Context(), f.gateways()[i%3:][:1], mark, appraisal(mark, 50))
					time.Sleep(500 * time.Millisecond)
				}
			})
		}
		time.Sleep(15 * time.Second)
		deaths := map[string]int{}
		total := 0
		for _, e := range f.fleet.Engines {
			for _, d := range e.Record().Deaths {
				if d.Reason == "poison" {
					total++
				}
			}
			for _, g := range e.Record().Generations {
				for _, mark := range marks {
					if strings.Contains(g.Prompt, mark) {
						deaths[mark]++
					}
				}
			}
		}
		f.t.Logf("deaths by poison %d, starts %v", total, deaths)
		f.saw("crash", total > 0)
		if limit := 2 * len(marks); total > limit {
			f.t.Errorf("%d engines died of %d requests, want at most %d", total, len(marks), limit)
		}
	})
}

// TestWarmTargetTurnsCold turns an engine cold under load, without warning, and wants no arrival beyond what a cold engine
// bears once the bound on changes has passed.
func TestWarmTargetTurnsCold(t *testing.T) {
	config := fleetOfThree
	config.Engine.Options = ushermodel.Options{Cold: true, ColdBears: coldBears, ColdFatal: 1000, WarmTokens: 600}
	prove(t, config, func(f *failures) {
		engine := f.fleet.Engines[0]
		f.chilled[0] = true
		before := len(engine.Record().Generations)
		engine.SetFaults(usherengine.Faults{Cold: true})
		chilled := time.Now()
		over, last := 0, time.Duration(0)
		for time.Since(chilled) < inForce+4*time.Second {
			time.Sleep(5 * time.Millisecond)
			seen := engine.Record().Generations
			for ; before < len(seen); before++ {
				if g := seen[before]; g.Cold && g.PeakRunning > coldBears {
					over++
					last = time.UnixMilli(g.StartedAtMS).Sub(chilled)
				}
			}
		}
		f.t.Logf("%d arrivals beyond what a cold engine bears, the last %s after it turned cold", over, last)
		if last > inForce {
			f.t.Errorf("the engine was overloaded %s after it turned cold", last)
		}
	})
}
