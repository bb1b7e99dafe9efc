package daemon

import (
	"errors"
	"io"
	"net"
	"net/http"
	"time"
)

// readyTimeout bounds reading a request head, writing the answer, which waits for nothing else, and waiting for the next request.
const readyTimeout = 5 * time.Second

// maxReadyHeadBytes bounds a request head, to which net/http adds 4 KB.
const maxReadyHeadBytes = 4 << 10

// defaultReadyPath is the path of the readiness listener without a platform.
const defaultReadyPath = "/ready"

// readinessServer serves only the node's readiness, on a separate listener.
type readinessServer struct{ http *http.Server }

func newReadinessServer(path string, ready func() (bool, string)) *readinessServer {
	handler := http.NewServeMux()
	handler.HandleFunc("GET "+path, func(w http.ResponseWriter, _ *http.Request) {
		ok, reason := ready()
		switch {
		case !ok:
			http.Error(w, reason, http.StatusServiceUnavailable)
		case reason != "":
			_, _ = io.WriteString(w, reason+"\n")
		}
	})
	return &readinessServer{http: &http.Server{
		Handler: handler, ReadHeaderTimeout: readyTimeout, WriteTimeout: readyTimeout, IdleTimeout: readyTimeout,
		MaxHeaderBytes: maxReadyHeadBytes,
	}}
}

func (r *readinessServer) serve(l net.Listener) error {
	err := r.http.Serve(l)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// close closes the listener and all connections.
func (r *readinessServer) close() { _ = r.http.Close() }

func (n *Node) readyPath() string {
	if n.platform != nil {
		return n.platform.ReadyPath
	}
	return defaultReadyPath
}
