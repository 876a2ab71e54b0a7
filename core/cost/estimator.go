package cost

import (
	"math"
	"math/bits"
	"time"
)

const (
	// halfLife is the time after which an observation has half its weight.
	halfLife = 3 * time.Second
	// priorRuns is the weight of the coarser estimate in a finer one, in runs.
	priorRuns = 8.0
	// keepBelow and dropAbove are the squared error with a split, as a ratio of that without
	// it, at which the split starts and ends being used.
	keepBelow = 0.97
	dropAbove = 1.0
	// minSplitRuns is the weight of the errors from which a split can be used.
	minSplitRuns = 30.0
	// maxRoutes and maxCells bound the memory: at most about 2 MB when both are reached.
	maxRoutes = 128
	maxCells  = 96 // of one route
	// defaultCost is the estimate before the first observation.
	defaultCost = 10 * time.Millisecond
	minCost     = 10 * time.Microsecond
)

// Call holds the properties of a call by which its cost is estimated.
type Call struct {
	Route     string
	Workspace string
	Method    string
	BodyBytes int64 // size of the request's body, negative if unknown
}

// dimension is a property that the calls of a route are split by.
type dimension uint8

const (
	byWorkspace dimension = iota
	byMethod
	byBodySize
	dimensions
)

// cellKey is one value of one dimension.
type cellKey struct {
	dimension dimension
	name      string
	size      int8 // bits of the body's size, -1 if unknown
}

func (c Call) key(d dimension) cellKey {
	switch d {
	case byWorkspace:
		return cellKey{dimension: d, name: c.Workspace}
	case byMethod:
		return cellKey{dimension: d, name: c.Method}
	default:
		if c.BodyBytes < 0 {
			return cellKey{dimension: d, size: -1}
		}
		return cellKey{dimension: d, size: int8(bits.Len64(uint64(c.BodyBytes)))}
	}
}

// average is an average whose observations lose weight with time.
type average struct {
	weight, sum float64
	updatedAt   time.Time
}

func decayFactor(elapsed time.Duration) float64 {
	if elapsed <= 0 {
		return 1
	}
	return math.Exp2(-float64(elapsed) / float64(halfLife))
}

func (a *average) add(now time.Time, x float64) {
	f := decayFactor(now.Sub(a.updatedAt))
	a.weight, a.sum, a.updatedAt = a.weight*f+1, a.sum*f+x, now
}

// shrunk returns the average with prior counted as priorRuns further observations.
func (a *average) shrunk(now time.Time, prior float64) float64 {
	f := decayFactor(now.Sub(a.updatedAt))
	return (a.sum*f + priorRuns*prior) / (a.weight*f + priorRuns)
}

// split tracks whether a dimension explains the variance that the coarser estimate leaves.
type split struct {
	without, with average // squared errors
	used          bool
}

func (s *split) observe(now time.Time, without, with float64) {
	s.without.add(now, without)
	s.with.add(now, with)
	switch {
	case s.with.weight < minSplitRuns || s.with.sum > dropAbove*s.without.sum:
		s.used = false
	case s.with.sum < keepBelow*s.without.sum:
		s.used = true
	}
}

// routeStats holds the observations of one route.
type routeStats struct {
	seconds average
	splits  [dimensions]split
	cells   map[cellKey]*average // ratio of the cost to the coarser estimate
	shape   shape
}

// Estimator estimates the cost of calls of one service: their service time at a target whose
// slowness is 1. It forgets within seconds and holds a bounded number of routes and values.
type Estimator struct {
	service average
	routes  map[string]*routeStats
	known   bool
}

// NewEstimator returns an estimator without observations.
func NewEstimator() *Estimator { return &Estimator{routes: map[string]*routeStats{}} }

// Unit returns the mean cost of the service's calls.
func (e *Estimator) Unit() time.Duration {
	if !e.known {
		return defaultCost
	}
	return duration(e.service.sum / e.service.weight)
}

