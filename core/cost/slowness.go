package cost

import (
	"math"
	"time"
)

const (
	// slownessHalfLife is the time after which a report has half its weight in the mean.
	slownessHalfLife = 10 * time.Second
	// reportLife is the age at which a report counts e times less: a few changes of the
	// slowness.
	reportLife = 400 * time.Millisecond
	// priorVariance is the weight of the assumption that a report is right, as a sum of
	// squared logarithms.
	priorVariance = 2.0
	maxSlowness   = 100.0
)

// Slowness is how long work takes at present at a target, relative to its usual time, by the
// target's own reports. A report counts by how well the earlier ones have predicted the
// service time.
type Slowness struct {
	last                 float64 // logarithm of the last report
	lastAt               time.Time
	mean                 float64 // mean logarithm of the reports
	weight               float64
	covariance, variance float64 // of the logarithms of reports and of measured times
}

// Report records a report, unless a newer one is known or no target can be that slow or fast.
func (s *Slowness) Report(now time.Time, ratio float64) {
	if now.Before(s.lastAt) || !(ratio >= 1/maxSlowness && ratio <= maxSlowness) {
		return
	}
	f := math.Exp2(-float64(max(0, now.Sub(s.lastAt))) / float64(slownessHalfLife))
	s.last, s.lastAt = math.Log(ratio), now
	s.weight = s.weight*f + 1
	s.mean += (s.last - s.mean) / s.weight
}

// Factor returns the estimated slowness at an instant. Without recent reports it tends to
// the mean of the earlier ones, which the estimated costs have been divided by.
func (s *Slowness) Factor(now time.Time) float64 {
	if s.lastAt.IsZero() {
		return 1
	}
	trust := math.Exp(-float64(max(0, now.Sub(s.lastAt))) / float64(reportLife))
	return math.Exp(s.mean + s.slope()*trust*(s.last-s.mean))
}

// Last returns the slowness at the time of the last report.
func (s *Slowness) Last() float64 { return s.Factor(s.lastAt) }

// slope returns the change of the measured logarithms for each unit of the reported ones.
func (s *Slowness) slope() float64 {
	return max(0, min(1, (s.covariance+priorVariance)/(s.variance+priorVariance)))
}

// Observe records that a call with the estimated cost took as long as measured, and ended with
// the last report.
func (s *Slowness) Observe(estimate, took time.Duration) {
	if s.lastAt.IsZero() || estimate <= 0 || took <= 0 {
		return
	}
	const forget = 1 - 1.0/2000 // of each observation
	reported := s.last - s.mean
	measured := math.Log(float64(took)/float64(estimate)) - s.mean
	s.covariance = s.covariance*forget + reported*measured
	s.variance = s.variance*forget + reported*reported
}
