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

// quantiles holds the points of a latency curve, in percent.
var quantiles = []float64{0, 10, 25, 50, 75, 90, 95, 98, 99, 99.5, 99.9, 99.95, 99.99}

// Series is one curve of a plot.
type Series struct {
	Name string
	X, Y []float64
}

// PlotLatency plots latency quantiles of histograms in microseconds; the suffix of path, .png or .svg, selects the format.
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

// PlotTime plots curves over time in seconds.
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
	// The margin above the curves makes room for the legend.
	p.Y.Min, p.Y.Max = 0, p.Y.Max*1.25
	if err := p.Save(8*vg.Inch, 5*vg.Inch, path); err != nil {
		return fmt.Errorf("report: writing a plot: %w", err)
	}
	return nil
}
