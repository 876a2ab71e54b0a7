package cost

import (
	"math"
	"time"
)

const (
	// The shape's buckets are half octaves of the ratio of a cost to its estimate, the first
	// from 0 to 2^minExponent.
	buckets     = 24
	minExponent = -3.0
	// priorShapeRuns is the weight of the exponential distribution in a new shape.
	priorShapeRuns = 20.0
	// curveRefresh is the number of observations after which the remaining costs are
	// computed again.
	curveRefresh = 32
	// minGrowth is the least growth of the remaining cost of a call beyond its estimate, for
	// each unit of the estimate that it has spent.
	minGrowth = 0.1
)

// shape is the distribution of costs divided by their estimates.
type shape struct {
	weight    [buckets]float64
	curve     [buckets]float64 // expected remaining cost at the lower bound of each bucket
	unseen    int              // observations since the curve was computed
	updatedAt time.Time
}

// priorShape is the shape of a route without observations: exponential.
var priorShape = newPriorShape()

func newPriorShape() shape {
	var s shape
	for b := range buckets {
		upper := 0.0
		if b < buckets-1 {
			upper = math.Exp(-bound(b + 1))
		}
		s.weight[b] = priorShapeRuns * (math.Exp(-bound(b)) - upper)
	}
	s.updateCurve()
	return s
}

// bound returns the lower bound of a bucket.
func bound(b int) float64 {
	if b == 0 {
		return 0
	}
	return math.Exp2(minExponent + float64(b-1)/2)
}

func bucketOf(ratio float64) int {
	if !(ratio > 0) {
		return 0
	}
	return max(0, min(buckets-1, int(math.Floor(2*(math.Log2(ratio)-minExponent)))+1))
}

// middle returns the ratio that stands for all in a bucket.
func middle(b int) float64 {
	if b == buckets-1 {
		return bound(b) * math.Sqrt2
	}
	return (bound(b) + bound(b+1)) / 2
}

func (s *shape) add(now time.Time, ratio float64) {
	f := decayFactor(now.Sub(s.updatedAt))
	if s.updatedAt.IsZero() {
		f = 1
	}
	for b := range s.weight {
		s.weight[b] *= f
	}
	s.updatedAt = now
	s.weight[bucketOf(ratio)]++
	if s.unseen++; s.unseen >= curveRefresh {
		s.updateCurve()
	}
}

// updateCurve computes the mean remaining cost at each bound. Beyond the estimate it never
// falls: a call that has outlasted its estimate is likely one of the tail.
func (s *shape) updateCurve() {
	s.unseen = 0
	mass, sum := 0.0, 0.0
	for b := buckets - 1; b >= 0; b-- {
		mass += s.weight[b]
		sum += s.weight[b] * middle(b)
		s.curve[b] = bound(b) * minGrowth
		if mass > 1e-3 {
			s.curve[b] = max(s.curve[b], sum/mass-bound(b))
		}
	}
	for b := 1; b < buckets; b++ {
		if bound(b) > 1 {
			s.curve[b] = max(s.curve[b], s.curve[b-1]+minGrowth*(bound(b)-bound(b-1)))
		}
	}
}

// remaining returns the expected remaining cost after progress, both relative to the estimate.
func (s *shape) remaining(progress float64) float64 {
	b := bucketOf(progress)
	if b == buckets-1 {
		return s.curve[b] + minGrowth*(progress-bound(b))
	}
	part := (progress - bound(b)) / (bound(b+1) - bound(b))
	return s.curve[b] + part*(s.curve[b+1]-s.curve[b])
}

// quantile returns the ratio below which the given share of all costs is.
func (s *shape) quantile(share float64) float64 {
	total := 0.0
	for _, w := range s.weight {
		total += w
	}
	below := 0.0
	for b, w := range s.weight {
		if below += w; below >= share*total && b < buckets-1 {
			return bound(b + 1)
		}
	}
	return bound(buckets - 1)
}
