package peer

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"verbenapin.dev/node/config"
	"verbenapin.dev/node/target"
)

// stalledBody yields its data and then blocks until its context ends, as the body of a response from a node that is frozen.
type stalledBody struct {
	ctx  context.Context
	left int
}

func (b *stalledBody) Read(p []byte) (int, error) {
	if b.left == 0 {
		<-b.ctx.Done()
		return 0, b.ctx.Err()
	}
	n := min(len(p), b.left)
	b.left -= n
	return n, nil
}

func (b *stalledBody) Close() error { return nil }

// TestHungNode guards against a response of another node that keeps its caller waiting after its deadline, because that node or the
// connection to it went silent in the body, and against one that is cut off because its own reader is slow.
func TestHungNode(t *testing.T) {
	cases := map[string]struct {
		left  int
		pause time.Duration // of the reader after each 1,000 bytes
		ends  time.Duration // after the start
		whole bool
	}{
		"silent at once":    {left: 0, ends: time.Second + deadlineGrace},
		"silent in between": {left: 50_000, ends: time.Second + deadlineGrace},
		"slow reader":       {left: 50_000, pause: 100 * time.Millisecond, ends: 5 * time.Second, whole: true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := newTestDispatcher()
				defer d.loop.Close()
				d.sendRemote = func(_ string, call target.Call) (target.Reply, error) {
					body := &stalledBody{ctx: call.Request.Context(), left: tc.left}
					return target.Reply{Response: &http.Response{StatusCode: http.StatusOK, Body: body}}, nil
				}
				started := time.Now()
				_, reply, err := d.sendOne(t, config.Route{Name: "r", Service: "app"}, false)
				require.NoError(t, err)
				read := 0
				for err == nil && (!tc.whole || read < tc.left) {
					var n int
					n, err = reply.Response.Body.Read(make([]byte, 1000))
					read += n
					time.Sleep(tc.pause)
				}
				require.Equal(t, tc.left, read)
				require.Equal(t, tc.ends, time.Since(started))
				if tc.whole {
					require.NoError(t, err)
				} else {
					require.ErrorAs(t, err, &target.HungError{})
				}
				require.NoError(t, reply.Response.Body.Close())
			})
		})
	}
}
