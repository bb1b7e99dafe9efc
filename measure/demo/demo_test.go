package demo

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"os/signal"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"verbenapin.dev/measure/deployment"
	"verbenapin.dev/measure/load"
	"verbenapin.dev/node/answer"
	"verbenapin.dev/node/instance"
)

// fakeNodeEnv is the environment variable that makes the test binary run as a fake node, so that the demo is tested with real child
// processes; its value is the mode.
const fakeNodeEnv = "MEASURE_FAKE_NODE"

// TestMain fails if a goroutine outlives a demo, and runs the fake node if fakeNodeEnv is set.
func TestMain(m *testing.M) {
	if mode := os.Getenv(fakeNodeEnv); mode != "" {
		os.Exit(fakeNode(mode))
	}
	goleak.VerifyTestMain(m)
}

// fakeNode forwards requests to a target without load balancing; the mode selects a deliberate fault.
func fakeNode(mode string) int {
	var s struct {
		Caller  string `long:"caller"`
		Admin   string `long:"admin"`
		List    string `long:"list"`
		Service string `long:"service"`
	}
	if _, err := flags.NewParser(&s, flags.IgnoreUnknown).Parse(); err != nil {
		return 2
	}
	res, err := http.Get(s.List + "/v1/instances")
	if err != nil {
		return 3
	}
	var list []instance.Instance
	if json.NewDecoder(res.Body).Decode(&list) != nil {
		return 3
	}
	_ = res.Body.Close()
	go func() {
		_ = http.ListenAndServe(s.Admin, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	}()
	go func() {
		_ = http.ListenAndServe(s.Caller, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			fakeForward(w, r, mode, list)
		}))
	}()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer stop()
	<-ctx.Done()
	return 0
}

func fakeForward(w http.ResponseWriter, r *http.Request, mode string, list []instance.Instance) {
	d := abitudini().deployment
	if r.Host == chueDee().deployment.Host {
		d = chueDee().deployment
	}
	refuse := func(c answer.Code) { answer.WriteRefusal(w, answer.NewNotExecuted(c, "fake"), "") }
	if strings.Contains(r.URL.Path, "//") {
		refuse(answer.CodePath)
		return
	}
	var account deployment.Account
	for _, a := range d.Accounts() {
		if slices.Contains(a.Keys, r.Header.Get("X-Api-Key")) {
			account = a
		}
	}
	i := slices.IndexFunc(d.Routes(), func(t deployment.Route) bool { return strings.HasPrefix(r.URL.Path, t.Path) })
	route := d.Routes()[i]
	switch {
	case account.Name == "" && mode != "open":
		refuse(answer.CodeKey)
		return
	case account.Name != "" && !slices.Contains(account.Routes, route.Name):
		refuse(answer.CodeScope)
		return
	case account.Name == "limited":
		refuse(answer.CodeRate)
		return
	}
	j := slices.IndexFunc(list, func(in instance.Instance) bool { return in.Service == route.Service })
	out, _ := http.NewRequest(r.Method, "http://"+strings.Replace(list[j].CallerAddr, ":8000", ":9000", 1)+r.URL.RequestURI(), r.Body)
	out.Header, out.ContentLength = r.Header.Clone(), r.ContentLength
	if mode != "leak" {
		out.Header.Del("X-Api-Key")
	}
	if r.URL.Query().Has("early") {
		w.WriteHeader(http.StatusEarlyHints)
	}
	res, err := http.DefaultTransport.RoundTrip(out)
	if err != nil {
		answer.WriteRefusal(w, answer.NewMaybeExecuted(answer.CodeLost, "fake"), "")
		return
	}
	defer res.Body.Close()
	for name, v := range res.Header {
		w.Header()[name] = v
	}
	for name := range res.Trailer {
		w.Header().Add("Trailer", name)
	}
	w.WriteHeader(res.StatusCode)
	if mode == "truncate" && res.ContentLength > 1<<20 {
		_, _ = io.CopyN(w, res.Body, 1<<20)
		panic(http.ErrAbortHandler)
	}
	_, _ = io.Copy(w, res.Body)
	for name, v := range res.Trailer {
		w.Header()[name] = v
	}
}

// TestRun guards against a demo that fails with a correct node, or passes although a key reached a target, a request
// without a key was served, or an archive was truncated.
func TestRun(t *testing.T) {
	cases := map[string]struct {
		mode, wrong string
	}{
		"correct":   {mode: "correct"},
		"no keys":   {mode: "open", wrong: "WRONG read without a key"},
		"key leaks": {mode: "leak", wrong: "WRONG no target saw a key"},
		"truncated": {mode: "truncate", wrong: "WRONG archive of 64 MB"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			t.Setenv(fakeNodeEnv, tc.mode)
			binary, err := os.Executable()
			require.NoError(t, err)
			var out bytes.Buffer
			err = New(binary, &out).Run(context.Background())
			if tc.wrong == "" {
				require.NoError(t, err, out.String())
				require.NotContains(t, out.String(), "WRONG")
				return
			}
			require.Error(t, err)
			require.Contains(t, out.String(), tc.wrong)
		})
	}
}

// TestVerify guards against a check that accepts a refusal with another code or run mark than expected.
func TestVerify(t *testing.T) {
	cases := map[string]struct {
		refusal answer.Refusal
		good    bool
	}{
		"as expected":    {refusal: answer.NewNotExecuted(answer.CodeKey, ""), good: true},
		"other code":     {refusal: answer.NewNotExecuted(answer.CodeRate, "")},
		"other run mark": {refusal: answer.NewMaybeExecuted(answer.CodeKey, "")},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { answer.WriteRefusal(w, tc.refusal, "") }))
			defer s.Close()
			c := load.NewCaller(requestTimeout)
			defer c.Close()
			a := c.Do(context.Background(), s.Listener.Addr().String(), load.Request{Method: "GET", Path: "/"}, time.Now())
			require.Equal(t, tc.good, checkRefusal(http.StatusUnauthorized, "key")(a) == nil)
		})
	}
}
