package peer

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// subsetSize is the number of usable targets of a service among which a node chooses. A load report is useful for about
	// 100 ms only, so a node that spread its requests over all targets of a large service would have no current report of any;
	// each sending node also costs the gate a connection and load reports.
	subsetSize = 10
	// subsetOwnDomain is how many of them are in the node's own failure domain, if it has that many.
	subsetOwnDomain = 4
	// subsetLocalDomain is that number for routes that prefer their own failure domain; the rest is for when it is short of capacity.
	subsetLocalDomain = 7
)

// ranked is a candidate's index with the hash that orders it for one node.
type ranked struct {
	hash  uint64
	index int
}

// Subset returns the usable candidates among which the node chooses: the first ones by rendezvous hash of its own failure
// domain and of all others, so that each node has a different subset, which changes little when targets are added or
// removed. ownCount is how many of them are of its own domain, if it has that many. It returns all candidates if none is usable, or if there are at most subsetSize.
func (t *TargetTable) Subset(now time.Time, candidates []Candidate, self Self, ownCount int, evacuated, tried []string) []Candidate {
	if len(candidates) <= subsetSize {
		return candidates
	}
	var own, others []ranked
	for i := range candidates {
		c := &candidates[i]
		if t.exclusionReason(now, c, evacuated, tried) != "" {
			continue
		}
		if r := (ranked{hash: rendezvousHash(self.Name, c.Name), index: i}); c.Domain == self.Domain {
			own = append(own, r)
		} else {
			others = append(others, r)
		}
	}
	if len(own)+len(others) == 0 {
		return candidates
	}
	own, others = topRanked(own), topRanked(others)
	ownCount = min(len(own), max(ownCount, subsetSize-len(others)))
	chosen := make([]Candidate, 0, subsetSize)
	for _, r := range slices.Concat(own[:ownCount], others[:min(len(others), subsetSize-ownCount)]) {
		chosen = append(chosen, candidates[r.index])
	}
	return chosen
}

// topRanked sorts the candidates by hash and returns at most the first subsetSize.
func topRanked(candidates []ranked) []ranked {
	slices.SortFunc(candidates, func(a, b ranked) int { return cmp.Compare(a.hash, b.hash) })
	return candidates[:min(len(candidates), subsetSize)]
}

// rendezvousHash returns the hash that ranks a target for a node.
func rendezvousHash(node, target string) uint64 { return xxhash.Sum64String(node + "\x00" + target) }
