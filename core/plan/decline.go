package plan

import (
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// declineHalfLife is the time after which a reported arrival has half its weight in the
	// estimate of a service's declined ratio. With reports every 250 ms the estimate follows a
	// fault, and its end, within a second.
	declineHalfLife = 200 * time.Millisecond
	// declineConfidence is the number of standard errors by which the measured ratio must exceed
	// minDeclinedRatio before a service counts as declining. Chance exceeds it once in some
	// 1,000 plans.
	declineConfidence = 3
	// minDeclinedRatio is the ratio of declined arrivals that the retry limit covers for every
	// call, so that nothing has to be rationed.
	minDeclinedRatio = 0.05
)

// Arrivals counts the calls that a target was given, and those of them that it declined without
// executing them.
type Arrivals struct {
	Total    float64 `json:"total"`
	Declined float64 `json:"declined,omitempty"`
}

// Add counts a call that the target has ended.
func (a *Arrivals) Add(declined bool) {
	a.Total++
	if declined {
		a.Declined++
	}
}

// valid returns a, or no arrivals if no node can have counted them.
func (a Arrivals) valid() Arrivals {
	if !inRange(a.Total) || !inRange(a.Declined) || a.Declined > a.Total {
		return Arrivals{}
	}
	return a
}

// ratio returns the ratio of declined arrivals.
func (a Arrivals) ratio() float64 {
	if a.Total == 0 {
		return 0
	}
	return a.Declined / a.Total
}

// DeclinedRatio is the ratio of the arrivals at a service that its targets decline.
type DeclinedRatio struct {
	Service string  `json:"service"`
	Ratio   float64 `json:"share"`
}

// declineEstimate holds the decayed arrivals at the targets of one service.
type declineEstimate struct {
	Arrivals
	updatedAt time.Time
}

// declineEstimator estimates the declined ratio of each service.
type declineEstimator struct {
	services map[string]*declineEstimate
}

// observe adds the arrivals that a node reports for its target.
func (d *declineEstimator) observe(now time.Time, service string, a Arrivals) {
	if service == "" || a.Total == 0 {
		return
	}
	s, ok := d.services[service]
	if !ok {
		if d.services == nil {
			d.services = map[string]*declineEstimate{}
		}
		s = &declineEstimate{updatedAt: now}
		d.services[service] = s
	}
	s.decay(now)
	s.Total += a.Total
	s.Declined += a.Declined
}

func (s *declineEstimate) decay(now time.Time) {
	factor := math.Exp2(-max(0, now.Sub(s.updatedAt).Seconds()) / declineHalfLife.Seconds())
	s.Total *= factor
	s.Declined *= factor
	s.updatedAt = now
}

// ratio returns the declined ratio, or 0 if chance may explain what was seen.
func (s *declineEstimate) ratio() float64 {
	deviation := math.Sqrt(minDeclinedRatio * (1 - minDeclinedRatio) * s.Total)
	if s.Declined <= minDeclinedRatio*s.Total+declineConfidence*deviation {
		return 0
	}
	return s.Arrivals.ratio()
}

// ratios returns the services that decline more calls than chance explains, sorted by name.
func (d *declineEstimator) ratios(now time.Time) []DeclinedRatio {
	var out []DeclinedRatio
	for _, name := range slices.Sorted(maps.Keys(d.services)) {
		s := d.services[name]
		s.decay(now)
		if s.Total < minDecayedArrivals {
			delete(d.services, name)
			continue
		}
		if r := s.ratio(); r > 0 {
			out = append(out, DeclinedRatio{Service: name, Ratio: r})
		}
	}
	return out
}

// minDecayedArrivals is the decayed number of arrivals below which a service is forgotten.
const minDecayedArrivals = 0.5
