package load

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"verbenapin.dev/measure/history"
)

// maxLatency is the largest latency of a histogram; longer ones are recorded as this one.
const maxLatency = time.Minute

// Result holds the responses of a run.
type Result struct {
	responses []Response
	skipped   int
}

// NewResult returns a result with the given responses.
func NewResult(responses []Response) Result { return Result{responses: responses} }

// With returns r with the responses of another result added.
func (r Result) With(other Result) Result {
	return Result{responses: slices.Concat(r.responses, other.responses), skipped: r.skipped + other.skipped}
}

// Filter returns r with only the responses for which keep returns true; the number of skipped arrivals stays.
func (r Result) Filter(keep func(Response) bool) Result {
	var responses []Response
	for _, resp := range r.responses {
		if keep(resp) {
			responses = append(responses, resp)
		}
	}
	return Result{responses: responses, skipped: r.skipped}
}

// Account returns r with only the responses to one account's requests.
func (r Result) Account(name string) Result {
	return r.Filter(func(resp Response) bool { return resp.Request.Account == name })
}

// Responses returns all responses.
func (r Result) Responses() []Response { return r.responses }

// Skipped returns the number of requests that were not sent because too many were outstanding.
func (r Result) Skipped() int { return r.skipped }

// Count returns the number of responses for which keep returns true.
func (r Result) Count(keep func(Response) bool) int {
	n := 0
	for _, resp := range r.responses {
		if keep(resp) {
			n++
		}
	}
	return n
}

// Fraction returns the fraction of responses for which keep returns true, or zero if there are none.
func (r Result) Fraction(keep func(Response) bool) float64 {
	if len(r.responses) == 0 {
		return 0
	}
	return float64(r.Count(keep)) / float64(len(r.responses))
}

// Summary returns the numbers of responses by status, refusal code or failure as text, with the first error.
func (r Result) Summary() string {
	kinds := map[string]int{}
	var firstErr error
	for _, resp := range r.responses {
		switch {
		case resp.Err != nil:
			kinds["broken"]++
			if firstErr == nil {
				firstErr = resp.Err
			}
		case resp.Code != "":
			kinds[resp.Code]++
		default:
			kinds[strconv.Itoa(resp.Status)]++
		}
	}
	text := fmt.Sprintf("%d answers", len(r.responses))
	for _, kind := range slices.Sorted(maps.Keys(kinds)) {
		text += fmt.Sprintf(", %s %d", kind, kinds[kind])
	}
	if firstErr != nil {
		text += fmt.Sprintf(" (first: %v)", firstErr)
	}
	return text
}

// Calls returns the responses as a history.
func (r Result) Calls() []history.Call {
	calls := make([]history.Call, len(r.responses))
	for i, resp := range r.responses {
		calls[i] = resp.Call()
	}
	return calls
}

// Latency returns the histogram of the latencies of successful responses, in microseconds.
func (r Result) Latency() *hdrhistogram.Histogram {
	h := hdrhistogram.New(1, maxLatency.Microseconds(), 3)
	for _, resp := range r.responses {
		if resp.OK() {
			_ = h.RecordValue(min(max(1, resp.Latency().Microseconds()), maxLatency.Microseconds()))
		}
	}
	return h
}

// Quantile returns a percentile, from 0 to 100, of the latencies of successful responses, in milliseconds.
func (r Result) Quantile(percent float64) float64 {
	return float64(r.Latency().ValueAtQuantile(percent)) / 1000
}
