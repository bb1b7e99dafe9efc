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

// maxHomes bounds the homes of an account. A node without tokens asks one home after the other, so a refusal beyond the
// rate costs up to one LeaseRequest per home. Fewer homes cost more when one fails: its share is lost until it is replaced.
const maxHomes = 8

// maxVersions bounds the entries of a ShareHistory; older ones are merged into their minimum.
const maxVersions = 16

// versionLimit is the limit from one configuration version up to the next entry.
type versionLimit struct {
	from  int64
	limit Limit
}

// ShareHistory holds one home's share of an account under each configuration version that the home has held.
type ShareHistory struct {
	limits []versionLimit
}

// WithVersion returns s with the share under a version higher than all earlier ones.
func (s ShareHistory) WithVersion(version int64, limit Limit) ShareHistory {
	n := len(s.limits)
	if n > 0 && (version <= s.limits[n-1].from || s.limits[n-1].limit == limit) {
		return s
	}
	limits := append(slices.Clone(s.limits), versionLimit{from: version, limit: limit})
	if len(limits) > maxVersions {
		limits[1] = versionLimit{from: limits[0].from, limit: limits[0].limit.lower(limits[1].limit)}
		limits = limits[1:]
	}
	return ShareHistory{limits: limits}
}

// Limit returns the minimum of the shares from the given version on.
// It is zero if that version is older than the history, as the share under it is unknown.
func (s ShareHistory) Limit(lowest int64) Limit {
	if len(s.limits) == 0 || lowest < s.limits[0].from {
		return Limit{}
	}
	limit := s.limits[len(s.limits)-1].limit
	for i := len(s.limits) - 2; i >= 0 && s.limits[i+1].from > lowest; i-- {
		limit = limit.lower(s.limits[i].limit)
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

// candidate is a home with its rendezvous score for one account.
type candidate struct {
	score uint64
	home  string
}

// compare sorts candidates by descending score.
func (c candidate) compare(o candidate) int {
	if c.score != o.score {
		return cmp.Compare(o.score, c.score)
	}
	return strings.Compare(c.home, o.home)
}

// placer computes the homes of accounts in one fleet and reuses its buffers for each account.
type placer struct {
	names    []string
	suffixes [][]byte // separator and home name, hashed after the account name
	best     []candidate
	hash     hash.Hash64
}

func newPlacer(fleet config.Fleet) *placer {
	p := &placer{hash: fnv.New64a()}
	for _, name := range slices.Compact(slices.Sorted(slices.Values(fleet.Homes))) {
		if !slices.Contains(fleet.Retired, name) {
			p.names = append(p.names, name)
			p.suffixes = append(p.suffixes, []byte("\x00"+name))
		}
	}
	return p
}

func (p *placer) homes(a config.Account) []string {
	return homesOf(p.rank(a, nil, p.count(a)))
}

// count returns how many homes the account has.
func (p *placer) count(a config.Account) int {
	if len(p.names) == 0 {
		return 0
	}
	return int(max(1, min(math.Floor(a.Burst/2), float64(len(p.names)), maxHomes)))
}

// rank returns the best candidates among those known and the homes of the placer, in a buffer that the next call uses again.
func (p *placer) rank(a config.Account, known []candidate, count int) []candidate {
	account := []byte(a.Name)
	p.best = append(p.best[:0], known...)
	for i, name := range p.names {
		p.hash.Reset()
		_, _ = p.hash.Write(account)
		_, _ = p.hash.Write(p.suffixes[i])
		p.insert(candidate{score: mixBits(p.hash.Sum64()), home: name}, count)
	}
	return p.best
}

// insert adds a candidate to p.best, which holds at most count candidates.
func (p *placer) insert(c candidate, count int) {
	if len(p.best) == count {
		if c.compare(p.best[count-1]) > 0 {
			return
		}
		p.best = p.best[:count-1]
	}
	i, _ := slices.BinarySearchFunc(p.best, c, candidate.compare)
	p.best = slices.Insert(p.best, i, c)
}

// mixBits finalizes an FNV hash, whose high bits barely depend on the last bytes.
func mixBits(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// ShareOf returns the share of a home among the homes of an account.
// The burst is split into whole tokens, since a home lends only whole tokens.
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
