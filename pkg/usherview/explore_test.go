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
	fleetSize          = 4
	scriptsPerMutation = 400
	recoveryTime       = 10 * time.Second
)

type (
	// action is one thing that happens to the fleet, which then runs for a while.
	action struct {
		Kind   int
		Member int
		Other  int
		Weight int
		Run    time.Duration
	}

	// script is the input of one exploration.
	script struct {
		Seed    uint64
		Loss    float64
		Delay   time.Duration
		Actions []action
	}

	// mutation disables a mechanism.
	mutation struct {
		newer             func(a, b usherconfig.Version) bool
		startWithoutPeers bool
		pauseThreshold    time.Duration
		skipInvariants    bool // check the history only
	}

	// readInput is the input of an operation in a history.
	readInput struct{ client string }

	// history records the versions that clients read.
	history struct {
		fleet          *fleet
		operations     []porcupine.Operation
		last           map[uint64]usherconfig.Version // by seed of the incarnation
		sessionVersion usherconfig.Version            // last version seen by the client that moves between processes
		sessionPeer    string                         // process where that client saw it
	}
)

const (
	publishNext = iota
	publishConflicting
	publishOld
	publishBroken
	platformDown
	platformStale
	platformUp
	cutLink
	restoreLinks
	pauseMember
	restartMember
	actionKinds
)

var scriptGenerator = rapid.Custom(func(t *rapid.T) script {
	return script{
		Seed:  rapid.Uint64().Draw(t, "seed"),
		Loss:  rapid.Float64Range(0, 0.3).Draw(t, "loss"),
		Delay: time.Duration(rapid.IntRange(1, 300).Draw(t, "delay")) * time.Millisecond,
		Actions: rapid.SliceOfN(rapid.Custom(func(t *rapid.T) action {
			return action{
				Kind:   rapid.IntRange(0, actionKinds-1).Draw(t, "kind"),
				Member: rapid.IntRange(0, fleetSize-1).Draw(t, "member"),
				Other:  rapid.IntRange(0, fleetSize-1).Draw(t, "other"),
				Weight: rapid.IntRange(1, 1000).Draw(t, "weight"),
				Run:    time.Duration(rapid.IntRange(1, 60).Draw(t, "run")) * 100 * time.Millisecond,
			}
		}), 1, 20).Draw(t, "actions"),
	}
})

func TestExploration(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if err := runScript(scriptGenerator.Draw(t, "script"), mutation{}); err != nil {
			t.Fatal(err)
		}
	})
}

func TestExplorationDetectsDisabledMechanisms(t *testing.T) {
	acceptAny := func(a, b usherconfig.Version) bool { return a != b }
	acceptHigherRevision := func(a, b usherconfig.Version) bool { return a.Revision > b.Revision }
	tests := []struct {
		name string
		mutation
		want string
	}{
		{"lower revisions are accepted", mutation{newer: acceptAny}, "went back"},
		{"lower revisions are accepted, history only", mutation{newer: acceptAny, skipInvariants: true}, "not monotonic"},
		{"versions of one revision are not ordered", mutation{newer: acceptHigherRevision}, "has had"},
		{"pauses are not detected", mutation{pauseThreshold: time.Hour}, "right after a pause"},
		{"a start polls no peers", mutation{startWithoutPeers: true}, "its peers had"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			for i := range scriptsPerMutation {
				err := runScript(scriptGenerator.Example(int(seed)*scriptsPerMutation+i), test.mutation)
				if err != nil && strings.Contains(err.Error(), test.want) {
					t.Logf("script %d: %s", i, err)
					return
				}
			}
			t.Errorf("none of %d scripts detects the mutation", scriptsPerMutation)
		})
	}
}

