package registry

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func put(key string, revision int64) Item {
	return Item{Key: key, Value: fmt.Appendf(nil, "%s@%d", key, revision), Revision: revision}
}

func removed(key string, revision int64) Item {
	return Item{Key: key, Revision: revision, Deleted: true}
}

// TestCopyNews guards against a copy that goes back, skips a change, or keeps what a whole copy lacks.
func TestCopyNews(t *testing.T) {
	held, _, err := Snapshot{}.WithNews(start, Update{Revision: 5, Items: []Item{put("a", 3), put("b", 5)}})
	require.NoError(t, err)
	cases := map[string]struct {
		news     Update
		revision int64
		changed  []Item
		gap      bool
	}{
		"next change":            {news: Update{After: 5, Revision: 6, Items: []Item{put("c", 6)}}, revision: 6, changed: []Item{put("c", 6)}},
		"overlap":                {news: Update{After: 2, Revision: 6, Items: []Item{put("a", 3), put("c", 6)}}, revision: 6, changed: []Item{put("c", 6)}},
		"removal":                {news: Update{After: 5, Revision: 7, Items: []Item{removed("a", 7)}}, revision: 7, changed: []Item{removed("a", 7)}},
		"removal of the unknown": {news: Update{After: 5, Revision: 7, Items: []Item{removed("x", 7)}}, revision: 7, changed: []Item{removed("x", 7)}},
		"put and removed":        {news: Update{After: 5, Revision: 7, Items: []Item{put("x", 6), removed("x", 7)}}, revision: 7, changed: []Item{removed("x", 7)}},
		"old":                    {news: Update{After: 1, Revision: 4, Items: []Item{put("a", 4)}}, revision: 5},
		"same":                   {news: Update{After: 5, Revision: 5}, revision: 5},
		"gap":                    {news: Update{After: 6, Revision: 8, Items: []Item{put("a", 8)}}, revision: 5, gap: true},
		"whole": {
			news: Update{Revision: 9, Items: []Item{put("b", 5), put("c", 8)}}, revision: 9,
			changed: []Item{put("c", 8), removed("a", 9)},
		},
		"old whole": {news: Update{Revision: 4, Items: []Item{put("a", 3)}}, revision: 5},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			got, changed, err := held.WithNews(at(1), tc.news)
			require.Equal(t, tc.revision, got.Revision())
			require.Equal(t, tc.changed, changed)
			var gap GapError
			require.Equal(t, tc.gap, err != nil)
			if tc.gap {
				require.ErrorAs(t, err, &gap)
				require.Equal(t, GapError{Held: 5, After: 6}, gap)
			}
		})
	}
}

// TestCopyConfirmation guards against an age that is too low, and against an outage that is not noticed.
func TestCopyConfirmation(t *testing.T) {
	c := Snapshot{}
	require.Equal(t, Unconfirmed, c.Age(start))
	c, _, _ = c.WithNews(at(0), Update{Revision: 1, Age: Unconfirmed})
	require.Equal(t, Unconfirmed, c.Age(at(0)), "a cached read confirms nothing")
	c, _, _ = c.WithNews(at(1000), Update{After: 1, Revision: 1, Age: 300 * time.Millisecond})
	require.Equal(t, 500*time.Millisecond, c.Age(at(1200)))
	c, _, _ = c.WithNews(at(1300), Update{After: 1, Revision: 1, Age: 900 * time.Millisecond})
	require.Equal(t, 600*time.Millisecond, c.Age(at(1300)), "older confirmations change nothing")
	require.True(t, c.RecoveredAt().IsZero())
	c, _, _ = c.WithNews(at(4000), Update{After: 1, Revision: 1, Age: 0})
	require.Equal(t, at(4000), c.RecoveredAt())
}

// naive is the registry itself with all its history.
type naive struct{ log []Item }

