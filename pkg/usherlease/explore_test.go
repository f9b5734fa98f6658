package usherlease_test

import (
	"cmp"
	"flag"
	"os"
	"strconv"
	"testing"

	"pgregory.net/rapid"
)

const (
	explorations = 24
	mutantRuns   = 100 // maximum; runs stop at the first violation
)

// setting returns a number from the environment, or fallback if it is not set: USHER_SEED is the seed, USHER_RUNS the
// number of runs.
func setting(t testing.TB, name string, fallback int) int {
	t.Helper()
	value := os.Getenv(name)
	if value == "" {
		return fallback
	}
	n, err := strconv.Atoi(value)
	if err != nil {
		t.Fatalf("%s: %v", name, err)
	}
	return n
}

func seed(t testing.TB) int {
	return setting(t, "USHER_SEED", 1)
}

func setRapid(t *testing.T) {
	t.Helper()
	for name, value := range map[string]string{
		"rapid.seed": strconv.Itoa(seed(t)), "rapid.checks": strconv.Itoa(setting(t, "USHER_RUNS", explorations)), "rapid.nofailfile": "true",
	} {
		if err := flag.Set(name, value); err != nil {
			t.Fatal(err)
		}
	}
}

// TestColdTargetIsNeverOverloaded runs schedulers, gateways and targets under random message loss, delays, partitions,
// pauses, restarts and changes of the member list. More requests must never run on a cold target than its capacity.
func TestColdTargetIsNeverOverloaded(t *testing.T) {
	setRapid(t)
	granted, runs := 0, 0
	rapid.Check(t, func(rt *rapid.T) {
		sim := run(plans().Draw(rt, "plan"), disabled{})
		if sim.overloaded || sim.overshared || sim.doubleVote {
			rt.Fatalf("target overloaded: %v, shares exceed capacity: %v, vote counted twice: %v", sim.overloaded, sim.overshared, sim.doubleVote)
		}
		granted += sim.granted
		runs++
	})
	t.Logf("%d requests ran in %d runs", granted, runs)
}

// TestDisabledMechanismsAreDetected disables each safety mechanism in turn and expects a violation, which shows that the
// mechanism is needed and that TestColdTargetIsNeverOverloaded would detect its absence.
func TestDisabledMechanismsAreDetected(t *testing.T) {
	for name, off := range map[string]disabled{
		"margin for clock rate":             {margin: true},
		"lease counted from sending":        {sentTime: true},
		"abstention after restart":          {abstention: true},
		"report requested after takeover":   {evidence: true},
		"validity counted from the request": {validity: true},
		"both lists until settled":          {settling: true},
		"minority in contact with majority": {contact: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			overloaded, overshared, doubleVotes, runs := 0, 0, 0, 0
			limit := setting(t, "USHER_RUNS", 0)
			for i := range cmp.Or(limit, mutantRuns) {
				if limit == 0 && overloaded+overshared+doubleVotes > 0 {
					break
				}
				runs++
				r := run(plans().Example(seed(t)*1000+i), off)
				overloaded += count(r.overloaded)
				overshared += count(r.overshared)
				doubleVotes += count(r.doubleVote)
			}
			t.Logf(name+": of %d runs %d overloaded a target, %d shared out more than its capacity, %d counted a vote twice", runs, overloaded, overshared, doubleVotes)
			if overloaded+overshared+doubleVotes == 0 {
				t.Fatal("no violation was detected")
			}
		})
	}
}

func count(violated bool) int {
	if violated {
		return 1
	}
	return 0
}
