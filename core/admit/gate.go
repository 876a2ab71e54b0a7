package admit

import "time"

const (
	// queueRatio bounds the queue as a share of the concurrency limit, and so
	// the wait in it as a share of the service time.
	queueRatio = 0.5
	minQueue   = 4
	// coldStartPeriod is how long a fresh gate takes to open from coldLimit to the
	// adaptive limit, as a target's caches and pools fill.
	coldStartPeriod = 2 * time.Second
	coldStartLimit  = 32.0
	// minMeanRatio of the usual service time must be left when a call starts.
	minMeanRatio = 0.8
	// minExpectedRatio is that share where the time of the call's own route is known: about
	// one in ten calls is faster.
	minExpectedRatio = 0.6
	// refusalLeadTime lets a refusal reach the sender before it gives up by itself and cannot
	// know whether the call has run.
	refusalLeadTime   = 25 * time.Millisecond
	serviceTimeWeight = 0.05
	// While nothing is answered the usual service time is forgotten, or calls
	// doomed by it would never show that it has changed.
	decayInterval = 100 * time.Millisecond
	decayFactor   = 0.9
)

// Call is one call that asks to run on the local target.
type Call struct {
	ID           uint64
	Workspace    string
	Weight       float64 // the workspace's declared rate
	Rank         Rank
	Deadline     time.Time
	ExpectedTime time.Duration // usual time of such a call at the target, 0 if unknown
}

// Decision is what becomes of an offered call.
type Decision uint8

// Decisions of Offer.
const (
	Refused Decision = iota
	Admitted
	Queued
)

// Stats is a snapshot of the gate.
type Stats struct {
	Limit       float64
	Running     int
	Queued      int
	ServiceTime time.Duration // mean from start to answer
}

// LoadRatio returns the calls at the target, those that wait included, by its limit.
func (s Stats) LoadRatio() float64 {
	if s.Limit <= 0 {
		return 0
	}
	return float64(s.Running+s.Queued) / s.Limit
}

// Gate guards the one local target.
type Gate struct {
	limiter
	fairShares
	running     int
	queue       []Call
	serviceTime time.Duration
	openedAt    time.Time // time of the first offered call
	slots       int       // declared by the target, less the headroom; 0 if not declared

	decayedAt time.Time
	succeeded bool // a call was answered well since aged
}

// NewGate returns an empty gate.
func NewGate() *Gate {
	return &Gate{limiter: newLimiter(), fairShares: newFairShares()}
}

// Stats returns a snapshot of the gate.
func (g *Gate) Stats() Stats {
	return Stats{Limit: g.limit, Running: g.running, Queued: len(g.queue), ServiceTime: g.serviceTime}
}

// HasQueued reports whether any call is queued.
func (g *Gate) HasQueued() bool { return len(g.queue) > 0 }

// Limit returns how many calls may run at once, the start of the target apart.
func (g *Gate) Limit() int { return int(g.limit) }

// Level returns the admission level of a workspace at this target.
func (g *Gate) Level(workspace string) Level {
	if h, ok := g.byWorkspace[workspace]; ok {
		return h.level
	}
	return 0
}

// currentLimit returns the concurrency limit, ramped up after a cold start.
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

// Offer admits, queues or refuses a call. When the call displaces a queued one
// of lower rank, evicted names that one.
func (g *Gate) Offer(now time.Time, it Call) (d Decision, evicted Call) {
	if g.openedAt.IsZero() {
		g.openedAt = now
	}
	h := g.get(it.Workspace, it.Weight)
	h.offered[it.Rank.Class]++
	if g.MissesDeadline(now, it) {
		return Refused, Call{}
	}
	g.queueEmptied = g.queueEmptied || len(g.queue) == 0
	if len(g.queue) == 0 && g.running < g.currentLimit(now) {
		g.start(h)
		return Admitted, Call{}
	}
	if len(g.queue) < g.queueCapacity() {
		g.enqueue(it, h)
		return Queued, Call{}
	}
	g.rejected = true
	worst := g.lowestRanked()
	if !g.before(it, h, g.queue[worst], g.byWorkspace[g.queue[worst].Workspace]) {
		return Refused, Call{}
	}
	evicted = g.dequeue(worst)
	g.enqueue(it, h)
	return Queued, evicted
}

// queueCapacity returns how many calls may wait. Where the target declares its slots, as
// many may as it runs: they wait for about one service time.
func (g *Gate) queueCapacity() int {
	if g.slots > 0 {
		return g.slots
	}
	return max(minQueue, int(g.limit*queueRatio))
}

