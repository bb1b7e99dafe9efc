package config

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"verbenapin.dev/node/instance"
)

var start = time.Unix(1_000_000, 0)

func at(seconds float64) time.Time {
	return start.Add(time.Duration(seconds * float64(time.Second)))
}

// packFiveHomes returns a manifest and tree with five homes; a different text gives a different manifest.
func packFiveHomes(t require.TestingT, version int64, text string) (Manifest, Tree) {
	m, _, tree := packVersion(t, version, "homes: [a, b, c, d, e]", text)
	return m, tree
}

func packVersion(t require.TestingT, version int64, fleet, text string) (Manifest, map[Digest][]byte, Tree) {
	files := []File{{Name: "tree.yaml", Data: []byte(fmt.Sprintf("fleet: {%s}\n# %s\n", fleet, text))}}
	m, parts, err := Pack(version, files)
	require.NoError(t, err)
	tree, err := Build(m, parts)
	require.NoError(t, err)
	return m, parts, tree
}

// TestWithOffer guards against a lower version that replaces a higher one, and against a second manifest with the same
// version number that replaces the first.
func TestWithOffer(t *testing.T) {
	m7, t7 := packFiveHomes(t, 7, "")
	other7, _ := packFiveHomes(t, 7, "other")
	m6, t6 := packFiveHomes(t, 6, "")
	m8, _ := packFiveHomes(t, 8, "")
	other8, _ := packFiveHomes(t, 8, "other")
	m9, _ := packFiveHomes(t, 9, "")
	held := NewState("n", 1).WithTree(m7, t7)
	fetching, _ := held.WithOffer(m8)
	rejected := fetching.WithRejected(m8)
	cases := map[string]struct {
		state   State
		offer   Manifest
		want    OfferStatus
		pending int64
	}{
		"first":                                  {state: NewState("n", 1), offer: m7, want: OfferFetch, pending: 7},
		"lower":                                  {state: held, offer: m6, want: OfferOutdated},
		"same":                                   {state: held, offer: m7, want: OfferKnown},
		"other manifest of the held version":     {state: held, offer: other7, want: OfferConflict},
		"higher":                                 {state: held, offer: m8, want: OfferFetch, pending: 8},
		"same as the pending":                    {state: fetching, offer: m8, want: OfferKnown, pending: 8},
		"other manifest of the pending version":  {state: fetching, offer: other8, want: OfferConflict, pending: 8},
		"higher than the pending":                {state: fetching, offer: m9, want: OfferFetch, pending: 9},
		"held while another is pending":          {state: fetching, offer: m7, want: OfferKnown, pending: 8},
		"rejected again":                         {state: rejected, offer: m8, want: OfferRejected},
		"higher than the rejected":               {state: rejected, offer: m9, want: OfferFetch, pending: 9},
		"other manifest of the rejected version": {state: rejected, offer: other8, want: OfferFetch, pending: 8},
		"other manifest after a failed fetch":    {state: fetching.WithoutPending(m8), offer: other8, want: OfferFetch, pending: 8},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			v, decision := tc.state.WithOffer(tc.offer)
			require.Equal(t, tc.want, decision)
			require.Equal(t, tc.pending, v.Pending().Version)
			require.Equal(t, tc.state.Version(), v.Version())
		})
	}
	require.Equal(t, int64(7), held.WithTree(m6, t6).Version())
}

func homeReports(age time.Duration, version int64, names ...string) instance.VersionReport {
	var report instance.VersionReport
	for _, n := range names {
		report.Homes = append(report.Homes, instance.HomeReport{ID: HomeID(n), BootID: 1, Version: version, Age: age})
	}
	return report
}

