package scenario

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"verbenapin.dev/measure/load"
	"verbenapin.dev/measure/report"
)

// TestMain guards against goroutines that leak from a run.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// TestRun guards against a failed scenario that passes, is left out, or reports the value of the naive policy as its own.
func TestRun(t *testing.T) {
	cases := map[string]struct {
		own, naive    map[string]float64
		ownErr, naErr error
		pass          bool
		value, other  *float64
	}{
		"within":          {own: map[string]float64{"x": 1}, naive: map[string]float64{"x": 9}, pass: true, value: bound(1), other: bound(9)},
		"beyond":          {own: map[string]float64{"x": 3}, naive: map[string]float64{"x": 1}, value: bound(3), other: bound(1)},
		"failed":          {ownErr: errors.New("node ended"), naive: map[string]float64{"x": 1}},
		"figure left out": {own: map[string]float64{"y": 1}, naive: map[string]float64{"x": 1}},
		"naive failed":    {own: map[string]float64{"x": 1}, naErr: errors.New("node ended"), pass: true, value: bound(1)},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			s := Scenario{Naive: roundRobinPolicy, Specs: []Spec{{Name: "x", Bound: bound(2)}}, Run: func(_ context.Context, runner Runner, _ system) (map[string]float64, error) {
				if runner.policy == roundRobinPolicy {
					return tc.naive, tc.naErr
				}
				return tc.own, tc.ownErr
			}}
			runner := NewRunner("", "", io.Discard)
			runner.SetUp = func(context.Context, Runner, Scenario) (system, error) { return system{}, nil }
			figures := runner.Run(context.Background(), []Scenario{s, {Alone: true, Specs: s.Specs, Run: s.Run}})
			require.Len(t, figures, 2)
			require.Equal(t, tc.pass, figures[0].Pass)
			require.Equal(t, tc.value, figures[0].Value)
			require.Equal(t, tc.other, figures[0].Baseline)
			require.Equal(t, tc.pass, figures[1].Pass)
			require.Nil(t, figures[1].Baseline)
		})
	}
}

// TestAll guards against a figure of the design page that no scenario measures.
func TestAll(t *testing.T) {
	text, err := os.ReadFile(filepath.Join("..", "..", "docs", "design.md"))
	require.NoError(t, err)
	_, list, found := strings.Cut(string(text), "bound (or null), pass, naive: ")
	require.True(t, found)
	list, _, _ = strings.Cut(list, ". ")
	var names []string
	for _, s := range All() {
		for _, spec := range s.Specs {
			names = append(names, spec.Name)
		}
	}
	require.ElementsMatch(t, strings.Split(list, ", "), names)
}

// TestQuantiles guards against a policy that looks faster because it refuses more requests.
func TestQuantiles(t *testing.T) {
	now := time.Now()
	answers := []load.Response{{Status: 503, Code: "busy", Intended: now, Ended: now}}
	for range 9 {
		answers = append(answers, load.Response{Status: 200, Intended: now, Ended: now.Add(time.Millisecond)})
	}
	got := quantiles(load.NewResult(answers), "p99", "p999")
	require.InDelta(t, requestTimeout.Seconds()*1000, got["p99"], 100)
	data, err := json.Marshal(report.NewFigure("x", got["p999"], "ms"))
	require.NoError(t, err)
	require.Contains(t, string(data), `"name":"x"`)
}
