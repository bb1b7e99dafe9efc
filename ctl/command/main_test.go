package command

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"verbenapin.dev/node/operator/report"
)

var update = flag.Bool("update", false, "write the golden files")

// TestMain guards against goroutines that outlive a command.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// newNode starts a stand-in for the admin listener of a node and returns its URL.
func newNode(t *testing.T, s report.State) string {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/state":
			_ = json.NewEncoder(w).Encode(s)
		case "/explain":
			_ = json.NewEncoder(w).Encode(report.Explanation{
				Cause: "cause of " + r.URL.Query().Get("code"), Action: "do this",
				Facts: []report.Fact{{Name: "rate", Value: "50/s", Source: "base"}, {Name: "account", Value: r.URL.Query().Get("account"), Source: "query"}},
			})
		case "/where":
			q, tokens := r.URL.Query(), 4
			where := report.Where{Node: "a1", Version: 7, Route: q.Get("host") + q.Get("path"), Account: q.Get("account"), Tokens: &tokens, Services: []report.WhereService{{
				Service: "history", Share: 0.995, Target: "t1", Reason: "least", ExpectedWait: 1.5, Retries: 2, Use: 0.4, Known: 2,
				Hedge: &report.WhereHedge{Sent: true, Target: "t2", After: 180, Left: 1.2},
				Targets: []report.WhereTarget{
					{Name: "t1", Domain: "a", Compared: true, Score: 12.3, Running: 2, Limit: 10, Slowdown: 1, Age: 40},
					{Name: "t3", Domain: "b", Excluded: "leaving", Score: 14, Age: -1},
				},
			}}}
			if q.Get("path") == "/none" {
				where = report.Where{Node: "a1", Version: 7, Refusal: &report.WhereRefusal{Code: "route", Reason: "no route matches host and path"}}
			}
			_ = json.NewEncoder(w).Encode(where)
		default:
			http.NotFound(w, r)
		}
	}))
	t.Cleanup(server.Close)
	return server.URL
}

