package core

import (
	"fmt"
	"net/netip"
	"slices"
	"time"

	"pgregory.net/rapid"

	"celeryshelf/core/manifest"
	"celeryshelf/core/member"
	"celeryshelf/core/quota"
)

// The fleet simulated in these tests consists of a few reducers, a map that stands for the
// store, and a list of messages in flight. It carries out the effects without knowing how
// the reducers decide.

const (
	testLeaseTTL      = 2 * time.Second
	testTickInterval  = 10 * time.Millisecond
	testRenewInterval = 500 * time.Millisecond
)

type delivery struct {
	due   time.Time
	to    int
	event Event
}

type testNode struct {
	state       *State
	clockLag    time.Duration // how far its clock is behind
	paused      bool          // its control thread is stopped
	clockFrozen bool          // its clock stops too while it is paused
	partitioned bool          // all messages to and from it are lost
	watchDelay  time.Duration // delay of events from the store's watch
	leaseEnd    time.Time     // by the store's clock
	renewAt     time.Time     // next lease renewal, by its own clock
}

type shardRecord struct {
	owner    int
	leaseEnd time.Time // of the lease under which the shard was claimed
}

type testFleet struct {
	t         *rapid.T
	now       time.Time
	nodes     []*testNode
	inFlight  []delivery
	records   map[quota.Shard]shardRecord
	storeDown bool // the store does not answer
	onAdmit   func(node int, v Verdict)
	onRefuse  func(node int, v Verdict)
	callCount uint64
}

func testManifest(rate float64, burst int) manifest.Versioned {
	return manifest.Versioned{Version: 1, Manifest: manifest.Manifest{
		RetryBudget: 2,
		Workspaces: []manifest.Workspace{{
			Name: "bo-lieu", Rate: rate, Burst: burst,
			Keys: []manifest.Key{{Name: "main", Digest: manifest.DigestOf("k")}},
		}},
		Services: []manifest.Service{{Name: "maps"}},
		Routes: []manifest.Route{
			{Name: "map", Method: "GET", Path: "/map", Service: "maps", Timeout: manifest.Duration{Duration: 2 * time.Second}},
			{Name: "order", Method: "POST", Path: "/order", Service: "maps", AtMostOnce: true, Timeout: manifest.Duration{Duration: 2 * time.Second}},
		},
	}}
}

func testMember(i int) member.Member {
	ip := netip.AddrFrom4([4]byte{127, 0, 0, byte(i + 1)})
	return member.Member{
		Name: fmt.Sprintf("n%d", i), Service: "maps", Domain: fmt.Sprintf("d%d", i%3),
		NodeAddr: netip.AddrPortFrom(ip, 1), ControlAddr: netip.AddrPortFrom(ip, 2), Incarnation: 1, Revision: 1,
	}
}

func newTestFleet(t *rapid.T, n int, m manifest.Versioned) *testFleet {
	f := &testFleet{t: t, now: time.Unix(1000, 0), records: map[quota.Shard]shardRecord{}}
	for i := range n {
		f.nodes = append(f.nodes, &testNode{state: New(Settings{Self: testMember(i), RandomSeed: uint64(i)})})
	}
	for i, node := range f.nodes {
		f.step(i, &StoreReachability{Reachable: true})
		for k := range n {
			f.step(i, &MemberStored{Member: testMember(k)})
		}
		f.step(i, &ManifestStored{Manifest: compiled(m)})
		node.renewAt = f.now
	}
	return f
}

func (f *testFleet) localTime(i int) time.Time { return f.now.Add(-f.nodes[i].clockLag) }

// step applies an event to a node at the time of its own clock and carries out the effects.
func (f *testFleet) step(i int, e Event) {
	effects := f.nodes[i].state.Step(f.localTime(i), e)
	verdicts := slices.Clone(effects.Verdicts)
	for _, r := range effects.StoreRequests {
		f.handleRequest(i, r)
	}
	for _, m := range effects.Envelopes {
		f.send(i, m)
	}
	for _, v := range verdicts {
		f.handleVerdict(i, v)
	}
}

func (f *testFleet) handleVerdict(i int, v Verdict) {
	switch v.Action {
	case ActionRun, ActionForward:
		if f.onAdmit != nil {
			f.onAdmit(i, v)
		}
		f.step(i, &CallFinished{Call: v.Call, Complete: true})
	case ActionRefuse:
		if f.onRefuse != nil {
			f.onRefuse(i, v)
		}
	case ActionReplay, ActionDeliver, ActionSettle:
	}
}

