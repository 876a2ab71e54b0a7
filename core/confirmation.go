package core

import "time"

// defaultMaxStaleness applies if Settings.MaxStaleness is 0.
const defaultMaxStaleness = 3 * time.Second

const (
	// verifyAge is the age of the last confirmation from which the node asks the store for
	// the newest manifest.
	verifyAge = 1 * time.Second
	// plannedVerifyAge replaces verifyAge on a node that gets a Confirmation with each plan:
	// it asks the store only after plans have failed to arrive for a while.
	plannedVerifyAge = 2 * time.Second
	// unconfirmedAge is the initial age of the manifest's confirmation on a node that has had
	// none. It exceeds every MaxStaleness in use.
	unconfirmedAge = time.Hour
)

// verify asks the store for the newest manifest if the last confirmation is too old.
func (s *State) verify(now time.Time) {
	threshold := verifyAge
	if s.plannedAdmission && s.plannerName(now) != s.self.Name {
		threshold = plannedVerifyAge
	}
	if now.Sub(s.manifestConfirmedAt) < threshold || now.Before(s.due.verify) {
		return
	}
	s.due.verify = now.Add(s.jitter(verifyAge))
	s.effects.StoreRequests = append(s.effects.StoreRequests, &VerifyManifest{})
}

// advanceConfirmedAt applies the statement that version was the newest at the given time. If
// this node has that version or a newer one, its manifest was up to date then.
func (s *State) advanceConfirmedAt(version uint64, at time.Time) {
	if s.manifestVersion() >= version && at.After(s.manifestConfirmedAt) {
		s.manifestConfirmedAt = at
	}
}

// sendConfirmation answers a Sync.
func (s *State) sendConfirmation(now time.Time, m *Sync) {
	c := s.confirmation(now, m.Uptime)
	s.send(m.Self.Name, &c)
}

// confirmation returns the answer to a message that a peer sent at the given uptime of its
// own.
func (s *State) confirmation(now time.Time, requesterUptime time.Duration) Confirmation {
	return Confirmation{RequesterUptime: requesterUptime, Version: s.manifestVersion(), Age: now.Sub(s.manifestConfirmedAt)}
}

// handleConfirmation applies the answer to a message that this node sent at the uptime that
// the answer repeats.
func (s *State) handleConfirmation(now time.Time, m *Confirmation) {
	if m.Age < 0 || m.RequesterUptime < 0 || m.RequesterUptime > now.Sub(s.started) {
		s.addNotice(Notice{Kind: NoticeMessageRejected, Detail: "confirmation of a time that has not come"})
		return
	}
	s.advanceConfirmedAt(m.Version, s.started.Add(m.RequesterUptime-m.Age))
}

// manifestStale reports whether the last confirmation of the manifest is so old that one of
// its keys may have been revoked for longer than allowed. Without a configured maximum, a
// manifest is not stale while the store is reachable or the node has no peers.
func (s *State) manifestStale(now time.Time) bool {
	if s.maxStaleness > 0 {
		return now.Sub(s.manifestConfirmedAt) > s.maxStaleness
	}
	return !s.storeReachable && len(s.peers.All()) > 0 && now.Sub(s.manifestConfirmedAt) > defaultMaxStaleness
}
