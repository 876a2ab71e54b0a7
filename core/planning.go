package core

import (
	"time"

	"celeryshelf/core/admit"
	"celeryshelf/core/plan"
)

const (
	// reportInterval is the time between a node's reports to the planner. A surge in demand
	// is limited after at most two reports and the plan that follows from them.
	reportInterval = 250 * time.Millisecond
	// planTTL is how long a plan is applied if no newer one arrives.
	planTTL = 1500 * time.Millisecond
	// plannerTimeout is how long the planner may leave reports unanswered before the next
	// candidate is used.
	plannerTimeout = 700 * time.Millisecond
	// planLogInterval is the least time between two logged plans.
	planLogInterval = 1 * time.Second
	// minCostSaveInterval is the least time between two writes of call costs to the store:
	// the store sends every write to every node. costSettleTime delays the first write, so
	// that the estimates have settled.
	minCostSaveInterval = 15 * time.Second
	costSettleTime      = 3 * time.Second
)

// admissionKey identifies calls that a plan admits at the same ratio.
type admissionKey struct {
	route string
	class uint8
}

// planning is the state of planned admission on this node: its own measurements, the current
// plan and, on the planner, the planner's state.
type planning struct {
	costEstimator plan.CostEstimator
	demandMeter   plan.DemandMeter
	planner       *plan.Planner // nil until this node acts as the planner
	plannedAt     time.Time
	loggedAt      time.Time

	admitRatios         map[admissionKey]float64
	receivedAt          time.Time // when the current plan was received
	unansweredSince     time.Time // when the oldest unanswered report was sent, zero if there is none
	unresponsivePlanner string    // the last planner that did not answer in time
	skipPlannerUntil    time.Time // until then it is not a candidate

	longestTimeout map[string]time.Duration // by route

	storedCosts []plan.RouteCost // call costs as recorded in the store
	nextSave    time.Time        // earliest time of the next write

	busySlotSeconds, queuedSlotSeconds float64 // since the last report
	accumulatedAt                      time.Time
	reportedAt                         time.Time
}

// firstTryTimeoutRatio is the least ratio of a call's timeout to the longest timeout seen on
// its route at which the call counts as a first try. A caller that retries after a refusal
// sends the time that it has left, which is shorter by up to a third.
const firstTryTimeoutRatio = 0.8

// isFirstTry reports whether a call is not a retry by its caller, judged by its timeout.
func (p *planning) isFirstTry(route string, timeout time.Duration) bool {
	if timeout > p.longestTimeout[route] {
		if p.longestTimeout == nil {
			p.longestTimeout = map[string]time.Duration{}
		}
		p.longestTimeout[route] = timeout
	}
	return float64(timeout) >= firstTryTimeoutRatio*float64(p.longestTimeout[route])
}

// accumulateLoad adds the slot-seconds of running and queued calls since the last update.
func (s *State) accumulateLoad(now time.Time) {
	p := &s.planning
	stats := s.gate.Stats()
	if elapsed := now.Sub(p.accumulatedAt).Seconds(); !p.accumulatedAt.IsZero() && elapsed > 0 {
		p.busySlotSeconds += float64(stats.Running) * elapsed
		p.queuedSlotSeconds += float64(stats.Queued) * elapsed
	}
	p.accumulatedAt = now
}

// reportLoad sends a report to the planner if one is due.
func (s *State) reportLoad(now time.Time) {
	if now.Before(s.due.report) || s.manifest == nil {
		return
	}
	p := &s.planning
	elapsed := reportInterval
	if !p.reportedAt.IsZero() {
		elapsed = now.Sub(p.reportedAt)
	}
	s.due.report = now.Add(reportInterval)
	s.accumulateLoad(now)
	p.costEstimator.Decay(elapsed)
	r := plan.Report{Demand: p.demandMeter.CloseWindow(now), Costs: p.costEstimator.Costs(), Arrivals: s.takeArrivals()}
	switch {
	case s.evacuated(s.self.Domain):
		r.Load = plan.Load{Service: s.self.Service, Evacuated: true}
	case !s.self.TargetClosed:
		r.Load = s.targetLoad(elapsed)
	}
	p.reportedAt, p.busySlotSeconds, p.queuedSlotSeconds = now, 0, 0
	s.sendReport(now, r)
}

// targetLoad returns the load of the local target over the time since the last report. The
// capacity of a cold target counts as small.
func (s *State) targetLoad(elapsed time.Duration) plan.Load {
	p := &s.planning
	return plan.Load{
		Service: s.self.Service, Slots: s.gate.Capacity(),
		Busy: p.busySlotSeconds / elapsed.Seconds(), Queued: p.queuedSlotSeconds / elapsed.Seconds(),
	}
}

