package route

import (
	"net/netip"
	"time"
)

const (
	latencySmoothing = 0.1
	// minBackoff and maxBackoff bound the time an endpoint that cannot be
	// reached gets no new calls.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 5 * time.Second
	// connectionLostPause lasts until two probes have had time to go unanswered.
	connectionLostPause = 2500 * time.Millisecond
	// rejectionPause keeps calls away from an endpoint that just refused one.
	rejectionPause = 10 * time.Millisecond
	// slowStartDuration is how long a new endpoint is given less than its full share.
	slowStartDuration = 3 * time.Second
	minSlowStartShare = 0.1
	defaultLatency    = 5 * time.Millisecond
	// maxUncontendedLoad is the load up to which one more call waits for nobody. Beyond it the calls
	// under way from here count: news of load is as old as the answer it came with, and
	// all nodes that have it would move at once. crowded is what being there costs by
	// itself, more than another domain does.
	maxUncontendedLoad = 0.5
	contentionPenalty  = 0.5
	// maxLoadAge is how long a load that came with an answer counts: a few service times.
	maxLoadAge = 1 * time.Second
)

// Endpoint is one target behind its node, as seen from here.
type Endpoint struct {
	Name             string
	Service          string
	Domain           string
	NodeAddr         netip.AddrPort
	Local            bool // the target beside this node
	Draining         bool // the node or the target is leaving, or the target is not there
	Unreachable      bool
	Slots            int   // calls the target runs at once, 0 if unknown
	TargetStartMilli int64 // start of the target; a new one starts slowly

	inFlight       int     // calls from here that have not ended
	load           float64 // calls at the target by its slots, when last told
	loadReportedAt time.Time
	sentSinceLoad  int // calls from here since then
	latency        time.Duration
	failures       int
	pausedUntil    time.Time // no calls before
	slowStartAt    time.Time
}

// ready reports whether the endpoint may be given a call now.
func (e *Endpoint) ready(now time.Time) bool {
	return !e.Draining && !e.Unreachable && !now.Before(e.pausedUntil)
}

// cost estimates how long one more call would wait here.
func (e *Endpoint) cost(now time.Time) float64 {
	latency := e.latency
	if latency == 0 {
		latency = defaultLatency
	}
	c := e.latencyFactor(now) * float64(latency)
	if age := now.Sub(e.slowStartAt); age < slowStartDuration {
		c /= max(minSlowStartShare, float64(age)/float64(slowStartDuration))
	}
	return c
}

// latencyFactor estimates by how much the load of the endpoint lengthens one more call. Where
// that is not known it goes by the calls sent from here.
func (e *Endpoint) latencyFactor(now time.Time) float64 {
	if e.Slots == 0 || e.loadReportedAt.IsZero() || now.Sub(e.loadReportedAt) > maxLoadAge {
		return float64(e.inFlight + 1)
	}
	if e.load+float64(e.sentSinceLoad)/float64(e.Slots) <= maxUncontendedLoad {
		return 1
	}
	return 1 + contentionPenalty + float64(e.inFlight)
}

// SetLoad takes in how many calls the target had by its slots, those that wait included.
func (e *Endpoint) SetLoad(now time.Time, load float64) {
	e.load, e.loadReportedAt, e.sentSinceLoad = load, now, 0
}

// CallStarted counts a call sent to the endpoint.
func (e *Endpoint) CallStarted() {
	e.inFlight++
	e.sentSinceLoad++
}

// CallAnswered ends a call that brought an answer after the given time.
func (e *Endpoint) CallAnswered(latency time.Duration) {
	e.inFlight--
	e.failures = 0
	if e.latency == 0 {
		e.latency = latency
		return
	}
	e.latency += time.Duration(latencySmoothing * float64(latency-e.latency))
}

// CallRejected ends a call that the endpoint refused to run.
func (e *Endpoint) CallRejected(now time.Time) {
	e.inFlight--
	e.pausedUntil = later(e.pausedUntil, now.Add(rejectionPause))
}

// CallCanceled ends a call that its caller gave up.
func (e *Endpoint) CallCanceled() { e.inFlight-- }

// ConnectionLost ends a call whose connection failed under it. The endpoint gets no more
// calls until it has been probed.
func (e *Endpoint) ConnectionLost(now time.Time) {
	e.inFlight--
	e.pausedUntil = later(e.pausedUntil, now.Add(connectionLostPause))
}

// ResetBackoff lets calls through again after a probe was answered.
func (e *Endpoint) ResetBackoff() { e.failures, e.pausedUntil = 0, time.Time{} }

// ConnectFailed ends a call that found no connection and backs off exponentially.
func (e *Endpoint) ConnectFailed(now time.Time) {
	e.inFlight--
	pause := maxBackoff
	if e.failures < 6 {
		pause = min(maxBackoff, minBackoff<<e.failures)
	}
	e.failures++
	e.pausedUntil = later(e.pausedUntil, now.Add(pause))
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
