// Package ushermeasure implements the benchmarks. One process measures one point of one benchmark.
//
// Each measurement is repeated; every repetition writes a Record for each measure. Package usherreport fits lines to the
// records and compares them with their bounds.
//
// # Usage
//
//	err := ushermeasure.Run(ushermeasure.Plan{Benchmark: ushermeasure.Member, Point: point, Repeats: 3}, write)
package ushermeasure

import (
	"errors"
	"fmt"
)

// Benchmarks.
const (
	Relay    Benchmark = "relay"
	Latency  Benchmark = "latency"
	Decision Benchmark = "decision"
	Member   Benchmark = "member"
	Adverts  Benchmark = "adverts"
	Message  Benchmark = "message"
	Report   Benchmark = "report"
	View     Benchmark = "view"
	Feed     Benchmark = "feed"
	Fleet    Benchmark = "fleet"
	Streams  Benchmark = "streams"
)

type (
	// Benchmark is the name of a benchmark.
	Benchmark string

	// Point is the set of parameters at which a benchmark is measured. Those that the benchmark does not use are zero.
	Point struct {
		Variant    string `json:"variant,omitempty"`
		Peers      int    `json:"peers,omitempty"`
		Gateways   int    `json:"gateways,omitempty"`
		Targets    int    `json:"targets,omitempty"`
		Workspaces int    `json:"workspaces,omitempty"`
		Items      int    `json:"items,omitempty"`
		Streams    int    `json:"streams,omitempty"`
	}

	// Plan is a point of a benchmark and the number of times to measure it.
	Plan struct {
		Benchmark Benchmark
		Point     Point
		Repeats   int
	}

	// Record is one measured value.
	Record struct {
		Benchmark Benchmark `json:"benchmark"`
		Point
		Measure string  `json:"measure"`
		Unit    string  `json:"unit"`
		Repeat  int     `json:"repeat"`
		Value   float64 `json:"value"`
	}

	// Writer stores a record.
	Writer func(Record) error

	// recorder writes the records of one repetition.
	recorder struct {
		plan   Plan
		repeat int
		write  Writer
	}
)

var errUnknownBenchmark = errors.New("unknown benchmark")

// Run measures a plan and passes the records to write.
func Run(plan Plan, write Writer) error {
	run, ok := map[Benchmark]func(Plan, Writer) error{
		Relay: runRelay, Latency: runLatency, Decision: runDecision, Member: runMember, Adverts: runMember, Message: runMessage,
		Report: runReport, View: runView, Feed: runFeed, Fleet: runFleet, Streams: runStreams,
	}[plan.Benchmark]
	if !ok {
		return fmt.Errorf("%w: %s", errUnknownBenchmark, plan.Benchmark)
	}
	return run(plan, write)
}

func (r recorder) record(measure, unit string, value float64) error {
	return r.write(Record{Benchmark: r.plan.Benchmark, Point: r.plan.Point, Measure: measure, Unit: unit, Repeat: r.repeat, Value: value})
}

func (r recorder) recordAll(measurements ...measurement) error {
	for _, f := range measurements {
		if err := r.record(f.measure, f.unit, f.value); err != nil {
			return err
		}
	}
	return nil
}

type measurement struct {
	measure, unit string
	value         float64
}
