package platform

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"verbenapin.dev/node/instance"
	"verbenapin.dev/node/loop"
)

const (
	// maxValueSize bounds a configuration value in bytes.
	maxValueSize = 1 << 20
	// maxWait bounds the duration of a long poll.
	maxWait = time.Minute
	// closeTimeout bounds the wait for connections in use; long polls are answered at once.
	closeTimeout = 200 * time.Millisecond
)

// Server serves values and instance lists to nodes on one or more listeners, and accepts changes on its admin listener.
type Server struct {
	loop      *loop.Loop
	state     State
	changed   chan struct{} // closed and replaced at each change of the state
	closing   chan struct{}
	closeOnce sync.Once
	wg        sync.WaitGroup
	servers   []*http.Server
}

// New returns a platform without values; Close stops it.
func New() *Server {
	s := &Server{loop: loop.New(time.Now), changed: make(chan struct{}), closing: make(chan struct{})}
	s.wg.Go(func() { _ = s.loop.Serve(context.Background()) })
	return s
}

// Listen serves nodes on addr and returns the actual address; view selects the instance list and the faults that they see.
func (s *Server) Listen(addr, view string) (string, error) {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/values/{name}", func(w http.ResponseWriter, r *http.Request) {
		name := r.PathValue("name")
		s.serveValue(w, r, func(st State) (Value, EndpointFaults) { return st.values[name], st.Faults(view).Values })
	})
	mux.HandleFunc("GET /v1/instances", func(w http.ResponseWriter, r *http.Request) {
		s.serveValue(w, r, func(st State) (Value, EndpointFaults) { return st.instanceLists[view], st.Faults(view).Instances })
	})
	return s.listen(addr, mux)
}

// ListenAdmin accepts changes of values, lists and faults on addr, which nodes don't know, and returns the actual address.
func (s *Server) ListenAdmin(addr string) (string, error) {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /v1/values/{name}", func(w http.ResponseWriter, r *http.Request) {
		s.handlePut(w, r, func(data []byte) error { return s.SetValue(r.PathValue("name"), data) })
	})
	mux.HandleFunc("PUT /v1/instances", func(w http.ResponseWriter, r *http.Request) {
		s.handlePut(w, r, func(data []byte) error { return s.setInstanceList(r.URL.Query().Get("view"), data) })
	})
	mux.HandleFunc("PUT /faults", func(w http.ResponseWriter, r *http.Request) {
		s.handlePut(w, r, func(data []byte) error {
			var f Faults
			if err := json.Unmarshal(data, &f); err != nil {
				return fmt.Errorf("platform: reading faults: %w", err)
			}
			return s.SetFaults(f)
		})
	})
	mux.HandleFunc("GET /calls", func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(s.Calls())
	})
	return s.listen(addr, mux)
}

// SetValue publishes a new version of a configuration value.
func (s *Server) SetValue(name string, data []byte) error {
	if len(data) > maxValueSize {
		return fmt.Errorf("platform: value %s has %d bytes, more than %d", name, len(data), maxValueSize)
	}
	return s.change(func(now time.Time, st State) State { return st.WithValue(now, name, data) })
}

// SetInstances publishes a new instance list for one view.
func (s *Server) SetInstances(view string, list []instance.Instance) error {
	data, err := json.Marshal(list)
	if err != nil {
		return fmt.Errorf("platform: encoding the instance list: %w", err)
	}
	return s.setInstanceList(view, data)
}

func (s *Server) setInstanceList(view string, data []byte) error {
	return s.change(func(now time.Time, st State) State { return st.WithInstanceList(now, view, data) })
}

// SetFaults replaces the faults of both endpoints for all views, including those of single views.
func (s *Server) SetFaults(f Faults) error {
	return s.change(func(_ time.Time, st State) State { return st.WithFaults(f) })
}

// SetViewFaults replaces the faults of both endpoints for one view.
func (s *Server) SetViewFaults(view string, f Faults) error {
	return s.change(func(_ time.Time, st State) State { return st.WithViewFaults(view, f) })
}

// Calls returns the counts of the nodes' requests.
func (s *Server) Calls() Calls {
	var c Calls
	_ = s.loop.Call(context.Background(), func(time.Time) { c = s.state.calls })
	return c
}

