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

// StoreFaults configures the faults that a Store injects. The zero value injects none.
type StoreFaults struct {
	Unavailable         bool          `json:"away"`   // every call fails with 503, and watches end
	Delay               time.Duration `json:"delay"`  // before each call is handled
	LostResponses       int           `json:"lose"`   // number of next writes that take effect but get no response
	SuppressWatchEvents bool          `json:"silent"` // watches of the etcd gateway stay open but drop their events
}

// String formats the faults under the names that the soak log uses.
func (f StoreFaults) String() string {
	return fmt.Sprintf("{Away:%t Delay:%s Lose:%d Silent:%t}", f.Unavailable, f.Delay, f.LostResponses, f.SuppressWatchEvents)
}

type storedValue struct {
	value          []byte
	createRevision int64
	modRevision    int64
	leaseID        int64
}

type change struct {
	revision    int64
	key         string
	value       []byte
	modRevision int64
	deleted     bool
}

type lease struct {
	ttl       time.Duration
	expiresAt time.Time
}

// Store is an in-memory key-value store with revisions, leases and watches. It serves
// the subset of etcd's JSON gateway that the project uses.
//
// Methods whose names end in Locked, and the handlers passed to handleCall, require mu.
type Store struct {
	mu       sync.Mutex
	revision int64
	values   map[string]storedValue
	history  []change
	// compactedRevision is the last revision whose changes are no longer in history.
	compactedRevision int64
	leases            map[int64]lease
	lastLeaseID       int64
	faults            StoreFaults
	era               uint64
	changed           chan struct{} // closed and replaced on each change of the data or the faults
	callCount         int
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{
		era: 1, revision: 1, values: map[string]storedValue{}, leases: map[int64]lease{},
		changed: make(chan struct{}),
	}
}

// SetFaults replaces the injected faults. It wakes the watches so that they notice.
func (s *Store) SetFaults(f StoreFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.notifyWatchersLocked()
}

// Keys returns the stored keys in sorted order.
func (s *Store) Keys() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeasesLocked()
	return slices.Sorted(maps.Keys(s.values))
}

func (s *Store) notifyWatchersLocked() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP serves the etcd gateway under /v3/ and the control path /standin/faults.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/standin/faults" {
		var f StoreFaults
		if decodeRequest(w, r, &f) {
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
		handleCall(s, w, r, s.handleRange)
	case "kv/put":
		handleCall(s, w, r, s.handlePut)
	case "kv/txn":
		handleCall(s, w, r, s.handleTxn)
	case "lease/grant":
		handleCall(s, w, r, s.handleLeaseGrant)
	case "lease/keepalive":
		handleCall(s, w, r, s.handleLeaseKeepAlive)
	case "lease/revoke":
		handleCall(s, w, r, s.handleLeaseRevoke)
	case "watch":
		s.handleWatch(w, r)
	default:
		http.NotFound(w, r)
	}
}

func decodeRequest(w http.ResponseWriter, r *http.Request, out any) bool {
	if err := json.NewDecoder(r.Body).Decode(out); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

// handleCall decodes a request, runs f on it with s.mu held, and writes f's response.
// f also reports whether the request was a write: if the response to a write is to be
// lost, handleCall aborts the connection instead.
func handleCall[In, Out any](s *Store, w http.ResponseWriter, r *http.Request, f func(In) (Out, bool)) {
	var in In
	if !decodeRequest(w, r, &in) {
		return
	}
	s.mu.Lock()
	s.expireLeasesLocked()
	out, wrote := f(in)
	s.mu.Unlock()
	if wrote && s.ConsumeLostResponse() {
		panic(http.ErrAbortHandler)
	}
	_ = json.NewEncoder(w).Encode(out)
}

func (s *Store) putLocked(key string, value []byte, leaseID int64) {
	s.revision++
	e, ok := s.values[key]
	if !ok {
		e.createRevision = s.revision
	}
	e.value, e.modRevision, e.leaseID = value, s.revision, leaseID
	s.values[key] = e
	s.history = append(s.history, change{revision: s.revision, key: key, value: value, modRevision: s.revision})
	s.notifyWatchersLocked()
}

func (s *Store) deleteLocked(key string) {
	if _, ok := s.values[key]; !ok {
		return
	}
	s.revision++
	delete(s.values, key)
	s.history = append(s.history, change{revision: s.revision, key: key, modRevision: s.revision, deleted: true})
	s.notifyWatchersLocked()
}

// expireLeasesLocked revokes the leases whose TTL has passed.
func (s *Store) expireLeasesLocked() {
	now := time.Now()
	for id, l := range s.leases {
		if now.After(l.expiresAt) {
			s.revokeLocked(id)
		}
	}
}

func (s *Store) revokeLocked(id int64) {
	delete(s.leases, id)
	for _, key := range slices.Sorted(maps.Keys(s.values)) {
		if s.values[key].leaseID == id {
			s.deleteLocked(key)
		}
	}
}

// ExpireLeases revokes expired leases every 100 ms until stop is closed. Without it, a
// lease expires only at the next call, and watches learn of its keys late.
func (s *Store) ExpireLeases(stop <-chan struct{}) {
	ticker := time.NewTicker(100 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			s.mu.Lock()
			s.expireLeasesLocked()
			s.mu.Unlock()
		case <-stop:
			return
		}
	}
}
