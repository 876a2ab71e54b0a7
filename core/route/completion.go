package route

import (
	"math"
	"slices"
	"time"
)

const (
	// choiceSize is the number of endpoints of a service that a node compares by completion
	// time, half of them in its own domain. The numbers come with answers: with more
	// endpoints they are older, and more nodes move to the same endpoint at once.
	choiceSize = 8
	// maxUnitTimeAge is how long a published number is used.
	maxUnitTimeAge = 2 * time.Second
	// unitTimeLife is the age at which the difference between a published number and the
	// usual one counts half.
	unitTimeLife = 1 * time.Second
	// usualTimeWeight is the weight of a new number in the usual one.
	usualTimeWeight = 1.0 / 32
	// sentWeight is the number of calls that each call sent from here since the last number
	// counts for: other nodes have seen a similar number and send calls as well.
	sentWeight = 4
	// crossDomainRoundTrip is how much longer a call to another domain takes.
	crossDomainRoundTrip = 1800 * time.Microsecond
	// crossDomainMargin is the ratio by which an endpoint of another domain has to be better,
	// as bytes between domains are billed.
	crossDomainMargin = 1.1
	// waitingRatio is the ratio of the completion time to the service time above which an
	// endpoint outside the usual ones is considered.
	waitingRatio = 1.5
	// Failed answers: the weight of the latest, the time after which the risk has halved, and
	// the largest risk that counts.
	failureWeight   = 0.05
	failureHalfLife = 2 * time.Second
	maxFailureRisk  = 0.9
)

// Work is what an endpoint's node publishes of the work there.
type Work struct {
	UnitTime    time.Duration // until a further call of unit cost would complete, 0 if not published
	ServiceTime time.Duration // the part of UnitTime for which the call would run
}

// published is what an endpoint's node has published, with what this node has sent since.
type published struct {
	work      Work
	workAt    time.Time
	usualTime float64 // moving average of UnitTime, in nanoseconds
	sent      int     // calls from this node since

	failureRisk fadingAverage // of failed answers
	transit     fadingAverage // of the time of a call beyond its service time, in nanoseconds
}

// fadingAverage is a moving average that returns to 0 without observations.
type fadingAverage struct {
	last float64
	at   time.Time
}

// value returns the average after the time since the last observation, of which halfLife halves
// it.
func (a *fadingAverage) value(now time.Time, halfLife time.Duration) float64 {
	if a.last == 0 {
		return 0
	}
	return a.last * math.Exp2(-float64(now.Sub(a.at))/float64(halfLife))
}

// observe adds an observation with the given weight.
func (a *fadingAverage) observe(now time.Time, halfLife time.Duration, x, weight float64) {
	v := a.value(now, halfLife)
	a.last, a.at = v+weight*(x-v), now
}

// transitHalfLife is the time after which a measured transit time counts half. A link that was
// slow is tried again.
const transitHalfLife = 2 * time.Second

// RecordTransit records how much longer than its service time a call to the endpoint took: the
// way there and back, and its wait.
func (e *Endpoint) RecordTransit(now time.Time, d time.Duration) {
	e.transit.observe(now, transitHalfLife, float64(max(0, d)), latencySmoothing)
}

func (e *Endpoint) transitTime(now time.Time) float64 { return e.transit.value(now, transitHalfLife) }

// SetWork records what the endpoint's node has published, unless a newer number is known.
func (e *Endpoint) SetWork(now time.Time, w Work) {
	if w.UnitTime <= 0 || now.Before(e.workAt) {
		return
	}
	if e.usualTime == 0 {
		e.usualTime = float64(w.UnitTime)
	}
	e.usualTime += usualTimeWeight * (float64(w.UnitTime) - e.usualTime)
	e.work, e.workAt, e.sent = w, now, 0
}

// RecordResult records whether an attempt failed at the endpoint.
func (e *Endpoint) RecordResult(now time.Time, failed bool) {
	result := 0.0
	if failed {
		result = 1
	}
	e.failureRisk.observe(now, failureHalfLife, result, failureWeight)
}

func (e *Endpoint) risk(now time.Time) float64 { return e.failureRisk.value(now, failureHalfLife) }

