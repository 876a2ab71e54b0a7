package plan

import (
	"math"
	"slices"
	"strings"
	"time"
)

const (
	// halfLife is how long it takes for what was learned to count half.
	halfLife = 10 * time.Second
	// priorCalls and priorTime are what is assumed of a route before it has run:
	// one call a second of each kind, with the weight of 50 ms.
	priorCalls   = 0.05
	priorSeconds = 0.05 // seconds
	// minRuns are needed before a route's cost is worth reporting.
	minRuns = 3
	// failedRunsWeight is the runs that a route's cost counts for which is known from
	// failed runs only.
	failedRunsWeight = 0.01
	// minCallsPerRun a run are taken for noise of the attribution.
	minCallsPerRun = 0.05
)

// RouteCost is what one run of a route costs at its target.
type RouteCost struct {
	Route    string        `json:"route"`
	HoldTime time.Duration `json:"hold"` // a slot is held, the waits for child calls included
	Runs     float64       `json:"runs"` // recent ones that this was learned from
	Calls    []ChildCalls  `json:"calls,omitempty"`
}

// ChildCalls is how often a run makes calls on another route.
type ChildCalls struct {
	Route  string  `json:"route"`
	PerRun float64 `json:"times"` // a run
}

// routeStats is what has been seen of one route's runs.
type routeStats struct {
	route         string
	running       int
	runSeconds    float64            // seconds that runs have lasted together
	inferredCalls map[string]float64 // shared out among the routes that ran
	exactCalls    map[string]float64 // by successful runs that their calls named
	holdSeconds   float64            // seconds that successful runs have lasted together
	succeeded     float64            // successful runs
	failed        failedRuns
}

// failedRuns is what runs came to that failed: less than a whole run takes, but all
// there is to go by while none succeeds.
type failedRuns struct {
	exactCalls  map[string]float64
	holdSeconds float64 // seconds
	runs        float64
}

// callRate returns the calls on a route that a run makes a second.
func (u *routeStats) callRate(child string) float64 {
	return (u.inferredCalls[child] + priorCalls) / (u.runSeconds + priorSeconds)
}

// CostEstimator learns what the routes of the local target cost. Where the target's own
// calls do not say which run they are made for, they are shared among the routes
// that are running in proportion to the rates learned so far, which converges on
// the rates under which the calls seen are most likely.
type CostEstimator struct {
	routes        []*routeStats
	hasExactCalls bool // calls tell which run they are made for
	updatedAt     time.Time
}

func (l *CostEstimator) statsOf(route string) *routeStats {
	i, ok := slices.BinarySearchFunc(l.routes, route, func(u *routeStats, r string) int {
		return strings.Compare(u.route, r)
	})
	if !ok {
		l.routes = slices.Insert(l.routes, i, &routeStats{route: route, inferredCalls: map[string]float64{}, exactCalls: map[string]float64{}, failed: failedRuns{exactCalls: map[string]float64{}}})
	}
	return l.routes[i]
}

// advance accounts for the time since the last event.
func (l *CostEstimator) advance(now time.Time) {
	passed := now.Sub(l.updatedAt).Seconds()
	if l.updatedAt.IsZero() || passed < 0 {
		passed = 0
	}
	l.updatedAt = now
	for _, u := range l.routes {
		u.runSeconds += passed * float64(u.running)
	}
}

// ObserveStart takes in the start of a run.
func (l *CostEstimator) ObserveStart(now time.Time, route string) {
	l.advance(now)
	l.statsOf(route).running++
}

// ObserveEnd takes in the end of a run and the calls that named it. Only successful runs
// tell how long one lasts and what it calls.
func (l *CostEstimator) ObserveEnd(now time.Time, route string, took time.Duration, well bool, made []ChildCalls) {
	l.advance(now)
	u := l.statsOf(route)
	u.running = max(0, u.running-1)
	if len(made) > 0 {
		l.hasExactCalls = true
	}
	if !well {
		u.failed.holdSeconds += took.Seconds()
		u.failed.runs++
		for _, c := range made {
			u.failed.exactCalls[c.Route] += c.PerRun
		}
		return
	}
	u.holdSeconds += took.Seconds()
	u.succeeded++
	for _, c := range made {
		u.exactCalls[c.Route] += c.PerRun
	}
}

