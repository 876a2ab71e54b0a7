package retry

import (
	"math"
	"time"
)

const (
	// ratioShare of the fleet's bound is used: the calls that a repeated run makes
	// again count too, and nobody sees all of them.
	ratioShare = 0.6
	// storeShare and refillShare divide a node's part of the slack between what it
	// may have in store and what it gets in a window.
	storeShare  = 0.5
	refillShare = 0.4
	// hoardShare of a window is how long the ratio's part may be saved up.
	hoardShare = 0.3
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
	bound    ServiceLimit
	nodes    float64
	services map[string]*store
}

type store struct {
	tokens float64
	calls  float64 // of late: each counts less as time passes
	last   time.Time
}

// NewServiceLimiter returns a node's part of a bound.
func NewServiceLimiter(b ServiceLimit) *ServiceLimiter {
	return &ServiceLimiter{bound: b, nodes: 1, services: map[string]*store{}}
}

// SetNodeCount says among how many nodes the slack is divided.
func (a *ServiceLimiter) SetNodeCount(nodes int) { a.nodes = float64(max(1, nodes)) }

// SetLimit changes the bound.
func (a *ServiceLimiter) SetLimit(b ServiceLimit) { a.bound = b }

// most returns how much may be in store: a part of the slack, and what the calls
// of late have added.
func (a *ServiceLimiter) most(s *store) float64 {
	return max(1, storeShare*a.bound.Slack/a.nodes) + ratioShare*a.bound.Ratio*s.calls
}

// open returns a service's store, filled up to now.
func (a *ServiceLimiter) open(now time.Time, service string) *store {
	s, ok := a.services[service]
	if !ok {
		s = &store{tokens: 1, last: now}
		a.services[service] = s
	}
	passed := now.Sub(s.last).Seconds()
	rate := refillShare * a.bound.Slack / a.nodes / a.bound.Window.Seconds()
	s.calls *= math.Exp(-passed / (hoardShare * a.bound.Window.Seconds()))
	s.tokens = min(a.most(s), s.tokens+rate*passed)
	s.last = now
	return s
}

// RecordCall counts a call for a service, whoever makes it.
func (a *ServiceLimiter) RecordCall(now time.Time, service string) {
	s := a.open(now, service)
	s.calls++
	s.tokens = min(a.most(s), s.tokens+ratioShare*a.bound.Ratio)
}

// Allow takes one further arrival at a service and reports whether there was one.
// Calls deep in a tree leave half of the store to those of callers: a tree whose
// service fails that often has little hope.
func (a *ServiceLimiter) Allow(now time.Time, service string, deep bool) bool {
	s := a.open(now, service)
	least := 1.0
	if deep {
		least = max(1, a.most(s)/2)
	}
	if s.tokens < least {
		return false
	}
	s.tokens--
	return true
}
