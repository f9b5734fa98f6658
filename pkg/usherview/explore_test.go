package usherview_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"pgregory.net/rapid"

	"github.com/samphireusher/samphireusher/pkg/usherconfig"
)

const (
	exploredMembers = 4
	mutantScripts   = 400
	healTime        = 10 * time.Second
)

type (
	// disturbance is one thing that happens to the fleet, before it runs for a while.
	disturbance struct {
		Kind   int
		Member int
		Other  int
		Weight int
		Run    time.Duration
	}

	// script is a whole exploration.
	script struct {
		Seed         uint64
		Loss         float64
		Delay        time.Duration
		Disturbances []disturbance
	}

	// mutation takes a mechanism out.
	mutation struct {
		newer      func(a, b usherconfig.Version) bool
		deafStart  bool
		pauseBound time.Duration
		unwatched  bool // only the history is checked
	}

	// reading is the input of an operation of a history.
	reading struct{ client string }

	// history is what clients read.
	history struct {
		fleet      *fleet
		operations []porcupine.Operation
		last       map[uint64]usherconfig.Version // by seed of the incarnation
		session    usherconfig.Version            // what the moving client saw last
		holder     string                         // where it saw it
	}
)

const (
	publishNext = iota
	publishRival
	publishOld
	publishBroken
	platformDown
	platformStale
	platformBack
	cutLink
	healLinks
	pauseMember
	restartMember
	disturbances
)

var scripts = rapid.Custom(func(t *rapid.T) script {
	return script{
		Seed:  rapid.Uint64().Draw(t, "seed"),
		Loss:  rapid.Float64Range(0, 0.3).Draw(t, "loss"),
		Delay: time.Duration(rapid.IntRange(1, 300).Draw(t, "delay")) * time.Millisecond,
		Disturbances: rapid.SliceOfN(rapid.Custom(func(t *rapid.T) disturbance {
			return disturbance{
				Kind:   rapid.IntRange(0, disturbances-1).Draw(t, "kind"),
				Member: rapid.IntRange(0, exploredMembers-1).Draw(t, "member"),
				Other:  rapid.IntRange(0, exploredMembers-1).Draw(t, "other"),
				Weight: rapid.IntRange(1, 1000).Draw(t, "weight"),
				Run:    time.Duration(rapid.IntRange(1, 60).Draw(t, "run")) * 100 * time.Millisecond,
			}
		}), 1, 20).Draw(t, "disturbances"),
	}
})

func TestExploration(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if err := explore(scripts.Draw(t, "script"), mutation{}); err != nil {
			t.Fatal(err)
		}
	})
}

func TestExplorationFindsWhatIsTakenOut(t *testing.T) {
	acceptAny := func(a, b usherconfig.Version) bool { return a != b }
	acceptHigherRevision := func(a, b usherconfig.Version) bool { return a.Revision > b.Revision }
	tests := []struct {
		name string
		mutation
		want string
	}{
		{"lower revisions are accepted", mutation{newer: acceptAny}, "went back"},
		{"lower revisions, history alone", mutation{newer: acceptAny, unwatched: true}, "registers that only rise"},
		{"one revision has one version", mutation{newer: acceptHigherRevision}, "has had"},
		{"pauses are not noticed", mutation{pauseBound: time.Hour}, "woke up"},
		{"a start asks no peers", mutation{deafStart: true}, "its peers had"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			for i := range mutantScripts {
				err := explore(scripts.Example(int(seed)*mutantScripts+i), test.mutation)
				if err != nil && strings.Contains(err.Error(), test.want) {
					t.Logf("script %d: %s", i, err)
					return
				}
			}
			t.Errorf("none of %d scripts shows the fault", mutantScripts)
		})
	}
}

