package peer

import (
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"verbenapin.dev/node/config"
	"verbenapin.dev/node/target"
)

// TestOwnTargetRTT guards against the service time of the node's own target being recorded as the round-trip time to its failure
// domain.
func TestOwnTargetRTT(t *testing.T) {
	l, ctx := startLoop(t), t.Context()
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

// TestDropUnlisted guards against a table that grows with each release of a service, and against dropping a target whose response is
// still read.
func TestDropUnlisted(t *testing.T) {
	l, ctx := startLoop(t), t.Context()
	current := "v1"
	d := NewDispatcher(Self{Name: "a1", Domain: "a"}, l, rand.New(rand.NewPCG(1, 1)), TargetTable.Choose,
		func(string) []Candidate { return []Candidate{{Name: current, Domain: "a"}} }, func() []string { return nil }, nil,
		func(string, target.Call) (target.Reply, error) {
			return target.Reply{Response: &http.Response{Body: io.NopCloser(strings.NewReader(""))}, HasLoad: true, Load: target.Load{Limit: 1}}, nil
		})
	send := func() target.Reply {
		r, err := http.NewRequestWithContext(ctx, http.MethodGet, "/", nil)
		require.NoError(t, err)
		_, reply, err := d.Send(target.Call{Request: r, Deadline: time.Now().Add(time.Minute)}, config.Route{Service: "app"}, nil, nil)
		require.NoError(t, err)
		return reply
	}
	known := func(name string) (known bool) {
		require.NoError(t, l.Call(ctx, func(time.Time) {
			d.DropUnlisted(func(name string) bool { return name == current })
			known = d.table.find(name) != nil
		}))
		return known
	}
	first := send()
	current = "v2"
	second := send()
	require.True(t, known("v1"), "its response is still read")
	require.NoError(t, first.Response.Body.Close())
	require.NoError(t, second.Response.Body.Close())
	require.False(t, known("v1"))
	require.True(t, known("v2"))
}
