package peer

import (
	"math/rand/v2"
	"time"

	"verbenapin.dev/node/target"
)

const (
	// slowPaceFactor is the multiple of its mean slowdown from which a target counts as slow. The mean itself rises during a phase.
	slowPaceFactor = 1.3
	// slowNoticeDelay is how long after the start of a slow phase its load report arrives: the gate's last report may be 25 ms old, and its
	// load report waits for the next interval.
	slowNoticeDelay = 60 * time.Millisecond
	// maxWaitingShare is the queue of a gate, as a share of the requests that run, above which a request that was sent there may be waiting.
	maxWaitingShare = 0.25
	// maxHedgeFailures is the share of failed responses above which a target counts as shedding.
	maxHedgeFailures = 0.1
)

// slowPhase is the latest slow phase of a target according to its load reports.
type slowPhase struct {
	since time.Time // arrival of its first load report, zero if there was none
	until time.Time // arrival of its last load report
	pace  float64   // slowdown as a multiple of the lowest known one
	base  float64   // lowest recent slowdown
}

// withLoad returns the phase after a load report.
func (p slowPhase) withLoad(now time.Time, l target.Load) slowPhase {
	if l.Slowdown <= 0 {
		return p
	}
	if p.base == 0 || l.Slowdown < p.base {
		p.base = l.Slowdown
	}
	if !isSlow(l) {
		p.base += (l.Slowdown - p.base) / 8
		return p
	}
	if p.since.IsZero() || now.Sub(p.until) >= reportFreshFor {
		p.since = now
	}
	p.until, p.pace = now, l.Slowdown/p.base
	return p
}

// paceAt returns the slowdown of a run that was sent at the given time as a multiple of the usual one, zero if it was not slow.
func (p slowPhase) paceAt(sent time.Time) float64 {
	if p.since.IsZero() || p.until.Before(sent) || p.since.After(sent.Add(slowNoticeDelay)) {
		return 0
	}
	return p.pace
}

func isSlow(l target.Load) bool { return l.Slowdown > slowPaceFactor*l.MeanSlowdown }

// ServiceUse returns the load of the candidates that are in service and whose load is known.
func (t *TargetTable) ServiceUse(now time.Time, candidates []Candidate, evacuated []string) ServiceUse {
	var u ServiceUse
	used, usable := 0, 0
	for i := range candidates {
		e := t.find(candidates[i].Name)
		if e == nil || !e.known || !e.hasFreshReport(now) || t.exclusionReason(now, &candidates[i], evacuated, nil) != "" {
			continue
		}
		u.Known++
		used, usable = used+e.requests(), usable+e.load.Limit
		if e.load.ExpectedWait > 0 || e.load.FailureRate > maxHedgeFailures {
			u.Busy++
		}
	}
	u.Use = float64(used) / float64(max(usable, 1))
	return u
}

// requests returns the requests at the target: the reported ones, or those of this node and others if it has sent more since.
func (e *entry) requests() int {
	return max(e.load.Running+e.load.Queued, e.outstanding+e.otherRequests)
}

// ChooseHedge returns the target of a hedge: the least used one of the own failure domain, else of another, among those with a fresh load
// report that are neither cold nor slow, have no wait, and have a slot left.
func (t *TargetTable) ChooseHedge(now time.Time, r *rand.Rand, candidates []Candidate, ownDomain string, evacuated, tried []string) (Candidate, bool) {
	best, bestScore := -1, 0.0
	for i := range candidates {
		c := &candidates[i]
		if !t.isIdle(now, c) || t.exclusionReason(now, c, evacuated, tried) != "" {
			continue
		}
		e := t.find(c.Name)
		// The jitter keeps senders with the same load reports from choosing the same target.
		score := float64(e.requests())/float64(e.load.Limit) + scoreJitter*r.Float64()
		if c.Domain != ownDomain {
			score++ // uses are below 1
		}
		if best < 0 || score < bestScore {
			best, bestScore = i, score
		}
	}
	if best < 0 {
		return Candidate{}, false
	}
	return candidates[best], true
}

// isIdle reports whether a request would start at once at the target, at its usual pace.
func (t *TargetTable) isIdle(now time.Time, c *Candidate) bool {
	e := t.find(c.Name)
	if e == nil || !e.known || !e.hasFreshReport(now) || e.avoidUntil.After(now) {
		return false
	}
	l := e.load
	return !l.Cold && !isSlow(l) && l.ExpectedWait == 0 && l.FailureRate <= maxHedgeFailures &&
		float64(e.requests()+1) <= maxHedgeUse*float64(l.Limit)
}

// hedgeCase returns what is known about a request that was sent to the named target, except for its times and its service.
func (t *TargetTable) hedgeCase(now, sent time.Time, name string, maxWait time.Duration) HedgeCase {
	e := t.find(name)
	if e == nil {
		return HedgeCase{}
	}
	c := HedgeCase{Pace: e.slowPhase.paceAt(sent), Silent: e.silent(now)}
	if e.known && e.hasFreshReport(now) && e.loadAt.After(sent) && e.load.Queued > 0 {
		// With a wait above its bound the gate would have refused the request, so that it must have started. Without a bound only a hedge
		// moves it to another target; if it still waits when that one is answered, cancelling it costs its target nothing.
		c.Waits = maxWaitingShare*float64(e.load.Running) < float64(e.load.Queued) && maxWait >= 0 && e.load.ExpectedWait <= maxWait
	}
	return c
}
