package peer

import (
	"maps"
	"slices"
	"time"

	"verbenapin.dev/node/target"
)

const (
	// receiverTTL is how long a node gets load reports after its last request.
	receiverTTL = 3 * time.Second
	// maxReportInterval is the longest time between load reports; a target without any for silentAfter counts as silent.
	maxReportInterval = 300 * time.Millisecond
	// minReportInterval is the shortest time between load reports of values that change with each request.
	minReportInterval = 50 * time.Millisecond
	// minLoadChange is the smallest change of running and queued requests that is reported, as a ratio of the limit.
	minLoadChange = 0.3
	// minWaitChange is the smallest change of the expected wait that is reported.
	minWaitChange = 20 * time.Millisecond
	// minRankWaitChange is minWaitChange for the waits by rank. They change more, and what they are for, the admission of requests that
	// make calls, compares them with latency objectives of hundreds of milliseconds.
	minRankWaitChange = 50 * time.Millisecond
	// minSlowdownChange is the smallest change of the slowdown that is reported at once.
	minSlowdownChange = 0.25
)

// Receivers is an immutable set of the nodes that recently sent requests to the target beside this node, with the last
// load reported to them.
type Receivers struct {
	lastRequest map[string]time.Time // time of the last request by node name
	lastLoad    target.Load
	reportedAt  time.Time // time of the last load report
}

// WithReceiver returns the receivers after a request of a node, and whether the node is new.
func (r Receivers) WithReceiver(now time.Time, node string) (Receivers, bool) {
	_, known := r.lastRequest[node]
	r.lastRequest = maps.Clone(r.lastRequest)
	if r.lastRequest == nil {
		r.lastRequest = map[string]time.Time{}
	}
	r.lastRequest[node] = now
	return r, !known
}

// WithLoad returns the receivers after an update of the gate's load, and the nodes to report it to, none if no report is
// due.
func (r Receivers) WithLoad(now time.Time, l target.Load) (Receivers, []string) {
	if len(r.lastRequest) == 0 || !r.shouldReport(now, l) {
		return r, nil
	}
	r.lastLoad, r.reportedAt = l, now
	r.lastRequest = maps.Clone(r.lastRequest)
	maps.DeleteFunc(r.lastRequest, func(_ string, last time.Time) bool { return now.Sub(last) >= receiverTTL })
	return r, slices.Sorted(maps.Keys(r.lastRequest))
}

// shouldReport reports whether the load differs enough from the last one reported, or whether that is too old.
func (r Receivers) shouldReport(now time.Time, l target.Load) bool {
	since := now.Sub(r.reportedAt)
	switch {
	case since >= maxReportInterval, l.Leaving != r.lastLoad.Leaving, l.Unreachable != r.lastLoad.Unreachable, l.Cold != r.lastLoad.Cold:
		return true
	case l.Slowdown-r.lastLoad.Slowdown >= minSlowdownChange, r.lastLoad.Slowdown-l.Slowdown >= minSlowdownChange:
		return true
	case since < minReportInterval:
		return false
	}
	if increase := l.ExpectedWait - r.lastLoad.ExpectedWait; increase >= minWaitChange || increase <= -minWaitChange {
		return true
	}
	if len(l.Waits) != len(r.lastLoad.Waits) {
		return true
	}
	for i, w := range l.Waits {
		last := r.lastLoad.Waits[i]
		if w.Priority != last.Priority || (w.Wait-last.Wait).Abs() >= minRankWaitChange {
			return true
		}
	}
	change := l.Running + l.Queued - r.lastLoad.Running - r.lastLoad.Queued
	return l.Limit != r.lastLoad.Limit || float64(max(change, -change)) >= max(minLoadChange*float64(l.Limit), 1)
}
