package core

import "time"

const (
	// drainMargin is the part of a drain in which the last responses are written.
	drainMargin = 100 * time.Millisecond
	// targetAnswerMargin is how long before its attempt is given up a target stops work, so that
	// its own response still arrives.
	targetAnswerMargin = 200 * time.Millisecond
)

// startDrain starts the node's removal from the fleet. Its shards and idempotency records go
// to other nodes at once. Its target stays in use for TargetGrace, as the calls that are
// still accepted from callers keep the process running anyway.
func (s *State) startDrain(now time.Time, e *DrainRequested) {
	if s.self.Draining {
		return
	}
	if e.CallerGrace > 0 {
		s.acceptUntil = now.Add(e.CallerGrace)
	}
	if e.Limit > 0 {
		s.drainEnd = now.Add(e.Limit - drainMargin)
	}
	s.self.Draining = true
	s.targetOpenUntil = now.Add(e.TargetGrace)
	if e.TargetGrace > 0 {
		s.announce()
		s.syncAllPeers(now)
	} else {
		s.closeTarget(now)
	}
	s.releaseAllShards()
	s.handOverRecords()
	s.addNotice(Notice{Kind: NoticeDrainStarted})
}

// closeTarget stops sending calls to the target of a draining node.
func (s *State) closeTarget(now time.Time) {
	s.target.closedByDrain = true
	s.updateTarget(now)
}

// limitToDrain ends the time of a call that is sent to a target while the node drains before the
// process ends.
func (s *State) limitToDrain(c *call) {
	if !s.drainEnd.IsZero() {
		c.deadline = earlier(c.deadline, s.drainEnd.Add(-targetAnswerMargin))
	}
}

// endOfAttempt returns when an attempt of a call is given up: at its deadline, or at the end of
// the drain that limits it. A call from another node is given up by that node, so that the
// target's own response at the deadline is passed on if that node still waits for it.
func (s *State) endOfAttempt(c *call) time.Time {
	if c.origin == FromNode {
		return c.deadline.Add(targetAnswerMargin / 2)
	}
	if !s.drainEnd.IsZero() && c.deadline.Equal(s.drainEnd.Add(-targetAnswerMargin)) {
		return s.drainEnd
	}
	return c.deadline
}

// drainEndsFirst reports whether a call that a draining node is still to send would probably
// be cut off by the end of the process. Calls from callers are accepted early enough; this
// concerns the calls that targets make for them, retries and calls that waited for a token.
func (s *State) drainEndsFirst(now time.Time, c *call) bool {
	return !s.drainEnd.IsZero() && !s.acceptUntil.IsZero() && !now.Before(s.acceptUntil) && c.deadline.Sub(now) < c.objective
}
