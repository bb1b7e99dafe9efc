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
	// maxBody bounds a request body.
	maxBody = 64 << 20
	// closeTimeout bounds the wait for connections in use; running requests are aborted at once.
	closeTimeout = 200 * time.Millisecond
)

// Server serves the requests of one target.
type Server struct {
	settings   Settings
	loop       *loop.Loop
	state      State
	stats      Stats
	executions []Execution
	closing    chan struct{}
	closeOnce  sync.Once
	wg         sync.WaitGroup
	servers    []*http.Server
}

// New returns a warm target; Close ends it.
func New(settings Settings) *Server {
	s := &Server{
		settings: settings, loop: loop.New(time.Now), state: NewState(settings), closing: make(chan struct{}),
		stats: Stats{Name: settings.Name, Headers: map[string]bool{}},
	}
	s.wg.Go(func() { _ = s.loop.Serve(context.Background()) })
	return s
}

// Listen serves requests on addr with a limited number of connections, and returns the actual address.
func (s *Server) Listen(addr string) (string, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return "", fmt.Errorf("upstream: listening: %w", err)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("/", s.serve)
	mux.HandleFunc("/probe", s.probe)
	mux.HandleFunc("/load", s.withDelayedStats(func(w http.ResponseWriter, r Stats) { _ = json.NewEncoder(w).Encode(r) }))
	mux.HandleFunc("/health", s.withDelayedStats(func(w http.ResponseWriter, r Stats) {
		if r.Running > r.Capacity {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	}))
	return s.listen(&listener{Listener: l, server: s}, mux)
}

// ListenAdmin serves the statistics, executions and faults of the target on addr, and returns the actual address.
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

// SetFault replaces the faults of the target.
func (s *Server) SetFault(f Fault) {
	_ = s.loop.Call(context.Background(), func(time.Time) { s.state = s.state.WithFault(f) })
}

// SetCold puts the target into a cold start.
func (s *Server) SetCold() {
	_ = s.loop.Call(context.Background(), func(now time.Time) { s.state = s.state.WithCold(now) })
}

// Stats returns the current statistics.
func (s *Server) Stats() Stats {
	var st Stats
	_ = s.loop.Call(context.Background(), func(now time.Time) {
		st = s.stats
		st.Running, st.Capacity = s.state.running, s.state.Capacity(now)
		st.Headers = maps.Clone(s.stats.Headers)
	})
	return st
}

// Executions returns all requests that the target has started; it may be called after Close.
func (s *Server) Executions() []Execution {
	var list []Execution
	if s.loop.Call(context.Background(), func(time.Time) { list = slices.Clone(s.executions) }) != nil {
		s.wg.Wait()
		list = slices.Clone(s.executions)
	}
	return list
}

// Close closes the listeners, aborts running requests and waits for all goroutines.
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

func (s *Server) listen(l net.Listener, handler http.Handler) (string, error) {
	h := &http.Server{Handler: handler, ReadHeaderTimeout: 10 * time.Second}
	if err := s.loop.Call(context.Background(), func(time.Time) { s.servers = append(s.servers, h) }); err != nil {
		_ = l.Close()
		return "", fmt.Errorf("upstream: listening: %w", err)
	}
	s.wg.Go(func() {
		if err := h.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			_ = l.Close()
		}
	})
	return l.Addr().String(), nil
}

// serve runs one request. Query parameters: cost (multiple of the service time), bytes (size of the response),
// early (a 103 comes first) and trailer (the digest comes as a trailer).
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
	// Uniform between 0.5 and 1.5 times the mean.
	serviceTime := time.Duration(float64(v.ServiceTime) * (0.5 + rand.Float64())) //nolint:gosec // no secret depends on it
	if !s.sleep(r.Context(), serviceTime) {
		panic(http.ErrAbortHandler)
	}
	s.respond(w, r)
}

// start records the arrival of a request; it runs on the loop.
func (s *Server) start(now time.Time, r *http.Request, cost float64) Verdict {
	var v Verdict
	s.state, v = s.state.WithArrival(now, cost)
	if v.Excess() > 0 {
		s.stats.OverCapacity++
		s.stats.Excess = max(s.stats.Excess, v.Excess())
	}
	for name := range r.Header {
		s.stats.Headers[name] = true
	}
	if hasKey(r.Header) {
		s.stats.RequestsWithKey++
	}
	if hasInternalHeader(r.Header) {
		s.stats.RequestsWithInternalHeader++
	}
	switch v.Status {
	case http.StatusOK:
		s.stats.Executed++
		s.executions = append(s.executions, Execution{
			ID: r.Header.Get(HeaderID), Method: r.Method, Path: r.URL.Path, At: now, Running: v.Running, Capacity: v.Capacity,
		})
	case http.StatusInternalServerError:
		s.stats.Failed++
	default:
		s.stats.Shed++
	}
	return v
}

// respond writes a response with the ID of its request and the digests of the request's and its own body.
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

// probe answers a health check after its processing time, with 503 if a fault makes the target fail or shed.
func (s *Server) probe(w http.ResponseWriter, r *http.Request) {
	err := s.loop.Call(r.Context(), func(time.Time) {
		s.stats.Probes++
		s.stats.ProbeTime += s.settings.ProbeTime
	})
	if err != nil || !s.sleep(r.Context(), s.settings.ProbeTime) {
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

// withDelayedStats returns a handler that reports old statistics: at most once per Settings.ReportInterval it reads new
// ones and shows those read before. All clients get the same statistics.
func (s *Server) withDelayedStats(write func(http.ResponseWriter, Stats)) http.HandlerFunc {
	var readAt time.Time
	var previous, latest Stats
	return func(w http.ResponseWriter, r *http.Request) {
		current := s.Stats()
		var shown Stats
		err := s.loop.Call(r.Context(), func(at time.Time) {
			if at.Sub(readAt) >= s.settings.ReportInterval {
				if latest.Headers == nil {
					latest = current
				}
				readAt, previous, latest = at, latest, current
			}
			shown = previous
		})
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		write(w, shown)
	}
}

// sleep waits and returns false if ctx is cancelled or the target is closed.
func (s *Server) sleep(ctx context.Context, d time.Duration) bool {
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
