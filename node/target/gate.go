package target

import (
	"math"
	"slices"
	"time"

	"verbenapin.dev/node/answer"
	"verbenapin.dev/node/config"
)

const (
	leavingRetryAfter     = time.Second     // retry delay for a target that is leaving, evacuated or replaced
	unreachableRetryAfter = probePauseStale // retry delay for a target that does not answer
	retriedWeight         = 32              // runs over which the share of retried requests is averaged
)

type activeRequest struct {
	request      AdmissionRequest
	started      time.Time
	cost         time.Duration // expected service time, charged to the account at the start
	limitReached bool          // the limit was reached while the request ran
	slowdown     float64       // of the target at the start
	called       uint8         // services that the run has called, as in Calls.WithCall
}

// Gate decides which requests run at the target beside the node.
type Gate struct {
	limit        Limit
	state        State
	serviceTimes ServiceTimes
	queue        Queue
	running      []activeRequest // ordered by start
	displaced    []Decision      // refusals of displaced requests, returned with the next event
	leaving      bool
	listing      Listing
	unhealthy    bool      // by the last probe that told
	departedAt   time.Time // since when the target leaves by its listing, zero if it does not
	evacuated    bool
	retriedShare float64
	unreachable  bool // a self-reporting target could not be reached and has sent no report since
	ranks        rankHistory
	reportsRanks bool // load reports carry the expected wait by rank

	calls         Calls
	admitsByCalls bool // new requests are refused if their calls would find no capacity
}

// NewGate returns the gate of a target that starts cold and has the given number of slots when warm.
func NewGate(slots int) Gate {
	return Gate{limit: NewLimit(slots)}
}

// WithSlots returns the gate with another number of slots for the warm target.
func (g Gate) WithSlots(slots int) Gate {
	g.limit = g.limit.WithSlots(slots)
	return g
}

// WithRegistration returns the gate with a new registration of the target; if that is of another start of the target, the
// limit is reset.
func (g Gate) WithRegistration(r Registration) Gate {
	if g.state.Registration().Name != r.Name || !g.state.Registration().StartedAt.Equal(r.StartedAt) {
		g.limit = NewLimit(g.limit.slots)
	}
	g.state = g.state.WithRegistration(r)
	if r.Slots > 0 {
		g.limit = g.limit.WithDeclaredSlots(r.Slots)
	}
	return g
}

// IsSelfReporting reports whether the platform declares the target's slots. Such a target also reports its slowdown and
// whether it is cold, so that the gate need not infer them from service times.
func (g Gate) IsSelfReporting() bool { return g.limit.declared }

// WithReport returns the gate after a report of the target; probed is set if it came with the response to a probe.
func (g Gate) WithReport(now time.Time, r answer.TargetReport, probed bool) Gate {
	g.state, g.unreachable = g.state.WithReport(now, r, probed), false
	return g
}

// WithFleet returns the gate under fleet-wide settings.
func (g Gate) WithFleet(f config.Fleet) Gate {
	g.reportsRanks, g.admitsByCalls = f.Nested || f.Returns, f.Nested && f.CallAdmission
	if !g.admitsByCalls {
		g.calls = Calls{}
	}
	return g
}

// parent returns what the calls of a running request take over from it, with its index, or false if no request with that identity is
// running.
func (g Gate) parent(runID string) (Parent, int, bool) {
	at := slices.IndexFunc(g.running, func(r activeRequest) bool { return r.request.RunID == runID })
	if at < 0 || runID == "" {
		return Parent{}, 0, false
	}
	r := &g.running[at].request
	return Parent{Route: r.Route, Priority: r.Priority, SoftDeadline: r.SoftDeadline, LatencyObjective: r.LatencyObjective, Retried: r.Retried}, at, true
}

// WithLeaving returns the gate of a node that is leaving, or no longer is; waiting requests are still served.
func (g Gate) WithLeaving(leaving bool) Gate {
	g.leaving = leaving
	return g
}

// WithEvacuated returns the gate of a target whose failure domain is evacuated or brought back. A target that is brought
// back counts as cold.
func (g Gate) WithEvacuated(now time.Time, evacuated bool) Gate {
	if g.evacuated && !evacuated {
		g.limit, g.state = g.limit.WithRestart(now), g.state.WithPossibleRestart()
	}
	g.evacuated = evacuated
	return g
}

// WithUnreachable returns the gate after a failed probe or a refused connection; the target counts as cold when it is
// back.
func (g Gate) WithUnreachable(now time.Time) Gate {
	g.limit, g.state = g.limit.WithRefused(now), g.state.WithPossibleRestart()
	g.unreachable = g.IsSelfReporting()
	return g
}

// Load returns the load report that is sent to other nodes.
func (g Gate) Load(now time.Time) Load {
	return Load{
		Running:      len(g.running),
		Queued:       g.queue.Len(),
		Limit:        g.reportedLimit(now),
		ServiceTime:  g.limit.ServiceTime(),
		FailureRate:  g.limit.FailureRate(),
		Leaving:      g.isLeaving(),
		Slowdown:     g.state.slowdown,
		MeanSlowdown: g.state.meanSlowdown,
		Unreachable:  g.unreachable,
		Cold:         g.IsSelfReporting() && g.state.IsCold(now),
		ExpectedWait: g.expectedWaitNow(now),
		Waits:        g.rankWaits(now),
	}
}

// isLeaving reports whether the node is leaving, or the target by its listing or its own word.
func (g Gate) isLeaving() bool {
	return g.leaving || !g.departedAt.IsZero() || g.state.announced.IsLeaving()
}

// reportedLimit returns the concurrent requests that senders should expect the target to have capacity for. At an announced rate it
// runs that rate times the service time at once (Little's law), however many slots it has.
func (g Gate) reportedLimit(now time.Time) int {
	limit := g.limit.WithIdle(now).Value()
	if rate := g.state.announced.Rate(); rate > 0 {
		limit = min(limit, int(math.Ceil(rate*g.limit.ServiceTime().Seconds())))
	}
	return max(limit, 1)
}

// Announced returns what the target has announced in its responses.
func (g Gate) Announced() Announcement { return g.state.announced }

// RetriedShare returns the share of the recent runs at the target that were retries. The calls that the target makes in turn are
// retries in the same proportion.
func (g Gate) RetriedShare() float64 { return g.retriedShare }
