package core

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"celeryshelf/core/member"
	"celeryshelf/core/quota"
)

// releaseShard drops a shard and deletes its record in the store, so that another node can
// claim it.
func (s *State) releaseShard(shard quota.Shard) {
	s.dropShard(shard)
	s.effects.StoreRequests = append(s.effects.StoreRequests, &ReleaseShard{Shard: shard})
}

// releaseAllShards drops all shards of a node that leaves and deletes their records.
func (s *State) releaseAllShards() {
	held := s.shardOwner.Shards()
	for _, shard := range held {
		s.dropShard(shard)
	}
	if len(held) > 0 {
		s.effects.StoreRequests = append(s.effects.StoreRequests, &ReleaseAllShards{})
	}
}

// claimVacantShards claims the vacant shards whose next candidate is this node.
func (s *State) claimVacantShards(now time.Time) {
	if !s.mayClaim() || !s.currentRoles().mayOwn {
		return
	}
	for i := range s.manifest.source.Manifest.Workspaces {
		w := &s.manifest.source.Manifest.Workspaces[i]
		if w.Rate == 0 {
			continue
		}
		n := allowanceOf(w).ShardCount()
		for k := range n {
			s.claimIfVacant(now, quota.Shard{Workspace: w.Name, Index: k, Count: n})
		}
	}
}

func (s *State) mayClaim() bool {
	return s.manifest != nil && s.storeReachable && !s.self.Draining
}

// claimIfVacant claims a shard if it has no owner and the waiting time for this node's
// candidate rank has passed, or if the store still names this node as its owner.
func (s *State) claimIfVacant(now time.Time, shard quota.Shard) {
	if owner, owned := s.storedOwners[shard]; owned {
		delete(s.claimWaitSince, shard)
		if owner == s.self.Name && !s.shardOwner.Holds(shard) {
			// The record is from a previous process of this node.
			s.effects.StoreRequests = append(s.effects.StoreRequests, &ClaimShard{Shard: shard, Conflicting: conflictingShards(shard)})
		}
		return
	}
	if now.Sub(s.started) < startupClaimDelay {
		return
	}
	since, seen := s.claimWaitSince[shard]
	if !seen {
		since = now
		s.claimWaitSince[shard] = now
	}
	if now.Sub(since) < time.Duration(s.candidateRank(shard))*claimStagger {
		return
	}
	s.claimWaitSince[shard] = now
	s.effects.StoreRequests = append(s.effects.StoreRequests, &ClaimShard{Shard: shard, Conflicting: conflictingShards(shard)})
}

// conflictingShards returns the shards of the workspace under the other possible shard
// counts. None of them may have an owner while s is claimed.
func conflictingShards(s quota.Shard) []quota.Shard {
	var out []quota.Shard
	for _, n := range quota.ShardCounts() {
		for i := 0; n != s.Count && i < n; i++ {
			out = append(out, quota.Shard{Workspace: s.Workspace, Index: i, Count: n})
		}
	}
	return out
}

// candidateRank returns how many of the nodes that may own shards come before this node as
// candidates for a shard. The shards of one workspace prefer different domains.
func (s *State) candidateRank(shard quota.Shard) int {
	domain := s.preferredDomain(shard)
	mine := s.candidateScore(s.self, shard, domain)
	rank := 0
	for _, m := range s.currentRoles().owners {
		if m.Name != s.self.Name && s.candidateScore(m, shard, domain) > mine {
			rank++
		}
	}
	return rank
}

// preferredDomain returns the domain whose nodes come first as candidates for a shard.
func (s *State) preferredDomain(shard quota.Shard) string {
	domains := s.currentRoles().domains
	i := (xxhash.Sum64String(shard.Workspace) + uint64(shard.Index)) % uint64(len(domains))
	return domains[i]
}

// candidateScore orders the candidates for a shard, highest first: nodes of the preferred
// domain, then by hash.
func (s *State) candidateScore(m member.Member, shard quota.Shard, domain string) uint64 {
	h := hashUint64(xxhash.Sum64String(shard.Workspace+"/"+m.Name)+uint64(shard.Index)) >> 1
	if m.Domain == domain {
		h |= 1 << 63
	}
	return h
}

func (s *State) handleClaimDone(now time.Time, e *ClaimDone) {
	if !e.Held {
		return
	}
	if s.self.Draining || s.manifest == nil || !s.isDeclared(e.Shard) {
		s.effects.StoreRequests = append(s.effects.StoreRequests, &ReleaseShard{Shard: e.Shard})
		return
	}
	s.storedOwners[e.Shard] = s.self.Name
	delete(s.claimWaitSince, e.Shard)
	if s.shardOwner.Holds(e.Shard) {
		return
	}
	s.shardOwner.Acquire(now, e.Shard, allowanceOf(s.manifest.workspaces[e.Shard.Workspace]))
	s.addNotice(Notice{Kind: NoticeShardAcquired, Shard: e.Shard})
	s.watch.acquired = append(s.watch.acquired, ShardRecord{Shard: e.Shard, Owner: s.self.Name})
	s.sendShardUpdate(now)
}
