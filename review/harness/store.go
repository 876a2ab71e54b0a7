package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeItem is a key of the metadata store, or a change of one.
type storeItem struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created,omitempty"`
	Lease    int64  `json:"lease,omitempty"`
	Deleted  bool   `json:"deleted,omitempty"`
	At       int64  `json:"at,omitempty"`
}

type storeLease struct {
	ttl     time.Duration
	expires time.Time
}

// store is the platform's metadata store, in memory.
type store struct {
	mu       sync.Mutex
	revision int64
	items    map[string]storeItem
	history  []storeItem
	leases   map[int64]*storeLease
	nextID   int64
	changed  chan struct{}
}

func newStore() *store {
	s := &store{revision: 100, items: map[string]storeItem{}, leases: map[int64]*storeLease{}, nextID: 77000, changed: make(chan struct{})}
	go func() {
		for range time.Tick(50 * time.Millisecond) {
			s.mu.Lock()
			s.expire()
			s.mu.Unlock()
		}
	}()
	return s
}

func (s *store) expire() {
	now := time.Now()
	for id, l := range s.leases {
		if now.After(l.expires) {
			s.endLease(id)
		}
	}
}

func (s *store) endLease(id int64) {
	delete(s.leases, id)
	var gone []string
	for key, i := range s.items {
		if i.Lease == id {
			gone = append(gone, key)
		}
	}
	if len(gone) > 0 {
		s.apply(nil, gone)
	}
}

// apply makes writes and deletions as one change.
func (s *store) apply(writes []storeItem, remove []string) {
	s.revision++
	for _, w := range writes {
		w.Revision, w.Created = s.revision, s.revision
		if old, ok := s.items[w.Key]; ok {
			w.Created = old.Created
		}
		s.items[w.Key] = w
		s.history = append(s.history, w)
	}
	for _, key := range remove {
		if _, ok := s.items[key]; ok {
			delete(s.items, key)
			s.history = append(s.history, storeItem{Key: key, Revision: s.revision, Deleted: true})
		}
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes a key as the operator does.
func (s *store) put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply([]storeItem{{Key: key, Value: value}}, nil)
}

// get returns the value of a key, or nil.
func (s *store) get(key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.items[key].Value
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.expire()
	s.mu.Unlock()
	q := r.URL.Query()
	switch path := r.URL.Path; {
	case path == "/kv-key":
		s.mu.Lock()
		i, ok := s.items[q.Get("key")]
		i.At = s.revision
		s.mu.Unlock()
		if !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		reply(w, 200, i)
	case path == "/kv-range":
		s.serveRange(w, q.Get("path-prefix"), q.Get("after"))
	case path == "/kv-watch":
		after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
		wait, _ := strconv.Atoi(q.Get("wait-ms"))
		s.serveWatch(w, r, q.Get("path-prefix"), after, time.Duration(wait)*time.Millisecond)
	case path == "/kv-txn":
		s.serveTxn(w, r)
	case path == "/kv-lease":
		var in struct {
			TTL int64 `json:"ttl-ms"`
		}
		if json.NewDecoder(r.Body).Decode(&in) != nil {
			w.WriteHeader(400)
			return
		}
		s.mu.Lock()
		s.nextID++
		id, ttl := s.nextID, time.Duration(max(in.TTL, 1000))*time.Millisecond
		s.leases[id] = &storeLease{ttl, time.Now().Add(ttl)}
		s.mu.Unlock()
		reply(w, 200, map[string]int64{"lease": id, "ttl-ms": ttl.Milliseconds()})
	case strings.HasPrefix(path, "/kv-keep/"):
		id, _ := strconv.ParseInt(strings.TrimPrefix(path, "/kv-keep/"), 10, 64)
		s.mu.Lock()
		l, ok := s.leases[id]
		if ok {
			l.expires = time.Now().Add(l.ttl)
		}
		s.mu.Unlock()
		if !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		reply(w, 200, map[string]int64{"ttl-ms": l.ttl.Milliseconds()})
	case strings.HasPrefix(path, "/kv-lease-end/"):
		id, _ := strconv.ParseInt(strings.TrimPrefix(path, "/kv-lease-end/"), 10, 64)
		s.mu.Lock()
		s.endLease(id)
		s.mu.Unlock()
		reply(w, 200, map[string]int64{})
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) serveRange(w http.ResponseWriter, prefix, after string) {
	s.mu.Lock()
	items := []storeItem{}
	for key, i := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			items = append(items, i)
		}
	}
	at := s.revision
	s.mu.Unlock()
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	truncated := len(items) > 500
	if truncated {
		items = items[:500]
	}
	reply(w, 200, map[string]any{"items": items, "truncated": truncated, "at": at})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request, prefix string, after int64, wait time.Duration) {
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	for {
		s.mu.Lock()
		events := []storeItem{}
		for _, i := range s.history {
			if i.Revision > after && strings.HasPrefix(i.Key, prefix) {
				events = append(events, i)
			}
		}
		at, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			reply(w, 200, map[string]any{"events": events, "at": at})
			return
		}
		select {
		case <-changed:
		case <-timeout.C:
			reply(w, 200, map[string]any{"events": events, "at": at})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) serveTxn(w http.ResponseWriter, r *http.Request) {
	var in struct {
		Expect []storeItem `json:"expect"`
		Writes []storeItem `json:"writes"`
		Remove []string    `json:"remove"`
	}
	if json.NewDecoder(r.Body).Decode(&in) != nil || len(in.Expect)+len(in.Writes)+len(in.Remove) > 64 {
		w.WriteHeader(400)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, i := range in.Writes {
		if strings.HasPrefix(i.Key, "op/") || strings.HasPrefix(i.Key, "servers/") {
			w.WriteHeader(http.StatusForbidden)
			return
		}
		if _, ok := s.leases[i.Lease]; i.Lease != 0 && !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	met, current := true, []storeItem{}
	for _, e := range in.Expect {
		i, ok := s.items[e.Key]
		met = met && i.Revision == e.Revision
		if ok {
			current = append(current, i)
		}
	}
	if !met {
		reply(w, http.StatusPreconditionFailed, map[string]any{"items": current})
		return
	}
	s.apply(in.Writes, in.Remove)
	reply(w, 200, map[string]int64{"revision": s.revision})
}
