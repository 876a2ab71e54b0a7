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

// The fleet of these tests is a handful of reducers, a map for the store, and a
// list of messages under way. It knows nothing of how they decide.

const (
	testTTL   = 2 * time.Second
	testStep  = 10 * time.Millisecond
	testRenew = 500 * time.Millisecond
)

type delivery struct {
	at    time.Time
	to    int
	event Event
}

type testNode struct {
	state  *State
	lag    time.Duration // by which its clock is behind
	paused bool          // its control thread does not run
	frozen bool          // its clock stands still while it is paused
	cut    bool          // no message gets through to or from it
	watch  time.Duration // by which the store's watch is behind
	lease  time.Time     // end of its lease by the store
	renew  time.Time     // by its own clock
}

type record struct {
	owner int
	lease time.Time // which lease it stands under, by its node's grant
}

type testFleet struct {
	t       *rapid.T
	now     time.Time
	nodes   []*testNode
	flight  []delivery
	records map[quota.Shard]record
	away    bool // the store does not answer
	admit   func(node int, v Verdict)
	refuse  func(node int, v Verdict)
	calls   uint64
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
	f := &testFleet{t: t, now: time.Unix(1000, 0), records: map[quota.Shard]record{}}
	for i := range n {
		f.nodes = append(f.nodes, &testNode{state: New(Settings{Self: testMember(i), RandomSeed: uint64(i)})})
	}
	for i, node := range f.nodes {
		f.step(i, &StoreReachability{Reachable: true})
		for k := range n {
			f.step(i, &MemberStored{Member: testMember(k)})
		}
		f.step(i, &ManifestStored{Manifest: m})
		node.renew = f.now
	}
	return f
}

func (f *testFleet) local(i int) time.Time { return f.now.Add(-f.nodes[i].lag) }

// step gives a node an event at its own time and carries out the effects.
func (f *testFleet) step(i int, e Event) {
	effects := f.nodes[i].state.Step(f.local(i), e)
	verdicts := slices.Clone(effects.Verdicts)
	for _, r := range effects.StoreRequests {
		f.request(i, r)
	}
	for _, m := range effects.Envelopes {
		f.post(i, m)
	}
	for _, v := range verdicts {
		f.verdict(i, v)
	}
}

func (f *testFleet) verdict(i int, v Verdict) {
	switch v.Action {
	case ActionRun, ActionForward:
		if f.admit != nil {
			f.admit(i, v)
		}
		f.step(i, &CallFinished{Call: v.Call, Complete: true})
	case ActionRefuse:
		if f.refuse != nil {
			f.refuse(i, v)
		}
	case ActionReplay, ActionDeliver, ActionSettle:
	}
}

func (f *testFleet) post(from int, m Envelope) {
	for to, n := range f.nodes {
		if n.state.self.Name != m.To || n.cut || f.nodes[from].cut {
			continue
		}
		delay := time.Duration(rapid.IntRange(0, 3).Draw(f.t, "delay")) * testStep
		f.flight = append(f.flight, delivery{
			at: f.now.Add(delay), to: to,
			event: &MessageReceived{From: f.nodes[from].state.self.Name, Body: m.Body},
		})
	}
}

// request carries out a store operation; its answer may be lost.
func (f *testFleet) request(i int, r StoreRequest) {
	if f.away {
		return
	}
	switch r := r.(type) {
	case *ClaimShard:
		f.claim(i, r)
	case *ReleaseShard:
		if rec, ok := f.records[r.Shard]; ok && rec.owner == i {
			f.drop(r.Shard)
		}
	}
}

func (f *testFleet) claim(i int, r *ClaimShard) {
	node := f.nodes[i]
	if !f.now.Before(node.lease) {
		return
	}
	for _, s := range append([]quota.Shard{r.Shard}, r.Conflicting...) {
		if _, taken := f.records[s]; taken {
			return
		}
	}
	f.records[r.Shard] = record{owner: i, lease: node.lease}
	name := node.state.self.Name
	for k := range f.nodes {
		f.tell(k, &ShardStored{ShardRecord: ShardRecord{Shard: r.Shard, Owner: name}})
	}
	f.tell(i, &ClaimDone{Shard: r.Shard, Held: true})
}

func (f *testFleet) drop(s quota.Shard) {
	delete(f.records, s)
	for k := range f.nodes {
		f.tell(k, &ShardDeleted{Shard: s})
	}
}

// tell has the store's watch report to a node.
func (f *testFleet) tell(i int, e Event) {
	f.flight = append(f.flight, delivery{at: f.now.Add(f.nodes[i].watch), to: i, event: e})
}

// pass lets time go by.
func (f *testFleet) pass(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.now = f.now.Add(testStep)
		f.keepLeases()
		for i, n := range f.nodes {
			if n.paused && n.frozen {
				n.lag += testStep
			}
			if !n.paused {
				f.deliver(i)
				f.step(i, &Tick{})
			}
		}
	}
}

func (f *testFleet) deliver(i int) {
	var due []delivery
	f.flight = slices.DeleteFunc(f.flight, func(d delivery) bool {
		mine := d.to == i && !d.at.After(f.now)
		if mine {
			due = append(due, d)
		}
		return mine
	})
	for _, d := range due {
		f.step(i, d.event)
	}
}

// keepLeases ends leases at the store and renews those of nodes that run.
func (f *testFleet) keepLeases() {
	if f.away {
		return
	}
	for i, n := range f.nodes {
		if !n.paused && !n.cut && !f.local(i).Before(n.renew) {
			n.renew = f.local(i).Add(testRenew)
			if f.now.After(n.lease) {
				f.expire(i)
				f.step(i, &LeaseLost{})
			}
			n.lease = f.now.Add(testTTL)
			f.step(i, &LeaseHeld{Until: f.local(i).Add(testTTL)})
		}
		if f.now.After(n.lease) {
			f.expire(i)
		}
	}
}

func (f *testFleet) expire(i int) {
	for s, rec := range f.records {
		if rec.owner == i {
			f.drop(s)
		}
	}
}

// call brings a call with the workspace's key to a node.
func (f *testFleet) call(i int, route string) {
	f.calls++
	f.step(i, &CallArrived{
		Call: CallID(f.calls), Route: route, KeyDigest: manifest.DigestOf("k"), HasKey: true,
		RootID: f.calls, Replayable: true,
	})
}
