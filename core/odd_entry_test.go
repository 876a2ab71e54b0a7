package core

import (
	"math"
	"net/netip"
	"testing"
	"time"

	"celeryshelf/core/member"
	"celeryshelf/core/plan"
	"celeryshelf/core/quota"
)

// TestOddAnnouncementsAreNotUsed guards against announcements that another writer has left in
// the store or sent as gossip: calls would go to addresses where no node is, or a live member
// would be replaced. Each is reported once.
func TestOddAnnouncementsAreNotUsed(t *testing.T) {
	for name, change := range map[string]func(m *member.Member){
		"no name":                 func(m *member.Member) { m.Name = "" },
		"long name":               func(m *member.Member) { m.Name = string(make([]byte, 1<<20)) },
		"no service":              func(m *member.Member) { m.Service = "" },
		"no domain":               func(m *member.Member) { m.Domain = "" },
		"no address":              func(m *member.Member) { m.NodeAddr = netip.AddrPort{} },
		"port 0":                  func(m *member.Member) { m.NodeAddr = netip.AddrPortFrom(m.NodeAddr.Addr(), 0) },
		"control port 0":          func(m *member.Member) { m.ControlAddr = netip.AddrPortFrom(m.ControlAddr.Addr(), 0) },
		"unspecified address":     func(m *member.Member) { m.NodeAddr = netip.MustParseAddrPort("0.0.0.0:80") },
		"multicast address":       func(m *member.Member) { m.NodeAddr = netip.MustParseAddrPort("224.0.0.1:80") },
		"address of other family": func(m *member.Member) { m.NodeAddr = netip.MustParseAddrPort("[2001:db8::1]:80") },
		"other family, both": func(m *member.Member) {
			m.NodeAddr = netip.MustParseAddrPort("[2001:db8::1]:80")
			m.ControlAddr = m.NodeAddr
		},
		"slots below 0":    func(m *member.Member) { m.Slots = -1 },
		"slots too large":  func(m *member.Member) { m.Slots = math.MaxInt },
		"last incarnation": func(m *member.Member) { m.Incarnation = math.MaxUint64 },
		"last revision":    func(m *member.Member) { m.Revision = math.MaxUint64 },
	} {
		t.Run(name, func(t *testing.T) {
			s := New(Settings{Self: testMember(0), RandomSeed: 1})
			now := time.Unix(1000, 0)
			s.Step(now, &MemberStored{Member: testMember(1)})
			odd := testMember(1)
			odd.Incarnation++
			change(&odd)
			reported := 0
			for _, e := range []Event{
				&MemberStored{Member: odd}, &StoreSnapshot{Members: []member.Member{odd}},
				&MessageReceived{From: "n1", Body: &Sync{Self: testMember(1), Members: []member.Member{odd}}},
				&MessageReceived{From: odd.Name, Body: &Sync{Self: odd}},
			} {
				for _, n := range s.Step(now, e).Notices {
					if n.Kind == NoticeMemberRejected {
						reported++
					}
				}
			}
			p, ok := s.peers.Get("n1")
			if !ok || p.NodeAddr != testMember(1).NodeAddr || p.Incarnation != testMember(1).Incarnation || len(s.peers.All()) != 1 {
				t.Errorf("members are now %+v", s.peers.All())
			}
			if reported != 1 {
				t.Errorf("reported %d times, want once", reported)
			}
		})
	}
}

