package plan

import (
	"math"
	"slices"
	"strings"
	"time"
)

const (
	// halfLife is the time after which an observation has half its weight.
	halfLife = 10 * time.Second
	// priorCalls and priorSeconds are the assumption about a route before it has run: one
	// call per second on each child route, with the weight of a run of 50 ms.
	priorCalls   = 0.05
	priorSeconds = 0.05
	// minRuns is the number of runs from which a route's cost is reported.
	minRuns = 3
	// failedRunsWeight is the number of runs reported for a route whose cost is known only
	// from failed runs.
	failedRunsWeight = 0.01
	// minCallsPerRun is the number of calls per run below which a child route is left out
	// as noise of the attribution.
	minCallsPerRun = 0.05
)

// RouteCost is the cost of one run of a route at its target.
type RouteCost struct {
	Route    string        `json:"route"`
	HoldTime time.Duration `json:"hold"` // mean time that a run holds a slot, including waits for child calls
	Runs     float64       `json:"runs"` // decayed number of runs that were measured
	Calls    []ChildCalls  `json:"calls,omitempty"`
}

// Limits on the values of a cost that another node reports or that the store holds.
const (
	maxHoldTime   = time.Hour
	maxRuns       = 1e9
	maxChildCalls = 1e4 // calls of one run on one route
	maxChildren   = 256
)

// valid reports whether a run can have this cost.
func (r RouteCost) valid() bool {
	if r.HoldTime < 0 || r.HoldTime > maxHoldTime || !(r.Runs > 0 && r.Runs <= maxRuns) || len(r.Calls) > maxChildren {
		return false
	}
	return !slices.ContainsFunc(r.Calls, func(c ChildCalls) bool { return !(c.PerRun >= 0 && c.PerRun <= maxChildCalls) })
}

// ValidCosts returns the costs that a run can have, without the others.
func ValidCosts(rows []RouteCost) []RouteCost {
	return slices.DeleteFunc(slices.Clone(rows), func(r RouteCost) bool { return !r.valid() })
}

// ChildCalls is the number of calls that a run makes on another route.
type ChildCalls struct {
	Route  string  `json:"route"`
	PerRun float64 `json:"times"`
}

// routeStats holds the decayed observations of the runs of one route.
type routeStats struct {
	route         string
	running       int
	runSeconds    float64            // total duration of all runs, including those in progress
	inferredCalls map[string]float64 // by child route; calls without a run ID, attributed among the running routes
	exactCalls    map[string]float64 // by child route; calls with the ID of a run that succeeded
	holdSeconds   float64            // total duration of successful runs
	succeeded     float64            // number of successful runs
	failed        failedRuns
}

// failedRuns holds the decayed observations of failed runs. They cost less than complete
// runs, and are used only while no run succeeds.
type failedRuns struct {
	exactCalls  map[string]float64
	holdSeconds float64
	runs        float64
}

// callRate returns the estimated number of calls per second that a run makes on child.
func (s *routeStats) callRate(child string) float64 {
	return (s.inferredCalls[child] + priorCalls) / (s.runSeconds + priorSeconds)
}

// CostEstimator estimates the cost of the routes of the local target. A call by the target
// that does not carry the ID of the run it is made for is divided among the running
// routes, in proportion to the call rates estimated so far. This converges to the
// maximum-likelihood rates.
type CostEstimator struct {
	routes        []*routeStats
	hasExactCalls bool // calls carry the ID of the run they are made for
	updatedAt     time.Time
}

// statsOf returns the statistics of a route, which it adds if they are missing.
func (e *CostEstimator) statsOf(route string) *routeStats {
	i, ok := slices.BinarySearchFunc(e.routes, route, func(s *routeStats, r string) int {
		return strings.Compare(s.route, r)
	})
	if !ok {
		e.routes = slices.Insert(e.routes, i, &routeStats{route: route, inferredCalls: map[string]float64{}, exactCalls: map[string]float64{}, failed: failedRuns{exactCalls: map[string]float64{}}})
	}
	return e.routes[i]
}

// advance adds the time since the last event to the routes that are running.
func (e *CostEstimator) advance(now time.Time) {
	passed := now.Sub(e.updatedAt).Seconds()
	if e.updatedAt.IsZero() || passed < 0 {
		passed = 0
	}
	e.updatedAt = now
	for _, s := range e.routes {
		s.runSeconds += passed * float64(s.running)
	}
}

// ObserveStart records the start of a run.
func (e *CostEstimator) ObserveStart(now time.Time, route string) {
	e.advance(now)
	e.statsOf(route).running++
}

