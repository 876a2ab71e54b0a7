package route

import (
	"net/netip"
	"time"
)

const (
	latencySmoothing = 0.1 // weight of the latest answer in the moving average
	// minBackoff and maxBackoff bound the exponential backoff after failed connects.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 5 * time.Second
	// connectionLostPause is long enough for two probes of the peer to time out.
	connectionLostPause = 2500 * time.Millisecond
	// rejectionPause is how long an endpoint that rejected a call gets no new calls.
	rejectionPause = 10 * time.Millisecond
	// slowStartDuration is how long a new endpoint gets less than its full share of calls.
	slowStartDuration = 3 * time.Second
	minSlowStartShare = 0.1
	defaultLatency    = 5 * time.Millisecond
	// maxUncontendedLoad is the load up to which another call does not have to wait. Above
	// it, the cost depends on this node's own calls in flight rather than on the reported
	// load: the report is as old as the answer that carried it, and all nodes that received
	// it would change endpoints at the same time.
	maxUncontendedLoad = 0.5
	// contentionPenalty is added to the latency factor above maxUncontendedLoad. It exceeds
	// the extra cost of another domain (crossDomainCostFactor - 1), so that calls leave a
	// loaded endpoint of their own domain.
	contentionPenalty = 0.5
	// maxLoadAge is how long a reported load is used: a few service times.
	maxLoadAge = 1 * time.Second
)

// Endpoint is a target behind its node, with what this node has measured of it.
type Endpoint struct {
	Name             string
	Service          string
	Domain           string
	NodeAddr         netip.AddrPort
	Local            bool  // this node's own target
	Draining         bool  // takes no new calls: the node or the target is leaving, or the target is down
	Unreachable      bool  // see member.Peer
	Slots            int   // calls the target runs concurrently, 0 if unknown
	TargetStartMilli int64 // Unix time in ms of the target's start; a change triggers slow start
	// Revision identifies an announcement of the endpoint. ColdFor is the time, from the first
	// Put of this announcement on, for which the target tolerates only ColdRate calls per second
	// (0: any number). After it the rate rises to the full one over RampDuration.
	Revision     uint64
	ColdFor      time.Duration
	ColdRate     float64
	RampDuration time.Duration

	inFlight       int     // calls from this node that have not ended
	load           float64 // running and queued calls divided by the concurrency limit, as last reported
	loadReportedAt time.Time
	sentSinceLoad  int           // calls from this node since that report
	latency        time.Duration // exponential moving average, 0 if not measured
	failures       int           // failed connects in a row
	pausedUntil    time.Time     // no new calls before
	slowStartAt    time.Time     // when slow start began
	coldUntil      time.Time     // end of the cold period, zero if none was announced
	coldSetAt      time.Time     // when coldUntil was last set, or the call was sent whose response has set it
	usualLatency   time.Duration // of the service's endpoints when the cold period was announced

	published
}

// ready reports whether the endpoint can be given a call now.
func (e *Endpoint) ready(now time.Time) bool {
	return !e.Draining && !e.Unreachable && !now.Before(e.pausedUntil)
}

// cost estimates the latency of one more call, in nanoseconds, raised during slow start.
func (e *Endpoint) cost(now time.Time) float64 {
	latency := e.latency
	if latency == 0 {
		latency = defaultLatency
	}
	return e.latencyFactor(now) * float64(latency) / e.slowStartShare(now)
}

// latencyFactor estimates the factor by which the endpoint's load raises the latency of one
// more call.
// Without a recent load report it is based on the calls in flight from this node.
func (e *Endpoint) latencyFactor(now time.Time) float64 {
	if e.Slots == 0 || e.loadReportedAt.IsZero() || now.Sub(e.loadReportedAt) > maxLoadAge {
		return float64(e.inFlight + 1)
	}
	if e.load+float64(e.sentSinceLoad)/float64(e.Slots) <= maxUncontendedLoad {
		return 1
	}
	return 1 + contentionPenalty + float64(e.inFlight)
}

// SetLoad records a reported load: the target's running and queued calls divided by its
// concurrency limit.
func (e *Endpoint) SetLoad(now time.Time, load float64) {
	e.load, e.loadReportedAt, e.sentSinceLoad = load, now, 0
}

// CallStarted records a call sent to the endpoint.
func (e *Endpoint) CallStarted() {
	e.inFlight++
	e.sentSinceLoad++
	e.sent++
}

// CallAnswered records the end of a call that was answered after the given latency.
func (e *Endpoint) CallAnswered(latency time.Duration) {
	e.inFlight--
	e.failures = 0
	if e.latency == 0 {
		e.latency = latency
		return
	}
	e.latency += time.Duration(latencySmoothing * float64(latency-e.latency))
}

// CallRejected records the end of a call that the endpoint refused to run.
func (e *Endpoint) CallRejected(now time.Time) {
	e.inFlight--
	e.pausedUntil = later(e.pausedUntil, now.Add(rejectionPause))
}

// CallCanceled records the end of a call that was canceled or that ended before it ran.
func (e *Endpoint) CallCanceled() { e.inFlight-- }

// ConnectionLost records the end of a call whose connection broke. The endpoint gets no
// new calls until the peer answers a probe or connectionLostPause has passed.
func (e *Endpoint) ConnectionLost(now time.Time) {
	e.inFlight--
	e.pausedUntil = later(e.pausedUntil, now.Add(connectionLostPause))
}

// ResetBackoff ends the backoff and any other pause, after the peer has answered a message.
func (e *Endpoint) ResetBackoff() { e.failures, e.pausedUntil = 0, time.Time{} }

// Reopen starts slow start again after a time without calls, and ends any pause. The measured
// latency is kept: with the default one, the endpoint would get no calls while others are
// faster than that.
func (e *Endpoint) Reopen(now time.Time) {
	e.slowStartAt, e.pausedUntil, e.failures = now, time.Time{}, 0
}

// ConnectFailed records the end of a call that could not connect. The endpoint backs off
// exponentially.
func (e *Endpoint) ConnectFailed(now time.Time) {
	e.inFlight--
	pause := maxBackoff
	if e.failures < 6 { // later backoffs exceed maxBackoff; also keeps the shift from overflowing
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
