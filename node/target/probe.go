package target

import "time"

const (
	initialProbeCost = 6 * time.Millisecond // cost of a probe until one was measured, as stated for the first targets
	responseFreshFor = time.Second          // responses younger than this replace a probe
	minProbeInterval = 200 * time.Millisecond
	probeTimeout     = 5 * time.Second // a probe without a result counts as lost after this time

	// Targets that tell how fast they work and whether they are cold are asked more often, at a cost of microseconds: the
	// pace shifts within a fraction of a second, and one that turned cold breaks down within a second.
	selfReportFreshFor    = 100 * time.Millisecond // responses younger than this tell the pace
	probePauseFresh       = 500 * time.Millisecond // pause between probes while they do
	probePauseStale       = 200 * time.Millisecond // pause between probes otherwise
	probePauseColdUnknown = 100 * time.Millisecond // pause while the target may have started anew
	probePauseWaiters     = 50 * time.Millisecond  // pause while requests wait for the target to become fast
	reportTimeout         = 500 * time.Millisecond // an answer that takes longer means that the target does not answer
)

// ProbeState is what the decision to probe depends on.
type ProbeState struct {
	sent         time.Time // last probe, or the start of the node
	lastResponse time.Time // last response of the target to a request
	meanCost     time.Duration
	lastCost     time.Duration // cost of the last probe
	pending      bool
}

// NewProbeState returns the state at the start of a node: the start counts as a probe, which bounds probes over restarts.
func NewProbeState(now time.Time) ProbeState {
	return ProbeState{sent: now, meanCost: initialProbeCost, lastCost: initialProbeCost}
}

// WithResponse returns the state after the target answered a request.
func (s ProbeState) WithResponse(now time.Time) ProbeState {
	s.lastResponse = now
	return s
}

// WithProbe returns the state after a probe was sent.
func (s ProbeState) WithProbe(now time.Time) ProbeState {
	s.sent, s.pending = now, true
	return s
}

// WithResult returns the state after a probe ended and took the given part of the target's time.
func (s ProbeState) WithResult(cost time.Duration) ProbeState {
	s.pending = false
	s.lastCost = cost
	s.meanCost += (cost - s.meanCost) / 4
	return s
}

// Pending tells whether a probe of a target that tells of itself is under way.
func (s ProbeState) Pending(now time.Time) bool { return s.pending && now.Sub(s.sent) < reportTimeout }

// ShouldProbe tells whether to probe now; budget is a share of the target's time.
func ShouldProbe(now time.Time, s ProbeState, budget float64) bool {
	since := now.Sub(s.sent)
	if budget <= 0 || (s.pending && since < probeTimeout) || (!s.lastResponse.IsZero() && now.Sub(s.lastResponse) < responseFreshFor) {
		return false
	}
	// The last probe is paid for in full, also when it cost more than was learnt.
	pause := time.Duration(float64(max(s.meanCost, s.lastCost)) / budget)
	return since >= max(pause, minProbeInterval)
}

// NextForWaiters returns when to probe a target again for which requests wait.
func (s ProbeState) NextForWaiters() time.Time { return s.sent.Add(probePauseWaiters) }

// ShouldProbeSelfReporting tells whether to probe a target that tells of itself; unsure says that it may have started anew.
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
