package peer

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"verbenapin.dev/node/answer"
	"verbenapin.dev/node/config"
	"verbenapin.dev/node/loop"
	"verbenapin.dev/node/target"
)

// act is what a fake target does with a request.
type act struct {
	takes   time.Duration
	deaf    bool // goes on after the cancellation
	refusal answer.Refusal
}

// racer is a dispatcher over two fake targets, whose loop runs in the bubble of a test.
type racer struct {
	*Dispatcher
	acts      []act // of the attempts in order; later ones answer in a millisecond
	calls     int
	cancelled atomic.Int32
	closed    atomic.Int32
}

type closeBody struct {
	io.Reader
	closed *atomic.Int32
}

func (b closeBody) Close() error {
	b.closed.Add(1)
	return nil
}

func newRacer() *racer {
	r := &racer{}
	l := loop.New(time.Now)
	go func() { _ = l.Serve(context.Background()) }()
	all := []Candidate{{Name: "a", Domain: "d"}, {Name: "b", Domain: "d"}}
	r.Dispatcher = NewDispatcher(Self{Name: "self", Domain: "d"}, l, rand.New(rand.NewPCG(1, 2)), RoundRobin,
		func(string) []Candidate { return all }, func() []string { return nil }, nil, r.do)
	return r
}

func (r *racer) do(name string, call target.Call) (target.Reply, error) {
	a := act{takes: ms(1)}
	_ = r.loop.Call(context.Background(), func(time.Time) {
		if r.calls < len(r.acts) {
			a = r.acts[r.calls]
		}
		r.calls++
	})
	ctx := call.Request.Context()
	wait := ctx.Done()
	if a.deaf {
		wait = nil
	}
	select {
	case <-time.After(a.takes):
	case <-wait:
		r.cancelled.Add(1)
		return target.Reply{}, answer.NewMaybeExecuted(answer.CodeLost, "cancelled")
	}
	if a.refusal.Code != "" {
		return target.Reply{}, a.refusal
	}
	body := closeBody{Reader: strings.NewReader(name), closed: &r.closed}
	return target.Reply{Response: &http.Response{StatusCode: http.StatusOK, Body: body}}, nil
}

func (r *racer) try(t *testing.T, route config.Route, again bool) ([]string, target.Reply, error) {
	call := target.Call{Request: request(t), Route: route.Name, Deadline: time.Now().Add(time.Second)}
	var repeat func() *http.Request
	if again {
		repeat = func() *http.Request { return request(t) }
	}
	return r.Send(call, route, nil, repeat)
}

func request(t *testing.T) *http.Request {
	req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://x/", http.NoBody)
	require.NoError(t, err)
	return req
}

// TestRace guards against a hedge without leave or beyond its share, a loser that goes on, reaches the caller or stays
// counted on the board, a false "not run", and a goroutine that stays; the bubble fails on the last one.
func TestRace(t *testing.T) {
	notRun, maybe := answer.NewNotExecuted(answer.CodeBusy, "full"), answer.NewMaybeExecuted(answer.CodeLost, "broke")
	for name, c := range map[string]struct {
		share     float64
		forbidden bool
		acts      []act
		calls     int
		cancelled int
		took      time.Duration // beyond the time after which a second attempt is sent
		err       error
	}{
		"second wins":              {share: 0.05, acts: []act{{takes: ms(500)}, {takes: ms(5)}}, calls: 2, cancelled: 1, took: ms(5)},
		"first wins":               {share: 0.05, acts: []act{{takes: ms(100)}, {takes: ms(500)}}, calls: 2, cancelled: 1, took: ms(98)},
		"late answer of the loser": {share: 0.05, acts: []act{{takes: ms(500), deaf: true}, {takes: ms(5)}}, calls: 2, took: ms(5)},
		"both answer at once":      {share: 0.05, acts: []act{{takes: ms(7), deaf: true}, {takes: ms(5), deaf: true}}, calls: 2, took: ms(5)},
		"not idempotent":           {share: 0.05, forbidden: true, acts: []act{{takes: ms(500)}}, calls: 1, took: ms(498)},
		"off":                      {share: 0, acts: []act{{takes: ms(500)}}, calls: 1, took: ms(498)},
		"budget used up":           {share: 0.01, acts: []act{{takes: ms(500)}}, calls: 1, took: ms(498)},
		"second refused":           {share: 0.05, acts: []act{{takes: ms(100)}, {refusal: notRun}}, calls: 2, took: ms(98)},
		"first refused late":       {share: 0.05, acts: []act{{takes: ms(10), refusal: notRun}, {takes: ms(50)}}, calls: 2, took: ms(50)},
		"first refused early":      {share: 0.05, acts: []act{{refusal: notRun}}, calls: 1, took: -ms(2), err: notRun},
		"maybe, then not run":      {share: 0.05, acts: []act{{takes: ms(10), refusal: maybe}, {takes: ms(50), refusal: notRun}}, calls: 2, took: ms(50), err: maybe},
		"not run, then maybe":      {share: 0.05, acts: []act{{takes: ms(10), refusal: notRun}, {takes: ms(50), refusal: maybe}}, calls: 2, took: ms(50), err: maybe},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newRacer()
				defer r.loop.Close()
				route := config.Route{Name: "r", Service: "s", HedgeRatio: c.share}
				for range 40 {
					_, reply, err := r.try(t, route, !c.forbidden)
					require.NoError(t, err)
					require.NoError(t, reply.Response.Body.Close())
				}
				r.closed.Store(0)
				r.acts, r.calls = c.acts, 0
				begun := time.Now()
				names, reply, err := r.try(t, route, !c.forbidden)
				// All earlier latencies are 1 ms, so that the p95 is the upper bound of their bucket.
				after := bucketUpperBound(latencyBucket(ms(1)))
				require.InDelta(t, after+c.took, time.Since(begun), float64(ms(2)))
				require.Equal(t, c.calls, r.calls)
				require.Len(t, names, c.calls)
				answers := 0
				if c.err != nil {
					require.Equal(t, c.err, err)
				} else {
					require.NoError(t, err)
					text, err := io.ReadAll(reply.Response.Body)
					require.NoError(t, err)
					require.Contains(t, names, string(text))
					require.NoError(t, reply.Response.Body.Close())
					answers = 1
				}
				r.Close()
				require.EqualValues(t, c.cancelled, r.cancelled.Load())
				for _, a := range c.acts {
					if a.deaf && a.takes > ms(5) {
						answers++
					}
				}
				require.EqualValues(t, answers, r.closed.Load(), "responses that were closed")
				require.NoError(t, r.loop.Call(t.Context(), func(time.Time) {
					for _, name := range []string{"a", "b"} {
						require.Zero(t, r.table.get(name).outstanding, name)
						require.False(t, r.table.get(name).lost && c.err == nil && c.cancelled > 0, "a loser counts as a broken connection")
					}
				}))
			})
		})
	}
}

