package usherproof_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/samphireusher/samphireusher/proof/usherhistory"
	"github.com/samphireusher/samphireusher/standin/usherengine"
	"github.com/samphireusher/samphireusher/standin/usherfleet"
)

const (
	defaultSeed   = 1
	defaultRounds = 3
	roundLength   = 40 * time.Second
	recoveryLimit = 30 * time.Second
	roundCallers  = 12
)

// TestRandomFailures draws failures from a seed, runs them over a mixed load, mends everything, and checks the history
// and that the fleet serves again.
func TestRandomFailures(t *testing.T) {
	seed := number(t, "USHER_SEED", defaultSeed)
	for i := range number(t, "USHER_ROUNDS", defaultRounds) {
		t.Run(fmt.Sprintf("seed=%d", seed+i), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) { testRandomFailures(t, seed+i) })
		})
	}
}

func testRandomFailures(t *testing.T, seed uint64) {
	w := newWorld(t, usherfleet.Config{DataCentres: 3, Gateways: 4, Schedulers: 5, Engines: 4, Services: 3})
	setEngines(w.fleet, usherengine.Faults{Poison: true})
	l := w.startLoad(roundCallers, seed)
	time.Sleep(5 * time.Second)
	f := newFailures(w, l, seed)
	f.run(roundLength)
	f.heal()
	w.serves(recoveryLimit)
	l.end()
	t.Logf("outcomes %v", w.history.Outcomes())
	w.check()
}

// serves waits until each gateway answers each kind of work.
func (w *world) serves(within time.Duration) {
	w.t.Helper()
	caller := w.caller()
	kinds := []func(address, mark string) usherhistory.Observation{
		func(address, mark string) usherhistory.Observation {
			return caller.Stream(w.t.Context(), []string{address}, mark, appraisal(mark, 20))
		},
		func(address, mark string) usherhistory.Observation {
			return caller.Call(w.t.Context(), address, mark, standing(mark))
		},
	}
	healed := time.Now()
	for i, address := range w.gateways() {
		for j, kind := range kinds {
			for n := 0; kind(address, fmt.Sprintf("mark-serves-%d-%d-%d", i, j, n)).Outcome != usherhistory.Completed; n++ {
				if time.Since(healed) > within {
					w.t.Errorf("%s does not serve within %s", address, within)
					return
				}
				time.Sleep(100 * time.Millisecond)
			}
		}
	}
}
