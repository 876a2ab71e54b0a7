package core

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"celeryshelf/core/admit"
	"celeryshelf/core/plan"
)

// declineLogInterval is how long a service must accept calls before that is logged.
const declineLogInterval = 1 * time.Second

// declines is what a node knows of targets that decline calls without executing them.
type declines struct {
	arrivals plan.Arrivals      // at the local target since the last report
	ratios   map[string]float64 // by service, from the current plan
	// restricted holds the calls of which the current plan refuses some because a service on
	// their path declines calls.
	restricted map[admissionKey]bool
	// logged holds the services that this node has logged as the planner, with the time of the
	// last plan in which they declined calls.
	logged map[string]time.Time
}

// observeArrival counts a call that has left the local target.
func (s *State) observeArrival(declined bool) { s.declines.arrivals.Add(declined) }

// takeArrivals returns the arrivals at the local target since the last call.
func (s *State) takeArrivals() plan.Arrivals {
	a := s.declines.arrivals
	s.declines.arrivals = plan.Arrivals{}
	return a
}

// applyDeclining stores what a plan says of services that decline calls.
func (s *State) applyDeclining(admitted []plan.AdmitRatio, ratios []plan.DeclinedRatio) {
	clear(s.declines.ratios)
	clear(s.declines.restricted)
	if len(ratios) == 0 {
		return
	}
	if s.declines.ratios == nil {
		s.declines.ratios, s.declines.restricted = map[string]float64{}, map[admissionKey]bool{}
	}
	for _, d := range ratios {
		s.declines.ratios[d.Service] = d.Ratio
	}
	for _, a := range admitted {
		if a.Declining {
			s.declines.restricted[admissionKey{a.Route, a.Class}] = true
		}
	}
}

// expireDeclining drops what a plan said that is no longer applied.
func (s *State) expireDeclining(now time.Time) {
	if len(s.declines.ratios) > 0 && now.Sub(s.planning.receivedAt) > planTTL {
		s.applyDeclining(nil, nil)
	}
}

// logDeclining reports each service of a new plan that has begun to decline calls, and each that
// has accepted them for declineLogInterval.
func (s *State) logDeclining(now time.Time) {
	d := &s.declines
	for _, r := range s.planner(now).Declining() {
		if d.logged == nil {
			d.logged = map[string]time.Time{}
		}
		if _, ok := d.logged[r.Service]; !ok {
			s.addNotice(Notice{Kind: NoticeServiceDeclining, Detail: fmt.Sprintf("%s declines %.2f", r.Service, r.Ratio)})
		}
		d.logged[r.Service] = now
	}
	for _, service := range slices.Sorted(maps.Keys(d.logged)) {
		if now.Sub(d.logged[service]) >= declineLogInterval {
			delete(d.logged, service)
			s.addNotice(Notice{Kind: NoticeServiceAccepting, Detail: service})
		}
	}
}

// declining reports whether the current plan says that a service declines calls.
func (s *State) declining(now time.Time, service string) bool {
	return s.declines.ratios[service] > 0 && now.Sub(s.planning.receivedAt) <= planTTL
}

// reasonForShedding returns why overload control does not admit a call.
func (s *State) reasonForShedding(c *call) Reason {
	if s.declines.restricted[admissionKey{c.route, c.rank.Class}] {
		return ReasonDeclining
	}
	return ReasonShed
}

// allowRetry reports whether the limit on retries at a call's service allows another one.
// While the service declines calls, the retries go to the trees that are the most important and
// the closest to their end; spread evenly they would let hardly any whole tree succeed.
func (s *State) allowRetry(now time.Time, c *call) bool {
	if !s.declining(now, c.service) {
		return s.retryLimiter.Allow(now, c.service, c.parent != 0)
	}
	p := s.calls[c.parent]
	if c.parent != 0 && (p == nil || p.failedChildCount > 0) {
		return false // its tree has ended, or can no longer succeed
	}
	return s.retryLimiter.AllowAbove(now, c.service, s.retryReserve(c, p))
}

// retryReserve returns the share of the retries at hand that a call leaves for others: 0 for the
// last call of a tree of the highest class, maxRetryReserve for the first one of the lowest.
func (s *State) retryReserve(c, parent *call) float64 {
	classes := float64(s.manifest.topClass) + 1
	class, progress := float64(c.rank.Class), 1.0
	switch {
	case parent != nil:
		progress = s.treeProgress(parent)
	case c.unattributed:
		class, progress = s.meanRunningClass(), 0
	}
	hash := 1 - float64(c.rank.Hash)/admit.HashBuckets
	return maxRetryReserve * (1 - (class+(1-hashWeight)*progress+hashWeight*hash)/classes)
}

// maxRetryReserve is the share of the retries at hand that the least important calls leave for
// others. A larger one leaves retries unused when calls are first declined.
const maxRetryReserve = 0.6

// hashWeight is the weight of the root's hash relative to the progress of its tree.
const hashWeight = 0.5

// treeProgress returns the inverse of the number of child calls that a running call still needs,
// judged by what its route usually makes.
func (s *State) treeProgress(p *call) float64 {
	expected := s.planning.costEstimator.CallsPerRun(p.route)
	return 1 / max(1, expected-float64(p.succeededChildren))
}

// meanRunningClass returns the mean class of the calls that run at the local target. A call of
// the target that does not name its parent is made for one of them.
func (s *State) meanRunningClass() float64 {
	sum := 0
	for _, c := range s.runningByRequestID {
		sum += int(c.rank.Class)
	}
	return float64(sum) / max(1, float64(len(s.runningByRequestID)))
}
