package soak

import (
	"net/http"
	"sync"
	"time"
)

// Request is one request of a client and how it ended.
type Request struct {
	ID, Kind, Workspace, Key string
	Node                     int
	Sent, Ended              time.Time
	Status                   int    // 0 if no answer came
	NotSent                  bool   // no byte left the client
	ResponseError            string // what was wrong with the answer itself
}

// Execution is a request that reached a target and was run there.
type Execution struct {
	ID, Service, Target, Workspace string
	At                             time.Time
}

// DrainAck is a target whose leaving was acknowledged.
type DrainAck struct {
	Target string
	At     time.Time
}

// KeyRevocation is a key that a configuration took away.
type KeyRevocation struct {
	Key, Workspace string
	At             time.Time // when the store acknowledged it
}

// ConfigVersion is a configuration that the store acknowledged.
type ConfigVersion struct {
	Number int
	At     time.Time
}

// VersionProbe is what a node said about a version's own route: whether it is in force.
type VersionProbe struct {
	Node, Process, Version int
	InForce                bool
	Sent                   time.Time
}

// Fault is a time in which something went on.
type Fault struct {
	From, To time.Time // To is zero while it goes on
	Kind     string
}

// History is what callers, targets, operators and the injector have seen.
type History struct {
	mu             sync.Mutex
	Requests       []Request
	Executions     []Execution
	DrainAcks      []DrainAck
	KeyRevocations []KeyRevocation
	ConfigVersions []ConfigVersion
	VersionProbes  []VersionProbe
	Faults         []Fault  // unplanned disruptions
	ProcessErrors  []string // processes that did not end as they should
}

func (h *History) locked(f func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	f()
}

// beginFault opens a span of an unplanned disruption and returns how to close it.
func (h *History) beginFault(what string) (end func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.Faults = append(h.Faults, Fault{From: time.Now(), Kind: what})
	i := len(h.Faults) - 1
	return func() { h.locked(func() { h.Faults[i].To = time.Now() }) }
}

// faultFree reports whether no disruption went on from contact before one instant to another.
func (h *History) faultFree(from, to time.Time) bool {
	from = from.Add(-settlePeriod)
	for _, s := range h.Faults {
		if s.From.Before(to) && (s.To.IsZero() || s.To.After(from)) {
			return false
		}
	}
	return true
}

// meansNotExecuted reports whether a status says that a request has not run and never will.
func meansNotExecuted(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	default:
		return false
	}
}
