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
	epoch           = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	errDown         = errors.New("platform is down")
	dataCentreNames = []string{"kochi", "thrissur", "kozhikode"}
)

type (
	// platform holds the values that operators published. Shards are never removed, because their keys contain their
	// digests.
	platform struct {
		values map[string][]byte
		stale  []byte // index that readers get instead of the current one, if set
		down   bool
	}

	// process is a store and the state that the tests keep about it.
	process struct {
		name, dataCentre string
		store            *usherview.Store
		seed             uint64
		started          time.Time
		pausedUntil      time.Time
		served           bool
		adopted          time.Time
		version          usherconfig.Version
		minStartVersion  usherconfig.Version // lowest version that it may start with
	}

	// event is a message or platform response in transit.
	event struct {
		at  time.Time
		to  *process
		run func(now time.Time) usherview.Effects
	}

	// fleet connects stores by a network that loses, delays, duplicates and reorders messages.
	fleet struct {
		now               time.Time
		random            *rand.Rand
		platform          platform
		tick              time.Duration
		processes         []*process
		byName            map[string]*process
		events            []event
		cutLinks          map[[2]string]bool
		separatedAt       map[[2]string]time.Time // by pair, when the two processes were last separated
		loss              float64
		delay             time.Duration
		platformCalls     []time.Time
		onSend            func(m usherview.Message)
		observe           func(p *process)
		prepare           func(p *process)
		pauseThreshold    time.Duration // 0 for the default
		skipInvariants    bool          // only call observe
		startWithoutPeers bool          // a starting process knows no members and receives no messages
	}
)

func newFleet(seed uint64, count int, prepare func(p *process)) *fleet {
	f := &fleet{
		now: epoch, random: rand.New(rand.NewPCG(seed, 1)), platform: platform{values: map[string][]byte{}},
		tick: tick, byName: map[string]*process{},
		cutLinks: map[[2]string]bool{}, separatedAt: map[[2]string]time.Time{}, delay: 20 * time.Millisecond, prepare: prepare,
	}
	for i := range count {
		p := &process{name: fmt.Sprintf("p%d", i), dataCentre: dataCentreNames[i%len(dataCentreNames)]}
		f.processes, f.byName[p.name] = append(f.processes, p), p
	}
	for _, p := range f.processes {
		f.start(p)
	}
	return f
}

// start gives a process a new, empty store.
func (f *fleet) start(p *process) {
	p.minStartVersion = usherconfig.Version{}
	for _, q := range f.processes {
		if q != p && q.store != nil && q.served && f.connected(p, q) && q.version.Compare(p.minStartVersion) > 0 {
			p.minStartVersion = q.version
		}
	}
	p.seed, p.started, p.served, p.version = f.random.Uint64(), f.now, false, usherconfig.Version{}
	p.store = usherview.New(usherview.Settings{Name: p.name, DataCentre: p.dataCentre, Seed: p.seed, PauseThreshold: f.pauseThreshold})
	if !f.startWithoutPeers {
		p.store.SetMembers(f.members())
	}
	if f.prepare != nil {
		f.prepare(p)
	}
	f.markSeparated(p)
}

func (f *fleet) restartAll() {
	for _, p := range f.processes {
		f.start(p)
	}
}

func (f *fleet) members() []usherview.Member {
	var members []usherview.Member
	for _, p := range f.processes {
		members = append(members, usherview.Member{Name: p.name, DataCentre: p.dataCentre})
	}
	return members
}

func (f *fleet) publish(snapshot usherconfig.Snapshot) {
	for _, value := range usherconfig.Render(snapshot) {
		f.platform.values[value.Key] = value.Data
	}
}

// run advances virtual time by span and returns the first violated invariant.
func (f *fleet) run(span time.Duration) error {
	for end := f.now.Add(span); f.now.Before(end); f.now = f.now.Add(f.tick) {
		f.deliver()
		for _, p := range f.processes {
			if f.now.Before(p.pausedUntil) {
				continue
			}
			if err := f.resume(p); err != nil {
				return err
			}
			f.perform(p, p.store.Tick(f.now))
			if err := f.checkInvariants(p); err != nil {
				return err
			}
		}
	}
	return nil
}

// resume checks a process that was paused before it handles anything else.
func (f *fleet) resume(p *process) error {
	if p.pausedUntil.IsZero() {
		return nil
	}
	p.pausedUntil = time.Time{}
	f.markSeparated(p)
	if state := p.store.State(f.now); state == usherview.Serving {
		return fmt.Errorf("%s is %s right after a pause", p.name, state)
	}
	return nil
}

