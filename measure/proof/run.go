package proof

import (
	"context"
	"fmt"
	"io"
	"maps"
	"slices"
	"sync"
)

// maxParallelCases bounds the cases that run concurrently; each starts a fleet of up to ten processes.
const maxParallelCases = 4

// Run runs the named cases, or all if names is empty, prints a line for each and returns the number that failed.
func Run(ctx context.Context, binary string, names []string, out io.Writer) int {
	cases := Cases()
	sem := make(chan struct{}, maxParallelCases)
	var wg sync.WaitGroup
	var mu sync.Mutex
	failed := 0
	for _, name := range slices.Sorted(maps.Keys(cases)) {
		if len(names) > 0 && !slices.Contains(names, name) {
			continue
		}
		wg.Go(func() {
			sem <- struct{}{}
			defer func() { <-sem }()
			err := cases[name].Run(ctx, binary, func(string) {})
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				failed++
				_, _ = fmt.Fprintf(out, "WRONG %s: found %s: %v\n", name, cases[name].Guards, err)
				return
			}
			_, _ = fmt.Fprintf(out, "ok    %s: did not find %s\n", name, cases[name].Guards)
		})
	}
	wg.Wait()
	return failed
}
