package usherexperiment

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	longestReply      = 16_000
	shortestPrompt    = 300
	longestPrompt     = 1_200
	prefixesPerTwelve = 40 // prompt prefixes for each twelve engines
	prefixShare       = 0.5
	workspaces        = 10
	dataCentres       = 3
	linkDelay         = 2 * time.Millisecond
	reportInterval    = 500 * time.Millisecond
	reportLag         = 250 * time.Millisecond
	progressInterval  = 500 * time.Millisecond
	followed          = time.Minute // until a shift of lengths must be followed
	lookupShare       = 12.0        // lookups a second for each twelve engines
)

type (
	// Scenario says what arrives and what happens. The zero value of a field leaves that matter out.
	Scenario struct {
		Name       string
		Engines    int
		Warmup     time.Duration // not measured
		Duration   time.Duration // measured
		Load       float64       // appraisals and checks, as a share of what the oracle carries
		Rate       float64       // requests a second of them; set from Load before a run
		Lookups    float64       // a second
		Schedulers int           // that split the targets; zero counts as one
		Shared     bool          // each scheduler uses every target
		ReportLag  time.Duration
		ReportLoss float64 // share of the reports that are lost
		Greedy     bool    // the first workspace sends ten times its share
		Light      int     // targets kept light for lookups

		BurstFrom, BurstTo time.Duration // since the start
		ShiftAt            time.Duration // lengths double to the usual ones
		ColdAt             time.Duration // half of the engines restart
		OutAt, BackAt      time.Duration // a data centre leaves and returns
	}

	// template is one kind of generation.
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
	burstFactor     = 5
	greedyFactor    = 10
	largeFleet      = 100
	modestWorkspace = 1         // the first workspace that is never greedy
	earlierLength   = -math.Ln2 // on the logarithm of lengths before they shift
	emptyStep       = 0.0105    // seconds, with the prompts that come now and then
	stepPerSequence = 0.00027   // seconds, with its cached tokens
	mostAtStart     = 30.0      // generations on each engine
	startInterval   = 3 * time.Second
	meanDraws       = 400_000
	lookupPrompt    = 60
	lookupSpread    = 60
)

var (
	appraisal = template{name: "appraisal", mu: 6.3, sigma: 1.0, share: 0.6}
	check     = template{name: "check", mu: 4.6, sigma: 0.9, share: 0.4}
	continued = template{name: "continued"} // what runs already when the scenario starts
	lookup    = template{name: "lookup", mu: 2.7, sigma: 0.4, interactive: true}
)

// Scenarios returns the scenarios at a number of engines, in the order of their weight.
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
		with("lookups_idle", 0, func(s *Scenario) { s.Lookups = lookupShare * scale }),
		with("lookups_saturated", 1.2, func(s *Scenario) { s.Lookups, s.Light = lookupShare*scale, lightTargets(engines) }),
		with("greedy", 0.95, func(s *Scenario) { s.Greedy = true }),
		with("length_shift", 0.95, func(s *Scenario) { s.ShiftAt = max(s.Warmup-followed, startInterval) }),
		with("half_cold", 0.40, func(s *Scenario) { s.ColdAt = s.Warmup + s.Duration/4 }),
		with("late_reports", 0.85, func(s *Scenario) { s.ReportLag, s.ReportLoss, s.Schedulers, s.Shared = 5*time.Second, 0.3, 2, true }),
		with("data_centre_out", 0.60, func(s *Scenario) { s.OutAt, s.BackAt = s.Warmup+s.Duration/4, end-s.Duration/4 }),
		with("burst", 0.60, func(s *Scenario) {
			s.BurstFrom = s.Warmup + s.Duration/4
			s.BurstTo = s.BurstFrom + s.Duration/20
		}),
	}
}

func lightTargets(engines int) int { return (engines + 11) / 12 }

func (t *template) draw(random *rand.Rand, shift float64) int {
	tokens := int(math.Exp(t.mu + shift + t.sigma*random.NormFloat64()))
	return min(max(tokens, 1), longestReply)
}

// draw returns the next request at a time since the start.
func (s *Scenario) draw(random *rand.Rand, at time.Duration) arrival {
	a := arrival{template: &check, workspace: random.IntN(workspaces), prompt: shortestPrompt + random.IntN(longestPrompt-shortestPrompt)}
	if s.Greedy && random.IntN(workspaces+greedyFactor-1) >= workspaces-1 {
		a.workspace = 0
	}
	if random.Float64() < appraisal.share {
		a.template = &appraisal
	}
	shift := 0.0
	if at < s.ShiftAt {
		shift = earlierLength
	}
	a.output = a.template.draw(random, shift)
	if random.Float64() < prefixShare {
		a.prefix = 1 + uint64(random.IntN(max(prefixesPerTwelve*s.Engines/12, 1)))
	}
	return a
}

// meanOutput returns the mean length of a request that is not a lookup.
var meanOutput = sync.OnceValue(func() float64 {
	random := rand.New(rand.NewPCG(0, 0))
	s, sum := Scenario{}, 0.0
	for range meanDraws {
		sum += float64(s.draw(random, 0).output)
	}
	return sum / meanDraws
})

// drawContinued returns a request that has made a part of its tokens: those count as prompt. Long ones are met more often.
func (s *Scenario) drawContinued(random *rand.Rand) arrival {
	for {
		a := s.draw(random, 0)
		if random.IntN(longestReply) >= a.output {
			continue
		}
		made := random.IntN(a.output)
		a.template, a.prefix = &continued, 0
		a.prompt += made
		a.output -= made
		return a
	}
}

// runningAtStart returns how many generations run when the engines have settled at the scenario's rate.
func (s *Scenario) runningAtStart() int {
	mean := meanOutput()
	if s.ShiftAt > 0 {
		mean *= math.Exp(earlierLength)
	}
	perEngine := s.Rate * mean / float64(s.Engines)
	running := perEngine * emptyStep / max(1-perEngine*stepPerSequence, emptyStep)
	return int(min(running, mostAtStart) * float64(s.Engines))
}

func drawLookup(random *rand.Rand) arrival {
	return arrival{template: &lookup, workspace: random.IntN(workspaces), prompt: lookupPrompt + random.IntN(lookupSpread), output: lookup.draw(random, 0)}
}

// rateAt returns how many requests a second arrive, without lookups.
func (s *Scenario) rateAt(at time.Duration) float64 {
	rate := s.Rate
	if at >= s.BurstFrom && at < s.BurstTo {
		rate *= burstFactor
	}
	if s.Greedy {
		rate *= float64(workspaces+greedyFactor-1) / workspaces
	}
	return rate
}

// dataCentreOf returns the data centre of an engine.
func dataCentreOf(engine int) string { return fmt.Sprintf("dc%d", engine%dataCentres) }

// Short returns the scenario with other times of warming up and measuring; what happens in it keeps its place.
func (s Scenario) Short(warmup, duration time.Duration) Scenario {
	for _, other := range scenarios(s.Engines, warmup, duration) {
		if other.Name == s.Name {
			other.Rate = s.Rate
			return other
		}
	}
	return s
}
