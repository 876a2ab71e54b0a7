package core

import "time"

// defaultRevoke is how long keys are trusted that nobody can confirm, where no
// setting says otherwise.
const defaultMaxStaleness = 3 * time.Second

const (
	// verifyAfter is the age from which knowledge of the newest manifest is refreshed
	// by a call to the store.
	verifyAge = 1 * time.Second
	// followAfter is that age for a node that gets a proof from the planner with each
	// plan: it asks itself only when those have failed to come for a while.
	plannedVerifyAge = 2 * time.Second
	// longAgo stands for the age of a proof that a node has never had; no bound on the
	// withdrawal of keys is as long.
	unconfirmedAge = time.Hour
)

// verify asks the store when no peer has confirmed the manifest lately.
func (s *State) verify(now time.Time) {
	after := verifyAge
	if s.plannedAdmission && s.plannerName(now) != s.self.Name {
		after = plannedVerifyAge
	}
	if now.Sub(s.manifestConfirmedAt) < after || now.Before(s.due.verify) {
		return
	}
	s.due.verify = now.Add(s.jitter(verifyAge))
	s.effects.StoreRequests = append(s.effects.StoreRequests, &VerifyManifest{})
}

// confirm takes in that a version was the newest at an instant. A node with that
// version, or a newer one, was up to date then.
func (s *State) advanceConfirmedAt(version uint64, at time.Time) {
	if s.manifestVersion() >= version && at.After(s.manifestConfirmedAt) {
		s.manifestConfirmedAt = at
	}
}

// prove answers a Sync with what this node knows.
func (s *State) sendConfirmation(now time.Time, m *Sync) {
	p := s.confirmation(now, m.Uptime)
	s.send(m.Self.Name, &p)
}

// proof returns what this node knows, in answer to a peer's message that carried
// the reading of the peer's clock.
func (s *State) confirmation(now time.Time, reading time.Duration) Confirmation {
	return Confirmation{RequesterUptime: reading, Version: s.manifestVersion(), Age: now.Sub(s.manifestConfirmedAt)}
}

// proved takes in the answer to a Sync that this node sent when its own clock
// showed the reading that comes back.
func (s *State) handleConfirmation(m *Confirmation) {
	s.advanceConfirmedAt(m.Version, s.started.Add(m.RequesterUptime-m.Age))
}

// isolated reports whether the keys in force are so old that one of them may have
// been withdrawn for too long.
func (s *State) manifestStale(now time.Time) bool {
	if s.maxStaleness > 0 {
		return now.Sub(s.manifestConfirmedAt) > s.maxStaleness
	}
	return !s.storeReachable && len(s.peers.All()) > 0 && now.Sub(s.manifestConfirmedAt) > defaultMaxStaleness
}
