package route

import (
	"cmp"
	"time"
)

// defaultServiceLatency stands for the usual latency of a service until one was measured.
const defaultServiceLatency = 50 * time.Millisecond

// updateCold applies the cold period in a new announcement of the endpoint.
func (e *Endpoint) updateCold(now time.Time, announced *Endpoint, s *serviceEndpoints) {
	e.ColdRate, e.RampDuration = announced.ColdRate, announced.RampDuration
	if e.Revision == announced.Revision && e.ColdFor == announced.ColdFor {
		return // no new announcement
	}
	e.Revision, e.ColdFor, e.coldUntil, e.coldSetAt = announced.Revision, announced.ColdFor, time.Time{}, now
	if e.ColdFor > 0 {
		e.coldUntil, e.usualLatency = now.Add(e.ColdFor), s.meanLatency()
	}
}

// coldTolerance is the difference between two ends of a cold period that is due to the time
// that reports travel.
const coldTolerance = 1 * time.Second

// SetColdFor records the rest of the target's cold period that came with the response to a call,
// 0 if the target is not cold. It counts from the start of the call, which was sent at the given
// time. Senders learn of a cold target from its first response or refusal, before the
// announcement has reached them.
func (e *Endpoint) SetColdFor(sent time.Time, d time.Duration) {
	if sent.Before(e.coldSetAt) {
		return
	}
	e.coldSetAt = sent
	switch {
	case d > 0:
		e.coldUntil, e.usualLatency = sent.Add(d), cmp.Or(e.usualLatency, e.latency, defaultServiceLatency)
	case e.coldUntil.Sub(sent) > coldTolerance:
		e.coldUntil = time.Time{}
	}
}

// meanLatency returns the mean latency of the endpoints for which it was measured.
func (s *serviceEndpoints) meanLatency() time.Duration {
	var sum, n time.Duration
	for _, e := range s.all {
		if e.latency > 0 {
			sum, n = sum+e.latency, n+1
		}
	}
	if n == 0 {
		return defaultServiceLatency
	}
	return sum / n
}

// coldShare returns the part of its usual calls that the endpoint should get: the calls per
// second that it tolerates while it is cold, divided by those that its slots allow. The senders
// do not know each other's calls; as all take this part, the sum fits the rate.
func (e *Endpoint) coldShare(now time.Time) float64 {
	if e.coldUntil.IsZero() || e.ColdRate <= 0 || e.Slots == 0 {
		return 1
	}
	share := min(1, e.ColdRate*e.usualLatency.Seconds()/float64(e.Slots))
	age := now.Sub(e.coldUntil)
	switch {
	case age < 0:
		return share
	case age < e.RampDuration:
		return share + (1-share)*age.Seconds()/e.RampDuration.Seconds()
	default:
		return 1
	}
}

// inColdShare reports whether a call, given by its seed, is among those that the endpoint
// should get.
func (e *Endpoint) inColdShare(now time.Time, seed uint64) bool {
	share := e.coldShare(now)
	return share >= 1 || float64(rendezvousHash("cold", e.Name, seed)>>11)/(1<<53) < share
}
