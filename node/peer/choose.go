package peer

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"verbenapin.dev/node/target"
)

// loadCost returns the load-dependent part of a target's score, which is the expected time of a request there, and the
// expected wait in the gate's queue.
func (t *TargetTable) loadCost(now time.Time, c Candidate, ownDomain string) (score, wait time.Duration) {
	service := t.meanServiceTime
	if service == 0 {
		service = initialServiceTime
	}
	limit, requests, failing := 1.0, t.meanUse, 0.0
	e := t.find(c.Name)
	switch {
	case e == nil:
	case !e.known:
		requests = float64(e.outstanding)
	default:
		limit = float64(max(e.load.Limit, 1))
		age := now.Sub(e.loadAt)
		freshness := math.Exp(-float64(age) / float64(reportDecay))
		if e.hasFreshReport(now) {
			freshness = 1
		}
		if e.load.ServiceTime > 0 {
			service = time.Duration(float64(e.load.ServiceTime) * expectedSlowdown(e.load, freshness))
		}
		requests = float64(e.outstanding) + float64(e.otherRequests)*freshness + t.meanUse*limit*(1-freshness)
		failing = e.load.FailureRate * math.Exp2(-float64(age)/float64(failureHalfLife))
	}
	// The short service times of a target that fails fast do not show how long a successful request takes.
	if failing > 0.1 {
		service = max(service, t.meanServiceTime)
	}
	wait = time.Duration(max(requests+1-limit, 0) / limit * float64(service))
	score = time.Duration((requests+newRequestWeight)/limit*float64(service)) + time.Duration(failing*float64(recentFailureCost))
	if e == nil || !e.detailed() {
		score += t.RTT(c.Domain, ownDomain) + c.Penalty
	} else if e.hasFreshReport(now) {
		wait = max(wait, e.load.ExpectedWait-now.Sub(e.loadAt))
		score = max(score, wait)
	}
	if e != nil && e.avoidUntil.After(now) {
		wait = max(wait, e.avoidUntil.Sub(now))
		score += e.avoidUntil.Sub(now)
	}
	return score, wait
}

// fixedCost returns the part of a target's score that gets no jitter: the round trip, the service time at the current
// slowdown and the state of the target. Targets with a fresh load report are all compared, so that small differences of this
// part decide. It is zero for targets without a detailed load.
func (t *TargetTable) fixedCost(now time.Time, c Candidate, ownDomain string) time.Duration {
	e := t.find(c.Name)
	if e == nil || !e.detailed() {
		return 0
	}
	cost := t.RTT(c.Domain, ownDomain) + c.Penalty
	if e.load.ServiceTime > 0 {
		freshness := 0.0
		if e.hasFreshReport(now) {
			freshness = 1
		}
		if e.hasFreshReport(now) && e.load.ExpectedWait > 0 {
			cost += e.load.ServiceTime // the gate holds the request until the target is back to its usual service time
		} else {
			cost += time.Duration(float64(e.load.ServiceTime) * expectedSlowdown(e.load, freshness))
		}
	}
	cost += time.Duration(e.load.FailureRate * float64(failureCost))
	if e.load.Cold {
		cost += coldCost
	}
	if e.silent(now) {
		cost += silentCost
	}
	return cost
}

// withFresh adds all usable candidates with a fresh load report to the sample: where the load is known, sampling would
// only hide the best targets.
func (t *TargetTable) withFresh(now time.Time, list []int, candidates []Candidate, evacuated, tried []string) []int {
	sampleSize := len(list)
	for i := range candidates {
		e := t.find(candidates[i].Name)
		if e == nil || !e.hasFreshReport(now) || slices.Contains(list[:sampleSize], i) {
			continue
		}
		if t.exclusionReason(now, &candidates[i], evacuated, tried) == "" {
			list = append(list, i)
		}
	}
	return list
}

// expectedSlowdown returns the expected service time at a target as a multiple of the usual one. The slowdown changes
// within a fraction of a second, so an old report falls back to the mean.
func expectedSlowdown(l target.Load, freshness float64) float64 {
	if l.Slowdown <= 0 || l.MeanSlowdown <= 0 {
		return 1
	}
	return l.MeanSlowdown + (l.Slowdown-l.MeanSlowdown)*freshness
}

