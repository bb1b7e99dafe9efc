package link

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func response(size int, length int64) *http.Response {
	return &http.Response{ContentLength: length, Body: io.NopCloser(bytes.NewReader(make([]byte, size)))}
}

// TestPace guards against a large response that fills the link, a short one that waits, and bytes that are lost.
func TestPace(t *testing.T) {
	const speed = 2 << 20
	cases := map[string]struct {
		link  *Link
		size  int
		known bool
		least time.Duration // the first piece passes at once
	}{
		"no limit":       {size: 1 << 20, known: true},
		"short":          {link: New(speed), size: largeFrom - 1, known: true},
		"large":          {link: New(speed), size: 160 << 10, known: true, least: 80 * time.Millisecond},
		"unknown length": {link: New(speed), size: 160 << 10, least: 80 * time.Millisecond},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			length := int64(-1)
			if tc.known {
				length = int64(tc.size)
			}
			begun := time.Now()
			res := tc.link.Throttle(t.Context(), response(tc.size, length))
			data, err := io.ReadAll(res.Body)
			require.NoError(t, err)
			require.Len(t, data, tc.size)
			require.GreaterOrEqual(t, time.Since(begun), tc.least)
			require.NoError(t, res.Body.Close())
			require.Zero(t, tc.link.Backlog())
		})
	}
}

// TestBacklog guards against a backlog that misses a response or stays after one that broke off, by which requests would be
// refused for ever.
func TestBacklog(t *testing.T) {
	l := New(1 << 20)
	ctx, cancel := context.WithCancel(t.Context())
	first := l.Throttle(ctx, response(1<<20, 1<<20))
	second := l.Throttle(ctx, response(1<<20, 1<<20))
	require.InDelta(t, 2/largeShare, l.Backlog().Seconds(), 0.01)
	buf := make([]byte, 1<<20)
	n, err := first.Body.Read(buf)
	require.NoError(t, err)
	require.Equal(t, piece, n)
	require.Less(t, l.Backlog().Seconds(), 2/largeShare)
	cancel()
	_, err = first.Body.Read(buf)
	require.ErrorIs(t, err, context.Canceled)
	require.NoError(t, first.Body.Close())
	require.NoError(t, first.Body.Close())
	require.NoError(t, second.Body.Close())
	require.Zero(t, l.Backlog())
}
