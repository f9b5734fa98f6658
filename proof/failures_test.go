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
	restartLimit = 10 * time.Second
	stopLimit    = 2 * time.Minute
)

type (
	// failures draws failures from a seed and applies them one after another. What it does belongs to one goroutine.
	failures struct {
		*world
		load   *load
		random *rand.Rand
		hosts  []*host
		// published is when the last change was published; the platform stays whole until it must be in force.
		published time.Time
		platform  usherplatform.Faults
	}

	// host is one daemon and whether it runs.
	host struct {
		daemon  *usherfleet.Daemon
		gateway bool
		// down has the index of its span in the evidence, -1 if it was no gateway's death.
		down     bool
		paused   bool
		stopping chan error
		since    time.Time
	}

	failure struct {
		name   string
		weight int
		apply  func()
	}
)

func newFailures(w *world, l *load, seed uint64) *failures {
	f := &failures{world: w, load: l, random: rand.New(rand.NewPCG(seed, 0)), published: time.Now()}
	for _, d := range w.fleet.Gateways {
		f.hosts = append(f.hosts, &host{daemon: d, gateway: true})
	}
	for _, d := range w.fleet.Schedulers {
		f.hosts = append(f.hosts, &host{daemon: d})
	}
	return f
}

// run applies failures for a time.
func (f *failures) run(length time.Duration) {
	all := []failure{
		{"kill", 3, f.kill}, {"restart", 4, f.restart}, {"engine", 6, f.engine}, {"service", 4, f.service},
		{"cut", 3, f.cut}, {"split", 1, f.split}, {"mend", 2, f.mend}, {"pause", 2, f.pause}, {"platform", 2, f.setPlatform},
		{"publish", 3, f.publishNext}, {"race", 1, f.race}, {"data centre", 1, f.dataCentre}, {"leaving", 1, f.leaving},
		{"stop", 2, f.stop}, {"crash", 1, f.crash},
	}
	total := 0
	for _, each := range all {
		total += each.weight
	}
	for until := time.Now().Add(length); time.Now().Before(until); {
		at := f.random.IntN(total)
		for _, each := range all {
			if at -= each.weight; at < 0 {
				each.apply()
				break
			}
		}
		f.finishStops(false)
		time.Sleep(time.Duration(50+f.random.IntN(1500)) * time.Millisecond)
	}
}

// heal mends everything and starts what is down.
func (f *failures) heal() {
	f.logf("heal")
	f.setPlatformFaults(usherplatform.Faults{})
	setEngines(f.fleet, usherengine.Faults{Poison: true})
	for _, s := range f.fleet.Services {
		s.SetFaults(usherplain.Faults{})
	}
	f.mend()
	f.finishStops(true)
	for _, h := range f.hosts {
		if h.down {
			f.start(h)
		}
		if h.down {
			f.t.Errorf("%s does not start again", h.daemon.Name())
		}
	}
}

func (f *failures) logf(format string, arguments ...any) {
	f.t.Logf("%s %s", time.Now().Format("05.000"), fmt.Sprintf(format, arguments...))
}

// choose returns a host that runs, if enough of its kind do: a majority of the schedulers, two of the gateways.
func (f *failures) choose() *host {
	h := f.hosts[f.random.IntN(len(f.hosts))]
	running, all := 0, 0
	for _, other := range f.hosts {
		if other.gateway == h.gateway {
			all++
			if !other.down && !other.paused && other.stopping == nil {
				running++
			}
		}
	}
	least := 2
	if !h.gateway {
		least = all/2 + 1
	}
	if h.down || h.paused || h.stopping != nil || running <= least {
		return nil
	}
	return h
}

func (f *failures) kill() {
	if h := f.choose(); h != nil {
		f.killHost(h)
	}
}

func (f *failures) killHost(h *host) {
	f.logf("kill %s", h.daemon.Name())
	h.down, h.since = true, time.Now()
	if h.gateway {
		f.evidence.Crashes = append(f.evidence.Crashes, usherhistory.Span{Name: h.daemon.Address(), From: h.since})
	}
	_ = h.daemon.Kill()
}

func (f *failures) restart() {
	for _, h := range f.hosts {
		if h.down && f.random.IntN(2) == 0 {
			f.start(h)
			return
		}
	}
}