// TestServeStatus guards against a node that serves without a recent confirmation, or refuses to serve with one.
func TestServeStatus(t *testing.T) {
	m7, t7 := packFiveHomes(t, 7, "")
	m8, t8 := packFiveHomes(t, 8, "")
	other7, _ := packFiveHomes(t, 7, "other")
	held := NewState("n", 1).WithTree(m7, t7)
	tried := held.WithContactStarted(at(-9))
	home := NewState("a", 1).WithTree(m7, t7)
	viaPeer := instance.VersionReport{Version: 7, Manifest: m7.Digest(), Confirmed: true, Age: time.Second}
	cases := map[string]struct {
		state State
		now   float64
		want  StatusCode
	}{
		"no version":                                      {state: NewState("n", 1), want: StatusEmpty},
		"no confirmation":                                 {state: held, want: StatusStale},
		"static":                                          {state: NewState("n", 1).WithStatic(m7, t7), now: 1000, want: StatusServe},
		"three of five homes":                             {state: held.WithVersionReport(at(0), homeReports(0, 7, "a", "b", "c")), now: 4.9, want: StatusServe},
		"three of five homes, too old":                    {state: held.WithVersionReport(at(0), homeReports(0, 7, "a", "b", "c")), now: 5, want: StatusStale},
		"age in the report is added":                      {state: held.WithVersionReport(at(0), homeReports(3*time.Second, 7, "a", "b", "c")), now: 2, want: StatusStale},
		"two of five homes":                               {state: held.WithVersionReport(at(0), homeReports(0, 7, "a", "b")), want: StatusStale},
		"two homes and itself":                            {state: home.WithVersionReport(at(0), homeReports(0, 7, "b", "c")), want: StatusServe},
		"only instances that are not homes":               {state: held.WithVersionReport(at(0), homeReports(0, 7, "x", "y", "z")), want: StatusStale},
		"homes with older versions":                       {state: held.WithVersionReport(at(0), homeReports(0, 6, "a", "b", "c")), want: StatusServe},
		"homes with a newer version":                      {state: held.WithVersionReport(at(0), homeReports(0, 8, "a", "b", "c")), want: StatusStale},
		"homes with a newer version, then its tree":       {state: held.WithVersionReport(at(0), homeReports(0, 8, "a", "b", "c")).WithTree(m8, t8), want: StatusServe},
		"service, node just started":                      {state: held.WithContactStarted(at(0)).WithServiceAnswer(at(0), 7, m7.Digest()), now: 1.9, want: StatusStale},
		"service, peers tried":                            {state: held.WithContactStarted(at(0)).WithServiceAnswer(at(0), 7, m7.Digest()), now: 2, want: StatusServe},
		"service, no list":                                {state: held.WithServiceAnswer(at(0), 7, m7.Digest()), now: 4, want: StatusStale},
		"service, quorum before":                          {state: held.WithVersionReport(at(-9), homeReports(0, 7, "a", "b", "c")).WithServiceAnswer(at(0), 7, m7.Digest()), want: StatusServe},
		"service with an older version":                   {state: tried.WithServiceAnswer(at(0), 6, m7.Digest()), want: StatusStale},
		"service with another manifest":                   {state: tried.WithServiceAnswer(at(0), 7, other7.Digest()), want: StatusStale},
		"service with a newer version":                    {state: tried.WithServiceAnswer(at(0), 8, m8.Digest()), want: StatusStale},
		"service with a newer version, then the held one": {state: tried.WithServiceAnswer(at(0), 8, m8.Digest()).WithServiceAnswer(at(0), 7, m7.Digest()), want: StatusStale},
		"service before the tree":                         {state: tried.WithServiceAnswer(at(0), 8, m8.Digest()).WithTree(m8, t8), want: StatusServe},
		"service with a rejected one":                     {state: tried.WithServiceAnswer(at(0), 8, m8.Digest()).WithRejected(m8), want: StatusServe},
		"service, rejected before":                        {state: tried.WithRejected(m8).WithServiceAnswer(at(0), 8, m8.Digest()), want: StatusServe},
		"service through a peer":                          {state: tried.WithVersionReport(at(0), viaPeer), now: 3.9, want: StatusServe},
		"service through a peer, aged":                    {state: tried.WithVersionReport(at(0), viaPeer), now: 4, want: StatusStale},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, tc.want, tc.state.ServeStatus(at(tc.now)).Code)
		})
	}
}

// TestHomeVersionPerBoot guards against a home's version that decreases within one boot, or is kept after a restart.
func TestHomeVersionPerBoot(t *testing.T) {
	m7, t7 := packFiveHomes(t, 7, "")
	report := func(boot uint32, version int64, age time.Duration) instance.VersionReport {
		return instance.VersionReport{Homes: []instance.HomeReport{{ID: HomeID("b"), BootID: boot, Version: version, Age: age}}}
	}
	cases := map[string]struct {
		rows    []instance.VersionReport
		version int64
		boot    uint32
	}{
		"no report":                    {},
		"rises":                        {rows: []instance.VersionReport{report(1, 6, 0), report(1, 7, 0)}, boot: 1, version: 7},
		"late report of one boot":      {rows: []instance.VersionReport{report(1, 7, 0), report(1, 6, time.Second)}, boot: 1, version: 7},
		"restart with an old version":  {rows: []instance.VersionReport{report(1, 7, time.Second), report(2, 5, 0)}, boot: 2, version: 5},
		"late report of an older boot": {rows: []instance.VersionReport{report(2, 5, 0), report(1, 7, time.Second)}, boot: 2, version: 5},
		"too old":                      {rows: []instance.VersionReport{report(1, 7, 11*time.Second)}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			v := NewState("a", 3).WithTree(m7, t7)
			for _, e := range tc.rows {
				v = v.WithVersionReport(at(0), e)
			}
			homes := v.Homes(at(0))
			require.Len(t, homes, 5)
			require.Equal(t, Home{Name: "a", BootID: 3, Version: 7, LastContact: at(0)}, homes[0])
			require.Equal(t, tc.version, homes[1].Version)
			require.Equal(t, tc.boot, homes[1].BootID)
			// The version of a silent home is kept, since the home may still lend under it.
			later := v.WithVersionReport(at(3600), instance.VersionReport{}).Homes(at(3600))
			require.Equal(t, tc.version, later[1].Version)
		})
	}
}

