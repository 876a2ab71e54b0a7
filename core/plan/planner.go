package plan

import (
	"maps"
	"math"
	"slices"
	"strings"
	"time"
)

const (
	// reportTTL is how long a report counts: several times the pause between two.
	reportTTL = 1500 * time.Millisecond
	// targetUtilization is the share of its slots that a service is planned to use. What is
	// left absorbs the unevenness of a few tens of calls.
	targetUtilization = 1.0
	// maxQueueRatio is the mean queue, as a share of the slots, from which the plan is
	// taken to have let in too much; below idle use it let in too little.
	maxQueueRatio  = 0.20
	minUtilization = 0.94
	// A service's capacity is corrected at each plan, within leastTrim and mostTrim:
	// down by trimDecreaseGain of the queue's share of the slots, up by the power trimUp of how
	// much too little is used, by mostStep at most. What is let in shows three plans
	// later; twice these gains make it swing.
	trimDecreaseGain     = 0.04
	trimIncreaseExponent = 0.1
	maxTrimIncrease      = 1.08
	minTrim              = 0.6
	maxTrim              = 2.5
	// trimDecay is the part of a correction that is forgotten at each plan that holds
	// nothing back for the service.
	trimDecay = 0.02
	// minCallerRatio of the callers of every class are let in, so that none is starved;
	// of calls it is less where callers come back.
	minCallerRatio = 0.25
	// minCallRatio is the share of calls below which nothing is held back.
	minCallRatio = 0.02
	// maxDepth bounds the depth of a call graph that is followed.
	maxDepth = 30
	// maxRounds bounds how many times a service is relieved in one plan.
	maxRounds = 16
)

// AdmitRatio is the share of the calls on a route and of a class that is let in.
type AdmitRatio struct {
	Route string  `json:"route"`
	Class uint8   `json:"class"`
	Ratio float64 `json:"share"`
}

// TrafficSplit tells which services the calls of a route go to, and in which shares.
type TrafficSplit func(route string) []ServiceShare

// ServiceShare is a service's part of a route's calls.
type ServiceShare struct {
	Service  string
	Fraction float64 // the parts of a route sum to 1
}

type timedReport struct {
	Report
	at time.Time
}

// Planner works out plans from the reports of all nodes.
type Planner struct {
	reports map[string]timedReport
	trim    map[string]float64 // by service
	plan    []AdmitRatio
	summary string
	costs   map[string]knownCost // costs by route
	binding map[string]bool      // services that the last plan held back calls for
}

// NewPlanner returns a planner without reports.
func NewPlanner() *Planner {
	return &Planner{reports: map[string]timedReport{}, trim: map[string]float64{}, costs: map[string]knownCost{}}
}

// SetReport keeps a node's newest report.
func (p *Planner) SetReport(now time.Time, node string, r Report) {
	p.reports[node] = timedReport{Report: r, at: now}
}

// Plan returns the last plan: what is not in it is let in whole.
func (p *Planner) Plan() []AdmitRatio { return p.plan }

// Replan makes a new plan from the reports that are fresh.
func (p *Planner) Replan(now time.Time, services TrafficSplit) {
	maps.DeleteFunc(p.reports, func(_ string, r timedReport) bool { return now.Sub(r.at) > reportTTL })
	w := &solver{split: services, costs: p.withKnownCosts(now, p.mergedCosts()), treeCosts: map[string]map[string]float64{}}
	w.streams = p.streams(w)
	capacity := p.capacity()
	p.binding = map[string]bool{}
	for range maxRounds {
		service, excess := w.mostOverloaded(capacity)
		if service == "" {
			break
		}
		p.binding[service] = true
		if left := w.reduceByClass(service, excess); left > 0 {
			w.reduceAll(service, left)
		}
	}
	p.plan = w.ratios()
	p.summary = w.summary(p, capacity)
}

// Summary returns the last plan and what it was made from, for the log.
func (p *Planner) Summary() string { return p.summary }

// knownCost is what a route cost when it was last known from successful runs.
type knownCost struct {
	cost RouteCost
	at   time.Time
}

// costTTL is how long a route's cost is kept that no node reports any more: nodes
// that have started again know nothing, and under overload they may not learn.
const costTTL = time.Minute

// withKnownCosts fills in what is known from before for routes that nodes report nothing
// of, or only failed runs.
func (p *Planner) withKnownCosts(now time.Time, rows map[string]RouteCost) map[string]RouteCost {
	for route, r := range rows {
		if r.Runs >= minRuns {
			p.costs[route] = knownCost{cost: r, at: now}
		}
	}
	for route, k := range p.costs {
		switch {
		case now.Sub(k.at) > costTTL:
			delete(p.costs, route)
		case rows[route].Runs < minRuns:
			rows[route] = k.cost
		}
	}
	return rows
}

// RestoreCosts takes in what calls cost as an earlier planner knew it. What this one knows
// already stands.
func (p *Planner) RestoreCosts(now time.Time, rows []RouteCost) {
	for _, r := range rows {
		if _, ok := p.costs[r.Route]; !ok {
			p.costs[r.Route] = knownCost{cost: r, at: now}
		}
	}
}

// Costs returns what calls cost as far as it is known from successful runs, in order of
// route.
func (p *Planner) Costs() []RouteCost {
	out := make([]RouteCost, 0, len(p.costs))
	for _, route := range slices.Sorted(maps.Keys(p.costs)) {
		out = append(out, p.costs[route].cost)
	}
	return out
}

// similarRatio bounds the ratio of two figures that are taken as the same: plans are
// corrected by feedback within that.
const similarRatio = 1.3

// CostsDiffer reports whether two accounts of what calls cost lead to different plans.
func CostsDiffer(a, b []RouteCost) bool {
	return !slices.EqualFunc(a, b, func(x, y RouteCost) bool {
		return x.Route == y.Route && similar(x.HoldTime.Seconds(), y.HoldTime.Seconds()) &&
			slices.EqualFunc(x.Calls, y.Calls, func(c, d ChildCalls) bool {
				return c.Route == d.Route && similar(c.PerRun, d.PerRun)
			})
	})
}

func similar(x, y float64) bool { return x <= y*similarRatio && y <= x*similarRatio }

// mergedCosts merges what nodes have learned of each route, weighted by the runs seen.
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

// streams adds up the demand of all nodes.
func (p *Planner) streams(w *solver) []*plannedStream {
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
			route: k.route, class: k.class, rate: sum.Rate, ratio: 1, cost: w.treeCost(k.route, 0),
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

// capacity returns the slots of each service that a plan may use, corrected by
// what the last plan led to.
func (p *Planner) capacity() map[string]float64 {
	out := map[string]float64{}
	for _, r := range p.reports {
		out[r.Load.Service] = 0
	}
	for service := range out {
		t := p.serviceLoad(service)
		if t.Slots <= 0 {
			delete(out, service)
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

// serviceLoad adds up what the nodes of a service report.
func (p *Planner) serviceLoad(service string) Load {
	t := Load{Service: service}
	for _, r := range p.reports {
		if r.Load.Service == service {
			t.Slots += r.Load.Slots
			t.Busy += r.Load.Busy
			t.Queued += r.Load.Queued
		}
	}
	return t
}
