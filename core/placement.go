package core

import (
	"time"

	"celeryshelf/core/backlog"
	"celeryshelf/core/cost"
	"celeryshelf/core/route"
)

const (
	// reportLife is how long after the last report of the target its node publishes the work
	// there. Senders then return to the choice without it.
	reportLife = 5 * time.Second
	// sentUnit is the nominal unit in which the costs of sent calls are learned: the nodes of
	// the endpoints state them relative to their own unit.
	sentUnit = 10 * time.Millisecond
)

// placement is the state of the choice of endpoints by cost and remaining work: the local
// target's side, and the costs of the calls that this node sends, by service.
type placement struct {
	enabled    bool      // see Settings.PlaceByCompletion
	reportedAt time.Time // last report of the local target, zero if there was none
	costs      *cost.Estimator
	slowness   cost.Slowness
	backlog    backlog.Backlog
	sentCosts  map[string]*cost.Estimator
	changed    bool // the backlog has changed since the work was published
}

func newPlacement(enabled bool) placement {
	return placement{enabled: enabled, costs: cost.NewEstimator(), sentCosts: map[string]*cost.Estimator{}}
}

// active reports whether the local target reports its load.
func (p *placement) active(now time.Time) bool {
	return !p.reportedAt.IsZero() && now.Sub(p.reportedAt) <= reportLife
}

// pickEndpoint chooses the endpoint at which a call would complete first, if endpoints of its
// service publish their work.
func (s *State) pickEndpoint(now time.Time, c *call, excluded []string) *route.Endpoint {
	seed := hashUint64(uint64(c.id))
	costs := s.placement.sentCosts[c.service]
	if costs == nil {
		return s.routes.Pick(now, c.service, seed, excluded)
	}
	ratio := float64(costs.Estimate(now, c.route)) / float64(costs.Unit())
	return s.routes.PickByCompletion(now, c.service, seed, ratio, excluded)
}

// recordWork stores the work published with the end of a forwarded attempt, and what the call
// has cost.
func (s *State) recordWork(now time.Time, c *call, w Work) {
	if !s.placement.enabled || w.UnitTime <= 0 || c.phase != phaseForwarded {
		return
	}
	c.endpoint.SetWork(instantOf(now, w.At), w.Work)
	costs := s.placement.sentCosts[c.service]
	if costs == nil {
		costs = cost.NewEstimator()
		s.placement.sentCosts[c.service] = costs
	}
	if w.Took > 0 {
		c.endpoint.RecordTransit(now, instantOf(now, w.At).Sub(c.attemptStart)-w.Took)
	}
	if w.Took > 0 && w.ServiceTime > 0 {
		costs.Observe(now, c.route, w.Took, float64(w.ServiceTime)/float64(sentUnit))
	}
}

// recordResult adds the result of an attempt to the endpoint's risk of failure.
func (s *State) recordResult(now time.Time, c *call, failed bool) {
	if s.placement.enabled && c.endpoint != nil && c.phase == phaseForwarded {
		c.endpoint.RecordResult(now, failed)
	}
}

// recordTargetReport applies a report of the local target. The calls at the target are counted
// here, as it can be reached through this node only, so that only the slowness is used.
func (s *State) recordTargetReport(now time.Time, r LoadReport) {
	if !r.Known || !s.placement.enabled {
		return
	}
	at := instantOf(now, r.At)
	if at.After(s.placement.reportedAt) {
		s.placement.reportedAt = at
	}
	s.placement.slowness.Report(at, r.Slowness)
}

// instantOf returns at if it is known and not after now, and otherwise now.
func instantOf(now, at time.Time) time.Time {
	if at.IsZero() || at.After(now) {
		return now
	}
	return at
}

// estimateCost estimates the cost of a call at the local target.
func (s *State) estimateCost(now time.Time, c *call) {
	if s.placement.active(now) {
		c.cost = s.placement.costs.Estimate(now, c.route)
	}
}

func (s *State) trackWaiting(now time.Time, c *call) {
	if s.placement.active(now) {
		s.placement.backlog.Wait(uint64(c.id), c.cost)
		s.placement.changed = true
	}
}

func (s *State) trackRunning(now time.Time, c *call) {
	p := &s.placement
	if p.active(now) {
		c.startSlowness = p.slowness.Factor(now)
		p.backlog.Start(now, uint64(c.id), c.cost)
		s.placement.changed = true
	}
}

// untrack removes a call that has left the target's queue.
func (s *State) untrack(c *call) {
	if s.placement.backlog.Len() > 0 {
		s.placement.backlog.Remove(uint64(c.id))
		s.placement.changed = true
	}
}

// trackEnd removes a call that has left the local target, and learns its cost if it
// succeeded.
func (s *State) trackEnd(now time.Time, c *call, took time.Duration, succeeded bool) {
	p := &s.placement
	s.untrack(c)
	if !succeeded || !p.active(now) {
		return
	}
	slowness := p.slowness.Factor(now)
	if c.startSlowness > 0 {
		p.slowness.Observe(c.cost, took)
		slowness = (slowness + c.startSlowness) / 2
	}
	p.costs.Observe(now, c.route, took, slowness)
	p.changed = true
}

// publishWork updates the work that responses to other nodes state.
func (s *State) publishWork(now time.Time) {
	p := &s.placement
	p.changed = false
	s.effects.Work = route.Work{}
	if !p.active(now) || s.self.TargetClosed {
		return
	}
	unit, slowness := p.costs.Unit(), p.slowness.Factor(now)
	s.effects.Work = route.Work{
		UnitTime:    p.backlog.TimeToComplete(now, s.gate.Limit(), unit, slowness),
		ServiceTime: time.Duration(float64(unit) * slowness),
	}
}
