package journal

import (
	"bytes"
	"encoding/json"
	"errors"
	"net/url"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"verbenapin.dev/node/answer"
	"verbenapin.dev/node/clock"
)

// TestMain guards against goroutines that outlive Close.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// start returns a journal on a manual clock; the function returns the lines written since its last call.
func start(level logrus.Level) (*Journal, *clock.Manual, func() []map[string]any) {
	m := clock.NewManual(time.Unix(0, 0).UTC())
	out := &buffer{}
	j := New(out, level, "a1", m.Clock())
	return j, m, func() []map[string]any {
		j.out.settle()
		var lines []map[string]any
		for line := range strings.Lines(out.take()) {
			var fields map[string]any
			if err := json.Unmarshal([]byte(line), &fields); err != nil {
				panic(err)
			}
			lines = append(lines, fields)
		}
		return lines
	}
}

// buffer is a log that a test reads while it is written.
type buffer struct {
	mu   sync.Mutex
	data bytes.Buffer
}

// Write takes lines.
func (b *buffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.data.Write(p)
}

func (b *buffer) take() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	defer b.data.Reset()
	return b.data.String()
}

// settle waits until all lines are written.
func (w *writer) settle() {
	for {
		w.mu.Lock()
		idle := len(w.pending) == 0 && !w.writing
		w.mu.Unlock()
		if idle {
			return
		}
		runtime.Gosched()
	}
}

// TestLine guards against a field that is missing, misnamed or contains what a caller sent.
func TestLine(t *testing.T) {
	secret := &url.Error{Op: "Get", URL: "http://127.0.0.1/?key=secret", Err: errors.New("refused")}
	cases := map[string]struct {
		write func(j *Journal)
		want  map[string]any
	}{
		"fields": {write: func(j *Journal) {
			j.Info("refused", ID("r-1"), Account(""), Code(answer.CodeRate), Took(1500*time.Microsecond))
		}, want: map[string]any{
			"level": "info", "text": "refused", "id": "r-1", "code": "rate", "took": 1.5,
		}},
		"id with a key":  {write: func(j *Journal) { j.Warn("x", ID("Bearer secret")) }, want: map[string]any{"level": "warning", "text": "x", "id": "(not a name)"}},
		"long id":        {write: func(j *Journal) { j.Warn("x", ID(strings.Repeat("a", 65))) }, want: map[string]any{"level": "warning", "text": "x", "id": "(too long)"}},
		"cause with URL": {write: func(j *Journal) { j.Error("x", Cause(secret)) }, want: map[string]any{"level": "error", "text": "x", "cause": "refused"}},
		"library": {write: func(j *Journal) { j.StdLogger("http").Print("unsolicited response: secret") }, want: map[string]any{
			"level": "warning", "text": "library reported a fault", "part": "http",
		}},
		"handshake": {write: func(j *Journal) { j.StdLogger("http").Print("http: TLS handshake error from 127.0.0.1:9: EOF") }, want: map[string]any{
			"level": "warning", "text": "library reported a fault", "part": "http", "cause": "127.0.0.1:9: EOF",
		}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			j, _, lines := start(logrus.InfoLevel)
			defer j.Close()
			tc.write(j)
			got := lines()
			require.Len(t, got, 1)
			tc.want["node"] = "a1"
			tc.want["time"] = "1970-01-01T00:00:00.000000Z"
			require.Equal(t, tc.want, got[0])
		})
	}
}

// TestLevel guards against lines below the level that operators set, and against a level that a reload does not change.
func TestLevel(t *testing.T) {
	j, _, lines := start(logrus.WarnLevel)
	defer j.Close()
	j.Info("not written")
	j.InfoDecision("not written")
	j.InfoRoutine("not written")
	require.Empty(t, lines())
	j.Warn("written")
	require.Len(t, lines(), 1)
	j.SetLevel(logrus.InfoLevel)
	j.InfoRoutine("written")
	require.Len(t, lines(), 1)
}

// TestFlood guards against a fault that fills the log, and against one that hides how often it happened or hides another.
func TestFlood(t *testing.T) {
	j, m, lines := start(logrus.InfoLevel)
	for range 100 {
		j.Warn("target refused the connection")
	}
	j.Warn("part is missing")
	j.WarnRecurring("service does not answer")
	j.WarnRecurring("service does not answer")
	j.Warn("target refused the connection", Code(answer.CodeLost))
	require.Len(t, lines(), most+3)
	m.Advance(period)
	repeats := map[any]any{}
	for _, line := range lines() {
		repeats[line["text"]] = line["repeats"]
	}
	require.Equal(t, map[any]any{"target refused the connection": 100.0 - most, "service does not answer": 1.0}, repeats)
	m.Advance(period)
	require.Empty(t, lines())
	for range most + 1 {
		j.Warn("target refused the connection")
	}
	require.Len(t, lines(), most)
	j.Close()
	require.Len(t, lines(), 1)
}
