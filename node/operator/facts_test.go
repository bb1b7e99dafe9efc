package operator

import (
	"testing"

	"github.com/stretchr/testify/require"

	"verbenapin.dev/node/config"
	"verbenapin.dev/node/operator/report"
)

// TestFacts guards against an explanation that lacks a value that decides, or contains one that does not apply to the query.
func TestFacts(t *testing.T) {
	tree, err := config.Parse(7, []config.File{{Name: "f.yaml", Data: []byte(`
routes:
  history: {host: streaks.example, path: /history, service: history, slots: 12}
  exports: {host: streaks.example, path: /exports, service: exports}
accounts:
  base: {burst: 100, routes: [history]}
  lombardia: {parent: base, rate: 200/s, keys: ["sha256:ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad"]}
`)}})
	require.NoError(t, err)
	s := report.State{Service: "history", ServeStatus: "serve", ConfirmationAge: 20, Load: report.Load{Running: 3, Limit: 12}}
	cases := map[string]struct {
		query  report.Query
		want   []report.Fact
		absent string // name of a fact that must not appear
	}{
		"account": {query: report.Query{Account: "lombardia"}, want: []report.Fact{
			{Name: "account rate", Value: "200/s", Source: "lombardia f.yaml:7"},
			{Name: "account burst", Value: "100", Source: "base f.yaml:6"},
		}, absent: "account keys"},
		"route of this node's service": {query: report.Query{Route: "history"}, want: []report.Fact{
			{Name: "route slots", Value: "12", Source: "history f.yaml:3"},
			{Name: "route hedge", Value: "0%", Source: "default"},
			{Name: "limit", Value: "12", Source: "target beside this node"},
		}, absent: "authorized"},
		"route of another service": {query: report.Query{Account: "lombardia", Route: "exports"}, want: []report.Fact{
			{Name: "authorized", Value: "false", Source: "tree"},
		}, absent: "limit"},
		"unknown account": {query: report.Query{Account: "lombard"}, want: []report.Fact{
			{Name: "account", Value: "unknown", Source: "tree"}, {Name: "verdict", Value: "serve", Source: "evidence 20 ms old"},
		}, absent: "account rate"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			got := Facts(tree, s, tc.query)
			require.Subset(t, got, tc.want)
			for _, f := range got {
				require.NotEqual(t, tc.absent, f.Name)
			}
		})
	}
}