// checkInvariants checks the invariants that must hold at any time.
func (f *fleet) checkInvariants(p *process) error {
	version := p.store.Version()
	if f.skipInvariants {
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
		if version.Compare(p.minStartVersion) < 0 && f.now.Sub(p.started) < 3*time.Second {
			return fmt.Errorf("%s started with %s, its peers had %s", p.name, version, p.minStartVersion)
		}
	}
	for _, q := range f.processes {
		if q == p || q.version.Compare(version) <= 0 {
			continue
		}
		late := f.now.Sub(q.adopted) > 4*time.Second && f.now.Sub(f.separatedAt[pair(p, q)]) > 4*time.Second
		if late && f.connected(p, q) {
			return fmt.Errorf("%s has %s, %s has had %s for 4s", p.name, version, q.name, q.version)
		}
	}
	if f.observe != nil {
		f.observe(p)
	}
	return nil
}

// connected reports whether two processes are running and the links between them work in both directions.
func (f *fleet) connected(p, q *process) bool {
	return !f.cutLinks[direction(p, q)] && !f.cutLinks[direction(q, p)] && !f.now.Before(p.pausedUntil) && !f.now.Before(q.pausedUntil)
}

// markSeparated records that a process is separated from all others, so that a start of either side need not have heard
// from the other.
func (f *fleet) markSeparated(p *process) {
	for _, q := range f.processes {
		if q != p {
			f.markPairSeparated(p, q)
		}
	}
}

func (f *fleet) markPairSeparated(p, q *process) {
	f.separatedAt[pair(p, q)] = f.now
	if !q.served && q.started != f.now {
		q.minStartVersion = usherconfig.Version{}
	}
	if !p.served && p.started != f.now {
		p.minStartVersion = usherconfig.Version{}
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

// perform sends a store's messages and platform reads over the network.
func (f *fleet) perform(p *process, effects usherview.Effects) {
	for _, m := range effects.Send {
		if f.onSend != nil {
			f.onSend(m)
		}
		f.send(p, m)
	}
	for _, r := range effects.Reads {
		f.platformCalls = append(f.platformCalls, f.now)
		data, err := f.read(r.Key)
		store := p.store
		f.events = append(f.events, event{at: f.deliveryTime(), to: p, run: func(now time.Time) usherview.Effects {
			return store.ReadDone(now, r.ID, data, err)
		}})
	}
}

func (f *fleet) send(p *process, m usherview.Message) {
	q := f.byName[m.To]
	copies := 1
	if f.random.Float64() < f.loss {
		copies = f.random.IntN(2) * 2 // lost or duplicated
	}
	if f.cutLinks[direction(p, q)] || f.startWithoutPeers && !q.served {
		copies = 0
	}
	for range copies {
		f.events = append(f.events, event{at: f.deliveryTime(), to: q, run: func(now time.Time) usherview.Effects {
			return q.store.Receive(now, m) // a message may reach a later incarnation than the intended one
		}})
	}
}

func (f *fleet) deliveryTime() time.Time {
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

// lowestVersion returns the lowest version of all processes, and whether all of them serve this version.
func (f *fleet) lowestVersion() (lowest usherconfig.Version, agreed bool) {
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

// direction returns the key of the link from p to q.
func direction(p, q *process) [2]string {
	return [2]string{p.name, q.name}
}

func pair(p, q *process) [2]string {
	return [2]string{min(p.name, q.name), max(p.name, q.name)}
}

// newSnapshot returns a small snapshot. Different weights give different digests under the same revision.
func newSnapshot(revision uint64, weight int, kochiInService bool) usherconfig.Snapshot {
	snapshot := usherconfig.Snapshot{Revision: revision}.
		WithService(usherconfig.Service{Name: "appraiser", Kind: usherconfig.EngineService})
	for i, dataCentre := range dataCentreNames {
		snapshot = snapshot.
			WithDataCentre(usherconfig.DataCentre{Name: dataCentre, Region: "kerala", InService: kochiInService || i > 0}).
			WithTarget(usherconfig.Target{
				Name: "appraiser-" + dataCentre, Address: netip.MustParseAddrPort(fmt.Sprintf("127.0.0.1:%d", 21001+i)),
				DataCentre: dataCentre, Service: "appraiser", MaxColdConcurrency: 1, MemoryTokens: 60_000, MaxWarmConcurrency: 32,
				InService: true,
			})
	}
	return snapshot.WithWorkspace(usherconfig.Workspace{
		Name: "kochi", RequestsPerSecond: 5, Burst: 10, Weight: weight, KeyHash: usherconfig.HashKey("key"),
	})
}

// invalidSnapshot returns a snapshot that fails validation because its weight is 0.
func invalidSnapshot(revision uint64) usherconfig.Snapshot {
	return newSnapshot(revision, 0, true)
}

func mustRun(t testing.TB, f *fleet, span time.Duration) {
	t.Helper()
	if err := f.run(span); err != nil {
		t.Fatal(err)
	}
}
