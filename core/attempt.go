package core

import (
	"slices"
	"time"

	"celeryshelf/core/admit"
	"celeryshelf/core/quota"
	"celeryshelf/core/retry"
	"celeryshelf/core/route"
)

// maxAttempts limits the attempts of one call at one hop, including those that
// another node refused without running them.
const maxAttempts = 4

// dispatch starts the next attempt of a call at an endpoint other than the given one and
// those whose target has declined the call.
func (s *State) dispatch(now time.Time, c *call, exclude string) {
	s.limitToDrain(c)
	if s.drainEndsFirst(now, c) {
		s.refuse(now, c, ReasonDraining)
		return
	}
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

// chooseEndpoint selects the endpoint of the next attempt. Calls with an
// Idempotency-Key go to the first available endpoint in the key's rendezvous order, so
// that repeats reach the same node.
func (s *State) chooseEndpoint(now time.Time, c *call, exclude string) *route.Endpoint {
	if c.idempotencyKey.Hash == 0 {
		excluded := c.excluded
		if exclude != "" {
			excluded = append(excluded, exclude)
		}
		return s.pickEndpoint(now, c, excluded)
	}
	for _, e := range s.routes.RendezvousOrder(c.service, c.idempotencyKey.Hash) {
		if !e.Draining && !e.Unreachable && e.Name != exclude && !slices.Contains(c.excluded, e.Name) {
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
		AttemptEnd: s.endOfAttempt(c),
		Context: CallContext{
			Endpoint: c.endpoint.Name, Workspace: c.workspace, Route: c.route, EntryService: s.self.Service, Rank: c.rank,
			RetryBudget: c.lentRetries, Timeout: c.deadline.Sub(now).Truncate(time.Millisecond), AtMostOnce: c.atMostOnce, IdempotencyHash: c.idempotencyKey.Hash,
		},
	})
}

// offerLocal passes a call to the local target's gate. A call with an idempotency key
// is checked against the idempotency records first.
func (s *State) offerLocal(now time.Time, c *call) {
	if c.idempotencyKey.Hash != 0 && !s.admitFirstRun(now, c) {
		return
	}
	s.enterGate(now, c)
}

func (s *State) enterGate(now time.Time, c *call) {
	if s.evacuated(s.self.Domain) {
		s.handleGateRejection(now, c, ReasonDraining)
		return
	}
	offered := admit.Call{
		ID: uint64(c.id), Workspace: c.workspace, Weight: c.weight,
		Rank: c.rank, Deadline: c.deadline, ExpectedTime: s.expectedDuration(c.route),
	}
	s.estimateCost(now, c)
	decision, evicted := s.gate.Offer(now, offered)
	switch decision {
	case admit.Admitted:
		s.startRun(now, c)
	case admit.Queued:
		c.phase = phaseQueued
		s.trackWaiting(now, c)
	case admit.Refused:
		reason := s.gateRefusal(now)
		if s.gate.MissesDeadline(now, offered) {
			reason = ReasonDeadlineExceeded
		}
		s.handleGateRejection(now, c, reason)
	}
	if evicted.ID != 0 {
		s.handleGateRejection(now, s.calls[CallID(evicted.ID)], s.gateRefusal(now))
	}
}

// expectedDuration returns how long calls on a route usually take at the local
// target, or 0 without planned admission, when it is not measured. With planned
// admission it is at least 1 ns: only for a positive duration does the gate refuse a call
// early enough for the refusal to reach the sender before the deadline.
func (s *State) expectedDuration(route string) time.Duration {
	if !s.plannedAdmission {
		return 0
	}
	return max(time.Nanosecond, s.planning.costEstimator.HoldTime(route))
}

func (s *State) startRun(now time.Time, c *call) {
	c.phase, c.attemptStart = phaseRunning, now
	s.trackRunning(now, c)
	s.limitToDrain(c)
	c.endpoint.SetLoad(now, s.gate.Stats().LoadRatio())
	if s.plannedAdmission {
		s.planning.costEstimator.ObserveStart(now, c.route)
	}
	if c.requestID != "" {
		s.runningByRequestID[c.requestID] = c
	}
	s.emitVerdict(now, c, Verdict{
		Action: ActionRun, Endpoint: s.self.Name, Instance: s.target.last.InstanceID, AttemptEnd: s.endOfAttempt(c),
		Context: CallContext{EntryService: c.entryService, Workspace: c.workspace, Route: c.route, Rank: c.rank, AtMostOnce: c.atMostOnce, IdempotencyHash: c.idempotencyKey.Hash},
	})
}

// handleGateRejection handles a call that the local gate did not admit.
func (s *State) handleGateRejection(now time.Time, c *call, reason Reason) {
	c.endpoint.CallRejected(now)
	s.untrack(c)
	if c.idempotencyKey.Hash != 0 {
		s.dedup.Release(c.idempotencyKey)
	}
	c.level = s.upstreamLevel(c)
	s.observeAdmissionLevel(now, c)
	s.retryOrRefuse(now, c, CauseRejected, reason)
}

// admitQueued starts queued calls while the gate has capacity.
func (s *State) admitQueued(now time.Time) {
	for {
		queued, dropped, ok := s.gate.Next(now)
		if !ok {
			return
		}
		c := s.calls[CallID(queued.ID)]
		if dropped {
			s.handleGateRejection(now, c, ReasonDeadlineExceeded)
			continue
		}
		s.startRun(now, c)
	}
}

// retryOrRefuse retries a failed call if that is safe and within all limits, and
// otherwise refuses it.
func (s *State) retryOrRefuse(now time.Time, c *call, cause Cause, reason Reason) {
	if s.mayRetry(now, c, cause, reason) {
		s.dispatch(now, c, c.endpoint.Name)
		return
	}
	if cause == CauseTargetOverloaded {
		c.phase = phaseDelivering
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
		// The limit applies to calls that reach a target. An attempt that has not
		// reached one may be repeated outside the limit.
		reached := cause == CauseTargetOverloaded || c.executed != ExecutedNo
		return !reached || s.allowRetry(now, c)
	}
	if c.idempotencyKey.Hash != 0 && cause == CauseRejected {
		return false // the key's coordinator has refused the call
	}
	// A downstream hop that reports an admission level is shedding load. A call that it
	// rejected is refused here instead of being sent to it again.
	if c.level > 0 {
		return false
	}
	return c.budget.Spend()
}

// retryable reports whether another attempt of a call is safe and can succeed.
func (c *call) retryable(now time.Time, cause Cause, reason Reason) bool {
	switch {
	case c.origin == FromNode, !c.replayable, c.attempts >= maxAttempts:
		return false
	case c.atMostOnce && c.executed != ExecutedNo:
		return false
	case c.maxTargetAttempts > 0 && c.targetAttempts >= c.maxTargetAttempts:
		return false
	case cause == CauseTimeout, reason == ReasonDuplicate, !now.Before(c.deadline):
		return false
	default:
		return true
	}
}

// isRedirect reports whether a refusal means only that the call was sent to the
// wrong endpoint. Another attempt then costs no target any work.
func isRedirect(reason Reason) bool {
	return reason == ReasonDraining || reason == ReasonWrongTarget || reason == ReasonTargetCold
}

// handleAttemptFailed handles an attempt that produced no response.
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
	if e.Cause == CauseTargetOverloaded {
		c.excluded = append(c.excluded, c.endpoint.Name)
	}
	c.recordEndpointLoad(now, e.Load)
	s.recordWork(now, c, e.Load.Work)
	s.recordResult(now, c, e.Cause != CauseRejected)
	s.recordTargetReport(now, e.Report.Load)
	s.observeFailure(now, c, e)
	local := c.phase == phaseRunning
	if local {
		if e.Cause != CauseUnreachable {
			s.observeArrival(e.Cause == CauseTargetOverloaded && e.Executed == ExecutedNo)
		}
		s.gate.Complete(s.completion(now, c, e.Cause == CauseTargetOverloaded, false))
		c.level = s.upstreamLevel(c)
	}
	s.recordOutcome(now, c, e.Cause)
	c.budget.Return(c.lentRetries, e.UnspentRetries)
	c.lentRetries = 0
	s.observeAdmissionLevel(now, c)
	if local && c.idempotencyKey.Hash != 0 && e.Executed == ExecutedNo {
		s.dedup.Release(c.idempotencyKey)
	}
	s.retryOrRefuse(now, c, e.Cause, reasonForFailure(e))
	s.admitQueued(now)
}

