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

const (
	historyTime  = 20 * time.Second // history-s of the pages
	maxPageItems = 500
	maxWatchWait = 30 * time.Second
)

// item is an item of the store, or the event of its deletion.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created,omitempty"`
	Lease    int64  `json:"lease"`
	Deleted  bool   `json:"deleted,omitempty"`
	At       int64  `json:"at,omitempty"`

	written time.Time
}

type storeLease struct {
	ttl time.Duration
	end time.Time
}

// store is a stand-in for the platform's metadata store. Its zero value is not usable; see
// newStore.
type store struct {
	mu        sync.Mutex
	revision  int64
	nextLease int64
	items     map[string]item
	history   []item
	compacted int64 // history up to this revision is gone
	leases    map[int64]*storeLease
	changed   chan struct{}
	era       int
	away      bool
	conns     map[net.Conn]struct{}
}

func newStore() *store {
	return &store{era: 1, conns: map[net.Conn]struct{}{}, revision: 1, nextLease: 1000, items: map[string]item{}, leases: map[int64]*storeLease{}, changed: make(chan struct{})}
}

// serve serves the store on a free loopback port and returns its address.
func (s *store) serve() string {
	l, err := net.Listen("tcp", host+":0")
	if err != nil {
		cannotRun("listen for the store: %v", err)
	}
	mux := http.NewServeMux()
	server := &http.Server{ReadHeaderTimeout: time.Minute, ConnState: s.track}
	mux.HandleFunc("GET /kv-key", s.get)
	mux.HandleFunc("GET /kv-range", s.list)
	mux.HandleFunc("GET /kv-watch", s.watch)
	mux.HandleFunc("POST /kv-txn", s.commit)
	mux.HandleFunc("POST /kv-lease", s.grant)
	mux.HandleFunc("POST /kv-keep/{id}", s.keep)
	mux.HandleFunc("DELETE /kv-lease-end/{id}", s.endLease)
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		era := s.era
		s.mu.Unlock()
		w.Header().Set("Store-Era", strconv.Itoa(era))
		mux.ServeHTTP(w, r)
	})
	go func() { _ = server.Serve(l) }()
	go s.expire()
	return l.Addr().String()
}

func respond(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// track keeps the open connections. While the store is away it resets new ones.
func (s *store) track(c net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateNew:
		s.conns[c] = struct{}{}
		if s.away {
			reset(c)
		}
	case http.StateClosed, http.StateHijacked:
		delete(s.conns, c)
	}
}

func reset(c net.Conn) {
	_ = c.(*net.TCPConn).SetLinger(0)
	_ = c.Close()
}

// storeCopy is a copy of the store's content.
type storeCopy struct {
	revision int64
	items    map[string]item
	leases   map[int64]storeLease
	taken    time.Time
}

// copy takes a copy of the store.
func (s *store) copy() storeCopy {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := storeCopy{revision: s.revision, items: map[string]item{}, leases: map[int64]storeLease{}, taken: time.Now()}
	for k, i := range s.items {
		c.items[k] = i
	}
	for id, l := range s.leases {
		c.leases[id] = *l
	}
	return c
}

// goAway resets all connections, and new ones until the store comes back.
func (s *store) goAway() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = true
	for c := range s.conns {
		reset(c)
	}
}

