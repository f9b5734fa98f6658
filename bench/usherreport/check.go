package usherreport

import (
	"errors"
	"fmt"
	"io"
	"math"
	"text/tabwriter"

	m "github.com/samphireusher/samphireusher/bench/ushermeasure"
)

// Targets from the users' requirements, and additional bounds of the benchmarks.
const (
	processorTarget     = 0.018 // of a core
	memoryTarget        = 32.0  // MB
	bytesTarget         = 6000  // B/s, sent and received
	firstTokenTarget    = 480.0 // ms
	gapTarget           = 36.0  // ms
	changeTarget        = 4.0   // s
	maxProcessorRatio   = 1.5
	maxExtraAllocations = 0.5 // below 1, so that the gateway allocates nothing per token
)

// ErrBoundExceeded is returned if a measure exceeds its bound or was not measured.
var ErrBoundExceeded = errors.New("bounds exceeded or not measured")

type (
	// bound is a measure with its maximum allowed value.
	bound struct {
		name, unit string
		max        float64
		value      float64
		spread     Median
	}
)

// Check prints a table of the measured values and their bounds. It returns ErrBoundExceeded if a bound is exceeded or
// was not measured.
func (d Data) Check(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "figure\tvalue\tspread\tbound\tunit\t")
	exceeded := 0
	for _, b := range d.bounds() {
		verdict := "ok"
		if math.IsNaN(b.value) || b.value > b.max {
			verdict = "BROKEN"
			exceeded++
		}
		fmt.Fprintf(table, "%s\t%.4g\t%.4g to %.4g\t%.4g\t%s\t%s\n", b.name, b.value, b.spread.Min, b.spread.Max, b.max, b.unit, verdict)
	}
	if err := table.Flush(); err != nil {
		return err
	}
	if exceeded > 0 {
		return fmt.Errorf("%w: %d", ErrBoundExceeded, exceeded)
	}
	return nil
}

func (d Data) bounds() []bound {
	largest := func(p m.Point) bool { return p.Workspaces == requiredWorkspaces }
	medianBound := func(name, unit string, limit float64, s series) bound {
		median := d.median(s)
		return bound{name: name, unit: unit, max: limit, value: median.Value, spread: median}
	}
	trafficBound := func(name string, benchmark m.Benchmark) bound {
		median := d.sumTraffic(benchmark, largest)
		return bound{name: name, unit: "B/s both ways", max: bytesTarget, value: median.Value, spread: median}
	}
	return []bound{
		medianBound("token through the gateway, full speed", "times a bare copy", maxProcessorRatio, series{m.Relay, "processor_ratio", m.Fast, nil}),
		medianBound("token through the gateway, 36 ms apart", "times a bare copy", maxProcessorRatio, series{m.Relay, "processor_ratio", m.Paced, nil}),
		medianBound("allocations a token beyond a bare copy", "1/token", maxExtraAllocations, series{m.Relay, "extra_allocations", m.Fast, nil}),
		medianBound("first token p99 with 1,000 streams", "ms", firstTokenTarget, series{m.Latency, "relay_first_p99", m.Paced, nil}),
		medianBound("added between tokens p99 with 1,000 streams", "ms", gapTarget, series{m.Latency, "added_gap_p99", m.Paced, nil}),
		d.decisionBound(),
		medianBound("scheduler of a cell of 9, 92 targets, at rest", "core", processorTarget, series{m.Member, "processor", "", largest}),
		trafficBound("its heartbeats", m.Member),
		medianBound("its memory, 47,000 workspaces", "MB", memoryTarget, series{m.Member, "resident", "", largest}),
		medianBound("advertisements not sent, 92 targets held by one", "1/s", 0, series{m.Adverts, "not_posted", "", func(p m.Point) bool { return p.Targets >= 92 }}),
		medianBound("configuration with 47,000 workspaces", "MB", memoryTarget, series{m.View, "heap_while_changing", "", largest}),
		medianBound("change in force on 27 feeds", "s", changeTarget, series{m.Feed, "change_in_force", "", largest}),
		medianBound("feed at rest", "core", processorTarget, series{m.Feed, "processor", "", largest}),
		trafficBound("traffic of a feed at rest", m.Feed),
		medianBound("data centre out, until it gets nothing", "s", changeTarget, series{m.Fleet, "out_until_nothing", "", nil}),
		medianBound("takeover of a dead scheduler's targets", "s", changeTarget, series{m.Fleet, "takeover", "", nil}),
	}
}

// decisionBound checks that the cost of a decision grows at most as the logarithm of the number of targets.
func (d Data) decisionBound() bound {
	at := func(n int) Median {
		return d.median(series{m.Decision, "processor", "", func(p m.Point) bool { return p.Targets == n }})
	}
	few, many := at(12), at(1200)
	ratio := many.Value / few.Value
	return bound{
		name: "a decision with 1,200 targets against 12", unit: "times", max: math.Log(1200) / math.Log(12), value: ratio,
		spread: Median{Min: many.Min / few.Max, Max: many.Max / few.Min},
	}
}

// sumTraffic returns the sum of the bytes sent and received.
func (d Data) sumTraffic(benchmark m.Benchmark, filter func(m.Point) bool) Median {
	sent, received := d.median(series{benchmark, "sent", "", filter}), d.median(series{benchmark, "received", "", filter})
	return Median{Value: sent.Value + received.Value, Min: sent.Min + received.Min, Max: sent.Max + received.Max, Count: sent.Count}
}
