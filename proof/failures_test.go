package usherproof_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/samphireusher/samphireusher/pkg/usherconfig"
	"github.com/samphireusher/samphireusher/proof/usherhistory"
	"github.com/samphireusher/samphireusher/standin/usherengine"
	"github.com/samphireusher/samphireusher/standin/usherfleet"
	"github.com/samphireusher/samphireusher/standin/usherplain"
	"github.com/samphireusher/samphireusher/standin/usherplatform"
)

const (
	restartTimeout = 10 * time.Second
	stopTimeout    = 2 * time.Minute
)

type (
	// faultInjector draws failures from a seed and applies them one after another. It is used by one goroutine only.
	faultInjector struct {
		*testEnv
		load   *load
		random *rand.Rand
		hosts  []*host
		// lastPublish is when the last change was published. The platform gets no fault until propagationLimit has passed
		// since then, so that the change can take effect in time.
		lastPublish time.Time
		platform    usherplatform.Faults
	}

	// host is one daemon and its state.
	host struct {
		daemon  *usherfleet.Daemon
		gateway bool
		down    bool
		paused  bool
		// stopping receives the result of a planned stop in progress; it is nil otherwise.
		stopping chan error
		// killedAt is when the host was last killed.
		killedAt time.Time
	}

	faultAction struct {
		name   string
		weight int
		apply  func()
	}
)

func newFaultInjector(env *testEnv, l *load, seed uint64) *faultInjector {
	f := &faultInjector{testEnv: env, load: l, random: rand.New(rand.NewPCG(seed, 0)), lastPublish: time.Now()}
	for _, d := range env.fleet.Gateways {
		f.hosts = append(f.hosts, &host{daemon: d, gateway: true})
	}
	for _, d := range env.fleet.Schedulers {
		f.hosts = append(f.hosts, &host{daemon: d})
	}
	return f
}

// run applies randomly chosen failures for the given time.
func (f *faultInjector) run(duration time.Duration) {
	actions := []faultAction{
		{"kill", 3, f.killRandom}, {"restart", 4, f.restartRandom},
		{"engine", 6, f.injectEngineFault}, {"service", 4, f.injectServiceFault},
		{"block link", 3, f.blockLink}, {"partition", 1, f.partition}, {"heal network", 2, f.healNetwork},
		{"pause", 2, f.pauseRandom}, {"platform", 2, f.injectPlatformFault},
		{"publish", 3, f.publishNextRule}, {"publish conflicting", 1, f.publishConflicting},
		{"data centre", 1, f.takeOutDataCentre}, {"leaving", 1, f.showTargetLeaving},
		{"stop", 2, f.stopRandom}, {"crash", 1, f.sendCrashingRequests},
	}
	total := 0
	for _, action := range actions {
		total += action.weight
	}
	for until := time.Now().Add(duration); time.Now().Before(until); {
		at := f.random.IntN(total)
		for _, action := range actions {
			if at -= action.weight; at < 0 {
				action.apply()
				break
			}
		}
		f.recordFinishedStops(false)
		time.Sleep(time.Duration(50+f.random.IntN(1500)) * time.Millisecond)
	}
}

// repairAll removes all faults and starts the hosts that are down.
func (f *faultInjector) repairAll() {
	f.logf("repair all")
	f.setPlatformFaults(usherplatform.Faults{})
	setEngines(f.fleet, usherengine.Faults{Poison: true})
	for _, s := range f.fleet.Services {
		s.SetFaults(usherplain.Faults{})
	}
	f.healNetwork()
	f.recordFinishedStops(true)
	for _, h := range f.hosts {
		if h.down {
			f.startHost(h)
		}
		if h.down {
			f.t.Errorf("%s did not restart", h.daemon.Name())
		}
	}
}

func (f *faultInjector) logf(format string, arguments ...any) {
	f.t.Logf("%s %s", time.Now().Format("05.000"), fmt.Sprintf(format, arguments...))
}

