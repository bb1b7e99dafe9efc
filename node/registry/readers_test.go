package registry

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestMayRead guards against nodes that call the registry needlessly, since each call is charged, and against nodes that do not
// although they get changes in no other way.
func TestMayRead(t *testing.T) {
	const ms = time.Millisecond
	cases := map[string]struct {
		state ReaderState
		want  bool
	}{
		"first reader":                 {state: ReaderState{Rank: 0, Age: 0, ContactAge: 0}, want: true},
		"second reader":                {state: ReaderState{Rank: 1, Age: 400 * ms, ContactAge: 0}},
		"second reader, a little late": {state: ReaderState{Rank: 1, Age: 500 * ms, ContactAge: 0}, want: true},
		"third reader":                 {state: ReaderState{Rank: 2, Age: 900 * ms, ContactAge: 0}},
		"third reader, late":           {state: ReaderState{Rank: 2, Age: time.Second, ContactAge: 0}, want: true},
		"not a reader":                 {state: ReaderState{Rank: 3, Age: 0, ContactAge: 0}},
		"new node":                     {state: ReaderState{Rank: 50, Age: Unconfirmed, ContactAge: Unconfirmed}, want: true},
		"a little late":                {state: ReaderState{Rank: 3, Age: 1200 * ms, ContactAge: 0}},
		"late, readers get no answer":  {state: ReaderState{Rank: 8, Age: 1300 * ms, ContactAge: 100 * ms}, want: true},
		"not among the first to join":  {state: ReaderState{Rank: 9, Age: 1300 * ms, ContactAge: 100 * ms}},
		"one join interval later":      {state: ReaderState{Rank: 26, Age: 3800 * ms, ContactAge: 100 * ms}, want: true},
		"last of 1,200 nodes":          {state: ReaderState{Rank: 1199, Age: 15 * time.Second, ContactAge: 100 * ms}, want: true},
		"no contact with readers":      {state: ReaderState{Rank: 500, Age: 1300 * ms, ContactAge: 1300 * ms}, want: true},
		"confirmed without contact":    {state: ReaderState{Rank: 500, Age: 100 * ms, ContactAge: 5 * time.Second}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) { require.Equal(t, tc.want, tc.state.MayRead()) })
	}
}

func testNodes(n, domains int) []Node {
	list := make([]Node, n)
	for i := range list {
		list[i] = Node{Name: fmt.Sprintf("10.0.%d.%d:7000", i%domains, i), Domain: fmt.Sprint("d", i%domains)}
	}
	return list
}

// TestOrder guards against readers that fail together with one failure domain, and against nodes that disagree on the readers.
func TestOrder(t *testing.T) {
	list := testNodes(90, 3)
	order := ReaderOrder(list)
	seen := map[string]bool{}
	for _, node := range order[:readerCount] {
		seen[node.Domain] = true
	}
	require.Len(t, seen, 3)
	list[0], list[50] = list[50], list[0]
	require.Equal(t, order, ReaderOrder(list))
}
