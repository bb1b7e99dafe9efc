package upstream

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"verbenapin.dev/node/loop"
)

const (
	// maxBody bounds the request bodies that a target reads.
	maxBody = 64 << 20
	// closeTimeout bounds the wait for connections in use; requests that wait are aborted at once.
	closeTimeout = 200 * time.Millisecond
)

// Server is one target.
type Server struct {
	settings Settings
	loop     *loop.Loop
	state    State
	report   Stats
	list     []Execution
	closing  chan struct{}
	once     sync.Once
	served   sync.WaitGroup
	servers  []*http.Server
}

// New returns a warm target; Close ends it.
func New(settings Settings) *Server {
	s := &Server{
		settings: settings, loop: loop.New(time.Now), state: NewState(settings), closing: make(chan struct{}),
		report: Stats{Name: settings.Name, Headers: map[string]bool{}},
	}
	s.served.Go(func() { _ = s.loop.Serve(context.Background()) })
	return s
}

// Listen serves requests on addr, within the limit of connections.
func (s *Server) Listen(addr string) (string, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return "", fmt.Errorf("upstream: listening: %w", err)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("/", s.serve)
	mux.HandleFunc("/probe", s.probe)
	mux.HandleFunc("/load", s.lagged(func(w http.ResponseWriter, r Stats) { _ = json.NewEncoder(w).Encode(r) }))
	mux.HandleFunc("/health", s.lagged(func(w http.ResponseWriter, r Stats) {
		if r.Running > r.Capacity {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	}))
	return s.listen(&listener{Listener: l, server: s}, mux)
}

// ListenAdmin serves the records and the faults of the target on addr.
func (s *Server) ListenAdmin(addr string) (string, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return "", fmt.Errorf("upstream: listening: %w", err)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /state", func(w http.ResponseWriter, _ *http.Request) { _ = json.NewEncoder(w).Encode(s.Stats()) })
	mux.HandleFunc("GET /executions", func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(s.Executions())
	})
	mux.HandleFunc("PUT /fault", func(w http.ResponseWriter, r *http.Request) {
		var f Fault
		if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, 4096)).Decode(&f); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		s.SetFault(f)
		w.WriteHeader(http.StatusNoContent)
	})
	mux.HandleFunc("POST /cold", func(w http.ResponseWriter, _ *http.Request) {
		s.SetCold()
		w.WriteHeader(http.StatusNoContent)
	})
	return s.listen(l, mux)
}

// SetFault replaces the faults.
func (s *Server) SetFault(f Fault) {
	_ = s.loop.Call(context.Background(), func(time.Time) { s.state = s.state.WithFault(f) })
}

// SetCold starts a cold start.
func (s *Server) SetCold() {
	_ = s.loop.Call(context.Background(), func(now time.Time) { s.state = s.state.WithCold(now) })
}

// Stats returns what the target has seen.
func (s *Server) Stats() Stats {
	var r Stats
	_ = s.loop.Call(context.Background(), func(now time.Time) {
		r = s.report
		r.Running, r.Capacity = s.state.running, s.state.Capacity(now)
		r.Headers = maps.Clone(s.report.Headers)
	})
	return r
}

// Executions returns every request that the target has started, also after Close.
func (s *Server) Executions() []Execution {
	var list []Execution
	if s.loop.Call(context.Background(), func(time.Time) { list = slices.Clone(s.list) }) != nil {
		s.served.Wait()
		list = slices.Clone(s.list)
	}
	return list
}

// Close ends the listeners and waits.
func (s *Server) Close() {
	s.once.Do(func() { close(s.closing) })
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	var servers []*http.Server
	_ = s.loop.Call(ctx, func(time.Time) { servers = s.servers })
	for _, h := range servers {
		if h.Shutdown(ctx) != nil {
			_ = h.Close()
		}
	}
	s.loop.Close()
	s.served.Wait()
}

func (s *Server) listen(l net.Listener, handler http.Handler) (string, error) {
	h := &http.Server{Handler: handler, ReadHeaderTimeout: 10 * time.Second}
	if err := s.loop.Call(context.Background(), func(time.Time) { s.servers = append(s.servers, h) }); err != nil {
		_ = l.Close()
		return "", fmt.Errorf("upstream: listening: %w", err)
	}
	s.served.Go(func() {
		if err := h.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			_ = l.Close()
		}
	})
	return l.Addr().String(), nil
}

