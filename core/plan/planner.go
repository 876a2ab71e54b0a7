package plan

import (
	"maps"
	"math"
	"slices"
	"strings"
	"time"
)

const (
	// reportTTL is how long a report is used: several times the report interval.
	reportTTL = 1500 * time.Millisecond
	// targetUtilization is the part of a service's slots that a plan uses. A value below 1
	// would keep slots free to absorb random variations of a few tens of calls.
	targetUtilization = 1.0
	// A mean queue above maxQueueRatio of the slots shows that the last plan admitted too
	// many calls; a utilization below minUtilization shows that it admitted too few.
	maxQueueRatio  = 0.20
	minUtilization = 0.94
	// Every plan corrects the capacity of a service by feedback, through a factor between
	// minTrim and maxTrim. A queue lowers the factor by trimDecreaseGain times the ratio
	// of queued calls to slots. Low utilization raises it by the utilization error to the
	// power trimIncreaseExponent, at most by maxTrimIncrease. Admitted calls show their
	// effect three plans later; twice these gains make the capacity oscillate.
	trimDecreaseGain     = 0.04
	trimIncreaseExponent = 0.1
	maxTrimIncrease      = 1.08
	minTrim              = 0.6
	maxTrim              = 2.5
	// trimDecay is the part of the correction, the distance of the factor from 1, that is
	// removed after each plan that restricts no calls for the service.
	trimDecay = 0.02
	// minCallerRatio is the ratio of its callers to which a class is reduced before the next
	// higher class is, so that no class is starved. The ratio of calls is lower if callers
	// repeat refused calls.
	minCallerRatio = 0.25
	// minCallRatio is the admit ratio of calls below which no stream is reduced further.
	minCallRatio = 0.02
	// maxDepth is the call depth up to which the cost of a route is cached and cycles are
	// cut. Deeper routes are followed without either.
	maxDepth = 30
	// maxRounds is the maximum number of reductions in one plan.
	maxRounds = 16
)

// AdmitRatio is the ratio of the calls on a route and of a class that is admitted.
type AdmitRatio struct {
	Route string  `json:"route"`
	Class uint8   `json:"class"`
	Ratio float64 `json:"share"`
	// Declining reports that calls are refused because a service on their path declines calls.
	Declining bool `json:"declining,omitempty"`
}

// TrafficSplit returns the services that serve the calls on a route, with the fraction of
// the calls that each receives.
type TrafficSplit func(route string) []ServiceShare

// ServiceShare is the fraction of a route's calls that one service receives.
type ServiceShare struct {
	Service  string
	Fraction float64 // the fractions of a route sum to 1
}

// timedReport is a report with the time at which it arrived.
type timedReport struct {
	Report
	receivedAt time.Time
}

// Planner computes plans from the reports of all nodes.
type Planner struct {
	reports map[string]timedReport
	trim    map[string]float64 // capacity correction factor by service
	plan    []AdmitRatio
	summary string
	costs   map[string]knownCost // by route
	binding map[string]bool      // services whose capacity made the last plan restrict calls

	declines  declineEstimator
	retries   RetryLimit
	declining []DeclinedRatio // with the last plan
}

// NewPlanner returns a planner without reports.
func NewPlanner() *Planner {
	return &Planner{reports: map[string]timedReport{}, trim: map[string]float64{}, costs: map[string]knownCost{}}
}

// SetReport stores a node's report and replaces its previous one.
func (p *Planner) SetReport(now time.Time, node string, r Report) {
	valid := r.valid()
	p.reports[node] = timedReport{Report: valid, receivedAt: now}
	p.declines.observe(now, valid.Load.Service, valid.Arrivals)
}

// SetEvacuated removes the target of a node from the capacity, until the node's next report.
func (p *Planner) SetEvacuated(node string) {
	if r, ok := p.reports[node]; ok && r.Load.Service != "" {
		r.Load = Load{Service: r.Load.Service, Evacuated: true}
		p.reports[node] = r
	}
}