// MissesDeadline reports whether too little time is left for a call to be answered, or for
// the news that it was not run to reach its sender.
func (g *Gate) MissesDeadline(now time.Time, it Call) bool {
	left := it.Deadline.Sub(now)
	if it.ExpectedTime > 0 {
		return left < max(refusalLeadTime, time.Duration(minExpectedRatio*float64(it.ExpectedTime)))
	}
	return left <= 0 || left < time.Duration(minMeanRatio*float64(g.serviceTime))
}

// Next takes the best queued call that may start now. Calls whose deadline
// cannot be met any more come out as dropped.
func (g *Gate) Next(now time.Time) (it Call, dropped, ok bool) {
	if len(g.queue) == 0 || g.running >= g.currentLimit(now) {
		return Call{}, false, false
	}
	best := 0
	for i := range g.queue {
		if g.ahead(i, best) {
			best = i
		}
	}
	it = g.dequeue(best)
	if g.MissesDeadline(now, it) {
		return it, true, true
	}
	g.start(g.get(it.Workspace, it.Weight))
	return it, false, true
}

// TakeExpired takes one queued call whose deadline has passed, or is too near where the
// time that it needs is known.
func (g *Gate) TakeExpired(now time.Time) (Call, bool) {
	for i := range g.queue {
		it := &g.queue[i]
		if !it.Deadline.After(now) || it.ExpectedTime > 0 && g.MissesDeadline(now, *it) {
			return g.dequeue(i), true
		}
	}
	return Call{}, false
}

// TakeAny takes any call out of the queue.
func (g *Gate) TakeAny() (Call, bool) {
	if len(g.queue) == 0 {
		return Call{}, false
	}
	return g.dequeue(len(g.queue) - 1), true
}

// headroom is the share of its slots that a target is left free: some slow down
// when they are nearly full, by more than the last slots are worth.
const headroom = 0.05

// SetSlots takes in how many calls the target says it runs at once, 0 for nothing.
// Nothing has to be found out about the limit then.
func (g *Gate) SetSlots(slots int) {
	g.slots = int(float64(slots) * (1 - headroom))
	if slots > 0 {
		g.slots = max(1, g.slots)
		g.limit = float64(g.slots)
	}
}

// Remove takes a call out of the queue and reports whether it was there.
func (g *Gate) Remove(call uint64) bool {
	for i := range g.queue {
		if g.queue[i].ID == call {
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
	TotalTime time.Duration // from start to answer
	OwnTime   time.Duration // Total less the time spent waiting for child calls
	Shed      bool          // the target refused it as overloaded
	Succeeded bool          // the answer was complete and no failure
}

// Complete frees a slot and learns from the call's service time.
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
	g.serviceTime += time.Duration(serviceTimeWeight * float64(c.TotalTime-g.serviceTime))
}

// CloseWindows closes windows that are due.
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

func (g *Gate) start(h *workspaceShare) {
	g.running++
	g.peakRunning = max(g.peakRunning, g.running)
	h.virtualTime = max(h.virtualTime, g.virtualTime) + 1/h.weight
	g.virtualTime = max(g.virtualTime, h.virtualTime-1/h.weight)
}

func (g *Gate) enqueue(it Call, h *workspaceShare) {
	h.queued++
	g.queue = append(g.queue, it)
}

func (g *Gate) dequeue(i int) Call {
	it := g.queue[i]
	last := len(g.queue) - 1
	g.queue[i] = g.queue[last]
	g.queue[last] = Call{}
	g.queue = g.queue[:last]
	if h, ok := g.byWorkspace[it.Workspace]; ok {
		h.queued--
	}
	return it
}

func (g *Gate) lowestRanked() int {
	worst := 0
	for i := range g.queue {
		if g.ahead(worst, i) {
			worst = i
		}
	}
	return worst
}

func (g *Gate) ahead(i, j int) bool {
	a, b := &g.queue[i], &g.queue[j]
	return g.before(*a, g.byWorkspace[a.Workspace], *b, g.byWorkspace[b.Workspace])
}

// before orders waiting calls: important first, then work that was already
// started upstream, then the workspace with the least weighted service, then rank.
func (g *Gate) before(a Call, ha *workspaceShare, b Call, hb *workspaceShare) bool {
	if a.Rank.Class != b.Rank.Class {
		return a.Rank.Class > b.Rank.Class
	}
	if started := a.Rank.Depth > 0; started != (b.Rank.Depth > 0) {
		return started
	}
	if ha != hb && ha.virtualTime != hb.virtualTime {
		return ha.virtualTime < hb.virtualTime
	}
	return a.Rank.compare(b.Rank) > 0
}
