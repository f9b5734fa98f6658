// Package usherreport turns records of measurements into slopes, checks of bounds and the account of capacity.
//
// # Usage
//
//	data, err := usherreport.Read(file)
//	if err != nil {
//		return err
//	}
//	err = data.Check(os.Stdout)
//	err = data.Capacity(os.Stdout, notes)
package usherreport

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"slices"

	"gonum.org/v1/gonum/stat"

	"github.com/samphireusher/samphireusher/bench/ushermeasure"
)

type (
	// Data are the records of a run.
	Data []ushermeasure.Record

	// Median is the median of one measure at one point, and how far the repetitions spread.
	Median struct {
		Value, Least, Most float64
		Count              int
	}

	// Fit is a straight line through the repetitions of a measure at several sizes.
	Fit struct {
		Intercept, Slope float64
		// Noise is the standard deviation of what the line does not explain.
		Noise float64
		Sizes []float64
		Count int
	}

	// series picks the records of a measure.
	series struct {
		benchmark ushermeasure.Benchmark
		measure   string
		variant   string
		keep      func(ushermeasure.Point) bool
	}

	axis func(ushermeasure.Point) float64
)

// Read reads records as JSON lines.
func Read(r io.Reader) (Data, error) {
	decoder := json.NewDecoder(r)
	var data Data
	for {
		var record ushermeasure.Record
		err := decoder.Decode(&record)
		if errors.Is(err, io.EOF) {
			return data, nil
		}
		if err != nil {
			return nil, fmt.Errorf("record %d: %w", len(data)+1, err)
		}
		data = append(data, record)
	}
}

func (s series) has(r ushermeasure.Record) bool {
	return r.Benchmark == s.benchmark && r.Measure == s.measure && r.Variant == s.variant && (s.keep == nil || s.keep(r.Point))
}

// median returns the median of a series; its Value is not a number where nothing was measured.
func (d Data) median(s series) Median {
	values := []float64{}
	for _, r := range d {
		if s.has(r) {
			values = append(values, r.Value)
		}
	}
	if len(values) == 0 {
		return Median{Value: math.NaN(), Least: math.NaN(), Most: math.NaN()}
	}
	slices.Sort(values)
	middle := len(values) / 2
	value := values[middle]
	if len(values)%2 == 0 {
		value = (values[middle-1] + values[middle]) / 2
	}
	return Median{Value: value, Least: values[0], Most: values[len(values)-1], Count: len(values)}
}

// fit returns the line through a series over an axis by least squares.
func (d Data) fit(s series, size axis) Fit {
	x, y := []float64{}, []float64{}
	for _, r := range d {
		if s.has(r) {
			x, y = append(x, size(r.Point)), append(y, r.Value)
		}
	}
	sizes := slices.Clone(x)
	slices.Sort(sizes)
	sizes = slices.Compact(sizes)
	if len(sizes) < 2 {
		return Fit{Intercept: math.NaN(), Slope: math.NaN(), Noise: math.NaN(), Sizes: sizes, Count: len(x)}
	}
	intercept, slope := stat.LinearRegression(x, y, nil, false)
	squares := 0.0
	for i := range x {
		rest := y[i] - intercept - slope*x[i]
		squares += rest * rest
	}
	return Fit{Intercept: intercept, Slope: slope, Noise: math.Sqrt(squares / float64(max(len(x)-2, 1))), Sizes: sizes, Count: len(x)}
}

// at returns the line's value.
func (f Fit) at(size float64) float64 {
	return f.Intercept + f.Slope*size
}

// plus returns the sum of two lines over the same sizes.
func (f Fit) plus(other Fit) Fit {
	f.Intercept += other.Intercept
	f.Slope += other.Slope
	f.Noise = math.Hypot(f.Noise, other.Noise)
	return f
}

func peers(p ushermeasure.Point) float64      { return float64(p.Peers) }
func targets(p ushermeasure.Point) float64    { return float64(p.Targets) }
func workspaces(p ushermeasure.Point) float64 { return float64(p.Workspaces) }
func gateways(p ushermeasure.Point) float64   { return float64(p.Gateways) }
func items(p ushermeasure.Point) float64      { return float64(p.Items) }
