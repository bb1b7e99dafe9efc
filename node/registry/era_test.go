package registry

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// TestFeedRestored guards against nodes that keep what the registry lost when it was restored from a backup, mix it with what was written
// since, or all read it, and against nodes that miss the new state because they are cut off from the readers.
func TestFeedRestored(t *testing.T) {
	cases := map[string]struct {
		restore func(f *fleet, readers, others []Node)
		reads   int // full reads at most
	}{
		"fewer revisions than before": {restore: func(f *fleet, _, _ []Node) { f.store.restore(2) }, reads: readerCount},
		"empty backup":                {restore: func(f *fleet, _, _ []Node) { f.store.restore(0) }, reads: 4 * readerCount},
		"revisions issued again": {
			restore: func(f *fleet, _, _ []Node) {
				f.store.restore(2)
				for i := range 6 {
					f.store.put(put(fmt.Sprint("again", i%2), int64(i)))
				}
			},
			reads: readerCount,
		},
		"twice": {
			restore: func(f *fleet, _, _ []Node) {
				f.store.restore(3)
				f.store.put(put("between", 4))
				f.manual.Advance(tickInterval)
				f.store.restore(2)
			},
			reads: 2 * readerCount,
		},
		"readers cut off from the nodes": {
			restore: func(f *fleet, readers, _ []Node) {
				f.disconnect(readers[0].Name, readers[1].Name, readers[2].Name)
				f.store.restore(2)
			},
			reads: 12,
		},
		"one node cut off from the others": {
			restore: func(f *fleet, _, others []Node) {
				f.disconnect(others[0].Name)
				f.store.restore(2)
			},
			reads: readerCount + 1,
		},
		"after an outage": {
			restore: func(f *fleet, _, _ []Node) {
				f.store.mu.Lock()
				for _, node := range f.nodes {
					f.store.unavailable[node.Name] = true
				}
				f.store.mu.Unlock()
				f.settle(15 * tickInterval)
				f.store.restore(2)
				f.store.mu.Lock()
				clear(f.store.unavailable)
				f.store.mu.Unlock()
			},
			reads: readerCount * 3, // those that called in place of the readers may read as well
		},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, 12)
				f.eventually(2*time.Second, "the first read", f.allAt(1, f.nodes...))
				for i := range 4 {
					f.store.put(put(fmt.Sprint("k", i), int64(i)))
				}
				f.eventually(2*time.Second, "the state before", f.allEqual(f.nodes...))
				f.store.mu.Lock()
				before := f.store.fullReads
				f.store.mu.Unlock()
				readers, others := f.readersOf()
				tc.restore(f, readers, others)
				f.eventually(2*time.Second, "the restored state", f.allEqual(f.nodes...))
				f.eventually(time.Second, "the reports of the restore", func() bool {
					f.mu.Lock()
					defer f.mu.Unlock()
					return len(f.eras) == len(f.nodes)
				})
				f.store.put(put("last", 1))
				f.eventually(2*time.Second, "a change after it", f.allEqual(f.nodes...))
				f.store.mu.Lock()
				defer f.store.mu.Unlock()
				require.LessOrEqual(t, f.store.fullReads-before, tc.reads)
			})
		})
	}
}

// TestReceiveAnotherEra guards against a node that takes confirmations of a state that the registry no longer has, or changes of an era
// whose state it does not know.
func TestReceiveAnotherEra(t *testing.T) {
	f := newFleet(t, 12)
	f.eventually(2*time.Second, "the first read", f.allAt(1, f.nodes...))
	_, others := f.readersOf()
	feed := f.feeds[others[0].Name]
	receive := func(u Update) Point {
		held, err := feed.Receive(t.Context(), Broadcast{Update: u, Last: true})
		require.NoError(t, err)
		return held
	}
	require.Equal(t, Point{0, 1}, receive(Update{Era: 1, After: 1, Revision: 2, Items: []Item{put("a", 2)}}))
	require.Equal(t, Point{0, 1}, receive(Update{After: 1, Revision: 2, Items: []Item{put("b", 2)}}), "a higher era is known")
	require.Equal(t, Point{1, 2}, receive(Update{Era: 1, Revision: 2, Items: []Item{put("a", 2)}}))
	require.Equal(t, Point{1, 2}, receive(Update{Revision: 7, Items: []Item{put("b", 7)}}))
	require.Equal(t, map[string]string{"a": "a@2"}, values(feed.Snapshot()))
}
