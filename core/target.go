package core

import (
	"cmp"
	"time"
)

// Heartbeat is what the local target says of itself.
type Heartbeat struct {
	InstanceID      string
	StartUnixMilli  int64  // start of this incarnation, in milliseconds since 1970
	Sequence        uint64 // rises with each heartbeat of an incarnation
	Draining        bool
	Slots           int           // calls it runs at once
	WarmupRemaining time.Duration // for how long it will still be slow after its start
}

// newer reports whether h was sent after o.
func (h Heartbeat) newerThan(o Heartbeat) bool {
	return cmp.Or(cmp.Compare(h.StartUnixMilli, o.StartUnixMilli), cmp.Compare(h.Sequence, o.Sequence)) > 0
}

// targetState is what is known of the local target.
type targetState struct {
	heartbeatsExpected bool // it sends heartbeats
	last               Heartbeat
	heartbeatReceived  bool
	deregistered       bool
	closedByDrain      bool // its node is leaving and gives it no more work
}

// open reports whether the target may be given work.
func (t *targetState) available() bool {
	return !t.closedByDrain && (!t.heartbeatsExpected || t.heartbeatReceived && !t.deregistered && !t.last.Draining)
}

// targetSeen takes in a heartbeat. One that was overtaken by a later one, or by
// the end of its incarnation, changes nothing.
func (s *State) handleHeartbeat(now time.Time, h Heartbeat) {
	t := &s.target
	if t.heartbeatReceived && !h.newerThan(t.last) {
		return
	}
	if t.deregistered && h.StartUnixMilli == t.last.StartUnixMilli {
		return
	}
	if t.heartbeatReceived && h.StartUnixMilli == t.last.StartUnixMilli && t.last.Draining {
		h.Draining = true // an incarnation that leaves does not come back
	}
	t.last, t.heartbeatReceived, t.deregistered = h, true, false
	s.updateTarget(now)
}

func (s *State) handleTargetDeregistered(now time.Time, id string) {
	t := &s.target
	if !t.heartbeatReceived || t.last.InstanceID != id || t.deregistered {
		return
	}
	t.deregistered = true
	s.updateTarget(now)
}

// targetChanged tells routing, gate and peers when the target's part of the
// node's announcement is different.
func (s *State) updateTarget(now time.Time) {
	before := s.self
	t := &s.target
	s.self.TargetClosed, s.self.Slots, s.self.TargetStartMilli = !t.available(), t.last.Slots, t.last.StartUnixMilli
	if s.self == before {
		return
	}
	s.gate.SetSlots(s.self.Slots)
	s.routes.Put(now, s.endpoint(s.self, false), false)
	s.announce()
	if t.closedByDrain {
		s.syncAllPeers(now)
	} else {
		s.syncRandomPeers(now, changeFanout)
	}
	if s.self.TargetClosed != before.TargetClosed {
		kind := NoticeTargetAvailable
		if s.self.TargetClosed {
			kind = NoticeTargetUnavailable
			s.rejectQueuedCalls(now)
		}
		s.addNotice(Notice{Kind: kind, Peer: t.last.InstanceID})
	}
}

// evacuate turns away the calls that wait for a target that takes no more work.
func (s *State) rejectQueuedCalls(now time.Time) {
	for {
		it, ok := s.gate.TakeAny()
		if !ok {
			return
		}
		s.handleGateRejection(now, s.calls[CallID(it.ID)], ReasonDraining)
	}
}
