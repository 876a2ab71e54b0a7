package admit

import "time"

const (
	// queueRatio is the maximum queue length as a ratio of the concurrency limit. It
	// bounds the waiting time to the same ratio of the service time.
	queueRatio = 0.5
	minQueue   = 4
	// coldStartPeriod is how long a new gate takes to ramp from coldStartLimit up to
	// the adaptive limit, while the target fills its caches and connection pools.
	coldStartPeriod = 2 * time.Second
	coldStartLimit  = 32.0
	// minMeanRatio is the ratio of the mean service time that must remain before a
	// call's deadline for the call to start.
	minMeanRatio = 0.8
	// minExpectedRatio is the same ratio for a call whose expected time is known from
	// its route. About one call in ten takes less than this.
	minExpectedRatio = 0.6
	// refusalLeadTime is the time left before the deadline below which a call with an
	// expected time is refused. The refusal must reach the sender before the sender times
	// out, because after a time-out the sender cannot tell whether the call was executed.
	refusalLeadTime = 25 * time.Millisecond
	// serviceTimeWeight is the weight of a new sample in the moving average of the
	// service time.
	serviceTimeWeight = 0.05
	// The mean service time is multiplied by decayFactor in every decayInterval without
	// a successful call. Otherwise a mean that is too high would refuse every call, and
	// no call would run to correct it.
	decayInterval = 100 * time.Millisecond
	decayFactor   = 0.9
)

// Call is a call offered to the local target.
type Call struct {
	ID           uint64
	Workspace    string
	Weight       float64 // rate declared for the workspace
	Rank         Rank
	Deadline     time.Time
	ExpectedTime time.Duration // usual time at the target for calls on this route, 0 if unknown
}

// Decision is the outcome of offering a call to the gate.
type Decision uint8

// Decisions returned by Offer.
const (
	Refused Decision = iota
	Admitted
	Queued
)

// Stats is a snapshot of the gate's state.
type Stats struct {
	Limit       float64
	Running     int
	Queued      int
	HeldBack    int           // queued calls while the rate limit applies and slots are free
	ServiceTime time.Duration // mean time from start to response
}

// LoadRatio returns the number of running and queued calls divided by the limit.
func (s Stats) LoadRatio() float64 {
	if s.Limit <= 0 {
		return 0
	}
	return float64(s.Running+s.Queued) / s.Limit
}

// Gate is the admission controller of the local target.
type Gate struct {
	limiter
	fairShares
	arrivals    arrivals
	running     int
	queue       []Call
	serviceTime time.Duration // moving average from start to response
	usualTime   time.Duration // the same average, which does not decay without calls
	openedAt    time.Time     // time of the first offered call
	slots       int           // declared by the target, less the headroom; 0 if not declared

	decayedAt time.Time
	succeeded bool // a call has succeeded since decayedAt
}

// NewGate returns a gate with no running or queued calls.
func NewGate() *Gate {
	return &Gate{limiter: newLimiter(), fairShares: newFairShares()}
}

// Stats returns a snapshot of the gate's state.
func (g *Gate) Stats() Stats {
	s := Stats{Limit: g.limit, Running: g.running, Queued: len(g.queue), ServiceTime: g.serviceTime}
	if g.arrivals.limit > 0 && g.running < int(g.limit) {
		s.HeldBack = len(g.queue)
	}
	return s
}

// HasQueued reports whether any call is queued.
func (g *Gate) HasQueued() bool { return len(g.queue) > 0 }

// Limit returns the concurrency limit: the declared slots less the headroom, or the
// adaptive limit without the ramp after a cold start.
func (g *Gate) Limit() int { return int(g.limit) }

// Level returns the admission level of a workspace at this target.
func (g *Gate) Level(workspace string) Level {
	if h, ok := g.byWorkspace[workspace]; ok {
		return h.level
	}
	return 0
}

// currentLimit returns the declared slots if there are any. Otherwise it returns the
// adaptive concurrency limit, reduced during the ramp after a cold start.
func (g *Gate) currentLimit(now time.Time) int {
	if g.slots > 0 {
		return g.slots
	}
	age := now.Sub(g.openedAt)
	if age >= coldStartPeriod {
		return int(g.limit)
	}
	ramp := float64(age) / float64(coldStartPeriod)
	return int(min(g.limit, coldStartLimit+(g.limit-coldStartLimit)*ramp))
}