// TestForeignRecordOfOwnNameIsSuperseded guards against a record in a live node's name, by
// another writer or by an earlier process with a later time of day: peers would follow that
// record and ignore what the node announces.
func TestForeignRecordOfOwnNameIsSuperseded(t *testing.T) {
	s := New(Settings{Self: testMember(0), RandomSeed: 1})
	peer := New(Settings{Self: testMember(1), RandomSeed: 2})
	now := time.Unix(1000, 0)
	foreign := testMember(0)
	foreign.Incarnation += 5
	foreign.NodeAddr = netip.MustParseAddrPort("127.9.9.9:9")
	peer.Step(now, &MemberStored{Member: foreign})
	e := s.Step(now, &MemberStored{Member: foreign})
	if len(e.StoreRequests) != 1 {
		t.Fatalf("got store requests %+v, want an announcement", e.StoreRequests)
	}
	a, ok := e.StoreRequests[0].(*AnnounceMember)
	if !ok || a.Member.NodeAddr != testMember(0).NodeAddr {
		t.Fatalf("got %+v, want an announcement of the node's own address", e.StoreRequests[0])
	}
	peer.Step(now, &MemberStored{Member: a.Member})
	if p, _ := peer.peers.Get("n0"); p.NodeAddr != testMember(0).NodeAddr {
		t.Errorf("the peer has the address %s, want %s", p.NodeAddr, testMember(0).NodeAddr)
	}
}

// TestOddMessagesChangeNothing guards against numbers in peers' messages that end the
// process or get around a limit.
func TestOddMessagesChangeNothing(t *testing.T) {
	now := time.Unix(1000, 0)
	s := New(Settings{Self: testMember(0), RandomSeed: 1, PlannedAdmission: true, MaxStaleness: 4 * time.Second})
	s.Step(now, &ManifestStored{Manifest: compiled(keylessManifest())})
	s.Step(now, &MemberStored{Member: testMember(1)})
	s.tokenPool.SetAllowance("w", quota.Allowance{Rate: 10, Burst: 10})
	request := func(i int) quota.BatchRequest {
		return quota.BatchRequest{ID: 1, Shard: quota.Shard{Workspace: "w", Index: i, Count: 1}, Tokens: math.MinInt, ReservedShare: -1e300}
	}
	for _, m := range []Message{
		&TokenGrant{Request: request(-1), Grant: quota.Grant{Tokens: math.MaxInt}},
		&TokenGrant{Request: request(7), Grant: quota.Grant{Tokens: -5, RetryAfter: math.MinInt64}},
		&ClockResponse{Request: request(-1), Uptime: math.MinInt64},
		&TokenBatchRequest{Request: request(math.MinInt)},
		&Confirmation{RequesterUptime: math.MaxInt64, Version: 1},
		&Confirmation{Version: 1, Age: math.MinInt64},
		&Report{Report: plan.Report{
			Demand: []plan.Demand{{Route: "map", Rate: -1}, {Route: "map", Rate: 1e300, FirstTryRate: 1e300}},
			Load:   plan.Load{Service: "maps", Slots: 1e300, Busy: -1e300},
			Costs:  []plan.RouteCost{{Route: "map", HoldTime: math.MinInt64, Runs: -1}, {Route: "map", Runs: 0}, {Route: "map", Runs: 1, Calls: []plan.ChildCalls{{Route: "map", PerRun: 1e300}}}},
		}},
		&Plan{AdmitRatios: []plan.AdmitRatio{{Route: "map", Class: 255, Ratio: -1e300}}, Confirmation: Confirmation{Version: 1, Age: -1}},
		&ShardUpdate{Held: []ShardRecord{{Shard: quota.Shard{Workspace: "w", Index: -1, Count: -1}, Owner: "x"}}, Vacant: []quota.Shard{{Index: -9}}},
		&ShardQuery{Shard: quota.Shard{Index: -1}},
	} {
		now = now.Add(time.Millisecond)
		s.Step(now, &MessageReceived{From: "n1", Body: m})
		s.Step(now, &Tick{})
	}
	if !s.manifestStale(now) {
		t.Error("a confirmation of a time that has not come was used")
	}
	if s.planning.planner != nil {
		if ratios := s.planning.planner.Plan(); len(ratios) != 0 {
			t.Errorf("the plan follows an odd report: %+v", ratios)
		}
	}
	if v := s.Step(now, &CallArrived{Call: 1, Origin: FromCallerOrTarget, Route: lookup("map"), HasKey: true, Timeout: time.Second}).Verdicts; len(v) != 1 || v[0].Reason == ReasonShed {
		t.Errorf("a call got %+v", v)
	}
}

