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
func (s *State) dispatch(now time.Time, c *call, without string) {
	e := s.choose(now, c, without)
	if e == nil {
		s.refuse(now, c, ReasonNoEndpoint)
		return
	}
	c.endpoint, c.began = e, now
	c.attempts++
	e.CallStarted()
	if e.Local {
		s.offer(now, c)
		return
	}
	s.forward(now, c)
}

// choose picks the endpoint of the next attempt. Calls under an Idempotency-Key
// go to the first endpoint in the key's order, so that repeats meet there.
func (s *State) choose(now time.Time, c *call, without string) *route.Endpoint {
	if c.identity.Hash == 0 {
		return s.routes.Pick(now, c.service, hashUint64(uint64(c.id)), without)
	}
	for _, e := range s.routes.RendezvousOrder(c.service, c.identity.Hash) {
		if !e.Draining && !e.Unreachable && e.Name != without {
			return e
		}
	}
	return nil
}

func (s *State) forward(now time.Time, c *call) {
	c.phase = forwarding
	c.lent = c.budget.Lend()
	s.decide(now, c, Verdict{
		Action: ActionForward, Endpoint: c.endpoint.Name, Address: c.endpoint.NodeAddr,
		Deadline: c.deadline,
		Context: CallContext{
			Endpoint: c.endpoint.Name, Workspace: c.workspace, Route: c.route, EntryService: s.self.Service, Rank: c.rank,
			RetryBudget: c.lent, Timeout: c.deadline.Sub(now).Truncate(time.Millisecond), Once: c.once, IdempotencyKey: c.identity.Hash,
		},
	})
}

// offer brings a call to the local target's gate, by way of the ledger if its
// repeats must not run.
func (s *State) offer(now time.Time, c *call) {
	if c.identity.Hash != 0 && !s.consult(now, c) {
		return
	}
	s.enter(now, c)
}

func (s *State) enter(now time.Time, c *call) {
	item := admit.Call{
		ID: uint64(c.id), Workspace: c.workspace, Weight: c.weight,
		Rank: c.rank, Deadline: c.deadline, ExpectedTime: s.need(c.route),
	}
	decision, evicted := s.gate.Offer(now, item)
	switch decision {
	case admit.Admitted:
		s.run(now, c)
	case admit.Queued:
		c.phase = queued
	case admit.Refused:
		why := ReasonOverloaded
		if s.gate.MissesDeadline(now, item) {
			why = ReasonDeadlineExceeded
		}
		s.turnAway(now, c, why)
	}
	if evicted.ID != 0 {
		s.turnAway(now, s.calls[CallID(evicted.ID)], ReasonOverloaded)
	}
}

// need returns how long calls on a route usually take at the local target.
func (s *State) need(route string) time.Duration {
	if !s.plannedAdmission {
		return 0
	}
	return max(time.Nanosecond, s.planning.learner.HoldTime(route))
}

func (s *State) run(now time.Time, c *call) {
	c.phase, c.began = running, now
	c.endpoint.SetLoad(now, s.gate.Stats().LoadRatio())
	if s.plannedAdmission {
		s.planning.learner.ObserveStart(now, c.route)
	}
	if c.name != "" {
		s.runningByRequestID[c.name] = c
	}
	s.decide(now, c, Verdict{
		Action: ActionRun, Endpoint: s.self.Name, Instance: s.target.last.InstanceID, Deadline: c.deadline,
		Context: CallContext{EntryService: c.from, Workspace: c.workspace, Route: c.route, Rank: c.rank, Once: c.once, IdempotencyKey: c.identity.Hash},
	})
}

// turnAway handles a call that the local gate does not let in.
func (s *State) turnAway(now time.Time, c *call, why Reason) {
	c.endpoint.CallRejected(now)
	if c.identity.Hash != 0 {
		s.dedup.Release(c.identity)
	}
	c.level = s.reported(c)
	s.learn(now, c)
	s.again(now, c, CauseRejected, why)
}

// pump lets in the calls that wait at the gate, as far as there is room.
func (s *State) pump(now time.Time) {
	for {
		it, dropped, ok := s.gate.Next(now)
		if !ok {
			return
		}
		c := s.calls[CallID(it.ID)]
		if dropped {
			s.turnAway(now, c, ReasonDeadlineExceeded)
			continue
		}
		s.run(now, c)
	}
}

// again makes another attempt of a failed call if that is safe and within every
// bound, and refuses the call otherwise.
func (s *State) again(now time.Time, c *call, cause Cause, why Reason) {
	if s.mayRepeat(now, c, cause, why) {
		s.dispatch(now, c, c.endpoint.Name)
		return
	}
	if cause == CauseTargetOverloaded {
		c.phase = judged
		s.decide(now, c, Verdict{Action: ActionDeliver})
		return
	}
	s.refuse(now, c, why)
}

