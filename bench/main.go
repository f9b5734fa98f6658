// Command usher-bench runs the benchmarks and checks their results against the regression bounds.
package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"runtime/pprof"
	"strconv"
	"time"

	"github.com/alecthomas/kong"

	"github.com/samphireusher/samphireusher/bench/usherload"
	"github.com/samphireusher/samphireusher/bench/ushermeasure"
	"github.com/samphireusher/samphireusher/bench/usherreport"
)

type (
	commands struct {
		Point    pointCommand    `cmd:"" help:"Measure one point of one benchmark in this process."`
		Run      runCommand      `cmd:"" help:"Measure the points of a plan, each in a process of its own, one after another."`
		Check    checkCommand    `cmd:"" help:"Check records against their bounds."`
		Capacity capacityCommand `cmd:"" help:"Write the account of capacity from records."`
		Load     loadCommand     `cmd:"" hidden:""`
	}

	pointCommand struct {
		Benchmark ushermeasure.Benchmark `arg:"" help:"Name of the benchmark."`
		Point     string                 `help:"Sizes as a JSON object." default:"{}"`
		Repeats   int                    `help:"How often the point is measured." default:"3"`
		Profile   string                 `help:"File for a profile of the processor time." type:"path"`
	}

	runCommand struct {
		Plan string `help:"quick: those with a bound; full: those that the capacity account needs." enum:"quick,full" default:"quick"`
	}

	checkCommand struct {
		Records string `arg:"" help:"File of records as JSON lines." type:"existingfile"`
	}

	capacityCommand struct {
		Records string `arg:"" help:"File of records as JSON lines." type:"existingfile"`
		Notes   string `help:"File that describes the machine and the run." type:"existingfile" required:""`
	}

	loadCommand struct{}
)

func main() {
	var line commands
	context := kong.Parse(&line, kong.Name("usher-bench"), kong.Description("Benchmarks of samphireusher."))
	context.FatalIfErrorf(context.Run())
}

// Run measures the point and prints its records as JSON lines.
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

// Run measures the points of the plan, each in a process of its own. It goes on after a point that fails and returns
// all errors at the end.
func (c *runCommand) Run() error {
	program, err := os.Executable()
	if err != nil {
		return err
	}
	plans := ushermeasure.QuickPlans()
	if c.Plan == "full" {
		plans = ushermeasure.FullPlans()
	}
	failures := []error{}
	for _, plan := range plans {
		point, err := json.Marshal(plan.Point)
		if err != nil {
			return err
		}
		fmt.Fprintf(os.Stderr, "%s %s %s\n", time.Now().Format(time.TimeOnly), plan.Benchmark, point)
		command := exec.Command(program, "point", string(plan.Benchmark), "--point", string(point), "--repeats", strconv.Itoa(plan.Repeats))
		command.Stdout, command.Stderr = os.Stdout, os.Stderr
		if err := command.Run(); err != nil {
			failures = append(failures, fmt.Errorf("%s %s: %w", plan.Benchmark, point, err))
		}
	}
	return errors.Join(failures...)
}

// Run returns an error if a bound is exceeded or was not measured.
func (c *checkCommand) Run() error {
	data, err := readRecords(c.Records)
	if err != nil {
		return err
	}
	return data.Check(os.Stdout)
}

// Run prints the capacity report.
func (c *capacityCommand) Run() error {
	data, err := readRecords(c.Records)
	if err != nil {
		return err
	}
	notes, err := os.ReadFile(c.Notes)
	if err != nil {
		return err
	}
	return data.Capacity(os.Stdout, string(notes))
}

func readRecords(path string) (usherreport.Data, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	return usherreport.Read(file)
}

// Run serves as the load process of a measured process.
func (*loadCommand) Run() error {
	return usherload.Serve()
}