// pickHost returns a random running host. It returns nil if the host drawn is not running, or if without it fewer than
// a majority of the schedulers or fewer than two gateways would run.
func (f *faultInjector) pickHost() *host {
	h := f.hosts[f.random.IntN(len(f.hosts))]
	running, total := 0, 0
	for _, other := range f.hosts {
		if other.gateway == h.gateway {
			total++
			if !other.down && !other.paused && other.stopping == nil {
				running++
			}
		}
	}
	minimum := 2
	if !h.gateway {
		minimum = total/2 + 1
	}
	if h.down || h.paused || h.stopping != nil || running <= minimum {
		return nil
	}
	return h
}

func (f *faultInjector) killRandom() {
	if h := f.pickHost(); h != nil {
		f.killHost(h)
	}
}

func (f *faultInjector) killHost(h *host) {
	f.logf("kill %s", h.daemon.Name())
	h.down, h.killedAt = true, time.Now()
	if h.gateway {
		f.recording.Crashes = append(f.recording.Crashes, usherhistory.Span{Name: h.daemon.Address(), From: h.killedAt})
	}
	_ = h.daemon.Kill()
}

func (f *faultInjector) restartRandom() {
	for _, h := range f.hosts {
		if h.down && f.random.IntN(2) == 0 {
			f.startHost(h)
			return
		}
	}
}

func (f *faultInjector) startHost(h *host) {
	f.logf("restart %s", h.daemon.Name())
	ctx, cancel := context.WithTimeout(f.t.Context(), restartTimeout)
	defer cancel()
	if err := f.fleet.Restart(ctx, h.daemon); err != nil {
		f.logf("restart of %s failed: %v", h.daemon.Name(), err)
		return
	}
	for _, list := range [][]*usherfleet.Daemon{f.fleet.Gateways, f.fleet.Schedulers} {
		for _, d := range list {
			if d.Name() == h.daemon.Name() {
				h.daemon = d
			}
		}
	}
	h.down = false
	for _, spans := range [][]usherhistory.Span{f.recording.Crashes, f.recording.PlannedStops} {
		for i := range spans {
			if spans[i].Name == h.daemon.Address() && spans[i].Until.IsZero() {
				spans[i].Until = time.Now()
			}
		}
	}
}

func (f *faultInjector) injectEngineFault() {
	i := f.random.IntN(len(f.fleet.Engines))
	faults := usherengine.Faults{Poison: true, RestartAfterMS: int64(100 + f.random.IntN(3000))}
	name := ""
	switch f.random.IntN(12) {
	case 0, 1:
		name, faults.Crash = "crashes", true
	case 2:
		name, faults.FreezeMS = "freezes", int64(100+f.random.IntN(4000))
	case 3:
		name, faults.CutAfterTokens = "cuts streams", 1+f.random.IntN(40)
	case 4:
		name, faults.Duplicate = "duplicates tokens", true
	case 5:
		name, faults.Crosstalk = "sends tokens of other generations", true
	case 6:
		name, faults.ReportLagMS = "reports late", int64(500+f.random.IntN(3000))
	case 7:
		name, faults.LoseReports = "loses reports", true
	case 8:
		name, faults.Refuse = "refuses generations", true
	case 9:
		name, faults.DelayMS = "is slow", int64(1+f.random.IntN(100))
	case 10:
		i, name, faults.Cold = 0, "turns cold", true
		f.turnedCold[0] = true
	default:
		name = "has no fault"
	}
	f.logf("engine %d %s %+v", i+1, name, faults)
	f.fleet.Engines[i].SetFaults(faults)
}