func (s *State) mayRepeat(now time.Time, c *call, cause Cause, why Reason) bool {
	if !c.repeatable(now, cause, why) {
		return false
	}
	if redirects(why) {
		return true
	}
	if s.plannedAdmission {
		// Where nothing has arrived at a target, another attempt is none of the
		// arrivals that are bounded.
		reached := cause == CauseTargetOverloaded || c.ran != ExecutedNo
		return !reached || s.retryLimiter.Allow(now, c.service, c.parent != 0)
	}
	if c.identity.Hash != 0 && cause == CauseRejected {
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
func (c *call) repeatable(now time.Time, cause Cause, why Reason) bool {
	switch {
	case c.origin == FromNode, !c.repeat, c.attempts >= maxAttempts:
		return false
	case c.once && c.ran != ExecutedNo:
		return false
	case c.allowed > 0 && c.arrived >= c.allowed:
		return false
	case cause == CauseTimeout, why == ReasonDuplicate, !now.Before(c.deadline):
		return false
	default:
		return true
	}
}

// redirects reports whether a refusal says no more than that the call came to
// the wrong place. Following it costs no target any work.
func redirects(why Reason) bool { return why == ReasonDraining || why == ReasonWrongTarget }

// fail takes in an attempt that brought no answer.
func (s *State) fail(now time.Time, e *AttemptFailed) {
	c, ok := s.calls[e.Call]
	if !ok {
		return
	}
	c.level = max(c.level, e.Level)
	c.ran = max(c.ran, e.Executed)
	if e.Executed != ExecutedNo || e.Cause == CauseTargetOverloaded {
		c.arrived++
	}
	c.loaded(now, e.Load)
	local := c.phase == running
	if local {
		s.gate.Complete(s.completion(now, c, e.Cause == CauseTargetOverloaded, false))
		c.level = s.reported(c)
	}
	s.judge(now, c, e.Cause)
	c.budget.Return(c.lent, e.UnspentRetries)
	c.lent = 0
	s.learn(now, c)
	if local && c.identity.Hash != 0 && e.Executed == ExecutedNo {
		s.dedup.Release(c.identity)
	}
	s.again(now, c, e.Cause, failReason(e))
	s.pump(now)
}

// loaded remembers the load that came with the end of an attempt.
func (c *call) loaded(now time.Time, l TargetLoad) {
	if l.Known && c.phase == forwarding {
		c.endpoint.SetLoad(now, l.Utilization)
	}
}

func failReason(e *AttemptFailed) Reason {
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
func (s *State) judge(now time.Time, c *call, cause Cause) {
	switch cause {
	case CauseRejected:
		c.endpoint.CallRejected(now)
	case CauseUnreachable:
		c.endpoint.ConnectFailed(now)
	case CauseConnectionLost:
		c.endpoint.ConnectionLost(now)
		s.probe(now, c.endpoint.Name)
	case CauseTargetOverloaded, CauseTimeout:
		c.endpoint.CallAnswered(now.Sub(c.began))
	}
}

func (s *State) completion(now time.Time, c *call, shed, well bool) admit.Completion {
	total := now.Sub(c.began)
	if s.plannedAdmission {
		s.planning.learner.ObserveEnd(now, c.route, total, well, c.made)
	}
	blocked := c.blocked
	if c.open > 0 {
		blocked += now.Sub(c.idle)
	}
	return admit.Completion{TotalTime: total, OwnTime: max(0, total-blocked), Shed: shed, Succeeded: well, Route: c.route, Started: c.began}
}

// learn remembers the level reported below a call that entered the graph here.
func (s *State) learn(now time.Time, c *call) {
	if c.origin == FromCaller || c.origin == FromCallerOrTarget {
		s.levels.Observe(now, c.route, c.workspace, c.level)
	}
}

// finish takes in the end of a call whose answer was passed on.
func (s *State) finish(now time.Time, e *CallFinished) {
	c, ok := s.calls[e.Call]
	if !ok {
		return
	}
	c.level = max(c.level, e.Level)
	switch c.phase {
	case running:
		s.gate.Complete(s.completion(now, c, e.Overloaded, e.Complete && !e.Failed))
		c.endpoint.CallAnswered(now.Sub(c.began))
		c.level = s.reported(c)
		if c.identity.Hash != 0 && e.Complete {
			s.dedup.SetStatus(now, c.identity, retry.Answered, uint64(c.id))
		}
	case forwarding:
		c.endpoint.CallAnswered(now.Sub(c.began))
		c.loaded(now, e.Load)
		c.budget.Return(c.lent, e.UnspentRetries)
	}
	s.learn(now, c)
	if c.settles {
		s.decide(now, c, Verdict{
			Action: ActionSettle, Level: c.level, UnspentRetries: c.budget.Remaining(),
		})
	}
	s.end(now, c, e.Complete && !e.Failed)
	s.pump(now)
}

// cancel takes in that a call's sender has gone.
func (s *State) cancel(now time.Time, e *CallCanceled) {
	c, ok := s.calls[e.Call]
	if !ok {
		return
	}
	switch c.phase {
	case waitingQuota:
		s.tokenPool.CancelWait(c.workspace, uint64(c.id))
	case waitingRecord:
		s.unlist(c)
		s.dedup.Release(c.identity)
		c.endpoint.CallCanceled()
	case queued:
		s.gate.Remove(uint64(c.id))
		s.dedup.Release(c.identity)
		c.endpoint.CallCanceled()
	case running:
		s.gate.Complete(s.completion(now, c, false, false))
		c.endpoint.CallCanceled()
	case forwarding:
		c.endpoint.CallCanceled()
	}
	s.end(now, c, false)
	s.pump(now)
}

// denial tells why a workspace's call got no token.
func (s *State) denial(workspace string) Reason {
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
