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

// scenarioCallers is the number of concurrent callers in the tests with a fixed scenario.
const scenarioCallers = 10

// threeOfEach has three data centres with a gateway, a scheduler, an engine and a service in each.
var threeOfEach = usherfleet.Config{DataCentres: 3, Gateways: 3, Schedulers: 3, Engines: 3, Services: 3}

// runScenario runs a scenario of failures under a mixed load in virtual time, repairs everything, waits until the fleet
// serves again and checks the recording.
func runScenario(t *testing.T, config usherfleet.Config, scenario func(f *faultInjector)) {
	t.Helper()
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		seed := envNumber(t, "USHER_SEED", defaultSeed)
		env := newTestEnv(t, config)
		l := env.startLoad(scenarioCallers, seed)
		time.Sleep(3 * time.Second)
		f := newFaultInjector(env, l, seed)
		scenario(f)
		f.repairAll()
		env.waitServing(recoveryTimeout)
		l.stop()
		t.Logf("outcomes %v, late starts from stalled connections %d", env.history.Outcomes(), env.collect().StalledStarts())
		env.check()
	})
}

// expectObserved fails the test if its scenario did not cause the event that it needs to be meaningful.
func (env *testEnv) expectObserved(event string, observed bool) {
	env.t.Helper()
	if !observed {
		env.t.Errorf("the scenario did not exercise the guarantee: no %s", event)
	}
}

// recordStalledConnections records that a gateway's connections were stalled, so that data which it had written before
// may still arrive until the given time.
func (f *faultInjector) recordStalledConnections(h *host, from, until time.Time) {
	f.recording.StalledConnections = append(f.recording.StalledConnections, usherhistory.Span{
		Name: h.daemon.Name(), From: from, Until: until,
	})
}

func (f *faultInjector) gatewayHosts() []*host {
	return f.hostsOf(true)
}

func (f *faultInjector) schedulerHosts() []*host {
	return f.hostsOf(false)
}

func (f *faultInjector) hostsOf(gateway bool) []*host {
	hosts := []*host{}
	for _, h := range f.hosts {
		if h.gateway == gateway {
			hosts = append(hosts, h)
		}
	}
	return hosts
}

// TestTokensOnceInOrderFromOneGeneration makes engines duplicate tokens, send tokens of other generations and cut streams
// while gateways are killed. A caller must still receive each token of one generation exactly once and in order.
func TestTokensOnceInOrderFromOneGeneration(t *testing.T) {
	runScenario(t, threeOfEach, func(f *faultInjector) {
		setEngines(f.fleet, usherengine.Faults{Duplicate: true, Crosstalk: true, CutAfterTokens: 9, DelayMS: 1})
		for _, h := range f.gatewayHosts() {
			time.Sleep(2 * time.Second)
			f.killHost(h)
			time.Sleep(time.Second)
			f.startHost(h)
		}
		resumed := 0
		for _, o := range f.history.Observations() {
			resumed += o.Resumptions
		}
		f.expectObserved("resumed stream", resumed > 0)
	})
}

// TestColdTargetsAreNotOverloaded restarts engines cold while the schedulers are partitioned with one that reaches both
// sides, while a scheduler and a gateway are paused for longer than a lease, and while a scheduler is restarted. In each
// case the schedulers might together grant a cold engine more than its capacity.
func TestColdTargetsAreNotOverloaded(t *testing.T) {
	config := usherfleet.Config{DataCentres: 1, Gateways: 4, Schedulers: 5, Engines: 3, Services: 1}
	runScenario(t, config, func(f *faultInjector) {
		for i, inject := range []func(){
			f.partitionWithOverlap, f.pauseBeyondLease, f.restartScheduler,
			f.partitionWithOverlap, f.pauseBeyondLease, f.restartScheduler,
		} {
			f.fleet.Engines[i%len(f.fleet.Engines)].SetFaults(usherengine.Faults{Crash: true, RestartAfterMS: 150})
			inject()
			f.healNetwork()
			time.Sleep(2 * time.Second)
		}
		peak, crashes := 0, 0
		for _, e := range f.fleet.Engines {
			peak = max(peak, e.Record().PeakRunningCold)
			crashes += len(e.Record().Crashes)
		}
		f.expectObserved("cold engine at its full capacity", peak >= coldCapacity)
		f.expectObserved("crash of an engine", crashes > 0)
	})
}

