package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is an entry of the platform's store, or the event that it was deleted.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created,omitempty"`
	Lease    int64  `json:"lease"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// store is a stand-in of the platform's store.
type store struct {
	mu      sync.Mutex
	items   map[string]item
	log     []item
	changed chan struct{}
	server  *http.Server
	addr    string
}

func newStore(addr string) (*store, error) {
	s := &store{items: map[string]item{}, changed: make(chan struct{})}
	return s, s.listen(addr)
}

// move gives the store another address; the earlier one answers no more.
func (s *store) move(addr string) (string, error) {
	old := s.server
	if err := s.listen(addr); err != nil {
		return "", err
	}
	return s.addr, old.Close()
}

func (s *store) listen(addr string) error {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	s.addr = l.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/kv-key", s.serveKey)
	mux.HandleFunc("GET /v1/kv-range", s.serveRange)
	mux.HandleFunc("GET /v1/kv-watch", s.serveWatch)
	s.server = &http.Server{Handler: mux}
	go func(server *http.Server) { _ = server.Serve(l) }(s.server)
	return nil
}

// put writes a key; a nil value removes it. It returns the time of the acknowledgement.
func (s *store) put(key string, value []byte) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	old, known := s.items[key]
	if value == nil && !known {
		return time.Now()
	}
	i := item{Key: key, Value: value, Revision: int64(len(s.log) + 1), Created: old.Created, Deleted: value == nil}
	if i.Created == 0 {
		i.Created = i.Revision
	}
	if s.items[key] = i; value == nil {
		delete(s.items, key)
	}
	s.log = append(s.log, i)
	close(s.changed)
	s.changed = make(chan struct{})
	return time.Now()
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

func (s *store) serveKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	i, ok := s.items[r.URL.Query().Get("key")]
	revision := len(s.log)
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(w, map[string]any{"key": i.Key, "value": i.Value, "revision": i.Revision, "created": i.Created, "lease": 0, "storeRevision": revision})
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	list := []item{}
	for key, i := range s.items {
		if strings.HasPrefix(key, q.Get("pathPrefix")) && key > q.Get("after") {
			list = append(list, i)
		}
	}
	revision := len(s.log)
	s.mu.Unlock()
	sort.Slice(list, func(a, b int) bool { return list[a].Key < list[b].Key })
	const page = 500
	truncated := len(list) > page
	writeJSON(w, map[string]any{"items": list[:min(len(list), page)], "truncated": truncated, "storeRevision": revision})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.Atoi(q.Get("after"))
	wait, err2 := strconv.Atoi(q.Get("waitMs"))
	if err != nil || err2 != nil || after < 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	end := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer end.Stop()
	for over := false; ; {
		s.mu.Lock()
		events, changed, revision := []item{}, s.changed, len(s.log)
		for _, i := range s.log[min(after, revision):] {
			if strings.HasPrefix(i.Key, q.Get("pathPrefix")) {
				events = append(events, i)
			}
		}
		s.mu.Unlock()
		if len(events) > 0 || over {
			writeJSON(w, map[string]any{"events": events, "storeRevision": revision})
			return
		}
		select {
		case <-changed:
		case <-end.C:
			over = true
		case <-r.Context().Done():
			return
		}
	}
}
