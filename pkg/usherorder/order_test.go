package usherorder_test

import (
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/samphireusher/samphireusher/pkg/usherorder"
)

// fakeEngine obeys orders as the two kinds of engines do, and counts what it was ordered while it ran requests.
type fakeEngine struct {
	checks  bool
	have    usherorder.Observed
	running int
	cut     int
	loads   int
}

func (e *fakeEngine) obey(o usherorder.Order) {
	if e.checks && o.Fence < e.have.Fence {
		return
	}
	e.have.Fence = max(e.have.Fence, o.Fence)
	switch o.Action {
	case usherorder.LoadModel:
		e.have.Model = o.Name
		e.cut += e.running
		e.loads++
	case usherorder.LoadAdapter:
		e.have.Adapters = append(slices.Clone(e.have.Adapters), o.Name)
		e.loads++
	case usherorder.SetRole:
		e.have.Role = o.Name
		e.cut += e.running
	}
}

func desired(name, model string, checks bool) usherorder.Desired {
	return usherorder.Desired{Target: name, Model: model, Adapters: []string{"weave"}, Role: "decode", ChecksFence: checks}
}

func seed(t *testing.T) uint64 {
	t.Helper()
	if n, err := strconv.ParseUint(os.Getenv("USHER_SEED"), 10, 64); err == nil {
		return n
	}
	return 1
}

// TestTwoViewsEndInOneState lets a scheduler with an old revision order beside one with a new revision, with late
// observations and lost orders; every engine ends as the new revision declares, whether it checks numbers or not.
func TestTwoViewsEndInOneState(t *testing.T) {
	for round := range uint64(50) {
		random := rand.New(rand.NewPCG(seed(t), round))
		engines := map[string]*fakeEngine{"a": {checks: true}, "b": {}, "c": {checks: true}, "d": {}}
		now := time.Unix(0, 0)
		var old, current usherorder.Planner
		models := map[*usherorder.Planner]string{&old: "m1", &current: "m2"}
		revisions := map[*usherorder.Planner]uint64{&old: 7, &current: 8}
		for o, model := range models {
			all := []usherorder.Desired{}
			for name, e := range engines {
				all = append(all, desired(name, model, e.checks))
			}
			o.SetDesired(now, revisions[o], all, 1)
		}
		oldUntil := now.Add(time.Minute)
		for range 300 {
			now = now.Add(time.Second)
			for o := range models {
				if o == &old && now.After(oldUntil) {
					continue
				}
				// The old view still believes in its majority for a while; that is what the leases cannot exclude for engines
				// whose orders are on their way.
				step(random, o, engines, now)
			}
		}
		for name, e := range engines {
			if e.have.Model != "m2" || e.have.Role != "decode" || !slices.Contains(e.have.Adapters, "weave") {
				t.Fatalf("round %d: engine %s has %+v", round, name, e.have)
			}
			if e.cut > 0 {
				t.Fatalf("round %d: an order cut off %d requests at %s", round, e.cut, name)
			}
		}
	}
}

func step(random *rand.Rand, o *usherorder.Planner, engines map[string]*fakeEngine, now time.Time) {
	for name, e := range engines {
		if o.Draining(name) {
			e.running = max(e.running-1, 0)
		} else if random.IntN(3) == 0 {
			e.running = random.IntN(4)
		}
		if random.IntN(2) == 0 {
			o.Observe(name, e.have)
		}
	}
	standing := func(name string) usherorder.EngineStatus {
		return usherorder.EngineStatus{Votes: true, Majority: true, Running: engines[name].running}
	}
	for _, order := range o.Due(now, standing) {
		if random.IntN(4) > 0 {
			engines[order.Target].obey(order)
		}
	}
}

func TestWhoMayOrder(t *testing.T) {
	now := time.Unix(0, 0)
	tests := []struct {
		name     string
		checks   bool
		observed uint64
		standing usherorder.EngineStatus
		want     int
	}{
		{"majority", false, 0, usherorder.EngineStatus{Votes: true, Majority: true}, 1},
		{"a vote, engine checks", true, 0, usherorder.EngineStatus{Votes: true}, 1},
		{"a vote, engine does not check", false, 0, usherorder.EngineStatus{Votes: true}, 0},
		{"no vote", true, 0, usherorder.EngineStatus{}, 0},
		{"engine knows a newer number", false, 9, usherorder.EngineStatus{Votes: true, Majority: true}, 0},
		{"requests run", false, 0, usherorder.EngineStatus{Votes: true, Majority: true, Running: 1}, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var o usherorder.Planner
			o.SetDesired(now, 8, []usherorder.Desired{desired("a", "m", test.checks)}, 1)
			o.Observe("a", usherorder.Observed{Fence: test.observed})
			orders := o.Due(now, func(string) usherorder.EngineStatus { return test.standing })
			if len(orders) != test.want {
				t.Fatalf("orders %+v, want %d", orders, test.want)
			}
		})
	}
}

func TestLoadsKeepToTheirRateAndAQuarterAtOnce(t *testing.T) {
	now := time.Unix(0, 0)
	var o usherorder.Planner
	names := []string{"a", "b", "c", "d", "e", "f", "g", "h"}
	all := []usherorder.Desired{}
	engines := map[string]*fakeEngine{}
	for _, name := range names {
		all = append(all, usherorder.Desired{Target: name, Model: "m"})
		engines[name] = &fakeEngine{}
	}
	const perSecond = 0.1
	o.SetDesired(now, 1, all, perSecond)
	loads := 0
	for second := range 120 {
		now = now.Add(time.Second)
		draining := 0
		for name, e := range engines {
			o.Observe(name, e.have)
			if o.Draining(name) {
				draining++
			}
		}
		if draining > 2 {
			t.Fatalf("%d of 8 engines drain at once", draining)
		}
		for _, order := range o.Due(now, func(string) usherorder.EngineStatus { return usherorder.EngineStatus{Votes: true, Majority: true} }) {
			engines[order.Target].obey(order)
			loads++
		}
		if most := perSecond*float64(second+1) + 1; float64(loads) > most+1e-9 {
			t.Fatalf("%d loads in %d s at %v a second", loads, second+1, perSecond)
		}
	}
	if loads != len(names) {
		t.Fatalf("%d loads, want %d", loads, len(names))
	}
}
