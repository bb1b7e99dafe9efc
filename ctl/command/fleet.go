package command

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"verbenapin.dev/ctl/admin"
	"verbenapin.dev/node/answer"
	"verbenapin.dev/node/clock"
	"verbenapin.dev/node/operator/report"
)

// followPeriod is the interval between two outputs: that of heartbeats, since states change no faster.
const followPeriod = time.Second

// NoStateError reports how many nodes did not return their state.
type NoStateError struct{ Count int }

func (e NoStateError) Error() string { return fmt.Sprintf("command: %d nodes gave no state", e.Count) }

type nodeFlag struct {
	Nodes []string `long:"node" env:"VERBENAPIN_NODES" env-delim:"," value-name:"URL" required:"yes" description:"Base URL of the admin listener of a node, such as http://127.0.0.1:9070; may be given several times"`
}

type fleetCommand struct {
	std Streams
	ctx context.Context
	nodeFlag
	Follow bool `long:"follow" description:"Print the states again every second until interrupted"`
}

// Execute implements flags.Commander.
func (c *fleetCommand) Execute([]string) error {
	client := admin.NewClient()
	defer client.Close()
	if !c.Follow {
		return c.print(client.States(c.ctx, c.Nodes))
	}
	due := make(chan struct{}, 1)
	ticks := clock.New().Subscribe(followPeriod, func(time.Time) {
		select {
		case due <- struct{}{}:
		default:
		}
	})
	defer ticks.Close()
	for {
		var noState NoStateError
		if err := c.print(client.States(c.ctx, c.Nodes)); err != nil && !errors.As(err, &noState) {
			return err
		}
		select {
		case <-c.ctx.Done():
			return nil
		case <-due:
			_, _ = fmt.Fprintln(c.std.Out)
		}
	}
}

func (c *fleetCommand) print(states []admin.NodeState) error {
	w := tabwriter.NewWriter(c.std.Out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "NAME\tDOMAIN\tSERVICE\tVERSION\tVERDICT\tREADY\tRUNNING\tQUEUED\tLIMIT\tTIME ms\tFAILING\tLEAVING\tOUT")
	missing := 0
	for _, node := range states {
		s := node.State
		if node.Err != nil {
			missing++
			continue
		}
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%s\t%s\t%d\t%d\t%d\t%.1f\t%.0f%%\t%s\t%s\n", s.Name, s.Domain, s.Service, s.Version, s.ServeStatus,
			yesNo(s.Ready), s.Load.Running, s.Load.Queued, s.Load.Limit, s.Load.ServiceTime, s.Load.FailureRate*100, yesNo(s.Leaving), cmp.Or(strings.Join(s.EvacuatedDomains, ","), "-"))
	}
	if err := w.Flush(); err != nil {
		return fmt.Errorf("command: printing: %w", err)
	}
	for _, node := range states {
		if node.Err != nil {
			_, _ = fmt.Fprintf(c.std.Err, "%s: %v\n", node.Node, node.Err)
		}
	}
	if v := versions(states); len(v) > 1 {
		_, _ = fmt.Fprintf(c.std.Out, "versions differ: %s\n", strings.Join(v, ", "))
	}
	if missing > 0 {
		return NoStateError{Count: missing}
	}
	return nil
}

// versions returns the versions in force, oldest first, each with its number of nodes.
func versions(states []admin.NodeState) []string {
	counts := map[int64]int{}
	for _, node := range states {
		if node.Err == nil {
			counts[node.State.Version]++
		}
	}
	var out []string
	for _, v := range slices.Sorted(maps.Keys(counts)) {
		out = append(out, fmt.Sprintf("%d on %d", v, counts[v]))
	}
	return out
}

func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}

type explainCommand struct {
	std Streams
	ctx context.Context
	nodeFlag
	Account string `long:"account" value-name:"NAME" description:"Account of the requests"`
	Route   string `long:"route" value-name:"NAME" description:"Route of the requests"`
	Code    string `long:"code" value-name:"CODE" description:"Code of the refusals"`
}

// Execute implements flags.Commander.
func (c *explainCommand) Execute([]string) error {
	client := admin.NewClient()
	defer client.Close()
	q := report.Query{Account: c.Account, Route: c.Route, Code: answer.Code(c.Code)}
	for _, node := range c.Nodes {
		e, err := client.Explain(c.ctx, node, q)
		if err != nil {
			return fmt.Errorf("command: explaining: %w", err)
		}
		w := tabwriter.NewWriter(c.std.Out, 0, 0, 2, ' ', 0)
		_, _ = fmt.Fprintf(w, "node\t%s\n", node)
		if e.Cause != "" {
			_, _ = fmt.Fprintf(w, "cause\t%s\naction\t%s\n", e.Cause, e.Action)
		}
		for _, f := range e.Facts {
			_, _ = fmt.Fprintf(w, "%s\t%s\t%s\n", f.Name, f.Value, f.Source)
		}
		if err := w.Flush(); err != nil {
			return fmt.Errorf("command: printing: %w", err)
		}
	}
	return nil
}
