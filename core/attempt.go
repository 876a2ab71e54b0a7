package core

import (
	"time"

	"celeryshelf/core/admit"
	"celeryshelf/core/quota"
	"celeryshelf/core/retry"
	"celeryshelf/core/route"
)

// maxAttempts bounds the attempts of one call at one hop, those that another
// node turned away without running them included.
const maxAttempts = 4

// dispatch sends a call on its next attempt.
func (s *State) dispatch(now time.Time, c *call, exclude string) {
	e := s.chooseEndpoint(now, c, exclude)
	if e == nil {
		s.refuse(now, c, ReasonNoEndpoint)
		return
	}
	c.endpoint, c.attemptStart = e, now
	c.attempts++
	e.CallStarted()
	if e.Local {
		s.offerLocal(now, c)
		return
	}
	s.forward(now, c)
}

// choose picks the endpoint of the next attempt. Calls under an Idempotency-Key
// go to the first endpoint in the key's order, so that repeats meet there.
func (s *State) chooseEndpoint(now time.Time, c *call, exclude string) *route.Endpoint {
	if c.idempotencyKey.Hash == 0 {
		return s.routes.Pick(now, c.service, hashUint64(uint64(c.id)), exclude)
	}
	for _, e := range s.routes.RendezvousOrder(c.service, c.idempotencyKey.Hash) {
		if !e.Draining && !e.Unreachable && e.Name != exclude {
			return e
		}
	}
	return nil
}

func (s *State) forward(now time.Time, c *call) {
	c.phase = phaseForwarded
	c.lentRetries = c.budget.Lend()
	s.emitVerdict(now, c, Verdict{
		Action: ActionForward, Endpoint: c.endpoint.Name, Address: c.endpoint.NodeAddr,
		Deadline: c.deadline,
		Context: CallContext{
			Endpoint: c.endpoint.Name, Workspace: c.workspace, Route: c.route, EntryService: s.self.Service, Rank: c.rank,
			RetryBudget: c.lentRetries, Timeout: c.deadline.Sub(now).Truncate(time.Millisecond), Once: c.once, IdempotencyKey: c.idempotencyKey.Hash,
		},
	})
}

// offer brings a call to the local target's gate, by way of the ledger if its
// repeats must not run.
func (s *State) offerLocal(now time.Time, c *call) {
	if c.idempotencyKey.Hash != 0 && !s.admitFirstRun(now, c) {
		return
	}
	s.enterGate(now, c)
}

func (s *State) enterGate(now time.Time, c *call) {
	item := admit.Call{
		ID: uint64(c.id), Workspace: c.workspace, Weight: c.weight,
		Rank: c.rank, Deadline: c.deadline, ExpectedTime: s.expectedDuration(c.route),
	}
	decision, evicted := s.gate.Offer(now, item)
	switch decision {
	case admit.Admitted:
		s.startRun(now, c)
	case admit.Queued:
		c.phase = phaseQueued
	case admit.Refused:
		reason := ReasonOverloaded
		if s.gate.MissesDeadline(now, item) {
			reason = ReasonDeadlineExceeded
		}
		s.handleGateRejection(now, c, reason)
	}
	if evicted.ID != 0 {
		s.handleGateRejection(now, s.calls[CallID(evicted.ID)], ReasonOverloaded)
	}
}

// need returns how long calls on a route usually take at the local target.
func (s *State) expectedDuration(route string) time.Duration {
	if !s.plannedAdmission {
		return 0
	}
	return max(time.Nanosecond, s.planning.learner.HoldTime(route))
}

func (s *State) startRun(now time.Time, c *call) {
	c.phase, c.attemptStart = phaseRunning, now
	c.endpoint.SetLoad(now, s.gate.Stats().LoadRatio())
	if s.plannedAdmission {
		s.planning.learner.ObserveStart(now, c.route)
	}
	if c.requestID != "" {
		s.runningByRequestID[c.requestID] = c
	}
	s.emitVerdict(now, c, Verdict{
		Action: ActionRun, Endpoint: s.self.Name, Instance: s.target.last.InstanceID, Deadline: c.deadline,
		Context: CallContext{EntryService: c.entryService, Workspace: c.workspace, Route: c.route, Rank: c.rank, Once: c.once, IdempotencyKey: c.idempotencyKey.Hash},
	})
}

