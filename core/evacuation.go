package core

import (
	"time"

	"celeryshelf/core/evacuation"
	"celeryshelf/core/member"
)

const (
	// evacuationRequestInterval is the time between the requests of a starting node that does
	// not know which domains are evacuated.
	evacuationRequestInterval = 300 * time.Millisecond
	// maxEvacuationAge is how long ago a set may have been the newest for a starting node to
	// rely on it. The planner reads the store once a second.
	maxEvacuationAge = 5 * time.Second
)

// evacuationState holds what the node knows of evacuated domains.
type evacuationState struct {
	bound      time.Duration // see Settings.Evacuation
	tracker    evacuation.Tracker
	askedAt    time.Time // when a starting node last asked for the set
	reopenedAt time.Time // see State.targetReopenedAt
	rejected   string    // the last error of a set that was not used
}

// EvacuationStatus describes the evacuations for operators.
type EvacuationStatus struct {
	Domains     int       // evacuated domains
	Running     int       // calls that still run at the local target although its domain is evacuated
	ConfirmedAt time.Time // last time at which the set was known to be the newest, zero if it never was
}

func (s *State) evacuationStatus() EvacuationStatus {
	t := &s.evacuation.tracker
	status := EvacuationStatus{Domains: t.Count(), ConfirmedAt: t.ConfirmedAt()}
	if s.evacuated(s.self.Domain) {
		status.Running = s.gate.Stats().Running
	}
	return status
}

// evacuated reports whether a domain is evacuated, as far as this node knows.
func (s *State) evacuated(domain string) bool { return s.evacuation.tracker.Includes(domain) }

// targetReopenedAt returns when the evacuation of this node's domain last ended, zero if none
// has. The local target has had no calls before and may be cold.
func (s *State) targetReopenedAt() time.Time { return s.evacuation.reopenedAt }

// handleStoredEvacuations applies a set that was read from the store.
func (s *State) handleStoredEvacuations(now time.Time, e *EvacuationsStored) {
	if s.evacuation.bound == 0 {
		return
	}
	first := !s.evacuation.tracker.Known()
	changed := s.applyEvacuations(now, e.Set)
	if !e.At.IsZero() {
		s.evacuation.tracker.Confirm(e.Set.Revision, e.At)
	}
	if first || changed {
		s.spreadEvacuations(now)
	}
	s.releaseTarget(now)
}

// mergeEvacuations applies a set that a peer has sent and reports whether it is a valid one.
func (s *State) mergeEvacuations(now time.Time, m *Evacuations) bool {
	if m == nil || s.evacuation.bound == 0 {
		return false
	}
	if err := m.Validate(); err != nil {
		if err.Error() != s.evacuation.rejected {
			s.evacuation.rejected = err.Error()
			s.addNotice(Notice{Kind: NoticeMessageRejected, Detail: err.Error()})
		}
		return false
	}
	if s.applyEvacuations(now, m.Set) {
		s.spreadEvacuations(now)
	}
	return true
}

// confirmEvacuations applies the set in the answer to a message of this node, and how long
// before that message it was known to be the newest.
func (s *State) confirmEvacuations(now time.Time, m *Confirmation) {
	if !s.mergeEvacuations(now, m.Evacuations) || m.Evacuations.Age < 0 {
		return
	}
	s.evacuation.tracker.Confirm(m.Evacuations.Revision, s.started.Add(m.RequesterUptime-m.Evacuations.Age))
	s.releaseTarget(now)
}

// applyEvacuations replaces the known set by a newer one. It reports whether domains were added
// or removed.
func (s *State) applyEvacuations(now time.Time, set evacuation.Set) bool {
	change, applied := s.evacuation.tracker.Apply(now, set)
	if !applied || change.Empty() {
		return false
	}
	differs := map[string]bool{}
	for _, d := range change.Started {
		differs[d.Name] = true
		s.addNotice(Notice{Kind: NoticeEvacuationStarted, Evacuation: d})
	}
	for _, d := range change.Ended {
		differs[d.Name] = true
		s.addNotice(Notice{Kind: NoticeEvacuationEnded, Evacuation: d})
	}
	for _, p := range s.peers.All() {
		if !differs[p.Domain] {
			continue
		}
		s.updateEvacuatedEndpoint(now, p.Member, p.Unreachable)
	}
	if differs[s.self.Domain] {
		s.updateEvacuatedEndpoint(now, s.self, false)
		s.evacuateTarget(now)
	}
	return true
}

// updateEvacuatedEndpoint applies the start or end of an evacuation to an endpoint.
func (s *State) updateEvacuatedEndpoint(now time.Time, m member.Member, unreachable bool) {
	s.routes.Put(now, s.endpoint(m, unreachable), false)
	if !s.evacuated(m.Domain) {
		s.routes.Find(m.Service, m.Name).Reopen(now)
		return
	}
	if s.planning.planner != nil {
		s.planning.planner.SetEvacuated(m.Name)
	}
}

// evacuateTarget stops or resumes the use of the local target. Calls that run are finished,
// those that wait are placed elsewhere by their sender.
func (s *State) evacuateTarget(now time.Time) {
	if !s.evacuated(s.self.Domain) {
		s.evacuation.reopenedAt = now
		s.assumeCold(now)
		return
	}
	s.rejectQueuedCalls(now)
}

// spreadEvacuations tells peers of a set whose domains have changed. The other nodes hear of it
// with the messages that are sent anyway.
func (s *State) spreadEvacuations(now time.Time) {
	s.syncPeers(now, changeFanout, s.inDomain)
	s.syncPeers(now, 1, s.outsideDomain)
}

// evacuationsMessage returns the known set for a message, nil if none is known.
func (s *State) evacuationsMessage(now time.Time) *Evacuations {
	t := &s.evacuation.tracker
	if !t.Known() {
		return nil
	}
	m := &Evacuations{Set: t.Set(now), Age: unconfirmedAge}
	if at := t.ConfirmedAt(); !at.IsZero() {
		m.Age = max(0, now.Sub(at))
	}
	return m
}

// pursueEvacuations asks a watcher for the set while a starting node does not know it. After
// Settings.Evacuation without an answer the target is used.
func (s *State) pursueEvacuations(now time.Time) {
	e := &s.evacuation
	if !s.target.evacuationsUnknown {
		return
	}
	if now.Sub(s.started) >= e.bound {
		s.target.evacuationsUnknown = false
		s.updateTarget(now)
		return
	}
	if now.Sub(e.askedAt) >= evacuationRequestInterval {
		e.askedAt = now
		s.send(s.randomWatcher(), s.syncMessage(now, 0, 0))
	}
}

// releaseTarget lets a starting node use its target once the set is known and recent.
func (s *State) releaseTarget(now time.Time) {
	at := s.evacuation.tracker.ConfirmedAt()
	if !s.target.evacuationsUnknown || at.IsZero() || now.Sub(at) > maxEvacuationAge {
		return
	}
	s.target.evacuationsUnknown = false
	s.updateTarget(now)
}
