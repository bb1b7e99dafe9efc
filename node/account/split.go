package account

import "time"

// Split is the naive alternative to lending, kept as a baseline for measurements: every node has a fixed part of the
// rate and burst. It keeps the bound, but refuses most requests of an account whose traffic enters at few nodes.
type Split struct {
	limit Limit
	level float64
	at    time.Duration
}

// NewSplit returns one node's part of a limit, with a full bucket.
func NewSplit(now time.Duration, limit Limit, nodes int) Split {
	part := Limit{Rate: limit.Rate / float64(nodes), Burst: limit.Burst / float64(nodes)}
	return Split{limit: part, level: part.Burst, at: now}
}

// WithSpend returns s after a request, and whether the request is admitted.
func (s Split) WithSpend(now time.Duration) (Split, bool) {
	s.level = min(s.limit.Burst, s.level+s.limit.Rate*(now-s.at).Seconds())
	s.at = now
	if s.level < 1 {
		return s, false
	}
	s.level--
	return s, true
}

// FixedShares holds one node's parts of all accounts. The control goroutine owns it.
type FixedShares struct {
	start time.Time
	parts map[string]Split
}

// NewFixedShares returns the parts of a node that has served no request yet.
func NewFixedShares(start time.Time) *FixedShares {
	return &FixedShares{start: start, parts: map[string]Split{}}
}

// Allow decides on a request of an account whose limit is split over the given number of nodes.
func (p *FixedShares) Allow(now time.Time, account string, limit Limit, nodes int) bool {
	since := now.Sub(p.start)
	part, ok := p.parts[account]
	current := NewSplit(since, limit, max(1, nodes))
	if !ok {
		part = current
	}
	part.limit = current.limit
	part, admitted := part.WithSpend(since)
	p.parts[account] = part
	return admitted
}