// Close closes all listeners, answers the waiting long polls and waits for all goroutines.
func (s *Server) Close() {
	s.closeOnce.Do(func() { close(s.closing) })
	var servers []*http.Server
	// Without a timeout: on a busy machine the loop may take long to answer, and the listeners must not stay open.
	_ = s.loop.Call(context.Background(), func(time.Time) { servers = s.servers })
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	for _, h := range servers {
		if h.Shutdown(ctx) != nil {
			_ = h.Close()
		}
	}
	s.loop.Close()
	s.wg.Wait()
}

// change replaces the state and wakes the waiting long polls.
func (s *Server) change(f func(time.Time, State) State) error {
	err := s.loop.Call(context.Background(), func(now time.Time) {
		s.state = f(now, s.state)
		close(s.changed)
		s.changed = make(chan struct{})
	})
	if err != nil {
		return fmt.Errorf("platform: changing the state: %w", err)
	}
	return nil
}

// serveValue serves the value that pick selects. With a wait, the request is a long poll: it waits while no
// version is visible, or while the visible one has the etag of the request.
func (s *Server) serveValue(w http.ResponseWriter, r *http.Request, pick func(State) (Value, EndpointFaults)) {
	wait, err := parseWait(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	known := strings.Trim(r.URL.Query().Get("etag"), `"`)
	if s.loop.Call(r.Context(), func(now time.Time) { s.state.calls = s.state.calls.WithCall(now) }) != nil {
		panic(http.ErrAbortHandler)
	}
	expired := time.NewTimer(wait)
	defer expired.Stop()
	for {
		var version Version
		var faults EndpointFaults
		var ok bool
		var next time.Duration
		var changed chan struct{}
		err := s.loop.Call(r.Context(), func(now time.Time) {
			var v Value
			v, faults = pick(s.state)
			version, ok, next = v.Visible(now, faults)
			changed = s.changed
		})
		switch {
		case err != nil || faults.Down:
			panic(http.ErrAbortHandler)
		case !ok && wait == 0:
			http.NotFound(w, r)
			return
		case ok && (wait == 0 || version.Etag != known):
			w.Header().Set("Etag", `"`+version.Etag+`"`)
			w.Header().Set("Content-Type", "application/octet-stream")
			_, _ = w.Write(version.Data)
			return
		}
		if !s.wait(r.Context(), changed, next, expired) {
			if !ok {
				http.NotFound(w, r)
				return
			}
			w.Header().Set("Etag", `"`+version.Etag+`"`)
			w.WriteHeader(http.StatusNotModified)
			return
		}
	}
}

// wait returns true after a change or when the next version becomes visible, and false if the long poll expired,
// was cancelled or the server is closing.
func (s *Server) wait(ctx context.Context, changed chan struct{}, next time.Duration, expired *time.Timer) bool {
	_ = s.loop.Post(ctx, func(time.Time) { s.state.calls = s.state.calls.WithWaiting(1) })
	defer func() {
		_ = s.loop.Post(context.Background(), func(time.Time) { s.state.calls = s.state.calls.WithWaiting(-1) })
	}()
	var visible <-chan time.Time
	if next > 0 {
		t := time.NewTimer(next)
		defer t.Stop()
		visible = t.C
	}
	select {
	case <-changed:
		return true
	case <-visible:
		return true
	case <-expired.C:
		return false
	case <-ctx.Done():
		return false
	case <-s.closing:
		return false
	}
}

func parseWait(r *http.Request) (time.Duration, error) {
	text := r.URL.Query().Get("wait")
	if text == "" {
		return 0, nil
	}
	d, err := time.ParseDuration(text)
	if err != nil || d < 0 {
		return 0, fmt.Errorf("platform: invalid wait duration %q", text)
	}
	return min(d, maxWait), nil
}

// handlePut passes the body of a PUT request to apply.
func (s *Server) handlePut(w http.ResponseWriter, r *http.Request, apply func([]byte) error) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxValueSize))
	if err == nil {
		err = apply(data)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) listen(addr string, handler http.Handler) (string, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return "", fmt.Errorf("platform: listening: %w", err)
	}
	h := &http.Server{Handler: handler, ReadHeaderTimeout: 10 * time.Second}
	if err := s.loop.Call(context.Background(), func(time.Time) { s.servers = append(s.servers, h) }); err != nil {
		_ = l.Close()
		return "", fmt.Errorf("platform: listening: %w", err)
	}
	s.wg.Go(func() {
		if err := h.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			_ = l.Close()
		}
	})
	return l.Addr().String(), nil
}
