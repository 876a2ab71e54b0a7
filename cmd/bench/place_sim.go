package main

import (
	"container/heap"
	"slices"
	"time"

	"celeryshelf/core/admit"
	"celeryshelf/core/backlog"
	"celeryshelf/core/cost"
	"celeryshelf/core/route"
)

const placeService = "s"

// placePolicy is a way to choose the target of a call.
type placePolicy uint8

const (
	placeToday   placePolicy = iota // without published numbers
	placeBacklog                    // with the numbers that the targets' nodes publish
	placeOracle                     // knows every cost and the state of each target
	placeBound                      // the same, and refuses the calls that miss the objective
)

// placeEvent is a simulated event.
type placeEvent struct {
	at    time.Duration
	order uint64
	apply func()
}

type placeEvents []placeEvent

func (q placeEvents) Len() int { return len(q) }
func (q placeEvents) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].order < q[j].order
}
func (q placeEvents) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push appends an event.
func (q *placeEvents) Push(x any) { *q = append(*q, x.(placeEvent)) }

// Pop removes the last event.
func (q *placeEvents) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// placeTarget is a target with its node.
type placeTarget struct {
	index    int
	name     string
	domain   int
	slots    int
	running  int
	gate     *admit.Gate
	backlog  backlog.Backlog
	costs    *cost.Estimator
	slowness cost.Slowness
	fifo     []*placeCall    // waiting calls under the oracle
	planned  []time.Duration // when each slot becomes free, under the oracle
	assigned int             // calls sent by the oracle that have not ended
	waiting  map[uint64]*placeCall
}

// placeSender is a node at which calls enter.
type placeSender struct {
	*route.Table
	costs *cost.Estimator // of the calls that it sent, at the service time of the unit
}

// placeSim plays one world under one policy.
type placeSim struct {
	*placeWorld
	policy  placePolicy
	now     time.Duration
	events  placeEvents
	order   uint64
	targets []*placeTarget
	senders []placeSender

	latencies []time.Duration
	within    int
	attempts  int
	far       int // attempts that went to another domain
	idle      time.Duration
}

func newPlaceSim(w *placeWorld, policy placePolicy) *placeSim {
	s := &placeSim{placeWorld: w, policy: policy}
	for i := range placeTargets {
		t := &placeTarget{
			index: i, name: placeNames[i], domain: i % placeDomains, slots: w.slots[i],
			gate: admit.NewGate(), costs: cost.NewEstimator(), waiting: map[uint64]*placeCall{},
		}
		t.gate.SetSlots(t.slots)
		t.slots = t.gate.Limit()
		t.planned = make([]time.Duration, t.slots)
		s.targets = append(s.targets, t)
	}
	for i := range placeSenders {
		table := route.NewTable("sender"+placeNames[i%placeTargets]+string(rune('a'+i)), placeNames[i%placeDomains])
		for _, t := range s.targets {
			table.Put(s.time().Add(-time.Minute), route.Endpoint{Name: t.name, Service: placeService, Domain: placeNames[t.domain], Slots: w.slots[t.index]}, false)
		}
		s.senders = append(s.senders, placeSender{Table: table, costs: cost.NewEstimator()})
	}
	return s
}

// time returns the instant in the time base of core.
func (s *placeSim) time() time.Time { return time.Unix(1_000_000, 0).Add(s.now) }

func (s *placeSim) after(d time.Duration, apply func()) {
	s.order++
	heap.Push(&s.events, placeEvent{at: s.now + d, order: s.order, apply: apply})
}

func (s *placeSim) run() placeFigures {
	next := 0
	var sample func()
	sample = func() {
		s.sampleIdle()
		if s.now < s.end {
			s.after(placeSampleStep, sample)
		}
	}
	s.after(placeWarmUp, sample)
	for next < len(s.calls) || len(s.events) > 0 {
		if next < len(s.calls) && (len(s.events) == 0 || s.calls[next].arrival <= s.events[0].at) {
			c := s.calls[next] // a copy: the calls are shared between policies
			next++
			s.now = c.arrival
			s.send(&c)
			continue
		}
		e := heap.Pop(&s.events).(placeEvent)
		s.now = e.at
		e.apply()
	}
	return s.figures()
}

