// Package link divides the network link of the instance between large responses and everything else.
package link

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

const (
	// largeShare is the part of the link that large responses get. Without a limit they fill the queue of a slow link, and
	// everything else waits behind them: connects, tokens and news of other nodes took up to 1.2 s at 10 Mbit/s.
	largeShare = 0.8
	// largeFrom is the size from which a response is large; shorter ones are gone before a wait would help anybody.
	largeFrom = 16 << 10
	// piece is what passes in one turn, so that responses take turns; it holds a link of 10 Mbit/s for 13 ms.
	piece = 16 << 10
)

// BytesPerMegabit is the speed of 1 Mbit/s in bytes per second.
const BytesPerMegabit = 125_000

// Link is the link of one instance; its methods may be called from any goroutine. Nil stands for one that is never full.
type Link struct {
	limiter *rate.Limiter
	speed   float64      // bytes per second for large responses
	waiting atomic.Int64 // bytes of large responses that have not passed yet
}

// New returns the link with a speed in bytes per second, nil for zero.
func New(speed float64) *Link {
	if speed <= 0 {
		return nil
	}
	speed *= largeShare
	return &Link{limiter: rate.NewLimiter(rate.Limit(speed), piece), speed: speed}
}

// Backlog returns the time that the large responses under way still take.
func (l *Link) Backlog() time.Duration {
	if l == nil {
		return 0
	}
	return time.Duration(float64(l.waiting.Load()) / l.speed * float64(time.Second))
}

// Throttle returns the response with a body that passes no faster than the link allows, unless it is short.
func (l *Link) Throttle(ctx context.Context, res *http.Response) *http.Response {
	if l == nil || (0 <= res.ContentLength && res.ContentLength < largeFrom) {
		return res
	}
	out := *res
	left := max(res.ContentLength, 0)
	l.waiting.Add(left)
	out.Body = &paced{ReadCloser: res.Body, ctx: ctx, link: l, left: left}
	return &out
}

// paced is a body that is read at the speed of the link.
type paced struct {
	io.ReadCloser
	ctx    context.Context
	link   *Link
	left   int64 // announced bytes that have not passed
	closed atomic.Bool
}

// Read returns a piece of the body when its turn has come.
func (p *paced) Read(b []byte) (int, error) {
	n, err := p.ReadCloser.Read(b[:min(len(b), piece)])
	if n > 0 {
		if werr := p.wait(n); werr != nil {
			return 0, werr
		}
		p.passed(int64(n))
	}
	return n, err
}

func (p *paced) wait(n int) error {
	now := time.Now()
	delay := p.link.limiter.ReserveN(now, n).DelayFrom(now)
	if delay <= 0 {
		return nil
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-p.ctx.Done():
		return fmt.Errorf("link: waiting for the link: %w", p.ctx.Err())
	}
}

// passed counts bytes of the announced length as gone.
func (p *paced) passed(n int64) {
	n = min(n, p.left)
	p.left -= n
	p.link.waiting.Add(-n)
}

// Close closes the body; what has not passed never will.
func (p *paced) Close() error {
	if !p.closed.Swap(true) {
		p.passed(p.left)
	}
	return p.ReadCloser.Close()
}