// ObserveEnd records the end of a run and the calls that carried its ID. Failed runs are
// counted apart, because they show neither how long a run takes nor what it calls.
func (e *CostEstimator) ObserveEnd(now time.Time, route string, took time.Duration, succeeded bool, childCalls []ChildCalls) {
	e.advance(now)
	s := e.statsOf(route)
	s.running = max(0, s.running-1)
	if len(childCalls) > 0 {
		e.hasExactCalls = true
	}
	if !succeeded {
		s.failed.holdSeconds += took.Seconds()
		s.failed.runs++
		for _, c := range childCalls {
			s.failed.exactCalls[c.Route] += c.PerRun
		}
		return
	}
	s.holdSeconds += took.Seconds()
	s.succeeded++
	for _, c := range childCalls {
		s.exactCalls[c.Route] += c.PerRun
	}
}

// ObserveCall records a call by the local target that carries no run ID.
func (e *CostEstimator) ObserveCall(now time.Time, child string) {
	e.advance(now)
	total := 0.0
	for _, s := range e.routes {
		total += float64(s.running) * s.callRate(child)
	}
	if total == 0 {
		return
	}
	for _, s := range e.routes {
		if s.running > 0 {
			s.inferredCalls[child] += float64(s.running) * s.callRate(child) / total
		}
	}
}

// HoldTime returns the mean duration of a successful run, or 0 if there are too few runs.
func (e *CostEstimator) HoldTime(route string) time.Duration {
	s := e.statsOf(route)
	if s.succeeded < minRuns {
		return 0
	}
	return time.Duration(s.holdSeconds / s.succeeded * float64(time.Second))
}

// CallsPerRun returns the mean number of calls that a successful run makes on all routes, or 0
// if there are too few runs.
func (e *CostEstimator) CallsPerRun(route string) float64 {
	s := e.statsOf(route)
	if s.succeeded < minRuns {
		return 0
	}
	total := 0.0
	for _, n := range s.exactCalls {
		total += n
	}
	return total / s.succeeded
}

// HasRuns reports whether any run is in progress at the target.
func (e *CostEstimator) HasRuns() bool {
	return slices.ContainsFunc(e.routes, func(s *routeStats) bool { return s.running > 0 })
}

// Decay reduces the weight of all observations for the time that has passed.
func (e *CostEstimator) Decay(passed time.Duration) {
	factor := math.Exp2(-passed.Seconds() / halfLife.Seconds())
	for _, s := range e.routes {
		s.runSeconds *= factor
		s.holdSeconds *= factor
		s.succeeded *= factor
		for child := range s.inferredCalls {
			s.inferredCalls[child] *= factor
		}
		for child := range s.exactCalls {
			s.exactCalls[child] *= factor
		}
		s.failed.holdSeconds *= factor
		s.failed.runs *= factor
		for child := range s.failed.exactCalls {
			s.failed.exactCalls[child] *= factor
		}
	}
}

// Costs returns the estimated costs, sorted by route.
func (e *CostEstimator) Costs() []RouteCost {
	var costs []RouteCost
	for _, s := range e.routes {
		if s.succeeded < minRuns {
			if s.failed.runs >= minRuns {
				costs = append(costs, s.failedCost())
			}
			continue
		}
		holdSeconds := s.holdSeconds / s.succeeded
		costs = append(costs, RouteCost{
			Route: s.route, HoldTime: time.Duration(holdSeconds * float64(time.Second)), Runs: s.succeeded,
			Calls: s.callsPerRun(e.hasExactCalls, holdSeconds),
		})
	}
	return costs
}

// failedCost returns the cost estimated from failed runs. Its weight is very low, so that
// costs that other nodes have measured from successful runs prevail.
func (s *routeStats) failedCost() RouteCost {
	return RouteCost{
		Route: s.route, HoldTime: time.Duration(s.failed.holdSeconds / s.failed.runs * float64(time.Second)),
		Runs: failedRunsWeight, Calls: scaledCalls(s.failed.exactCalls, 1/s.failed.runs),
	}
}

// callsPerRun returns the calls that a run of the given duration makes, sorted by route.
// exact selects the calls that carried a run ID, otherwise the attributed calls are used.
func (s *routeStats) callsPerRun(exact bool, holdSeconds float64) []ChildCalls {
	counts, factor := s.exactCalls, 1/s.succeeded
	if !exact {
		counts, factor = s.inferredCalls, holdSeconds/max(s.runSeconds, priorSeconds)
	}
	return scaledCalls(counts, factor)
}

// scaledCalls returns the counts multiplied by factor, sorted by route.
func scaledCalls(counts map[string]float64, factor float64) []ChildCalls {
	var out []ChildCalls
	for child, n := range counts {
		if n*factor >= minCallsPerRun {
			out = append(out, ChildCalls{Route: child, PerRun: n * factor})
		}
	}
	slices.SortFunc(out, func(a, b ChildCalls) int { return strings.Compare(a.Route, b.Route) })
	return out
}
