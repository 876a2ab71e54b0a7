package core

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"celeryshelf/core/quota"
)

const (
	// watchersPerDomain nodes of each domain watch the store's records of nodes and
	// shards where every answer to a watch is paid for: one may fail.
	watchersPerDomain = 2
	watcherHashPrefix = "watcher/"
	// watchFirst is how long a node watches after its start, until it knows its peers.
	startupWatchPeriod = 3 * time.Second
	// newsEvery is how long news of shards gathers before peers are told.
	shardUpdateInterval = 250 * time.Millisecond
	// lookEvery is how often a node asks a watcher about a shard whose owner it
	// cannot find.
	shardQueryInterval = 1 * time.Second
)

// watch is the node's part in following the store.
type watch struct {
	elected   bool // a few nodes watch for all
	active    bool
	acquired  []ShardRecord // taken since the last news
	vacant    []quota.Shard // gone from the store since the last news
	sentAt    time.Time
	queriedAt map[quota.Shard]time.Time
}

// reviewWatch starts or ends the node's watch as its place among its domain's nodes says.
func (s *State) updateWatchRole(now time.Time) {
	w := &s.watch
	if !w.elected {
		return
	}
	on := now.Sub(s.started) < startupWatchPeriod || s.watchersAhead() < watchersPerDomain
	if on == w.active {
		return
	}
	w.active = on
	s.effects.StoreRequests = append(s.effects.StoreRequests, &SetWatch{Enabled: on})
}

// watcherPlace returns how many live nodes of the domain watch rather than this one.
func (s *State) watchersAhead() int {
	mine, place := watcherRank(s.self.Name), 0
	for _, p := range s.peers.All() {
		if p.Live() && p.Domain == s.self.Domain && watcherRank(p.Name) > mine {
			place++
		}
	}
	return place
}

func watcherRank(name string) uint64 { return xxhash.Sum64String(watcherHashPrefix + name) }

// watcher draws one of the nodes that watch in this node's domain.
func (s *State) randomWatcher() string {
	var best [watchersPerDomain]string
	for _, p := range s.peers.All() {
		if !p.Live() || p.Domain != s.self.Domain {
			continue
		}
		name := p.Name
		for i := range best {
			if best[i] == "" || watcherRank(name) > watcherRank(best[i]) {
				best[i], name = name, best[i]
			}
		}
	}
	if n := s.random.IntN(watchersPerDomain); best[n] != "" {
		return best[n]
	}
	return best[0]
}

// tellNews sends peers what has become of shards since the last time.
func (s *State) sendShardUpdate(now time.Time) {
	w := &s.watch
	if len(w.acquired)+len(w.vacant) == 0 || now.Sub(w.sentAt) < shardUpdateInterval {
		return
	}
	w.sentAt = now
	m := &ShardUpdate{Held: w.acquired, Vacant: w.vacant}
	w.acquired, w.vacant = nil, nil
	for _, p := range s.peers.All() {
		s.send(p.Name, m)
	}
}

// heardNews takes in what a peer tells of shards. A node that watches the store goes by
// the store, and believes owners until it has reported.
func (s *State) handleShardUpdate(now time.Time, m *ShardUpdate) {
	for _, r := range m.Held {
		if s.watch.active {
			s.advertisedOwners[r.Shard] = r.Owner
		} else {
			s.setShardOwner(r)
		}
	}
	if s.watch.active {
		return
	}
	for _, shard := range m.Vacant {
		s.clearShardOwner(now, shard)
	}
}

// look asks a watcher about a shard whose owner does not grant.
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

// answerLook tells a peer what this node knows of a shard.
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