// sampleIdle adds the slots that are idle while calls wait elsewhere.
func (s *placeSim) sampleIdle() {
	idle, waiting := 0, 0
	for _, t := range s.targets {
		idle += t.slots - t.running
		waiting += len(t.fifo) + t.gate.Stats().Queued
	}
	s.idle += time.Duration(min(idle, waiting)) * placeSampleStep
}

func (s *placeSim) countAttempt(c *placeCall) {
	s.attempts++
	if c.sender%placeDomains != c.target.domain {
		s.far++
	}
}

func (s *placeSim) oneWay(c *placeCall) time.Duration {
	if c.sender%placeDomains == c.target.domain {
		return nearOneWay
	}
	return farOneWay
}

// refuseCaller refuses a call at its entry. The caller tries again after a quarter of the
// objective, as the refusal tells it, if that is within the objective.
func (s *placeSim) refuseCaller(c *placeCall) {
	random := float64(placeHash(c.id, uint64(s.now))>>11) / (1 << 53)
	delay := time.Duration(float64(placeObjective) / 4 * (0.75 + 0.5*random))
	if s.now+delay-c.arrival >= placeObjective {
		s.count(c, false)
		return
	}
	c.attempts, c.excluded = 0, nil
	s.after(delay, func() { s.send(c) })
}

// send makes the next attempt of a call.
func (s *placeSim) send(c *placeCall) {
	if c.attempts >= placeAttempts || s.now-c.arrival >= placeTimeout {
		s.refuseCaller(c)
		return
	}
	c.attempts++
	c.sentAt = s.now
	if s.policy >= placeOracle {
		if !s.chooseByOracle(c) {
			s.refuseCaller(c)
			return
		}
		s.countAttempt(c)
		s.after(s.oneWay(c), func() { s.arriveFIFO(c) })
		return
	}
	e := s.choose(c)
	if e == nil {
		s.refuseCaller(c)
		return
	}
	e.CallStarted()
	c.target = s.targets[slices.IndexFunc(s.targets, func(t *placeTarget) bool { return t.name == e.Name })]
	s.countAttempt(c)
	s.after(s.oneWay(c), func() { s.arrive(c) })
}

// choose chooses an endpoint by what the call's sender knows.
func (s *placeSim) choose(c *placeCall) *route.Endpoint {
	sender, seed := &s.senders[c.sender], placeHash(c.id, uint64(c.attempts))
	if s.policy == placeToday {
		return sender.Pick(s.time(), placeService, seed, c.excluded)
	}
	ratio := float64(sender.costs.Estimate(s.time(), c.route)) / float64(sender.costs.Unit())
	return sender.PickByCompletion(s.time(), placeService, seed, ratio, c.excluded)
}

func placeHash(a, b uint64) uint64 {
	x := a*0x9e3779b97f4a7c15 + b*0xbf58476d1ce4e5b9
	x ^= x >> 31
	x *= 0x94d049bb133111eb
	return x ^ x>>29
}

// chooseByOracle chooses the target at which the call completes first. It reports false if
// none does within the objective.
func (s *placeSim) chooseByOracle(c *placeCall) bool {
	var best *placeTarget
	var bestEnd time.Duration
	for _, t := range s.targets {
		if s.policy == placeOracle && t.assigned >= 2*t.slots {
			continue // its queue is full
		}
		c.target = t
		way := s.oneWay(c)
		end := way + s.finish(t.index, max(s.now+way, slices.Min(t.planned)), c.work)
		if best == nil || end < bestEnd {
			best, bestEnd = t, end
		}
	}
	c.target = best
	if best == nil || s.policy == placeBound && bestEnd-c.arrival > placeObjective || bestEnd-c.arrival > placeTimeout {
		return false
	}
	best.assigned++
	for i, free := range best.planned {
		if free == slices.Min(best.planned) {
			best.planned[i] = bestEnd - s.oneWay(c)
			break
		}
	}
	return true
}

func (s *placeSim) arriveFIFO(c *placeCall) {
	t := c.target
	if t.running >= t.slots {
		t.fifo = append(t.fifo, c)
		return
	}
	s.start(c)
}