// Choose returns the target of the next attempt: the one with the lowest score among a random sample and all candidates
// with a fresh load report. The sample holds two targets of the own failure domain and one of another, or three of others
// if the own domain has none. A sampled target of unknown state is occasionally tried instead.
func (t TargetTable) Choose(now time.Time, r *rand.Rand, candidates []Candidate, ownDomain string, evacuated, tried []string) (Choice, bool) {
	var own, other [3]int // reservoir samples of the own failure domain and of others
	ownSeen, otherSeen := 0, 0
	reason := ReasonEmpty
	for i := range candidates {
		c := &candidates[i]
		exclusion := t.exclusionReason(now, c, evacuated, tried)
		if exclusion != "" {
			reason = moreSpecific(reason, exclusion)
			continue
		}
		if c.Domain == ownDomain {
			reservoirSample(r, &own, ownSeen, i)
			ownSeen++
		} else {
			reservoirSample(r, &other, otherSeen, i)
			otherSeen++
		}
	}
	if ownSeen+otherSeen == 0 {
		return t.chooseUnanswered(candidates, evacuated, tried, reason)
	}
	compared := make([]int, 0, 3)
	compared = append(compared, own[:min(ownSeen, 2)]...)
	compared = append(compared, other[:min(otherSeen, 3-len(compared))]...)
	if ownSeen > 0 && otherSeen > 0 {
		compared = compared[:min(ownSeen, 2)+1]
	}
	compared = t.withFresh(now, compared, candidates, evacuated, tried)
	best, bestScore, bestWait := -1, time.Duration(0), time.Duration(0)
	for _, i := range compared {
		c := candidates[i]
		score, wait := t.loadCost(now, c, ownDomain)
		if _, explore, _ := t.availability(now, c.Name); explore && r.IntN(exploreOneIn) == 0 {
			return Choice{Instance: c.Name, Reason: ReasonExplore, ExpectedWait: wait, NoAlternative: ownSeen+otherSeen == 1}, true
		}
		score = time.Duration(float64(score)*(1+scoreJitter*(2*r.Float64()-1))) + t.fixedCost(now, c, ownDomain)
		if best < 0 || score < bestScore {
			best, bestScore, bestWait = i, score, wait
		}
	}
	c := candidates[best]
	choice := Choice{Instance: c.Name, Reason: ReasonLowestScore, ExpectedWait: bestWait, NoAlternative: ownSeen+otherSeen == 1}
	if _, explore, _ := t.availability(now, c.Name); explore {
		choice.Reason = ReasonExplore
	} else if c.Domain != ownDomain && ownSeen > 0 {
		choice.Reason = ReasonOtherDomain
	}
	return choice, true
}

// chooseUnanswered returns a target whose first request has not been answered yet, for when no usable target is left: its
// gate may admit the request, while no choice at all would refuse it.
func (t *TargetTable) chooseUnanswered(candidates []Candidate, evacuated, tried []string, reason Reason) (Choice, bool) {
	var best *entry
	for _, c := range candidates {
		e := t.find(c.Name)
		if t.announcesLeaving(&c) {
			continue
		}
		if e == nil || e.known || e.lost || e.load.Leaving || slices.Contains(evacuated, c.Domain) || slices.Contains(tried, c.Name) {
			continue
		}
		if best == nil || e.outstanding < best.outstanding {
			best = e
		}
	}
	if best == nil {
		return Choice{Reason: reason}, false
	}
	return Choice{Instance: best.name, Reason: ReasonExplore, NoAlternative: true}, true
}

// exclusionReason returns why the candidate can't be chosen, or an empty reason.
func (t *TargetTable) exclusionReason(now time.Time, c *Candidate, evacuated, tried []string) Reason {
	if slices.Contains(evacuated, c.Domain) {
		return ReasonDomain
	}
	if slices.Contains(tried, c.Name) {
		return ReasonTried
	}
	if t.announcesLeaving(c) {
		return ReasonLeaving
	}
	if usable, _, reason := t.availability(now, c.Name); !usable {
		return reason
	}
	return ""
}

// moreSpecific returns the reason that explains better why there is no choice.
func moreSpecific(a, b Reason) Reason {
	bySpecificity := []Reason{ReasonEmpty, ReasonDomain, ReasonLeaving, ReasonTried, ReasonUnknown}
	if slices.Index(bySpecificity, b) > slices.Index(bySpecificity, a) {
		return b
	}
	return a
}

// reservoirSample updates kept, a random sample in random order of the indices offered so far.
func reservoirSample(r *rand.Rand, kept *[3]int, seen, i int) {
	if seen < len(kept) {
		j := r.IntN(seen + 1)
		kept[seen] = kept[j]
		kept[j] = i
		return
	}
	if j := r.IntN(seen + 1); j < len(kept) {
		kept[j] = i
	}
}