// explore runs a script, then heals everything and checks that all agree.
func explore(s script, m mutation) error {
	f := newFleet(s.Seed, exploredMembers, func(p *process) {
		if m.newer != nil {
			p.store.SetNewer(m.newer)
		}
	})
	f.deafStart, f.unwatched, f.pauseBound = m.deafStart, m.unwatched, m.pauseBound
	f.restartAll()
	f.tick, f.loss, f.delay = 2*tick, s.Loss, s.Delay
	h := &history{fleet: f, last: map[uint64]usherconfig.Version{}}
	f.observe = h.observe
	published := []usherconfig.Snapshot{declare(1, 1, true)}
	f.publish(published[0])
	for _, d := range s.Disturbances {
		published = f.disturb(d, published)
		if err := f.run(d.Run); err != nil {
			return err
		}
	}
	f.loss, f.platform.down, f.platform.stale = 0, false, nil
	clear(f.cut)
	for _, p := range f.processes {
		f.separate(p)
	}
	if err := f.run(healTime); err != nil {
		return err
	}
	highest := f.highest() // of revision 0 if all were restarted while nothing good was published
	if m.unwatched {
		return h.check()
	}
	if lowest, agreed := f.inForce(); !agreed && highest.Revision > 0 {
		return fmt.Errorf("not agreed after %s: lowest %s, highest %s", healTime, lowest, highest)
	}
	last := published[len(published)-1]
	f.publish(last.WithRevision(max(last.Revision, highest.Revision) + 1))
	if err := f.run(5 * time.Second); err != nil {
		return err
	}
	if lowest, agreed := f.inForce(); !agreed || lowest.Revision <= last.Revision {
		return fmt.Errorf("a new revision is not in force after 5s: lowest %s", lowest)
	}
	return h.check()
}

// disturb does one thing to the fleet and returns what has been published.
func (f *fleet) disturb(d disturbance, published []usherconfig.Snapshot) []usherconfig.Snapshot {
	last := published[len(published)-1]
	p, q := f.processes[d.Member], f.processes[d.Other]
	switch d.Kind {
	case publishNext:
		published = append(published, declare(last.Revision+1, d.Weight, d.Weight%2 == 0))
		f.publish(published[len(published)-1])
	case publishRival:
		f.publish(declare(last.Revision, d.Weight, d.Weight%2 == 0))
	case publishOld:
		f.publish(published[d.Weight%len(published)])
	case publishBroken:
		f.publish(broken(last.Revision + 1))
		published = append(published, last.WithRevision(last.Revision+1))
	case platformDown:
		f.platform.down = true
	case platformStale:
		f.platform.stale, _ = values(published[d.Weight%len(published)])
	case platformBack:
		f.platform.down, f.platform.stale = false, nil
	case cutLink:
		if p != q {
			f.cut[way(p, q)] = true
			f.cut[way(q, p)] = f.cut[way(q, p)] || d.Weight%2 == 0 // else one way only
			f.separatePair(p, q)
		}
	case healLinks:
		clear(f.cut)
		for _, p := range f.processes {
			f.separate(p)
		}
	case pauseMember:
		f.separate(p)
		p.pausedUntil = f.now.Add(time.Second + d.Run)
	case restartMember:
		p.pausedUntil = time.Time{}
		f.start(p)
	}
	return published
}

// observe lets a client of p alone read each change of the version, and a client that goes from one process to the next, whose work
// carries the version that it saw last.
func (h *history) observe(p *process) {
	if version := p.store.Version(); version != h.last[p.seed] {
		h.last[p.seed] = version
		h.add(fmt.Sprintf("%s-%d", p.name, p.seed), p)
	}
	if h.fleet.random.IntN(10) > 0 {
		return
	}
	ok, effects := p.store.RequireVersion(h.fleet.now, h.session, h.holder)
	if !ok {
		h.fleet.perform(p, effects)
		return
	}
	h.session, h.holder = p.store.Version(), p.name
	h.add("session", p)
}

func (h *history) add(client string, p *process) {
	at := h.fleet.now.Sub(epoch).Nanoseconds() + int64(len(h.operations))
	h.operations = append(h.operations, porcupine.Operation{
		Input: reading{client}, Output: p.store.Version(), Call: at, Return: at,
	})
}

// check checks that what each client read is a register that only rises.
func (h *history) check() error {
	model := porcupine.Model{
		Partition: partitionByClient,
		Init:      func() any { return usherconfig.Version{} },
		Step: func(state, _, output any) (bool, any) {
			return output.(usherconfig.Version).Compare(state.(usherconfig.Version)) >= 0, output
		},
	}
	if !porcupine.CheckOperations(model, h.operations) {
		return fmt.Errorf("the history of reads is not that of registers that only rise")
	}
	return nil
}

func partitionByClient(operations []porcupine.Operation) [][]porcupine.Operation {
	byClient := map[string][]porcupine.Operation{}
	for _, o := range operations {
		client := o.Input.(reading).client
		byClient[client] = append(byClient[client], o)
	}
	var parts [][]porcupine.Operation
	for _, part := range byClient {
		parts = append(parts, part)
	}
	return parts
}
