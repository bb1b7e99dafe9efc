package journal

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"verbenapin.dev/node/clock"
)

// blocked is a reader of the log that takes nothing until it is freed.
type blocked struct{ freed chan struct{} }

func (b blocked) Write(p []byte) (int, error) {
	<-b.freed
	return len(p), nil
}

// TestSlowReader guards against a reader of the log that holds up the node, and against lines that are lost without a trace.
func TestSlowReader(t *testing.T) {
	b := blocked{freed: make(chan struct{})}
	w := newWriter(b)
	line := []byte(strings.Repeat("x", 1024))
	for range 4 * maxPending / len(line) {
		n, err := w.Write(line)
		require.NoError(t, err)
		require.Equal(t, len(line), n)
	}
	require.True(t, w.isCrowded())
	require.GreaterOrEqual(t, w.takeDropped(), 2*maxPending/len(line))
	require.Zero(t, w.takeDropped())
	begun := time.Now()
	w.Close()
	require.Less(t, time.Since(begun), 10*closePatience)
	close(b.freed)
	<-w.ended
}

// failing is a log that can't be written.
type failing struct{}

func (failing) Write([]byte) (int, error) { return 0, io.ErrClosedPipe }

// TestWriter guards against lines that are lost, torn or out of order, also at the end, and against a loss that isn't counted.
func TestWriter(t *testing.T) {
	cases := map[string]struct {
		out     io.Writer
		dropped int
	}{
		"written": {out: &bytes.Buffer{}},
		"failing": {out: failing{}, dropped: 1},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			w := newWriter(tc.out)
			want := strings.Repeat("a line\n", 100)
			for line := range strings.Lines(want) {
				_, err := w.Write([]byte(line))
				require.NoError(t, err)
			}
			w.Close()
			w.Close()
			if out, ok := tc.out.(*bytes.Buffer); ok {
				require.Equal(t, want, out.String())
			}
			require.GreaterOrEqual(t, w.takeDropped(), tc.dropped)
			_, err := w.Write([]byte("late\n"))
			require.NoError(t, err)
			require.Equal(t, 1, w.takeDropped())
		})
	}
}

// TestBound guards against a log that grows with the load, and against lines about failures that give way to those about
// requests that went as expected.
func TestBound(t *testing.T) {
	m := clock.NewManual(time.Unix(0, 0).UTC())
	var out bytes.Buffer
	j := New(&out, logrus.InfoLevel, "a1", m.Clock())
	for range mostLines {
		j.InfoRoutine("request answered")
		j.InfoRoutine("attempt served")
		for _, m := range []Message{"request refused", "attempt failed", "attempt failed at the gate", "response broke off"} {
			j.InfoDecision(m)
		}
	}
	j.ticking.Close()
	j.out.Close()
	lines := map[string]int{}
	for line := range strings.Lines(out.String()) {
		_, text, _ := strings.Cut(line, `"text":"`)
		text, _, _ = strings.Cut(text, `"`)
		lines[text]++
	}
	total := 0
	for _, n := range lines {
		total += n
	}
	require.Equal(t, mostLines, total+j.out.takeDropped())
	require.LessOrEqual(t, lines["request answered"]+lines["attempt served"], mostLines/2)
	require.Greater(t, lines["request refused"], lines["request answered"])
	require.Equal(t, lines["request refused"], lines["attempt failed"])
}
