package main

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// pageSize and pageBytes bound the items in a page of the store; a page has at least one.
	pageSize, pageBytes = 50, 1 << 20
	// history is how long the store keeps its changes.
	history = 20 * time.Second
)

// item is an entry of the store as it is sent to nodes.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// store imitates the platform's store. It is linearizable; a watch from a revision that is older than its history gets 410.
type store struct {
	mu      sync.Mutex
	log     []item
	written []time.Time   // of the items in log
	changed chan struct{} // closed at the next change
}

func newStore() *store { return &store{changed: make(chan struct{})} }

// put writes an item.
func (s *store) put(key string, value []byte) { s.append(item{Key: key, Value: value}) }

// remove deletes an item.
func (s *store) remove(key string) { s.append(item{Key: key, Deleted: true}) }

func (s *store) append(i item) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i.Revision = int64(len(s.log) + 1)
	s.log, s.written = append(s.log, i), append(s.written, time.Now())
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/kv-range", s.serveRange)
	mux.HandleFunc("GET /v1/kv-watch", s.serveWatch)
	return mux
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	last := map[string]item{}
	for _, i := range s.log {
		last[i.Key] = i
	}
	revision := len(s.log)
	s.mu.Unlock()
	keys := make([]string, 0, len(last))
	for key, i := range last {
		if !i.Deleted && key > r.URL.Query().Get("after") && strings.HasPrefix(key, r.URL.Query().Get("pathPrefix")) {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	items, size, truncated := []item{}, 0, false
	for _, key := range keys {
		size += len(last[key].Value)
		if truncated = len(items) > 0 && (len(items) == pageSize || size > pageBytes); truncated {
			break
		}
		items = append(items, last[key])
	}
	writeJSON(w, map[string]any{"items": items, "truncated": truncated, "storeRevision": revision})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	wait, waitErr := strconv.Atoi(r.URL.Query().Get("waitMs"))
	if err != nil || waitErr != nil {
		http.Error(w, "after and waitMs are required", http.StatusBadRequest)
		return
	}
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for expired := false; ; {
		s.mu.Lock()
		revision, changed := int64(len(s.log)), s.changed
		compacted := after < revision && after >= 0 && time.Since(s.written[after]) > history
		events := []item{}
		if after < revision {
			events = append(events, s.log[after:]...)
		}
		s.mu.Unlock()
		if compacted || after > revision {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(events) > 0 || expired {
			writeJSON(w, map[string]any{"events": events, "storeRevision": revision})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			expired = true
		case <-r.Context().Done():
			return
		}
	}
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
