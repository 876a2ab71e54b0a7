package retry

import (
	"math"
	"time"
)

const (
	// ratioFraction is the fraction of the configured ratio that a node uses. The rest is
	// a margin: the child calls that a repeated run makes again also count as extra
	// arrivals, and no node sees all of them.
	ratioFraction = 0.6
	// burstFraction and refillFraction divide a node's part of the slack between the
	// bucket's capacity and its refill per window.
	burstFraction  = 0.5
	refillFraction = 0.4
	// callDecayFraction is the time constant of the exponential decay of recentCalls, as
	// a fraction of the window. It limits for how long the ratio's tokens can accumulate.
	callDecayFraction = 0.3
)

// ServiceLimit limits the arrivals at a service beyond the first arrival of each call.
type ServiceLimit struct {
	Ratio  float64       // extra arrivals per call for the service
	Slack  float64       // extra arrivals per window that are allowed in addition
	Window time.Duration // over which the limit holds
}

// ServiceLimiter enforces one node's part of the limit of every service, with a token
// bucket per service. The ratio needs no division among nodes, as each node counts only
// its own calls; the slack is divided by the number of nodes.
type ServiceLimiter struct {
	limit     ServiceLimit
	nodeCount float64
	buckets   map[string]*serviceBucket
}

type serviceBucket struct {
	tokens      float64
	recentCalls float64 // number of calls, exponentially decayed
	refilledAt  time.Time
}

// NewServiceLimiter returns a limiter for a fleet of one node.
func NewServiceLimiter(limit ServiceLimit) *ServiceLimiter {
	return &ServiceLimiter{limit: limit, nodeCount: 1, buckets: map[string]*serviceBucket{}}
}

// SetNodeCount sets the number of nodes among which the slack is divided.
func (l *ServiceLimiter) SetNodeCount(nodes int) { l.nodeCount = float64(max(1, nodes)) }

// SetLimit changes the limit.
func (l *ServiceLimiter) SetLimit(limit ServiceLimit) { l.limit = limit }

// capacity returns the bucket size: a part of the slack, and what the recent calls have
// added.
func (l *ServiceLimiter) capacity(s *serviceBucket) float64 {
	return max(1, burstFraction*l.limit.Slack/l.nodeCount) + ratioFraction*l.limit.Ratio*s.recentCalls
}

// bucket returns a service's bucket, refilled up to now.
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

// Sustained returns the extra arrivals per second that all nodes together allow at a service that
// is sent the given number of calls per second.
func (l *ServiceLimiter) Sustained(callsPerSecond float64) float64 {
	return ratioFraction*l.limit.Ratio*callsPerSecond + refillFraction*l.limit.Slack/l.limit.Window.Seconds()
}

// RecordCall counts a call for a service and adds its tokens. Nested calls count like those
// of external callers.
func (l *ServiceLimiter) RecordCall(now time.Time, service string) {
	s := l.bucket(now, service)
	s.recentCalls++
	s.tokens = min(l.capacity(s), s.tokens+ratioFraction*l.limit.Ratio)
}

// Allow takes a token for one extra arrival at a service and reports whether there was
// one. Nested calls leave half of the bucket to the calls of external callers: a call
// tree is unlikely to succeed if a service in it fails that often.
func (l *ServiceLimiter) Allow(now time.Time, service string, nested bool) bool {
	reserve := 0.0
	if nested {
		reserve = 0.5
	}
	return l.AllowAbove(now, service, reserve)
}

// AllowAbove takes a token for one extra arrival at a service if the bucket is filled at least
// to the given share, from 0 to 1, and reports whether it was. The tokens below that share are
// left to calls that use a lower one.
func (l *ServiceLimiter) AllowAbove(now time.Time, service string, reserve float64) bool {
	s := l.bucket(now, service)
	if s.tokens < max(1, reserve*l.capacity(s)) {
		return false
	}
	s.tokens--
	return true
}
