package core

import (
	"time"

	"celeryshelf/core/admit"
	"celeryshelf/core/manifest"
	"celeryshelf/core/plan"
	"celeryshelf/core/quota"
	"celeryshelf/core/retry"
)

// handleCallArrived starts the processing of a new call from any origin.
func (s *State) handleCallArrived(now time.Time, e *CallArrived) {
	c := s.newCall(e.Call)
	c.origin, c.replayable, c.requestHash, c.requestID = e.Origin, e.Replayable, e.RequestHash, e.RequestID
	s.useActiveManifest(&e.Route)
	switch e.Origin {
	case FromCaller:
		s.handleCallerCall(now, c, e)
	case FromCallerOrTarget:
		s.handleCallerOrTargetCall(now, c, e)
	case FromTarget:
		s.handleTargetCall(now, c, e)
	case FromNode:
		s.handleNodeCall(now, c, e)
	}
}

// resolveRoute finds the route of a call and sets the call's service, deadline and
// limits. It returns nil if it has refused the call.
func (s *State) resolveRoute(now time.Time, c *call, e *CallArrived) *manifest.Route {
	if s.manifest == nil || e.Route.Outcome == ManifestUnknown {
		s.refuse(now, c, ReasonNoManifest)
		return nil
	}
	r := s.findRoute(&e.Route)
	if r == nil {
		s.refuse(now, c, s.isolatedOr(now, ReasonUnknownRoute))
		return nil
	}
	timeout := r.Timeout.Duration
	if e.Timeout > 0 {
		timeout = min(timeout, e.Timeout)
	}
	c.route, c.service, c.atMostOnce = r.Name, s.pickService(r, e.Call), r.AtMostOnce
	c.maxTargetAttempts = r.MaxAttempts
	c.deadline = now.Add(timeout)
	c.maxTokenWait, c.objective = timeout, timeout
	if r.TargetLatency.Duration > 0 {
		c.objective = r.TargetLatency.Duration
		c.maxTokenWait = time.Duration(tokenWaitShare * float64(r.TargetLatency.Duration))
	}
	return r
}

// pickService selects the service of a call on a split route at random by weight.
// The hash of the call ID is the random number.
func (s *State) pickService(r *manifest.Route, id CallID) string {
	services := r.Services()
	if len(services) == 1 {
		return services[0].Service
	}
	total := 0.0
	for _, p := range services {
		total += p.Weight
	}
	draw := randomFraction(id) * total
	for _, p := range services {
		if draw -= p.Weight; draw < 0 {
			return p.Service
		}
	}
	return services[0].Service
}

func (s *State) handleCallerCall(now time.Time, c *call, e *CallArrived) {
	if !s.acceptUntil.IsZero() && !now.Before(s.acceptUntil) {
		s.refuse(now, c, ReasonDraining)
		return
	}
	r := s.resolveRoute(now, c, e)
	if r == nil {
		return
	}
	if !s.authorize(now, c, e, r) {
		return
	}
	c.rank = admit.Rank{Class: s.manifest.class(c.workspace, r), Hash: s.rankHash(e.RootID)}
	if e.Origin != FromTarget {
		c.budget = s.retryBudgets.Draw(now, s.manifest.source.Manifest.RetryBudget)
	}
	s.setIdempotencyKey(c, e.IdempotencyHash)
	if !s.admitsUnderLoad(now, c, e) {
		s.refuse(now, c, ReasonShed)
		return
	}
	s.takeToken(now, c)
}

// admitsUnderLoad reports whether overload control admits a call.
func (s *State) admitsUnderLoad(now time.Time, c *call, e *CallArrived) bool {
	if !s.plannedAdmission {
		return c.rank.Score() >= s.levels.Level(now, c.route, c.workspace)
	}
	if !e.HasKey && s.planning.costEstimator.HasRuns() {
		// A call without a key is made by the local target on behalf of one that it
		// runs, which was admitted with its whole tree.
		c.unattributed = true
		s.planning.costEstimator.ObserveCall(now, c.route)
		s.retryLimiter.RecordCall(now, c.service)
		return true
	}
	s.planning.demandMeter.Count(c.route, c.rank.Class, s.planning.isFirstTry(c.route, e.Timeout))
	s.retryLimiter.RecordCall(now, c.service)
	return s.admittedByPlan(now, c)
}

// rankHash derives a rank from the ID of a root call, the same at every node. The
// salt keeps callers from choosing IDs with a high rank.
func (s *State) rankHash(rootID uint64) uint16 {
	return uint16(hashUint64(rootID^s.manifest.salt) % admit.HashBuckets)
}

// authorize sets the call's workspace from its API key. If the key is not valid and the
// route is not public, it refuses the call and returns false.
func (s *State) authorize(now time.Time, c *call, e *CallArrived, r *manifest.Route) bool {
	if e.HasKey && !s.manifestStale(now) {
		if w := s.manifest.source.Owner(e.KeyDigest); w != nil {
			c.workspace, c.weight = w.Name, w.Rate
			return true
		}
	}
	if r.Public {
		c.weight = s.manifest.meanRate
		return true
	}
	s.refuse(now, c, s.isolatedOr(now, ReasonUnknownKey))
	return false
}

