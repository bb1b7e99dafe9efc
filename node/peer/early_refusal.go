package peer

import (
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"verbenapin.dev/node/answer"
	"verbenapin.dev/node/target"
)

const (
	// minProbeShare is the part of the requests without room that is sent anyway, so that a wrong report cannot keep a service unused.
	minProbeShare = 1.0 / 16
	// outcomeDecay is the time constant with which outcomes of attempts are forgotten. An accepted attempt is known to be so only after
	// its wait and its run, up to a second.
	outcomeDecay = 2 * time.Second
	// claimGain and probeLoss set how fast a growing share of refused attempts restricts sending: at a quarter, all senders are assumed to
	// use the same report; at four tenths, only minProbeShare is sent without room. Up to toleratedShare, which slow phases cause also
	// without a shortage, all of it is.
	claimGain      = 4
	probeLoss      = 4
	toleratedShare = 0.15
	// slowPhaseSlowdown is the slowdown beyond which a target is in a slow phase: a crowded one reports up to 1.7. Requests that start
	// there take up its slots for longer, so its room counts only if no other target has any.
	slowPhaseSlowdown = 2
	// unknownOutcomes is added to the outcomes, so that a single refusal after a quiet time does not count as a shortage.
	unknownOutcomes = 4
	// maxSenders bounds the estimate of how many nodes send to one target: it comes from few requests and varies.
	maxSenders = 64
)

// Shortage decides whether a request is refused before an attempt, because fresh load reports show that the gate of each usable target
// would refuse it. It addresses demand above the capacity of a service for seconds, in which each request visits several gates before
// it is refused. One value belongs to a service, an account and a rank; it holds the outcomes of recent attempts: while gates accept
// nearly all of them, requests are sent whatever the reports say.
type Shortage struct {
	accepted, refused float64 // attempts, with older ones weighing less
	updatedAt         time.Time
}

// Shortlist is the decision on one attempt.
type Shortlist struct {
	Candidates []Candidate // targets to choose among, none if the request is refused
	RetryAfter time.Duration
	waits      []namedWait // of the targets of known load among the candidates
	known      int         // usable targets of known load
}

// namedWait is the expected wait at a target.
type namedWait struct {
	name string
	wait time.Duration
}

// WithOutcome returns the shortage after a gate accepted an attempt, or refused it because of its wait or a full queue.
func (s Shortage) WithOutcome(now time.Time, accepted bool) Shortage {
	s = s.decayed(now)
	if accepted {
		s.accepted++
	} else {
		s.refused++
	}
	return s
}

func (s Shortage) decayed(now time.Time) Shortage {
	if !s.updatedAt.IsZero() {
		keep := math.Exp(-float64(now.Sub(s.updatedAt)) / float64(outcomeDecay))
		s.accepted, s.refused = s.accepted*keep, s.refused*keep
	}
	s.updatedAt = now
	return s
}

// refusedShare returns the part of the recent attempts that gates refused.
func (s Shortage) refusedShare(now time.Time) float64 {
	s = s.decayed(now)
	return s.refused / (s.accepted + s.refused + unknownOutcomes)
}

// acceptedRate returns the attempts per second that gates have accepted.
func (s Shortage) acceptedRate(now time.Time) float64 {
	return s.decayed(now).accepted / outcomeDecay.Seconds()
}

// ProbeShare returns the part of the requests without room that is sent. While gates accept nearly all attempts, the reports overstate
// the waits, and the share is up to all requests.
func (s Shortage) ProbeShare(now time.Time) float64 {
	return max(minProbeShare, 1-probeLoss*max(s.refusedShare(now)-toleratedShare, 0))
}