// partitionWithOverlap splits the other hosts into two groups that do not reach each other; the last scheduler reaches
// both.
func (f *faultInjector) partitionWithOverlap() {
	sides := [2][]netip.Addr{}
	for i, h := range f.hosts {
		if i < len(f.hosts)-1 {
			sides[i%2] = append(sides[i%2], addressOf(h.daemon))
		}
	}
	f.logf("partition with overlap")
	f.fleet.Network.Partition(sides[0], sides[1])
	time.Sleep(3 * time.Second)
}

// pauseBeyondLease pauses a scheduler and a gateway for longer than a lease.
func (f *faultInjector) pauseBeyondLease() {
	hosts := []*host{f.gatewayHosts()[1], f.schedulerHosts()[1]}
	f.logf("pause %s and %s", hosts[0].daemon.Name(), hosts[1].daemon.Name())
	for _, h := range hosts {
		f.fleet.Network.Pause(addressOf(h.daemon))
	}
	time.Sleep(3 * time.Second)
	for _, h := range hosts {
		f.fleet.Network.Resume(addressOf(h.daemon))
	}
}

func (f *faultInjector) restartScheduler() {
	h := f.schedulerHosts()[0]
	f.killHost(h)
	time.Sleep(100 * time.Millisecond)
	f.startHost(h)
}

