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
	Without   string   `help:"Part of the policy that usher is run without; only usher runs then."`
}

// Run measures and prints one JSON line a scenario and policy.
func (c *Command) Run(out io.Writer) error {
	encoder := json.NewEncoder(out)
	for _, engines := range c.Engines {
		for _, s := range Scenarios(engines) {
			if len(c.Scenarios) > 0 && !slices.Contains(c.Scenarios, s.Name) {
				continue
			}
			for _, r := range c.results(s) {
				if err := encoder.Encode(r); err != nil {
					return err
				}
			}
		}
	}
	return nil
}

func (c *Command) results(s Scenario) []Result {
	started := time.Now()
	if c.Load > 0 {
		s.Load = c.Load
	}
	s = Rated(s, c.Seed)
	var results []Result
	if c.Without != "" {
		results = []Result{Play(s, PolicyUsher, 0, c.Seed, usheradmit.Options{Without: Part(c.Without)})}
	} else {
		results = Compare(s, c.Seed, c.Limits)
	}
	if c.Verbose {
		log := slog.New(slog.NewJSONHandler(os.Stderr, nil))
		for _, r := range results {
			log.Info("run", "scenario", s.Name, "policy", r.Policy, "rate", s.Rate, "limit", r.Limit, "offered", r.Offered, "lost", r.Lost,
				"overloads", r.Overloads, "deaths", r.Deaths, "retries", r.Retries, "worst_share", r.WorstShare, "took", time.Since(started).Seconds())
		}
	}
	return results
}