// recordEndpointLoad stores the load reported at the end of a forwarded attempt.
func (c *call) recordEndpointLoad(now time.Time, l TargetLoad) {
	if l.Known && c.phase == phaseForwarded {
		c.endpoint.SetLoad(now, l.Utilization)
		c.endpoint.SetColdFor(c.attemptStart, l.ColdFor)
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

// recordOutcome adds the outcome of an attempt to the endpoint's statistics.
func (s *State) recordOutcome(now time.Time, c *call, cause Cause) {
	switch cause {
	case CauseRejected:
		c.endpoint.CallRejected(now)
	case CauseUnreachable:
		c.endpoint.ConnectFailed(now)
		if !c.endpoint.Local {
			s.setReachable(now, c.endpoint.Name, false)
		}
	case CauseConnectionLost:
		c.endpoint.ConnectionLost(now)
		s.probe(now, c.endpoint.Name)
	case CauseTargetOverloaded, CauseTimeout:
		c.endpoint.CallAnswered(now.Sub(c.attemptStart))
	}
}

func (s *State) completion(now time.Time, c *call, shed, succeeded bool) admit.Completion {
	total := now.Sub(c.attemptStart)
	s.trackEnd(now, c, total, succeeded)
	if s.plannedAdmission {
		s.planning.costEstimator.ObserveEnd(now, c.route, total, succeeded, c.childCalls)
	}
	blocked := c.blocked
	if c.openChildren > 0 {
		blocked += now.Sub(c.blockedSince)
	}
	return admit.Completion{TotalTime: total, OwnTime: max(0, total-blocked), Shed: shed, Succeeded: succeeded, Route: c.route, Started: c.attemptStart}
}

// observeAdmissionLevel stores the admission level reported downstream of a call that
// entered the fleet at this node.
func (s *State) observeAdmissionLevel(now time.Time, c *call) {
	if c.origin == FromCaller || c.origin == FromCallerOrTarget {
		s.levels.Observe(now, c.route, c.workspace, c.level)
	}
}

// handleCallFinished handles the end of a call whose response was passed on.
func (s *State) handleCallFinished(now time.Time, e *CallFinished) {
	c, ok := s.calls[e.Call]
	if !ok {
		return
	}
	c.level = max(c.level, e.Level)
	s.recordTargetReport(now, e.Report.Load)
	s.recordResult(now, c, e.Failed)
	s.observeResponse(now, c, e.Report)
	switch c.phase {
	case phaseRunning:
		s.observeArrival(false)
		s.gate.Complete(s.completion(now, c, e.Overloaded, e.Complete && !e.Failed))
		c.endpoint.CallAnswered(now.Sub(c.attemptStart))
		c.level = s.upstreamLevel(c)
		if c.idempotencyKey.Hash != 0 && e.Complete {
			s.dedup.SetStatus(now, c.idempotencyKey, retry.Answered, uint64(c.id))
		}
	case phaseForwarded:
		c.endpoint.CallAnswered(now.Sub(c.attemptStart))
		c.recordEndpointLoad(now, e.Load)
		s.recordWork(now, c, e.Load.Work)
		c.budget.Return(c.lentRetries, e.UnspentRetries)
	}
	s.observeAdmissionLevel(now, c)
	if c.reportsEnd {
		s.emitVerdict(now, c, Verdict{
			Action: ActionSettle, Level: c.level, UnspentRetries: c.budget.Remaining(),
		})
	}
	s.removeCall(now, c, e.Complete && !e.Failed && c.phase != phaseDelivering)
	s.admitQueued(now)
}

// handleCallCanceled handles a call that its sender has abandoned.
func (s *State) handleCallCanceled(now time.Time, e *CallCanceled) {
	c, ok := s.calls[e.Call]
	if !ok {
		return
	}
	switch c.phase {
	case phaseWaitingForTokens:
		s.tokenPool.CancelWait(c.workspace, uint64(c.id))
	case phaseWaitingForAcks:
		s.removeAckWait(c)
		s.dedup.Release(c.idempotencyKey)
		c.endpoint.CallCanceled()
	case phaseQueued:
		s.gate.Remove(uint64(c.id))
		s.untrack(c)
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

// reasonForDenial returns why a call of the workspace got no token.
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
