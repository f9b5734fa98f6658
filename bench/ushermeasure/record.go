// Package ushermeasure measures the product: one point of one benchmark in a process of its own.
//
// Each measurement is repeated; every repetition gives a Record for each measure. Package usherreport fits slopes to
// the records and compares them with their bounds.
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
	// Benchmark names a benchmark.
	Benchmark string

	// Point is the size at which a benchmark is measured. Sizes that a benchmark does not have are zero.
	Point struct {
		Variant    string `json:"variant,omitempty"`
		Peers      int    `json:"peers,omitempty"`
		Gateways   int    `json:"gateways,omitempty"`
		Targets    int    `json:"targets,omitempty"`
		Workspaces int    `json:"workspaces,omitempty"`
		Items      int    `json:"items,omitempty"`
		Streams    int    `json:"streams,omitempty"`
	}

	// Plan is one point of one benchmark and how often it is measured.
	Plan struct {
		Benchmark Benchmark
		Point     Point
		Repeats   int
	}

	// Record is one measured figure.
	Record struct {
		Benchmark Benchmark `json:"benchmark"`
		Point
		Measure string  `json:"measure"`
		Unit    string  `json:"unit"`
		Repeat  int     `json:"repeat"`
		Value   float64 `json:"value"`
	}

	// Writer takes records.
	Writer func(Record) error

	// recorder writes the records of one repetition.
	recorder struct {
		plan   Plan
		repeat int
		write  Writer
	}
)

var errBenchmark = errors.New("no such benchmark")

// Run measures a plan.
func Run(plan Plan, write Writer) error {
	run, ok := map[Benchmark]func(Plan, Writer) error{
		Relay: runRelay, Latency: runLatency, Decision: runDecision, Member: runMember, Adverts: runMember, Message: runMessage,
		Report: runReport, View: runView, Feed: runFeed, Fleet: runFleet, Streams: runStreams,
	}[plan.Benchmark]
	if !ok {
		return fmt.Errorf("%w: %s", errBenchmark, plan.Benchmark)
	}
	return run(plan, write)
}

// figure writes one figure.
func (r recorder) figure(measure, unit string, value float64) error {
	return r.write(Record{Benchmark: r.plan.Benchmark, Point: r.plan.Point, Measure: measure, Unit: unit, Repeat: r.repeat, Value: value})
}

// figures writes several.
func (r recorder) figures(figures ...figure) error {
	for _, f := range figures {
		if err := r.figure(f.measure, f.unit, f.value); err != nil {
			return err
		}
	}
	return nil
}

type figure struct {
	measure, unit string
	value         float64
}