// Offer admits, queues or refuses a call. If the queue is full and the call ranks above
// the lowest-ranked queued call, it replaces that call, which is returned as evicted.
// Otherwise evicted is the zero Call.
func (g *Gate) Offer(now time.Time, c Call) (d Decision, evicted Call) {
	if g.openedAt.IsZero() {
		g.openedAt = now
	}
	h := g.shareOf(c.Workspace, c.Weight)
	h.offered[c.Rank.Class]++
	if g.MissesDeadline(now, c) {
		return Refused, Call{}
	}
	g.queueEmptied = g.queueEmptied || len(g.queue) == 0
	if len(g.queue) == 0 && g.running < g.currentLimit(now) && g.arrivals.wait(now, 0) == 0 {
		g.start(now, h)
		return Admitted, Call{}
	}
	full := len(g.queue) >= g.queueCapacity()
	if !full && !g.outwaits(now, c, len(g.queue)) {
		g.enqueue(c, h)
		return Queued, Call{}
	}
	g.rejected = g.rejected || full
	if len(g.queue) == 0 || g.outwaits(now, c, len(g.queue)-1) {
		return Refused, Call{}
	}
	worst := g.lowestRanked()
	if !g.before(c, h, g.queue[worst], g.byWorkspace[g.queue[worst].Workspace]) {
		return Refused, Call{}
	}
	evicted = g.dequeue(worst)
	g.enqueue(c, h)
	return Queued, evicted
}

// queueCapacity returns the maximum number of queued calls. If the target declares its
// slots, as many calls may be queued as run: they wait for about one service time.
func (g *Gate) queueCapacity() int {
	if g.slots > 0 {
		return g.slots
	}
	return max(minQueue, int(g.limit*queueRatio))
}

// MissesDeadline reports whether the time left before the deadline is too short for the
// call to be answered. For a call with an expected time, it also reports true when a
// refusal would no longer reach the sender in time.
func (g *Gate) MissesDeadline(now time.Time, c Call) bool {
	left := c.Deadline.Sub(now)
	if c.ExpectedTime > 0 {
		return left < max(refusalLeadTime, time.Duration(minExpectedRatio*float64(c.ExpectedTime)))
	}
	return left <= 0 || left < time.Duration(minMeanRatio*float64(g.serviceTime))
}

// Next removes the highest-ranked queued call, if a slot is free and the rate limit allows it,
// and starts it. If the
// call can no longer meet its deadline, it is not started and dropped is true.
func (g *Gate) Next(now time.Time) (c Call, dropped, ok bool) {
	if len(g.queue) == 0 || g.running >= g.currentLimit(now) || g.arrivals.wait(now, 0) > 0 {
		return Call{}, false, false
	}
	best := 0
	for i := range g.queue {
		if g.ahead(i, best) {
			best = i
		}
	}
	c = g.dequeue(best)
	if g.MissesDeadline(now, c) {
		return c, true, true
	}
	g.start(now, g.shareOf(c.Workspace, c.Weight))
	return c, false, true
}

// TakeExpired removes and returns one queued call whose deadline has passed. A call with
// an expected time is also removed when it can no longer meet its deadline.
func (g *Gate) TakeExpired(now time.Time) (Call, bool) {
	for i := range g.queue {
		c := &g.queue[i]
		if !c.Deadline.After(now) || c.ExpectedTime > 0 && g.MissesDeadline(now, *c) {
			return g.dequeue(i), true
		}
	}
	return Call{}, false
}

// TakeAny removes and returns an arbitrary queued call.
func (g *Gate) TakeAny() (Call, bool) {
	if len(g.queue) == 0 {
		return Call{}, false
	}
	return g.dequeue(len(g.queue) - 1), true
}

// headroom is the ratio of a target's declared slots that is kept free. Some targets
// slow down when nearly full, by more than the last slots add in throughput.
const headroom = 0.05

// SetSlots sets the number of concurrent calls that the target declares, or 0 if it
// declares none. Declared slots replace the adaptive limit.
func (g *Gate) SetSlots(slots int) {
	g.slots = int(float64(slots) * (1 - headroom))
	if slots > 0 {
		g.slots = max(1, g.slots)
		g.limit = float64(g.slots)
	}
}

