package core

import (
	"testing"
	"time"

	"celeryshelf/core/manifest"
	"celeryshelf/core/quota"
)

// nodeInDomain returns a node in a domain with n live peers.
func nodeInDomain(now time.Time, n int) *State {
	self := testMember(0)
	self.Domain = "d"
	s := New(Settings{Self: self, RandomSeed: 1, PlannedAdmission: true, ElectWatchers: true})
	s.Step(now, &StoreReachability{Reachable: true})
	s.Step(now, &LeaseHeld{Until: now.Add(time.Hour)})
	m := testManifest(10, 10)
	s.Step(now, &StoreSnapshot{Manifest: compiled(m)})
	s.Step(now, &MembersStored{})
	for i := 1; i <= n; i++ {
		peer := testMember(i)
		peer.Domain = "d"
		s.Step(now, &MemberStored{Member: peer})
	}
	return s
}

// tickUntil sends ticks until the given time and returns the SetWatch requests that they
// cause.
func tickUntil(s *State, now, until time.Time) (requests []bool) {
	for ; now.Before(until); now = now.Add(100 * time.Millisecond) {
		for _, r := range s.Step(now, &Tick{}).StoreRequests {
			if w, ok := r.(*SetWatch); ok {
				requests = append(requests, w.Enabled)
			}
		}
	}
	return requests
}

func TestExactlyTwoNodesOfADomainWatch(t *testing.T) {
	now := time.Unix(1000, 0)
	watchers := 0
	for self := range 6 {
		s := nodeInDomain(now, 5)
		s.self.Name = testMember(self).Name // each of the six nodes in turn
		if self > 0 {
			other := testMember(0)
			other.Domain = "d"
			s.peers.Remove(s.self.Name)
			s.Step(now, &MemberStored{Member: other})
		}
		requests := tickUntil(s, now, now.Add(electionDelay+2*time.Second))
		if len(requests) > 0 && requests[len(requests)-1] {
			watchers++
		}
	}
	if watchers != watchersPerDomain {
		t.Errorf("%d of 6 nodes watch the store, want %d", watchers, watchersPerDomain)
	}
}

// nonWatchingNode returns a node that does not watch, the time, and the names of the peers that
// rank higher as watchers.
func nonWatchingNode(t *testing.T, now time.Time) (*State, time.Time, []string) {
	t.Helper()
	s := nodeInDomain(now, 12)
	later := now.Add(electionDelay + 2*time.Second)
	if requests := tickUntil(s, now, later); len(requests) != 0 {
		t.Fatalf("watch requests %v, want none", requests)
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
	if requests := tickUntil(s, now, now.Add(2*time.Second)); len(requests) != 1 || !requests[0] {
		t.Errorf("watch requests %v after all peers that rank higher became unreachable, want one that starts the watch", requests)
	}
}

func TestNonWatchingNodeFollowsShardUpdates(t *testing.T) {
	s, now, ahead := nonWatchingNode(t, time.Unix(1000, 0))
	shard := quota.Shard{Workspace: "bo-lieu", Count: 1}
	s.Step(now, &MessageReceived{From: "n3", Body: &ShardUpdate{Held: []ShardRecord{{Shard: shard, Owner: "n3"}}}})
	if owner, _ := s.ownerOf(shard); owner != "n3" {
		t.Errorf("owner is %q, want n3", owner)
	}
	// The answer to a token request says that n3 no longer owns the shard.
	envelopes := s.Step(now, &CallArrived{Call: 1, Origin: FromCaller, Route: lookup("map"), HasKey: true, KeyDigest: manifest.DigestOf("k"), Timeout: time.Second}).Envelopes
	var request quota.BatchRequest
	for _, m := range envelopes {
		if a, ok := m.Body.(*TokenBatchRequest); ok && m.To == "n3" {
			request = a.Request
		}
	}
	e := s.Step(now, &MessageReceived{From: "n3", Body: &TokenGrant{Request: request, Grant: quota.UnownedGrant()}})
	watcher := ""
	for _, m := range e.Envelopes {
		if _, ok := m.Body.(*ShardQuery); ok {
			watcher = m.To
		}
	}
	if len(ahead) == 0 || watcher == "" {
		t.Fatalf("no watcher was asked for the owner of the shard")
	}
	s.Step(now, &MessageReceived{From: watcher, Body: &ShardUpdate{Vacant: []quota.Shard{shard}}})
	if owner, known := s.ownerOf(shard); known {
		t.Errorf("owner is still %q after a watcher reported the shard vacant", owner)
	}
}

func TestWatcherReportsVacantShards(t *testing.T) {
	now := time.Unix(1000, 0)
	s := nodeInDomain(now, 1) // one of two nodes, so it watches
	shard := quota.Shard{Workspace: "bo-lieu", Count: 1}
	s.Step(now, &ShardStored{ShardRecord{Shard: shard, Owner: "n1"}})
	s.Step(now, &ShardDeleted{Shard: shard})
	informed := false
	for _, m := range s.Step(now.Add(time.Second), &Tick{}).Envelopes {
		n, ok := m.Body.(*ShardUpdate)
		informed = informed || ok && len(n.Vacant) == 1 && n.Vacant[0] == shard
	}
	if !informed {
		t.Error("the peer was not told that the shard is vacant")
	}
}