// Plan returns the last plan. Calls that are not in it are admitted without restriction.
func (p *Planner) Plan() []AdmitRatio { return p.plan }

// Declining returns the services that declined calls when the last plan was made.
func (p *Planner) Declining() []DeclinedRatio { return p.declining }

// Replan computes a new plan from the reports that have not expired.
func (p *Planner) Replan(now time.Time, services TrafficSplit) {
	maps.DeleteFunc(p.reports, func(_ string, r timedReport) bool { return now.Sub(r.receivedAt) > reportTTL })
	sv := &solver{split: services, costs: p.withKnownCosts(now, p.mergedCosts()), treeCosts: treeSums{}, treeCalls: treeSums{}}
	sv.streams = p.streams(sv)
	p.declining = p.declines.ratios(now)
	sv.limitByRetries(p.declining, p.retries)
	capacity := p.capacity()
	p.binding = map[string]bool{}
	for range maxRounds {
		service, excess := sv.mostOverloaded(capacity)
		if service == "" {
			break
		}
		p.binding[service] = true
		if left := sv.reduceByClass(service, excess); left > 0 {
			sv.reduceAll(service, left)
		}
	}
	p.plan = sv.ratios()
	p.summary = sv.summary(p, capacity)
}

// Summary describes the last plan and its inputs, for the log.
func (p *Planner) Summary() string { return p.summary }

// knownCost is the cost of a route when it was last measured from successful runs.
type knownCost struct {
	cost       RouteCost
	measuredAt time.Time
}

// costTTL is how long a route's cost is kept after the last report of it. Nodes that have
// restarted know no costs, and under overload they may not be able to measure them.
const costTTL = time.Minute

// withKnownCosts adds the known costs of routes for which the nodes report no cost, or
// only one from failed runs.
func (p *Planner) withKnownCosts(now time.Time, reported map[string]RouteCost) map[string]RouteCost {
	for route, r := range reported {
		if r.Runs >= minRuns {
			p.costs[route] = knownCost{cost: r, measuredAt: now}
		}
	}
	for route, k := range p.costs {
		switch {
		case now.Sub(k.measuredAt) > costTTL:
			delete(p.costs, route)
		case reported[route].Runs < minRuns:
			reported[route] = k.cost
		}
	}
	return reported
}

// RestoreCosts adds the costs known to an earlier planner. Costs that this planner has
// already measured are not replaced.
func (p *Planner) RestoreCosts(now time.Time, costs []RouteCost) {
	for _, r := range costs {
		if _, ok := p.costs[r.Route]; !ok {
			p.costs[r.Route] = knownCost{cost: r, measuredAt: now}
		}
	}
}

// Costs returns the costs known from successful runs, sorted by route.
func (p *Planner) Costs() []RouteCost {
	out := make([]RouteCost, 0, len(p.costs))
	for _, route := range slices.Sorted(maps.Keys(p.costs)) {
		out = append(out, p.costs[route].cost)
	}
	return out
}

// similarRatio is the ratio of two values up to which they are considered the same. The
// capacity feedback corrects a plan for errors within this ratio.
const similarRatio = 1.3

// CostsDiffer reports whether a and b differ enough to lead to different plans.
func CostsDiffer(a, b []RouteCost) bool {
	return !slices.EqualFunc(a, b, func(x, y RouteCost) bool {
		return x.Route == y.Route && similar(x.HoldTime.Seconds(), y.HoldTime.Seconds()) &&
			slices.EqualFunc(x.Calls, y.Calls, func(c, d ChildCalls) bool {
				return c.Route == d.Route && similar(c.PerRun, d.PerRun)
			})
	})
}

// similar reports whether x and y differ by at most similarRatio.
func similar(x, y float64) bool { return x <= y*similarRatio && y <= x*similarRatio }