// turnAway handles a call that the local gate does not let in.
func (s *State) handleGateRejection(now time.Time, c *call, reason Reason) {
	c.endpoint.CallRejected(now)
	if c.idempotencyKey.Hash != 0 {
		s.dedup.Release(c.idempotencyKey)
	}
	c.level = s.upstreamLevel(c)
	s.learnAdmissionLevel(now, c)
	s.retryOrRefuse(now, c, CauseRejected, reason)
}

// pump lets in the calls that wait at the gate, as far as there is room.
func (s *State) admitQueued(now time.Time) {
	for {
		it, dropped, ok := s.gate.Next(now)
		if !ok {
			return
		}
		c := s.calls[CallID(it.ID)]
		if dropped {
			s.handleGateRejection(now, c, ReasonDeadlineExceeded)
			continue
		}
		s.startRun(now, c)
	}
}

// again makes another attempt of a failed call if that is safe and within every
// bound, and refuses the call otherwise.
func (s *State) retryOrRefuse(now time.Time, c *call, cause Cause, reason Reason) {
	if s.mayRetry(now, c, cause, reason) {
		s.dispatch(now, c, c.endpoint.Name)
		return
	}
	if cause == CauseTargetOverloaded {
		c.phase = phaseDecided
		s.emitVerdict(now, c, Verdict{Action: ActionDeliver})
		return
	}
	s.refuse(now, c, reason)
}

func (s *State) mayRetry(now time.Time, c *call, cause Cause, reason Reason) bool {
	if !c.retryable(now, cause, reason) {
		return false
	}
	if isRedirect(reason) {
		return true
	}
	if s.plannedAdmission {
		// Where nothing has arrived at a target, another attempt is none of the
		// arrivals that are bounded.
		reached := cause == CauseTargetOverloaded || c.executed != ExecutedNo
		return !reached || s.retryLimiter.Allow(now, c.service, c.parent != 0)
	}
	if c.idempotencyKey.Hash != 0 && cause == CauseRejected {
		return false // the identity's home has spoken
	}
	// A hop that reports a level is shedding: what it turned away is refused
	// here rather than carried to it again.
	if c.level > 0 {
		return false
	}
	return c.budget.Spend()
}

// repeatable reports whether another attempt of a call is safe and of any use.
func (c *call) retryable(now time.Time, cause Cause, reason Reason) bool {
	switch {
	case c.origin == FromNode, !c.replayable, c.attempts >= maxAttempts:
		return false
	case c.once && c.executed != ExecutedNo:
		return false
	case c.maxTargetAttempts > 0 && c.targetAttempts >= c.maxTargetAttempts:
		return false
	case cause == CauseTimeout, reason == ReasonDuplicate, !now.Before(c.deadline):
		return false
	default:
		return true
	}
}

// redirects reports whether a refusal says no more than that the call came to
// the wrong place. Following it costs no target any work.
func isRedirect(reason Reason) bool { return reason == ReasonDraining || reason == ReasonWrongTarget }

// fail takes in an attempt that brought no answer.
func (s *State) handleAttemptFailed(now time.Time, e *AttemptFailed) {
	c, ok := s.calls[e.Call]
	if !ok {
		return
	}
	c.level = max(c.level, e.Level)
	c.executed = max(c.executed, e.Executed)
	if e.Executed != ExecutedNo || e.Cause == CauseTargetOverloaded {
		c.targetAttempts++
	}
	c.recordEndpointLoad(now, e.Load)
	local := c.phase == phaseRunning
	if local {
		s.gate.Complete(s.completion(now, c, e.Cause == CauseTargetOverloaded, false))
		c.level = s.upstreamLevel(c)
	}
	s.recordOutcome(now, c, e.Cause)
	c.budget.Return(c.lentRetries, e.UnspentRetries)
	c.lentRetries = 0
	s.learnAdmissionLevel(now, c)
	if local && c.idempotencyKey.Hash != 0 && e.Executed == ExecutedNo {
		s.dedup.Release(c.idempotencyKey)
	}
	s.retryOrRefuse(now, c, e.Cause, reasonForFailure(e))
	s.admitQueued(now)
}

// loaded remembers the load that came with the end of an attempt.
func (c *call) recordEndpointLoad(now time.Time, l TargetLoad) {
	if l.Known && c.phase == phaseForwarded {
		c.endpoint.SetLoad(now, l.Utilization)
	}
}

