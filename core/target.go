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
	deregistered       bool
	// earlyDeregistrations holds the instances that deregistered before a heartbeat of theirs
	// had arrived, with the time of the deregistration.
	earlyDeregistrations map[string]time.Time
	closedByDrain        bool // the node is draining and sends the target no more calls
	// recalledLeaving is the start of the newest instance that an earlier process of this
	// node has announced as leaving, in Unix milliseconds, 0 if none is known.
	recalledLeaving int64
	// recalled is set once the store has been read, or cannot be read in time. Until then an
	// earlier process may have announced that the target leaves.
	recalled bool
}

// recallTimeout is how long a starting node waits for the store before it uses its target.
const recallTimeout = 1 * time.Second

// endRecall lets the target be used, whatever the store has told of it by now.
func (s *State) endRecall(now time.Time) {
	if s.target.recalled {
		return
	}
	s.target.recalled = true
	if s.target.heartbeatsExpected {
		s.updateTarget(now)
	}
}

// available reports whether the target may be given calls.
func (t *targetState) available() bool {
	return !t.closedByDrain && (!t.heartbeatsExpected || t.recalled && t.heartbeatReceived && !t.leaving())
}

// leaving reports whether the last instance that was heard of has announced that it leaves,
// or has deregistered.
func (t *targetState) leaving() bool {
	return t.deregistered || t.heartbeatReceived && (t.last.Draining || t.last.StartUnixMilli != 0 && t.last.StartUnixMilli <= t.recalledLeaving)
}

// recallLeavingTarget applies what an earlier process of this node has announced: an
// instance that was leaving gets no calls from this process either, even if a heartbeat
// that was overtaken says that it is ready.
func (s *State) recallLeavingTarget(now time.Time, m member.Member) {
	t := &s.target
	if !t.heartbeatsExpected || !m.TargetLeaving || m.TargetStartMilli <= t.recalledLeaving {
		return
	}
	t.recalledLeaving = m.TargetStartMilli
	s.updateTarget(now)
}

// handleHeartbeat ignores a heartbeat that arrives after a later one or after its
// instance has deregistered.
func (s *State) handleHeartbeat(now time.Time, h Heartbeat) {
	t := &s.target
	if t.heartbeatReceived && !h.newerThan(t.last) {
		return
	}
	if t.deregistered && h.StartUnixMilli == t.last.StartUnixMilli {
		return
	}
	if t.heartbeatReceived && h.StartUnixMilli == t.last.StartUnixMilli && t.last.Draining {
		h.Draining = true // a draining instance never becomes available again
	}
	t.last, t.heartbeatReceived = h, true
	at, early := t.earlyDeregistrations[h.InstanceID]
	t.deregistered = early && now.Sub(at) < lateHeartbeatTime
	s.updateTarget(now)
}

const (
	// lateHeartbeatTime is how long after an instance's deregistration a heartbeat counts as
	// one that was overtaken. The instance still serves for a while, so that another with
	// the same ID cannot have started.
	lateHeartbeatTime = 5 * time.Second
	// maxEarlyDeregistrations bounds the deregistrations that are remembered.
	maxEarlyDeregistrations = 16
)

func (s *State) handleTargetDeregistered(now time.Time, id string) {
	t := &s.target
	if !t.heartbeatReceived || t.last.InstanceID != id {
		if t.earlyDeregistrations == nil || len(t.earlyDeregistrations) >= maxEarlyDeregistrations {
			t.earlyDeregistrations = map[string]time.Time{}
		}
		t.earlyDeregistrations[id] = now
		return
	}
	if t.deregistered {
		return
	}
	t.deregistered = true
	s.updateTarget(now)
}

// updateTarget updates routing, gate and peers if the target's part of the node's
// announcement has changed.
func (s *State) updateTarget(now time.Time) {
	before := s.self
	t := &s.target
	s.self.TargetClosed, s.self.Slots, s.self.TargetStartMilli = !t.available(), t.last.Slots, t.last.StartUnixMilli
	s.self.TargetLeaving = t.leaving()
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
