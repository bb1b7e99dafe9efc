package target

import "time"

const (
	firstCost  = 6 * time.Millisecond // cost of a probe until one was measured, as stated for the first targets
	freshFor   = time.Second          // responses younger than this replace a probe
	probeEvery = 200 * time.Millisecond
	probeLost  = 5 * time.Second // a probe without a result counts as lost after this time

	// Targets that tell how fast they work and whether they are cold are asked more often, at a cost of microseconds: the
	// pace shifts within a fraction of a second, and one that turned cold breaks down within a second.
	toldFresh  = 100 * time.Millisecond // responses younger than this tell the pace
	toldRare   = 500 * time.Millisecond // pause between probes while they do
	toldOften  = 200 * time.Millisecond // pause between probes otherwise
	toldUnsure = 100 * time.Millisecond // pause while the target may have started anew
	toldWaited = 50 * time.Millisecond  // pause while requests wait for the target to become fast
	toldLost   = 500 * time.Millisecond // an answer that takes longer means that the target does not answer
)

// ProbeState is what the decision to probe depends on.
type ProbeState struct {
	sent  time.Time // last probe, or the start of the node
	heard time.Time // last response of the target to a request
	cost  time.Duration
	last  time.Duration // cost of the last probe
	open  bool
}

// NewProbeState returns the state at the start of a node: the start counts as a probe, which bounds probes over restarts.
func NewProbeState(now time.Time) ProbeState {
	return ProbeState{sent: now, cost: firstCost, last: firstCost}
}

// WithResponse returns the state after the target answered a request.
func (s ProbeState) WithResponse(now time.Time) ProbeState {
	s.heard = now
	return s
}

// WithProbe returns the state after a probe was sent.
func (s ProbeState) WithProbe(now time.Time) ProbeState {
	s.sent, s.open = now, true
	return s
}

// WithResult returns the state after a probe ended and took the given part of the target's time.
func (s ProbeState) WithResult(cost time.Duration) ProbeState {
	s.open = false
	s.last = cost
	s.cost += (cost - s.cost) / 4
	return s
}

// IsOpen tells whether a probe of a target that tells of itself is under way.
func (s ProbeState) IsOpen(now time.Time) bool { return s.open && now.Sub(s.sent) < toldLost }

// Probe tells whether to probe now; budget is a share of the target's time.
func Probe(now time.Time, s ProbeState, budget float64) bool {
	since := now.Sub(s.sent)
	if budget <= 0 || (s.open && since < probeLost) || (!s.heard.IsZero() && now.Sub(s.heard) < freshFor) {
		return false
	}
	// The last probe is paid for in full, also when it cost more than was learnt.
	pause := time.Duration(float64(max(s.cost, s.last)) / budget)
	return since >= max(pause, probeEvery)
}

// Again returns when to probe a target again for which requests wait.
func (s ProbeState) Again() time.Time { return s.sent.Add(toldWaited) }

// ProbeTold tells whether to probe a target that tells of itself; unsure says that it may have started anew.
func ProbeTold(now time.Time, s ProbeState, unsure bool) bool {
	since := now.Sub(s.sent)
	switch {
	case s.IsOpen(now):
		return false
	case unsure:
		return since >= toldUnsure
	case !s.heard.IsZero() && now.Sub(s.heard) < toldFresh:
		return since >= toldRare
	}
	return since >= toldOften
}