// TestOddGrantRequestTakesNoReservedTokens guards against a negative reserved share, with
// which an owner would grant more tokens than its bucket holds.
func TestOddGrantRequestTakesNoReservedTokens(t *testing.T) {
	o := quota.NewOwner()
	now := time.Unix(1000, 0)
	shard := quota.Shard{Workspace: "w", Count: 1}
	o.Acquire(now, shard, quota.Allowance{Rate: 10, Burst: 10})
	o.RenewLease(now.Add(time.Hour))
	now = now.Add(10 * time.Second)
	if g := o.Grant(now, quota.BatchRequest{Shard: shard, Tokens: 1000, ReservedShare: -100}); g.Tokens > 10 {
		t.Errorf("granted %d tokens of a burst of 10", g.Tokens)
	}
}

// TestRestartedNodeRemembersLeavingTarget guards against a target that has announced that
// it leaves and gets calls again after a restart of its node, because a heartbeat that was
// overtaken arrives after the restart.
func TestRestartedNodeRemembersLeavingTarget(t *testing.T) {
	heartbeat := func(start int64, sequence uint64, draining bool) Event {
		return &HeartbeatReceived{Heartbeat: Heartbeat{InstanceID: "a", StartUnixMilli: start, Sequence: sequence, Draining: draining, Slots: 10}}
	}
	now := time.Unix(1000, 0)
	first := New(Settings{Self: testMember(0), RandomSeed: 1, TargetHeartbeats: true})
	first.Step(now, &ManifestStored{Manifest: compiled(keylessManifest())})
	first.Step(now, &StoreSnapshot{})
	first.Step(now, heartbeat(7, 1, false))
	record := first.Step(now, heartbeat(7, 3, true)).StoreRequests[0].(*AnnounceMember).Member

	restarted := testMember(0)
	restarted.Incarnation++
	arrive := func(s *State, call CallID) bool {
		v := s.Step(now, &CallArrived{Call: call, Origin: FromNode, Context: CallContext{Endpoint: "n0", Route: "map", Timeout: time.Second}}).Verdicts
		return len(v) == 1 && v[0].Action == ActionRun
	}
	for name, learn := range map[string]Event{
		"from the store": &StoreSnapshot{Members: []member.Member{record}},
		"from a peer":    &MessageReceived{From: "n1", Body: &Sync{Self: testMember(1), Members: []member.Member{record}}},
	} {
		t.Run(name, func(t *testing.T) {
			s := New(Settings{Self: restarted, RandomSeed: 1, TargetHeartbeats: true})
			s.Step(now, &ManifestStored{Manifest: compiled(keylessManifest())})
			s.Step(now, heartbeat(7, 2, false)) // was overtaken by the one with sequence 3
			if arrive(s, 1) {
				t.Error("a call ran before the node has heard what its earlier process announced")
			}
			s.Step(now, learn)
			s.Step(now, &StoreSnapshot{})
			if arrive(s, 2) {
				t.Error("a call ran on a target that has announced that it leaves")
			}
			s.Step(now, heartbeat(8, 1, false))
			if !arrive(s, 3) {
				t.Error("a call did not run on the next instance")
			}
		})
	}
	t.Run("store away", func(t *testing.T) {
		s := New(Settings{Self: restarted, RandomSeed: 1, TargetHeartbeats: true})
		s.Step(now, &ManifestStored{Manifest: compiled(keylessManifest())})
		s.Step(now, heartbeat(8, 1, false))
		now = now.Add(recallTimeout)
		s.Step(now, &Tick{})
		if arrive(s, 1) {
			t.Error("a call ran after a heartbeat that may have been overtaken before the restart")
		}
		s.Step(now, heartbeat(8, 2, false))
		if !arrive(s, 2) {
			t.Error("a call did not run although the store has not answered in time")
		}
	})
}