// completion estimates the time until a call would be answered, in nanoseconds, whose cost is
// the given multiple of the unit. ok is false without a recent published number.
func (e *Endpoint) completion(now time.Time, cost float64) (nanos float64, ok bool) {
	age := now.Sub(e.workAt)
	if e.work.UnitTime <= 0 || age > maxUnitTimeAge {
		return 0, false
	}
	trust := 1 / (1 + max(0, float64(age))/float64(unitTimeLife))
	unit := e.usualTime + trust*(float64(e.work.UnitTime)-e.usualTime)
	unit *= 1 + sentWeight*float64(e.sent)/float64(max(1, e.Slots))
	total := unit + (cost-1)*float64(e.work.ServiceTime)
	return total / (e.slowStartShare(now) * (1 - min(maxFailureRisk, e.risk(now)))), true
}

// slowStartShare returns the share of its calls that an endpoint gets at present.
func (e *Endpoint) slowStartShare(now time.Time) float64 {
	age := now.Sub(e.slowStartAt)
	if age >= slowStartDuration {
		return 1
	}
	return max(minSlowStartShare, float64(age)/float64(slowStartDuration))
}

// completion returns the expected completion time as seen from this node's domain.
func (t *Table) completion(now time.Time, e *Endpoint, cost float64) (float64, bool) {
	c, ok := e.completion(now, cost)
	if !ok {
		return 0, false
	}
	if e.Domain != t.domain {
		return c*crossDomainMargin + max(float64(crossDomainRoundTrip), e.transitTime(now)), true
	}
	return c + e.transitTime(now), true
}

// PickByCompletion chooses the endpoint at which a call would complete first, among a few
// that this node normally uses; cost is the call's cost as a multiple of the unit. Endpoints
// of which no recent number is known are compared as by Pick. If none has one, Pick chooses.
func (t *Table) PickByCompletion(now time.Time, service string, seed uint64, cost float64, excluded []string) *Endpoint {
	s, ok := t.services[service]
	if !ok || !slices.ContainsFunc(s.choice, func(e *Endpoint) bool {
		return e.work.UnitTime > 0 && now.Sub(e.workAt) <= maxUnitTimeAge
	}) {
		return t.Pick(now, service, seed, excluded)
	}
	usable := func(e *Endpoint) bool {
		return e.ready(now) && !slices.Contains(excluded, e.Name) && (e.coldUntil.IsZero() || e.inColdShare(now, seed))
	}
	var best *Endpoint
	for i := range s.choice {
		// The order differs from call to call, as equal endpoints should get equal shares.
		e := s.choice[(i+int(seed%uint64(len(s.choice))))%len(s.choice)]
		if usable(e) {
			best = t.sooner(now, best, e, cost)
		}
	}
	if best == nil {
		return t.Pick(now, service, seed, excluded)
	}
	if c, ok := best.completion(now, 1); ok && c > waitingRatio*float64(best.work.ServiceTime) {
		if e := s.all[(seed>>16)%uint64(len(s.all))]; usable(e) {
			best = t.sooner(now, best, e, cost)
		}
	}
	return best
}

// sooner returns the endpoint at which a call would complete first; a may be nil.
func (t *Table) sooner(now time.Time, a, b *Endpoint, cost float64) *Endpoint {
	if a == nil {
		return b
	}
	costA, okA := t.completion(now, a, cost)
	costB, okB := t.completion(now, b, cost)
	if !okA || !okB {
		return t.cheaper(now, a, b)
	}
	if costB < costA {
		return b
	}
	return a
}

// updateChoice selects, from the subset before it is cut, the endpoints that are compared by completion time: those with the
// highest rendezvous hash, up to half of them in the node's own domain.
func (t *Table) updateChoice(s *serviceEndpoints) {
	s.choice = s.choice[:0]
	for _, own := range []bool{true, false} {
		limit := choiceSize
		if own {
			limit /= 2
		}
		for _, e := range s.subset {
			if len(s.choice) < limit && (e.Domain == t.domain) == own {
				s.choice = append(s.choice, e)
			}
		}
	}
}
