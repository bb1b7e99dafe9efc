package account

import (
	"hash/fnv"
	"math"
	"slices"
	"strings"

	"verbenapin.dev/node/config"
)

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
	names := make([]string, 0, len(fleet.Homes))
	sums := make(map[string]uint64, len(fleet.Homes))
	for _, name := range fleet.Homes {
		if _, ok := sums[name]; ok || slices.Contains(fleet.Retired, name) {
			continue
		}
		f := fnv.New64a()
		_, _ = f.Write([]byte(a.Name + "\x00" + name))
		sums[name] = mix(f.Sum64())
		names = append(names, name)
	}
	slices.SortFunc(names, func(x, y string) int {
		if sums[x] != sums[y] {
			if sums[x] > sums[y] {
				return -1
			}
			return 1
		}
		return strings.Compare(x, y)
	})
	if len(names) == 0 {
		return nil
	}
	return names[:int(max(1, min(math.Floor(a.Burst/2), float64(len(names)))))]
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
