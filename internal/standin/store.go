package standin

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// StoreFaults are the switches of a store stand-in.
type StoreFaults struct {
	Unavailable         bool          `json:"away"`   // every call fails
	Delay               time.Duration `json:"delay"`  // added to every call
	LostResponses       int           `json:"lose"`   // answers of so many writes are lost after they took effect
	SuppressWatchEvents bool          `json:"silent"` // watches stand but say nothing
}

// String formats the faults under the names that the soak logs use.
func (f StoreFaults) String() string {
	return fmt.Sprintf("{Away:%t Delay:%s Lose:%d Silent:%t}", f.Unavailable, f.Delay, f.LostResponses, f.SuppressWatchEvents)
}

type entry struct {
	value   []byte
	created int64
	mod     int64
	lease   int64
}

type change struct {
	revision int64
	key      string
	value    []byte
	mod      int64
	deleted  bool
}

type lease struct {
	ttl     time.Duration
	expires time.Time
}

// Store serves the calls of etcd's JSON gateway that the project uses, from memory.
type Store struct {
	mu       sync.Mutex
	revision int64
	entries  map[string]entry
	history  []change
	// compacted is the revision up to which the history is gone.
	compacted int64
	leases    map[int64]lease
	nextID    int64
	faults    StoreFaults
	changed   chan struct{} // closed and replaced at each change
	calls     int
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{
		revision: 1, entries: map[string]entry{}, leases: map[int64]lease{},
		changed: make(chan struct{}),
	}
}

// SetFaults turns the switches.
func (s *Store) SetFaults(f StoreFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.wake()
}

// Keys returns the keys held, in order.
func (s *Store) Keys() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	return slices.Sorted(maps.Keys(s.entries))
}

func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP answers the gateway's paths and /standin/faults.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/standin/faults" {
		var f StoreFaults
		if decodeInto(w, r, &f) {
			s.SetFaults(f)
		}
		return
	}
	faults := s.BeginCall()
	time.Sleep(faults.Delay)
	if faults.Unavailable {
		http.Error(w, "away", http.StatusServiceUnavailable)
		return
	}
	switch strings.TrimPrefix(r.URL.Path, "/v3/") {
	case "kv/range":
		answer(s, w, r, s.rangeOf)
	case "kv/put":
		answer(s, w, r, s.put)
	case "kv/txn":
		answer(s, w, r, s.txn)
	case "lease/grant":
		answer(s, w, r, s.grantOf)
	case "lease/keepalive":
		answer(s, w, r, s.keepAliveOf)
	case "lease/revoke":
		answer(s, w, r, s.revoke)
	case "watch":
		s.watch(w, r)
	default:
		http.NotFound(w, r)
	}
}

func decodeInto(w http.ResponseWriter, r *http.Request, out any) bool {
	if err := json.NewDecoder(r.Body).Decode(out); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

// answer decodes a call, lets f carry it out under the lock, and writes what it
// returns, unless the answer is to be lost.
func answer[In, Out any](s *Store, w http.ResponseWriter, r *http.Request, f func(In) (Out, bool)) {
	var in In
	if !decodeInto(w, r, &in) {
		return
	}
	s.mu.Lock()
	s.expire()
	out, wrote := f(in)
	s.mu.Unlock()
	if wrote && s.ConsumeLostResponse() {
		panic(http.ErrAbortHandler)
	}
	_ = json.NewEncoder(w).Encode(out)
}

func (s *Store) set(key string, value []byte, leaseID int64) {
	s.revision++
	e, ok := s.entries[key]
	if !ok {
		e.created = s.revision
	}
	e.value, e.mod, e.lease = value, s.revision, leaseID
	s.entries[key] = e
	s.history = append(s.history, change{revision: s.revision, key: key, value: value, mod: s.revision})
	s.wake()
}

func (s *Store) remove(key string) {
	if _, ok := s.entries[key]; !ok {
		return
	}
	s.revision++
	delete(s.entries, key)
	s.history = append(s.history, change{revision: s.revision, key: key, mod: s.revision, deleted: true})
	s.wake()
}

// expire ends the leases whose time has run out.
func (s *Store) expire() {
	now := time.Now()
	for id, l := range s.leases {
		if now.After(l.expires) {
			s.end(id)
		}
	}
}

func (s *Store) end(id int64) {
	delete(s.leases, id)
	for _, key := range slices.Sorted(maps.Keys(s.entries)) {
		if s.entries[key].lease == id {
			s.remove(key)
		}
	}
}

// ExpireLeases ends leases on time until stop is closed.
func (s *Store) ExpireLeases(stop <-chan struct{}) {
	ticker := time.NewTicker(100 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			s.mu.Lock()
			s.expire()
			s.mu.Unlock()
		case <-stop:
			return
		}
	}
}
