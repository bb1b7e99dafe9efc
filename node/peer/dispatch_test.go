package peer

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"verbenapin.dev/node/answer"
	"verbenapin.dev/node/config"
	"verbenapin.dev/node/target"
	"verbenapin.dev/node/tcp"
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

// TestNoRoom guards against a target that counts as lost because this node had no room for a connection to it, and against a refusal
// that says that such a request may have run.
func TestNoRoom(t *testing.T) {
	l, ctx := startLoop(t), t.Context()
	client := NewClient(time.Now, nil, func(string) (string, bool) { return "127.0.0.1:1", true })
	defer client.Close()
	client.Dial = tcp.NewCounts().Dial(tcp.KindHop, 1, func(ctx context.Context, _, _ string) (net.Conn, error) {
		<-ctx.Done() // takes the room until the test ends
		return nil, ctx.Err()
	})
	holding, release := context.WithCancel(ctx)
	defer release()
	go func() { _, _ = client.Dial(holding, "tcp", "") }()
	d := NewDispatcher(Self{Name: "a1", Domain: "a"}, l, rand.New(rand.NewPCG(1, 1)), TargetTable.Choose,
		func(string) []Candidate { return []Candidate{{Name: "b1:1", Domain: "a"}} }, func() []string { return nil }, nil, client.Do)
	var refused answer.Refusal
	require.Eventually(t, func() bool {
		sendCtx, cancel := context.WithTimeout(ctx, 20*time.Millisecond)
		defer cancel()
		r, err := http.NewRequestWithContext(sendCtx, http.MethodPost, "/", strings.NewReader("x"))
		require.NoError(t, err)
		_, _, err = d.Send(target.Call{Request: r, Route: "r", Deadline: time.Now().Add(time.Minute)}, config.Route{Service: "app"}, nil, nil)
		return errors.As(err, &NoRoomError{}) && errors.As(err, &refused)
	}, 5*time.Second, time.Millisecond)
	require.Equal(t, []any{answer.NotExecuted, answer.CodeBusy}, []any{refused.Execution, refused.Code})
	require.Positive(t, refused.RetryAfter)
	require.NoError(t, l.Call(ctx, func(time.Time) { require.False(t, d.table.find("b1:1").lost) }))
}