// TestCommands guards against accidental changes of outputs and exit codes, which operators' scripts rely on.
func TestCommands(t *testing.T) {
	dir := t.TempDir()
	a := newNode(t, report.State{
		Name: "a1", Domain: "a", Service: "history", Ready: true, Version: 7, ServeStatus: "serve", EvacuatedDomains: []string{"b"},
		Load: report.Load{Running: 3, Queued: 1, Limit: 12, ServiceTime: 8.25, FailureRate: 0.015},
	})
	b := newNode(t, report.State{Name: "b1", Domain: "b", Service: "history", Version: 6, ServeStatus: "stale", Leaving: true})
	const down = "http://127.0.0.1:1" // no process may listen there without privileges
	normalize := strings.NewReplacer(dir, "DIR", a, "NODEA", b, "NODEB", down, "DOWN")
	packOld := func(t *testing.T) {
		require.Zero(t, Main(context.Background(), []string{"pack", "--version", "7", "--out", dir, "testdata/old.yaml"}, Streams{Out: io.Discard, Err: io.Discard}))
	}

	cases := map[string]struct {
		args  string
		in    string
		setup func(t *testing.T)
		code  int
	}{
		"help":           {args: "--help"},
		"none":           {code: ExitUsage},
		"check":          {args: "check testdata/old.yaml"},
		"check bad":      {args: "check testdata/bad.yaml", code: ExitRejected},
		"check missing":  {args: "check testdata/none.yaml", code: ExitFailed},
		"pack":           {args: "pack --version 7 --out " + dir + " testdata/old.yaml"},
		"pack again":     {args: "pack --version 7 --out " + dir + " testdata/old.yaml", setup: packOld},
		"pack reuse":     {args: "pack --version 7 --out " + dir + " testdata/new.yaml", setup: packOld, code: ExitFailed},
		"pack older":     {args: "pack --version 6 --out " + dir + " testdata/old.yaml", setup: packOld, code: ExitFailed},
		"pack removed":   {args: "pack --version 8 --out " + dir + " testdata/removed.yaml", setup: packOld, code: ExitFailed},
		"pack replaced":  {args: "pack --version 8 --out " + dir + " testdata/replaced.yaml", setup: packOld, code: ExitFailed},
		"pack bad":       {args: "pack --version 8 --out " + dir + " testdata/bad.yaml", code: ExitRejected},
		"pack zero":      {args: "pack --version 0 --out " + dir + " testdata/old.yaml", code: ExitUsage},
		"show account":   {args: "show --account lombardia testdata/old.yaml"},
		"show route":     {args: "show --route history testdata/old.yaml"},
		"show both":      {args: "show --route history --account lombardia testdata/old.yaml", code: ExitUsage},
		"show unknown":   {args: "show --route historic testdata/old.yaml", code: ExitFailed},
		"diff":           {args: "diff testdata/old.yaml testdata/new.yaml", code: ExitDiffers},
		"diff packed":    {args: "diff testdata/old.yaml " + dir, setup: packOld},
		"digest":         {args: "digest", in: "a-key-of-more-than-twenty\r\n"},
		"digest short":   {args: "digest", in: "abc"},
		"digest two":     {args: "digest", in: "abc\nabc\n", code: ExitUsage},
		"digest nothing": {args: "digest", code: ExitUsage},
		"fleet":          {args: "fleet --node " + a + " --node " + b},
		"fleet down":     {args: "fleet --node " + a + " --node " + down, code: ExitFailed},
		"explain":        {args: "explain --node " + a + " --account lombardia --code rate"},
		"where":          {args: "where --node " + a + " --host streaks.example --path /history --account lombardia"},
		"where refused":  {args: "where --node " + a + " --host streaks.example --path /none"},
		"where json":     {args: "where --json --node " + a + " --host streaks.example --path /none"},
		"where down":     {args: "where --host x --node " + down, code: ExitFailed},
		"explain down":   {args: "explain --node " + down, code: ExitFailed},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			if tc.setup != nil {
				tc.setup(t)
			}
			var out, errs bytes.Buffer
			code := Main(context.Background(), strings.Fields(tc.args), Streams{In: strings.NewReader(tc.in), Out: &out, Err: &errs})
			got := normalize.Replace(fmt.Sprintf("exit %d\n%s--- err\n%s", code, out.String(), errs.String()))
			golden := filepath.Join("testdata", strings.ReplaceAll(name, " ", "_")+".golden")
			if *update {
				require.NoError(t, os.WriteFile(golden, []byte(got), 0o644))
			}
			want, err := os.ReadFile(golden)
			require.NoError(t, err)
			require.Equal(t, string(want), got)
			require.Equal(t, tc.code, code)
		})
	}
}

// TestDigestCreate guards against a created key that does not match its printed digest.
func TestDigestCreate(t *testing.T) {
	var printed, read bytes.Buffer
	require.Zero(t, Main(context.Background(), []string{"digest", "--create"}, Streams{Out: &printed}))
	key, digest, _ := strings.Cut(printed.String(), "\n")
	require.Zero(t, Main(context.Background(), []string{"digest"}, Streams{In: strings.NewReader(key), Out: &read}))
	require.Equal(t, digest, read.String())
}

// TestFleetFollow guards against a fleet --follow that does not end when it is interrupted.
func TestFleetFollow(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	r, w := io.Pipe()
	ended := make(chan int, 1)
	go func() {
		ended <- Main(ctx, []string{"fleet", "--follow", "--node", newNode(t, report.State{Name: "a1"})}, Streams{Out: w, Err: io.Discard})
		_ = w.Close()
	}()
	buf := make([]byte, 4)
	_, err := io.ReadFull(r, buf)
	require.NoError(t, err)
	cancel()
	_, err = io.Copy(io.Discard, r)
	require.NoError(t, err)
	require.Equal(t, ExitDone, <-ended)
}
