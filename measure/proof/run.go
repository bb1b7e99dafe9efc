package proof

import (
	"context"
	"fmt"
	"io"
	"maps"
	"slices"
	"sync"
)

// atOnce is the number of cases that run beside each other; each has a fleet of up to ten processes.
const atOnce = 4

// Run runs the named cases, all if there are no names, prints a line for each and returns how many failed.
func Run(ctx context.Context, binary string, names []string, out io.Writer) int {
	cases := Cases()
	places := make(chan struct{}, atOnce)
	var all sync.WaitGroup
	var mu sync.Mutex
	failed := 0
	for _, name := range slices.Sorted(maps.Keys(cases)) {
		if len(names) > 0 && !slices.Contains(names, name) {
			continue
		}
		all.Go(func() {
			places <- struct{}{}
			defer func() { <-places }()
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
	all.Wait()
	return failed
}
