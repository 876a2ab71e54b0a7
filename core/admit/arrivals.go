package admit

import (
	"math"
	"time"
)

const (
	// rateWindow is the period in which the limit on arrivals applies: one second, and a
	// margin for the time between the start of a call and its arrival at the target, which
	// varies from call to call.
	rateWindow = time.Second + 50*time.Millisecond
	// maxTrackedArrivals bounds the memory for arrivals. A higher limit is no limit.
	maxTrackedArrivals = 4096
	// maxRateWaitRatio is the largest part of the time before its deadline for which a call
	// is queued because of the limit on arrivals. Other targets may take it at once.
	maxRateWaitRatio = 0.25
)

// arrivals limits the calls that start within any rateWindow. Calls count from their start,
// however long they run. The zero value has no limit and tracks nothing.
type arrivals struct {
	tracked bool
	limit   int         // 0 for none
	starts  []time.Time // starts within rateWindow, the oldest first, from index oldest on
	oldest  int
}

// track starts or stops the recording of arrivals. Those recorded count under a limit that
// is set later.
func (a *arrivals) track(on bool) {
	if a.tracked != on {
		*a = arrivals{tracked: on}
	}
}

func (a *arrivals) setLimit(n int) {
	a.limit = 0
	if a.tracked && n <= maxTrackedArrivals {
		a.limit = n
	}
}

// recent returns the starts within rateWindow.
func (a *arrivals) recent(now time.Time) []time.Time {
	for a.oldest < len(a.starts) && now.Sub(a.starts[a.oldest]) >= rateWindow {
		a.oldest++
	}
	return a.starts[a.oldest:]
}

// record adds an arrival.
func (a *arrivals) record(now time.Time) {
	if !a.tracked {
		return
	}
	if kept := len(a.recent(now)); kept >= maxTrackedArrivals {
		a.oldest++
	}
	if a.oldest > len(a.starts)/2 {
		a.starts = append(a.starts[:0], a.starts[a.oldest:]...)
		a.oldest = 0
	}
	a.starts = append(a.starts, now)
}

// withdraw removes the arrival of a call that started at the given time.
func (a *arrivals) withdraw(started time.Time) {
	for i := len(a.starts) - 1; i >= a.oldest; i-- {
		if a.starts[i].Equal(started) {
			a.starts = append(a.starts[:i], a.starts[i+1:]...)
			return
		}
	}
}

// wait returns how long the limit delays a call that starts after the given number of
// others that wait already.
func (a *arrivals) wait(now time.Time, ahead int) time.Duration {
	if a.limit == 0 {
		return 0
	}
	recent := a.recent(now)
	total := time.Duration(0)
	for {
		before := len(recent) + ahead - a.limit // the call that must have left the window
		switch {
		case before < 0:
			return total
		case before < len(recent):
			return total + max(0, recent[before].Add(rateWindow).Sub(now))
		}
		ahead -= a.limit
		total += rateWindow
	}
}

// TrackArrivals starts or stops the recording of when calls start, which SetRateLimit needs.
func (g *Gate) TrackArrivals(on bool) { g.arrivals.track(on) }

// SetRateLimit limits the calls that start within any second, including those already
// recorded; 0 sets no limit.
func (g *Gate) SetRateLimit(n int) { g.arrivals.setLimit(n) }

// WithdrawArrival removes the call that started at the given time from those that count
// under the rate limit, as its target has not received it.
func (g *Gate) WithdrawArrival(started time.Time) { g.arrivals.withdraw(started) }

// RecentArrivals returns the number of calls recorded within the last second.
func (g *Gate) RecentArrivals(now time.Time) int { return len(g.arrivals.recent(now)) }

// RateLimited reports whether the rate limit, and not a lack of slots, delays the next call.
func (g *Gate) RateLimited(now time.Time) bool {
	return g.running < g.currentLimit(now) && g.arrivals.wait(now, 0) > 0
}

// outwaits reports whether the rate limit delays a call, after the given number of others,
// by more than it should wait.
func (g *Gate) outwaits(now time.Time, c Call, ahead int) bool {
	if g.arrivals.limit == 0 {
		return false
	}
	longest := maxRateWaitRatio * float64(c.Deadline.Sub(now))
	return float64(g.arrivals.wait(now, ahead)) > max(0, longest)
}

// TakeHeldBack removes and returns the lowest-ranked queued call if the rate limit delays it
// for too long.
func (g *Gate) TakeHeldBack(now time.Time) (Call, bool) {
	if g.arrivals.limit == 0 || len(g.queue) == 0 {
		return Call{}, false
	}
	if worst := g.lowestRanked(); g.outwaits(now, g.queue[worst], len(g.queue)-1) {
		return g.dequeue(worst), true
	}
	return Call{}, false
}

// defaultServiceTime stands for the mean service time until one has been measured.
const defaultServiceTime = 50 * time.Millisecond

// expectedTime returns the mean service time, or defaultServiceTime if none was measured. It
// does not decay, as a cold target has long times without a call.
func (g *Gate) expectedTime() time.Duration {
	if g.usualTime == 0 {
		return defaultServiceTime
	}
	return g.usualTime
}

// FullRate returns the calls per second that the slots and the mean service time allow.
func (g *Gate) FullRate() float64 { return g.limit / g.expectedTime().Seconds() }

// Capacity returns the number of concurrent calls that the concurrency limit and the rate
// limit allow.
func (g *Gate) Capacity() float64 {
	slots := math.Floor(g.limit)
	if g.arrivals.limit == 0 {
		return slots
	}
	return min(slots, float64(g.arrivals.limit)*g.expectedTime().Seconds())
}
