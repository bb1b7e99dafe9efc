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

// maxLatency is the largest latency that histograms distinguish.
const maxLatency = time.Minute

// Result is what a run's callers saw.
type Result struct {
	answers []Response
	skipped int
}

// NewResult returns a result of the given answers.
func NewResult(answers []Response) Result { return Result{answers: answers} }

// With returns r together with another result.
func (r Result) With(other Result) Result {
	return Result{answers: slices.Concat(r.answers, other.answers), skipped: r.skipped + other.skipped}
}

// Where returns the answers that keep accepts.
func (r Result) Where(keep func(Response) bool) Result {
	var answers []Response
	for _, a := range r.answers {
		if keep(a) {
			answers = append(answers, a)
		}
	}
	return Result{answers: answers, skipped: r.skipped}
}

// Account returns the answers to one account's requests.
func (r Result) Account(name string) Result {
	return r.Where(func(a Response) bool { return a.Request.Account == name })
}

// Answers returns all answers.
func (r Result) Answers() []Response { return r.answers }

// Skipped returns the number of arrivals that were not sent because too many were outstanding.
func (r Result) Skipped() int { return r.skipped }

// Count returns the number of answers that keep accepts.
func (r Result) Count(keep func(Response) bool) int {
	n := 0
	for _, a := range r.answers {
		if keep(a) {
			n++
		}
	}
	return n
}

// Share returns the share of answers that keep accepts, zero without answers.
func (r Result) Share(keep func(Response) bool) float64 {
	if len(r.answers) == 0 {
		return 0
	}
	return float64(r.Count(keep)) / float64(len(r.answers))
}

// Summary returns the numbers of answers by their kind.
func (r Result) Summary() string {
	kinds := map[string]int{}
	var first error
	for _, a := range r.answers {
		switch {
		case a.Err != nil:
			kinds["broken"]++
			if first == nil {
				first = a.Err
			}
		case a.Code != "":
			kinds[a.Code]++
		default:
			kinds[strconv.Itoa(a.Status)]++
		}
	}
	text := fmt.Sprintf("%d answers", len(r.answers))
	for _, kind := range slices.Sorted(maps.Keys(kinds)) {
		text += fmt.Sprintf(", %s %d", kind, kinds[kind])
	}
	if first != nil {
		text += fmt.Sprintf(" (first: %v)", first)
	}
	return text
}

// Calls returns the answers as a history.
func (r Result) Calls() []history.Call {
	calls := make([]history.Call, len(r.answers))
	for i, a := range r.answers {
		calls[i] = a.Call()
	}
	return calls
}

// Latency returns the distribution of the latencies of successful answers, in microseconds.
func (r Result) Latency() *hdrhistogram.Histogram {
	h := hdrhistogram.New(1, maxLatency.Microseconds(), 3)
	for _, a := range r.answers {
		if a.OK() {
			_ = h.RecordValue(min(max(1, a.Latency().Microseconds()), maxLatency.Microseconds()))
		}
	}
	return h
}

// Quantile returns a quantile of the latencies of successful answers, in milliseconds.
func (r Result) Quantile(percent float64) float64 {
	return float64(r.Latency().ValueAtQuantile(percent)) / 1000
}
