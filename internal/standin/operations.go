package standin

import (
	"maps"
	"slices"
	"strings"
	"time"
)

// Item is one key as the store holds it, or the end of one.
type Item struct {
	Key            string
	Value          []byte
	Revision       int64 // of the last write
	CreateRevision int64
	LeaseID        int64
	Deleted        bool
}

// Condition holds if a key was last written at a revision, 0 if it is absent.
type Condition struct {
	Key      string
	Revision int64
}

func (s *Store) itemLocked(key string) Item {
	e := s.values[key]
	return Item{Key: key, Value: e.value, Revision: e.modRevision, CreateRevision: e.createRevision, LeaseID: e.leaseID}
}

// Get returns a key's item, whether it exists, and the store's revision.
func (s *Store) Get(key string) (Item, bool, int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeasesLocked()
	_, ok := s.values[key]
	return s.itemLocked(key), ok, s.revision
}

// List returns up to limit items under a prefix after a key, and whether there
// are more.
func (s *Store) List(prefix, after string, limit int) (items []Item, more bool, at int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeasesLocked()
	for _, key := range slices.Sorted(maps.Keys(s.values)) {
		if !strings.HasPrefix(key, prefix) || key <= after {
			continue
		}
		if len(items) == limit {
			return items, true, s.revision
		}
		items = append(items, s.itemLocked(key))
	}
	return items, false, s.revision
}

// ChangesSince returns what changed under a prefix after a revision, and a channel that
// is closed at the next change. It reports false where the history is gone.
func (s *Store) ChangesSince(prefix string, after int64) (events []Item, at int64, changed <-chan struct{}, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeasesLocked()
	if after < s.compactedRevision {
		return nil, s.revision, s.changed, false
	}
	for _, c := range s.history {
		if c.revision <= after || !strings.HasPrefix(c.key, prefix) {
			continue
		}
		events = append(events, Item{Key: c.key, Value: c.value, Revision: c.revision, Deleted: c.deleted})
	}
	return events, s.revision, s.changed, true
}

// Commit carries out writes and deletions if every condition holds. Otherwise it
// returns the present items of the conditions, or false for a lease that has ended.
func (s *Store) Commit(expect []Condition, writes []Item, remove []string) (at int64, failed []Item, leased bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeasesLocked()
	for _, c := range expect {
		if s.values[c.Key].modRevision != c.Revision {
			return s.revision, s.itemsLocked(expect), true
		}
	}
	for _, w := range writes {
		if _, ok := s.leases[w.LeaseID]; !ok && w.LeaseID != 0 {
			return s.revision, nil, false
		}
	}
	for _, w := range writes {
		s.putLocked(w.Key, w.Value, w.LeaseID)
	}
	for _, key := range remove {
		s.deleteLocked(key)
	}
	return s.revision, nil, true
}

func (s *Store) itemsLocked(expect []Condition) []Item {
	found := []Item{}
	for _, c := range expect {
		if _, ok := s.values[c.Key]; ok {
			found = append(found, s.itemLocked(c.Key))
		}
	}
	return found
}

// Compact forgets the history.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.compactedRevision, s.history = s.revision, nil
	s.notifyWatchers()
}

// Grant creates a lease.
func (s *Store) Grant(ttl time.Duration) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.grantLocked(ttl)
}

func (s *Store) grantLocked(ttl time.Duration) int64 {
	s.lastLeaseID++
	s.leases[s.lastLeaseID] = lease{ttl: ttl, expiresAt: time.Now().Add(ttl)}
	return s.lastLeaseID
}

// KeepAlive renews a lease and reports its time to live, or that it has ended.
func (s *Store) KeepAlive(id int64) (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeasesLocked()
	return s.keepAliveLocked(id)
}

func (s *Store) keepAliveLocked(id int64) (time.Duration, bool) {
	l, ok := s.leases[id]
	if !ok {
		return 0, false
	}
	l.expiresAt = time.Now().Add(l.ttl)
	s.leases[id] = l
	return l.ttl, true
}

// Revoke ends a lease and deletes its keys.
func (s *Store) Revoke(id int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revokeLocked(id)
}

// CallCount returns how many calls have come in.
func (s *Store) CallCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.callCount
}

// BeginCall counts a call and returns the faults in force.
func (s *Store) BeginCall() StoreFaults {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.callCount++
	return s.faults
}

// ConsumeLostResponse reports whether the answer to the present write is to be lost.
func (s *Store) ConsumeLostResponse() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.LostResponses == 0 {
		return false
	}
	s.faults.LostResponses--
	return true
}