func (f *faultInjector) injectServiceFault() {
	i := f.random.IntN(len(f.fleet.Services))
	faults := usherplain.Faults{RestartAfterMS: int64(100 + f.random.IntN(2000))}
	switch f.random.IntN(9) {
	case 0:
		faults.CrashBefore = true
	case 1:
		faults.CrashAfter = true
	case 2:
		faults.LoseAnswers = true
	case 3:
		faults.Crosstalk = true
	case 4:
		faults.Refuse = true
	case 5:
		faults.FreezeMS = int64(100 + f.random.IntN(3000))
	case 6:
		faults.DelayMS = int64(1 + f.random.IntN(500))
	case 7:
		faults.Crash = true
	default:
	}
	f.logf("service %d %+v", i+1, faults)
	f.fleet.Services[i].SetFaults(faults)
}

// blockLink blocks one direction between two daemons.
func (f *faultInjector) blockLink() {
	a, b := f.hosts[f.random.IntN(len(f.hosts))], f.hosts[f.random.IntN(len(f.hosts))]
	if a == b {
		return
	}
	f.logf("block %s to %s", a.daemon.Name(), b.daemon.Name())
	f.fleet.Network.Block(addressOf(a.daemon), addressOf(b.daemon))
}

// partition splits the daemons into two groups that cannot reach each other, except for one daemon that reaches both.
func (f *faultInjector) partition() {
	sides := [2][]netip.Addr{}
	for _, h := range f.hosts {
		side := f.random.IntN(2)
		sides[side] = append(sides[side], addressOf(h.daemon))
	}
	both := f.random.IntN(2)
	f.logf("partition %d from %d", len(sides[0]), len(sides[1]))
	if len(sides[both]) > 0 {
		sides[both] = sides[both][1:]
	}
	f.fleet.Network.Partition(sides[0], sides[1])
}

func (f *faultInjector) healNetwork() {
	f.logf("heal network")
	f.fleet.Network.Heal()
	for _, h := range f.hosts {
		h.paused = false
	}
}

// pauseRandom pauses a daemon's traffic for 0.5 s to 5.5 s, which may be longer than its leases last, then resumes it
// with its outdated view and the messages queued meanwhile.
func (f *faultInjector) pauseRandom() {
	h := f.pickHost()
	if h == nil {
		return
	}
	duration := time.Duration(500+f.random.IntN(5000)) * time.Millisecond
	f.logf("pause %s for %s", h.daemon.Name(), duration)
	f.fleet.Network.Pause(addressOf(h.daemon))
	time.Sleep(duration)
	f.fleet.Network.Resume(addressOf(h.daemon))
}

func (f *faultInjector) injectPlatformFault() {
	if time.Since(f.lastPublish) < propagationLimit {
		return
	}
	faults := usherplatform.Faults{}
	switch f.random.IntN(4) {
	case 0:
		faults.Down = true
	case 1:
		faults.Stale = true
	case 2:
		faults.SlowMS = int64(1 + f.random.IntN(200))
	default:
	}
	f.setPlatformFaults(faults)
}

func (f *faultInjector) setPlatformFaults(faults usherplatform.Faults) {
	f.logf("platform %+v", faults)
	f.platform = faults
	f.fleet.Platform.SetFaults(faults)
}

// restorePlatform removes the platform's faults before a change is published.
func (f *faultInjector) restorePlatform() {
	if f.platform != (usherplatform.Faults{}) {
		f.setPlatformFaults(usherplatform.Faults{})
	}
	f.lastPublish = time.Now()
}

func (f *faultInjector) publishNextRule() {
	f.restorePlatform()
	f.publishRule()
	f.logf("publish rule %d as revision %d", f.rule, f.fleet.Snapshot().Revision)
}

// publishConflicting publishes the same revision twice with different rules, as two operators might.
func (f *faultInjector) publishConflicting() {
	f.restorePlatform()
	s := f.fleet.Snapshot()
	f.publishRule()
	time.Sleep(time.Duration(1+f.random.IntN(300)) * time.Millisecond)
	second := s.WithRevision(f.fleet.Snapshot().Revision)
	f.rule++
	for _, name := range []string{"appraisal", "plan", "kept"} {
		template, _ := second.Template(name)
		second = second.WithTemplate(template.WithPrompt(fmt.Sprintf("Judge by rule %d.\n{entry}", f.rule)))
	}
	f.logf("publish conflicting rules %d and %d as revision %d", f.rule-1, f.rule, second.Revision)
	f.recording.Publications = append(f.recording.Publications, usherhistory.Publication{Number: f.rule, At: time.Now()})
	values := []usherplatform.Value{}
	for _, v := range usherconfig.Render(second) {
		values = append(values, usherplatform.Value{Key: v.Key, Body: v.Data})
	}
	if _, err := f.fleet.Platform.Publish(values); err != nil {
		f.t.Error(err)
	}
	f.lastPublish = time.Now()
}

