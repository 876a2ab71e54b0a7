package plan

import (
	"maps"
	"math"
	"slices"
	"strings"
	"time"
)

const (
	// freshFor is how long a report counts: several times the pause between two.
	freshFor = 1500 * time.Millisecond
	// full is the share of its slots that a service is planned to use. What is
	// left absorbs the unevenness of a few tens of calls.
	full = 1.0
	// crowded is the mean queue, as a share of the slots, from which the plan is
	// taken to have let in too much; below idle use it let in too little.
	crowded = 0.20
	idle    = 0.94
	// A service's capacity is corrected at each plan, within leastTrim and mostTrim:
	// down by trimDown of the queue's share of the slots, up by the power trimUp of how
	// much too little is used, by mostStep at most. What is let in shows three plans
	// later; twice these gains make it swing.
	trimDown  = 0.04
	trimUp    = 0.1
	mostStep  = 1.08
	leastTrim = 0.6
	mostTrim  = 2.5
	// trimFade is the part of a correction that is forgotten at each plan that holds
	// nothing back for the service.
	trimFade = 0.02
	// leastShare of the callers of every class are let in, so that none is starved;
	// of calls it is less where callers come back.
	leastShare = 0.25
	// lowest is the share of calls below which nothing is held back.
	lowest = 0.02
	// maxDepth bounds the depth of a call graph that is followed.
	maxDepth = 30
	// rounds bounds how many times a service is relieved in one plan.
	rounds = 16
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

type received struct {
	Report
	at time.Time
}

// Planner works out plans from the reports of all nodes.
type Planner struct {
	reports map[string]received
	trim    map[string]float64 // by service
	plan    []AdmitRatio
	text    string
	known   map[string]remembered // costs by route
	binding map[string]bool       // services that the last plan held back calls for
}

// NewPlanner returns a planner without reports.
func NewPlanner() *Planner {
	return &Planner{reports: map[string]received{}, trim: map[string]float64{}, known: map[string]remembered{}}
}

// SetReport keeps a node's newest report.
func (p *Planner) SetReport(now time.Time, node string, r Report) {
	p.reports[node] = received{Report: r, at: now}
}

// Plan returns the last plan: what is not in it is let in whole.
func (p *Planner) Plan() []AdmitRatio { return p.plan }

// Replan makes a new plan from the reports that are fresh.
func (p *Planner) Replan(now time.Time, services TrafficSplit) {
	maps.DeleteFunc(p.reports, func(_ string, r received) bool { return now.Sub(r.at) > freshFor })
	w := &work{services: services, rows: p.remember(now, p.rows()), costs: map[string]map[string]float64{}}
	w.offers = p.offers(w)
	capacity := p.capacity()
	p.binding = map[string]bool{}
	for range rounds {
		service, excess := w.worst(capacity)
		if service == "" {
			break
		}
		p.binding[service] = true
		if left := w.relieve(service, excess); left > 0 {
			w.squeeze(service, left)
		}
	}
	p.plan = w.keeps()
	p.text = w.describe(p, capacity)
}

// Summary returns the last plan and what it was made from, for the log.
func (p *Planner) Summary() string { return p.text }

// remembered is what a route cost when it was last known from successful runs.
type remembered struct {
	row RouteCost
	at  time.Time
}

// rememberFor is how long a route's cost is kept that no node reports any more: nodes
// that have started again know nothing, and under overload they may not learn.
const rememberFor = time.Minute

// remember fills in what is known from before for routes that nodes report nothing
// of, or only failed runs.
func (p *Planner) remember(now time.Time, rows map[string]RouteCost) map[string]RouteCost {
	for route, r := range rows {
		if r.Runs >= minRuns {
			p.known[route] = remembered{row: r, at: now}
		}
	}
	for route, k := range p.known {
		switch {
		case now.Sub(k.at) > rememberFor:
			delete(p.known, route)
		case rows[route].Runs < minRuns:
			rows[route] = k.row
		}
	}
	return rows
}

// RestoreCosts takes in what calls cost as an earlier planner knew it. What this one knows
// already stands.
func (p *Planner) RestoreCosts(now time.Time, rows []RouteCost) {
	for _, r := range rows {
		if _, ok := p.known[r.Route]; !ok {
			p.known[r.Route] = remembered{row: r, at: now}
		}
	}
}

// Costs returns what calls cost as far as it is known from successful runs, in order of
// route.
func (p *Planner) Costs() []RouteCost {
	out := make([]RouteCost, 0, len(p.known))
	for _, route := range slices.Sorted(maps.Keys(p.known)) {
		out = append(out, p.known[route].row)
	}
	return out
}

// similar bounds the ratio of two figures that are taken as the same: plans are
// corrected by feedback within that.
const similar = 1.3

// CostsDiffer reports whether two accounts of what calls cost lead to different plans.
func CostsDiffer(a, b []RouteCost) bool {
	return !slices.EqualFunc(a, b, func(x, y RouteCost) bool {
		return x.Route == y.Route && near(x.HoldTime.Seconds(), y.HoldTime.Seconds()) &&
			slices.EqualFunc(x.Calls, y.Calls, func(c, d ChildCalls) bool {
				return c.Route == d.Route && near(c.PerRun, d.PerRun)
			})
	})
}

func near(x, y float64) bool { return x <= y*similar && y <= x*similar }

// rows merges what nodes have learned of each route, weighted by the runs seen.
func (p *Planner) rows() map[string]RouteCost {
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

// offers adds up the demand of all nodes.
func (p *Planner) offers(w *work) []*offer {
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
	out := make([]*offer, 0, len(sums))
	for k, sum := range sums {
		out = append(out, &offer{
			route: k.route, class: k.class, rate: sum.Rate, share: 1, cost: w.cost(k.route, 0),
			least: max(lowest, leastShare*min(1, sum.FirstTryRate/sum.Rate)),
		})
	}
	slices.SortFunc(out, func(a, b *offer) int {
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
		t := p.total(service)
		if t.Slots <= 0 {
			delete(out, service)
			continue
		}
		trim, ok := p.trim[service]
		if !ok {
			trim = 1
		}
		switch {
		case t.Queued > crowded*t.Slots:
			trim = max(leastTrim, trim*(1-trimDown*min(1, t.Queued/t.Slots)))
		case !p.binding[service]:
			trim += (1 - trim) * trimFade
		case t.Busy < idle*t.Slots:
			step := mostStep
			if t.Busy > 0 {
				step = min(mostStep, math.Pow(idle*t.Slots/t.Busy, trimUp))
			}
			trim = min(mostTrim, trim*step)
		}
		p.trim[service] = trim
		out[service] = full * trim * t.Slots
	}
	return out
}

// total adds up what the nodes of a service report.
func (p *Planner) total(service string) Load {
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
