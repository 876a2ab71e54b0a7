package core

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"celeryshelf/core/manifest"
	"celeryshelf/core/member"
	"celeryshelf/core/retry"
)

// These tests simulate load on six reducers. Calls on order (high priority) and view
// (low priority) run at three targets of the service front, and each makes four
// sequential calls on table at the service deep, whose three targets lack the capacity
// for all of them. Calls on page run at deep directly.

type simEvent struct {
	at    time.Time
	order int
	run   func()
}

type simQueue []simEvent

func (q simQueue) Len() int { return len(q) }
func (q simQueue) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || q[i].at.Equal(q[j].at) && q[i].order < q[j].order
}
func (q simQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *simQueue) Push(x any)   { *q = append(*q, x.(simEvent)) }
func (q *simQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

// simHop is one call at one node.
type simHop struct {
	node     int
	route    string
	name     string
	upstream *simHop // the hop at the node that forwarded the call
	onEnd    func(ok, ran bool)
	load     TargetLoad // of the target that the call was forwarded to
	root     *simRoot
	declined bool // the target has declined the call
	arrived  bool // the call, or the one that it is forwarded for, has reached a target
}

// simRoot counts the work done for a root call.
type simRoot struct {
	deepRuns int // completed runs on table
}

type simulation struct {
	now            time.Time
	queue          simQueue
	random         *rand.Rand
	nodes          []*State
	settings       []Settings
	unreachable    func(to int) bool
	hops           []map[CallID]*simHop
	nextID         uint64
	workTime       map[string]time.Duration
	childCalls     map[string]int                 // on table, by route
	completedRuns  map[string]int                 // by route
	onStoreRequest func(node int, r StoreRequest) // called for each request to the store
	onRun          func(node int)                 // called for each call that reaches a target
	namesParent    bool                           // calls made by targets carry the ID of the call that made them
	front          int                            // number of nodes of service front, which come first
	deepSlots      int
	parallel       bool                   // targets make their child calls at once
	declines       func(hop *simHop) bool // called when a call reaches a target; reports whether that declines it
}

const simHopLatency = time.Millisecond

func simManifest() manifest.Versioned {
	second := manifest.Duration{Duration: time.Second}
	high, middle, low := 0, 1, 2
	return manifest.Versioned{Version: 1, Manifest: manifest.Manifest{
		Services: []manifest.Service{{Name: "front"}, {Name: "deep"}},
		Routes: []manifest.Route{
			{Name: "order", Path: "/order", Service: "front", Priority: &high, Public: true, AtMostOnce: true, Timeout: second},
			{Name: "page", Path: "/page", Service: "deep", Priority: &middle, Public: true, Timeout: second},
			{Name: "view", Path: "/view", Service: "front", Priority: &low, Public: true, Timeout: second},
			{Name: "table", Path: "/table", Service: "deep", Priority: &middle, Public: true, Timeout: second},
		},
	}}
}

func newSimulation(plannedAdmission, namesParent bool) *simulation {
	return newSimulationOf(3, 3, 20, plannedAdmission, namesParent)
}

// newSimulationOf simulates the given number of nodes of each service, and of slots of each
// target of deep.
func newSimulationOf(front, deep, deepSlots int, plannedAdmission, namesParent bool) *simulation {
	m := &simulation{
		now: time.Unix(1000, 0), random: rand.New(rand.NewPCG(1, 2)), namesParent: namesParent, front: front, deepSlots: deepSlots,
		workTime:   map[string]time.Duration{"order": 100 * time.Millisecond, "view": 100 * time.Millisecond, "page": 50 * time.Millisecond, "table": 50 * time.Millisecond},
		childCalls: map[string]int{"order": 4, "view": 4}, completedRuns: map[string]int{},
	}
	for i := range front + deep {
		self := testMember(i)
		self.Service = "front"
		if i >= front {
			self.Service = "deep"
		}
		m.settings = append(m.settings, Settings{
			Self: self, RandomSeed: uint64(i), PlannedAdmission: plannedAdmission, TargetHeartbeats: true,
			RetryLimit: retry.ServiceLimit{Ratio: 0.2, Slack: 50, Window: 10 * time.Second},
		})
		m.nodes = append(m.nodes, nil)
		m.hops = append(m.hops, nil)
		m.restart(i)
		m.step(i, &StoreSnapshot{}) // a starting node uses its target once it has read the store
	}
	for i := range m.nodes {
		for j := range m.nodes {
			self := m.nodes[j].self
			self.TargetClosed = false
			m.step(i, &MemberStored{Member: self})
		}
		m.tick(i)
	}
	return m
}

// restart replaces a node's process by a new one without any state.
func (m *simulation) restart(i int) {
	settings := &m.settings[i]
	settings.Self.Incarnation++
	m.nodes[i], m.hops[i] = New(*settings), map[CallID]*simHop{}
	m.step(i, &ManifestStored{Manifest: compiled(simManifest())})
	slots := 200
	if i >= m.front {
		slots = m.deepSlots
	}
	m.step(i, &HeartbeatReceived{Heartbeat: Heartbeat{InstanceID: "t", StartUnixMilli: 1, Sequence: 1, Slots: slots}})
}

// announcements returns what every node announces.
func (m *simulation) announcements() []member.Member {
	var out []member.Member
	for _, n := range m.nodes {
		out = append(out, n.self)
	}
	return out
}

func (m *simulation) after(d time.Duration, do func()) {
	m.nextID++
	heap.Push(&m.queue, simEvent{at: m.now.Add(d), order: int(m.nextID), run: do})
}

func (m *simulation) tick(i int) {
	m.step(i, &Tick{})
	m.after(10*time.Millisecond, func() { m.tick(i) })
}

func (m *simulation) run(until time.Time) {
	for len(m.queue) > 0 && m.queue[0].at.Before(until) {
		e := heap.Pop(&m.queue).(simEvent)
		m.now = e.at
		e.run()
	}
	m.now = until
}

func (m *simulation) id() CallID { m.nextID++; return CallID(m.nextID*0x9e3779b97f4a7c15 | 1) }

// step passes an event to a node and carries out the effects.
func (m *simulation) step(i int, e Event) {
	effects := m.nodes[i].Step(m.now, e)
	verdicts := append([]Verdict(nil), effects.Verdicts...)
	for _, env := range append([]Envelope(nil), effects.Envelopes...) {
		from := m.nodes[i].self.Name
		m.after(simHopLatency, func() { m.receive(env.Address, from, env.Body) })
	}
	requests := append([]StoreRequest(nil), effects.StoreRequests...)
	for _, v := range verdicts {
		m.verdict(i, v)
	}
	for _, r := range requests {
		if m.onStoreRequest != nil {
			m.onStoreRequest(i, r)
		}
	}
}

func (m *simulation) receive(addr netip.AddrPort, from string, body Message) {
	for i, n := range m.nodes {
		if n.self.ControlAddr != addr {
			continue
		}
		reached := m.unreachable == nil || !m.unreachable(i)
		if reached {
			m.step(i, &MessageReceived{From: from, Body: body})
		}
		if _, acked := body.(*Sync); acked || !reached {
			m.reportReachability(from, n.self.Name, reached)
		}
	}
}

// reportReachability tells a sender whether its message was delivered.
func (m *simulation) reportReachability(from, to string, reached bool) {
	for i, n := range m.nodes {
		if n.self.Name == from {
			m.step(i, &PeerReachability{Name: to, Reachable: reached})
		}
	}
}

func (m *simulation) verdict(i int, v Verdict) {
	hop := m.hops[i][v.Call]
	if hop == nil {
		return
	}
	switch v.Action {
	case ActionRefuse:
		m.end(i, v.Call, hop, false, v.Executed != ExecutedNo, v)
	case ActionForward:
		m.after(simHopLatency, func() { m.forward(v, hop) })
	case ActionRun:
		if m.onRun != nil {
			m.onRun(i)
		}
		if m.declines != nil && m.declines(hop) {
			m.after(simHopLatency, func() { m.step(i, &AttemptFailed{Call: v.Call, Cause: CauseTargetOverloaded, Executed: ExecutedNo}) })
			return
		}
		m.runHop(i, v.Call, hop)
	case ActionDeliver:
		hop.declined = true
		m.step(i, &CallFinished{Call: v.Call, Complete: true})
		m.end(i, v.Call, hop, false, false, v)
	case ActionReplay, ActionSettle:
	}
}

func (m *simulation) forward(v Verdict, hop *simHop) {
	for j, n := range m.nodes {
		if n.self.Name != v.Endpoint {
			continue
		}
		id := m.id()
		downstream := &simHop{node: j, route: hop.route, name: hop.name, upstream: hop, root: hop.root}
		downstream.onEnd = func(ok, ran bool) {
			hop.load = TargetLoad{Known: true, Utilization: m.nodes[j].gate.Stats().LoadRatio()}
			m.after(simHopLatency, func() {
				if !ok && !ran {
					failed := &AttemptFailed{Call: v.Call, Cause: CauseRejected, Reason: ReasonOverloaded, Executed: ExecutedNo, Load: hop.load}
					if downstream.declined {
						failed.Cause, failed.Reason = CauseTargetOverloaded, ReasonNone
					}
					m.step(hop.node, failed)
					return
				}
				m.finish(hop.node, v.Call, hop, ok)
			})
		}
		m.hops[j][id] = downstream
		m.step(j, &CallArrived{Call: id, Origin: FromNode, RequestID: hop.name, Context: v.Context})
	}
}

func (m *simulation) finish(i int, call CallID, hop *simHop, ok bool) {
	delete(m.hops[i], call)
	m.step(i, &CallFinished{Call: call, Complete: true, Failed: !ok, Load: hop.load})
	hop.onEnd(ok, true)
}

func (m *simulation) end(i int, call CallID, hop *simHop, ok, ran bool, _ Verdict) {
	delete(m.hops[i], call)
	hop.onEnd(ok, ran)
}

// runHop has a target run a call, which first makes its child calls one after
// another, or all at once.
func (m *simulation) runHop(i int, call CallID, hop *simHop) {
	if m.parallel && m.childCalls[hop.route] > 0 {
		m.runParallelHop(i, call, hop)
		return
	}
	var next func(left int)
	next = func(left int) {
		if left == 0 {
			workTime := time.Duration((0.5 + m.random.Float64()) * float64(m.workTime[hop.route]))
			m.after(workTime, func() {
				m.completedRuns[hop.route]++
				if hop.root != nil && hop.route == "table" {
					hop.root.deepRuns++
				}
				m.finish(i, call, hop, true)
			})
			return
		}
		m.child(i, hop, func(ok bool) {
			if !ok {
				m.finish(i, call, hop, false)
				return
			}
			next(left - 1)
		})
	}
	next(m.childCalls[hop.route])
}

// runParallelHop ends the call at the first child call that fails.
func (m *simulation) runParallelHop(i int, call CallID, hop *simHop) {
	left, ended := m.childCalls[hop.route], false
	for range left {
		m.child(i, hop, func(ok bool) {
			left--
			if !ended && (!ok || left == 0) {
				ended = true
				m.finish(i, call, hop, ok)
			}
		})
	}
}

func (m *simulation) child(i int, parent *simHop, done func(ok bool)) {
	id := m.id()
	hop := &simHop{node: i, route: "table", name: fmt.Sprint(parent.name, ".", m.nextID), root: parent.root, onEnd: func(ok, _ bool) { done(ok) }}
	m.hops[i][id] = hop
	a := &CallArrived{Call: id, Origin: FromCallerOrTarget, Route: lookup("table"), RequestID: hop.name, RootID: uint64(id), Timeout: time.Second, Replayable: true}
	if m.namesParent {
		a.ParentRequestID = parent.name
	}
	m.step(i, a)
}

// offer sends calls on a route at the given rate until the given time, spread over
// the nodes, and counts those sent and those that succeed.
func (m *simulation) offer(route string, rate float64, until time.Time, sent, served *int) {
	m.after(time.Duration(m.random.ExpFloat64()/rate*float64(time.Second)), func() {
		if !m.now.Before(until) {
			return
		}
		*sent++
		i := m.random.IntN(len(m.nodes))
		id := m.id()
		hop := &simHop{node: i, route: route, name: route + time.Duration(id).String(), onEnd: func(ok, _ bool) {
			if ok {
				*served++
			}
		}}
		m.hops[i][id] = hop
		// The API key marks this as a caller's call; the routes are public.
		m.step(i, &CallArrived{Call: id, Origin: FromCallerOrTarget, Route: lookup(route), RequestID: hop.name, HasKey: true, RootID: uint64(id), Timeout: time.Second, Replayable: true})
		m.offer(route, rate, until, sent, served)
	})
}
