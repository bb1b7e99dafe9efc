package daemon

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestFixedSharesPolicy guards against a VERBENAPIN_RATES that has no effect: fixed shares admit the whole burst at once, while a
// home that has just started grants no lease.
func TestFixedSharesPolicy(t *testing.T) {
	t.Parallel()
	target := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	defer target.Close()
	key := sha256.Sum256([]byte("secret"))
	path := filepath.Join(t.TempDir(), "tree.yaml")
	require.NoError(t, os.WriteFile(path, []byte(`
routes:
  read: {host: app.example, path: /read, service: app, deadline: 2s, slots: 8}
accounts:
  veneto: {rate: 0.01/s, burst: 2, routes: [read], keys: ["sha256:`+hex.EncodeToString(key[:])+`"]}
`), 0o600))
	s, err := ParseSettings([]string{
		"--name", "a1", "--domain", "a", "--service", "app", "--target", target.URL, "--tree", path,
		"--caller", "127.0.0.1:0", "--admin", "127.0.0.1:0", "--log", "error",
	})
	require.NoError(t, err)
	n, err := New(s, PolicyFromEnv(func(name string) string {
		return map[string]string{"VERBENAPIN_RATES": "split"}[name]
	}), io.Discard)
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- n.Run(ctx) }()
	client := newClient(t)
	for _, status := range []int{http.StatusOK, http.StatusOK, http.StatusTooManyRequests} {
		r := newRequest(t, http.MethodGet, "http://"+n.CallerAddress()+"/read", nil)
		r.Header.Set("X-Api-Key", "secret")
		res, err := client.Do(r)
		require.NoError(t, err)
		_ = res.Body.Close()
		require.Equal(t, status, res.StatusCode)
	}
	cancel()
	require.NoError(t, <-ended)
}
