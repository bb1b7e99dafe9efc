package daemon

import (
	"io"
	"net/http"
	"slices"
	"testing"
	"time"
)

// BenchmarkPath compares a request straight to the target, through the node beside it, and through two nodes.
// Requests are spaced, because what a hop adds matters while the machine is not saturated.
func BenchmarkPath(b *testing.B) {
	entry, beside := twoNodes(b, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "done") })
	client := newCaller(b)
	for name, url := range map[string]string{
		"straight":  beside.target.URL + "/read",
		"one node":  beside.url("/read"),
		"two nodes": entry.url("/read"),
	} {
		b.Run(name, func(b *testing.B) {
			var took []time.Duration
			pause := time.NewTicker(2 * time.Millisecond)
			defer pause.Stop()
			for b.Loop() {
				<-pause.C
				begun := time.Now()
				res, err := client.Do(newRequest(b, http.MethodGet, url, nil))
				if err != nil {
					b.Fatal(err)
				}
				_, _ = io.Copy(io.Discard, res.Body)
				_ = res.Body.Close()
				took = append(took, time.Since(begun))
			}
			slices.Sort(took)
			b.ReportMetric(float64(took[len(took)/2].Microseconds()), "p50-µs")
			b.ReportMetric(float64(took[len(took)*99/100].Microseconds()), "p99-µs")
		})
	}
}
