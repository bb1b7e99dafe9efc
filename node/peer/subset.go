package peer

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// subsetSize is the number of usable targets of a service among which a node chooses. A report is worth something for
	// some 100 ms only, so that a node that spreads its requests over all targets of a large service knows none of them; each
	// sender is also a connection and a receiver of notices for the gate.
	subsetSize = 10
	// subsetNear is how many of them are of the own failure domain, if there are as many.
	subsetNear = 4
)

// ranked is a candidate with its place in the order of one node.
type ranked struct {
	sum uint64
	at  int
}

// Subset returns the usable candidates among which the named node chooses: the first ones by rendezvous hash of its own
// failure domain and of all others, so that each node has a different selection, which changes little when targets come and
// go. It returns all candidates if none is usable, or if there are no more than fit.
func (b *TargetTable) Subset(now time.Time, candidates []Candidate, self Self, out, tried []string) []Candidate {
	if len(candidates) <= subsetSize {
		return candidates
	}
	var near, far []ranked
	for i := range candidates {
		c := &candidates[i]
		if b.excluded(now, c, out, tried) != "" {
			continue
		}
		if r := (ranked{sum: rendezvous(self.Name, c.Name), at: i}); c.Domain == self.Domain {
			near = append(near, r)
		} else {
			far = append(far, r)
		}
	}
	if len(near)+len(far) == 0 {
		return candidates
	}
	near, far = first(near), first(far)
	nearest := min(len(near), max(subsetNear, subsetSize-len(far)))
	chosen := make([]Candidate, 0, subsetSize)
	for _, r := range slices.Concat(near[:nearest], far[:min(len(far), subsetSize-nearest)]) {
		chosen = append(chosen, candidates[r.at])
	}
	return chosen
}

// first returns the first of the ranked candidates in their order, as many as fit.
func first(list []ranked) []ranked {
	slices.SortFunc(list, func(a, b ranked) int { return cmp.Compare(a.sum, b.sum) })
	return list[:min(len(list), subsetSize)]
}

// rendezvous returns the weight of a target for a node.
func rendezvous(node, target string) uint64 { return xxhash.Sum64String(node + "\x00" + target) }
