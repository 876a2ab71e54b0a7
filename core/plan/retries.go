package plan

import "math"

const (
	// A route whose trees of calls succeed with a chance of fullTreeChance, or let as many others
	// succeed through the retries that their calls add, is admitted as without declined calls:
	// refusing its root calls would leave fewer trees served. From minTreeChance down, root calls are
	// admitted only as far as the retries suffice for whole trees.
	fullTreeChance = 0.1
	minTreeChance  = 0.05
	// retryRounds is the number of times that the retries at hand are computed again, as the
	// calls that are refused bring none.
	retryRounds = 4
)

// RetryLimit describes the retries that a service may receive.
type RetryLimit struct {
	Attempts int // most attempts of one call
	// Sustained returns the retries per second that the fleet makes at most at a service that
	// is sent the given number of calls per second.
	Sustained func(callsPerSecond float64) float64
}

// SetRetryLimit sets the limit on retries. Without one, declined calls restrict no root calls.
func (p *Planner) SetRetryLimit(l RetryLimit) { p.retries = l }

// treeOdds holds the arrivals of one tree of calls at a declining service, and its chance to
// succeed there.
type treeOdds struct {
	calls   float64 // first arrivals of a tree that succeeds
	retries float64 // further arrivals of a tree that is retried as often as it needs
	early   float64 // first arrivals of a tree without retries, which ends at its first declined call
	bare    float64 // chance without retries
	retried float64 // chance with as many as it needs
	nested  bool    // a declined call wastes the work done above it; a declined root call has not run
}

// oddsOf returns the odds of a tree with the given number of calls at a service that declines a
// ratio of its arrivals.
func oddsOf(calls, declined float64, attempts int) treeOdds {
	accepted := 1 - declined
	if accepted <= 0 {
		return treeOdds{calls: calls, retries: calls * float64(attempts-1), early: min(1, calls)}
	}
	eventually := 1 - math.Pow(declined, float64(attempts))
	return treeOdds{
		calls: calls, retries: calls * (eventually/accepted - 1), early: (1 - math.Pow(accepted, calls)) / declined,
		bare: math.Pow(accepted, calls), retried: math.Pow(eventually, calls),
	}
}

// worth returns how many trees succeed for one tree that is admitted, of which the given share
// gets the retries that it needs. Where that is little, the retries that its calls add let others
// succeed.
func (o treeOdds) worth(share float64, limit RetryLimit) float64 {
	added := limit.Sustained(o.early) - limit.Sustained(0)
	return o.bare + (o.retried-o.bare)*min(1, max(share, added/max(o.retries, minCallsPerRun)))
}

// limitByRetries restricts the streams whose trees are almost sure to fail at a declining service
// to the root calls that its limit on retries suffices for. The highest class takes its retries
// first.
func (sv *solver) limitByRetries(declining []DeclinedRatio, limit RetryLimit) {
	if limit.Sustained == nil {
		return
	}
	for _, d := range declining {
		odds := make([]treeOdds, len(sv.streams))
		unlimited := make([]float64, len(sv.streams))
		for i, s := range sv.streams {
			calls := sv.callsOf(s.route)[d.Service]
			odds[i], unlimited[i] = oddsOf(calls, d.Ratio, limit.Attempts), s.ratio
			odds[i].nested = calls-sv.rootCalls(s.route, d.Service) >= minCallsPerRun
		}
		for range retryRounds {
			sv.shareRetries(odds, unlimited, limit)
		}
	}
	for _, s := range sv.streams {
		s.declining = s.ratio < 1
	}
}

// rootCalls returns the fraction of the root calls on a route that go to a service.
func (sv *solver) rootCalls(route, service string) float64 {
	fraction := 0.0
	for _, s := range sv.split(route) {
		if s.Service == service {
			fraction += s.Fraction
		}
	}
	return fraction
}

// shareRetries sets the admit ratios of the streams from the retries that their calls add, at
// the ratios set before.
func (sv *solver) shareRetries(odds []treeOdds, unlimited []float64, limit RetryLimit) {
	calls := 0.0
	for i, s := range sv.streams {
		calls += s.rate * s.ratio * odds[i].early
	}
	left := limit.Sustained(calls)
	for i := len(sv.streams) - 1; i >= 0; i-- {
		s, o := sv.streams[i], odds[i]
		if o.calls < minCallsPerRun {
			continue
		}
		suffices := min(1, left/max(s.rate*unlimited[i]*o.retries, minStreamRate))
		hope := min(1, max(0, (o.worth(suffices, limit)-minTreeChance)/(fullTreeChance-minTreeChance)))
		if o.nested {
			suffices *= min(1, o.retried/fullTreeChance) // retries do not help if all are declined too
			s.ratio = unlimited[i] * max(suffices, hope, s.minRatio)
		}
		left = max(0, left-s.rate*s.ratio*o.retries)
	}
}