// takeOutDataCentre takes a data centre out of service and back, sometimes before the change has taken effect.
func (f *faultInjector) takeOutDataCentre() {
	f.restorePlatform()
	name := f.fleet.Snapshot().DataCentres[f.random.IntN(len(f.fleet.Snapshot().DataCentres))].Name
	out := time.Now()
	duration := time.Duration(f.random.IntN(8000)) * time.Millisecond
	f.logf("data centre %s out of service for %s", name, duration)
	f.setDataCentre(name, false)
	time.Sleep(duration)
	if duration > propagationLimit {
		for _, target := range f.fleet.Snapshot().Targets {
			if target.DataCentre == name {
				f.recordOutOfService(target.Name, out, time.Now())
			}
		}
	}
	f.setDataCentre(name, true)
	f.lastPublish = time.Now()
}

// showTargetLeaving makes the platform list a target as leaving for some seconds.
func (f *faultInjector) showTargetLeaving() {
	f.restorePlatform()
	target := f.fleet.Snapshot().Targets[f.random.IntN(len(f.fleet.Engines))]
	f.logf("platform shows %s as leaving", target.Name)
	shown := time.Now()
	f.showLeaving(target.Name)
	time.Sleep(propagationLimit + time.Duration(f.random.IntN(4000))*time.Millisecond)
	f.recordOutOfService(target.Name, shown, time.Now())
	f.showLeaving()
	f.lastPublish = time.Now()
}

// stopRandom starts the planned stop of a host.
func (f *faultInjector) stopRandom() {
	if h := f.pickHost(); h != nil {
		f.stopHost(h)
	}
}

func (f *faultInjector) stopHost(h *host) {
	f.logf("planned stop of %s", h.daemon.Name())
	h.stopping = make(chan error, 1)
	go func() {
		ctx, cancel := context.WithTimeout(f.t.Context(), stopTimeout)
		defer cancel()
		h.stopping <- h.daemon.Stop(ctx)
	}()
	if h.gateway {
		f.recording.PlannedStops = append(f.recording.PlannedStops, usherhistory.Span{Name: h.daemon.Address(), From: time.Now()})
	}
}

// recordFinishedStops marks the hosts whose planned stop has ended as down. If wait is set, it waits for all stops.
func (f *faultInjector) recordFinishedStops(wait bool) {
	for _, h := range f.hosts {
		if h.stopping == nil || !wait && len(h.stopping) == 0 {
			continue
		}
		if err := <-h.stopping; err != nil {
			f.t.Errorf("planned stop of %s: %v", h.daemon.Name(), err)
		}
		f.logf("%s stopped", h.daemon.Name())
		h.stopping, h.down = nil, true
	}
}

// sendCrashingRequests starts one or two callers. Each sends the same request four times, which crashes any engine that
// runs it.
func (f *faultInjector) sendCrashingRequests() {
	for range 1 + f.random.IntN(2) {
		mark := f.load.newMark() + "-poison"
		f.logf("send crashing request %s", mark)
		caller, addresses := f.caller(), f.gateways()
		from := f.random.IntN(len(addresses))
		f.load.callers.Go(func() {
			for i := range 4 {
				caller.Stream(f.t.Context(), addresses[(from+i)%len(addresses):][:1], mark, appraisalRequest(mark, 50))
				time.Sleep(300 * time.Millisecond)
			}
		})
	}
}