// TestHomeVersions guards against a version that is reported for a home although the home, or an earlier boot of it, may
// still lend under a lower one, and against a removed home whose old version is reported forever.
func TestHomeVersions(t *testing.T) {
	m7, t7 := packFiveHomes(t, 7, "")
	m8, _, removed := packVersion(t, 8, "homes: [a, c, d, e]", "")
	_, _, retired := packVersion(t, 8, "homes: [a, b, c, d, e], retired: [b]", "")
	report := func(boot uint32, version int64, age time.Duration) instance.Heartbeat {
		return instance.Heartbeat{Name: "c", BootID: 1, VersionReport: instance.VersionReport{
			Version: 7, Homes: []instance.HomeReport{{ID: HomeID("b"), BootID: boot, Version: version, Age: age}},
		}}
	}
	ownHeartbeat := func(boot uint32, version int64) instance.Heartbeat {
		return instance.Heartbeat{Name: "b", BootID: boot, VersionReport: instance.VersionReport{Version: version}}
	}
	cases := map[string]struct {
		before, after []instance.Heartbeat // before and after tree is adopted
		tree          Tree
		later         time.Duration
		want          int64
		unknown       bool
	}{
		"no report":                           {},
		"restart with a lower version":        {before: []instance.Heartbeat{report(1, 7, time.Second), report(2, 6, 0)}, want: 6},
		"late report of the earlier boot":     {before: []instance.Heartbeat{report(2, 6, time.Second), report(1, 7, 0)}, want: 6},
		"restart that seems to be earlier":    {before: []instance.Heartbeat{report(1, 7, 0), report(2, 6, time.Second)}, want: 6},
		"restart with a higher version":       {before: []instance.Heartbeat{report(1, 6, time.Second), report(2, 7, 0)}, want: 6},
		"restart with a higher version, long": {before: []instance.Heartbeat{report(1, 6, time.Second), report(2, 7, 0)}, later: maxReportAge, want: 7},
		"silent for long":                     {before: []instance.Heartbeat{report(1, 6, 0)}, later: time.Hour, want: 6},
		"removed and silent":                  {before: []instance.Heartbeat{report(1, 7, 0)}, tree: removed, later: time.Hour, want: 7},
		"removed, reported by others":         {before: []instance.Heartbeat{report(1, 7, 0)}, tree: removed, after: []instance.Heartbeat{report(1, 8, 0)}, want: 8},
		"removed, restarted with a tree":      {before: []instance.Heartbeat{report(1, 7, time.Second)}, tree: removed, after: []instance.Heartbeat{ownHeartbeat(2, 8)}, later: maxReportAge, want: 8},
		"removed, restarted without a tree":   {before: []instance.Heartbeat{report(1, 7, time.Second)}, tree: removed, after: []instance.Heartbeat{ownHeartbeat(2, 0)}, later: maxReportAge, want: 7},
		"retired":                             {before: []instance.Heartbeat{report(1, 7, 0)}, tree: retired, unknown: true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			v := NewState("a", 3).WithTree(m7, t7)
			for _, b := range tc.before {
				v = v.WithHeartbeat(at(0), b)
			}
			if tc.tree.Version() > 0 {
				v = v.WithTree(m8, tc.tree)
			}
			for _, b := range tc.after {
				v = v.WithHeartbeat(at(0), b)
			}
			got, ok := v.WithHeartbeat(start.Add(tc.later), instance.Heartbeat{Name: "d"}).HomeVersions(start.Add(tc.later))["b"]
			require.Equal(t, !tc.unknown, ok)
			require.Equal(t, tc.want, got)
		})
	}
}

// TestFormerHome guards against a removed home that no longer reports its version, which keeps the shares of the other
// homes low, and against one that counts as a reader of the service.
func TestFormerHome(t *testing.T) {
	m7, t7 := packFiveHomes(t, 7, "")
	m8, _, removed := packVersion(t, 8, "homes: [a, c, d, e]", "")
	former := NewState("b", 1).WithTree(m7, t7).WithTree(m8, removed)
	require.False(t, former.IsHome())
	rows := former.VersionReport(at(0)).Homes
	require.Equal(t, []instance.HomeReport{{ID: HomeID("b"), BootID: 1, Version: 8}}, rows)
	other := NewState("a", 1).WithTree(m7, t7).WithTree(m8, removed)
	require.True(t, other.WithVersionReport(at(0), instance.VersionReport{Homes: rows}).LastHomeContact().IsZero())
}
