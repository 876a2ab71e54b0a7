package core

import (
	"time"

	"celeryshelf/core/member"
)

// defaultMaxStaleness applies if Settings.MaxStaleness is 0.
const defaultMaxStaleness = 3 * time.Second

const (
	// verifyAge is the age of the last confirmation from which the node asks the store for
	// the newest manifest.
	verifyAge = 1 * time.Second
	// plannedVerifyAge replaces verifyAge on a node that gets a Confirmation with each plan:
	// it asks the store only after plans have failed to arrive for a while.
	plannedVerifyAge = 2 * time.Second
	// freshenAge is the age of the last confirmation from which a node asks a watcher for a
	// newer one, every freshenInterval.
	freshenAge      = 1500 * time.Millisecond
	freshenInterval = 400 * time.Millisecond
	// verifyTurns is the number of groups of watchersPerDomain nodes in each domain that ask
	// the store, verifyTurnTime apart.
	verifyTurns    = 3
	verifyTurnTime = 400 * time.Millisecond
	// isolationTime is the time without a Confirmation from any peer after which a node asks
	// the store by itself.
	isolationTime = 1200 * time.Millisecond
	neverVerify   = time.Duration(1<<63 - 1)
	// unconfirmedAge is the initial age of the manifest's confirmation on a node that has had
	// none. It exceeds every MaxStaleness in use.
	unconfirmedAge = time.Hour
)

// verify asks the store for the newest manifest if the last confirmation is too old. Before
// that, a node that does not plan asks a watcher for a newer confirmation.
func (s *State) verify(now time.Time) {
	age := now.Sub(s.manifestConfirmedAt)
	if s.watch.electionEnabled {
		starting := s.manifest != nil && s.manifestStale(now)
		age = min(age, now.Sub(s.started)) // a starting node first hears from its peers
		if (starting || age >= freshenAge) && !now.Before(s.due.freshen) {
			s.due.freshen = now.Add(s.jitter(freshenInterval))
			s.freshen(now)
		}
	}
	if age < s.verifyThreshold(now) || now.Before(s.due.verify) {
		return
	}
	s.due.verify = now.Add(s.jitter(verifyAge))
	s.effects.StoreRequests = append(s.effects.StoreRequests, &VerifyManifest{})
}

// verifyThreshold returns the age of the last confirmation from which this node asks the
// store. With elected watchers the planner comes first, then the watchers and further nodes
// of each domain in turn, so that an outage of the store does not make every node call it.
// The others do so only if they do not hear from any peer.
func (s *State) verifyThreshold(now time.Time) time.Duration {
	switch {
	case !s.plannedAdmission || s.plannerName(now) == s.self.Name:
		return verifyAge
	case !s.watch.electionEnabled:
		return plannedVerifyAge
	}
	turn := s.currentRoles().ahead / watchersPerDomain
	if turn < verifyTurns || now.Sub(s.confirmationHeardAt) > isolationTime {
		return plannedVerifyAge + time.Duration(min(turn, verifyTurns))*verifyTurnTime
	}
	return neverVerify
}

// freshen asks a watcher for a Confirmation, the planner one of any domain.
func (s *State) freshen(now time.Time) {
	to := s.randomWatcher()
	if s.plannerName(now) == s.self.Name {
		to = s.randomPeer((*member.Peer).Live)
	}
	s.send(to, s.syncMessage(now, 0, 0))
}

// advanceConfirmedAt applies the statement that version was the newest at the given time. If
// this node has that version or a newer one, its manifest was up to date then. A version that is
// older than the one that the node had at that time is from an older copy of the store, which may
// lack a version that the node has not seen.
func (s *State) advanceConfirmedAt(version uint64, at time.Time) {
	if version < s.manifestVersion() && at.After(s.manifestActiveSince) {
		return
	}
	if s.manifestVersion() >= version && at.After(s.manifestConfirmedAt) {
		s.manifestConfirmedAt = at
	}
}

// sendConfirmation answers a message that a peer sent at the given uptime of its own.
func (s *State) sendConfirmation(now time.Time, to string, requesterUptime time.Duration) {
	c := s.confirmation(now, requesterUptime)
	if p, ok := s.peers.Get(to); ok {
		c.LeftStartMilli = p.UnannouncedLeftStart()
	}
	s.send(to, &c)
}

// confirmation returns the answer to a message that a peer sent at the given uptime of its
// own.
func (s *State) confirmation(now time.Time, requesterUptime time.Duration) Confirmation {
	return Confirmation{
		RequesterUptime: requesterUptime, Version: s.manifestVersion(), Age: now.Sub(s.manifestConfirmedAt),
		Evacuations: s.evacuationsMessage(now), StoreEra: s.storeEra.latest(),
	}
}

// handleConfirmation applies the answer to a message that this node sent at the uptime that
// the answer repeats.
func (s *State) handleConfirmation(now time.Time, from string, m *Confirmation) {
	if m.Age < 0 || m.RequesterUptime < 0 || m.RequesterUptime > now.Sub(s.started) {
		s.addNotice(Notice{Kind: NoticeMessageRejected, Detail: "confirmation of a time that has not come"})
		return
	}
	s.confirmationHeardAt = now
	s.hearOfStoreEra(m.StoreEra)
	s.recallFromPeer(now, m.LeftStartMilli)
	s.advanceConfirmedAt(m.Version, s.started.Add(m.RequesterUptime-m.Age))
	s.peers.SetManifestVersion(from, m.Version)
	s.hearOfManifest(now, from, m.Version)
	s.confirmEvacuations(now, m)
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
