package journal

import "time"

const (
	// limitPeriod is the period of the limits below; at its end the suppressed lines are reported as counts.
	limitPeriod = 10 * time.Second
	// maxNodeLines is the limit per kind of lines about the node itself. Lines of one kind have the same level, text and
	// refusal code.
	maxNodeLines = 5
	// maxDecisionLines and maxRoutineLines are the limits per kind of lines about requests. A node takes part in at most
	// a few hundred requests a second, and each line takes about 10 µs of CPU time.
	maxDecisionLines = 1000
	maxRoutineLines  = 500
	// maxTotalLines is the limit of lines of all kinds: 300 a second, or about 150 KB/s. Routine lines stop at half of it.
	maxTotalLines = 3000
)

// LineCount counts the lines of one kind in the current period.
type LineCount struct{ lines, written int }

// WithLine returns the count after one more line, and whether to write that line because fewer than limit were written.
func (c LineCount) WithLine(limit int) (LineCount, bool) {
	c.lines++
	if c.written >= limit {
		return c, false
	}
	c.written++
	return c, true
}

// Suppressed returns the number of lines that were not written.
func (c LineCount) Suppressed() int { return c.lines - c.written }
