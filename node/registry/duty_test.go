package registry

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestMayRead guards against nodes that read needlessly, since each call is charged, and against nodes that do not read
// although changes reach them by no other way.
func TestMayRead(t *testing.T) {
	const ms = time.Millisecond
	cases := map[string]struct {
		standing Standing
		want     bool
	}{
		"first reader":                        {standing: Standing{Rank: 0, Age: 0, Heard: 0}, want: true},
		"second reader":                       {standing: Standing{Rank: 1, Age: 400 * ms, Heard: 0}},
		"second reader, a little late":        {standing: Standing{Rank: 1, Age: 500 * ms, Heard: 0}, want: true},
		"third reader":                        {standing: Standing{Rank: 2, Age: 900 * ms, Heard: 0}},
		"third reader, late":                  {standing: Standing{Rank: 2, Age: time.Second, Heard: 0}, want: true},
		"not a reader":                        {standing: Standing{Rank: 3, Age: 0, Heard: 0}},
		"fresh node":                          {standing: Standing{Rank: 50, Age: Unconfirmed, Heard: Unconfirmed}, want: true},
		"a little late":                       {standing: Standing{Rank: 3, Age: 1200 * ms, Heard: 0}},
		"late, readers get no answer":         {standing: Standing{Rank: 8, Age: 1300 * ms, Heard: 100 * ms}, want: true},
		"others wait for those":               {standing: Standing{Rank: 9, Age: 1300 * ms, Heard: 100 * ms}},
		"later":                               {standing: Standing{Rank: 26, Age: 3800 * ms, Heard: 100 * ms}, want: true},
		"a thousand nodes at last":            {standing: Standing{Rank: 1199, Age: 15 * time.Second, Heard: 100 * ms}, want: true},
		"no reader is heard":                  {standing: Standing{Rank: 500, Age: 1300 * ms, Heard: 1300 * ms}, want: true},
		"confirmed though no reader is heard": {standing: Standing{Rank: 500, Age: 100 * ms, Heard: 5 * time.Second}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) { require.Equal(t, tc.want, tc.standing.MayRead()) })
	}
}

func members(n, domains int) []Node {
	list := make([]Node, n)
	for i := range list {
		list[i] = Node{Name: fmt.Sprintf("10.0.%d.%d:7000", i%domains, i), Domain: fmt.Sprint("d", i%domains)}
	}
	return list
}

// TestOrder guards against readers that are lost together with one failure domain, and against nodes that disagree on them.
func TestOrder(t *testing.T) {
	list := members(90, 3)
	order := Order(list)
	seen := map[string]bool{}
	for _, m := range order[:readers] {
		seen[m.Domain] = true
	}
	require.Len(t, seen, 3)
	list[0], list[50] = list[50], list[0]
	require.Equal(t, order, Order(list))
}