// sendReport passes a report to the planner. A planner that has not answered for
// plannerTimeout is skipped for planTTL. If this node is the planner, it updates the plan and
// applies it.
func (s *State) sendReport(now time.Time, r plan.Report) {
	p := &s.planning
	if !p.unansweredSince.IsZero() && now.Sub(p.unansweredSince) > plannerTimeout {
		p.unresponsivePlanner, p.skipPlannerUntil, p.unansweredSince = s.plannerName(now), now.Add(planTTL), time.Time{}
	}
	name := s.plannerName(now)
	if name == s.self.Name {
		s.planner(now).SetReport(now, name, r)
		s.updatePlan(now)
		s.applyPlan(now, s.planner(now).Plan())
		s.applyDeclining(s.planner(now).Plan(), s.planner(now).Declining())
		return
	}
	if p.unansweredSince.IsZero() {
		p.unansweredSince = now
	}
	s.send(name, &Report{Uptime: now.Sub(s.started), Report: r})
}

// planner returns this node's planner. A new one starts with the costs in the store.
func (s *State) planner(now time.Time) *plan.Planner {
	if s.planning.planner == nil {
		s.planning.planner = plan.NewPlanner()
		s.planning.planner.RestoreCosts(now, s.planning.storedCosts)
		s.planning.planner.SetRetryLimit(plan.RetryLimit{Attempts: maxAttempts, Sustained: s.retryLimiter.Sustained})
	}
	return s.planning.planner
}

// updatePlan makes a new plan if the last one is at least reportInterval old.
func (s *State) updatePlan(now time.Time) {
	if now.Sub(s.planning.plannedAt) < reportInterval {
		return
	}
	s.planning.plannedAt = now
	s.planner(now).Replan(now, s.routeShares)
	s.logDeclining(now)
	s.saveCosts(now)
	if now.Sub(s.planning.loggedAt) >= planLogInterval {
		s.planning.loggedAt = now
		s.addNotice(Notice{Kind: NoticePlanUpdated, Detail: s.planner(now).Summary()})
	}
}

// saveCosts writes the call costs to the store if they differ much from the stored ones.
// After a restart of the whole fleet the first planner starts with them instead of having
// to measure them again.
func (s *State) saveCosts(now time.Time) {
	p := &s.planning
	if p.nextSave.IsZero() {
		p.nextSave = now.Add(costSettleTime)
	}
	if now.Before(p.nextSave) || !s.storeReachable || !plan.CostsDiffer(p.storedCosts, p.planner.Costs()) {
		return
	}
	p.nextSave = now.Add(minCostSaveInterval)
	p.storedCosts = p.planner.Costs()
	s.effects.StoreRequests = append(s.effects.StoreRequests, &SaveCosts{Rows: p.storedCosts})
}

// setStoredCosts applies call costs that were read from the store.
func (s *State) setStoredCosts(now time.Time, costs []plan.RouteCost) {
	if len(costs) == 0 {
		return
	}
	s.planning.storedCosts = costs
	if s.planning.planner != nil {
		s.planning.planner.RestoreCosts(now, costs)
	}
}

// routeShares returns the services that a route's calls go to, each with its share of the
// calls.
func (s *State) routeShares(route string) []plan.ServiceShare {
	if s.manifest == nil || s.manifest.routes[route] == nil {
		return nil
	}
	services := s.manifest.routes[route].Services()
	total := 0.0
	for _, p := range services {
		total += p.Weight
	}
	out := make([]plan.ServiceShare, 0, len(services))
	for _, p := range services {
		out = append(out, plan.ServiceShare{Service: p.Service, Fraction: p.Weight / total})
	}
	return out
}

// handleReport passes another node's report to the planner and answers with the plan.
func (s *State) handleReport(now time.Time, from string, m *Report) {
	r := m.Report
	if p, ok := s.peers.Get(from); ok && s.evacuated(p.Domain) {
		r.Load = plan.Load{Service: p.Service, Evacuated: true} // the node may not know it yet
	}
	s.planner(now).SetReport(now, from, r)
	s.updatePlan(now)
	s.send(from, &Plan{Confirmation: s.confirmation(now, m.Uptime), AdmitRatios: s.planner(now).Plan(), Declining: s.planner(now).Declining()})
}

func (s *State) applyPlan(now time.Time, ratios []plan.AdmitRatio) {
	p := &s.planning
	p.receivedAt, p.unansweredSince = now, time.Time{}
	p.admitRatios = make(map[admissionKey]float64, len(ratios))
	for _, k := range ratios {
		p.admitRatios[admissionKey{k.Route, k.Class}] = k.Ratio
	}
}

// admittedByPlan reports whether the plan admits a call. Without a plan, or with one older
// than planTTL, every call is admitted.
func (s *State) admittedByPlan(now time.Time, c *call) bool {
	p := &s.planning
	ratio, limited := p.admitRatios[admissionKey{c.route, c.rank.Class}]
	if !limited || now.Sub(p.receivedAt) > planTTL {
		return true
	}
	return float64(c.rank.Hash) < ratio*admit.HashBuckets
}
