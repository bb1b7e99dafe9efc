package peer

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"verbenapin.dev/node/target"
)

// cost returns the expected time of a request at the target, and its expected wait in the queue.
func (b *TargetTable) cost(now time.Time, c Candidate, own string) (score, wait time.Duration) {
	service := b.service
	if service == 0 {
		service = firstTime
	}
	limit, ahead, failing := 1.0, b.use, 0.0
	e := b.find(c.Name)
	switch {
	case e == nil:
	case !e.known:
		ahead = float64(e.outstanding)
	default:
		limit = float64(max(e.load.Limit, 1))
		age := now.Sub(e.reported)
		fresh := math.Exp(-float64(age) / float64(reportFor))
		if e.live(now) {
			fresh = 1
		}
		if e.load.ServiceTime > 0 {
			service = time.Duration(float64(e.load.ServiceTime) * paceOf(e.load, fresh))
		}
		ahead = float64(e.outstanding) + float64(e.others)*fresh + b.use*limit*(1-fresh)
		failing = e.load.FailureRate * math.Exp2(-float64(age)/float64(failingFor))
	}
	// A target that fails fast reports short service times, which say nothing.
	if failing > 0.1 {
		service = max(service, b.service)
	}
	wait = time.Duration(max(ahead+1-limit, 0) / limit * float64(service))
	score = time.Duration((ahead+ownWeight)/limit*float64(service)) + time.Duration(failing*float64(failingCost))
	if e == nil || !e.tells() {
		score += b.Trip(c.Domain, own) + c.Penalty
	} else if e.live(now) {
		wait = max(wait, e.load.ExpectedWait-now.Sub(e.reported))
		score = max(score, wait)
	}
	if e != nil && e.avoid.After(now) {
		wait = max(wait, e.avoid.Sub(now))
		score += e.avoid.Sub(now)
	}
	return score, wait
}

// fixed returns the part of a target's cost that does not depend on its load: the time of the request itself, which differs
// between targets that tell their pace, and the way. Targets of this kind are all compared, so that the least part decides.
func (b *TargetTable) fixed(now time.Time, c Candidate, own string) time.Duration {
	e := b.find(c.Name)
	if e == nil || !e.tells() {
		return 0
	}
	cost := b.Trip(c.Domain, own) + c.Penalty
	if e.load.ServiceTime > 0 {
		fresh := 0.0
		if e.live(now) {
			fresh = 1
		}
		if e.live(now) && e.load.ExpectedWait > 0 {
			cost += e.load.ServiceTime // the gate lets the request wait until the target is fast
		} else {
			cost += time.Duration(float64(e.load.ServiceTime) * paceOf(e.load, fresh))
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

// withLive adds the usable candidates whose reports are kept fresh to a sample. Where all is known, the sample would only
// hide the best ones.
func (b *TargetTable) withLive(now time.Time, list []int, candidates []Candidate, out, tried []string) []int {
	sampled := len(list)
	for i := range candidates {
		e := b.find(candidates[i].Name)
		if e == nil || !e.live(now) || slices.Contains(list[:sampled], i) {
			continue
		}
		if b.excluded(now, &candidates[i], out, tried) == "" {
			list = append(list, i)
		}
	}
	return list
}

// paceOf returns the time that work is expected to take at a target as a multiple of the usual one. The pace shifts within
// a fraction of a second, so an old report says nothing.
func paceOf(l target.Load, fresh float64) float64 {
	if l.Slowdown <= 0 || l.MeanSlowdown <= 0 {
		return 1
	}
	return l.MeanSlowdown + (l.Slowdown-l.MeanSlowdown)*fresh
}

// Choose returns the target of the next attempt: the best of two of the own failure domain and one of another.
func (b TargetTable) Choose(now time.Time, r *rand.Rand, candidates []Candidate, own string, out, tried []string) (Choice, bool) {
	var near, far [3]int // reservoir samples
	nearSeen, farSeen := 0, 0
	reason := ReasonEmpty
	for i := range candidates {
		c := &candidates[i]
		why := b.excluded(now, c, out, tried)
		if why != "" {
			reason = worse(reason, why)
			continue
		}
		if c.Domain == own {
			sample(r, &near, nearSeen, i)
			nearSeen++
		} else {
			sample(r, &far, farSeen, i)
			farSeen++
		}
	}
	if nearSeen+farSeen == 0 {
		return b.unheard(candidates, out, tried, reason)
	}
	list := make([]int, 0, 3)
	list = append(list, near[:min(nearSeen, 2)]...)
	list = append(list, far[:min(farSeen, 3-len(list))]...)
	if nearSeen > 0 && farSeen > 0 {
		list = list[:min(nearSeen, 2)+1]
	}
	list = b.withLive(now, list, candidates, out, tried)
	best, bestScore, bestWait := -1, time.Duration(0), time.Duration(0)
	for _, i := range list {
		c := candidates[i]
		score, wait := b.cost(now, c, own)
		if _, explore, _ := b.state(now, c.Name); explore && r.IntN(exploreOne) == 0 {
			return Choice{Instance: c.Name, Reason: ReasonExplore, ExpectedWait: wait, Last: nearSeen+farSeen == 1}, true
		}
		score = time.Duration(float64(score)*(1+jitter*(2*r.Float64()-1))) + b.fixed(now, c, own)
		if best < 0 || score < bestScore {
			best, bestScore, bestWait = i, score, wait
		}
	}
	c := candidates[best]
	choice := Choice{Instance: c.Name, Reason: ReasonLeast, ExpectedWait: bestWait, Last: nearSeen+farSeen == 1}
	if _, explore, _ := b.state(now, c.Name); explore {
		choice.Reason = ReasonExplore
	} else if c.Domain != own && nearSeen > 0 {
		choice.Reason = ReasonSpill
	}
	return choice, true
}

// unheard returns a target that has not answered yet although a first request is under way, for when there is no
// better one: its gate decides, while a refusal here would be certain.
func (b *TargetTable) unheard(candidates []Candidate, out, tried []string, reason Reason) (Choice, bool) {
	var best *entry
	for _, c := range candidates {
		e := b.find(c.Name)
		if e == nil || e.known || e.lost || e.load.Leaving || slices.Contains(out, c.Domain) || slices.Contains(tried, c.Name) {
			continue
		}
		if best == nil || e.outstanding < best.outstanding {
			best = e
		}
	}
	if best == nil {
		return Choice{Reason: reason}, false
	}
	return Choice{Instance: best.name, Reason: ReasonExplore, Last: true}, true
}

// excluded returns why the candidate can't be chosen, or an empty reason.
func (b *TargetTable) excluded(now time.Time, c *Candidate, out, tried []string) Reason {
	if slices.Contains(out, c.Domain) {
		return ReasonDomain
	}
	if slices.Contains(tried, c.Name) {
		return ReasonTried
	}
	if usable, _, reason := b.state(now, c.Name); !usable {
		return reason
	}
	return ""
}

// worse returns the reason that tells more about why there is no choice.
func worse(a, b Reason) Reason {
	order := []Reason{ReasonEmpty, ReasonDomain, ReasonLeaving, ReasonTried, ReasonUnknown}
	if slices.Index(order, b) > slices.Index(order, a) {
		return b
	}
	return a
}

// sample keeps a random selection, in random order, of the indices offered so far.
func sample(r *rand.Rand, kept *[3]int, seen, i int) {
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
