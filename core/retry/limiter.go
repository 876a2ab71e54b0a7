package retry

import (
	"math"
	"time"
)

const (
	// ratioFraction of the fleet's bound is used: the calls that a repeated run makes
	// again count too, and nobody sees all of them.
	ratioFraction = 0.6
	// burstFraction and refillShare divide a node's part of the slack between what it
	// may have in store and what it gets in a window.
	burstFraction  = 0.5
	refillFraction = 0.4
	// callDecayFraction of a window is how long the ratio's part may be saved up.
	callDecayFraction = 0.3
)

// ServiceLimit limits what a service gets beyond the first arrival of each call.
type ServiceLimit struct {
	Ratio  float64       // of the calls for the service
	Slack  float64       // arrivals that are free in a window
	Window time.Duration // in which the bound holds
}

// ServiceLimiter is one node's part of the bound of every service. The ratio adds up
// over nodes by itself, as each counts its own calls; the slack is divided by
// their number.
type ServiceLimiter struct {
	limit     ServiceLimit
	nodeCount float64
	buckets   map[string]*serviceBucket
}

type serviceBucket struct {
	tokens      float64
	recentCalls float64 // of late: each counts less as time passes
	refilledAt  time.Time
}

// NewServiceLimiter returns a node's part of a bound.
func NewServiceLimiter(b ServiceLimit) *ServiceLimiter {
	return &ServiceLimiter{limit: b, nodeCount: 1, buckets: map[string]*serviceBucket{}}
}

// SetNodeCount says among how many nodes the slack is divided.
func (l *ServiceLimiter) SetNodeCount(nodes int) { l.nodeCount = float64(max(1, nodes)) }

// SetLimit changes the bound.
func (l *ServiceLimiter) SetLimit(b ServiceLimit) { l.limit = b }

// capacity returns how much may be in store: a part of the slack, and what the calls
// of late have added.
func (l *ServiceLimiter) capacity(s *serviceBucket) float64 {
	return max(1, burstFraction*l.limit.Slack/l.nodeCount) + ratioFraction*l.limit.Ratio*s.recentCalls
}

// bucket returns a service's store, filled up to now.
func (l *ServiceLimiter) bucket(now time.Time, service string) *serviceBucket {
	s, ok := l.buckets[service]
	if !ok {
		s = &serviceBucket{tokens: 1, refilledAt: now}
		l.buckets[service] = s
	}
	elapsed := now.Sub(s.refilledAt).Seconds()
	rate := refillFraction * l.limit.Slack / l.nodeCount / l.limit.Window.Seconds()
	s.recentCalls *= math.Exp(-elapsed / (callDecayFraction * l.limit.Window.Seconds()))
	s.tokens = min(l.capacity(s), s.tokens+rate*elapsed)
	s.refilledAt = now
	return s
}

// RecordCall counts a call for a service, whoever makes it.
func (l *ServiceLimiter) RecordCall(now time.Time, service string) {
	s := l.bucket(now, service)
	s.recentCalls++
	s.tokens = min(l.capacity(s), s.tokens+ratioFraction*l.limit.Ratio)
}

// Allow takes one further arrival at a service and reports whether there was one.
// Calls deep in a tree leave half of the store to those of callers: a tree whose
// service fails that often has little hope.
func (l *ServiceLimiter) Allow(now time.Time, service string, nested bool) bool {
	s := l.bucket(now, service)
	minTokens := 1.0
	if nested {
		minTokens = max(1, l.capacity(s)/2)
	}
	if s.tokens < minTokens {
		return false
	}
	s.tokens--
	return true
}
