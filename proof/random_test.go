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
	defaultSeed     = 1
	defaultRounds   = 3
	roundLength     = 40 * time.Second
	recoveryTimeout = 30 * time.Second
	roundCallers    = 12
)

// TestRandomFailures injects failures drawn from a seed under a mixed load and repairs everything. It then checks that
// the fleet serves again and that no guarantee was violated.
func TestRandomFailures(t *testing.T) {
	seed := envNumber(t, "USHER_SEED", defaultSeed)
	for i := range envNumber(t, "USHER_ROUNDS", defaultRounds) {
		t.Run(fmt.Sprintf("seed=%d", seed+i), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) { testRandomFailures(t, seed+i) })
		})
	}
}

func testRandomFailures(t *testing.T, seed uint64) {
	env := newTestEnv(t, usherfleet.Config{DataCentres: 3, Gateways: 4, Schedulers: 5, Engines: 4, Services: 3})
	setEngines(env.fleet, usherengine.Faults{Poison: true})
	l := env.startLoad(roundCallers, seed)
	time.Sleep(5 * time.Second)
	f := newFaultInjector(env, l, seed)
	f.run(roundLength)
	f.repairAll()
	env.waitServing(recoveryTimeout)
	l.stop()
	t.Logf("outcomes %v", env.history.Outcomes())
	env.check()
}

// waitServing waits until each gateway completes a streamed generation and a call of a plain service.
func (env *testEnv) waitServing(timeout time.Duration) {
	env.t.Helper()
	caller := env.caller()
	kinds := []func(address, mark string) usherhistory.Observation{
		func(address, mark string) usherhistory.Observation {
			return caller.Stream(env.t.Context(), []string{address}, mark, appraisalRequest(mark, 20))
		},
		func(address, mark string) usherhistory.Observation {
			return caller.Call(env.t.Context(), address, mark, standingRequest(mark))
		},
	}
	repaired := time.Now()
	for i, address := range env.gateways() {
		for j, kind := range kinds {
			for n := 0; kind(address, fmt.Sprintf("mark-serves-%d-%d-%d", i, j, n)).Outcome != usherhistory.Completed; n++ {
				if time.Since(repaired) > timeout {
					env.t.Errorf("%s did not serve within %s", address, timeout)
					return
				}
				time.Sleep(100 * time.Millisecond)
			}
		}
	}
}
