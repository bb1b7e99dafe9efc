package deployment

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
)

// TestMain guards against goroutines that outlive a test.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// TestYAML guards against a change that does not reach the tree, and against keys that appear in it.
func TestYAML(t *testing.T) {
	d := Abitudini()
	cases := map[string]struct {
		deployment Deployment
		want       string
	}{
		"route":        {deployment: d, want: "  history: {parent: base, host: streaks.example, path: /history, service: history, slots: 12, idempotent: true}\n"},
		"deadline":     {deployment: d, want: "path: /exports, service: exports, slots: 12, idempotent: true, deadline: 30s}\n"},
		"account":      {deployment: d, want: "  profile: {parent: base, rate: 200/s, burst: 200, routes: [settings], keys: [\"sha256:"},
		"taken out":    {deployment: d.WithOut("b"), want: "  out: [b]\n"},
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

// TestPack guards against a manifest whose digests don't match its parts.
func TestPack(t *testing.T) {
	data, parts, err := Abitudini().Pack(7)
	require.NoError(t, err)
	var m manifest
	require.NoError(t, json.Unmarshal(data, &m))
	require.Equal(t, int64(7), m.Version)
	require.Len(t, m.Parts, len(parts))
	for _, p := range m.Parts {
		sum := sha256.Sum256(parts[p.Name])
		require.Equal(t, hex.EncodeToString(sum[:]), p.Sha256)
		require.Equal(t, "part-"+p.Sha256, p.Name)
	}
}
