package daemon

import (
	"io"
	"net/http"
	"slices"
	"testing"
	"time"
)

// BenchmarkLatency compares requests straight to the target, through the node beside it, and through two nodes.
// Requests are spaced, because the latency that a hop adds matters while the machine is not saturated.
func BenchmarkLatency(b *testing.B) {
	entry, targetNode := twoNodes(b, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "done") })
	client := newClient(b)
	for name, url := range map[string]string{
		"straight":  targetNode.target.URL + "/read",
		"one node":  targetNode.url("/read"),
		"two nodes": entry.url("/read"),
	} {
		b.Run(name, func(b *testing.B) {
			var latencies []time.Duration
			ticker := time.NewTicker(2 * time.Millisecond)
			defer ticker.Stop()
			for b.Loop() {
				<-ticker.C
				start := time.Now()
				res, err := client.Do(newRequest(b, http.MethodGet, url, nil))
				if err != nil {
					b.Fatal(err)
				}
				_, _ = io.Copy(io.Discard, res.Body)
				_ = res.Body.Close()
				latencies = append(latencies, time.Since(start))
			}
			slices.Sort(latencies)
			b.ReportMetric(float64(latencies[len(latencies)/2].Microseconds()), "p50-µs")
			b.ReportMetric(float64(latencies[len(latencies)*99/100].Microseconds()), "p99-µs")
		})
	}
}
