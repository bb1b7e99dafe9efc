package daemon

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"net/url"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// logBuffer is a log that a test reads while a node writes it.
type logBuffer struct {
	mu   sync.Mutex
	text []byte
}

func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.text = append(l.text, p...)
	return len(p), nil
}

func (l *logBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return string(l.text)
}

// TestReload guards against changed settings that are not applied, after a signal or without one, and against a broken file
// that stops a node or changes the settings in force.
func TestReload(t *testing.T) {
	upstream := func(name string) *url.URL {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, name) }))
		t.Cleanup(s.Close)
		u, err := url.Parse(s.URL)
		require.NoError(t, err)
		return u
	}
	first, second, third := upstream("first"), upstream("second"), upstream("third")
	file := filepath.Join(t.TempDir(), "tree.yaml")
	require.NoError(t, os.WriteFile(file, []byte("routes: {read: {host: app.example, path: /read, service: app, open: true}}\n"), 0o600))
	s, err := ParseSettings([]string{
		"--name", "a1", "--domain", "a", "--service", "app", "--target", first.String(),
		"--caller", "127.0.0.1:0", "--admin", "127.0.0.1:0", "--tree", file, "--grace", "5s",
	})
	require.NoError(t, err)
	log := &logBuffer{}
	node, err := New(s, PolicyFromEnv(func(string) string { return "" }), log)
	require.NoError(t, err)
	var current atomic.Pointer[Settings]
	var broken, changed atomic.Bool
	read := func() (Settings, error) {
		if broken.Load() {
			return Settings{}, errors.New("the file is broken")
		}
		return *current.Load(), nil
	}
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- node.RunReloading(ctx, read, func() bool { return changed.Swap(false) }) }()
	n := &testNode{Node: node}
	client := newClient(t)
	answers := func(want string) func() bool {
		return func() bool {
			res, err := client.Do(newRequest(t, http.MethodGet, n.url("/read"), nil))
			if err != nil {
				return false
			}
			defer func() { _ = res.Body.Close() }()
			body, err := io.ReadAll(res.Body)
			return err == nil && string(body) == want
		}
	}
	eventually := func(what string, condition func() bool) {
		require.Eventually(t, condition, 15*time.Second, 10*time.Millisecond, what+"\n%s", log)
	}
	withTarget := func(target *url.URL) *Settings { next := s; next.Target = target; return &next }
	eventually("the first target", answers("first"))
	current.Store(withTarget(second))
	require.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGHUP))
	eventually("the target after a signal", answers("second"))
	broken.Store(true)
	changed.Store(true)
	eventually("the fault in the log", func() bool { return len(log.String()) > 0 && !changed.Load() })
	require.True(t, answers("second")(), "the earlier settings stay in force")
	broken.Store(false)
	current.Store(withTarget(third))
	changed.Store(true)
	eventually("the target after a change without a signal", answers("third"))
	stop()
	require.NoError(t, <-ended)
	for _, line := range []string{"settings reloaded", "settings could not be reloaded"} {
		require.Contains(t, log.String(), line)
	}
}
