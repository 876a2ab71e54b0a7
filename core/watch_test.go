package core

import (
	"testing"
	"time"

	"celeryshelf/core/manifest"
	"celeryshelf/core/quota"
)

// watchedNode returns a node of a domain with n others, all of them live.
func nodeInDomain(now time.Time, n int) *State {
	self := testMember(0)
	self.Domain = "d"
	s := New(Settings{Self: self, RandomSeed: 1, PlannedAdmission: true, ElectWatchers: true})
	s.Step(now, &StoreReachability{Reachable: true})
	s.Step(now, &LeaseHeld{Until: now.Add(time.Hour)})
	m := testManifest(10, 10)
	s.Step(now, &StoreSnapshot{Manifest: &m})
	for i := 1; i <= n; i++ {
		peer := testMember(i)
		peer.Domain = "d"
		s.Step(now, &MemberStored{Member: peer})
	}
	return s
}

// watchRequests steps ticks until an instant and returns what was asked of the session.
func tickUntil(s *State, now, until time.Time) (on []bool) {
	for ; now.Before(until); now = now.Add(100 * time.Millisecond) {
		for _, r := range s.Step(now, &Tick{}).StoreRequests {
			if w, ok := r.(*SetWatch); ok {
				on = append(on, w.Enabled)
			}
		}
	}
	return on
}

func TestExactlyTwoNodesOfADomainWatch(t *testing.T) {
	now := time.Unix(1000, 0)
	watchers := 0
	for self := range 6 {
		s := nodeInDomain(now, 5)
		s.self.Name = testMember(self).Name // each of the six in turn
		if self > 0 {
			other := testMember(0)
			other.Domain = "d"
			s.peers.Remove(s.self.Name)
			s.Step(now, &MemberStored{Member: other})
		}
		asked := tickUntil(s, now, now.Add(startupWatchPeriod+2*time.Second))
		if len(asked) == 0 {
			watchers++
		}
	}
	if watchers != watchersPerDomain {
		t.Errorf("%d of six nodes watch, want %d", watchers, watchersPerDomain)
	}
}

// idleNode is one that does not watch, with the names of those that do.
func nonWatchingNode(t *testing.T, now time.Time) (*State, time.Time, []string) {
	t.Helper()
	s := nodeInDomain(now, 12)
	later := now.Add(startupWatchPeriod + 2*time.Second)
	if asked := tickUntil(s, now, later); len(asked) != 1 || asked[0] {
		t.Fatalf("asked %v, want to end the watch once", asked)
	}
	var ahead []string
	for _, p := range s.peers.All() {
		if watcherRank(p.Name) > watcherRank(s.self.Name) {
			ahead = append(ahead, p.Name)
		}
	}
	return s, later, ahead
}

func TestWatcherIsReplacedWhenUnreachable(t *testing.T) {
	s, now, ahead := nonWatchingNode(t, time.Unix(1000, 0))
	for _, name := range ahead {
		for range 2 {
			now = now.Add(500 * time.Millisecond)
			s.Step(now, &PeerReachability{Name: name})
		}
	}
	if asked := tickUntil(s, now, now.Add(2*time.Second)); len(asked) != 1 || !asked[0] {
		t.Errorf("asked %v after all nodes ahead have gone silent, want to watch", asked)
	}
}

func TestNonWatchingNodeFollowsShardUpdates(t *testing.T) {
	s, now, ahead := nonWatchingNode(t, time.Unix(1000, 0))
	shard := quota.Shard{Workspace: "bo-lieu", Count: 1}
	s.Step(now, &MessageReceived{From: "n3", Body: &ShardUpdate{Held: []ShardRecord{{Shard: shard, Owner: "n3"}}}})
	if owner, _ := s.ownerOf(shard); owner != "n3" {
		t.Errorf("owner is %q, want n3", owner)
	}
	// Its owner no longer holds it, as the answer to an ask says.
	asks := s.Step(now, &CallArrived{Call: 1, Origin: FromCaller, Route: "map", HasKey: true, KeyDigest: manifest.DigestOf("k"), Timeout: time.Second}).Envelopes
	var ask quota.BatchRequest
	for _, m := range asks {
		if a, ok := m.Body.(*TokenBatchRequest); ok && m.To == "n3" {
			ask = a.Request
		}
	}
	e := s.Step(now, &MessageReceived{From: "n3", Body: &TokenGrant{Request: ask, Grant: quota.UnownedGrant()}})
	looked := ""
	for _, m := range e.Envelopes {
		if _, ok := m.Body.(*ShardQuery); ok {
			looked = m.To
		}
	}
	if len(ahead) == 0 || looked == "" {
		t.Fatalf("asked nobody about the shard")
	}
	s.Step(now, &MessageReceived{From: looked, Body: &ShardUpdate{Vacant: []quota.Shard{shard}}})
	if owner, known := s.ownerOf(shard); known {
		t.Errorf("owner is still %q", owner)
	}
}

func TestWatcherReportsVacantShards(t *testing.T) {
	now := time.Unix(1000, 0)
	s := nodeInDomain(now, 1) // one of two, so it watches
	shard := quota.Shard{Workspace: "bo-lieu", Count: 1}
	s.Step(now, &ShardStored{ShardRecord{Shard: shard, Owner: "n1"}})
	s.Step(now, &ShardDeleted{Shard: shard})
	told := false
	for _, m := range s.Step(now.Add(time.Second), &Tick{}).Envelopes {
		n, ok := m.Body.(*ShardUpdate)
		told = told || ok && len(n.Vacant) == 1 && n.Vacant[0] == shard
	}
	if !told {
		t.Error("the peer was not told that nobody holds the shard")
	}
}
