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

// fakeEngine executes orders like an engine that checks the fencing token or one that doesn't. It counts the requests that
// were interrupted by orders.
type fakeEngine struct {
	checksFence bool
	state       usherorder.Observed
	running     int
	interrupted int
	loads       int
}

func (e *fakeEngine) execute(o usherorder.Order) {
	if e.checksFence && o.Fence < e.state.Fence {
		return
	}
	e.state.Fence = max(e.state.Fence, o.Fence)
	switch o.Action {
	case usherorder.LoadModel:
		e.state.Model = o.Name
		e.interrupted += e.running
		e.loads++
	case usherorder.LoadAdapter:
		e.state.Adapters = append(slices.Clone(e.state.Adapters), o.Name)
		e.loads++
	case usherorder.SetRole:
		e.state.Role = o.Name
		e.interrupted += e.running
	}
}

func desired(name, model string, checksFence bool) usherorder.Desired {
	return usherorder.Desired{Target: name, Model: model, Adapters: []string{"weave"}, Role: "decode", ChecksFence: checksFence}
}

func seed(t *testing.T) uint64 {
	t.Helper()
	if n, err := strconv.ParseUint(os.Getenv("USHER_SEED"), 10, 64); err == nil {
		return n
	}
	return 1
}

// A scheduler with an old revision may still give orders beside one with a new revision, while observations are late and
// orders are lost. Every engine must end in the state that the new revision declares, whether it checks fencing tokens or
// not, and no running request may be interrupted.
func TestEnginesConvergeOnTheNewRevision(t *testing.T) {
	for round := range uint64(50) {
		random := rand.New(rand.NewPCG(seed(t), round))
		engines := map[string]*fakeEngine{"a": {checksFence: true}, "b": {}, "c": {checksFence: true}, "d": {}}
		now := time.Unix(0, 0)
		var old, current usherorder.Planner
		models := map[*usherorder.Planner]string{&old: "m1", &current: "m2"}
		revisions := map[*usherorder.Planner]uint64{&old: 7, &current: 8}
		for o, model := range models {
			all := []usherorder.Desired{}
			for name, e := range engines {
				all = append(all, desired(name, model, e.checksFence))
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
				// The old scheduler still believes that it holds a majority for a while. Leases can't exclude that its orders
				// arrive late.
				step(random, o, engines, now)
			}
		}
		for name, e := range engines {
			if e.state.Model != "m2" || e.state.Role != "decode" || !slices.Contains(e.state.Adapters, "weave") {
				t.Fatalf("round %d: engine %s has state %+v, want that of the new revision", round, name, e.state)
			}
			if e.interrupted > 0 {
				t.Fatalf("round %d: orders interrupted %d requests on %s", round, e.interrupted, name)
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
			o.Observe(name, e.state)
		}
	}
	status := func(name string) usherorder.EngineStatus {
		return usherorder.EngineStatus{Votes: true, Majority: true, Running: engines[name].running}
	}
	for _, order := range o.Due(now, status) {
		if random.IntN(4) > 0 {
			engines[order.Target].execute(order)
		}
	}
}

// Only a scheduler that holds enough votes and has a current revision may give orders, and none that would interrupt
// running requests.
func TestOrdersRequireVotesAndACurrentRevision(t *testing.T) {
	now := time.Unix(0, 0)
	tests := []struct {
		name        string
		checksFence bool
		fence       uint64
		status      usherorder.EngineStatus
		want        int
	}{
		{"majority", false, 0, usherorder.EngineStatus{Votes: true, Majority: true}, 1},
		{"a vote, engine checks the token", true, 0, usherorder.EngineStatus{Votes: true}, 1},
		{"a vote, engine does not check the token", false, 0, usherorder.EngineStatus{Votes: true}, 0},
		{"no vote", true, 0, usherorder.EngineStatus{}, 0},
		{"engine has a newer token", false, 9, usherorder.EngineStatus{Votes: true, Majority: true}, 0},
		{"running requests", false, 0, usherorder.EngineStatus{Votes: true, Majority: true, Running: 1}, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var o usherorder.Planner
			o.SetDesired(now, 8, []usherorder.Desired{desired("a", "m", test.checksFence)}, 1)
			o.Observe("a", usherorder.Observed{Fence: test.fence})
			orders := o.Due(now, func(string) usherorder.EngineStatus { return test.status })
			if len(orders) != test.want {
				t.Fatalf("got orders %+v, want %d", orders, test.want)
			}
		})
	}
}

// Loads must stay within their rate, and at most a quarter of the engines may drain at once.
func TestLoadRateAndNumberOfDrainingEnginesAreLimited(t *testing.T) {
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
			o.Observe(name, e.state)
			if o.Draining(name) {
				draining++
			}
		}
		if draining > 2 {
			t.Fatalf("%d of 8 engines drain at once, want at most 2", draining)
		}
		for _, order := range o.Due(now, func(string) usherorder.EngineStatus { return usherorder.EngineStatus{Votes: true, Majority: true} }) {
			engines[order.Target].execute(order)
			loads++
		}
		if limit := perSecond*float64(second+1) + 1; float64(loads) > limit+1e-9 {
			t.Fatalf("%d loads in %d s, want at most %v per second", loads, second+1, perSecond)
		}
	}
	if loads != len(names) {
		t.Fatalf("%d loads, want %d", loads, len(names))
	}
}
