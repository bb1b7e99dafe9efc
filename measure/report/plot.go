package report

import (
	"fmt"
	"maps"
	"slices"

	"github.com/HdrHistogram/hdrhistogram-go"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// quantiles are the points of a latency curve.
var quantiles = []float64{0, 10, 25, 50, 75, 90, 95, 98, 99, 99.5, 99.9, 99.95, 99.99}

// Series is a curve over time.
type Series struct {
	Name string
	X, Y []float64
}

// PlotLatency draws latency quantiles; the format follows the name of the file, .png or .svg.
func PlotLatency(path string, curves map[string]*hdrhistogram.Histogram) error {
	var series []Series
	for _, name := range slices.Sorted(maps.Keys(curves)) {
		s := Series{Name: name}
		for _, q := range quantiles {
			s.X = append(s.X, q)
			s.Y = append(s.Y, float64(curves[name].ValueAtQuantile(q))/1000)
		}
		series = append(series, s)
	}
	return draw(path, "Latency from the intended start", "percent of requests", "ms", series)
}

// PlotTime draws curves over time.
func PlotTime(path, title, unit string, series []Series) error {
	return draw(path, title, "s", unit, series)
}

func draw(path, title, x, y string, series []Series) error {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, x, y
	p.Legend.Top, p.Legend.Left = true, true
	for i, s := range series {
		points := make(plotter.XYs, len(s.X))
		for j := range s.X {
			points[j].X, points[j].Y = s.X[j], s.Y[j]
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return fmt.Errorf("report: drawing %s: %w", s.Name, err)
		}
		line.Color, line.Dashes = plotutil.Color(i), plotutil.Dashes(i)
		p.Add(line)
		p.Legend.Add(s.Name, line)
	}
	// The axis starts at zero, and the legend has room above the curves.
	p.Y.Min, p.Y.Max = 0, p.Y.Max*1.25
	if err := p.Save(8*vg.Inch, 5*vg.Inch, path); err != nil {
		return fmt.Errorf("report: writing a plot: %w", err)
	}
	return nil
}
