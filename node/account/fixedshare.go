package account

import "time"

// FixedShare is the baseline to which leases are compared in measurements: a token bucket with a node's fixed share of an
// account's rate and burst. It never exceeds the limit, but refuses most requests of an account that uses only a few nodes.
type FixedShare struct {
	limit      Limit
	level      float64
	refilledAt time.Duration
}

// NewFixedShare returns one node's share of a limit, with a full bucket.
func NewFixedShare(now time.Duration, limit Limit, nodes int) FixedShare {
	share := Limit{Rate: limit.Rate / float64(nodes), Burst: limit.Burst / float64(nodes)}
	return FixedShare{limit: share, level: share.Burst, refilledAt: now}
}

// WithRequest returns s after a request, and whether the request is admitted.
func (s FixedShare) WithRequest(now time.Duration) (FixedShare, bool) {
	s.level = min(s.limit.Burst, s.level+s.limit.Rate*(now-s.refilledAt).Seconds())
	s.refilledAt = now
	if s.level < 1 {
		return s, false
	}
	s.level--
	return s, true
}

// FixedShares holds one node's fixed shares of all accounts. The control goroutine owns it.
type FixedShares struct {
	start  time.Time
	shares map[string]FixedShare
}

// NewFixedShares returns the shares of a node that has served no request yet.
func NewFixedShares(start time.Time) *FixedShares {
	return &FixedShares{start: start, shares: map[string]FixedShare{}}
}

// Allow decides on a request of an account whose limit is split over the given number of nodes.
func (s *FixedShares) Allow(now time.Time, account string, limit Limit, nodes int) bool {
	elapsed := now.Sub(s.start)
	share, ok := s.shares[account]
	current := NewFixedShare(elapsed, limit, max(1, nodes))
	if !ok {
		share = current
	}
	share.limit = current.limit
	share, admitted := share.WithRequest(elapsed)
	s.shares[account] = share
	return admitted
}
