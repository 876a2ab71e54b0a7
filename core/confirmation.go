package core

import "time"

// defaultRevoke is how long keys are trusted that nobody can confirm, where no
// setting says otherwise.
const defaultRevoke = 3 * time.Second

const (
	// verifyAfter is the age from which knowledge of the newest manifest is refreshed
	// by a call to the store.
	verifyAfter = 1 * time.Second
	// followAfter is that age for a node that gets a proof from the planner with each
	// plan: it asks itself only when those have failed to come for a while.
	followAfter = 2 * time.Second
	// longAgo stands for the age of a proof that a node has never had; no bound on the
	// withdrawal of keys is as long.
	longAgo = time.Hour
)

// verify asks the store when no peer has confirmed the manifest lately.
func (s *State) verify(now time.Time) {
	after := verifyAfter
	if s.plans && s.plannerName(now) != s.self.Name {
		after = followAfter
	}
	if now.Sub(s.asOf) < after || now.Before(s.due.verify) {
		return
	}
	s.due.verify = now.Add(s.jitter(verifyAfter))
	s.effects.StoreRequests = append(s.effects.StoreRequests, &VerifyManifest{})
}

// confirm takes in that a version was the newest at an instant. A node with that
// version, or a newer one, was up to date then.
func (s *State) confirm(version uint64, at time.Time) {
	if s.version() >= version && at.After(s.asOf) {
		s.asOf = at
	}
}

// prove answers a Sync with what this node knows.
func (s *State) prove(now time.Time, m *Sync) {
	p := s.proof(now, m.Clock)
	s.send(m.Self.Name, &p)
}

// proof returns what this node knows, in answer to a peer's message that carried
// the reading of the peer's clock.
func (s *State) proof(now time.Time, reading time.Duration) Confirmation {
	return Confirmation{Clock: reading, Version: s.version(), Age: now.Sub(s.asOf)}
}

// proved takes in the answer to a Sync that this node sent when its own clock
// showed the reading that comes back.
func (s *State) proved(m *Confirmation) {
	s.confirm(m.Version, s.started.Add(m.Clock-m.Age))
}

// isolated reports whether the keys in force are so old that one of them may have
// been withdrawn for too long.
func (s *State) isolated(now time.Time) bool {
	if s.revoke > 0 {
		return now.Sub(s.asOf) > s.revoke
	}
	return !s.store && len(s.peers.All()) > 0 && now.Sub(s.asOf) > defaultRevoke
}
