package usherview_test

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/samphireusher/samphireusher/pkg/usherconfig"
	"github.com/samphireusher/samphireusher/pkg/usherview"
)

const tick = 50 * time.Millisecond

var (
	epoch   = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	errDown = errors.New("platform is down")
	places  = []string{"kochi", "thrissur", "kozhikode"}
)

type (
	// platform is what operators published; shards are kept, as their keys hold their digests.
	platform struct {
		values map[string][]byte
		stale  []byte // index that readers see while it is set
		down   bool
	}

	// process is a store and what the outside knows of it.
	process struct {
		name, place string
		store       *usherview.Store
		seed        uint64
		started     time.Time
		pausedUntil time.Time
		served      bool
		adopted     time.Time
		version     usherconfig.Version
		floor       usherconfig.Version // what its start must reach
	}

	// event is a message or an answer of the platform under way.
	event struct {
		at  time.Time
		to  *process
		run func(now time.Time) usherview.Effects
	}

	// fleet joins stores by a network that loses, delays, doubles and reorders.
	fleet struct {
		now        time.Time
		random     *rand.Rand
		platform   platform
		tick       time.Duration
		processes  []*process
		byName     map[string]*process
		events     []event
		cut        map[[2]string]bool
		broken     map[[2]string]time.Time // when two processes were last kept apart
		loss       float64
		delay      time.Duration
		calls      []time.Time
		sent       func(m usherview.Message)
		observe    func(p *process)
		prepare    func(p *process)
		pauseBound time.Duration // 0 for the default
		unwatched  bool          // only observe
		deafStart  bool          // a starting process knows no members and hears none
	}
)

func newFleet(seed uint64, count int, prepare func(p *process)) *fleet {
	f := &fleet{
		now: epoch, random: rand.New(rand.NewPCG(seed, 1)), platform: platform{values: map[string][]byte{}},
		tick: tick, byName: map[string]*process{},
		cut: map[[2]string]bool{}, broken: map[[2]string]time.Time{}, delay: 20 * time.Millisecond, prepare: prepare,
	}
	for i := range count {
		p := &process{name: fmt.Sprintf("p%d", i), place: places[i%len(places)]}
		f.processes, f.byName[p.name] = append(f.processes, p), p
	}
	for _, p := range f.processes {
		f.start(p)
	}
	return f
}

// start gives a process a new store that knows nothing.
func (f *fleet) start(p *process) {
	p.floor = usherconfig.Version{}
	for _, q := range f.processes {
		if q != p && q.store != nil && q.served && f.joined(p, q) && q.version.Compare(p.floor) > 0 {
			p.floor = q.version
		}
	}
	p.seed, p.started, p.served, p.version = f.random.Uint64(), f.now, false, usherconfig.Version{}
	p.store = usherview.New(usherview.Settings{Name: p.name, DataCentre: p.place, Seed: p.seed, PauseBound: f.pauseBound})
	if !f.deafStart {
		p.store.SetMembers(f.members())
	}
	if f.prepare != nil {
		f.prepare(p)
	}
	f.separate(p)
}

func (f *fleet) restartAll() {
	for _, p := range f.processes {
		f.start(p)
	}
}

func (f *fleet) members() []usherview.Member {
	var members []usherview.Member
	for _, p := range f.processes {
		members = append(members, usherview.Member{Name: p.name, DataCentre: p.place})
	}
	return members
}

func (f *fleet) publish(snapshot usherconfig.Snapshot) {
	for _, value := range usherconfig.Render(snapshot) {
		f.platform.values[value.Key] = value.Data
	}
}

// run lets virtual time pass and returns the first broken promise.
func (f *fleet) run(span time.Duration) error {
	for end := f.now.Add(span); f.now.Before(end); f.now = f.now.Add(f.tick) {
		f.deliver()
		for _, p := range f.processes {
			if f.now.Before(p.pausedUntil) {
				continue
			}
			if err := f.wake(p); err != nil {
				return err
			}
			f.perform(p, p.store.Tick(f.now))
			if err := f.watch(p); err != nil {
				return err
			}
		}
	}
	return nil
}

// wake checks a process that was paused before anything else can happen in it.
func (f *fleet) wake(p *process) error {
	if p.pausedUntil.IsZero() {
		return nil
	}
	p.pausedUntil = time.Time{}
	f.separate(p)
	if state := p.store.State(f.now); state == usherview.Serving {
		return fmt.Errorf("%s woke up %s", p.name, state)
	}
	return nil
}

// watch checks the promises that hold at any time.
func (f *fleet) watch(p *process) error {
	version := p.store.Version()
	if f.unwatched {
		if f.observe != nil {
			f.observe(p)
		}
		return nil
	}
	if version.Compare(p.version) < 0 {
		return fmt.Errorf("%s went back from %s to %s", p.name, p.version, version)
	}
	if version != p.version {
		p.version, p.adopted = version, f.now
	}
	if !p.served && p.store.State(f.now) == usherview.Serving {
		p.served = true
		p.store.SetMembers(f.members())
		if version.Compare(p.floor) < 0 && f.now.Sub(p.started) < 3*time.Second {
			return fmt.Errorf("%s started with %s, its peers had %s", p.name, version, p.floor)
		}
	}
	for _, q := range f.processes {
		if q == p || q.version.Compare(version) <= 0 {
			continue
		}
		late := f.now.Sub(q.adopted) > 4*time.Second && f.now.Sub(f.broken[pair(p, q)]) > 4*time.Second
		if late && f.joined(p, q) {
			return fmt.Errorf("%s has %s, %s has had %s for 4s", p.name, version, q.name, q.version)
		}
	}
	if f.observe != nil {
		f.observe(p)
	}
	return nil
}