// TestRaceShare guards against hedges beyond the route's share when more responses than that are slow.
func TestRaceShare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRacer()
		defer r.loop.Close()
		route := config.Route{Name: "r", Service: "s", HedgeRatio: 0.02}
		const n = 1000
		for i := range n {
			takes := ms(1)
			if i%25 == 0 { // beyond the p95
				takes = ms(300)
			}
			r.acts = append(make([]act, r.calls), act{takes: takes})
			_, reply, err := r.try(t, route, true)
			require.NoError(t, err)
			require.NoError(t, reply.Response.Body.Close())
			r.Close()
			r.Dispatcher.closed = false
		}
		require.LessOrEqual(t, r.calls, n+n/50)
		require.Greater(t, r.calls, n, "no hedge at all")
	})
}

// TestRaceCancelled guards against a caller that leaves while its request runs twice.
func TestRaceCancelled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRacer()
		defer r.loop.Close()
		route := config.Route{Name: "r", Service: "s", HedgeRatio: 0.05}
		for range 40 {
			_, reply, err := r.try(t, route, true)
			require.NoError(t, err)
			require.NoError(t, reply.Response.Body.Close())
		}
		r.acts, r.calls = []act{{takes: ms(500)}, {takes: ms(500)}}, 0
		ctx, cancel := context.WithTimeout(t.Context(), ms(50))
		defer cancel()
		req := request(t).WithContext(ctx)
		call := target.Call{Request: req, Route: "r", Deadline: time.Now().Add(time.Second)}
		_, _, err := r.Send(call, route, nil, func() *http.Request { return req })
		var refused answer.Refusal
		require.True(t, errors.As(err, &refused))
		r.Close()
		require.EqualValues(t, 2, r.cancelled.Load())
	})
}

// TestObserve guards against an attempt beside another one that operators do not see, or see as a fault of its target.
func TestObserve(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRacer()
		defer r.loop.Close()
		route := config.Route{Name: "r", Service: "s", HedgeRatio: 0.05}
		for range 40 {
			_, reply, err := r.try(t, route, true)
			require.NoError(t, err)
			require.NoError(t, reply.Response.Body.Close())
		}
		var mu sync.Mutex
		var seen []string
		r.Observe = func(ctx context.Context, route string, _ http.Header, a Attempt) (context.Context, func(target.Reply, error)) {
			return ctx, func(reply target.Reply, err error) {
				mu.Lock()
				defer mu.Unlock()
				seen = append(seen, fmt.Sprint(route, a.Number, a.Hedge, a.Choice.Instance == reply.Stages.TargetName, err))
			}
		}
		r.acts, r.calls = []act{{takes: ms(500)}, {takes: ms(5)}}, 0
		_, reply, err := r.try(t, route, true)
		require.NoError(t, err)
		require.NoError(t, reply.Response.Body.Close())
		r.Close()
		require.Equal(t, []string{"r2 true true <nil>", "r1 false true " + SupersededError{}.Error()}, seen)
	})
}
