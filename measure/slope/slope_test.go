package slope

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"verbenapin.dev/measure/deployment"
	"verbenapin.dev/measure/fleet"
)

// TestMain guards against leaked goroutines.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// TestSize guards against a fleet whose size differs from the reported one, and against fleets too large for one machine.
func TestSize(t *testing.T) {
	cases := map[string]struct {
		size            Size
		homes, accounts int
		valid           bool
	}{
		"smallest":      {size: Size{Nodes: 3, Homes: 1}, homes: 1, accounts: 8, valid: true},
		"uneven":        {size: Size{Nodes: 20, Homes: 3}, homes: 3, accounts: 8, valid: true},
		"all homes":     {size: Size{Nodes: 5, Homes: 24}, homes: 5, accounts: 8, valid: true},
		"more accounts": {size: Size{Nodes: 99, Homes: 24, Accounts: 12}, homes: 24, accounts: 20, valid: true},
		"too few":       {size: Size{Nodes: 2, Homes: 1}},
		"too many":      {size: Size{Nodes: 251, Homes: 1}},
		"no home":       {size: Size{Nodes: 3}},
		"negative":      {size: Size{Nodes: 3, Homes: 1, Accounts: -1}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			d, err := tc.size.Deployment()
			if !tc.valid {
				require.ErrorIs(t, err, SizeError{Size: tc.size})
				return
			}
			require.NoError(t, err)
			nodes := map[string]bool{}
			for _, n := range fleet.PlanInstances(d, 1) {
				nodes[n.Name] = true
			}
			require.Len(t, nodes, tc.size.Nodes)
			require.Len(t, d.Accounts(), tc.accounts)
			require.Len(t, d.Homes(), tc.homes)
			for _, h := range d.Homes() {
				require.True(t, nodes[h], h)
			}
			_, _, err = d.Pack(1)
			require.NoError(t, err)
		})
	}
}

// TestHomeLoad guards against more connections or shorter intervals than one machine supports.
func TestHomeLoad(t *testing.T) {
	cases := map[string]HomeLoad{
		"too many borrowers": {Borrowers: maxBorrowers + 1, Interval: time.Second},
		"negative":           {Borrowers: -1, Interval: time.Second},
		"too often":          {Borrowers: len(deployment.Domains), Interval: time.Millisecond},
	}
	for name, l := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := MeasureHome(context.Background(), "", t.TempDir(), l, 0, 0)
			require.ErrorIs(t, err, LoadError{Load: l})
		})
	}
}
