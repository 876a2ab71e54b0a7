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
func (h Heartbeat) newer(o Heartbeat) bool {
	return cmp.Or(cmp.Compare(h.StartUnixMilli, o.StartUnixMilli), cmp.Compare(h.Sequence, o.Sequence)) > 0
}

// targetState is what is known of the local target.
type targetState struct {
	announced bool // it sends heartbeats
	last      Heartbeat
	heard     bool
	gone      bool
	left      bool // its node is leaving and gives it no more work
}

// open reports whether the target may be given work.
func (t *targetState) open() bool {
	return !t.left && (!t.announced || t.heard && !t.gone && !t.last.Draining)
}

// targetSeen takes in a heartbeat. One that was overtaken by a later one, or by
// the end of its incarnation, changes nothing.
func (s *State) targetSeen(now time.Time, h Heartbeat) {
	t := &s.target
	if t.heard && !h.newer(t.last) {
		return
	}
	if t.gone && h.StartUnixMilli == t.last.StartUnixMilli {
		return
	}
	if t.heard && h.StartUnixMilli == t.last.StartUnixMilli && t.last.Draining {
		h.Draining = true // an incarnation that leaves does not come back
	}
	t.last, t.heard, t.gone = h, true, false
	s.targetChanged(now)
}

func (s *State) targetGone(now time.Time, id string) {
	t := &s.target
	if !t.heard || t.last.InstanceID != id || t.gone {
		return
	}
	t.gone = true
	s.targetChanged(now)
}

// targetChanged tells routing, gate and peers when the target's part of the
// node's announcement is different.
func (s *State) targetChanged(now time.Time) {
	before := s.self
	t := &s.target
	s.self.TargetClosed, s.self.Slots, s.self.TargetStartMilli = !t.open(), t.last.Slots, t.last.StartUnixMilli
	if s.self == before {
		return
	}
	s.gate.SetSlots(s.self.Slots)
	s.routes.Put(now, s.endpoint(s.self, false), false)
	s.announce()
	if t.left {
		s.syncAllPeers(now)
	} else {
		s.syncRandomPeers(now, changeFanout)
	}
	if s.self.TargetClosed != before.TargetClosed {
		kind := NoticeTargetAvailable
		if s.self.TargetClosed {
			kind = NoticeTargetUnavailable
			s.evacuate(now)
		}
		s.addNotice(Notice{Kind: kind, Peer: t.last.InstanceID})
	}
}

// evacuate turns away the calls that wait for a target that takes no more work.
func (s *State) evacuate(now time.Time) {
	for {
		it, ok := s.gate.TakeAny()
		if !ok {
			return
		}
		s.turnAway(now, s.calls[CallID(it.ID)], ReasonDraining)
	}
}
