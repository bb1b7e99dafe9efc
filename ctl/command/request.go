package command

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"strconv"
	"strings"
)

// maxLineBytes bounds the length of a log line; reading fails at a longer one.
const maxLineBytes = 1 << 20

type requestCommand struct {
	std  Streams
	Args struct {
		ID   string   `positional-arg-name:"ID" required:"yes"`
		Logs []string `positional-arg-name:"LOG"`
	} `positional-args:"yes"`
}

// NoLinesError reports a request without a line in any log.
type NoLinesError struct {
	ID    string
	Lines int // in all logs
}

func (e NoLinesError) Error() string {
	return fmt.Sprintf("command: none of %d lines tells of request %q: check that the logs of its entry node at that time are complete", e.Lines, e.ID)
}

// logLine has the fields of a log line that concern a request.
type logLine struct {
	Time     string  `json:"time"`
	Node     string  `json:"node"`
	Text     string  `json:"text"`
	ID       string  `json:"id"`
	Route    string  `json:"route"`
	Account  string  `json:"account"`
	Service  string  `json:"service"`
	Version  int64   `json:"version"`
	Instance string  `json:"instance"`
	Chosen   string  `json:"chosen"`
	Expected float64 `json:"expected"` // milliseconds
	Attempt  int     `json:"attempt"`
	Count    int     `json:"count"`
	Code     string  `json:"code"`
	Run      string  `json:"run"`
	Reason   string  `json:"reason"`
	Cause    string  `json:"cause"`
	Stopped  string  `json:"stopped"`
	Hedged   string  `json:"hedged"`
	Status   int     `json:"status"`
	Took     float64 `json:"took"` // milliseconds
	Stages   *struct {
		Account, Choice, Hop, Queue, Target float64 // milliseconds
	} `json:"stages"`
	Gate *struct{ Running, Queued, Limit int } `json:"gate"`
}

// Execute implements flags.Commander.
func (c *requestCommand) Execute([]string) error {
	var lines []logLine
	total := 0
	collect := func(in io.Reader) error {
		found, n, err := findLines(in, c.Args.ID)
		lines, total = append(lines, found...), total+n
		return err
	}
	if len(c.Args.Logs) == 0 {
		if err := collect(c.std.In); err != nil {
			return fmt.Errorf("command: reading the log from standard input: %w", err)
		}
	}
	for _, path := range c.Args.Logs {
		if err := readLog(path, collect); err != nil {
			return fmt.Errorf("command: reading the log %s: %w", path, err)
		}
	}
	if len(lines) == 0 {
		return NoLinesError{ID: c.Args.ID, Lines: total}
	}
	slices.SortStableFunc(lines, func(a, b logLine) int { return strings.Compare(a.Time, b.Time) })
	for _, l := range lines {
		if _, err := fmt.Fprintln(c.std.Out, l); err != nil {
			return err
		}
	}
	return nil
}

func readLog(path string, collect func(io.Reader) error) error {
	f, err := os.Open(path)
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }()
	return collect(f)
}

// findLines returns the lines about a request, and the number of lines read. It skips whatever precedes the first brace of
// a line, such as the name of an instance, and lines that are not JSON.
func findLines(in io.Reader, id string) ([]logLine, int, error) {
	scanner := bufio.NewScanner(in)
	scanner.Buffer(nil, maxLineBytes)
	var found []logLine
	n := 0
	for ; scanner.Scan(); n++ {
		text := scanner.Text()
		start := strings.IndexByte(text, '{')
		if start < 0 || !strings.Contains(text, id) {
			continue
		}
		var l logLine
		if json.Unmarshal([]byte(text[start:]), &l) == nil && l.ID == id {
			found = append(found, l)
		}
	}
	return found, n, scanner.Err()
}

// String formats the line with its outcome first, then the target and the timings, and the request's labels last.
func (l logLine) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s: %s", l.Time, l.Node, l.Text)
	add := func(name, value string) {
		if value != "" && value != "0" {
			fmt.Fprintf(&b, " %s=%s", name, value)
		}
	}
	ms := func(name string, value float64) {
		if value >= 0.1 {
			add(name, strconv.FormatFloat(value, 'f', 1, 64)+"ms")
		}
	}
	add("code", l.Code)
	add("run", l.Run)
	add("status", strconv.Itoa(l.Status))
	add("attempt", strconv.Itoa(l.Attempt))
	add("attempts", strconv.Itoa(l.Count))
	add("stopped", l.Stopped)
	add("hedged", l.Hedged)
	add("target", l.Instance)
	add("chosen", l.Chosen)
	ms("expected", l.Expected)
	if l.Gate != nil {
		add("gate", fmt.Sprintf("%d running, %d queued, limit %d", l.Gate.Running, l.Gate.Queued, l.Gate.Limit))
	}
	ms("took", l.Took)
	if l.Stages != nil {
		ms("tokens", l.Stages.Account)
		ms("choice", l.Stages.Choice)
		ms("hop", l.Stages.Hop)
		ms("queue", l.Stages.Queue)
		ms("target", l.Stages.Target)
	}
	add("route", l.Route)
	add("account", l.Account)
	add("service", l.Service)
	add("version", strconv.FormatInt(l.Version, 10))
	for _, text := range []string{l.Reason, l.Cause} {
		if text != "" {
			fmt.Fprintf(&b, " (%s)", text)
		}
	}
	return b.String()
}