// mergedCosts returns the mean of the nodes' costs for each route, weighted by runs.
func (p *Planner) mergedCosts() map[string]RouteCost {
	sums := map[string]*RouteCost{}
	calls := map[string]map[string]float64{}
	for _, node := range slices.Sorted(maps.Keys(p.reports)) {
		for _, r := range p.reports[node].Costs {
			s, ok := sums[r.Route]
			if !ok {
				s = &RouteCost{Route: r.Route}
				sums[r.Route], calls[r.Route] = s, map[string]float64{}
			}
			s.Runs += r.Runs
			s.HoldTime += time.Duration(r.Runs * float64(r.HoldTime))
			for _, c := range r.Calls {
				calls[r.Route][c.Route] += r.Runs * c.PerRun
			}
		}
	}
	out := make(map[string]RouteCost, len(sums))
	for route, s := range sums {
		s.HoldTime = time.Duration(float64(s.HoldTime) / s.Runs)
		for _, child := range slices.Sorted(maps.Keys(calls[route])) {
			s.Calls = append(s.Calls, ChildCalls{Route: child, PerRun: calls[route][child] / s.Runs})
		}
		out[route] = *s
	}
	return out
}

// streams returns the total demand of all nodes by route and class, the lowest class
// first.
func (p *Planner) streams(sv *solver) []*plannedStream {
	type key struct {
		route string
		class uint8
	}
	sums := map[key]Demand{}
	for _, r := range p.reports {
		for _, d := range r.Demand {
			sum := sums[key{d.Route, d.Class}]
			sum.Rate += d.Rate
			sum.FirstTryRate += d.FirstTryRate
			sums[key{d.Route, d.Class}] = sum
		}
	}
	out := make([]*plannedStream, 0, len(sums))
	for k, sum := range sums {
		out = append(out, &plannedStream{
			route: k.route, class: k.class, rate: sum.Rate, ratio: 1, cost: sv.treeCost(k.route),
			minRatio: max(minCallRatio, minCallerRatio*min(1, sum.FirstTryRate/sum.Rate)),
		})
	}
	slices.SortFunc(out, func(a, b *plannedStream) int {
		if a.class != b.class {
			return int(a.class) - int(b.class)
		}
		return strings.Compare(a.route, b.route)
	})
	return out
}

// capacity returns the number of slots of each service that a plan may use, corrected by
// the queue and the utilization that the last plan led to.
func (p *Planner) capacity() map[string]float64 {
	out := map[string]float64{}
	for _, r := range p.reports {
		out[r.Load.Service] = 0
	}
	for service := range out {
		t := p.serviceLoad(service)
		if t.Slots <= 0 {
			if !t.Evacuated {
				delete(out, service)
			}
			continue
		}
		trim, ok := p.trim[service]
		if !ok {
			trim = 1
		}
		switch {
		case t.Queued > maxQueueRatio*t.Slots:
			trim = max(minTrim, trim*(1-trimDecreaseGain*min(1, t.Queued/t.Slots)))
		case !p.binding[service]:
			trim += (1 - trim) * trimDecay
		case t.Busy < minUtilization*t.Slots:
			step := maxTrimIncrease
			if t.Busy > 0 {
				step = min(maxTrimIncrease, math.Pow(minUtilization*t.Slots/t.Busy, trimIncreaseExponent))
			}
			trim = min(maxTrim, trim*step)
		}
		p.trim[service] = trim
		out[service] = targetUtilization * trim * t.Slots
	}
	return out
}

// serviceLoad returns the total load that the nodes of a service report.
func (p *Planner) serviceLoad(service string) Load {
	t := Load{Service: service}
	for _, r := range p.reports {
		if r.Load.Service == service {
			t.Slots += r.Load.Slots
			t.Busy += r.Load.Busy
			t.Queued += r.Load.Queued
			t.Evacuated = t.Evacuated || r.Load.Evacuated
		}
	}
	return t
}
