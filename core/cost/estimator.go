package cost

import (
	"math"
	"time"
)

const (
	// halfLife is the time after which an observation has half its weight.
	halfLife = 3 * time.Second
	// priorRuns is the weight of the service's mean in the estimate of a route, in runs.
	priorRuns = 8.0
	// maxRoutes bounds the memory.
	maxRoutes = 512
	// defaultCost is the estimate before the first observation.
	defaultCost = 10 * time.Millisecond
	minCost     = 10 * time.Microsecond
)

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

// Estimator estimates the cost of calls of one service: their service time at a target whose
// slowness is 1. It forgets within seconds and holds a bounded number of routes.
type Estimator struct {
	service average
	routes  map[string]*average
}

// NewEstimator returns an estimator without observations.
func NewEstimator() *Estimator { return &Estimator{routes: map[string]*average{}} }

// Unit returns the mean cost of the service's calls.
func (e *Estimator) Unit() time.Duration {
	if e.service.weight == 0 {
		return defaultCost
	}
	return duration(e.service.sum / e.service.weight)
}

// Estimate returns the expected cost of a call on a route. One without observations has the
// mean of the service.
func (e *Estimator) Estimate(now time.Time, route string) time.Duration {
	r, ok := e.routes[route]
	if !ok {
		return e.Unit()
	}
	return duration(r.shrunk(now, e.Unit().Seconds()))
}

// Observe records that a call on a route succeeded after took at a target of the given
// slowness.
func (e *Estimator) Observe(now time.Time, route string, took time.Duration, slowness float64) {
	seconds := max(took, minCost).Seconds() / slowness
	e.average(now, route).add(now, seconds)
	e.service.add(now, seconds)
}

// average returns the average of a route, which it adds if it is missing, in place of the one
// whose last observation is the oldest if there are too many.
func (e *Estimator) average(now time.Time, route string) *average {
	if r, ok := e.routes[route]; ok {
		return r
	}
	if len(e.routes) >= maxRoutes {
		oldest, at := "", now.Add(time.Hour)
		for name, r := range e.routes {
			if r.updatedAt.Before(at) {
				oldest, at = name, r.updatedAt
			}
		}
		delete(e.routes, oldest)
	}
	r := &average{}
	e.routes[route] = r
	return r
}

func duration(seconds float64) time.Duration {
	return max(minCost, time.Duration(seconds*float64(time.Second)))
}