// ObserveCall takes in a call by the local target.
func (l *CostEstimator) ObserveCall(now time.Time, child string) {
	l.advance(now)
	total := 0.0
	for _, u := range l.routes {
		total += float64(u.running) * u.callRate(child)
	}
	if total == 0 {
		return
	}
	for _, u := range l.routes {
		if u.running > 0 {
			u.inferredCalls[child] += float64(u.running) * u.callRate(child) / total
		}
	}
}

// HoldTime returns how long a successful run of a route lasts, 0 if too few have been seen.
func (l *CostEstimator) HoldTime(route string) time.Duration {
	u := l.statsOf(route)
	if u.succeeded < minRuns {
		return 0
	}
	return time.Duration(u.holdSeconds / u.succeeded * float64(time.Second))
}

// HasRuns reports whether the target runs anything.
func (l *CostEstimator) HasRuns() bool {
	return slices.ContainsFunc(l.routes, func(u *routeStats) bool { return u.running > 0 })
}

// Decay lets what was learned count for less after some time.
func (l *CostEstimator) Decay(passed time.Duration) {
	keep := math.Exp2(-passed.Seconds() / halfLife.Seconds())
	for _, u := range l.routes {
		u.runSeconds *= keep
		u.holdSeconds *= keep
		u.succeeded *= keep
		for child := range u.inferredCalls {
			u.inferredCalls[child] *= keep
		}
		for child := range u.exactCalls {
			u.exactCalls[child] *= keep
		}
		u.failed.holdSeconds *= keep
		u.failed.runs *= keep
		for child := range u.failed.exactCalls {
			u.failed.exactCalls[child] *= keep
		}
	}
}

// Costs returns what was learned, in order of route.
func (l *CostEstimator) Costs() []RouteCost {
	var rows []RouteCost
	for _, u := range l.routes {
		if u.succeeded < minRuns {
			if u.failed.runs >= minRuns {
				rows = append(rows, u.failedCost())
			}
			continue
		}
		hold := u.holdSeconds / u.succeeded
		rows = append(rows, RouteCost{
			Route: u.route, HoldTime: time.Duration(hold * float64(time.Second)), Runs: u.succeeded,
			Calls: u.callsPerRun(l.hasExactCalls, hold),
		})
	}
	return rows
}

// failedCost returns what failed runs came to, with next to no weight beside what other
// nodes have learned from successful ones.
func (u *routeStats) failedCost() RouteCost {
	return RouteCost{
		Route: u.route, HoldTime: time.Duration(u.failed.holdSeconds / u.failed.runs * float64(time.Second)),
		Runs: failedRunsWeight, Calls: scaledCalls(u.failed.exactCalls, 1/u.failed.runs),
	}
}

// callsPerRun returns the calls of one run in order of route.
func (u *routeStats) callsPerRun(named bool, hold float64) []ChildCalls {
	seen, unit := u.exactCalls, 1/u.succeeded
	if !named {
		seen, unit = u.inferredCalls, hold/max(u.runSeconds, priorSeconds)
	}
	return scaledCalls(seen, unit)
}

// scaledCalls returns the calls of a run in order of route, as each count stands for unit.
func scaledCalls(seen map[string]float64, unit float64) []ChildCalls {
	var out []ChildCalls
	for child, n := range seen {
		if n*unit >= minCallsPerRun {
			out = append(out, ChildCalls{Route: child, PerRun: n * unit})
		}
	}
	slices.SortFunc(out, func(a, b ChildCalls) int { return strings.Compare(a.Route, b.Route) })
	return out
}