// Remove removes a call from the queue and reports whether it was queued.
func (g *Gate) Remove(id uint64) bool {
	for i := range g.queue {
		if g.queue[i].ID == id {
			g.dequeue(i)
			return true
		}
	}
	return false
}

// Completion describes a call that has left the target.
type Completion struct {
	Route     string
	Started   time.Time
	TotalTime time.Duration // from start to response
	OwnTime   time.Duration // TotalTime minus the time spent waiting for child calls
	Shed      bool          // the target refused the call because it is overloaded
	Succeeded bool          // the response was complete and not an error
}

// Complete frees the call's slot and updates the service time statistics.
func (g *Gate) Complete(c Completion) {
	g.running--
	g.completions++
	if c.Shed {
		g.shed++
		return
	}
	if !c.Succeeded {
		return
	}
	g.succeeded = true
	g.observe(c.Route, c.Started, c.OwnTime)
	if g.serviceTime == 0 {
		g.serviceTime = c.TotalTime
	}
	if g.usualTime == 0 {
		g.usualTime = c.TotalTime
	}
	g.usualTime += time.Duration(serviceTimeWeight * float64(c.TotalTime-g.usualTime))
	g.serviceTime += time.Duration(serviceTimeWeight * float64(c.TotalTime-g.serviceTime))
}

// CloseWindows closes the measurement windows that are due, and decays the mean service
// time if no call has succeeded for decayInterval.
func (g *Gate) CloseWindows(now time.Time) {
	g.queueEmptied = g.queueEmptied || len(g.queue) == 0
	if g.slots == 0 {
		g.limiter.closeWindow(now)
	}
	allowed := float64(max(1, g.currentLimit(now)))
	rate := 0.0
	if g.serviceTime > 0 {
		rate = allowed / g.serviceTime.Seconds()
	}
	g.fairShares.closeWindow(now, float64(g.running)/allowed, rate)
	if now.Sub(g.decayedAt) >= decayInterval {
		if !g.succeeded {
			g.serviceTime = time.Duration(decayFactor * float64(g.serviceTime))
		}
		g.decayedAt, g.succeeded = now, false
	}
}

// start takes a slot for a call of a workspace and advances the workspace's virtual time.
func (g *Gate) start(now time.Time, h *workspaceShare) {
	g.arrivals.record(now)
	g.running++
	g.peakRunning = max(g.peakRunning, g.running)
	h.virtualTime = max(h.virtualTime, g.virtualTime) + 1/h.weight
	g.virtualTime = max(g.virtualTime, h.virtualTime-1/h.weight)
}

func (g *Gate) enqueue(c Call, h *workspaceShare) {
	h.queued++
	g.queue = append(g.queue, c)
}

// dequeue removes the queued call i and moves the last one to its place.
func (g *Gate) dequeue(i int) Call {
	c := g.queue[i]
	last := len(g.queue) - 1
	g.queue[i] = g.queue[last]
	g.queue[last] = Call{}
	g.queue = g.queue[:last]
	if h, ok := g.byWorkspace[c.Workspace]; ok {
		h.queued--
	}
	return c
}

// lowestRanked returns the index of the queued call that goes after all others.
func (g *Gate) lowestRanked() int {
	worst := 0
	for i := range g.queue {
		if g.ahead(worst, i) {
			worst = i
		}
	}
	return worst
}

// ahead reports whether the queued call i goes before the queued call j.
func (g *Gate) ahead(i, j int) bool {
	a, b := &g.queue[i], &g.queue[j]
	return g.before(*a, g.byWorkspace[a.Workspace], *b, g.byWorkspace[b.Workspace])
}

// before reports whether call a goes before call b: the higher class first, then calls
// made on behalf of a running call, whose refusal would waste the work upstream, then
// the workspace that has received the least service for its weight, then rank.
func (g *Gate) before(a Call, ha *workspaceShare, b Call, hb *workspaceShare) bool {
	if a.Rank.Class != b.Rank.Class {
		return a.Rank.Class > b.Rank.Class
	}
	if isChild := a.Rank.Depth > 0; isChild != (b.Rank.Depth > 0) {
		return isChild
	}
	if ha != hb && ha.virtualTime != hb.virtualTime {
		return ha.virtualTime < hb.virtualTime
	}
	return a.Rank.compare(b.Rank) > 0
}
