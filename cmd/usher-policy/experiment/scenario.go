package usherexperiment

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	maxOutputTokens      = 16_000
	minPromptTokens      = 300
	maxPromptTokens      = 1_200
	prefixesPer12Engines = 40 // distinct prompt prefixes per twelve engines
	prefixShare          = 0.5
	workspaces           = 10
	dataCentres          = 3
	linkDelay            = 2 * time.Millisecond
	reportInterval       = 500 * time.Millisecond
	reportLag            = 250 * time.Millisecond
	progressInterval     = 500 * time.Millisecond
	adaptationTime       = time.Minute // within which the policy must adapt to a shift of lengths
	lookupsPer12Engines  = 12.0        // lookups per second per twelve engines
)

type (
	// Scenario defines the load, the engines and the events of a run. A field with its zero value has no effect.
	Scenario struct {
		Name            string
		Engines         int
		Warmup          time.Duration // not measured
		Duration        time.Duration // measured
		Load            float64       // of appraisals and checks, as a share of the oracle's throughput
		Rate            float64       // appraisals and checks per second; set from Load by WithRate
		LookupRate      float64       // per second
		Schedulers      int           // that partition the targets; 0 means one
		Shared          bool          // each scheduler uses every target
		ReportLag       time.Duration
		ReportLoss      float64 // share of the reports that are lost
		GreedyWorkspace bool    // the first workspace sends ten times its share
		Reserved        int     // targets reserved for lookups

		BurstStart, BurstEnd        time.Duration // since the start
		LengthShiftAt               time.Duration // outputs are half as long before
		RestartAt                   time.Duration // half of the engines restart and are cold
		OutOfServiceAt, InServiceAt time.Duration // a data centre is taken out of service and put back
	}

	// template is a kind of generation with a log-normal distribution of output lengths.
	template struct {
		name        string
		mu, sigma   float64 // of the logarithm of the length
		share       float64 // of the requests that are not lookups
		interactive bool
	}

	arrival struct {
		template  *template
		workspace int
		prompt    int
		output    int
		prefix    uint64
	}
)

const (
	burstFactor            = 5
	greedyFactor           = 10
	largeFleet             = 100
	firstRegularWorkspace  = 1         // workspaces below are greedy if Scenario.GreedyWorkspace is set
	logLengthBeforeShift   = -math.Ln2 // added to the mean of the log of lengths: halves them
	baseStepSeconds        = 0.0105    // including the occasional prefill of a prompt
	stepSecondsPerSequence = 0.00027   // including its cached tokens
	maxRunningAtStart      = 30.0      // generations per engine
	rampUpTime             = 3 * time.Second
	meanSamples            = 400_000
	minLookupPrompt        = 60
	lookupPromptRange      = 60
)

var (
	appraisal = template{name: "appraisal", mu: 6.3, sigma: 1.0, share: 0.6}
	check     = template{name: "check", mu: 4.6, sigma: 0.9, share: 0.4}
	continued = template{name: "continued"} // generations already running at the start
	lookup    = template{name: "lookup", mu: 2.7, sigma: 0.4, interactive: true}
)

// Scenarios returns the scenarios for a number of engines, in the order of their importance.
func Scenarios(engines int) []Scenario {
	if engines > largeFleet {
		return scenarios(engines, 8*time.Second, 12*time.Second)
	}
	return scenarios(engines, 90*time.Second, 300*time.Second)
}

func scenarios(engines int, warmup, duration time.Duration) []Scenario {
	base := Scenario{Engines: engines, Warmup: warmup, Duration: duration, ReportLag: reportLag}
	end := base.Warmup + base.Duration
	with := func(name string, load float64, change func(*Scenario)) Scenario {
		s := base
		s.Name, s.Load = name, load
		if change != nil {
			change(&s)
		}
		return s
	}
	scale := float64(engines) / 12
	return []Scenario{
		with("steady_60", 0.60, nil),
		with("steady_85", 0.85, nil),
		with("steady_95", 0.95, nil),
		with("two_schedulers", 0.85, func(s *Scenario) { s.Schedulers, s.Shared = 2, true }),
		with("nine_schedulers", 0.85, func(s *Scenario) { s.Schedulers = 9 }),
		with("lookups_idle", 0, func(s *Scenario) { s.LookupRate = lookupsPer12Engines * scale }),
		with("lookups_saturated", 1.2, func(s *Scenario) { s.LookupRate, s.Reserved = lookupsPer12Engines*scale, reservedTargets(engines) }),
		with("greedy", 0.95, func(s *Scenario) { s.GreedyWorkspace = true }),
		with("length_shift", 0.95, func(s *Scenario) { s.LengthShiftAt = max(s.Warmup-adaptationTime, rampUpTime) }),
		with("half_cold", 0.40, func(s *Scenario) { s.RestartAt = s.Warmup + s.Duration/4 }),
		with("late_reports", 0.85, func(s *Scenario) { s.ReportLag, s.ReportLoss, s.Schedulers, s.Shared = 5*time.Second, 0.3, 2, true }),
		with("data_centre_out", 0.60, func(s *Scenario) { s.OutOfServiceAt, s.InServiceAt = s.Warmup+s.Duration/4, end-s.Duration/4 }),
		with("burst", 0.60, func(s *Scenario) {
			s.BurstStart = s.Warmup + s.Duration/4
			s.BurstEnd = s.BurstStart + s.Duration/20
		}),
	}
}