// TestDataCentreOutOfService takes a data centre out of service while a gateway and a scheduler are paused. They resume
// with an outdated view and must not start anything there.
func TestDataCentreOutOfService(t *testing.T) {
	runScenario(t, threeOfEach, func(f *faultInjector) {
		hosts := []*host{f.gatewayHosts()[1], f.schedulerHosts()[1]}
		for _, h := range hosts {
			f.fleet.Network.Pause(addressOf(h.daemon))
		}
		out := time.Now()
		f.setDataCentre("kochi", false)
		time.Sleep(propagationLimit + time.Second)
		for _, h := range hosts {
			f.fleet.Network.Resume(addressOf(h.daemon))
		}
		f.recordStalledConnections(hosts[0], out, time.Now().Add(time.Second))
		time.Sleep(4 * time.Second)
		f.recordOutOfService("appraiser-01", out, time.Now())
		f.setDataCentre("kochi", true)
		returned := time.Now()
		time.Sleep(propagationLimit + 4*time.Second)
		f.expectObserved("work before it was out of service", startedBetween(f.fleet.Engines[0], out.Add(-3*time.Second), out) > 0)
		f.expectObserved("work after its return", startedBetween(f.fleet.Engines[0], returned, time.Now()) > 0)
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

// TestLeavingTarget makes the platform list two targets as leaving and reclaims one of them soon after.
func TestLeavingTarget(t *testing.T) {
	runScenario(t, threeOfEach, func(f *faultInjector) {
		shown := time.Now()
		f.expectObserved("work before it was leaving", startedBetween(f.fleet.Engines[0], shown.Add(-3*time.Second), shown) > 0)
		f.showLeaving("appraiser-01", "appraiser-02")
		time.Sleep(2 * time.Second)
		f.logf("reclaim engine 1")
		f.fleet.Engines[0].SetFaults(usherengine.Faults{Crash: true, RestartAfterMS: 2500})
		time.Sleep(propagationLimit + 2*time.Second)
		f.recordOutOfService("appraiser-01", shown, time.Now())
		f.recordOutOfService("appraiser-02", shown, time.Now())
		f.showLeaving()
	})
}

// TestLeavingTargetAfterGatewayPause resumes each gateway in turn with outdated messages in its sockets, after the
// platform has listed a target as leaving.
func TestLeavingTargetAfterGatewayPause(t *testing.T) {
	config := usherfleet.Config{DataCentres: 1, Gateways: 3, Schedulers: 3, Engines: 2, Services: 1}
	runScenario(t, config, func(f *faultInjector) {
		for _, h := range f.gatewayHosts() {
			f.fleet.Network.Pause(addressOf(h.daemon))
			time.Sleep(time.Second)
			shown := time.Now()
			f.showLeaving("appraiser-01")
			time.Sleep(propagationLimit)
			f.fleet.Network.Resume(addressOf(h.daemon))
			f.recordStalledConnections(h, shown, time.Now().Add(time.Second))
			time.Sleep(4 * time.Second)
			f.recordOutOfService("appraiser-01", shown, time.Now())
			f.showLeaving()
			time.Sleep(propagationLimit)
		}
	})
}

// TestManyLeavingTargets makes the platform list most targets as leaving at once, as when a data centre is reclaimed.
func TestManyLeavingTargets(t *testing.T) {
	config := usherfleet.Config{DataCentres: 1, Gateways: 2, Schedulers: 3, Engines: 30, Services: 1}
	runScenario(t, config, func(f *faultInjector) {
		leaving := []string{}
		for _, target := range f.fleet.Snapshot().Targets {
			if target.Service == "appraiser" && len(leaving) < 28 {
				leaving = append(leaving, target.Name)
			}
		}
		shown := time.Now()
		f.showLeaving(leaving...)
		time.Sleep(propagationLimit + 4*time.Second)
		for _, name := range leaving {
			f.recordOutOfService(name, shown, time.Now())
		}
		f.showLeaving()
	})
}

// TestResponsesAreNotMixedUp makes targets respond late and under the IDs of other requests. No caller may receive the
// response to another request.
func TestResponsesAreNotMixedUp(t *testing.T) {
	runScenario(t, threeOfEach, func(f *faultInjector) {
		setEngines(f.fleet, usherengine.Faults{Crosstalk: true, DelayMS: 30})
		for _, faults := range []usherplain.Faults{{Crosstalk: true}, {Crosstalk: true, DelayMS: 400}, {DelayMS: 400, FreezeMS: 1000}} {
			for _, s := range f.fleet.Services {
				s.SetFaults(faults)
			}
			time.Sleep(3 * time.Second)
		}
	})
}

// TestRequestsReportedNotRunDidNotRun makes targets refuse requests, crash before and after running them, and lose their
// responses. A request that is refused as not run must not have run.
func TestRequestsReportedNotRunDidNotRun(t *testing.T) {
	runScenario(t, threeOfEach, func(f *faultInjector) {
		for i, faults := range []usherplain.Faults{
			{Refuse: true}, {CrashBefore: true, RestartAfterMS: 200}, {CrashAfter: true, RestartAfterMS: 200}, {LoseAnswers: true},
			{Crash: true, RestartAfterMS: 300}, {CrashAfter: true, RestartAfterMS: 200},
		} {
			for j, s := range f.fleet.Services {
				s.SetFaults(faults)
				f.fleet.Engines[j].SetFaults(usherengine.Faults{Refuse: i == 0, Crash: (i+j)%3 == 1, RestartAfterMS: 300})
			}
			if faults.Refuse {
				mark := f.load.newMark()
				f.caller().Call(f.t.Context(), f.gateways()[0], mark, standingRequest(mark))
			}
			time.Sleep(2 * time.Second)
		}
		f.expectObserved("refusal with the outcome not run", f.history.Outcomes()[usherhistory.NotRun] > 0)
		f.expectObserved("unknown outcome", f.history.Outcomes()[usherhistory.Unknown] > 0)
	})
}

// TestAtMostOnce kills and restarts gateways and blocks links between them while callers resend requests to other
// gateways.
func TestAtMostOnce(t *testing.T) {
	runScenario(t, threeOfEach, func(f *faultInjector) {
		for i, h := range f.gatewayHosts() {
			f.fleet.Services[i].SetFaults(usherplain.Faults{LoseAnswers: i == 1, DelayMS: 20})
			f.killHost(h)
			time.Sleep(500 * time.Millisecond)
			f.startHost(h)
			f.fleet.Network.Block(addressOf(h.daemon), addressOf(f.gatewayHosts()[(i+1)%3].daemon))
			time.Sleep(2 * time.Second)
			f.healNetwork()
		}
		sent := map[string]int{}
		resent := 0
		for _, o := range f.history.Observations() {
			if o.AtMostOnce {
				sent[o.Mark]++
				if sent[o.Mark] == 2 {
					resent++
				}
			}
		}
		f.expectObserved("resent allotment", resent > 0)
	})
}

// TestPlannedStops stops and restarts every host, one after another, without any other failure. No request in progress
// may be lost.
func TestPlannedStops(t *testing.T) {
	runScenario(t, threeOfEach, func(f *faultInjector) {
		for _, h := range f.hosts {
			f.stopHost(h)
			f.recordFinishedStops(true)
			time.Sleep(200 * time.Millisecond)
			f.startHost(h)
			time.Sleep(1500 * time.Millisecond)
		}
		for _, v := range f.collect().CheckPlannedStops() {
			f.t.Error(v)
		}
	})
}

// TestConfigurationTakesEffect publishes changes during platform outages, gateway restarts, one-way link failures and
// conflicting publications of two operators.
func TestConfigurationTakesEffect(t *testing.T) {
	runScenario(t, threeOfEach, func(f *faultInjector) {
		f.publishRule()
		time.Sleep(propagationLimit)
		f.setPlatformFaults(usherplatform.Faults{Stale: true, StaleVersion: 2})
		time.Sleep(propagationLimit)
		f.killHost(f.gatewayHosts()[0])
		f.startHost(f.gatewayHosts()[0])
		f.setPlatformFaults(usherplatform.Faults{Down: true})
		f.killHost(f.gatewayHosts()[1])
		f.startHost(f.gatewayHosts()[1])
		time.Sleep(5 * time.Second)
		f.setPlatformFaults(usherplatform.Faults{SlowMS: 100})
		f.fleet.Network.Block(addressOf(f.hosts[0].daemon), addressOf(f.hosts[1].daemon))
		f.fleet.Network.Block(addressOf(f.hosts[2].daemon), addressOf(f.hosts[0].daemon))
		time.Sleep(time.Second)
		f.publishRule()
		time.Sleep(time.Second)
		f.publishConflicting()
		time.Sleep(propagationLimit + 2*time.Second)
		f.expectSameRule()
	})
}

// expectSameRule checks that the prompts of all generations which start between 1 s and 2 s from now have the same rule.
func (f *faultInjector) expectSameRule() {
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
		f.t.Errorf("prompts have the rules %v, want exactly one", rules)
	}
}

// TestCrashingRequests sends two requests concurrently that crash any target running them, and resends them to every
// gateway. They may crash at most two targets per request.
func TestCrashingRequests(t *testing.T) {
	config := threeOfEach
	config.Engines = 6
	runScenario(t, config, func(f *faultInjector) {
		setEngines(f.fleet, usherengine.Faults{Poison: true, RestartAfterMS: 300})
		marks := []string{f.load.newMark() + "-poison", f.load.newMark() + "-poison"}
		for _, mark := range marks {
			f.load.callers.Go(func() {
				for i := range 9 {
					f.caller().Stream(f.t.Context(), f.gateways()[i%3:][:1], mark, appraisalRequest(mark, 50))
					time.Sleep(500 * time.Millisecond)
				}
			})
		}
		time.Sleep(15 * time.Second)
		starts := map[string]int{}
		total := 0
		for _, e := range f.fleet.Engines {
			for _, crash := range e.Record().Crashes {
				if crash.Reason == "poison" {
					total++
				}
			}
			for _, g := range e.Record().Generations {
				for _, mark := range marks {
					if strings.Contains(g.Prompt, mark) {
						starts[mark]++
					}
				}
			}
		}
		f.t.Logf("crashes by poison requests %d, starts %v", total, starts)
		f.expectObserved("crash", total > 0)
		if limit := 2 * len(marks); total > limit {
			f.t.Errorf("%d engines crashed due to %d requests, want at most %d", total, len(marks), limit)
		}
	})
}

// TestWarmTargetTurnsCold turns an engine cold under load without prior notice. After propagationLimit, no generation may
// start there beyond the capacity of a cold engine.
func TestWarmTargetTurnsCold(t *testing.T) {
	config := threeOfEach
	config.Engine.Options = ushermodel.Options{Cold: true, ColdCapacity: coldCapacity, ColdCrashThreshold: 1000, WarmTokens: 600}
	runScenario(t, config, func(f *faultInjector) {
		engine := f.fleet.Engines[0]
		f.turnedCold[0] = true
		before := len(engine.Record().Generations)
		engine.SetFaults(usherengine.Faults{Cold: true})
		coldSince := time.Now()
		over, last := 0, time.Duration(0)
		for time.Since(coldSince) < propagationLimit+4*time.Second {
			time.Sleep(5 * time.Millisecond)
			seen := engine.Record().Generations
			for ; before < len(seen); before++ {
				if g := seen[before]; g.Cold && g.PeakRunning > coldCapacity {
					over++
					last = time.UnixMilli(g.StartedAtMS).Sub(coldSince)
				}
			}
		}
		f.t.Logf("%d starts beyond the capacity of a cold engine, the last %s after it turned cold", over, last)
		if last > propagationLimit {
			f.t.Errorf("the engine was overloaded %s after it turned cold", last)
		}
	})
}