// Shortlist returns the targets among which an attempt may choose: those with room for the request by their fresh load and those of
// unknown load. If there are none, the request is refused unless it becomes a probe; if no load is known, all candidates are left as
// they are. service is the usual service time of the request.
func (s Shortage) Shortlist(
	now time.Time, r *rand.Rand, t TargetTable, candidates []Candidate, evacuated, tried []string, req target.AdmissionRequest, service time.Duration,
) Shortlist {
	var out Shortlist
	var roomy, unclaimed, unknown []Candidate
	var slowWaits []namedWait
	shortest := time.Duration(-1)
	senders := t.senders(now, candidates) * min(claimGain*s.refusedShare(now), 1)
	for i := range candidates {
		c := candidates[i]
		if t.exclusionReason(now, &c, evacuated, tried) != "" {
			continue
		}
		wait, ok := t.ReportedWait(now, c.Name, req.Account, req.Priority)
		if !ok {
			if e := t.find(c.Name); e == nil || !e.silent(now) {
				unknown = append(unknown, c)
			}
			continue
		}
		out.known++
		if shortest < 0 || wait < shortest {
			shortest = wait
		}
		limit := t.maxWaitAt(now, c.Name, req, service)
		if wait >= limit {
			continue
		}
		unclaimed = append(unclaimed, c)
		switch named := (namedWait{name: c.Name, wait: wait}); {
		case wait+t.claimedWait(r, c.Name, senders) >= limit:
		case t.find(c.Name).load.Slowdown > slowPhaseSlowdown:
			slowWaits = append(slowWaits, named)
		default:
			roomy, out.waits = append(roomy, c), append(out.waits, named)
		}
	}
	switch {
	case len(roomy) > 0:
		out.Candidates = slices.Concat(roomy, unknown)
	case out.known == 0, len(unknown) > 0:
		out.Candidates = candidates
	case len(slowWaits) > 0:
		out.Candidates, out.waits = unclaimed, slowWaits
	case len(tried) == 0 && req.Priority.Stage != target.StageNew:
		out.Candidates = candidates // goes before those that the reports count
	case r.Float64() < s.ProbeShare(now):
		out.Candidates = candidates
	default:
		out.RetryAfter = max(shortest, minBackoff)
	}
	return out
}

// WithChoice returns the choice with what the shortlist means for rerouting: a gate need not refuse a request for the sake of another
// target that would refuse it or start it no sooner. In a shortage, in which fewer than half of the targets have room, all waits are
// about the same, and a request that moves on only loses time.
func (l Shortlist) WithChoice(c Choice) Choice {
	best := -1
	for i, w := range l.waits {
		if w.name != c.Instance && (best < 0 || w.wait < l.waits[best].wait) {
			best = i
		}
	}
	switch {
	case l.known == 0:
	case best < 0, 2*len(l.waits) < l.known:
		c.NoAlternative = true
	default:
		c.AlternativeWait = l.waits[best].wait
	}
	return c
}

// rankRefusal is the wait for which a gate has refused a request, and the account and rank of that.
type rankRefusal struct {
	account string
	rank    target.Priority
	wait    time.Duration
	at      time.Time
}

// appliesTo reports whether another request waits at least as long: one of the same account, or of a less urgent rank. Another account of
// the same rank takes its own turns.
func (r rankRefusal) appliesTo(account string, rank target.Priority) bool {
	return r.rank.Before(rank) || r.rank == rank && r.account == account
}

// WithRoomRefusal returns the table after a gate refused a request because of its wait or a full queue. The load of the
// gate states the wait of the most urgent rank only.
func (t TargetTable) WithRoomRefusal(now time.Time, name, account string, rank target.Priority, wait time.Duration) TargetTable {
	e := t.get(name)
	e.refusal = rankRefusal{account: account, rank: rank, wait: wait, at: now}
	return t.with(e)
}

// ReportedWait returns the wait that a request has at a target by its last load and its last refusal that concerns the request, less the
// time since then, in which the queue has moved on. It returns false if that load is unknown or too old.
func (t *TargetTable) ReportedWait(now time.Time, name, account string, rank target.Priority) (time.Duration, bool) {
	e := t.find(name)
	if e == nil || !e.known || now.Sub(e.loadAt) >= silentAfter {
		return 0, false
	}
	left := func(wait time.Duration, since time.Time) time.Duration {
		return wait - time.Duration(float64(now.Sub(since))/max(e.load.Slowdown, 1))
	}
	wait := left(e.load.WaitOf(rank), e.loadAt)
	// Without waits by rank, the report has the wait of the most urgent one only.
	if len(e.load.Waits) == 0 && e.refusal.appliesTo(account, rank) {
		wait = max(wait, left(e.refusal.wait, e.refusal.at))
	}
	return max(wait, 0), true
}

// maxWaitAt returns the expected wait from which on the gate of a target of known load would not queue the request, by the rules of
// Gate.maxExpectedWait and of a full queue.
func (t *TargetTable) maxWaitAt(now time.Time, name string, req target.AdmissionRequest, service time.Duration) time.Duration {
	e, left := t.find(name), req.Deadline.Sub(now)
	limit := max(req.SoftDeadline.Sub(now)-service, req.LatencyObjective/target.LateWaitDivisor)
	switch {
	case req.Nested && e.load.Cold:
		limit = left
	case req.SoftDeadline.IsZero():
		limit = target.MaxQueueTime
	}
	// The wait of a request that finds only others before it in a full queue. At a lower wait, the gate has room or displaces another.
	spacing := max(e.spacing(), float64(e.load.ExpectedWait)/float64(e.load.Queued+1))
	if spacing > 0 {
		limit = min(limit, time.Duration(spacing*float64(target.QueueFactor*e.load.Limit+1)))
	}
	return min(limit, left)
}

