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
		s.refuse(now, c, NoEndpoint)
		return
	}
	c.endpoint, c.began = e, now
	c.attempts++
	e.Begin()
	if e.Local {
		s.offer(now, c)
		return
	}
	s.forward(now, c)
}

// choose picks the endpoint of the next attempt. Calls under an Idempotency-Key
// go to the first endpoint in the key's order, so that repeats meet there.
func (s *State) choose(now time.Time, c *call, without string) *route.Endpoint {
	if c.identity.Key == 0 {
		return s.routes.Pick(now, c.service, spreadBits(uint64(c.id)), without)
	}
	for _, e := range s.routes.Ranked(c.service, c.identity.Key) {
		if !e.Draining && !e.Silent && e.Name != without {
			return e
		}
	}
	return nil
}

func (s *State) forward(now time.Time, c *call) {
	c.phase = forwarding
	c.lent = c.budget.Lend()
	s.decide(now, c, Verdict{
		Action: Forward, Endpoint: c.endpoint.Name, Address: c.endpoint.Node,
		Deadline: c.deadline,
		Pass: Pass{
			Target: c.endpoint.Name, Workspace: c.workspace, Route: c.route, From: s.self.Service, Rank: c.rank,
			Budget: c.lent, Timeout: c.deadline.Sub(now).Truncate(time.Millisecond), Once: c.once, Repeat: c.identity.Key,
		},
	})
}

// offer brings a call to the local target's gate, by way of the ledger if its
// repeats must not run.
func (s *State) offer(now time.Time, c *call) {
	if c.identity.Key != 0 && !s.consult(now, c) {
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
		why := Overloaded
		if s.gate.MissesDeadline(now, item) {
			why = DeadlinePassed
		}
		s.turnAway(now, c, why)
	}
	if evicted.ID != 0 {
		s.turnAway(now, s.calls[CallID(evicted.ID)], Overloaded)
	}
}

// need returns how long calls on a route usually take at the local target.
func (s *State) need(route string) time.Duration {
	if !s.plans {
		return 0
	}
	return max(time.Nanosecond, s.planning.learner.HoldTime(route))
}

func (s *State) run(now time.Time, c *call) {
	c.phase, c.began = running, now
	c.endpoint.Loaded(now, s.gate.Stats().LoadRatio())
	if s.plans {
		s.planning.learner.ObserveStart(now, c.route)
	}
	if c.name != "" {
		s.named[c.name] = c
	}
	s.decide(now, c, Verdict{
		Action: Run, Endpoint: s.self.Name, Instance: s.target.last.ID, Deadline: c.deadline,
		Pass: Pass{From: c.from, Workspace: c.workspace, Route: c.route, Rank: c.rank, Once: c.once, Repeat: c.identity.Key},
	})
}

