// Package report writes the figures and plots of a measurement.
package report

import (
	"encoding/json"
	"fmt"
	"math"
	"os"
)

// Figure is one measured value; Pass reports whether it was measured and is within its bound.
type Figure struct {
	Name     string   `json:"name"`
	Value    *float64 `json:"value"` // null if it was not measured
	Unit     string   `json:"unit"`
	Bound    *float64 `json:"bound"`
	Pass     bool     `json:"pass"`
	Baseline *float64 `json:"naive"` // value under the naive policy in the same run
	Note     string   `json:"note,omitempty"`
}

// NewFigure returns a figure without a bound.
func NewFigure(name string, value float64, unit string) Figure {
	v := round(value)
	return Figure{Name: name, Value: &v, Unit: unit, Pass: true}
}

// NewMissing returns a figure that was not measured; it does not pass.
func NewMissing(name, unit, note string) Figure {
	return Figure{Name: name, Unit: unit, Note: note}
}

// WithBound returns f with an upper bound, nil for none; a figure that was not measured does not pass in either case.
func (f Figure) WithBound(bound *float64) Figure {
	f.Bound = bound
	f.Pass = f.Value != nil && (bound == nil || *f.Value <= *bound)
	return f
}

// WithNaive returns f with the value under the naive policy.
func (f Figure) WithNaive(value float64) Figure {
	v := round(value)
	f.Baseline = &v
	return f
}

// WithNote returns f with a note.
func (f Figure) WithNote(note string) Figure {
	f.Note = note
	return f
}

// Line formats the figure as one line of text.
func (f Figure) Line() string {
	return fmt.Sprintf("%-20s %12s %-8s bound %-8s naive %-10s pass %t  %s", f.Name, formatValue(f.Value), f.Unit, formatValue(f.Bound), formatValue(f.Baseline), f.Pass, f.Note)
}

// Write writes the figures to a file as a JSON array.
func Write(path string, figures []Figure) error {
	data, err := json.MarshalIndent(figures, "", "  ")
	if err != nil {
		return fmt.Errorf("report: encoding figures: %w", err)
	}
	if err := os.WriteFile(path, append(data, '\n'), 0o600); err != nil {
		return fmt.Errorf("report: writing figures: %w", err)
	}
	return nil
}

func formatValue(v *float64) string {
	if v == nil {
		return "-"
	}
	return fmt.Sprintf("%g", *v)
}

// round rounds to four decimal places; infinity and NaN, which JSON cannot encode, become a very large number.
func round(v float64) float64 {
	if math.IsNaN(v) || math.IsInf(v, 0) {
		return math.MaxFloat32
	}
	return math.Round(v*1e4) / 1e4
}
