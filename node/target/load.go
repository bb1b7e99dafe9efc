// Package target handles the requests to the target beside the node: admission, queueing, probes and reused connections.
package target

import (
	"fmt"
	"strings"
	"time"
)

// Load is the load report that the gate beside a target sends with each response and refusal.
type Load struct {
	Running      int
	Queued       int
	Limit        int           // concurrent requests that the target has capacity for
	ServiceTime  time.Duration // recent mean service time
	FailureRate  float64       // share of recent responses that failed
	Leaving      bool
	Slowdown     float64       // current multiple of the usual service time, zero if the target does not report it
	MeanSlowdown float64       // mean of Slowdown, zero if the target does not report it
	Unreachable  bool          // the target does not answer its node
	Cold         bool          // the target is or may be cold
	ExpectedWait time.Duration // expected wait of a request that arrives now
	Waits        []RankWait    // expected waits by rank, the most urgent first, at most MaxRankWaits; nil if not reported
}

// loadFields is the number of fields of the text form before the waits by rank.
const loadFields = 11

// String returns the text form of the report.
func (l Load) String() string {
	text := fmt.Sprintf("%d %d %d %d %.3f %t %.2f %.2f %t %t %d", l.Running, l.Queued, l.Limit, l.ServiceTime.Microseconds(), l.FailureRate, l.Leaving, l.Slowdown, l.MeanSlowdown, l.Unreachable, l.Cold, l.ExpectedWait.Microseconds())
	for _, w := range l.Waits {
		text += " " + w.String()
	}
	return text
}

// ParseLoad reads the text form of a report; nodes of an earlier release send no waits by rank.
func ParseLoad(s string) (Load, error) {
	var l Load
	var us, wait int64
	if _, err := fmt.Sscanf(s, "%d %d %d %d %f %t %f %f %t %t %d", &l.Running, &l.Queued, &l.Limit, &us, &l.FailureRate, &l.Leaving, &l.Slowdown, &l.MeanSlowdown, &l.Unreachable, &l.Cold, &wait); err != nil {
		return Load{}, fmt.Errorf("target: reading a load report: %w", err)
	}
	l.ServiceTime, l.ExpectedWait = time.Duration(us)*time.Microsecond, time.Duration(wait)*time.Microsecond
	fields := strings.Fields(s)
	if len(fields) > loadFields+MaxRankWaits {
		return Load{}, RankWaitError{Reason: "too many"}
	}
	for _, text := range fields[min(loadFields, len(fields)):] {
		w, err := parseRankWait(text)
		if err != nil {
			return Load{}, err
		}
		l.Waits = append(l.Waits, w)
	}
	if err := CheckRankWaits(l.Waits); err != nil {
		return Load{}, err
	}
	return l, nil
}
