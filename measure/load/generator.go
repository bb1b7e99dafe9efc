package load

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// maxOutstanding bounds the outstanding requests of a source, each of which has a goroutine; arrivals beyond it are counted as skipped.
	maxOutstanding = 8000
	// maxArrivals bounds the arrivals of a source.
	maxArrivals = 2_000_000
)

// Source produces a stream of requests, for example those of one account.
type Source struct {
	Rate        float64       // requests per second, Poisson arrivals
	Entries     []string      // addresses of nodes
	RotateEvery time.Duration // if not zero, all requests go to one entry for this long, then to the next one
	Next        func(n int) Request
}

// Plan is an open-loop run: each request starts at its arrival time, whether or not earlier ones were answered.
type Plan struct {
	Sources  []Source
	Duration time.Duration
	Seed     uint64
}

// Run sends the requests of a plan and returns when all have ended; cancelling ctx aborts them.
func (c Caller) Run(ctx context.Context, p Plan) Result {
	results := make([]Result, len(p.Sources))
	var wg sync.WaitGroup
	for i, s := range p.Sources {
		wg.Go(func() { results[i] = c.runSource(ctx, s, p.Duration, rand.New(rand.NewPCG(p.Seed, uint64(i)))) }) //nolint:gosec // arrivals are repeatable
	}
	wg.Wait()
	var total Result
	for _, r := range results {
		total = total.With(r)
	}
	return total
}

// entry returns the entry address of a request that starts at the given time after the start of the run.
func (s Source) entry(elapsed time.Duration, rng *rand.Rand) string {
	if s.RotateEvery > 0 {
		return s.Entries[int(elapsed/s.RotateEvery)%len(s.Entries)]
	}
	return s.Entries[rng.IntN(len(s.Entries))]
}

func (c Caller) runSource(ctx context.Context, s Source, duration time.Duration, rng *rand.Rand) Result {
	received := make(chan Response, 64)
	collected := make(chan []Response, 1)
	go func() {
		var responses []Response
		for r := range received {
			responses = append(responses, r)
		}
		collected <- responses
	}()
	var requests sync.WaitGroup
	skipped := 0
	slots := make(chan struct{}, maxOutstanding)
	start := time.Now()
	next := start
	timer := time.NewTimer(0)
	defer timer.Stop()
	<-timer.C
arrivals:
	for n := range maxArrivals {
		next = next.Add(time.Duration(rng.ExpFloat64() / s.Rate * float64(time.Second)))
		if next.Sub(start) > duration {
			break
		}
		if wait := time.Until(next); wait > 0 {
			timer.Reset(wait)
			select {
			case <-timer.C:
			case <-ctx.Done():
				break arrivals
			}
		}
		select {
		case slots <- struct{}{}:
		default:
			skipped++
			continue
		}
		request, entry, intended := s.Next(n), s.entry(next.Sub(start), rng), next
		requests.Go(func() {
			defer func() { <-slots }()
			received <- c.Do(ctx, entry, request, intended)
		})
	}
	requests.Wait()
	close(received)
	return Result{responses: <-collected, skipped: skipped}
}
