package account

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"verbenapin.dev/node/config"
)

// TestPlacement guards against homes that depend on the order in which nodes joined and left: two nodes with the same list would then
// lend the same share twice, or none. HomesOf, which ranks all nodes for each account, is the naive version.
func TestPlacement(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		var p Placement
		fleet := map[string]bool{}
		for version := range rapid.IntRange(1, 12).Draw(r, "changes") {
			for range rapid.IntRange(0, 4).Draw(r, "joining or leaving") {
				name := fmt.Sprintf("10.0.0.%d:7000", rapid.IntRange(0, 40).Draw(r, "node"))
				fleet[name] = !fleet[name]
			}
			var f config.Fleet
			for name, listed := range fleet {
				if listed {
					f.Homes = append(f.Homes, name)
				}
			}
			if len(f.Homes) > 0 && rapid.Bool().Draw(r, "retire") {
				f.Retired = f.Homes[:1]
			}
			var accounts []config.Account
			for i := range rapid.IntRange(0, 6).Draw(r, "accounts") {
				accounts = append(accounts, config.Account{
					Name: fmt.Sprint("account-", i), Rate: 10, Burst: float64(rapid.IntRange(0, 30).Draw(r, "burst")),
				})
			}
			tree := config.NewTree(int64(version+1), f, nil, accounts)
			p = p.WithTree(tree)
			require.Equal(r, HomesOf(tree), p.Homes())
		}
	})
}

// BenchmarkPlacementChange measures one node that joins and leaves a fleet of 1,200 with 1,000 accounts.
func BenchmarkPlacementChange(b *testing.B) {
	var fleet config.Fleet
	for i := range 1200 {
		fleet.Homes = append(fleet.Homes, fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250))
	}
	var accounts []config.Account
	for i := range 1000 {
		accounts = append(accounts, config.Account{Name: fmt.Sprint("account-", i), Rate: 100, Burst: 100})
	}
	with := config.NewTree(1, fleet, nil, accounts)
	without := config.NewTree(1, config.Fleet{Homes: fleet.Homes[1:]}, nil, accounts)
	p := Placement{}.WithTree(with)
	b.Run("changed", func(b *testing.B) {
		for b.Loop() {
			p = p.WithTree(without).WithTree(with)
		}
	})
	b.Run("all", func(b *testing.B) {
		for b.Loop() {
			_, _ = HomesOf(without), HomesOf(with)
		}
	})
}