// comeBack brings the store back from a copy: what was written since is gone, leases too, and
// revisions go back. Lease numbers do not. The leases of the copy run on with the time that they
// had left. The operator's keys are written again.
func (s *store) comeBack(c storeCopy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var operator []item
	for k, i := range s.items {
		if strings.HasPrefix(k, "op/") && c.items[k].Revision != i.Revision {
			operator = append(operator, item{Key: k, Value: i.Value})
		}
	}
	s.era++
	s.away = false
	s.revision, s.compacted, s.history = c.revision, c.revision, nil
	s.items, s.leases = map[string]item{}, map[int64]*storeLease{}
	for k, i := range c.items {
		s.items[k] = i
	}
	gap := time.Since(c.taken)
	for id, l := range c.leases {
		l.end = l.end.Add(gap)
		s.leases[id] = &l
	}
	if len(operator) > 0 {
		s.apply(operator, nil)
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// keys returns the keys under a prefix.
func (s *store) keys(prefix string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []string
	for k := range s.items {
		if strings.HasPrefix(k, prefix) {
			out = append(out, k)
		}
	}
	sort.Strings(out)
	return out
}

// expire ends leases and drops old history.
func (s *store) expire() {
	for range time.Tick(50 * time.Millisecond) {
		s.mu.Lock()
		now := time.Now()
		for id, l := range s.leases {
			if now.After(l.end) {
				s.dropLease(id)
			}
		}
		for len(s.history) > 0 && now.Sub(s.history[0].written) > historyTime {
			s.compacted = s.history[0].Revision
			s.history = s.history[1:]
		}
		s.mu.Unlock()
	}
}

func (s *store) dropLease(id int64) {
	delete(s.leases, id)
	var keys []string
	for k, i := range s.items {
		if i.Lease == id {
			keys = append(keys, k)
		}
	}
	if len(keys) > 0 {
		s.apply(nil, keys)
	}
}

// apply makes a change. The caller holds the mutex.
func (s *store) apply(puts []item, removals []string) int64 {
	s.revision++
	now := time.Now()
	for _, p := range puts {
		p.Revision, p.written, p.Created = s.revision, now, s.revision
		if old, ok := s.items[p.Key]; ok {
			p.Created = old.Created
		}
		s.items[p.Key] = p
		s.history = append(s.history, p)
	}
	for _, k := range removals {
		if _, ok := s.items[k]; ok {
			delete(s.items, k)
			s.history = append(s.history, item{Key: k, Revision: s.revision, Deleted: true, written: now})
		}
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return s.revision
}

// put writes a key as the operator does.
func (s *store) put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply([]item{{Key: key, Value: value}}, nil)
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	i, ok := s.items[r.URL.Query().Get("key")]
	i.At = s.revision
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	respond(w, http.StatusOK, i)
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	keys := []string{}
	for k := range s.items {
		if strings.HasPrefix(k, q.Get("path-prefix")) && k > q.Get("after") {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	truncated := len(keys) > maxPageItems
	if truncated {
		keys = keys[:maxPageItems]
	}
	items := []item{}
	for _, k := range keys {
		items = append(items, s.items[k])
	}
	at := s.revision
	s.mu.Unlock()
	respond(w, http.StatusOK, map[string]any{"items": items, "truncated": truncated, "at": at})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait-ms"))
	end := time.NewTimer(min(time.Duration(wait)*time.Millisecond, maxWatchWait))
	defer end.Stop()
	for {
		s.mu.Lock()
		events := []item{}
		for _, i := range s.history {
			if i.Revision > after && strings.HasPrefix(i.Key, q.Get("path-prefix")) {
				events = append(events, i)
			}
		}
		at, changed, gone := s.revision, s.changed, after < s.compacted || after > s.revision
		s.mu.Unlock()
		if gone {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(events) > 0 {
			respond(w, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		}
		select {
		case <-changed:
		case <-end.C:
			respond(w, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) commit(w http.ResponseWriter, r *http.Request) {
	var in struct {
		Expect []struct {
			Key      string `json:"key"`
			Revision int64  `json:"revision"`
		} `json:"expect"`
		Writes []item   `json:"writes"`
		Remove []string `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range in.Writes {
		if strings.HasPrefix(p.Key, "op/") || strings.HasPrefix(p.Key, "servers/") {
			w.WriteHeader(http.StatusForbidden)
			return
		}
		if _, ok := s.leases[p.Lease]; p.Lease != 0 && !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	current, met := []item{}, true
	for _, e := range in.Expect {
		i, ok := s.items[e.Key]
		if ok {
			current = append(current, i)
		}
		met = met && i.Revision == e.Revision
	}
	if !met {
		respond(w, http.StatusPreconditionFailed, map[string]any{"items": current})
		return
	}
	respond(w, http.StatusOK, map[string]int64{"revision": s.apply(in.Writes, in.Remove)})
}

func (s *store) grant(w http.ResponseWriter, r *http.Request) {
	var in struct {
		TTL int64 `json:"ttl-ms"`
	}
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	s.nextLease++
	id, ttl := s.nextLease, time.Duration(in.TTL)*time.Millisecond
	s.leases[id] = &storeLease{ttl: ttl, end: time.Now().Add(ttl)}
	s.mu.Unlock()
	respond(w, http.StatusOK, map[string]int64{"lease": id, "ttl-ms": in.TTL})
}

func (s *store) keep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	l, ok := s.leases[id]
	if ok {
		l.end = time.Now().Add(l.ttl)
	}
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	respond(w, http.StatusOK, map[string]int64{"ttl-ms": l.ttl.Milliseconds()})
}

func (s *store) endLease(_ http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropLease(id)
}