func (f *testFleet) send(from int, m Envelope) {
	for to, n := range f.nodes {
		if n.state.self.Name != m.To || n.partitioned || f.nodes[from].partitioned {
			continue
		}
		delay := time.Duration(rapid.IntRange(0, 3).Draw(f.t, "delay")) * testTickInterval
		f.inFlight = append(f.inFlight, delivery{
			due: f.now.Add(delay), to: to,
			event: &MessageReceived{From: f.nodes[from].state.self.Name, Body: m.Body},
		})
	}
}

// handleRequest carries out a store operation, or ignores it while the store is down.
func (f *testFleet) handleRequest(i int, r StoreRequest) {
	if f.storeDown {
		return
	}
	switch r := r.(type) {
	case *ClaimShard:
		f.claim(i, r)
	case *ReleaseAllShards:
		f.deleteRecordsOf(i)
	case *ReleaseShard:
		if rec, ok := f.records[r.Shard]; ok && rec.owner == i {
			f.deleteRecord(r.Shard)
		}
	}
}

func (f *testFleet) claim(i int, r *ClaimShard) {
	node := f.nodes[i]
	if !f.now.Before(node.leaseEnd) {
		return
	}
	for _, s := range append([]quota.Shard{r.Shard}, r.Conflicting...) {
		if _, taken := f.records[s]; taken {
			return
		}
	}
	f.records[r.Shard] = shardRecord{owner: i, leaseEnd: node.leaseEnd}
	name := node.state.self.Name
	for k := range f.nodes {
		f.reportLater(k, &ShardStored{ShardRecord: ShardRecord{Shard: r.Shard, Owner: name}})
	}
	f.reportLater(i, &ClaimDone{Shard: r.Shard, Held: true})
}

func (f *testFleet) deleteRecord(s quota.Shard) {
	delete(f.records, s)
	for k := range f.nodes {
		f.reportLater(k, &ShardDeleted{Shard: s})
	}
}

// reportLater delivers an event of the store's watch to a node after the node's watch delay.
func (f *testFleet) reportLater(i int, e Event) {
	f.inFlight = append(f.inFlight, delivery{due: f.now.Add(f.nodes[i].watchDelay), to: i, event: e})
}

// advance moves the time forward, delivers messages and ticks the nodes that are not paused.
func (f *testFleet) advance(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.now = f.now.Add(testTickInterval)
		f.renewLeases()
		for i, n := range f.nodes {
			if n.paused && n.clockFrozen {
				n.clockLag += testTickInterval
			}
			if !n.paused {
				f.deliverDue(i)
				f.step(i, &Tick{})
			}
		}
	}
}

func (f *testFleet) deliverDue(i int) {
	var due []delivery
	f.inFlight = slices.DeleteFunc(f.inFlight, func(d delivery) bool {
		mine := d.to == i && !d.due.After(f.now)
		if mine {
			due = append(due, d)
		}
		return mine
	})
	for _, d := range due {
		f.step(i, d.event)
	}
}

// renewLeases renews the leases of nodes that can reach the store and deletes the records of
// nodes whose lease has expired.
func (f *testFleet) renewLeases() {
	if f.storeDown {
		return
	}
	for i, n := range f.nodes {
		if !n.paused && !n.partitioned && !f.localTime(i).Before(n.renewAt) {
			n.renewAt = f.localTime(i).Add(testRenewInterval)
			if f.now.After(n.leaseEnd) {
				f.deleteRecordsOf(i)
				f.step(i, &LeaseLost{})
			}
			n.leaseEnd = f.now.Add(testLeaseTTL)
			f.step(i, &LeaseHeld{Until: f.localTime(i).Add(testLeaseTTL)})
		}
		if f.now.After(n.leaseEnd) {
			f.deleteRecordsOf(i)
		}
	}
}

func (f *testFleet) deleteRecordsOf(i int) {
	for s, rec := range f.records {
		if rec.owner == i {
			f.deleteRecord(s)
		}
	}
}

// call sends a call with the workspace's key to a node.
func (f *testFleet) call(i int, route string) {
	f.callCount++
	f.step(i, &CallArrived{
		Call: CallID(f.callCount), Route: lookup(route), KeyDigest: manifest.DigestOf("k"), HasKey: true,
		RootID: f.callCount, Replayable: true,
	})
}