// turnAway handles a call that the local gate does not let in.
func (s *State) turnAway(now time.Time, c *call, why Reason) {
	c.endpoint.Rejected(now)
	if c.identity.Key != 0 {
		s.ledger.Release(c.identity)
	}
	c.level = s.reported(c)
	s.learn(now, c)
	s.again(now, c, Rejected, why)
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
			s.turnAway(now, c, DeadlinePassed)
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
	if cause == Shed {
		c.phase = judged
		s.decide(now, c, Verdict{Action: Deliver})
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
	if s.plans {
		// Where nothing has arrived at a target, another attempt is none of the
		// arrivals that are bounded.
		reached := cause == Shed || c.ran != RanNo
		return !reached || s.allowance.Spend(now, c.service, c.parent != 0)
	}
	if c.identity.Key != 0 && cause == Rejected {
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
	case c.once && c.ran != RanNo:
		return false
	case c.allowed > 0 && c.arrived >= c.allowed:
		return false
	case cause == TimedOut, why == Duplicate, !now.Before(c.deadline):
		return false
	default:
		return true
	}
}

// redirects reports whether a refusal says no more than that the call came to
// the wrong place. Following it costs no target any work.
func redirects(why Reason) bool { return why == Draining || why == WrongTarget }

// fail takes in an attempt that brought no answer.
func (s *State) fail(now time.Time, e *Fail) {
	c, ok := s.calls[e.Call]
	if !ok {
		return
	}
	c.level = max(c.level, e.Level)
	c.ran = max(c.ran, e.Ran)
	if e.Ran != RanNo || e.Cause == Shed {
		c.arrived++
	}
	c.loaded(now, e.Load)
	local := c.phase == running
	if local {
		s.gate.Complete(s.completion(now, c, e.Cause == Shed, false))
		c.level = s.reported(c)
	}
	s.judge(now, c, e.Cause)
	c.budget.Return(c.lent, e.Unspent)
	c.lent = 0
	s.learn(now, c)
	if local && c.identity.Key != 0 && e.Ran == RanNo {
		s.ledger.Release(c.identity)
	}
	s.again(now, c, e.Cause, failReason(e))
	s.pump(now)
}

// loaded remembers the load that came with the end of an attempt.
func (c *call) loaded(now time.Time, l Load) {
	if l.Told && c.phase == forwarding {
		c.endpoint.Loaded(now, l.Share)
	}
}

func failReason(e *Fail) Reason {
	switch {
	case e.Cause == Rejected && e.Reason != NoReason:
		return e.Reason
	case e.Cause == TimedOut:
		return DeadlinePassed
	default:
		return AttemptFailed
	}
}

// judge tells the endpoint's record how an attempt went.
func (s *State) judge(now time.Time, c *call, cause Cause) {
	switch cause {
	case Rejected:
		c.endpoint.Rejected(now)
	case Unreachable:
		c.endpoint.Failed(now)
	case Broken:
		c.endpoint.Broken(now)
		s.probe(now, c.endpoint.Name)
	case Shed, TimedOut:
		c.endpoint.Answered(now.Sub(c.began))
	}
}

func (s *State) completion(now time.Time, c *call, shed, well bool) admit.Completion {
	total := now.Sub(c.began)
	if s.plans {
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
	if c.origin == FromCaller || c.origin == FromEither {
		s.levels.Learn(now, c.route, c.workspace, c.level)
	}
}

// finish takes in the end of a call whose answer was passed on.
func (s *State) finish(now time.Time, e *Finish) {
	c, ok := s.calls[e.Call]
	if !ok {
		return
	}
	c.level = max(c.level, e.Level)
	switch c.phase {
	case running:
		s.gate.Complete(s.completion(now, c, e.Shed, e.Whole && !e.Failed))
		c.endpoint.Answered(now.Sub(c.began))
		c.level = s.reported(c)
		if c.identity.Key != 0 && e.Whole {
			s.ledger.Set(now, c.identity, retry.Answered, uint64(c.id))
		}
	case forwarding:
		c.endpoint.Answered(now.Sub(c.began))
		c.loaded(now, e.Load)
		c.budget.Return(c.lent, e.Unspent)
	}
	s.learn(now, c)
	if c.settles {
		s.decide(now, c, Verdict{
			Action: Settle, Level: c.level, Unspent: c.budget.Left(),
		})
	}
	s.end(now, c, e.Whole && !e.Failed)
	s.pump(now)
}

// cancel takes in that a call's sender has gone.
func (s *State) cancel(now time.Time, e *Cancel) {
	c, ok := s.calls[e.Call]
	if !ok {
		return
	}
	switch c.phase {
	case waitingQuota:
		s.holder.Forget(c.workspace, uint64(c.id))
	case waitingRecord:
		s.unlist(c)
		s.ledger.Release(c.identity)
		c.endpoint.Canceled()
	case queued:
		s.gate.Remove(uint64(c.id))
		s.ledger.Release(c.identity)
		c.endpoint.Canceled()
	case running:
		s.gate.Complete(s.completion(now, c, false, false))
		c.endpoint.Canceled()
	case forwarding:
		c.endpoint.Canceled()
	}
	s.end(now, c, false)
	s.pump(now)
}

// denial tells why a workspace's call got no token.
func (s *State) denial(workspace string) Reason {
	w := s.config.workspaces[workspace]
	if w == nil {
		return UnknownKey
	}
	n := allowance(w).Shards()
	for i := range n {
		if _, owned := s.ownerOf(quota.Shard{Workspace: workspace, Index: i, Count: n}); owned {
			return OverQuota
		}
	}
	return QuotaUnavailable
}
