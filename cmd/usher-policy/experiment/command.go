package usherexperiment

import (
	"encoding/json"
	"io"
	"log/slog"
	"os"
	"slices"
	"time"

	"github.com/samphireusher/samphireusher/pkg/usheradmit"
)

// Command is the command line of usher-policy.
type Command struct {
	Seed      uint64   `env:"USHER_SEED" default:"1" help:"Seed of arrivals and lengths."`
	Engines   []int    `default:"12,1200" help:"Numbers of engines to measure with."`
	Scenarios []string `help:"Scenarios to run; all if none is named."`
	Limits    []int    `help:"Limits of the sweep for least_outstanding."`
	Plots     string   `type:"path" help:"Directory for one plot a scenario."`
	Verbose   bool     `help:"Logs what the JSON lines don't show."`
	Load      float64  `help:"Load in place of the scenario's."`
	Without   []string `help:"Parts of the policy that usher is run without, one at a time; only usher runs then."`

	bestLimits map[string]int // by scenario, from the last sweep
}

// Run simulates the scenarios and prints one JSON line for each scenario and policy.
func (c *Command) Run(out io.Writer) error {
	encoder := json.NewEncoder(out)
	c.bestLimits = make(map[string]int)
	for _, engines := range c.Engines {
		for _, s := range Scenarios(engines) {
			if len(c.Scenarios) > 0 && !slices.Contains(c.Scenarios, s.Name) {
				continue
			}
			results := c.measure(s)
			for _, r := range results {
				if err := encoder.Encode(r); err != nil {
					return err
				}
			}
			if c.Plots != "" && engines <= largeFleet && len(c.Without) == 0 {
				if err := WritePlot(c.Plots, results); err != nil {
					return err
				}
			}
		}
	}
	return nil
}

func (c *Command) measure(s Scenario) []Result {
	started := time.Now()
	if c.Load > 0 {
		s.Load = c.Load
	}
	s = WithRate(s, c.Seed)
	results := c.measureAblations(s)
	if len(results) == 0 {
		results = Compare(s, c.Seed, c.limits(s))
		c.bestLimits[s.Name] = results[0].Limit
	}
	if c.Verbose {
		log := slog.New(slog.NewJSONHandler(os.Stderr, nil))
		for _, r := range results {
			log.Info("simulation finished", "scenario", s.Name, "policy", r.Policy, "rate", s.Rate, "limit", r.Limit, "offered", r.Offered, "lost", r.Lost,
				"overloads", r.Overloads, "deaths", r.EngineCrashes, "retries", r.Retries, "worst_share", r.WorstShare, "took", time.Since(started).Seconds())
		}
	}
	return results
}

// limits returns the limits to sweep. A large fleet gets only the best limit of the small fleet, if that was measured
// before.
func (c *Command) limits(s Scenario) []int {
	if limit, known := c.bestLimits[s.Name]; known && s.Engines > largeFleet {
		return []int{limit}
	}
	return c.Limits
}

// measureAblations runs usher once without each feature of --without.
func (c *Command) measureAblations(s Scenario) []Result {
	results := make([]Result, len(c.Without))
	runParallel(len(results), func(i int) {
		results[i] = Simulate(s, PolicyUsher, 0, c.Seed, usheradmit.Options{Without: Feature(c.Without[i])})
		results[i].Policy += "_without_" + c.Without[i]
	})
	return results
}
