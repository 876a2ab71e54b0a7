package core

import (
	"time"

	"celeryshelf/core/member"
	"celeryshelf/core/quota"
)

const (
	// electionDelay is the time after the first read of the members in which a starting node
	// that has found none of its domain hears of those that started at the same time.
	electionDelay = 300 * time.Millisecond
	// shardUpdateInterval is the least time between two ShardUpdates; changes in between are
	// sent together.
	shardUpdateInterval = 250 * time.Millisecond
	// shardQueryInterval is the least time between two queries to a watcher about the same
	// shard without a known owner.
	shardQueryInterval = 1 * time.Second
)

// watch holds the node's role in watching the store and the changes to pass on.
type watch struct {
	electionEnabled bool          // only elected nodes watch
	active          bool          // this node watches
	electedFrom     time.Time     // from when on the node may take up the watch, zero before it has read the members
	acquired        []ShardRecord // by this node since the last ShardUpdate
	vacant          []quota.Shard // removed from the store since the last ShardUpdate
	sentAt          time.Time
	queriedAt       map[quota.Shard]time.Time
}

// updateWatchRole starts or stops the node's watch of the store according to its rank among
// the nodes of its domain.
func (s *State) updateWatchRole(now time.Time) {
	w := &s.watch
	if !w.electionEnabled || w.electedFrom.IsZero() || now.Before(w.electedFrom) {
		return
	}
	active := s.isWatcher()
	if active == w.active {
		return
	}
	w.active = active
	s.effects.StoreRequests = append(s.effects.StoreRequests, &SetWatch{Enabled: active})
}

// sendShardUpdate sends all peers the changes in shard ownership since the last ShardUpdate.
func (s *State) sendShardUpdate(now time.Time) {
	w := &s.watch
	if len(w.acquired)+len(w.vacant) == 0 || now.Sub(w.sentAt) < shardUpdateInterval {
		return
	}
	w.sentAt = now
	m := &ShardUpdate{Held: w.acquired, Vacant: w.vacant}
	w.acquired, w.vacant = nil, nil
	if !w.electionEnabled {
		for _, p := range s.peers.All() {
			s.send(p.Name, m)
		}
		return
	}
	s.sendToOwnDomain(m)
	if len(m.Held) > 0 {
		// The watchers of other domains pass it on there. Vacant shards they see themselves.
		for _, name := range s.currentRoles().remote {
			s.send(name, &ShardUpdate{Held: m.Held})
		}
	}
}

func (s *State) sendToOwnDomain(m Message) {
	for i := range s.peers.All() {
		if p := &s.peers.All()[i]; s.inDomain(p) {
			s.send(p.Name, m)
		}
	}
}

// relayShardUpdate passes owners' reports from another domain on within the own one.
func (s *State) relayShardUpdate(from string, m *ShardUpdate) {
	p, ok := s.peers.Get(from)
	if !s.watch.electionEnabled || !ok || p.Domain == s.self.Domain || len(m.Held) == 0 || !s.isWatcher() {
		return
	}
	s.sendToOwnDomain(&ShardUpdate{Held: m.Held})
}

// handleShardUpdate applies changes in shard ownership that a peer reports. A node that
// watches the store relies on the store and uses a reported owner only for shards without a
// store record.
func (s *State) handleShardUpdate(now time.Time, m *ShardUpdate) {
	for _, r := range m.Held {
		if s.watch.active {
			s.advertisedOwners[r.Shard] = r.Owner
			continue
		}
		s.setShardOwner(r)
		if r.Owner == s.self.Name && !s.shardOwner.Holds(r.Shard) {
			// The record is from an earlier process of this node.
			s.due.claim = earlier(s.due.claim, now.Add(reclaimDelay))
		}
	}
	if s.watch.active {
		return
	}
	for _, shard := range m.Vacant {
		s.clearShardOwner(now, shard)
	}
}

// queryShard asks a watcher for the owner of a shard after a grant said that the presumed
// owner does not own it or that none is known.
func (s *State) queryShard(now time.Time, shard quota.Shard) {
	w := &s.watch
	if w.active || now.Sub(w.queriedAt[shard]) < shardQueryInterval {
		return
	}
	if w.queriedAt == nil {
		w.queriedAt = map[quota.Shard]time.Time{}
	}
	w.queriedAt[shard] = now
	s.send(s.randomWatcher(), &ShardQuery{Shard: shard})
}

// sendShards sends a peer of the own domain that has just started the owners of all shards.
func (s *State) sendShards(to member.Member) {
	if !s.watch.electionEnabled || !s.watch.active || to.Domain != s.self.Domain || len(s.storedOwners) == 0 {
		return
	}
	s.send(to.Name, &ShardUpdate{Held: s.ShardOwners()})
}

// handleShardQuery answers with a shard's owner or with the fact that it is vacant.
func (s *State) handleShardQuery(from string, m *ShardQuery) {
	if !s.watch.active {
		return
	}
	if owner, known := s.ownerOf(m.Shard); known {
		s.send(from, &ShardUpdate{Held: []ShardRecord{{Shard: m.Shard, Owner: owner}}})
		return
	}
	s.send(from, &ShardUpdate{Vacant: []quota.Shard{m.Shard}})
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}
