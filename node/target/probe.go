package target

import (
	"io"
	"net/http"
	"time"

	"verbenapin.dev/node/answer"
)

const (
	initialProbeCost = 6 * time.Millisecond // assumed until a probe was measured; the first targets declare this cost
	responseFreshFor = time.Second          // no probe is sent while the last response is younger than this
	minProbeInterval = 200 * time.Millisecond
	probeTimeout     = 5 * time.Second // a probe without a result counts as lost after this time

	// Self-reporting targets are probed more often, at a cost of microseconds: the slowdown changes within a fraction of a
	// second, and a target that has turned cold breaks down within a second.
	selfReportFreshFor    = 100 * time.Millisecond // a response younger than this shows the slowdown
	probePauseFresh       = 500 * time.Millisecond // pause between probes while there are such responses
	probePauseStale       = 200 * time.Millisecond // pause between probes otherwise
	probePauseColdUnknown = 100 * time.Millisecond // pause between probes while the target may have restarted
	probePauseWaiters     = 50 * time.Millisecond  // pause between probes while requests wait for the target
	reportTimeout         = 500 * time.Millisecond // a self-reporting target that takes longer counts as not answering
)

// maxProbeBody is how much of the body of a probe's response is read, in bytes. Health responses have some hundred; a target in trouble
// may send bytes without end.
const maxProbeBody = 64 << 10

// ProbeResult is the cost of a probe and what the target reported in its response.
type ProbeResult struct {
	Cost      time.Duration // target time that the probe used
	Report    answer.TargetReport
	TellsCold bool // the report also says whether the target is cold
	// TellsHealth is whether the response says that the target is Healthy or not; one that did not run the probe does not.
	TellsHealth, Healthy bool
}

// ReadProbe reads and closes the response to a probe. A response that does not name its target, as from one that is full, does not say
// whether the target is cold. A MismatchError reports the response to another request, which says nothing about the target's present state.
func ReadProbe(d answer.Dialect, res *http.Response) (ProbeResult, error) {
	if err := verifyID(d, res, ""); err != nil {
		return ProbeResult{}, err
	}
	// Closing a body that is longer closes its connection.
	_, _ = io.CopyN(io.Discard, res.Body, maxProbeBody)
	_ = res.Body.Close()
	r := d.Report(res.Header)
	return ProbeResult{
		Report: r, TellsCold: !d.ProbesNameTarget || r.Instance != "",
		TellsHealth: !d.NotExecuted(res), Healthy: res.StatusCode < http.StatusMultipleChoices,
	}, nil
}

// ProbeState holds the times and costs that determine when the next probe is sent.
type ProbeState struct {
	sent         time.Time // start of the last probe, or the start of the node
	lastResponse time.Time // last response of the target to a request
	meanCost     time.Duration
	lastCost     time.Duration // cost of the last probe
	pending      bool
}

// NewProbeState returns the state at the start of a node. The start counts as a probe, so that a node that restarts
// repeatedly stays within the probe budget.
func NewProbeState(now time.Time) ProbeState {
	return ProbeState{sent: now, meanCost: initialProbeCost, lastCost: initialProbeCost}
}

// WithResponse returns the state after the target answered a request.
func (s ProbeState) WithResponse(now time.Time) ProbeState {
	s.lastResponse = now
	return s
}

// WithProbe returns the state when a probe is sent.
func (s ProbeState) WithProbe(now time.Time) ProbeState {
	s.sent, s.pending = now, true
	return s
}

// WithResult returns the state after a probe ended; cost is the target time that it used.
func (s ProbeState) WithResult(cost time.Duration) ProbeState {
	s.pending = false
	s.lastCost = cost
	s.meanCost += (cost - s.meanCost) / 4
	return s
}

// Pending reports whether a probe of a self-reporting target is in progress.
func (s ProbeState) Pending(now time.Time) bool { return s.pending && now.Sub(s.sent) < reportTimeout }

// ShouldProbe reports whether to probe now; budget is the share of the target's time that probes may use.
func ShouldProbe(now time.Time, s ProbeState, budget float64) bool {
	since := now.Sub(s.sent)
	if budget <= 0 || (s.pending && since < probeTimeout) || (!s.lastResponse.IsZero() && now.Sub(s.lastResponse) < responseFreshFor) {
		return false
	}
	// The pause covers the cost of the last probe even if it was above the mean.
	pause := time.Duration(float64(max(s.meanCost, s.lastCost)) / budget)
	return since >= max(pause, minProbeInterval)
}

// NextForWaiters returns when to probe again while requests wait for the target.
func (s ProbeState) NextForWaiters() time.Time { return s.sent.Add(probePauseWaiters) }

// ShouldProbeSelfReporting reports whether to probe a self-reporting target now; coldUnknown is set if it may have
// restarted since its last probe.
func ShouldProbeSelfReporting(now time.Time, s ProbeState, coldUnknown bool) bool {
	since := now.Sub(s.sent)
	switch {
	case s.Pending(now):
		return false
	case coldUnknown:
		return since >= probePauseColdUnknown
	case !s.lastResponse.IsZero() && now.Sub(s.lastResponse) < selfReportFreshFor:
		return since >= probePauseFresh
	}
	return since >= probePauseStale
}
