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
	priorCalls = 0.05
	priorTime  = 0.05 // seconds
	// minRuns are needed before a route's cost is worth reporting.
	minRuns = 3
	// partialWeight is the runs that a route's cost counts for which is known from
	// failed runs only.
	partialWeight = 0.01
	// minCalls a run are taken for noise of the attribution.
	minCalls = 0.05
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

// usage is what has been seen of one route's runs.
type usage struct {
	route   string
	running int
	time    float64            // seconds that runs have lasted together
	calls   map[string]float64 // shared out among the routes that ran
	made    map[string]float64 // by successful runs that their calls named
	hold    float64            // seconds that successful runs have lasted together
	done    float64            // successful runs
	failed  attempted
}

// attempted is what runs came to that failed: less than a whole run takes, but all
// there is to go by while none succeeds.
type attempted struct {
	made map[string]float64
	hold float64 // seconds
	runs float64
}

// rate returns the calls on a route that a run makes a second.
func (u *usage) rate(child string) float64 {
	return (u.calls[child] + priorCalls) / (u.time + priorTime)
}

// CostEstimator learns what the routes of the local target cost. Where the target's own
// calls do not say which run they are made for, they are shared among the routes
// that are running in proportion to the rates learned so far, which converges on
// the rates under which the calls seen are most likely.
type CostEstimator struct {
	routes []*usage
	named  bool // calls tell which run they are made for
	at     time.Time
}

func (l *CostEstimator) find(route string) *usage {
	i, ok := slices.BinarySearchFunc(l.routes, route, func(u *usage, r string) int {
		return strings.Compare(u.route, r)
	})
	if !ok {
		l.routes = slices.Insert(l.routes, i, &usage{route: route, calls: map[string]float64{}, made: map[string]float64{}, failed: attempted{made: map[string]float64{}}})
	}
	return l.routes[i]
}

// advance accounts for the time since the last event.
func (l *CostEstimator) advance(now time.Time) {
	passed := now.Sub(l.at).Seconds()
	if l.at.IsZero() || passed < 0 {
		passed = 0
	}
	l.at = now
	for _, u := range l.routes {
		u.time += passed * float64(u.running)
	}
}

// ObserveStart takes in the start of a run.
func (l *CostEstimator) ObserveStart(now time.Time, route string) {
	l.advance(now)
	l.find(route).running++
}

// ObserveEnd takes in the end of a run and the calls that named it. Only successful runs
// tell how long one lasts and what it calls.
func (l *CostEstimator) ObserveEnd(now time.Time, route string, took time.Duration, well bool, made []ChildCalls) {
	l.advance(now)
	u := l.find(route)
	u.running = max(0, u.running-1)
	if len(made) > 0 {
		l.named = true
	}
	if !well {
		u.failed.hold += took.Seconds()
		u.failed.runs++
		for _, c := range made {
			u.failed.made[c.Route] += c.PerRun
		}
		return
	}
	u.hold += took.Seconds()
	u.done++
	for _, c := range made {
		u.made[c.Route] += c.PerRun
	}
}

// ObserveCall takes in a call by the local target.
func (l *CostEstimator) ObserveCall(now time.Time, child string) {
	l.advance(now)
	total := 0.0
	for _, u := range l.routes {
		total += float64(u.running) * u.rate(child)
	}
	if total == 0 {
		return
	}
	for _, u := range l.routes {
		if u.running > 0 {
			u.calls[child] += float64(u.running) * u.rate(child) / total
		}
	}
}

// HoldTime returns how long a successful run of a route lasts, 0 if too few have been seen.
func (l *CostEstimator) HoldTime(route string) time.Duration {
	u := l.find(route)
	if u.done < minRuns {
		return 0
	}
	return time.Duration(u.hold / u.done * float64(time.Second))
}

// HasRuns reports whether the target runs anything.
func (l *CostEstimator) HasRuns() bool {
	return slices.ContainsFunc(l.routes, func(u *usage) bool { return u.running > 0 })
}

// Decay lets what was learned count for less after some time.
func (l *CostEstimator) Decay(passed time.Duration) {
	keep := math.Exp2(-passed.Seconds() / halfLife.Seconds())
	for _, u := range l.routes {
		u.time *= keep
		u.hold *= keep
		u.done *= keep
		for child := range u.calls {
			u.calls[child] *= keep
		}
		for child := range u.made {
			u.made[child] *= keep
		}
		u.failed.hold *= keep
		u.failed.runs *= keep
		for child := range u.failed.made {
			u.failed.made[child] *= keep
		}
	}
}

// Costs returns what was learned, in order of route.
func (l *CostEstimator) Costs() []RouteCost {
	var rows []RouteCost
	for _, u := range l.routes {
		if u.done < minRuns {
			if u.failed.runs >= minRuns {
				rows = append(rows, u.partial())
			}
			continue
		}
		hold := u.hold / u.done
		rows = append(rows, RouteCost{
			Route: u.route, HoldTime: time.Duration(hold * float64(time.Second)), Runs: u.done,
			Calls: u.perRun(l.named, hold),
		})
	}
	return rows
}

// partial returns what failed runs came to, with next to no weight beside what other
// nodes have learned from successful ones.
func (u *usage) partial() RouteCost {
	return RouteCost{
		Route: u.route, HoldTime: time.Duration(u.failed.hold / u.failed.runs * float64(time.Second)),
		Runs: partialWeight, Calls: sorted(u.failed.made, 1/u.failed.runs),
	}
}

// perRun returns the calls of one run in order of route.
func (u *usage) perRun(named bool, hold float64) []ChildCalls {
	seen, unit := u.made, 1/u.done
	if !named {
		seen, unit = u.calls, hold/max(u.time, priorTime)
	}
	return sorted(seen, unit)
}

// sorted returns the calls of a run in order of route, as each count stands for unit.
func sorted(seen map[string]float64, unit float64) []ChildCalls {
	var out []ChildCalls
	for child, n := range seen {
		if n*unit >= minCalls {
			out = append(out, ChildCalls{Route: child, PerRun: n * unit})
		}
	}
	slices.SortFunc(out, func(a, b ChildCalls) int { return strings.Compare(a.Route, b.Route) })
	return out
}
