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

func newResponse(size int, length int64) *http.Response {
	return &http.Response{ContentLength: length, Body: io.NopCloser(bytes.NewReader(make([]byte, size)))}
}

// TestThrottle guards against a large response that exceeds its fraction of the link, lost bytes, and a backlog that remains
// after a complete response.
func TestThrottle(t *testing.T) {
	const speed = 2 << 20
	cases := map[string]struct {
		link        *Link
		size        int
		knownLength bool
		minTime     time.Duration // the first chunk is not delayed
	}{
		"no limit":       {size: 1 << 20, knownLength: true},
		"short":          {link: New(speed), size: minLargeSize - 1, knownLength: true},
		"large":          {link: New(speed), size: 160 << 10, knownLength: true, minTime: 80 * time.Millisecond},
		"unknown length": {link: New(speed), size: 160 << 10, minTime: 80 * time.Millisecond},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			length := int64(-1)
			if tc.knownLength {
				length = int64(tc.size)
			}
			started := time.Now()
			res := tc.link.Throttle(t.Context(), newResponse(tc.size, length))
			data, err := io.ReadAll(res.Body)
			require.NoError(t, err)
			require.Len(t, data, tc.size)
			require.GreaterOrEqual(t, time.Since(started), tc.minTime)
			require.NoError(t, res.Body.Close())
			require.Zero(t, tc.link.Backlog())
		})
	}
}

// TestBacklog guards against a backlog that omits a response, or that keeps the bytes of an aborted one: requests would then
// be refused forever.
func TestBacklog(t *testing.T) {
	l := New(1 << 20)
	ctx, cancel := context.WithCancel(t.Context())
	first := l.Throttle(ctx, newResponse(1<<20, 1<<20))
	second := l.Throttle(ctx, newResponse(1<<20, 1<<20))
	require.InDelta(t, 2/largeFraction, l.Backlog().Seconds(), 0.01)
	buf := make([]byte, 1<<20)
	n, err := first.Body.Read(buf)
	require.NoError(t, err)
	require.Equal(t, chunkSize, n)
	require.Less(t, l.Backlog().Seconds(), 2/largeFraction)
	cancel()
	_, err = first.Body.Read(buf)
	require.ErrorIs(t, err, context.Canceled)
	require.NoError(t, first.Body.Close())
	require.NoError(t, first.Body.Close())
	require.NoError(t, second.Body.Close())
	require.Zero(t, l.Backlog())
}
