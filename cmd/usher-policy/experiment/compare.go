package usherexperiment

import (
	"fmt"
	"runtime"
	"sync"
	"time"

	"github.com/samphireusher/samphireusher/pkg/usheradmit"
)

const (
	maxParallel   = 4
	saturation    = 1.5  // load that keeps every engine full
	firstGuess    = 2.25 // requests a second that an engine carries, about
	carriedEnough = 0.99 // of the most tokens that any limit carries
)

var carriedTokens sync.Map // tokens a second by fleet and seed, so that each is measured once

var sweep = []int{16, 20, 24, 28, 32, 36, 40, 48}

// Play runs a scenario with one policy. A limit is that of PolicyLeastOutstanding.
func Play(s Scenario, policyName string, limit int, seed uint64, options usheradmit.Options) Result {
	options.Seed = seed
	newPolicy := func() policy {
		switch policyName {
		case PolicyLeastOutstanding:
			return newBaseline(limit)
		case PolicyMeanLength:
			return newBaseline(0)
		case PolicyOracle:
			options.Admission.HorizonsPerOctave = oracleHorizons
		}
		return usheradmit.New(options)
	}
	if policyName == PolicyOracle {
		s.Schedulers, s.Shared = 1, false
	}
	result := newSimulation(s, policyName, seed, newPolicy).run()
	result.Scenario, result.Policy, result.Seed, result.Limit = s.Name, policyName, seed, limit
	return result
}

// Rated returns the scenario with the rate at which its load is the given share of the tokens that the oracle carries.
func Rated(s Scenario, seed uint64) Scenario {
	s.Rate = s.Load * carried(s.Engines, s.Warmup, s.Duration, seed) / meanOutput()
	return s
}

// carried returns the tokens a second that the oracle carries.
func carried(engines int, warmup, duration time.Duration, seed uint64) float64 {
	key := fmt.Sprint(engines, warmup, duration, seed)
	if tokens, known := carriedTokens.Load(key); known {
		return tokens.(float64)
	}
	probe := Scenario{Engines: engines, Warmup: warmup, Duration: duration, ReportLag: reportLag}
	probe.Rate = saturation * firstGuess * float64(engines)
	tokens := Play(probe, PolicyOracle, 0, seed, usheradmit.Options{}).TokensPerSecond
	carriedTokens.Store(key, tokens)
	return tokens
}

// Compare runs a rated scenario with every policy, the first at the best limit of a sweep.
func Compare(s Scenario, seed uint64, limits []int) []Result {
	if len(limits) == 0 {
		limits = sweep
	}
	others := []string{PolicyMeanLength, PolicyUsher, PolicyOracle}
	results := make([]Result, len(limits)+len(others))
	parallel(len(results), func(i int) {
		if i < len(limits) {
			results[i] = Play(s, PolicyLeastOutstanding, limits[i], seed, usheradmit.Options{})
			return
		}
		results[i] = Play(s, others[i-len(limits)], 0, seed, usheradmit.Options{})
	})
	best := BestLimit(results[:len(limits)])
	return append([]Result{best}, results[len(limits):]...)
}

// BestLimit returns the run with the fewest preemptions among those that carry about as much as the best.
func BestLimit(results []Result) Result {
	most := 0.0
	for _, r := range results {
		most = max(most, r.TokensPerSecond)
	}
	var best *Result
	for i := range results {
		r := &results[i]
		if r.TokensPerSecond >= carriedEnough*most && (best == nil || r.Preemptions < best.Preemptions) {
			best = r
		}
	}
	return *best
}

func parallel(count int, run func(int)) {
	var group sync.WaitGroup
	slots := make(chan struct{}, min(maxParallel, runtime.GOMAXPROCS(0)))
	for i := range count {
		slots <- struct{}{}
		group.Go(func() {
			run(i)
			<-slots
		})
	}
	group.Wait()
}
