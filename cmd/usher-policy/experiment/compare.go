package usherexperiment

import (
	"fmt"
	"runtime"
	"sync"
	"time"

	"github.com/samphireusher/samphireusher/pkg/usheradmit"
)

const (
	maxParallel         = 4
	saturatingLoad      = 1.5  // load that keeps every engine full
	estimatedEngineRate = 2.25 // requests per second of an engine, approximate
	minThroughputShare  = 0.99 // share of the highest throughput among the limits
)

var oracleThroughputs sync.Map // tokens per second by fleet, durations and seed; each is measured once

var limitSweep = []int{16, 20, 24, 28, 32, 36, 40, 48}

// Simulate runs a scenario with one policy. The limit applies to PolicyLeastOutstanding only.
func Simulate(s Scenario, policyName string, limit int, seed uint64, options usheradmit.Options) Result {
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

// WithRate returns the scenario with its Rate set from its Load: the request rate that produces this share of the
// tokens per second that the oracle achieves.
func WithRate(s Scenario, seed uint64) Scenario {
	s.Rate = s.Load * oracleThroughput(s.Engines, s.Warmup, s.Duration, seed) / meanOutput()
	return s
}

// oracleThroughput returns the tokens per second that the oracle achieves on a saturated fleet.
func oracleThroughput(engines int, warmup, duration time.Duration, seed uint64) float64 {
	key := fmt.Sprint(engines, warmup, duration, seed)
	if tokens, known := oracleThroughputs.Load(key); known {
		return tokens.(float64)
	}
	probe := Scenario{Engines: engines, Warmup: warmup, Duration: duration, ReportLag: reportLag}
	probe.Rate = saturatingLoad * estimatedEngineRate * float64(engines)
	tokens := Simulate(probe, PolicyOracle, 0, seed, usheradmit.Options{}).TokensPerSecond
	oracleThroughputs.Store(key, tokens)
	return tokens
}

// Compare runs a scenario whose Rate is set with every policy. The first result is that of PolicyLeastOutstanding at
// the best limit of the sweep.
func Compare(s Scenario, seed uint64, limits []int) []Result {
	if len(limits) == 0 {
		limits = limitSweep
	}
	others := []string{PolicyMeanLength, PolicyUsher, PolicyOracle}
	results := make([]Result, len(limits)+len(others))
	runParallel(len(results), func(i int) {
		if i < len(limits) {
			results[i] = Simulate(s, PolicyLeastOutstanding, limits[i], seed, usheradmit.Options{})
			return
		}
		results[i] = Simulate(s, others[i-len(limits)], 0, seed, usheradmit.Options{})
	})
	best := BestLimit(results[:len(limits)])
	return append([]Result{best}, results[len(limits):]...)
}

// BestLimit returns the run with the fewest preemptions among those whose throughput is at least 99% of the highest.
func BestLimit(results []Result) Result {
	maxThroughput := 0.0
	for _, r := range results {
		maxThroughput = max(maxThroughput, r.TokensPerSecond)
	}
	var best *Result
	for i := range results {
		r := &results[i]
		if r.TokensPerSecond >= minThroughputShare*maxThroughput && (best == nil || r.Preemptions < best.Preemptions) {
			best = r
		}
	}
	return *best
}

func runParallel(count int, run func(int)) {
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
