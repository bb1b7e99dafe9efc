package daemon

import (
	"errors"
	"net"
	"net/http"
	"time"
)

// readyTimeout bounds each step of an answer of the readiness listener, which has nothing to wait for.
const readyTimeout = 5 * time.Second

// ownReadyPath is the path of the readiness listener in the product's own interface.
const ownReadyPath = "/ready"

// readiness answers on a listener of its own whether the node is ready.
type readiness struct{ http *http.Server }

func newReadiness(path string, ready func() (bool, string)) *readiness {
	handler := http.NewServeMux()
	handler.HandleFunc("GET "+path, func(w http.ResponseWriter, _ *http.Request) {
		if ok, reason := ready(); !ok {
			http.Error(w, reason, http.StatusServiceUnavailable)
		}
	})
	return &readiness{http: &http.Server{
		Handler: handler, ReadHeaderTimeout: readyTimeout, WriteTimeout: readyTimeout,
	}}
}

func (r *readiness) serve(l net.Listener) error {
	err := r.http.Serve(l)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// close ends the listener and all connections.
func (r *readiness) close() { _ = r.http.Close() }

func (n *Node) readyPath() string {
	if n.platform != nil {
		return n.platform.ReadyPath
	}
	return ownReadyPath
}
