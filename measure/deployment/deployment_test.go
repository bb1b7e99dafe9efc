package deployment

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"verbenapin.dev/node/config"
)

// TestMain fails if a goroutine outlives the tests.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// TestYAML guards against changes of a deployment that are missing in its configuration, and against keys in plain text.
func TestYAML(t *testing.T) {
	d := Abitudini()
	cases := map[string]struct {
		deployment Deployment
		want       string
	}{
		"route":        {deployment: d, want: "  history: {parent: base, host: streaks.example, path: /history, service: history, slots: 12, idempotent: true, hedge: 5%}\n"},
		"deadline":     {deployment: d, want: "path: /exports, service: exports, slots: 12, idempotent: true, deadline: 30s}\n"},
		"account":      {deployment: d, want: "  profile: {parent: base, rate: 200/s, burst: 200, routes: [settings], keys: [\"sha256:"},
		"taken out":    {deployment: d.WithEvacuated("b"), want: "  out: [b]\n"},
		"key revoked":  {deployment: d.WithKeys("veneto"), want: "routes: [history, checkins, exports], keys: []}\n"},
		"new account":  {deployment: d.WithAccount(Account{Name: "limited", Rate: 0.5, Burst: 2}), want: "  limited: {parent: base, rate: 0.5/s, burst: 2, routes: [], keys: []}\n"},
		"other system": {deployment: ChueDee(), want: "  reservations: {parent: base, host: names.example, path: /reservations, service: reservations, slots: 9}\n"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			text := string(tc.deployment.YAML())
			require.Contains(t, text, tc.want)
			require.NotContains(t, text, NewKey("lombardia", 1))
		})
	}
}

// TestPack guards against a configuration that nodes reject, and against values, inherited or set, that differ from the deployment's.
func TestPack(t *testing.T) {
	cases := map[string]struct {
		deployment     Deployment
		accounts       int
		account, route string
		rate           float64
		denied         string
		deadline       time.Duration
		domains        []string
	}{
		"abitudini": {deployment: Abitudini().WithEvacuated("b"), accounts: 8, account: "lombardia", route: "exports", rate: 600, denied: "settings", deadline: 30 * time.Second, domains: []string{"b"}},
		"chue dee":  {deployment: ChueDee(), accounts: 8, account: "checker", route: "conflicts", rate: 150, denied: "reservations", deadline: 2 * time.Second},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			data, values, err := tc.deployment.Pack(7)
			require.NoError(t, err)
			m, err := config.ParseManifest(data)
			require.NoError(t, err)
			parts := map[config.Digest][]byte{}
			for _, d := range m.Digests() {
				parts[d] = values["part-"+d.String()]
			}
			tree, err := config.Build(m, parts)
			require.NoError(t, err)
			require.Equal(t, int64(7), tree.Version())
			require.Equal(t, tc.domains, tree.Fleet().EvacuatedDomains)
			a, ok := tree.Authenticate(config.KeyDigest(NewKey(tc.account, 1)))
			require.True(t, ok)
			require.Equal(t, tc.rate, a.Rate)
			require.True(t, a.Allows(tc.route))
			require.False(t, a.Allows(tc.denied))
			r, ok := tree.MatchRoute(tc.deployment.Host, "/"+tc.route+"/1")
			require.True(t, ok)
			require.Equal(t, tc.deadline, r.Deadline)
			clients := slices.DeleteFunc(tree.Accounts(), func(a config.Account) bool { return len(a.Keys) == 0 })
			require.Len(t, clients, tc.accounts)
		})
	}
}

// TestDeadlineOf guards against a proof that takes a request for cut off, or late, by the deadline of another route.
func TestDeadlineOf(t *testing.T) {
	cases := map[string]struct {
		path string
		want time.Duration
	}{
		"own deadline":     {path: "/exports?cost=700", want: 30 * time.Second},
		"default deadline": {path: "/checkins?cost=60", want: DefaultDeadline},
		"unknown path":     {path: "/x", want: DefaultDeadline},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) { require.Equal(t, tc.want, Abitudini().DeadlineOf(tc.path)) })
	}
}
