// Package standin holds the stand-ins of the review's cases: the platform's store, workers,
// clients, and the processes under test. They follow PROTOCOL.md.
package standin

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

// item is an item of the store; Deleted marks the event of a deletion.
type item struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Revision  uint64 `json:"revision"`
	CreatedAt uint64 `json:"created_at,omitempty"`
	Lease     uint64 `json:"lease"`
	Deleted   bool   `json:"deleted,omitempty"`
}

// Store is the platform's metadata store, which the nodes only read.
type Store struct {
	// Address is the store's "ip:port".
	Address string

	mu       sync.Mutex
	items    map[string]item
	events   []item
	revision uint64
	changed  chan struct{}
}

// NewStore starts a store on ip.
func NewStore(ip string) (*Store, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	s := &Store{Address: l.Addr().String(), items: map[string]item{}, revision: 100, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-range", s.serveRange)
	mux.HandleFunc("GET /kv-watch", s.serveWatch)
	go http.Serve(l, mux)
	return s, nil
}

// Put writes v as JSON under a key.
func (s *Store) Put(key string, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	it := item{Key: key, Value: data, Revision: s.revision, CreatedAt: s.revision}
	if old, ok := s.items[key]; ok {
		it.CreatedAt = old.CreatedAt
	}
	s.items[key] = it
	s.addEvent(it)
}

// Delete removes a key.
func (s *Store) Delete(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	delete(s.items, key)
	s.addEvent(item{Key: key, Revision: s.revision, Deleted: true})
}

func (s *Store) addEvent(it item) {
	s.events = append(s.events, it)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) serveRange(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	items := []item{}
	for k, it := range s.items {
		if strings.HasPrefix(k, q.Get("prefix")) && k > q.Get("after") {
			items = append(items, it)
		}
	}
	out := map[string]any{"items": items, "has_more": false, "as_of": s.revision}
	s.mu.Unlock()
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	reply(w, out)
}

func (s *Store) serveWatch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		events := []item{}
		for _, it := range s.events {
			if it.Revision > after && strings.HasPrefix(it.Key, q.Get("prefix")) {
				events = append(events, it)
			}
		}
		out := map[string]any{"events": events, "as_of": s.revision}
		changed := s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			reply(w, out)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			reply(w, out)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func reply(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
