package core

import (
	"cmp"
	"time"

	"celeryshelf/core/member"
)

// Heartbeat is the status that the local target reports.
type Heartbeat struct {
	InstanceID      string
	StartUnixMilli  int64  // start of the instance, in milliseconds since 1970
	Sequence        uint64 // increases with each heartbeat of an instance
	Draining        bool
	Slots           int           // number of calls that it runs concurrently
	WarmupRemaining time.Duration // time for which it will still be slow after its start
}

// newerThan reports whether h was sent after o.
func (h Heartbeat) newerThan(o Heartbeat) bool {
	return cmp.Or(cmp.Compare(h.StartUnixMilli, o.StartUnixMilli), cmp.Compare(h.Sequence, o.Sequence)) > 0
}

// targetState holds what is known of the local target.
type targetState struct {
	heartbeatsExpected bool // the target sends heartbeats
	last               Heartbeat
	heartbeatReceived  bool
	departed           bool // the instance of the last heartbeat has departed
	closedByDrain      bool // the node is draining and sends the target no more calls
	departures         departures
	// recalled is set once the departures that earlier processes of this node have stored
	// are known, or no heartbeat from before this process can arrive any more.
	recalled bool
	// evacuationsUnknown is set until a starting node knows which domains are evacuated, or has
	// waited for that long enough.
	evacuationsUnknown bool
}

// recallTimeout is how long after the start a heartbeat may still have been sent to an earlier
// process of the node. Without an answer of the store, the target is used after that time.
const recallTimeout = lateHeartbeatTime

// endRecall lets the target be used after its departures have been read from the store.
func (s *State) endRecall(now time.Time) {
	if s.target.recalled {
		return
	}
	s.target.recalled = true
	if s.target.heartbeatsExpected {
		s.updateTarget(now)
		s.saveDepartures(now)
	}
}

// expireRecall lets the target be used although the store has not been read. A heartbeat that
// has arrived up to now may have been overtaken by a departure that an earlier process has
// acknowledged, so that it takes another one.
func (s *State) expireRecall(now time.Time) {
	if s.target.recalled || now.Sub(s.started) < recallTimeout {
		return
	}
	s.target.last, s.target.heartbeatReceived, s.target.departed = Heartbeat{}, false, false
	s.endRecall(now)
}

// available reports whether the target may be given calls.
func (t *targetState) available() bool {
	return !t.closedByDrain && !t.evacuationsUnknown && (!t.heartbeatsExpected || t.recalled && t.heartbeatReceived && !t.departed)
}

// recallLeavingTarget applies what an earlier process of this node has announced to its peers.
func (s *State) recallLeavingTarget(now time.Time, m member.Member) {
	if m.TargetLeaving && m.TargetStartMilli != 0 {
		s.recallDeparture(now, Departure{StartUnixMilli: m.TargetStartMilli})
	}
}

// handleHeartbeat applies a heartbeat unless a later one has arrived. One of an instance that
// has departed does not make the target available.
func (s *State) handleHeartbeat(now time.Time, e *HeartbeatReceived) {
	t, h := &s.target, e.Heartbeat
	if !t.heartbeatReceived || h.newerThan(t.last) {
		t.departed = h.Draining || t.departures.includes(now, h)
		opens := s.self.TargetClosed || h.StartUnixMilli != t.last.StartUnixMilli || h.InstanceID != t.last.InstanceID
		t.last, t.heartbeatReceived = h, true
		s.observeHeartbeat(now, h, opens)
		s.updateTarget(now)
	}
	if h.Draining {
		s.recordDeparture(now, Departure{InstanceID: h.InstanceID, StartUnixMilli: h.StartUnixMilli}, e.Ack)
		return
	}
	s.acknowledge(e.Ack)
}

func (s *State) handleTargetDeregistered(now time.Time, e *TargetDeregistered) {
	t, d := &s.target, Departure{InstanceID: e.InstanceID}
	if !e.At.IsZero() {
		d.UnixMilli = e.At.UnixMilli()
	}
	if t.heartbeatReceived && t.last.InstanceID == e.InstanceID {
		d.StartUnixMilli = t.last.StartUnixMilli
		t.departed = true
		s.updateTarget(now)
	}
	s.recordDeparture(now, d, e.Ack)
}

// updateTarget updates routing, gate and peers if the target's part of the node's
// announcement has changed.
func (s *State) updateTarget(now time.Time) {
	before := s.self
	t := &s.target
	s.self.TargetClosed, s.self.Slots, s.self.TargetStartMilli = !t.available(), t.last.Slots, t.last.StartUnixMilli
	s.self.TargetLeaving, s.self.ColdFor = t.departed, s.coldAnnouncement(now)
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

// rejectQueuedCalls rejects the calls queued for a target that takes no more.
func (s *State) rejectQueuedCalls(now time.Time) {
	for {
		queued, ok := s.gate.TakeAny()
		if !ok {
			return
		}
		s.handleGateRejection(now, s.calls[CallID(queued.ID)], ReasonDraining)
	}
}
