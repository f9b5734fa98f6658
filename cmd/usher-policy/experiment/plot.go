package usherexperiment

import (
	"os"
	"path/filepath"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgimg"
)

const (
	plotWidth  = 6 * vg.Inch
	plotHeight = 4 * vg.Inch
	plotRows   = 2
)

// WritePlot writes a plot of the results of one scenario to a PNG file in the directory: cumulative preemptions and the
// 95th percentile of the time between tokens.
func WritePlot(directory string, results []Result) error {
	preemptions, gaps := plot.New(), plot.New()
	preemptions.Title.Text = results[0].Scenario
	preemptions.Y.Label.Text = "preemptions so far"
	gaps.Y.Label.Text = "p95 between tokens (ms)"
	gaps.X.Label.Text = "seconds"
	preemptions.Legend.Top, preemptions.Legend.Left = true, true
	for i, r := range results {
		if err := addLine(preemptions, i, r.Policy, cumulative(r.PreemptAt)); err != nil {
			return err
		}
		if err := addLine(gaps, i, "", seconds(r.ITLSeries)); err != nil {
			return err
		}
	}
	return save(filepath.Join(directory, results[0].Scenario+".png"), [][]*plot.Plot{{preemptions}, {gaps}})
}

func addLine(p *plot.Plot, index int, name string, points plotter.XYs) error {
	line, err := plotter.NewLine(points)
	if err != nil {
		return err
	}
	line.Color = plotutil.Color(index)
	line.Dashes = plotutil.Dashes(index)
	p.Add(line)
	if name != "" {
		p.Legend.Add(name, line)
	}
	return nil
}

func save(path string, plots [][]*plot.Plot) error {
	canvas := vgimg.New(plotWidth, plotHeight)
	tiles := draw.Tiles{Rows: plotRows, Cols: 1}
	for row, c := range plot.Align(plots, tiles, draw.New(canvas)) {
		plots[row][0].Draw(c[0])
	}
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	if _, err := (vgimg.PngCanvas{Canvas: canvas}).WriteTo(file); err != nil {
		_ = file.Close() // the error of WriteTo is returned
		return err
	}
	return file.Close()
}

func seconds(values []float64) plotter.XYs {
	points := make(plotter.XYs, len(values))
	for i, value := range values {
		points[i] = plotter.XY{X: float64(i) * windowInterval.Seconds(), Y: value}
	}
	return points
}

func cumulative(counts []int) plotter.XYs {
	points := make(plotter.XYs, len(counts))
	sum := 0
	for i, count := range counts {
		sum += count
		points[i] = plotter.XY{X: float64(i) * windowInterval.Seconds(), Y: float64(sum)}
	}
	return points
}
