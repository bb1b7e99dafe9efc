package load

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// maxOutstanding bounds the goroutines of a run; arrivals beyond it are counted as skipped.
	maxOutstanding = 8000
	// maxArrivals bounds a run.
	maxArrivals = 2_000_000
)

// Source produces the requests of one stream, for example of one account.
type Source struct {
	Rate        float64 // requests per second, Poisson arrivals
	Entries     []string
	RotateEvery time.Duration // if not zero, all requests enter at one entry for this long, then at the next one
	Next        func(n int) Request
}

// Plan is an open-loop run: requests start at their time whether or not earlier ones were answered.
type Plan struct {
	Sources  []Source
	Duration time.Duration
	Seed     uint64
}

// Run sends the requests of a plan and returns when all are answered; a cancelled ctx ends it at once.
func (c Caller) Run(ctx context.Context, p Plan) Result {
	results := make([]Result, len(p.Sources))
	var all sync.WaitGroup
	for i, s := range p.Sources {
		all.Go(func() { results[i] = c.runSource(ctx, s, p.Duration, rand.New(rand.NewPCG(p.Seed, uint64(i)))) }) //nolint:gosec // arrivals are repeatable
	}
	all.Wait()
	var r Result
	for _, part := range results {
		r = r.With(part)
	}
	return r
}

// entry returns where a request enters that starts at a time since the start of the run.
func (s Source) entry(since time.Duration, random *rand.Rand) string {
	if s.RotateEvery > 0 {
		return s.Entries[int(since/s.RotateEvery)%len(s.Entries)]
	}
	return s.Entries[random.IntN(len(s.Entries))]
}

func (c Caller) runSource(ctx context.Context, s Source, length time.Duration, random *rand.Rand) Result {
	answered := make(chan Response, 64)
	collected := make(chan []Response, 1)
	go func() {
		var answers []Response
		for a := range answered {
			answers = append(answers, a)
		}
		collected <- answers
	}()
	var sent sync.WaitGroup
	skipped := 0
	places := make(chan struct{}, maxOutstanding)
	start := time.Now()
	next := start
	timer := time.NewTimer(0)
	defer timer.Stop()
	<-timer.C
arrivals:
	for n := range maxArrivals {
		next = next.Add(time.Duration(random.ExpFloat64() / s.Rate * float64(time.Second)))
		if next.Sub(start) > length {
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
		case places <- struct{}{}:
		default:
			skipped++
			continue
		}
		request, entry, intended := s.Next(n), s.entry(next.Sub(start), random), next
		sent.Go(func() {
			defer func() { <-places }()
			answered <- c.Do(ctx, entry, request, intended)
		})
	}
	sent.Wait()
	close(answered)
	return Result{answers: <-collected, skipped: skipped}
}
