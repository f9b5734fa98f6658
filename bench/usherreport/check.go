package usherreport

import (
	"errors"
	"fmt"
	"io"
	"math"
	"text/tabwriter"

	m "github.com/samphireusher/samphireusher/bench/ushermeasure"
)

// Targets of the users' first letter, and the aims of the benchmarks.
const (
	processorTarget = 0.018 // of a core
	memoryTarget    = 32.0  // MB
	bytesTarget     = 6000  // B/s, sent and received
	firstTarget     = 480.0 // ms
	gapTarget       = 36.0  // ms
	changeTarget    = 4.0   // s
	ratioAim        = 1.5
	allocationBound = 0.5 // so that no token costs an allocation
)

// ErrBroken says that a figure is beyond its bound.
var ErrBroken = errors.New("a bound is broken")

type (
	// bound is the greatest value that a figure may have.
	bound struct {
		name, unit string
		most       float64
		value      float64
		spread     Median
	}
)

// Check writes each bound with its figure; the error is ErrBroken if one is broken or was not measured.
func (d Data) Check(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "figure\tvalue\tspread\tbound\tunit\t")
	broken := 0
	for _, b := range d.bounds() {
		verdict := "ok"
		if math.IsNaN(b.value) || b.value > b.most {
			verdict = "BROKEN"
			broken++
		}
		fmt.Fprintf(table, "%s\t%.4g\t%.4g to %.4g\t%.4g\t%s\t%s\n", b.name, b.value, b.spread.Least, b.spread.Most, b.most, b.unit, verdict)
	}
	if err := table.Flush(); err != nil {
		return err
	}
	if broken > 0 {
		return fmt.Errorf("%w: %d", ErrBroken, broken)
	}
	return nil
}

func (d Data) bounds() []bound {
	largest := func(p m.Point) bool { return p.Workspaces == letterWorkspaces }
	one := func(name, unit string, most float64, s series) bound {
		median := d.median(s)
		return bound{name: name, unit: unit, most: most, value: median.Value, spread: median}
	}
	traffic := func(name string, benchmark m.Benchmark) bound {
		median := d.both(benchmark, largest)
		return bound{name: name, unit: "B/s both ways", most: bytesTarget, value: median.Value, spread: median}
	}
	return []bound{
		one("token through the gateway, full speed", "times a bare copy", ratioAim, series{m.Relay, "processor_ratio", m.Fast, nil}),
		one("token through the gateway, 36 ms apart", "times a bare copy", ratioAim, series{m.Relay, "processor_ratio", m.Paced, nil}),
		one("allocations a token beyond a bare copy", "1/token", allocationBound, series{m.Relay, "extra_allocations", m.Fast, nil}),
		one("first token p99 with 1,000 streams", "ms", firstTarget, series{m.Latency, "relay_first_p99", m.Paced, nil}),
		one("added between tokens p99 with 1,000 streams", "ms", gapTarget, series{m.Latency, "added_gap_p99", m.Paced, nil}),
		d.decisionBound(),
		one("scheduler of a cell of 9, 92 targets, at rest", "core", processorTarget, series{m.Member, "processor", "", largest}),
		traffic("its heartbeats", m.Member),
		one("its memory, 47,000 workspaces", "MB", memoryTarget, series{m.Member, "resident", "", largest}),
		one("advertisements not sent, 92 targets held by one", "1/s", 0, series{m.Adverts, "not_posted", "", func(p m.Point) bool { return p.Targets >= 92 }}),
		one("configuration with 47,000 workspaces", "MB", memoryTarget, series{m.View, "heap_while_changing", "", largest}),
		one("change in force on 27 feeds", "s", changeTarget, series{m.Feed, "change_in_force", "", largest}),
		one("feed at rest", "core", processorTarget, series{m.Feed, "processor", "", largest}),
		traffic("traffic of a feed at rest", m.Feed),
		one("data centre out, until it gets nothing", "s", changeTarget, series{m.Fleet, "out_until_nothing", "", nil}),
		one("takeover of a dead scheduler's targets", "s", changeTarget, series{m.Fleet, "takeover", "", nil}),
	}
}

// decisionBound compares the growth of the decision's cost with that of the logarithm.
func (d Data) decisionBound() bound {
	at := func(n int) Median {
		return d.median(series{m.Decision, "processor", "", func(p m.Point) bool { return p.Targets == n }})
	}
	few, many := at(12), at(1200)
	ratio := many.Value / few.Value
	return bound{
		name: "a decision with 1,200 targets against 12", unit: "times", most: math.Log(1200) / math.Log(12), value: ratio,
		spread: Median{Least: many.Least / few.Most, Most: many.Most / few.Least},
	}
}

// both adds what is sent and what is received.
func (d Data) both(benchmark m.Benchmark, keep func(m.Point) bool) Median {
	sent, received := d.median(series{benchmark, "sent", "", keep}), d.median(series{benchmark, "received", "", keep})
	return Median{Value: sent.Value + received.Value, Least: sent.Least + received.Least, Most: sent.Most + received.Most, Count: sent.Count}
}