func (f *failures) start(h *host) {
	f.logf("restart %s", h.daemon.Name())
	ctx, cancel := context.WithTimeout(f.t.Context(), restartLimit)
	defer cancel()
	if err := f.fleet.Restart(ctx, h.daemon); err != nil {
		f.logf("%s did not start: %v", h.daemon.Name(), err)
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
	for _, spans := range [][]usherhistory.Span{f.evidence.Crashes, f.evidence.PlannedStops} {
		for i := range spans {
			if spans[i].Name == h.daemon.Address() && spans[i].Until.IsZero() {
				spans[i].Until = time.Now()
			}
		}
	}
}

func (f *failures) engine() {
	i := f.random.IntN(len(f.fleet.Engines))
	faults := usherengine.Faults{Poison: true, RestartAfterMS: int64(100 + f.random.IntN(3000))}
	name := ""
	switch f.random.IntN(12) {
	case 0, 1:
		name, faults.Die = "dies", true
	case 2:
		name, faults.FreezeMS = "freezes", int64(100+f.random.IntN(4000))
	case 3:
		name, faults.CutAfterTokens = "cuts", 1+f.random.IntN(40)
	case 4:
		name, faults.Duplicate = "duplicates", true
	case 5:
		name, faults.Cross = "crosses", true
	case 6:
		name, faults.ReportLagMS = "reports late", int64(500+f.random.IntN(3000))
	case 7:
		name, faults.LoseReports = "loses reports", true
	case 8:
		name, faults.Refuse = "refuses", true
	case 9:
		name, faults.DelayMS = "is slow", int64(1+f.random.IntN(100))
	case 10:
		i, name, faults.Cold = 0, "turns cold", true
		f.chilled[0] = true
	default:
		name = "is well"
	}
	f.logf("engine %d %s %+v", i+1, name, faults)
	f.fleet.Engines[i].SetFaults(faults)
}

func (f *failures) service() {
	i := f.random.IntN(len(f.fleet.Services))
	faults := usherplain.Faults{RestartAfterMS: int64(100 + f.random.IntN(2000))}
	switch f.random.IntN(9) {
	case 0:
		faults.DieBefore = true
	case 1:
		faults.DieAfter = true
	case 2:
		faults.LoseAnswers = true
	case 3:
		faults.Cross = true
	case 4:
		faults.Refuse = true
	case 5:
		faults.FreezeMS = int64(100 + f.random.IntN(3000))
	case 6:
		faults.DelayMS = int64(1 + f.random.IntN(500))
	case 7:
		faults.Die = true
	default:
	}
	f.logf("service %d %+v", i+1, faults)
	f.fleet.Services[i].SetFaults(faults)
}

// cut cuts one direction between two daemons.
func (f *failures) cut() {
	a, b := f.hosts[f.random.IntN(len(f.hosts))], f.hosts[f.random.IntN(len(f.hosts))]
	if a == b {
		return
	}
	f.logf("cut %s to %s", a.daemon.Name(), b.daemon.Name())
	f.fleet.Network.Block(addressOf(a.daemon), addressOf(b.daemon))
}

// split parts the daemons in two, but for one that hears both sides.
func (f *failures) split() {
	sides := [2][]netip.Addr{}
	for _, h := range f.hosts {
		side := f.random.IntN(2)
		sides[side] = append(sides[side], addressOf(h.daemon))
	}
	both := f.random.IntN(2)
	f.logf("split %d from %d", len(sides[0]), len(sides[1]))
	if len(sides[both]) > 0 {
		sides[both] = sides[both][1:]
	}
	f.fleet.Network.Partition(sides[0], sides[1])
}

func (f *failures) mend() {
	f.logf("mend")
	f.fleet.Network.Heal()
	for _, h := range f.hosts {
		h.paused = false
	}
}

// pause stops a daemon's traffic for longer than its leases, then lets it go on with its old view and what waited for it.
func (f *failures) pause() {
	h := f.choose()
	if h == nil {
		return
	}
	length := time.Duration(500+f.random.IntN(5000)) * time.Millisecond
	f.logf("pause %s for %s", h.daemon.Name(), length)
	f.fleet.Network.Pause(addressOf(h.daemon))
	time.Sleep(length)
	f.fleet.Network.Resume(addressOf(h.daemon))
}

func (f *failures) setPlatform() {
	if time.Since(f.published) < inForce {
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

func (f *failures) setPlatformFaults(faults usherplatform.Faults) {
	f.logf("platform %+v", faults)
	f.platform = faults
	f.fleet.Platform.SetFaults(faults)
}

// publishable makes the platform whole.
func (f *failures) publishable() {
	if f.platform != (usherplatform.Faults{}) {
		f.setPlatformFaults(usherplatform.Faults{})
	}
	f.published = time.Now()
}

func (f *failures) publishNext() {
	f.publishable()
	f.publishRule()
	f.logf("publish rule %d as revision %d", f.rule, f.fleet.Snapshot().Revision)
}

// race lets two operators publish the same revision with different rules.
func (f *failures) race() {
	f.publishable()
	s := f.fleet.Snapshot()
	f.publishRule()
	time.Sleep(time.Duration(1+f.random.IntN(300)) * time.Millisecond)
	second := s.WithRevision(f.fleet.Snapshot().Revision)
	f.rule++
	for _, name := range []string{"appraisal", "plan", "kept"} {
		template, _ := second.Template(name)
		second = second.WithTemplate(template.WithPrompt(fmt.Sprintf("Judge by rule %d.\n{entry}", f.rule)))
	}
	f.logf("race rules %d and %d as revision %d", f.rule-1, f.rule, second.Revision)
	f.evidence.Publications = append(f.evidence.Publications, usherhistory.Publication{Number: f.rule, At: time.Now()})
	values := []usherplatform.Value{}
	for _, v := range usherconfig.Render(second) {
		values = append(values, usherplatform.Value{Key: v.Key, Body: v.Data})
	}
	if _, err := f.fleet.Platform.Publish(values); err != nil {
		f.t.Error(err)
	}
	f.published = time.Now()
}

// dataCentre takes a data centre out and back, sometimes too quickly for it to show.
func (f *failures) dataCentre() {
	f.publishable()
	name := f.fleet.Snapshot().DataCentres[f.random.IntN(len(f.fleet.Snapshot().DataCentres))].Name
	out := time.Now()
	length := time.Duration(f.random.IntN(8000)) * time.Millisecond
	f.logf("data centre %s out for %s", name, length)
	f.setDataCentre(name, false)
	time.Sleep(length)
	if length > inForce {
		for _, target := range f.fleet.Snapshot().Targets {
			if target.DataCentre == name {
				f.closed(target.Name, out, time.Now())
			}
		}
	}
	f.setDataCentre(name, true)
	f.published = time.Now()
}

// leaving has the platform show a target as leaving for a while.
func (f *failures) leaving() {
	f.publishable()
	target := f.fleet.Snapshot().Targets[f.random.IntN(len(f.fleet.Engines))]
	f.logf("leaving %s", target.Name)
	shown := time.Now()
	f.showLeaving(target.Name)
	time.Sleep(inForce + time.Duration(f.random.IntN(4000))*time.Millisecond)
	f.closed(target.Name, shown, time.Now())
	f.showLeaving()
	f.published = time.Now()
}

// stop begins a planned stop.
func (f *failures) stop() {
	if h := f.choose(); h != nil {
		f.stopHost(h)
	}
}

func (f *failures) stopHost(h *host) {
	f.logf("planned stop of %s", h.daemon.Name())
	h.stopping = make(chan error, 1)
	go func() {
		ctx, cancel := context.WithTimeout(f.t.Context(), stopLimit)
		defer cancel()
		h.stopping <- h.daemon.Stop(ctx)
	}()
	if h.gateway {
		f.evidence.PlannedStops = append(f.evidence.PlannedStops, usherhistory.Span{Name: h.daemon.Address(), From: time.Now()})
	}
}

// finishStops notes the planned stops that have ended, after waiting for them if it is told to.
func (f *failures) finishStops(wait bool) {
	for _, h := range f.hosts {
		if h.stopping == nil || !wait && len(h.stopping) == 0 {
			continue
		}
		if err := <-h.stopping; err != nil {
			f.t.Errorf("planned stop of %s: %v", h.daemon.Name(), err)
		}
		f.logf("%s has stopped", h.daemon.Name())
		h.stopping, h.down = nil, true
	}
}

// crash has a request sent again and again that crashes each engine that runs it, or two of them at once.
func (f *failures) crash() {
	for range 1 + f.random.IntN(2) {
		mark := f.load.mark() + "-poison"
		f.logf("crash %s", mark)
		caller, addresses := f.caller(), f.gateways()
		from := f.random.IntN(len(addresses))
		f.load.callers.Go(func() {
			for i := range 4 {
				caller.Stream(f.t.Context(), addresses[(from+i)%len(addresses):][:1], mark, appraisal(mark, 50))
				time.Sleep(300 * time.Millisecond)
			}
		})
	}
}
