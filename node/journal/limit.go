package journal

import "time"

const (
	// period is the time after which the lines held back are counted.
	period = 10 * time.Second
	// most is the number of lines with one level and text in a period; the following ones only count.
	most = 5
)

// Limit counts the lines with one level and text in the current period.
type Limit struct{ lines int }

// WithLine returns the limit after one more line, and whether to write it.
func (l Limit) WithLine() (Limit, bool) {
	l.lines++
	return l, l.lines <= most
}

// Repeats returns the number of lines that were held back.
func (l Limit) Repeats() int { return max(0, l.lines-most) }
