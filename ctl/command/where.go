package command

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"verbenapin.dev/ctl/admin"
	"verbenapin.dev/node/operator/report"
)

type whereCommand struct {
	std Streams
	ctx context.Context
	nodeFlag
	Host    string `long:"host" value-name:"HOST" required:"yes" description:"Host of the request"`
	Path    string `long:"path" value-name:"PATH" default:"/" description:"Path of the request, as sent"`
	Method  string `long:"method" value-name:"METHOD" default:"GET" description:"Method of the request"`
	Account string `long:"account" value-name:"NAME" description:"Account of the request"`
	Digest  string `long:"digest" value-name:"DIGEST" description:"Digest of the request's key, as digest prints it, in place of the account"`
	JSON    bool   `long:"json" description:"Print one JSON value for each node"`
}

// Execute implements flags.Commander.
func (c *whereCommand) Execute([]string) error {
	client := admin.NewClient()
	defer client.Close()
	q := report.WhereQuery{Host: c.Host, Path: c.Path, Method: c.Method, Account: c.Account, Digest: strings.TrimPrefix(c.Digest, "sha256:")}
	for _, node := range c.Nodes {
		where, err := client.Where(c.ctx, node, q)
		if err != nil {
			return fmt.Errorf("command: asking where a request would go: %w", err)
		}
		if c.JSON {
			err = json.NewEncoder(c.std.Out).Encode(where)
		} else {
			err = printWhere(c.std.Out, where)
		}
		if err != nil {
			return fmt.Errorf("command: printing: %w", err)
		}
	}
	return nil
}

func printWhere(out io.Writer, where report.Where) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	line := func(name, format string, args ...any) { _, _ = fmt.Fprintf(w, name+"\t"+format+"\n", args...) }
	line("node", "%s", where.Node)
	line("version", "%d", where.Version)
	line("route", "%s", orDash(where.Route))
	line("account", "%s", orDash(where.Account))
	if where.Tokens != nil {
		line("tokens", "%d", *where.Tokens)
	}
	if where.Refusal != nil {
		printRefusal(line, where.Refusal)
	}
	for _, s := range where.Services {
		line("", "")
		line("service", "%s", s.Service)
		if s.Share > 0 {
			line("share", "%.4g%%", s.Share*100)
		}
		line("target", "%s (%s)", orDash(s.Target), s.Reason)
		line("expected", "%.1f ms", s.ExpectedWait)
		printRefusal(line, s.Refusal)
		line("retries", "%.1f left", s.Retries)
		line("use", "%.2f at %d targets", s.Use, s.Known)
		switch {
		case s.Hedge == nil:
			line("hedge", "off")
		case s.Hedge.Sent:
			line("hedge", "after %.1f ms to %s, %.1f left", s.Hedge.After, s.Hedge.Target, s.Hedge.Left)
		default:
			line("hedge", "not sent: %s, %.1f left", s.Hedge.Reason, s.Hedge.Left)
		}
	}
	if err := w.Flush(); err != nil {
		return err
	}
	for _, s := range where.Services {
		_, _ = fmt.Fprintf(w, "\nTARGET OF %s\tDOMAIN\tEXCLUDED\tCOMPARED\tSCORE\tWAIT\tRUNNING\tQUEUED\tLIMIT\tPACE\tAGE\n", s.Service)
		for _, t := range s.Targets {
			_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%t\t%.1f\t%.1f\t%d\t%d\t%d\t%.2f\t%.0f\n",
				t.Name, t.Domain, orDash(t.Excluded), t.Compared, t.Score, t.Wait, t.Running, t.Queued, t.Limit, t.Slowdown, t.Age)
		}
		if err := w.Flush(); err != nil {
			return err
		}
	}
	return nil
}

func printRefusal(line func(name, format string, args ...any), r *report.WhereRefusal) {
	if r == nil {
		line("outcome", "admitted")
		return
	}
	after := ""
	if r.RetryAfter > 0 {
		after = fmt.Sprintf(", come back after %.1f ms", r.RetryAfter)
	}
	line("outcome", "refused: %s, %s%s", r.Code, r.Reason, after)
}

func orDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}
