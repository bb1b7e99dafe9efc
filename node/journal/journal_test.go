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

// newTestJournal returns a journal with a manual clock, and a function that returns the lines written since its last call.
func newTestJournal(level logrus.Level) (*Journal, *clock.Manual, func() []map[string]any) {
	m := clock.NewManual(time.Unix(0, 0).UTC())
	out := &syncBuffer{}
	j := New(out, level, "a1", m.Clock())
	return j, m, func() []map[string]any {
		j.out.waitIdle()
		var lines []map[string]any
		for line := range strings.Lines(out.reset()) {
			var fields map[string]any
			if err := json.Unmarshal([]byte(line), &fields); err != nil {
				panic(err)
			}
			lines = append(lines, fields)
		}
		return lines
	}
}

// syncBuffer is a buffer that is safe for concurrent use.
type syncBuffer struct {
	mu   sync.Mutex
	data bytes.Buffer
}

// Write implements io.Writer.
func (b *syncBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.data.Write(p)
}

func (b *syncBuffer) reset() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	defer b.data.Reset()
	return b.data.String()
}

// waitIdle waits until all lines are written.
func (w *asyncWriter) waitIdle() {
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

// TestLineFields guards against a field that is missing or misnamed, and against one that contains unchecked input of a caller.
func TestLineFields(t *testing.T) {
	withSecret := &url.Error{Op: "Get", URL: "http://127.0.0.1/?key=secret", Err: errors.New("refused")}
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
		"cause with URL": {write: func(j *Journal) { j.Error("x", Cause(withSecret)) }, want: map[string]any{"level": "error", "text": "x", "cause": "refused"}},
		"library": {write: func(j *Journal) { j.StdLogger("http").Print("unsolicited response: secret") }, want: map[string]any{
			"level": "warning", "text": "library reported a fault", "part": "http",
		}},
		"handshake": {write: func(j *Journal) { j.StdLogger("http").Print("http: TLS handshake error from 127.0.0.1:9: EOF") }, want: map[string]any{
			"level": "warning", "text": "library reported a fault", "part": "http", "cause": "127.0.0.1:9: EOF",
		}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			j, _, lines := newTestJournal(logrus.InfoLevel)
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

// TestLevel guards against lines below the level that operators set, and against a level that cannot be changed at run time.
func TestLevel(t *testing.T) {
	j, _, lines := newTestJournal(logrus.WarnLevel)
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

// TestLineLimits guards against a recurring fault that fills the log, against suppressed lines that are not counted, and
// against a kind of lines that suppresses another.
func TestLineLimits(t *testing.T) {
	j, m, lines := newTestJournal(logrus.InfoLevel)
	for range 100 {
		j.Warn("target refused the connection")
	}
	j.Warn("part is missing")
	j.WarnRecurring("service does not answer")
	j.WarnRecurring("service does not answer")
	j.Warn("target refused the connection", Code(answer.CodeLost))
	require.Len(t, lines(), maxNodeLines+3)
	m.Advance(limitPeriod)
	suppressed := map[any]any{}
	for _, line := range lines() {
		suppressed[line["text"]] = line["repeats"]
	}
	require.Equal(t, map[any]any{"target refused the connection": 100.0 - maxNodeLines, "service does not answer": 1.0}, suppressed)
	m.Advance(limitPeriod)
	require.Empty(t, lines())
	for range maxNodeLines + 1 {
		j.Warn("target refused the connection")
	}
	require.Len(t, lines(), maxNodeLines)
	j.Close()
	require.Len(t, lines(), 1)
}