// isolatedOr returns the given reason, which follows from the manifest, or
// ReasonIsolated if this node may have missed a newer manifest or has heard of one.
func (s *State) isolatedOr(now time.Time, reason Reason) Reason {
	if s.manifestStale(now) || s.distribution.version > s.manifestVersion() {
		return ReasonIsolated
	}
	return reason
}

// setIdempotencyKey sets the key by which repeats of an at-most-once call are
// detected.
func (s *State) setIdempotencyKey(c *call, hash uint64) {
	if c.atMostOnce && hash != 0 {
		c.idempotencyKey = retry.IdempotencyKey{Workspace: c.workspace, Hash: hash}
	}
}

// takeToken takes a token from the workspace's quota before the call proceeds.
func (s *State) takeToken(now time.Time, c *call) {
	if s.manifest.rateLimited(c.workspace) == nil {
		s.dispatch(now, c, "")
		return
	}
	c.phase = phaseWaitingForTokens
	switch s.tokenPool.Take(now, c.workspace, quota.TokenRequest{
		Call: uint64(c.id), ReservedShare: s.reservedShareFor(c.rank.Class), Deadline: c.deadline, MaxWait: c.maxTokenWait,
	}) {
	case quota.Denied:
		s.refuse(now, c, s.reasonForDenial(c.workspace))
	case quota.Taken:
		s.dispatch(now, c, "")
	case quota.Waiting:
	}
	s.sendTokenRequests(now)
}

// handleCallerOrTargetCall tells calls of the local target from those of callers.
// Calls of the target carry no API key and give the ID of the running call that made
// them as ParentRequestID.
func (s *State) handleCallerOrTargetCall(now time.Time, c *call, e *CallArrived) {
	p := s.runningByRequestID[e.ParentRequestID]
	if e.HasKey || p == nil || p.phase != phaseRunning || !s.isPublicRoute(&e.Route) {
		s.handleCallerCall(now, c, e)
		return
	}
	if s.resolveRoute(now, c, e) == nil {
		return
	}
	s.attachChild(now, c, p)
	c.weight = s.manifest.meanRate
	s.retryLimiter.RecordCall(now, c.service)
	p.countChildCall(c.route)
	s.dispatch(now, c, "")
}

// countChildCall counts a call that the target made on behalf of c.
func (c *call) countChildCall(route string) {
	for i := range c.childCalls {
		if c.childCalls[i].Route == route {
			c.childCalls[i].PerRun++
			return
		}
	}
	c.childCalls = append(c.childCalls, plan.ChildCalls{Route: route, PerRun: 1})
}

// attachChild makes c a child of p, which runs at the local target.
func (s *State) attachChild(now time.Time, c, p *call) {
	if p.openChildren == 0 {
		p.blockedSince = now
	}
	p.openChildren++
	c.parent, c.borrowedRetries = p.id, p.budget.Lend()
	c.budget = retry.NewBudget(c.borrowedRetries)
	c.rank = p.rank.Child()
	if p.deadline.Before(c.deadline) {
		c.deadline = p.deadline
	}
}

func (s *State) handleTargetCall(now time.Time, c *call, e *CallArrived) {
	p, ok := s.calls[e.ParentCall]
	if !ok || p.phase != phaseRunning {
		// Without the context of a running call the workspace is unknown, so
		// the call needs a public route or an API key. The key is checked as
		// for any external caller. Without a manifest no route is known to be
		// private.
		if e.HasKey || e.Route.Outcome == ManifestUnknown || s.isPublicRoute(&e.Route) {
			s.handleCallerCall(now, c, e)
			return
		}
		s.refuse(now, c, ReasonNoContext)
		return
	}
	s.handleChildCall(now, c, e, p)
}

func (s *State) isPublicRoute(l *RouteLookup) bool {
	r := s.findRoute(l)
	return r != nil && r.Public
}

func (s *State) handleChildCall(now time.Time, c *call, e *CallArrived, p *call) {
	if s.resolveRoute(now, c, e) == nil {
		return
	}
	if p.hasFailedChild(e.RequestHash) && !p.budget.Spend() {
		s.refuse(now, c, ReasonRetryBudgetExhausted)
		return
	}
	s.attachChild(now, c, p)
	c.workspace, c.weight = p.workspace, p.weight
	s.setIdempotencyKey(c, e.IdempotencyHash)
	s.dispatch(now, c, "")
}

func (s *State) handleNodeCall(now time.Time, c *call, e *CallArrived) {
	received := &e.Context
	c.entryService = received.EntryService
	c.route, c.workspace, c.rank, c.atMostOnce = received.Route, received.Workspace, received.Rank, received.AtMostOnce
	c.service, c.weight = s.self.Service, s.shareWeight(received.Workspace)
	c.deadline = now.Add(received.Timeout)
	s.limitToDrain(c)
	c.budget = retry.NewBudget(received.RetryBudget)
	c.reportsEnd = !s.plannedAdmission
	s.setIdempotencyKey(c, received.IdempotencyHash)
	switch {
	case received.Endpoint != s.self.Name:
		s.refuse(now, c, ReasonWrongTarget)
	case s.self.TargetClosed:
		s.refuse(now, c, ReasonDraining)
	default:
		c.endpoint = s.routes.Find(s.self.Service, s.self.Name)
		c.endpoint.CallStarted()
		s.offerLocal(now, c)
	}
}
