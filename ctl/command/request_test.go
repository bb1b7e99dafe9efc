package command

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const (
	gateLine  = `sidecar-b {"text":"attempt failed at the gate","time":"2026-10-23T12:56:20.161475Z","node":"b1","id":"r-1","instance":"i-2","code":"late","run":"maybe","gate":{"running":8,"queued":0,"limit":9},"stages":{"account":0,"choice":0,"hop":0,"queue":1.7,"target":1095.1},"reason":"deadline passed while the request was running"}`
	entryLine = `{"text":"request refused","time":"2026-10-23T12:56:20.163645Z","node":"a1","id":"r-1","instance":"i-2","chosen":"spill","expected":118.4,"count":2,"stopped":"plan","code":"late","run":"maybe","took":1103.7,"route":"read","account":"one","service":"app","version":5}`
	otherLine = `{"text":"request answered","time":"2026-10-23T12:56:20.000000Z","node":"a1","id":"r-2","reason":"not r-1"}`
)

// TestRequest guards against lines of a request that are missed or out of order, or that lack what decided its outcome.
func TestRequest(t *testing.T) {
	dir := t.TempDir()
	a, b := filepath.Join(dir, "a.log"), filepath.Join(dir, "b.log")
	require.NoError(t, os.WriteFile(a, []byte(otherLine+"\nnot JSON r-1\n"+entryLine+"\n"), 0o600))
	require.NoError(t, os.WriteFile(b, []byte(gateLine+"\n"), 0o600))
	const (
		gate = "2026-10-23T12:56:20.161475Z b1: attempt failed at the gate code=late run=maybe target=i-2 gate=8 running, 0 queued, limit 9" +
			" queue=1.7ms target=1095.1ms (deadline passed while the request was running)\n"
		entry = "2026-10-23T12:56:20.163645Z a1: request refused code=late run=maybe attempts=2 stopped=plan target=i-2 chosen=spill" +
			" expected=118.4ms took=1103.7ms route=read account=one service=app version=5\n"
	)
	cases := map[string]struct {
		args []string
		in   string
		want string
		code int
		err  string
	}{
		"files":          {args: []string{"r-1", a, b}, want: gate + entry},
		"standard input": {args: []string{"r-1"}, in: entryLine + "\n" + gateLine, want: gate + entry},
		"no line":        {args: []string{"r-9", a, b}, code: ExitFailed, err: `none of 4 lines tells of request "r-9"`},
		"no file":        {args: []string{"r-1", filepath.Join(dir, "c.log")}, code: ExitFailed, err: "c.log"},
		"no id":          {code: ExitUsage, err: "ID"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			var out, errs bytes.Buffer
			code := Main(context.Background(), append([]string{"request"}, tc.args...), Streams{In: strings.NewReader(tc.in), Out: &out, Err: &errs})
			require.Equal(t, tc.code, code, errs.String())
			require.Equal(t, tc.want, out.String())
			require.Contains(t, errs.String(), tc.err)
		})
	}
}
