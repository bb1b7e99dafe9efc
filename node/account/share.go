package account

import (
	"cmp"
	"hash"
	"hash/fnv"
	"math"
	"slices"
	"strings"

	"verbenapin.dev/node/config"
)

// maxHomes bounds the homes of an account. A node that finds no token asks one home after the other, so that each refusal of
// an account beyond its rate costs as many LeaseRequests; a lost home takes its part of the rate with it until it is replaced.
const maxHomes = 8

// maxRuns bounds the versions kept for an account; older ones are merged into their minimum.
const maxRuns = 16

// run is the limit under all versions from one on, up to the next run.
type run struct {
	from  int64
	limit Limit
}

// Share is one home's share of an account under the versions that the home has held.
type Share struct {
	runs []run
}

// WithVersion returns s with the share under a version higher than all earlier ones.
func (s Share) WithVersion(version int64, limit Limit) Share {
	n := len(s.runs)
	if n > 0 && (version <= s.runs[n-1].from || s.runs[n-1].limit == limit) {
		return s
	}
	runs := append(slices.Clone(s.runs), run{from: version, limit: limit})
	if len(runs) > maxRuns {
		runs[1] = run{from: runs[0].from, limit: runs[0].limit.lower(runs[1].limit)}
		runs = runs[1:]
	}
	return Share{runs: runs}
}

// Limit returns the minimum of the shares from the lowest version on.
// It is zero if the home never held the lowest version, as the share under that version is unknown.
func (s Share) Limit(lowest int64) Limit {
	if len(s.runs) == 0 || lowest < s.runs[0].from {
		return Limit{}
	}
	limit := s.runs[len(s.runs)-1].limit
	for i := len(s.runs) - 2; i >= 0 && s.runs[i+1].from > lowest; i-- {
		limit = limit.lower(s.runs[i].limit)
	}
	return limit
}

// Homes returns the homes of an account in the order of their rendezvous hash.
func Homes(a config.Account, fleet config.Fleet) []string {
	return newPlacer(fleet).homes(a)
}

// HomesOf returns the homes of every account of a tree.
func HomesOf(t config.Tree) map[string][]string {
	p, accounts := newPlacer(t.Fleet()), t.Accounts()
	homes := make(map[string][]string, len(accounts))
	for _, a := range accounts {
		homes[a.Name] = p.homes(a)
	}
	return homes
}

// candidate is a home with its hash for one account.
type candidate struct {
	sum  uint64
	home string
}

// compare orders the candidates of an account, the first home first.
func (c candidate) compare(o candidate) int {
	if c.sum != o.sum {
		return cmp.Compare(o.sum, c.sum)
	}
	return strings.Compare(c.home, o.home)
}

// placer works out homes in one fleet; the memory that it keeps is used again for each account.
type placer struct {
	names []string
	bytes [][]byte // names after the separator that ends the name of an account
	first []candidate
	hash  hash.Hash64
}

func newPlacer(fleet config.Fleet) *placer {
	p := &placer{hash: fnv.New64a()}
	for _, name := range slices.Compact(slices.Sorted(slices.Values(fleet.Homes))) {
		if !slices.Contains(fleet.Retired, name) {
			p.names = append(p.names, name)
			p.bytes = append(p.bytes, []byte("\x00"+name))
		}
	}
	return p
}

func (p *placer) homes(a config.Account) []string {
	if len(p.names) == 0 {
		return nil
	}
	number := int(max(1, min(math.Floor(a.Burst/2), float64(len(p.names)), maxHomes)))
	account := []byte(a.Name)
	p.first = p.first[:0]
	for i, name := range p.names {
		p.hash.Reset()
		_, _ = p.hash.Write(account)
		_, _ = p.hash.Write(p.bytes[i])
		p.offer(candidate{sum: mix(p.hash.Sum64()), home: name}, number)
	}
	homes := make([]string, 0, number)
	for _, c := range p.first {
		homes = append(homes, c.home)
	}
	return homes
}

// offer keeps a candidate if it is among the given number of first ones.
func (p *placer) offer(c candidate, number int) {
	if len(p.first) == number {
		if c.compare(p.first[number-1]) > 0 {
			return
		}
		p.first = p.first[:number-1]
	}
	i, _ := slices.BinarySearchFunc(p.first, c, candidate.compare)
	p.first = slices.Insert(p.first, i, c)
}

// mix spreads the bits of an FNV sum, whose high bits barely depend on the last bytes.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// ShareOf returns the share of a home among the homes of an account.
// The burst is split into whole tokens, since a home lends whole tokens only.
func ShareOf(a config.Account, homes []string, home string) Limit {
	i := slices.Index(homes, home)
	if i < 0 {
		return Limit{}
	}
	n := float64(len(homes))
	burst := math.Floor(a.Burst / n)
	rest := a.Burst - burst*n
	burst += max(0, min(1, rest-float64(i)))
	return Limit{Rate: a.Rate / n, Burst: burst}
}
