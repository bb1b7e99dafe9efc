package config

import (
	"crypto/sha256"
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"
)

// generateFiles returns declarations with 300 routes and the given number of accounts, in files of 1,000 accounts.
func generateFiles(accounts int) []File {
	var b strings.Builder
	b.WriteString("fleet: {homes: [h0, h1, h2]}\nroutes:\n  base: {deadline: 2s, slots: 12}\n")
	for i := range 300 {
		fmt.Fprintf(&b, "  r%d: {parent: base, host: a.example, path: /r%d, service: s%d}\n", i, i, i/2)
	}
	files := []File{{Name: "fleet.yaml", Data: []byte(b.String())}}
	for first := 0; first < accounts; first += 1000 {
		b.Reset()
		b.WriteString("accounts:\n")
		for i := first; i < min(first+1000, accounts); i++ {
			fmt.Fprintf(&b, "  a%d: {rate: 100/s, burst: 100, routes: [r1, r2, r3], keys: [\"sha256:%x\"]}\n", i, sha256.Sum256([]byte(fmt.Sprint(i))))
		}
		files = append(files, File{Name: fmt.Sprintf("accounts%d.yaml", first), Data: []byte(b.String())})
	}
	return files
}

// BenchmarkParse measures the time of parsing, the peak heap meanwhile, and the heap that the tree retains.
func BenchmarkParse(b *testing.B) {
	for _, accounts := range []int{10, 1000, 5000} {
		b.Run(fmt.Sprintf("%d accounts", accounts), func(b *testing.B) {
			files := generateFiles(accounts)
			b.ReportAllocs()
			peak, retained := uint64(0), uint64(0)
			for b.Loop() {
				b.StopTimer()
				before := heapInUse()
				done, highest := make(chan struct{}), make(chan uint64)
				go func() { highest <- peakHeap(done) }()
				b.StartTimer()
				t, err := Parse(1, files)
				b.StopTimer()
				close(done)
				if err != nil {
					b.Fatal(err)
				}
				peak = max(peak, <-highest-min(before, 1<<62))
				retained = heapInUse() - before
				runtime.KeepAlive(t)
				b.StartTimer()
			}
			b.ReportMetric(float64(peak)/1e6, "peak-MB")
			b.ReportMetric(float64(retained)/1e6, "kept-MB")
		})
	}
}

func heapInUse() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// peakHeap samples the heap, garbage included, until done is closed and returns the highest value.
func peakHeap(done chan struct{}) uint64 {
	t := time.NewTicker(5 * time.Millisecond)
	defer t.Stop()
	most := uint64(0)
	for {
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		most = max(most, m.HeapAlloc)
		select {
		case <-done:
			return most
		case <-t.C:
		}
	}
}