// arrive offers a call to the gate of its target.
func (s *placeSim) arrive(c *placeCall) {
	t, now := c.target, s.time()
	c.estimate = t.costs.Estimate(now, c.route)
	offered := admit.Call{
		ID: c.id, Rank: admit.Rank{Hash: 0}, ExpectedTime: max(1, c.estimate),
		Deadline: now.Add(c.arrival + placeTimeout - s.now),
	}
	decision, evicted := t.gate.Offer(now, offered)
	switch decision {
	case admit.Admitted:
		s.start(c)
	case admit.Queued:
		t.waiting[c.id] = c
		t.backlog.Wait(c.id, c.estimate)
	case admit.Refused:
		s.refuse(c)
	}
	if evicted.ID != 0 {
		s.refuseWaiting(t, evicted.ID)
	}
}

func (s *placeSim) refuseWaiting(t *placeTarget, id uint64) {
	c := t.waiting[id]
	delete(t.waiting, id)
	t.backlog.Remove(id)
	s.refuse(c)
}

func (s *placeSim) refuse(c *placeCall) {
	t := c.target
	load, work := t.gate.Stats().LoadRatio(), s.work(t)
	s.after(s.oneWay(c), func() {
		now := s.time()
		e := s.senders[c.sender].Find(placeService, t.name)
		e.CallRejected(now)
		s.observe(e, load, work)
		c.excluded = []string{t.name}
		s.send(c)
	})
}

// observe records what an answer carried.
func (s *placeSim) observe(e *route.Endpoint, load float64, work route.Work) {
	e.SetLoad(s.time(), load)
	if s.policy == placeBacklog {
		e.SetWork(s.time(), work)
	}
}

// work returns what a target's node publishes.
func (s *placeSim) work(t *placeTarget) route.Work {
	now := s.time()
	unit, factor := t.costs.Unit(), t.slowness.Factor(now)
	return route.Work{
		UnitTime:    t.backlog.TimeToComplete(now, t.slots, unit, factor),
		ServiceTime: time.Duration(float64(unit) * factor),
	}
}

// start runs a call at its target.
func (s *placeSim) start(c *placeCall) {
	t := c.target
	t.running++
	c.startedAt = s.now
	c.startFactor = t.slowness.Factor(s.time())
	t.backlog.Start(s.time(), c.id, c.estimate)
	load := t.gate.Stats().LoadRatio()
	end := s.finish(t.index, s.now, c.work)
	s.after(end-s.now, func() { s.complete(c, load) })
}

// complete ends a call at its target and starts the next.
func (s *placeSim) complete(c *placeCall, loadAtStart float64) {
	t, now := c.target, s.time()
	t.running--
	t.assigned--
	took := s.now - c.startedAt
	t.backlog.Remove(c.id)
	if s.policy >= placeOracle {
		if len(t.fifo) > 0 {
			next := t.fifo[0]
			t.fifo = t.fifo[1:]
			s.start(next)
		}
	} else {
		t.slowness.Report(now, s.factor(t.index, s.now))
		t.slowness.Observe(c.estimate, took)
		t.costs.Observe(now, c.route, took, (c.startFactor+t.slowness.Factor(now))/2)
		t.gate.Complete(admit.Completion{Route: c.route, Started: now.Add(-took), TotalTime: took, OwnTime: took, Succeeded: true})
		s.startQueued(t)
	}
	work := s.work(t)
	s.after(s.oneWay(c), func() {
		if s.policy < placeOracle {
			e := s.senders[c.sender].Find(placeService, t.name)
			e.CallAnswered(s.now - c.sentAt)
			s.observe(e, loadAtStart, work)
			sender := &s.senders[c.sender]
			sender.costs.Observe(s.time(), c.route, took, float64(work.ServiceTime)/float64(placeMeanCost))
		}
		s.count(c, true)
	})
}

func (s *placeSim) startQueued(t *placeTarget) {
	for {
		queued, dropped, ok := t.gate.Next(s.time())
		if !ok {
			return
		}
		if dropped {
			s.refuseWaiting(t, queued.ID)
			continue
		}
		c := t.waiting[queued.ID]
		delete(t.waiting, queued.ID)
		s.start(c)
	}
}

// count counts a call that has ended.
func (s *placeSim) count(c *placeCall, served bool) {
	if c.arrival < placeWarmUp {
		return
	}
	took := placeTimeout // for the p99, of a call that is not served
	if served {
		took = s.now - c.arrival
	}
	if took <= placeObjective {
		s.within++
	}
	s.latencies = append(s.latencies, took)
}
