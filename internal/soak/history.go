package soak

import (
	"net/http"
	"sync"
	"time"
)

// Request is a client request and its outcome.
type Request struct {
	ID, Kind, Workspace, Key string
	Node                     int
	Sent, Ended              time.Time
	Status                   int    // 0 if no complete response was received
	NotSent                  bool   // nothing was written to the connection
	ResponseError            string // why a response does not belong to the request, or why no request could be built
}

// Execution is the start of a request at a target. A repeated request has several.
type Execution struct {
	ID, Service, Target, Workspace string
	At                             time.Time
}

// DrainAck is a node's acknowledgement of a target's draining state.
type DrainAck struct {
	Target string
	At     time.Time
}

// KeyRevocation is an API key that a configuration has replaced.
type KeyRevocation struct {
	Key, Workspace string
	At             time.Time // when the store acknowledged the configuration
}

// ConfigVersion is a configuration version that the store acknowledged.
type ConfigVersion struct {
	Number int
	At     time.Time
}

// VersionProbe is a response to a request for the route that a configuration version adds:
// the version, or a later one, is in force if the node knows the route.
type VersionProbe struct {
	Node, Process, Version int
	InForce                bool
	Sent                   time.Time
}

// Fault is a period in which an injected fault was active.
type Fault struct {
	From, To time.Time // To is zero while the fault is active
	Kind     string
}

// History records what clients, targets, the operator and the fault injector observed.
type History struct {
	mu             sync.Mutex
	Requests       []Request
	Executions     []Execution
	DrainAcks      []DrainAck
	KeyRevocations []KeyRevocation
	ConfigVersions []ConfigVersion
	VersionProbes  []VersionProbe
	Faults         []Fault  // excludes planned work
	ProcessErrors  []string // processes that did not exit in time; failures of links, of the store and of node starts
}

// locked calls f with the history locked. Clients also read Fleet.keys and Fleet.version
// under this lock.
func (h *History) locked(f func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	f()
}

// beginFault records the start of a fault and returns a function that records its end.
func (h *History) beginFault(what string) (end func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.Faults = append(h.Faults, Fault{From: time.Now(), Kind: what})
	i := len(h.Faults) - 1
	return func() { h.locked(func() { h.Faults[i].To = time.Now() }) }
}

// faultFree reports whether no fault was active between settlePeriod before from and to.
func (h *History) faultFree(from, to time.Time) bool {
	from = from.Add(-settlePeriod)
	for _, s := range h.Faults {
		if s.From.Before(to) && (s.To.IsZero() || s.To.After(from)) {
			return false
		}
	}
	return true
}

// meansNotExecuted reports whether a status guarantees that a request was not executed and
// will not be.
func meansNotExecuted(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	default:
		return false
	}
}