func reasonForFailure(e *AttemptFailed) Reason {
	switch {
	case e.Cause == CauseRejected && e.Reason != ReasonNone:
		return e.Reason
	case e.Cause == CauseTimeout:
		return ReasonDeadlineExceeded
	default:
		return ReasonAttemptFailed
	}
}

// judge tells the endpoint's record how an attempt went.
func (s *State) recordOutcome(now time.Time, c *call, cause Cause) {
	switch cause {
	case CauseRejected:
		c.endpoint.CallRejected(now)
	case CauseUnreachable:
		c.endpoint.ConnectFailed(now)
	case CauseConnectionLost:
		c.endpoint.ConnectionLost(now)
		s.probe(now, c.endpoint.Name)
	case CauseTargetOverloaded, CauseTimeout:
		c.endpoint.CallAnswered(now.Sub(c.attemptStart))
	}
}

func (s *State) completion(now time.Time, c *call, shed, succeeded bool) admit.Completion {
	total := now.Sub(c.attemptStart)
	if s.plannedAdmission {
		s.planning.learner.ObserveEnd(now, c.route, total, succeeded, c.childCalls)
	}
	blocked := c.blocked
	if c.openChildren > 0 {
		blocked += now.Sub(c.blockedSince)
	}
	return admit.Completion{TotalTime: total, OwnTime: max(0, total-blocked), Shed: shed, Succeeded: succeeded, Route: c.route, Started: c.attemptStart}
}

// learn remembers the level reported below a call that entered the graph here.
func (s *State) learnAdmissionLevel(now time.Time, c *call) {
	if c.origin == FromCaller || c.origin == FromCallerOrTarget {
		s.levels.Observe(now, c.route, c.workspace, c.level)
	}
}

// finish takes in the end of a call whose answer was passed on.
func (s *State) handleCallFinished(now time.Time, e *CallFinished) {
	c, ok := s.calls[e.Call]
	if !ok {
		return
	}
	c.level = max(c.level, e.Level)
	switch c.phase {
	case phaseRunning:
		s.gate.Complete(s.completion(now, c, e.Overloaded, e.Complete && !e.Failed))
		c.endpoint.CallAnswered(now.Sub(c.attemptStart))
		c.level = s.upstreamLevel(c)
		if c.idempotencyKey.Hash != 0 && e.Complete {
			s.dedup.SetStatus(now, c.idempotencyKey, retry.Answered, uint64(c.id))
		}
	case phaseForwarded:
		c.endpoint.CallAnswered(now.Sub(c.attemptStart))
		c.recordEndpointLoad(now, e.Load)
		c.budget.Return(c.lentRetries, e.UnspentRetries)
	}
	s.learnAdmissionLevel(now, c)
	if c.reportsEnd {
		s.emitVerdict(now, c, Verdict{
			Action: ActionSettle, Level: c.level, UnspentRetries: c.budget.Remaining(),
		})
	}
	s.removeCall(now, c, e.Complete && !e.Failed)
	s.admitQueued(now)
}

// cancel takes in that a call's sender has gone.
func (s *State) handleCallCanceled(now time.Time, e *CallCanceled) {
	c, ok := s.calls[e.Call]
	if !ok {
		return
	}
	switch c.phase {
	case phaseWaitingForTokens:
		s.tokenPool.CancelWait(c.workspace, uint64(c.id))
	case phaseWaitingForRecord:
		s.removeRecordWait(c)
		s.dedup.Release(c.idempotencyKey)
		c.endpoint.CallCanceled()
	case phaseQueued:
		s.gate.Remove(uint64(c.id))
		s.dedup.Release(c.idempotencyKey)
		c.endpoint.CallCanceled()
	case phaseRunning:
		s.gate.Complete(s.completion(now, c, false, false))
		c.endpoint.CallCanceled()
	case phaseForwarded:
		c.endpoint.CallCanceled()
	}
	s.removeCall(now, c, false)
	s.admitQueued(now)
}

// denial tells why a workspace's call got no token.
func (s *State) reasonForDenial(workspace string) Reason {
	w := s.manifest.workspaces[workspace]
	if w == nil {
		return ReasonUnknownKey
	}
	n := allowanceOf(w).ShardCount()
	for i := range n {
		if _, owned := s.ownerOf(quota.Shard{Workspace: workspace, Index: i, Count: n}); owned {
			return ReasonOverQuota
		}
	}
	return ReasonQuotaUnavailable
}
