package main

import (
	"encoding/base64"
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is the platform's metadata store.
type store struct {
	listener net.Listener

	mu       sync.Mutex
	revision uint64
	items    map[string]storeItem
	history  []storeItem
	changed  chan struct{}
}

// storeItem is an item, or a change of one.
type storeItem struct {
	Key       string `json:"key"`
	Value     string `json:"value,omitempty"`
	Revision  uint64 `json:"revision"`
	CreatedAt uint64 `json:"created_at,omitempty"`
	Lease     uint64 `json:"lease"`
	Deleted   bool   `json:"deleted,omitempty"`
}

func newStore(address string) (*store, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &store{listener: l, items: map[string]storeItem{}, changed: make(chan struct{}), revision: 100}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-key", s.serveKey)
	mux.HandleFunc("GET /kv-range", s.serveRange)
	mux.HandleFunc("GET /kv-watch", s.serveWatch)
	go func() { _ = http.Serve(l, mux) }()
	return s, nil
}

func (s *store) address() string { return s.listener.Addr().String() }

// put writes an item. A write of the value that an item has changes nothing.
func (s *store) put(key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	it := storeItem{Key: key, Value: base64.StdEncoding.EncodeToString([]byte(value)), Revision: s.revision, CreatedAt: s.revision}
	if before, ok := s.items[key]; ok {
		it.CreatedAt = before.CreatedAt
	}
	s.items[key] = it
	s.record(it)
}

// remove deletes an item.
func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.items[key]; !ok {
		return
	}
	delete(s.items, key)
	s.revision++
	s.record(storeItem{Key: key, Revision: s.revision, Deleted: true})
}

func (s *store) record(it storeItem) {
	s.history = append(s.history, it)
	close(s.changed)
	s.changed = make(chan struct{})
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

func (s *store) serveKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	it, ok := s.items[r.URL.Query().Get("key")]
	as := s.revision
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(w, struct {
		storeItem
		AsOf uint64 `json:"as_of"`
	}{it, as})
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	out := struct {
		Items   []storeItem `json:"items"`
		HasMore bool        `json:"has_more"`
		AsOf    uint64      `json:"as_of"`
	}{Items: []storeItem{}, AsOf: s.revision}
	for key, it := range s.items {
		if strings.HasPrefix(key, q.Get("prefix")) && key > q.Get("after") {
			out.Items = append(out.Items, it)
		}
	}
	s.mu.Unlock()
	slices.SortFunc(out.Items, func(a, b storeItem) int { return strings.Compare(a.Key, b.Key) })
	writeJSON(w, out)
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, waitErr := strconv.Atoi(q.Get("wait_ms"))
	if err != nil || waitErr != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	end := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		out := struct {
			Events []storeItem `json:"events"`
			AsOf   uint64      `json:"as_of"`
		}{Events: []storeItem{}, AsOf: s.revision}
		for _, it := range s.history {
			if it.Revision > after && strings.HasPrefix(it.Key, q.Get("prefix")) {
				out.Events = append(out.Events, it)
			}
		}
		changed := s.changed
		s.mu.Unlock()
		if len(out.Events) > 0 {
			writeJSON(w, out)
			return
		}
		select {
		case <-changed:
		case <-end:
			writeJSON(w, out)
			return
		case <-r.Context().Done():
			return
		}
	}
}