// serve runs one request; the query selects its form: cost, bytes, early (a 103 first) and trailer.
func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	cost, err := strconv.ParseFloat(r.URL.Query().Get("cost"), 64)
	if err != nil || cost <= 0 {
		cost = 1
	}
	var v Verdict
	if s.loop.Call(r.Context(), func(now time.Time) { v = s.start(now, r, cost) }) != nil {
		panic(http.ErrAbortHandler)
	}
	defer func() { _ = s.loop.Post(context.Background(), func(time.Time) { s.state = s.state.WithDone() }) }()
	if v.Status != http.StatusOK {
		if s.settings.Name != "" {
			w.Header().Set("X-Target", s.settings.Name)
		}
		http.Error(w, "overloaded", v.Status)
		return
	}
	// Spread over half to one and a half times the mean.
	took := time.Duration(float64(v.Took) * (0.5 + rand.Float64())) //nolint:gosec // no secret depends on it
	if !s.pass(r.Context(), took) {
		panic(http.ErrAbortHandler)
	}
	s.respond(w, r)
}

// start records a request on the loop.
func (s *Server) start(now time.Time, r *http.Request, cost float64) Verdict {
	var v Verdict
	s.state, v = s.state.WithArrival(now, cost)
	if v.Over() > 0 {
		s.report.OverCapacity++
		s.report.Excess = max(s.report.Excess, v.Over())
	}
	for name := range r.Header {
		s.report.Headers[name] = true
	}
	if hasKey(r.Header) {
		s.report.RequestsWithKey++
	}
	if hasInternal(r.Header) {
		s.report.RequestsWithInternalHeader++
	}
	switch v.Status {
	case http.StatusOK:
		s.report.Executed++
		s.list = append(s.list, Execution{
			ID: r.Header.Get(HeaderID), Method: r.Method, Path: r.URL.Path, At: now, Running: v.Running, Capacity: v.Capacity,
		})
	case http.StatusInternalServerError:
		s.report.Failed++
	default:
		s.report.Shed++
	}
	return v
}

// respond writes the answer, which names the request that it belongs to and the digest of its content.
func (s *Server) respond(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	id := r.Header.Get(HeaderID)
	h := w.Header()
	if q.Has("early") {
		h.Set("Link", "</style.css>; rel=preload")
		w.WriteHeader(http.StatusEarlyHints)
		h.Del("Link")
	}
	h.Set(HeaderID, id)
	h.Set("X-Target", s.settings.Name)
	h.Set("X-Method", r.Method)
	sum := sha256.New()
	if _, err := io.Copy(sum, http.MaxBytesReader(w, r.Body, maxBody)); err != nil {
		panic(http.ErrAbortHandler)
	}
	h.Set("X-Body-Digest", hex.EncodeToString(sum.Sum(nil)))
	size, _ := strconv.ParseInt(q.Get("bytes"), 10, 64)
	if size <= 0 {
		text := []byte("request " + id + " at " + s.settings.Name + "\n")
		digest := sha256.Sum256(text)
		h.Set("X-Digest", hex.EncodeToString(digest[:]))
		h.Set("Content-Length", strconv.Itoa(len(text)))
		_, _ = io.Copy(w, bytes.NewReader(text))
		return
	}
	if q.Has("trailer") {
		h.Set("Trailer", "X-Digest")
	} else {
		h.Set("Content-Length", strconv.FormatInt(size, 10))
	}
	if r.Method == http.MethodHead {
		return
	}
	sum.Reset()
	if _, err := io.Copy(w, io.TeeReader(Content(id, size), sum)); err != nil {
		panic(http.ErrAbortHandler)
	}
	if q.Has("trailer") {
		h.Set("X-Digest", hex.EncodeToString(sum.Sum(nil)))
	}
}

// probe answers a health check, which takes time from the target.
func (s *Server) probe(w http.ResponseWriter, r *http.Request) {
	err := s.loop.Call(r.Context(), func(time.Time) {
		s.report.Probes++
		s.report.ProbeTime += s.settings.Probe
	})
	if err != nil || !s.pass(r.Context(), s.settings.Probe) {
		panic(http.ErrAbortHandler)
	}
	var fault Fault
	_ = s.loop.Call(r.Context(), func(time.Time) { fault = s.state.fault })
	if fault.Fail || fault.Shed || fault.Drain {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// lagged answers with the report of some time ago; all callers get the same one until it is too old.
func (s *Server) lagged(write func(http.ResponseWriter, Stats)) http.HandlerFunc {
	var taken time.Time
	var old, next Stats
	return func(w http.ResponseWriter, r *http.Request) {
		now := s.Stats()
		var shown Stats
		err := s.loop.Call(r.Context(), func(at time.Time) {
			if at.Sub(taken) >= s.settings.Lag {
				if next.Headers == nil {
					next = now
				}
				taken, old, next = at, next, now
			}
			shown = old
		})
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		write(w, shown)
	}
}

// pass waits, and returns false if the request was cancelled or the target ends.
func (s *Server) pass(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	case <-s.closing:
		return false
	}
}
