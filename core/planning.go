package core

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"celeryshelf/core/admit"
	"celeryshelf/core/plan"
)

const (
	// reportEvery is how often a node that carries calls reports to the planner; a
	// surge is met within two reports and a plan.
	reportInterval = 250 * time.Millisecond
	// planFor is how long a plan holds without a newer one.
	planTTL = 1500 * time.Millisecond
	// plannerTimeout without a plan, the next node in order is asked.
	plannerTimeout    = 700 * time.Millisecond
	plannerHashPrefix = "planner/"
	// tellEvery is how often the planner's work is logged.
	planLogInterval = 1 * time.Second
	// saveEvery bounds how often the costs of calls are written to the store: each time
	// every node hears of it. The first time they have had saveAfter to settle.
	minCostSaveInterval = 15 * time.Second
	costSettleTime      = 3 * time.Second
)

type admissionKey struct {
	route string
	class uint8
}

// planning is the node's part in the fleet's plan.
type planning struct {
	learner   plan.CostEstimator
	meter     plan.DemandMeter
	planner   *plan.Planner // what this node knows if it is the planner
	plannedAt time.Time
	loggedAt  time.Time

	admittedShares      map[admissionKey]float64
	receivedAt          time.Time // when the plan in force came
	unansweredSince     time.Time // first report since then
	unresponsivePlanner string    // planner that did not answer
	skipPlannerUntil    time.Time // for how long it is passed over

	longestTimeout map[string]time.Duration // time that callers allow, by route

	storedCosts []plan.RouteCost // what the store holds of what calls cost
	nextSave    time.Time        // when they may be written again

	busySlotSeconds, queuedSlotSeconds float64 // slot-seconds since the last report
	accumulatedAt                      time.Time
	reportedAt                         time.Time
}

// firstShare of the longest time that callers of a route allow is what one allows at
// least who has not been refused before: the time of one who comes back has run on,
// by up to a third.
const firstTryTimeoutRatio = 0.8

// first reports whether a call's caller comes for the first time.
func (p *planning) isFirstTry(route string, allowed time.Duration) bool {
	if allowed > p.longestTimeout[route] {
		if p.longestTimeout == nil {
			p.longestTimeout = map[string]time.Duration{}
		}
		p.longestTimeout[route] = allowed
	}
	return float64(allowed) >= firstTryTimeoutRatio*float64(p.longestTimeout[route])
}

// gauge adds up how long calls have run and waited.
func (s *State) accumulateLoad(now time.Time) {
	p := &s.planning
	stats := s.gate.Stats()
	if passed := now.Sub(p.accumulatedAt).Seconds(); !p.accumulatedAt.IsZero() && passed > 0 {
		p.busySlotSeconds += float64(stats.Running) * passed
		p.queuedSlotSeconds += float64(stats.Queued) * passed
	}
	p.accumulatedAt = now
}

// report tells the planner about this node when that is due.
func (s *State) reportLoad(now time.Time) {
	if now.Before(s.due.report) || s.manifest == nil {
		return
	}
	p := &s.planning
	passed := reportInterval
	if !p.reportedAt.IsZero() {
		passed = now.Sub(p.reportedAt)
	}
	s.due.report = now.Add(reportInterval)
	s.accumulateLoad(now)
	p.learner.Decay(passed)
	r := plan.Report{Demand: p.meter.CloseWindow(now), Costs: p.learner.Costs()}
	if !s.self.TargetClosed {
		r.Load = plan.Load{
			Service: s.self.Service, Slots: float64(s.gate.Limit()),
			Busy: p.busySlotSeconds / passed.Seconds(), Queued: p.queuedSlotSeconds / passed.Seconds(),
		}
	}
	p.reportedAt, p.busySlotSeconds, p.queuedSlotSeconds = now, 0, 0
	s.sendReport(now, r)
}

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
		return
	}
	if p.unansweredSince.IsZero() {
		p.unansweredSince = now
	}
	s.send(name, &Report{Uptime: now.Sub(s.started), Report: r})
}

// plannerName returns the node that plans for the fleet: the first in an order
// that every node draws alike.
func (s *State) plannerName(now time.Time) string {
	best, rank := "", uint64(0)
	consider := func(name string) {
		if name == s.planning.unresponsivePlanner && now.Before(s.planning.skipPlannerUntil) {
			return
		}
		if h := xxhash.Sum64String(plannerHashPrefix + name); best == "" || h > rank {
			best, rank = name, h
		}
	}
	if !s.self.Draining {
		consider(s.self.Name)
	}
	for _, peer := range s.peers.All() {
		if peer.Live() {
			consider(peer.Name)
		}
	}
	if best == "" {
		return s.self.Name
	}
	return best
}

func (s *State) planner(now time.Time) *plan.Planner {
	if s.planning.planner == nil {
		s.planning.planner = plan.NewPlanner()
		s.planning.planner.RestoreCosts(now, s.planning.storedCosts)
	}
	return s.planning.planner
}

// work makes a new plan unless the last one is recent.
func (s *State) updatePlan(now time.Time) {
	if now.Sub(s.planning.plannedAt) < reportInterval {
		return
	}
	s.planning.plannedAt = now
	s.planner(now).Replan(now, s.routeShares)
	s.saveCosts(now)
	if now.Sub(s.planning.loggedAt) >= planLogInterval {
		s.planning.loggedAt = now
		s.addNotice(Notice{Kind: NoticePlanUpdated, Detail: s.planner(now).Summary()})
	}
}

// saveCosts writes what calls cost to the store once it is much different from what is
// there, so that after a stop of the whole fleet the first plan does not need to learn.
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

// costsSeen takes in what the store holds of what calls cost.
func (s *State) setStoredCosts(now time.Time, rows []plan.RouteCost) {
	if len(rows) == 0 {
		return
	}
	s.planning.storedCosts = rows
	if s.planning.planner != nil {
		s.planning.planner.RestoreCosts(now, rows)
	}
}

// shares returns the services that a route's calls go to.
func (s *State) routeShares(route string) []plan.ServiceShare {
	if s.manifest == nil || s.manifest.routes[route] == nil {
		return nil
	}
	parts := s.manifest.routes[route].Services()
	total := 0.0
	for _, p := range parts {
		total += p.Weight
	}
	out := make([]plan.ServiceShare, 0, len(parts))
	for _, p := range parts {
		out = append(out, plan.ServiceShare{Service: p.Service, Fraction: p.Weight / total})
	}
	return out
}

// receiveReport takes in another node's report and answers with the plan.
func (s *State) handleReport(now time.Time, from string, m *Report) {
	s.planner(now).SetReport(now, from, m.Report)
	s.updatePlan(now)
	s.send(from, &Plan{Confirmation: s.confirmation(now, m.Uptime), AdmittedShares: s.planner(now).Plan()})
}

func (s *State) applyPlan(now time.Time, keeps []plan.AdmitRatio) {
	p := &s.planning
	p.receivedAt, p.unansweredSince = now, time.Time{}
	p.admittedShares = make(map[admissionKey]float64, len(keeps))
	for _, k := range keeps {
		p.admittedShares[admissionKey{k.Route, k.Class}] = k.Ratio
	}
}

// planned reports whether the plan in force lets a call in.
func (s *State) admittedByPlan(now time.Time, c *call) bool {
	p := &s.planning
	share, held := p.admittedShares[admissionKey{c.route, c.rank.Class}]
	if !held || now.Sub(p.receivedAt) > planTTL {
		return true
	}
	return float64(c.rank.Hash) < share*admit.HashBuckets
}
