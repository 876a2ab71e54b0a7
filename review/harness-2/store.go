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

// item is a key of the store, or a change of one.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created,omitempty"`
	Lease    int64  `json:"lease,omitempty"`
	Deleted  bool   `json:"deleted,omitempty"`
	At       int64  `json:"at,omitempty"`
}

type lease struct {
	ttl time.Duration
	end time.Time
}

// store is a stand-in for the platform's store, with a complete history.
type store struct {
	mu       sync.Mutex
	revision int64
	items    map[string]item
	history  []item
	leases   map[int64]*lease
	next     int64
	changed  chan struct{} // closed at the next change
}

func newStore() *store {
	s := &store{revision: 100, items: map[string]item{}, leases: map[int64]*lease{}, next: 7000, changed: make(chan struct{})}
	go func() {
		for ; ; time.Sleep(20 * time.Millisecond) {
			s.mu.Lock()
			for id, l := range s.leases {
				if time.Now().After(l.end) {
					s.endLease(id)
				}
			}
			s.mu.Unlock()
		}
	}()
	return s
}

func (s *store) endLease(id int64) {
	delete(s.leases, id)
	var keys []string
	for k, i := range s.items {
		if i.Lease == id {
			keys = append(keys, k)
		}
	}
	s.apply(nil, keys)
}

// apply makes changes under one revision.
func (s *store) apply(writes []item, remove []string) {
	if len(writes)+len(remove) == 0 {
		return
	}
	s.revision++
	for _, w := range writes {
		w.Revision, w.Created = s.revision, s.revision
		if old, ok := s.items[w.Key]; ok {
			w.Created = old.Created
		}
		s.items[w.Key] = w
		s.history = append(s.history, w)
	}
	for _, k := range remove {
		if _, ok := s.items[k]; ok {
			delete(s.items, k)
			s.history = append(s.history, item{Key: k, Revision: s.revision, Deleted: true})
		}
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes a key of the operator.
func (s *store) put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply([]item{{Key: key, Value: value}}, nil)
}

func (s *store) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-key", s.get)
	mux.HandleFunc("GET /kv-range", s.list)
	mux.HandleFunc("GET /kv-watch", s.watch)
	mux.HandleFunc("POST /kv-txn", s.commit)
	mux.HandleFunc("POST /kv-lease", s.grant)
	mux.HandleFunc("POST /kv-keep/{id}", s.keep)
	mux.HandleFunc("DELETE /kv-lease-end/{id}", s.end)
	return mux
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) get(w http.ResponseWriter, req *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i, ok := s.items[req.URL.Query().Get("key")]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	i.At = s.revision
	answer(w, http.StatusOK, i)
}

func (s *store) list(w http.ResponseWriter, req *http.Request) {
	const pageItems = 500
	q := req.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	found := []item{}
	for k, i := range s.items {
		if strings.HasPrefix(k, q.Get("path-prefix")) && k > q.Get("after") {
			found = append(found, i)
		}
	}
	slices.SortFunc(found, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	truncated := len(found) > pageItems
	answer(w, http.StatusOK, map[string]any{"items": found[:min(len(found), pageItems)], "truncated": truncated, "at": s.revision})
}

func (s *store) watch(w http.ResponseWriter, req *http.Request) {
	q := req.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait-ms"))
	timeout := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timeout.Stop()
	for over := false; ; {
		s.mu.Lock()
		events := []item{}
		for _, i := range s.history {
			if i.Revision > after && strings.HasPrefix(i.Key, q.Get("path-prefix")) {
				events = append(events, i)
			}
		}
		at, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 || over {
			answer(w, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		}
		select {
		case <-changed:
		case <-timeout.C:
			over = true
		case <-req.Context().Done():
			return
		}
	}
}

func (s *store) commit(w http.ResponseWriter, req *http.Request) {
	var in struct {
		Expect []item   `json:"expect"`
		Writes []item   `json:"writes"`
		Remove []string `json:"remove"`
	}
	if json.NewDecoder(req.Body).Decode(&in) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	met, current := true, []item{}
	for _, e := range in.Expect {
		i, ok := s.items[e.Key]
		met = met && i.Revision == e.Revision
		if ok {
			current = append(current, i)
		}
	}
	if !met {
		answer(w, http.StatusPreconditionFailed, map[string]any{"items": current})
		return
	}
	for _, x := range in.Writes {
		if strings.HasPrefix(x.Key, "op/") || strings.HasPrefix(x.Key, "servers/") {
			w.WriteHeader(http.StatusForbidden)
			return
		}
		if x.Lease != 0 && s.leases[x.Lease] == nil {
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	s.apply(in.Writes, in.Remove)
	answer(w, http.StatusOK, map[string]any{"revision": s.revision})
}

func (s *store) grant(w http.ResponseWriter, req *http.Request) {
	var in struct {
		TTL int64 `json:"ttl-ms"`
	}
	if json.NewDecoder(req.Body).Decode(&in) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.next++
	ttl := time.Duration(in.TTL) * time.Millisecond
	s.leases[s.next] = &lease{ttl: ttl, end: time.Now().Add(ttl)}
	answer(w, http.StatusOK, map[string]any{"lease": s.next, "ttl-ms": in.TTL})
}

func (s *store) keep(w http.ResponseWriter, req *http.Request) {
	id, _ := strconv.ParseInt(req.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	l.end = time.Now().Add(l.ttl)
	answer(w, http.StatusOK, map[string]any{"ttl-ms": l.ttl.Milliseconds()})
}

func (s *store) end(_ http.ResponseWriter, req *http.Request) {
	id, _ := strconv.ParseInt(req.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leases[id] != nil {
		s.endLease(id)
	}
}