func (n *naive) change(r *rapid.T) {
	i := Item{Key: fmt.Sprint("k", rapid.IntRange(0, 5).Draw(r, "key")), Revision: int64(len(n.log) + 1)}
	if i.Deleted = rapid.IntRange(0, 3).Draw(r, "gone") == 0; !i.Deleted {
		i.Value = fmt.Appendf(nil, "v%d", i.Revision)
	}
	n.log = append(n.log, i)
}

// at returns the values at a revision.
func (n *naive) at(revision int64) map[string]string {
	values := map[string]string{}
	for _, i := range n.log[:revision] {
		if i.Deleted {
			delete(values, i.Key)
		} else {
			values[i.Key] = string(i.Value)
		}
	}
	return values
}

// whole returns what a read gives.
func (n *naive) whole() Update {
	news := Update{Revision: int64(len(n.log))}
	last := map[string]Item{}
	for _, i := range n.log {
		last[i.Key] = i
	}
	for _, key := range slices.Sorted(maps.Keys(last)) {
		if !last[key].Deleted {
			news.Items = append(news.Items, last[key])
		}
	}
	return news
}

func values(c Snapshot) map[string]string {
	got := map[string]string{}
	for key, i := range c.items {
		if !i.Deleted {
			got[key] = string(i.Value)
		}
	}
	return got
}

// TestCopiesAgree guards against copies that differ from the registry at their revision, however the news came to them:
// by watches, by reads, from copies that are ahead, behind or started later, and in any order.
func TestCopiesAgree(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		n := &naive{}
		copies := make([]Snapshot, 4)
		for range rapid.IntRange(1, 120).Draw(r, "steps") {
			i, j := rapid.IntRange(0, 3).Draw(r, "copy"), rapid.IntRange(0, 3).Draw(r, "other")
			before := copies[i].Revision()
			switch rapid.IntRange(0, 5).Draw(r, "step") {
			case 0, 1:
				n.change(r)
				continue
			case 2:
				if before == 0 {
					continue // a fresh node reads before it watches
				}
				after := before
				copies[i] = copies[i].must(r, Update{After: after, Revision: int64(len(n.log)), Items: n.log[after:]})
			case 3:
				copies[i] = copies[i].must(r, n.whole())
			case 4:
				// The sender assumes a revision that the receiver may not have, and sends again what follows its own.
				news := copies[j].Since(start, int64(rapid.IntRange(0, len(n.log)).Draw(r, "after")))
				next, _, err := copies[i].WithNews(start, news)
				if err != nil {
					next = copies[i].must(r, copies[j].Since(start, copies[i].Revision()))
				}
				copies[i] = next
			default:
				copies[i] = Snapshot{} // the node starts anew
				continue
			}
			require.GreaterOrEqual(r, copies[i].Revision(), before)
			require.Equal(r, n.at(copies[i].Revision()), values(copies[i]))
		}
	})
}

func (c Snapshot) must(t require.TestingT, n Update) Snapshot {
	next, _, err := c.WithNews(start, n)
	require.NoError(t, err)
	return next
}

// TestRemovalsBounded guards against a copy that grows with each target that ever left, and against a receiver that
// keeps a target whose removal was forgotten.
func TestRemovalsBounded(t *testing.T) {
	behind := Snapshot{}.must(t, Update{Revision: 1, Items: []Item{put("first", 1)}})
	c := behind
	c = c.must(t, Update{After: 1, Revision: 2, Items: []Item{removed("first", 2)}})
	for revision := int64(3); revision < 10_000; revision += 2 {
		key := fmt.Sprint("t", revision)
		c = c.must(t, Update{After: revision - 1, Revision: revision, Items: []Item{put(key, revision)}})
		c = c.must(t, Update{After: revision, Revision: revision + 1, Items: []Item{removed(key, revision+1)}})
		require.LessOrEqual(t, len(c.items), maxRemovals+1)
	}
	behind = behind.must(t, c.Since(start, behind.Revision()))
	require.Empty(t, values(behind))
}