// joined reports whether two processes run and hear each other.
func (f *fleet) joined(p, q *process) bool {
	return !f.cut[way(p, q)] && !f.cut[way(q, p)] && !f.now.Before(p.pausedUntil) && !f.now.Before(q.pausedUntil)
}

// separate notes that a process was apart from all others, and that no start can count on having heard it.
func (f *fleet) separate(p *process) {
	for _, q := range f.processes {
		if q != p {
			f.separatePair(p, q)
		}
	}
}

func (f *fleet) separatePair(p, q *process) {
	f.broken[pair(p, q)] = f.now
	if !q.served && q.started != f.now {
		q.floor = usherconfig.Version{}
	}
	if !p.served && p.started != f.now {
		p.floor = usherconfig.Version{}
	}
}

func (f *fleet) deliver() {
	due := func(e event) bool { return !e.at.After(f.now) && !f.now.Before(e.to.pausedUntil) }
	var ready []event
	for _, e := range f.events {
		if due(e) {
			ready = append(ready, e)
		}
	}
	f.events = slices.DeleteFunc(f.events, due)
	f.random.Shuffle(len(ready), func(i, j int) { ready[i], ready[j] = ready[j], ready[i] })
	for _, e := range ready {
		f.perform(e.to, e.run(f.now))
	}
}

// perform puts a store's effects on the network.
func (f *fleet) perform(p *process, effects usherview.Effects) {
	for _, m := range effects.Send {
		if f.sent != nil {
			f.sent(m)
		}
		f.send(p, m)
	}
	for _, r := range effects.Reads {
		f.calls = append(f.calls, f.now)
		data, err := f.read(r.Key)
		store := p.store
		f.events = append(f.events, event{at: f.later(), to: p, run: func(now time.Time) usherview.Effects {
			return store.ReadDone(now, r.ID, data, err)
		}})
	}
}

func (f *fleet) send(p *process, m usherview.Message) {
	q := f.byName[m.To]
	copies := 1
	if f.random.Float64() < f.loss {
		copies = f.random.IntN(2) * 2 // lost or doubled
	}
	if f.cut[way(p, q)] || f.deafStart && !q.served {
		copies = 0
	}
	for range copies {
		f.events = append(f.events, event{at: f.later(), to: q, run: func(now time.Time) usherview.Effects {
			return q.store.Receive(now, m) // a message may reach a later incarnation than it was meant for
		}})
	}
}

func (f *fleet) later() time.Time {
	return f.now.Add(time.Duration(f.random.Int64N(int64(f.delay))))
}

func (f *fleet) read(key string) ([]byte, error) {
	if f.platform.down {
		return nil, errDown
	}
	if key == usherconfig.IndexKey && f.platform.stale != nil {
		return f.platform.stale, nil
	}
	data, found := f.platform.values[key]
	if !found {
		return nil, fmt.Errorf("no value for %s", key)
	}
	return data, nil
}

// inForce returns the lowest version of all processes, and whether all serve it alone.
func (f *fleet) inForce() (lowest usherconfig.Version, agreed bool) {
	agreed = true
	lowest = f.processes[0].store.Version()
	for _, p := range f.processes {
		version := p.store.Version()
		agreed = agreed && version == lowest && p.store.State(f.now) == usherview.Serving
		if version.Compare(lowest) < 0 {
			lowest = version
		}
	}
	return lowest, agreed
}

func (f *fleet) highest() usherconfig.Version {
	var highest usherconfig.Version
	for _, p := range f.processes {
		if version := p.store.Version(); version.Compare(highest) > 0 {
			highest = version
		}
	}
	return highest
}

// way names the direction from p to q.
func way(p, q *process) [2]string {
	return [2]string{p.name, q.name}
}

func pair(p, q *process) [2]string {
	return [2]string{min(p.name, q.name), max(p.name, q.name)}
}

// declare returns a small declaration; each weight gives another digest under the same revision.
func declare(revision uint64, weight int, kochiInService bool) usherconfig.Snapshot {
	snapshot := usherconfig.Snapshot{Revision: revision}.
		WithService(usherconfig.Service{Name: "appraiser", Kind: usherconfig.EngineService})
	for i, place := range places {
		snapshot = snapshot.
			WithDataCentre(usherconfig.DataCentre{Name: place, Region: "kerala", InService: kochiInService || i > 0}).
			WithTarget(usherconfig.Target{
				Name: "appraiser-" + place, Address: netip.MustParseAddrPort(fmt.Sprintf("127.0.0.1:%d", 21001+i)),
				DataCentre: place, Service: "appraiser", MaxColdConcurrency: 1, MemoryTokens: 60_000, MaxWarmConcurrency: 32,
				InService: true,
			})
	}
	return snapshot.WithWorkspace(usherconfig.Workspace{
		Name: "kochi", RequestsPerSecond: 5, Burst: 10, Weight: weight, KeyHash: usherconfig.HashKey("key"),
	})
}

// broken returns a declaration that breaks a rule.
func broken(revision uint64) usherconfig.Snapshot {
	return declare(revision, 0, true)
}

func mustRun(t testing.TB, f *fleet, span time.Duration) {
	t.Helper()
	if err := f.run(span); err != nil {
		t.Fatal(err)
	}
}
