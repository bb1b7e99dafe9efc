package journal

import "time"

const (
	// period is the time after which the lines held back are counted.
	period = 10 * time.Second
	// most is the number of lines about the node with one level and text in a period; the following ones only count.
	most = 5
	// mostDecided and mostAnswered are the numbers of lines about requests with one text and code in a period. A node
	// takes part in a few hundred requests in a second at most, and each line takes about 10 µs of the processor.
	mostDecided  = 1000
	mostAnswered = 500
	// mostLines bounds the lines of all kinds in a period, 300 a second or about 150 KB/s; those about requests that went
	// as expected get half of it.
	mostLines = 3000
)

// Limit counts the lines with one level and text in the current period.
type Limit struct{ lines, written int }

// WithLine returns the limit after one more line, and whether to write it because at most n were written.
func (l Limit) WithLine(n int) (Limit, bool) {
	l.lines++
	if l.written >= n {
		return l, false
	}
	l.written++
	return l, true
}

// Repeats returns the number of lines that were held back.
func (l Limit) Repeats() int { return l.lines - l.written }
