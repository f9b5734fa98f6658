// Command usher-bench measures the product and checks the figures against their bounds.
package main

import (
	"encoding/json"
	"os"
	"runtime/pprof"

	"github.com/alecthomas/kong"

	"github.com/samphireusher/samphireusher/bench/usherload"
	"github.com/samphireusher/samphireusher/bench/ushermeasure"
)

type (
	commands struct {
		Point pointCommand `cmd:"" help:"Measure one point of one benchmark in this process."`
		Load  loadCommand  `cmd:"" hidden:""`
	}

	pointCommand struct {
		Benchmark ushermeasure.Benchmark `arg:"" help:"Name of the benchmark."`
		Point     string                 `help:"Sizes as a JSON object." default:"{}"`
		Repeats   int                    `help:"How often the point is measured." default:"3"`
		Profile   string                 `help:"File for a profile of the processor time." type:"path"`
	}

	loadCommand struct{}
)

func main() {
	var all commands
	context := kong.Parse(&all, kong.Name("usher-bench"), kong.Description("Benchmarks of samphireusher."))
	context.FatalIfErrorf(context.Run())
}

// Run measures the point and writes its records as JSON lines.
func (c *pointCommand) Run() error {
	plan := ushermeasure.Plan{Benchmark: c.Benchmark, Repeats: c.Repeats}
	if err := json.Unmarshal([]byte(c.Point), &plan.Point); err != nil {
		return err
	}
	if c.Profile != "" {
		file, err := os.Create(c.Profile)
		if err != nil {
			return err
		}
		if err := pprof.StartCPUProfile(file); err != nil {
			return err
		}
		defer pprof.StopCPUProfile()
	}
	out := json.NewEncoder(os.Stdout)
	return ushermeasure.Run(plan, func(r ushermeasure.Record) error { return out.Encode(r) })
}

// Run serves the measured process.
func (*loadCommand) Run() error {
	return usherload.Serve()
}
