package account

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"verbenapin.dev/node/answer"
	"verbenapin.dev/node/clock"
	"verbenapin.dev/node/loop"
)

// limiterPair is a home and a borrower in one process, on one loop and one manual clock.
type limiterPair struct {
	home, node *Limiter
	clock      *clock.Manual
	close      func()
}

func newLimiterPair(t *testing.T, send func(ctx context.Context, home string, req LeaseRequest) (Grant, error)) *limiterPair {
	m := clock.NewManual(time.Unix(1000, 0))
	l := loop.New(m.Now)
	served := make(chan error, 1)
	go func() { served <- l.Serve(context.Background()) }()
	p := &limiterPair{clock: m}
	mayRefill := func(time.Time) bool { return true }
	p.home = NewLimiter("h", l, m.Clock(), nil, mayRefill)
	if send == nil {
		send = func(ctx context.Context, _ string, req LeaseRequest) (Grant, error) {
			return p.home.GrantLease(ctx, req)
		}
	}
	p.node = NewLimiter("n", l, m.Clock(), send, mayRefill)
	tree := fleetTree(1, []string{"h"}, nil, Limit{Rate: 10, Burst: 3})
	for _, l := range []*Limiter{p.home, p.node} {
		require.NoError(t, l.loop.Call(context.Background(), func(now time.Time) { l.SetTree(now, tree) }))
	}
	// Each step waits for the ticks; a gap between them would count as a pause, in which the home refills nothing.
	for range 30 {
		m.Advance(tickInterval)
		require.NoError(t, l.Call(context.Background(), func(time.Time) {}))
	}
	p.close = func() {
		p.node.Close()
		p.home.Close()
		l.Close()
		require.NoError(t, <-served)
	}
	return p
}

// TestLimiter guards against a request beyond the burst, a refund that is lost, and a token that is usable beyond RefundWindow.
func TestLimiter(t *testing.T) {
	p := newLimiterPair(t, nil)
	defer p.close()
	ctx := context.Background()
	var permits []Permit
	for range 3 {
		permit, err := p.node.Acquire(ctx, fleetAccount)
		require.NoError(t, err)
		require.NoError(t, permit.Validate())
		permits = append(permits, permit)
	}
	_, err := p.node.Acquire(ctx, fleetAccount)
	var refusal answer.Refusal
	require.True(t, errors.As(err, &refusal))
	require.Equal(t, answer.CodeRate, refusal.Code)
	require.Equal(t, answer.NotExecuted, refusal.Execution)
	require.Positive(t, refusal.RetryAfter)
	permits[0].Refund()
	permits[0].Refund()
	permits[1].Commit()
	permits[1].Refund()
	again, err := p.node.Acquire(ctx, fleetAccount)
	require.NoError(t, err)
	_, err = p.node.Acquire(ctx, fleetAccount)
	require.True(t, errors.As(err, &refusal), "one refund is worth one request")
	p.clock.Advance(RefundWindow)
	require.True(t, errors.As(again.Validate(), &refusal))
	_, err = p.node.Acquire(ctx, "unknown")
	require.True(t, errors.As(err, &refusal))
}

// TestLimiterClose guards against a request or a LeaseRequest that is left waiting when the limiter closes.
func TestLimiterClose(t *testing.T) {
	started := make(chan struct{})
	p := newLimiterPair(t, func(ctx context.Context, _ string, _ LeaseRequest) (Grant, error) {
		close(started)
		<-ctx.Done()
		return Grant{}, ctx.Err()
	})
	failed := make(chan error, 1)
	go func() {
		_, err := p.node.Acquire(context.Background(), fleetAccount)
		failed <- err
	}()
	<-started
	p.close()
	var refusal answer.Refusal
	require.True(t, errors.As(<-failed, &refusal))
	require.Equal(t, answer.CodeLeaving, refusal.Code)
}

// TestLimiterCanceledWait guards against a token that is lost, or a waiting entry that remains, when a caller gives up.
func TestLimiterCanceledWait(t *testing.T) {
	started, release := make(chan struct{}, 10), make(chan struct{})
	var p *limiterPair
	p = newLimiterPair(t, func(ctx context.Context, _ string, req LeaseRequest) (Grant, error) {
		started <- struct{}{}
		<-release
		return p.home.GrantLease(ctx, req)
	})
	defer p.close()
	ctx, cancel := context.WithCancel(context.Background())
	failed := make(chan error, 1)
	go func() {
		_, err := p.node.Acquire(ctx, fleetAccount)
		failed <- err
	}()
	<-started
	cancel()
	require.ErrorIs(t, <-failed, context.Canceled)
	close(release)
	for range 3 {
		_, err := p.node.Acquire(context.Background(), fleetAccount)
		require.NoError(t, err)
	}
	waiting := 0
	require.NoError(t, p.node.loop.Call(context.Background(), func(time.Time) {
		waiting = len(p.node.waiters) + len(p.node.borrower.waiting)
	}))
	require.Zero(t, waiting)
}

// TestLimiterAbortRefundsToken guards against a token that is lost when it arrives while its caller gives up.
func TestLimiterAbortRefundsToken(t *testing.T) {
	p := newLimiterPair(t, nil)
	defer p.close()
	permit, err := p.node.Acquire(context.Background(), fleetAccount)
	require.NoError(t, err)
	decided := make(chan Decision, 1)
	decided <- Decision{Verdict: Admit, Token: permit.token}
	p.node.abort(fleetAccount, decided)
	tokens := 0
	require.NoError(t, p.node.loop.Call(context.Background(), func(now time.Time) {
		tokens = p.node.borrower.pools[fleetAccount].Tokens(p.node.elapsed(now))
	}))
	require.Equal(t, 1, tokens)
}

// TestAbsentNodes guards against a limiter that takes over the shares of nodes which may be cut off, and against one that never does.
func TestAbsentNodes(t *testing.T) {
	m := clock.NewManual(time.Unix(1000, 0))
	l := loop.New(m.Now)
	served := make(chan error, 1)
	go func() { served <- l.Serve(context.Background()) }()
	overage := Overage{Refilled: 0.1, Takeover: 0.01, Window: time.Second}
	limiter := NewLimiterWithOverage("a", l, m.Clock(), overage, nil)
	tree := fleetTree(1, nil, nil, Limit{Rate: 1000, Burst: 100})
	share := func(listed ...string) Limit {
		var got Limit
		require.NoError(t, l.Call(context.Background(), func(now time.Time) {
			if listed != nil {
				limiter.SetHomes(now, tree, listed, nil)
			}
			got = limiter.lender.current.limits[fleetAccount]
		}))
		return got
	}
	require.InDelta(t, 550, share("a", "b").Rate, 1e-6)
	require.InDelta(t, 560, share("a").Rate, 1e-6, "the share of a and what the overage covers")
	require.InDelta(t, 550, share("a", "b").Rate, 1e-6)
	require.InDelta(t, 560, share("a").Rate, 1e-6)
	m.Advance(absenceTerm)
	require.InDelta(t, 1100, share().Rate, 1e-6, "b is gone")
	limiter.Close()
	l.Close()
	require.NoError(t, <-served)
}
