package standin

import (
	"maps"
	"slices"
	"strings"
	"time"
)

// Item is a key with its value and metadata, or the deletion of a key.
type Item struct {
	Key            string
	Value          []byte
	Revision       int64 // of the last change
	CreateRevision int64
	LeaseID        int64
	Deleted        bool
}

// Condition requires that the last write of a key had a given revision, or that the
// key is absent if the revision is 0.
type Condition struct {
	Key      string
	Revision int64
}

func (s *Store) itemLocked(key string) Item {
	e := s.values[key]
	return Item{Key: key, Value: e.value, Revision: e.modRevision, CreateRevision: e.createRevision, LeaseID: e.leaseID}
}

// Get returns the item of a key, whether the key exists, and the store's revision.
func (s *Store) Get(key string) (Item, bool, int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeasesLocked()
	_, ok := s.values[key]
	return s.itemLocked(key), ok, s.revision
}

// List returns up to limit items in key order whose keys have the prefix and sort
// after the given key, whether there are more, and the store's revision.
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

// ChangesSince returns the changes to keys with the prefix after a revision, the
// store's revision, and a channel that is closed on the next change. ok is false if
// the history after that revision has been compacted.
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

// Commit applies the writes and deletions atomically if every condition holds, and
// returns the store's revision. If a condition fails, failed is non-nil and holds the
// current items of all conditions whose keys exist. leased is false if a write names a
// lease that does not exist or has expired; nothing is written then.
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

func (s *Store) itemsLocked(conditions []Condition) []Item {
	found := []Item{}
	for _, c := range conditions {
		if _, ok := s.values[c.Key]; ok {
			found = append(found, s.itemLocked(c.Key))
		}
	}
	return found
}

// Compact discards the history up to the current revision.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.compactedRevision, s.history = s.revision, nil
	s.notifyWatchersLocked()
}

// Grant creates a lease and returns its ID.
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

// KeepAlive renews a lease and returns its TTL, or false if the lease does not exist.
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

// Revoke removes a lease and deletes the keys attached to it.
func (s *Store) Revoke(id int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revokeLocked(id)
}

// CallCount returns the number of calls received.
func (s *Store) CallCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.callCount
}

// BeginCall counts a call and returns the faults to apply to it.
func (s *Store) BeginCall() StoreFaults {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.callCount++
	return s.faults
}

// ConsumeLostResponse reports whether the response to the current write is to be lost.
// If so, it uses up one of StoreFaults.LostResponses.
func (s *Store) ConsumeLostResponse() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.LostResponses == 0 {
		return false
	}
	s.faults.LostResponses--
	return true
}
