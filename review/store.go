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

// item is an entry of the store, or the record that it was deleted.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created,omitempty"`
	Lease    int64  `json:"lease"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// store imitates the platform's metadata store; nodes can only read it.
type store struct {
	address string

	mu      sync.Mutex
	log     []item
	changed chan struct{} // closed at the next change
}

// startStore serves a store on a free port of ip.
func startStore(ip string) (*store, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	s := &store{address: l.Addr().String(), changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/kv-key", s.serveKey)
	mux.HandleFunc("GET /v1/kv-range", s.serveRange)
	mux.HandleFunc("GET /v1/kv-watch", s.serveWatch)
	go func() { _ = http.Serve(l, mux) }()
	return s, nil
}

func (s *store) put(key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err) // the values are maps of strings and numbers
	}
	s.write(item{Key: key, Value: data})
}

func (s *store) remove(key string) { s.write(item{Key: key, Deleted: true}) }

func (s *store) write(i item) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i.Revision = int64(len(s.log) + 1)
	i.Created = i.Revision
	s.log = append(s.log, i)
	close(s.changed)
	s.changed = make(chan struct{})
}

// items returns the present items in the order of their keys, and the revision of the store.
func (s *store) items() ([]item, int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	last := map[string]item{}
	for _, i := range s.log {
		last[i.Key] = i
	}
	var out []item
	for _, i := range last {
		if !i.Deleted {
			out = append(out, i)
		}
	}
	sort.Slice(out, func(a, b int) bool { return out[a].Key < out[b].Key })
	return out, int64(len(s.log))
}

func reply(w http.ResponseWriter, body map[string]any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) serveKey(w http.ResponseWriter, r *http.Request) {
	items, revision := s.items()
	for _, i := range items {
		if i.Key == r.URL.Query().Get("key") {
			reply(w, map[string]any{"key": i.Key, "value": i.Value, "revision": i.Revision, "created": i.Created, "lease": 0, "storeRevision": revision})
			return
		}
	}
	w.WriteHeader(http.StatusNotFound)
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	items, revision := s.items()
	q := r.URL.Query()
	page := []item{}
	for _, i := range items {
		if strings.HasPrefix(i.Key, q.Get("pathPrefix")) && i.Key > q.Get("after") {
			page = append(page, i)
		}
	}
	reply(w, map[string]any{"items": page, "truncated": false, "storeRevision": revision})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, err2 := strconv.Atoi(q.Get("waitMs"))
	if err != nil || err2 != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	end := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		revision, changed := int64(len(s.log)), s.changed
		events := []item{}
		for _, i := range s.log[min(after, revision):] {
			if strings.HasPrefix(i.Key, q.Get("pathPrefix")) {
				events = append(events, i)
			}
		}
		s.mu.Unlock()
		if len(events) > 0 {
			reply(w, map[string]any{"events": events, "storeRevision": revision})
			return
		}
		select {
		case <-changed:
		case <-end:
			reply(w, map[string]any{"events": events, "storeRevision": revision})
			return
		case <-r.Context().Done():
			return
		}
	}
}