// spacing returns the time between two starts at a target in full use.
func (e *entry) spacing() float64 { return float64(e.load.ServiceTime) / float64(max(e.load.Limit, 1)) }

// claimedWait returns the wait that requests cause which the target's last load does not include. All its senders have the same
// report, so that each request that this node has sent since stands for one of each of them; of the next ones a random part, so that
// as many senders send as there is room for.
func (t *TargetTable) claimedWait(r *rand.Rand, name string, senders float64) time.Duration {
	e := t.find(name)
	return time.Duration((float64(e.sentSinceLoad) + r.Float64()) * senders * e.spacing())
}

// senders returns the estimated number of nodes that send to each of the targets: this node's part of their requests, inverted.
func (t *TargetTable) senders(now time.Time, candidates []Candidate) float64 {
	own, all := 0, 0
	for i := range candidates {
		if e := t.find(candidates[i].Name); e != nil && e.known && now.Sub(e.loadAt) < silentAfter {
			own += max(e.outstanding-e.sentSinceLoad, 0)
			all += e.load.Running + e.load.Queued
		}
	}
	return min(max(float64(all)/float64(max(own, 1)), 1), maxSenders)
}

// shortageKey identifies a Shortage and a Calendar. Accounts are apart, since gates refuse one with many requests only.
type shortageKey struct {
	service string
	account string // empty on open routes
	rank    target.Priority
}

// maxShortages bounds the shortages that a node keeps. Those without an outcome for a while are dropped for others; if there are none, a
// request of another account or service is sent as without the rule.
const maxShortages = 256

// storeShortage puts a shortage into the map if there is room for it.
func storeShortage(all map[shortageKey]Shortage, now time.Time, key shortageKey, s Shortage) {
	if _, ok := all[key]; !ok && len(all) >= maxShortages {
		maps.DeleteFunc(all, func(_ shortageKey, old Shortage) bool { return now.Sub(old.updatedAt) >= 2*outcomeDecay })
		if len(all) >= maxShortages {
			return
		}
	}
	all[key] = s
}

// refusesEarly reports whether the fleet refuses requests by load reports and reserves return times.
func (d *Dispatcher) refusesEarly() bool { return d.RefuseEarly != nil && d.RefuseEarly() }

// shortlist returns the targets for an attempt where the fleet refuses requests early, else all candidates; it runs on the control
// goroutine.
func (d *Dispatcher) shortlist(now time.Time, call target.Call, service string, candidates []Candidate, evacuated, tried []string) Shortlist {
	if !d.refusesEarly() {
		return Shortlist{Candidates: candidates}
	}
	s := d.shortages[shortageKey{service, call.Account, call.Priority}]
	return s.Shortlist(now, d.rand, d.table, candidates, evacuated, tried, admissionRequest(call), d.serviceTimes.Mean(call.Route, 0))
}

// countOutcome counts an attempt that a gate accepted or refused; it runs on the control goroutine, after the table has the load
// that came with the outcome. A gate that reroutes a request or is leaving says nothing about a shortage.
func (d *Dispatcher) countOutcome(now time.Time, a activeAttempt, refused *answer.Refusal) {
	if !d.refusesEarly() || a.service == "" {
		return
	}
	if refused != nil {
		if !d.table.RefusedForRoom(now, a.name, *refused, admissionRequest(a.call), d.serviceTimes.Mean(a.call.Route, 0)) {
			return
		}
		d.table = d.table.WithRoomRefusal(now, a.name, a.call.Account, a.call.Priority, refused.RetryAfter)
	}
	key := shortageKey{a.service, a.call.Account, a.call.Priority}
	storeShortage(d.shortages, now, key, d.shortages[key].WithOutcome(now, refused == nil))
}

// RefusedForRoom reports whether a gate refused the request because of its wait or a full queue: gates state the expected wait as the
// time to come back.
func (t *TargetTable) RefusedForRoom(now time.Time, name string, refused answer.Refusal, req target.AdmissionRequest, service time.Duration) bool {
	return (refused.Code == answer.CodeBusy || refused.Code == answer.CodeLate) && refused.RetryAfter >= t.maxWaitAt(now, name, req, service)
}

// admissionRequest returns what a gate's decision on the call depends on.
func admissionRequest(call target.Call) target.AdmissionRequest {
	return target.AdmissionRequest{
		Account: call.Account, Priority: call.Priority, SoftDeadline: call.SoftDeadline, LatencyObjective: call.LatencyObjective, Deadline: call.Deadline, Nested: call.Nested,
	}
}
