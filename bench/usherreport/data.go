// Package usherreport evaluates benchmark records: it fits lines, checks regression bounds and writes the capacity report.
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
	// Data are the records of a benchmark run.
	Data []ushermeasure.Record

	// Median is the median and the range of the repetitions of a measure.
	Median struct {
		Value, Min, Max float64
		Count           int
	}

	// Fit is the regression line of a measure over several sizes.
	Fit struct {
		Intercept, Slope float64
		// Noise is the standard deviation of the residuals.
		Noise float64
		Sizes []float64
		Count int
	}

	// series selects the records of a measure.
	series struct {
		benchmark ushermeasure.Benchmark
		measure   string
		variant   string
		filter    func(ushermeasure.Point) bool
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

func (s series) matches(r ushermeasure.Record) bool {
	return r.Benchmark == s.benchmark && r.Measure == s.measure && r.Variant == s.variant && (s.filter == nil || s.filter(r.Point))
}

// median returns the median of a series. Its values are NaN if there is no record.
func (d Data) median(s series) Median {
	values := []float64{}
	for _, r := range d {
		if s.matches(r) {
			values = append(values, r.Value)
		}
	}
	if len(values) == 0 {
		return Median{Value: math.NaN(), Min: math.NaN(), Max: math.NaN()}
	}
	slices.Sort(values)
	middle := len(values) / 2
	value := values[middle]
	if len(values)%2 == 0 {
		value = (values[middle-1] + values[middle]) / 2
	}
	return Median{Value: value, Min: values[0], Max: values[len(values)-1], Count: len(values)}
}

// fit returns the least-squares line of a series over an axis. Its values are NaN if there are fewer than two sizes.
func (d Data) fit(s series, size axis) Fit {
	x, y := []float64{}, []float64{}
	for _, r := range d {
		if s.matches(r) {
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

// at returns the value of the line at a size.
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