// runScript runs a script, then restores the platform and all links and checks that all processes converge.
func runScript(s script, m mutation) error {
	f := newFleet(s.Seed, fleetSize, func(p *process) {
		if m.newer != nil {
			p.store.SetNewer(m.newer)
		}
	})
	f.startWithoutPeers, f.skipInvariants, f.pauseThreshold = m.startWithoutPeers, m.skipInvariants, m.pauseThreshold
	f.restartAll()
	f.tick, f.loss, f.delay = 2*tick, s.Loss, s.Delay
	h := &history{fleet: f, last: map[uint64]usherconfig.Version{}}
	f.observe = h.observe
	published := []usherconfig.Snapshot{newSnapshot(1, 1, true)}
	f.publish(published[0])
	for _, d := range s.Actions {
		published = f.apply(d, published)
		if err := f.run(d.Run); err != nil {
			return err
		}
	}
	f.loss, f.platform.down, f.platform.stale = 0, false, nil
	clear(f.cutLinks)
	for _, p := range f.processes {
		f.markSeparated(p)
	}
	if err := f.run(recoveryTime); err != nil {
		return err
	}
	highest := f.highest() // revision 0 if all were restarted while no valid version was published
	if m.skipInvariants {
		return h.check()
	}
	if lowest, agreed := f.lowestVersion(); !agreed && highest.Revision > 0 {
		return fmt.Errorf("not agreed after %s: lowest %s, highest %s", recoveryTime, lowest, highest)
	}
	last := published[len(published)-1]
	f.publish(last.WithRevision(max(last.Revision, highest.Revision) + 1))
	if err := f.run(5 * time.Second); err != nil {
		return err
	}
	if lowest, agreed := f.lowestVersion(); !agreed || lowest.Revision <= last.Revision {
		return fmt.Errorf("a new revision is not in force after 5s: lowest %s", lowest)
	}
	return h.check()
}

// apply performs an action on the fleet and returns the updated list of published snapshots.
func (f *fleet) apply(d action, published []usherconfig.Snapshot) []usherconfig.Snapshot {
	last := published[len(published)-1]
	p, q := f.processes[d.Member], f.processes[d.Other]
	switch d.Kind {
	case publishNext:
		published = append(published, newSnapshot(last.Revision+1, d.Weight, d.Weight%2 == 0))
		f.publish(published[len(published)-1])
	case publishConflicting:
		f.publish(newSnapshot(last.Revision, d.Weight, d.Weight%2 == 0))
	case publishOld:
		f.publish(published[d.Weight%len(published)])
	case publishBroken:
		f.publish(invalidSnapshot(last.Revision + 1))
		published = append(published, last.WithRevision(last.Revision+1))
	case platformDown:
		f.platform.down = true
	case platformStale:
		f.platform.stale, _ = values(published[d.Weight%len(published)])
	case platformUp:
		f.platform.down, f.platform.stale = false, nil
	case cutLink:
		if p != q {
			f.cutLinks[direction(p, q)] = true
			f.cutLinks[direction(q, p)] = f.cutLinks[direction(q, p)] || d.Weight%2 == 0 // otherwise in one direction only
			f.markPairSeparated(p, q)
		}
	case restoreLinks:
		clear(f.cutLinks)
		for _, p := range f.processes {
			f.markSeparated(p)
		}
	case pauseMember:
		f.markSeparated(p)
		p.pausedUntil = f.now.Add(time.Second + d.Run)
	case restartMember:
		p.pausedUntil = time.Time{}
		f.start(p)
	}
	return published
}

// observe records reads of two clients: one that reads every version change of p, and one that moves between the
// processes and whose requests carry the last version that it saw.
func (h *history) observe(p *process) {
	if version := p.store.Version(); version != h.last[p.seed] {
		h.last[p.seed] = version
		h.add(fmt.Sprintf("%s-%d", p.name, p.seed), p)
	}
	if h.fleet.random.IntN(10) > 0 {
		return
	}
	ok, effects := p.store.RequireVersion(h.fleet.now, h.sessionVersion, h.sessionPeer)
	if !ok {
		h.fleet.perform(p, effects)
		return
	}
	h.sessionVersion, h.sessionPeer = p.store.Version(), p.name
	h.add("session", p)
}

func (h *history) add(client string, p *process) {
	at := h.fleet.now.Sub(epoch).Nanoseconds() + int64(len(h.operations))
	h.operations = append(h.operations, porcupine.Operation{
		Input: readInput{client}, Output: p.store.Version(), Call: at, Return: at,
	})
}

// check checks that the versions that each client read never decrease.
func (h *history) check() error {
	model := porcupine.Model{
		Partition: partitionByClient,
		Init:      func() any { return usherconfig.Version{} },
		Step: func(state, _, output any) (bool, any) {
			return output.(usherconfig.Version).Compare(state.(usherconfig.Version)) >= 0, output
		},
	}
	if !porcupine.CheckOperations(model, h.operations) {
		return fmt.Errorf("the history of reads is not monotonic")
	}
	return nil
}

func partitionByClient(operations []porcupine.Operation) [][]porcupine.Operation {
	byClient := map[string][]porcupine.Operation{}
	for _, o := range operations {
		client := o.Input.(readInput).client
		byClient[client] = append(byClient[client], o)
	}
	var parts [][]porcupine.Operation
	for _, part := range byClient {
		parts = append(parts, part)
	}
	return parts
}
