package peer

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"verbenapin.dev/node/config"
	"verbenapin.dev/node/loop"
	"verbenapin.dev/node/target"
)

// TestOwnTargetRTT guards against the service time of the node's own target being recorded as the round-trip time to its failure
// domain.
func TestOwnTargetRTT(t *testing.T) {
	l := loop.New(time.Now)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- l.Serve(ctx) }()
	defer func() { cancel(); <-ended }()
	d := NewDispatcher(Self{Name: "a1", Domain: "a"}, l, rand.New(rand.NewPCG(1, 1)), TargetTable.Choose,
		func(string) []Candidate { return []Candidate{{Name: "a1", Domain: "a"}} }, func() []string { return nil },
		func(target.Call) (target.Reply, error) {
			return target.Reply{Response: &http.Response{Body: io.NopCloser(strings.NewReader(""))}, HasLoad: true}, nil
		}, nil)
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "/", nil)
	require.NoError(t, err)
	names, reply, err := d.Send(target.Call{Request: r, Deadline: time.Now().Add(time.Minute)}, config.Route{Service: "app"}, nil, nil)
	require.NoError(t, err)
	require.Equal(t, []string{"a1"}, names)
	require.NoError(t, reply.Response.Body.Close())
	var rtt time.Duration
	require.NoError(t, l.Call(ctx, func(time.Time) { rtt = d.table.RTT("a", "a") }))
	require.Equal(t, initialOwnRTT, rtt)
}
