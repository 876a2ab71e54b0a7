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
	reportEvery = 250 * time.Millisecond
	// planFor is how long a plan holds without a newer one.
	planFor = 1500 * time.Millisecond
	// plannerTimeout without a plan, the next node in order is asked.
	plannerTimeout = 700 * time.Millisecond
	plannerSeed    = "planner/"
	// tellEvery is how often the planner's work is logged.
	tellEvery = 1 * time.Second
	// saveEvery bounds how often the costs of calls are written to the store: each time
	// every node hears of it. The first time they have had saveAfter to settle.
	saveEvery = 15 * time.Second
	saveAfter = 3 * time.Second
)

type keepKey struct {
	route string
	class uint8
}

// planning is the node's part in the fleet's plan.
type planning struct {
	learner plan.CostEstimator
	meter   plan.DemandMeter
	planner *plan.Planner // what this node knows if it is the planner
	worked  time.Time
	told    time.Time

	keeps map[keepKey]float64
	heard time.Time // when the plan in force came
	asked time.Time // first report since then
	mute  string    // planner that did not answer
	until time.Time // for how long it is passed over

	longest map[string]time.Duration // time that callers allow, by route

	costs []plan.RouteCost // what the store holds of what calls cost
	save  time.Time        // when they may be written again

	busy, queued float64 // slot-seconds since the last report
	gauged       time.Time
	faded        time.Time
}

// firstShare of the longest time that callers of a route allow is what one allows at
// least who has not been refused before: the time of one who comes back has run on,
// by up to a third.
const firstShare = 0.8

// first reports whether a call's caller comes for the first time.
func (p *planning) first(route string, allowed time.Duration) bool {
	if allowed > p.longest[route] {
		if p.longest == nil {
			p.longest = map[string]time.Duration{}
		}
		p.longest[route] = allowed
	}
	return float64(allowed) >= firstShare*float64(p.longest[route])
}

// gauge adds up how long calls have run and waited.
func (s *State) gauge(now time.Time) {
	p := &s.planning
	stats := s.gate.Stats()
	if passed := now.Sub(p.gauged).Seconds(); !p.gauged.IsZero() && passed > 0 {
		p.busy += float64(stats.Running) * passed
		p.queued += float64(stats.Queued) * passed
	}
	p.gauged = now
}

// report tells the planner about this node when that is due.
func (s *State) report(now time.Time) {
	if now.Before(s.due.report) || s.config == nil {
		return
	}
	p := &s.planning
	passed := reportEvery
	if !p.faded.IsZero() {
		passed = now.Sub(p.faded)
	}
	s.due.report = now.Add(reportEvery)
	s.gauge(now)
	p.learner.Decay(passed)
	r := plan.Report{Demand: p.meter.CloseWindow(now), Costs: p.learner.Costs()}
	if !s.self.TargetClosed {
		r.Load = plan.Load{
			Service: s.self.Service, Slots: float64(s.gate.Limit()),
			Busy: p.busy / passed.Seconds(), Queued: p.queued / passed.Seconds(),
		}
	}
	p.faded, p.busy, p.queued = now, 0, 0
	s.sendReport(now, r)
}

func (s *State) sendReport(now time.Time, r plan.Report) {
	p := &s.planning
	if !p.asked.IsZero() && now.Sub(p.asked) > plannerTimeout {
		p.mute, p.until, p.asked = s.plannerName(now), now.Add(planFor), time.Time{}
	}
	name := s.plannerName(now)
	if name == s.self.Name {
		s.planner(now).SetReport(now, name, r)
		s.work(now)
		s.takePlan(now, s.planner(now).Plan())
		return
	}
	if p.asked.IsZero() {
		p.asked = now
	}
	s.send(name, &Report{Clock: now.Sub(s.started), Report: r})
}

// plannerName returns the node that plans for the fleet: the first in an order
// that every node draws alike.
func (s *State) plannerName(now time.Time) string {
	best, rank := "", uint64(0)
	consider := func(name string) {
		if name == s.planning.mute && now.Before(s.planning.until) {
			return
		}
		if h := xxhash.Sum64String(plannerSeed + name); best == "" || h > rank {
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
		s.planning.planner.RestoreCosts(now, s.planning.costs)
	}
	return s.planning.planner
}

// work makes a new plan unless the last one is recent.
func (s *State) work(now time.Time) {
	if now.Sub(s.planning.worked) < reportEvery {
		return
	}
	s.planning.worked = now
	s.planner(now).Replan(now, s.shares)
	s.saveCosts(now)
	if now.Sub(s.planning.told) >= tellEvery {
		s.planning.told = now
		s.notice(Notice{Kind: NoticePlanUpdated, Detail: s.planner(now).Summary()})
	}
}

// saveCosts writes what calls cost to the store once it is much different from what is
// there, so that after a stop of the whole fleet the first plan does not need to learn.
func (s *State) saveCosts(now time.Time) {
	p := &s.planning
	if p.save.IsZero() {
		p.save = now.Add(saveAfter)
	}
	if now.Before(p.save) || !s.store || !plan.CostsDiffer(p.costs, p.planner.Costs()) {
		return
	}
	p.save = now.Add(saveEvery)
	p.costs = p.planner.Costs()
	s.effects.StoreRequests = append(s.effects.StoreRequests, &SaveCosts{Rows: p.costs})
}

// costsSeen takes in what the store holds of what calls cost.
func (s *State) costsSeen(now time.Time, rows []plan.RouteCost) {
	if len(rows) == 0 {
		return
	}
	s.planning.costs = rows
	if s.planning.planner != nil {
		s.planning.planner.RestoreCosts(now, rows)
	}
}

// shares returns the services that a route's calls go to.
func (s *State) shares(route string) []plan.ServiceShare {
	if s.config == nil || s.config.routes[route] == nil {
		return nil
	}
	parts := s.config.routes[route].Services()
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
func (s *State) receiveReport(now time.Time, from string, m *Report) {
	s.planner(now).SetReport(now, from, m.Report)
	s.work(now)
	s.send(from, &Plan{Confirmation: s.proof(now, m.Clock), Keeps: s.planner(now).Plan()})
}

func (s *State) takePlan(now time.Time, keeps []plan.AdmitRatio) {
	p := &s.planning
	p.heard, p.asked = now, time.Time{}
	p.keeps = make(map[keepKey]float64, len(keeps))
	for _, k := range keeps {
		p.keeps[keepKey{k.Route, k.Class}] = k.Ratio
	}
}

// planned reports whether the plan in force lets a call in.
func (s *State) planned(now time.Time, c *call) bool {
	p := &s.planning
	share, held := p.keeps[keepKey{c.route, c.rank.Class}]
	if !held || now.Sub(p.heard) > planFor {
		return true
	}
	return float64(c.rank.Hash) < share*admit.HashBuckets
}