func reservedTargets(engines int) int { return (engines + 11) / 12 }

func (t *template) sampleLength(random *rand.Rand, shift float64) int {
	tokens := int(math.Exp(t.mu + shift + t.sigma*random.NormFloat64()))
	return min(max(tokens, 1), maxOutputTokens)
}

// sampleRequest returns a random request that arrives at a time since the start.
func (s *Scenario) sampleRequest(random *rand.Rand, at time.Duration) arrival {
	a := arrival{template: &check, workspace: random.IntN(workspaces), prompt: minPromptTokens + random.IntN(maxPromptTokens-minPromptTokens)}
	if s.GreedyWorkspace && random.IntN(workspaces+greedyFactor-1) >= workspaces-1 {
		a.workspace = 0
	}
	if random.Float64() < appraisal.share {
		a.template = &appraisal
	}
	shift := 0.0
	if at < s.LengthShiftAt {
		shift = logLengthBeforeShift
	}
	a.output = a.template.sampleLength(random, shift)
	if random.Float64() < prefixShare {
		a.prefix = 1 + uint64(random.IntN(max(prefixesPer12Engines*s.Engines/12, 1)))
	}
	return a
}

// meanOutput returns the mean output length of the requests that are not lookups.
var meanOutput = sync.OnceValue(func() float64 {
	random := rand.New(rand.NewPCG(0, 0))
	s, sum := Scenario{}, 0.0
	for range meanSamples {
		sum += float64(s.sampleRequest(random, 0).output)
	}
	return sum / meanSamples
})

// sampleContinued returns a random generation in progress. The tokens generated so far count as part of its prompt.
// Generations are accepted in proportion to their length, as a long one is more likely to be running at a given time.
func (s *Scenario) sampleContinued(random *rand.Rand) arrival {
	for {
		a := s.sampleRequest(random, 0)
		if random.IntN(maxOutputTokens) >= a.output {
			continue
		}
		generated := random.IntN(a.output)
		a.template, a.prefix = &continued, 0
		a.prompt += generated
		a.output -= generated
		return a
	}
}

// runningAtStart returns the number of generations in progress in the steady state at the scenario's rate.
func (s *Scenario) runningAtStart() int {
	mean := meanOutput()
	if s.LengthShiftAt > 0 {
		mean *= math.Exp(logLengthBeforeShift)
	}
	perEngine := s.Rate * mean / float64(s.Engines)
	running := perEngine * baseStepSeconds / max(1-perEngine*stepSecondsPerSequence, baseStepSeconds)
	return int(min(running, maxRunningAtStart) * float64(s.Engines))
}

func sampleLookup(random *rand.Rand) arrival {
	return arrival{template: &lookup, workspace: random.IntN(workspaces), prompt: minLookupPrompt + random.IntN(lookupPromptRange), output: lookup.sampleLength(random, 0)}
}

// rateAt returns the arrival rate without lookups, in requests per second.
func (s *Scenario) rateAt(at time.Duration) float64 {
	rate := s.Rate
	if at >= s.BurstStart && at < s.BurstEnd {
		rate *= burstFactor
	}
	if s.GreedyWorkspace {
		rate *= float64(workspaces+greedyFactor-1) / workspaces
	}
	return rate
}

func dataCentreOf(engine int) string { return fmt.Sprintf("dc%d", engine%dataCentres) }

// WithDurations returns the scenario with other times of warm-up and measurement. Its events keep their relative times.
func (s Scenario) WithDurations(warmup, duration time.Duration) Scenario {
	for _, other := range scenarios(s.Engines, warmup, duration) {
		if other.Name == s.Name {
			other.Rate = s.Rate
			return other
		}
	}
	return s
}
