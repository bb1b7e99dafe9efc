package report

import (
	"encoding/json"
	"math"
	"os"
	"path/filepath"
	"testing"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
)

// TestMain guards against leaked goroutines.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// TestFigure guards against a figure that passes beyond its bound or without having been measured.
func TestFigure(t *testing.T) {
	five := 5.0
	cases := map[string]struct {
		figure Figure
		pass   bool
	}{
		"no bound":     {figure: NewFigure("x", 5, "ms"), pass: true},
		"within":       {figure: NewFigure("x", 5, "ms").WithBound(&five), pass: true},
		"beyond":       {figure: NewFigure("x", 5.1, "ms").WithBound(&five)},
		"not measured": {figure: NewMissing("x", "ms", "the node did not start").WithBound(&five)},
		"infinite":     {figure: NewFigure("x", math.Inf(1), "ms").WithBound(&five)},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, tc.pass, tc.figure.WithNaive(9).Pass)
			path := filepath.Join(t.TempDir(), "measure.json")
			require.NoError(t, Write(path, []Figure{tc.figure.WithNaive(9)}))
			data, err := os.ReadFile(path)
			require.NoError(t, err)
			var list []map[string]any
			require.NoError(t, json.Unmarshal(data, &list))
			require.Equal(t, tc.pass, list[0]["pass"])
			require.Equal(t, 9.0, list[0]["naive"])
			require.Contains(t, list[0], "bound")
		})
	}
}

// TestPlot guards against a plot that is not written as SVG.
func TestPlot(t *testing.T) {
	h := hdrhistogram.New(1, 1000, 3)
	require.NoError(t, h.RecordValue(5))
	path := filepath.Join(t.TempDir(), "latency.svg")
	require.NoError(t, PlotLatency(path, map[string]*hdrhistogram.Histogram{"own": h}))
	data, err := os.ReadFile(path)
	require.NoError(t, err)
	require.Contains(t, string(data), "<svg")
}
