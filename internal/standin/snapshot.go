package standin

import "maps"

// Snapshot is a copy of a store's content.
type Snapshot struct {
	revision int64
	values   map[string]storedValue
	leases   map[int64]lease
}

// Era returns the era of the store's content, which Restore increases. The first is 1.
func (s *Store) Era() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}

// Snapshot returns a copy of the store's content.
func (s *Store) Snapshot() Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeasesLocked()
	return Snapshot{revision: s.revision, values: maps.Clone(s.values), leases: maps.Clone(s.leases)}
}

// Restore replaces the store's content by a copy of it. Later writes are lost, and revisions are
// given out again. The leases of the copy start anew; numbers of leases are not given out again.
func (s *Store) Restore(c Snapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	s.revision, s.compactedRevision, s.history = c.revision, c.revision, nil
	s.values, s.leases = maps.Clone(c.values), maps.Clone(c.leases)
	for id := range s.leases {
		s.keepAliveLocked(id)
	}
	s.notifyWatchersLocked()
}