// Estimate returns the expected cost of a call.
func (e *Estimator) Estimate(now time.Time, c Call) time.Duration {
	unit := e.Unit().Seconds()
	r, ok := e.routes[c.Route]
	if !ok {
		return duration(unit)
	}
	estimate := r.seconds.shrunk(now, unit)
	for d := range dimensions {
		if r.splits[d].used {
			estimate *= r.ratio(now, c.key(d))
		}
	}
	return duration(estimate)
}

// Tail returns the cost that one call in a hundred like c exceeds.
func (e *Estimator) Tail(now time.Time, c Call) time.Duration {
	estimate := e.Estimate(now, c)
	if r, ok := e.routes[c.Route]; ok {
		return time.Duration(r.shape.quantile(0.99) * float64(estimate))
	}
	return time.Duration(priorShape.quantile(0.99) * float64(estimate))
}

// Remaining returns the expected remaining cost of a call on a route that was estimated at
// estimate and of which spent is done.
func (e *Estimator) Remaining(route string, estimate, spent time.Duration) time.Duration {
	progress := float64(spent) / float64(max(estimate, minCost))
	curve := &priorShape
	if r, ok := e.routes[route]; ok {
		curve = &r.shape
	}
	return time.Duration(curve.remaining(progress) * float64(estimate))
}

// Observe records that a call succeeded after took at a target of the given slowness.
func (e *Estimator) Observe(now time.Time, c Call, took time.Duration, slowness float64) {
	seconds := max(took, minCost).Seconds() / slowness
	unit := e.Unit().Seconds()
	if !e.known {
		unit = seconds
	}
	r := e.statsOf(now, c.Route)
	estimate := r.seconds.shrunk(now, unit)
	for d := range dimensions {
		key := c.key(d)
		finer := estimate * r.ratio(now, key)
		r.splits[d].observe(now, square(seconds-estimate), square(seconds-finer))
		r.cell(key).add(now, seconds/estimate)
		if r.splits[d].used {
			estimate = finer
		}
	}
	r.shape.add(now, seconds/estimate)
	r.seconds.add(now, seconds)
	e.service.add(now, seconds)
	e.known = true
}

// statsOf returns the statistics of a route, which it adds if they are missing, in place of
// the route whose last observation is the oldest if there are too many.
func (e *Estimator) statsOf(now time.Time, route string) *routeStats {
	if r, ok := e.routes[route]; ok {
		return r
	}
	if len(e.routes) >= maxRoutes {
		oldest, at := "", now.Add(time.Hour)
		for name, r := range e.routes {
			if r.seconds.updatedAt.Before(at) {
				oldest, at = name, r.seconds.updatedAt
			}
		}
		delete(e.routes, oldest)
	}
	r := &routeStats{cells: map[cellKey]*average{}, shape: priorShape}
	e.routes[route] = r
	return r
}

// ratio returns the cost of calls with a value of a dimension, divided by the coarser estimate.
func (r *routeStats) ratio(now time.Time, key cellKey) float64 {
	if a, ok := r.cells[key]; ok {
		return a.shrunk(now, 1)
	}
	return 1
}

// cell returns the average of a value, which it adds if it is missing, in place of the value
// whose last observation is the oldest if there are too many.
func (r *routeStats) cell(key cellKey) *average {
	a, ok := r.cells[key]
	if ok {
		return a
	}
	if len(r.cells) >= maxCells {
		var oldest cellKey
		var at time.Time
		for k, candidate := range r.cells {
			if at.IsZero() || candidate.updatedAt.Before(at) {
				oldest, at = k, candidate.updatedAt
			}
		}
		delete(r.cells, oldest)
	}
	a = &average{}
	r.cells[key] = a
	return a
}

func duration(seconds float64) time.Duration {
	return max(minCost, time.Duration(seconds*float64(time.Second)))
}

func square(x float64) float64 { return x * x }
