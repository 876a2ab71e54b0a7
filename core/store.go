package core

import (
	"cmp"
	"slices"
	"time"

	"celeryshelf/core/quota"
)

const (
	// startupClaimDelay gives a starting node time to learn of its peers before it claims
	// shards.
	startupClaimDelay = 1500 * time.Millisecond
	claimInterval     = 500 * time.Millisecond
	// reclaimDelay gives the manifest time to arrive before a restarted node looks for the
	// shards that its previous process owned.
	reclaimDelay = 50 * time.Millisecond
	// claimStagger is multiplied by a node's candidate rank to get the time that it waits
	// before it claims a vacant shard.
	claimStagger = 500 * time.Millisecond
)

// handleStoreEvent applies an event from the store.
func (s *State) handleStoreEvent(now time.Time, e Event) {
	switch e := e.(type) {
	case *StoreEra:
		s.handleStoreEra(e)
	case *LeaseHeld:
		s.shardOwner.RenewLease(e.Until)
	case *LeaseLost:
		s.handleLeaseLost()
	case *StoreReachability:
		s.setStoreReachable(now, e.Reachable)
	case *StoreSnapshot:
		s.applySnapshot(now, e)
	case *MembersStored:
		s.applyMembers(now, e)
	case *ManifestStored:
		s.applyManifest(now, e.Manifest)
	case *ManifestRejected:
		s.addNotice(Notice{Kind: NoticeManifestRejected, Version: e.Version, Detail: e.Detail})
	case *ManifestConfirmed:
		s.advanceConfirmedAt(e.Version, e.At)
	case *EvacuationsStored:
		s.handleStoredEvacuations(now, e)
	case *CostsStored:
		s.setStoredCosts(now, e.Rows)
	case *ClaimDone:
		s.handleClaimDone(now, e)
	case *DeparturesSaved:
		s.handleDeparturesSaved(e)
	default:
		s.handleNodeRecord(now, e)
	}
}

// handleNodeRecord applies a change of a member's announcement or a shard's record.
func (s *State) handleNodeRecord(now time.Time, e Event) {
	switch e := e.(type) {
	case *MemberStored:
		s.mergeMember(now, e.Member)
	case *MemberDeleted:
		s.setReachable(now, e.Name, false)
	case *ShardStored:
		s.setShardOwner(e.ShardRecord)
	case *ShardDeleted:
		s.handleShardDeleted(now, e.Shard)
	}
}

// setStoreReachable records whether the store answers. Without a configured MaxStaleness, a
// store that answers also counts as confirmation of the manifest.
func (s *State) setStoreReachable(now time.Time, up bool) {
	if up != s.storeReachable {
		kind := NoticeStoreUnreachable
		if up {
			kind = NoticeStoreRecovered
		}
		s.addNotice(Notice{Kind: kind})
	}
	s.storeReachable = up
	if up && s.maxStaleness == 0 {
		s.manifestConfirmedAt = now
	}
}

// handleLeaseLost gives up all shards, as the lease that covered their records has expired.
func (s *State) handleLeaseLost() {
	for _, shard := range s.shardOwner.Shards() {
		s.dropShard(shard)
	}
}

// applySnapshot replaces what is known of shards by the store's full content and merges the
// rest.
func (s *State) applySnapshot(now time.Time, e *StoreSnapshot) {
	if e.Manifest != nil {
		s.applyManifest(now, e.Manifest)
	}
	for _, m := range e.Members {
		s.mergeMember(now, m)
	}
	s.recallDepartures(now, e.Departures)
	s.endRecall(now)
	s.announceStart(now)
	s.setStoredCosts(now, e.Costs)
	clear(s.storedOwners)
	clear(s.advertisedOwners)
	for _, r := range e.Shards {
		s.storedOwners[r.Shard] = r.Owner
	}
	for _, shard := range s.shardOwner.Shards() {
		if s.storedOwners[shard] != s.self.Name {
			s.dropShard(shard)
		}
	}
	s.due.claim = now.Add(reclaimDelay)
	if s.watch.electionEnabled && len(e.Shards) > 0 {
		// After a restart of the domain its nodes know of no owners, not even of themselves.
		s.sendToOwnDomain(&ShardUpdate{Held: e.Shards})
	}
}

// applyMembers merges the announcements that a starting node has read, and lets it use its
// target and take part in the election of watchers.
func (s *State) applyMembers(now time.Time, e *MembersStored) {
	s.setStoreReachable(now, true)
	for _, m := range e.Members {
		s.mergeMember(now, m)
	}
	s.recallDepartures(now, e.Departures)
	s.endRecall(now)
	s.announceStart(now)
	if !s.watch.electedFrom.IsZero() {
		return
	}
	s.watch.electedFrom = now
	if len(s.currentRoles().watchers) == 0 {
		s.watch.electedFrom = now.Add(electionDelay) // the first of its domain: others are starting
	}
	s.due.sweep = s.watch.electedFrom
}

// setShardOwner records a shard's owner and drops the shard if that is another node.
func (s *State) setShardOwner(r ShardRecord) {
	s.storedOwners[r.Shard] = r.Owner
	delete(s.claimWaitSince, r.Shard)
	delete(s.advertisedOwners, r.Shard)
	if r.Owner != s.self.Name && s.shardOwner.Holds(r.Shard) {
		s.dropShard(r.Shard)
	}
}

// handleShardDeleted handles a shard's record that was removed from the store.
func (s *State) handleShardDeleted(now time.Time, shard quota.Shard) {
	if s.watch.electionEnabled {
		s.watch.vacant = append(s.watch.vacant, shard)
	}
	s.clearShardOwner(now, shard)
}

// clearShardOwner records that a shard is vacant and claims it if this node is the next
// candidate.
func (s *State) clearShardOwner(now time.Time, shard quota.Shard) {
	delete(s.storedOwners, shard)
	delete(s.advertisedOwners, shard)
	if s.shardOwner.Holds(shard) {
		s.dropShard(shard)
	}
	if s.mayClaim() && s.currentRoles().mayOwn && s.isDeclared(shard) {
		s.claimIfVacant(now, shard)
	}
}

// isDeclared reports whether the shard exists under the active manifest: its workspace has
// a rate limit and is split into that number of shards.
func (s *State) isDeclared(shard quota.Shard) bool {
	w := s.manifest.rateLimited(shard.Workspace)
	return w != nil && allowanceOf(w).ShardCount() == shard.Count
}

// dropShard stops granting tokens of a shard that this node no longer owns.
func (s *State) dropShard(shard quota.Shard) {
	s.shardOwner.Release(shard)
	s.addNotice(Notice{Kind: NoticeShardLost, Shard: shard})
}

// sendTokenRequests sends the pending token requests to the owners of the shards. If no
// owner is known or reachable, it answers the request itself with an empty grant.
func (s *State) sendTokenRequests(now time.Time) {
	for {
		req, ok := s.tokenPool.NextRequest()
		if !ok {
			return
		}
		owner, known := s.ownerOf(req.Shard)
		switch {
		case known && owner == s.self.Name:
			s.requestFromSelf(now, req)
		case known && s.isReachable(owner):
			s.send(owner, &TokenBatchRequest{Request: req})
		default:
			s.applyGrant(now, req, quota.UnownedGrant())
		}
	}
}

// ownerOf returns a shard's owner from storedOwners or, if it has none, the owner that
// reported itself.
func (s *State) ownerOf(shard quota.Shard) (string, bool) {
	if owner, known := s.storedOwners[shard]; known {
		return owner, true
	}
	owner, known := s.advertisedOwners[shard]
	return owner, known
}

// isReachable reports whether name is a known peer that answers.
func (s *State) isReachable(name string) bool {
	p, ok := s.peers.Get(name)
	return ok && !p.Unreachable
}

// requestFromSelf asks a peer for its uptime before this node grants tokens to itself, to
// detect that its own clock was stopped. A request to another owner needs no such
// check, as the grant carries the owner's uptime. Without a reachable peer the tokens are
// granted at once.
func (s *State) requestFromSelf(now time.Time, req quota.BatchRequest) {
	peer := s.randomPeer(reachable)
	if peer == "" {
		s.applyGrant(now, req, s.shardOwner.Grant(now, req))
		return
	}
	s.send(peer, &ClockRequest{Request: req})
}

// handleClockResponse grants this node's own token request. If the comparison shows that this
// node's clock was stopped, its lease counts as expired and it grants nothing.
func (s *State) handleClockResponse(now time.Time, from string, m *ClockResponse) {
	s.comparePeerClock(now, from, m.Uptime)
	s.applyGrant(now, m.Request, s.shardOwner.Grant(now, m.Request))
	s.sendTokenRequests(now)
}

// handleTokenGrant applies a grant, or an empty one if the owner's clock was stopped: the
// owner may then grant tokens under an expired lease.
func (s *State) handleTokenGrant(now time.Time, from string, m *TokenGrant) {
	grant := m.Grant
	if s.comparePeerClock(now, from, m.Uptime) == skewPeerBehind {
		s.addNotice(Notice{Kind: NoticeOwnerClockBehind, Peer: from, Shard: m.Request.Shard})
		grant = quota.UnownedGrant()
	}
	s.applyGrant(now, m.Request, grant)
	s.sendTokenRequests(now)
}

// applyGrant adds the granted tokens to the pool and dispatches the calls that were waiting
// for them.
func (s *State) applyGrant(now time.Time, req quota.BatchRequest, g quota.Grant) {
	if g.NotOwner {
		s.queryShard(now, req.Shard)
	}
	s.releasedCalls = s.tokenPool.HandleGrant(now, req, g, s.releasedCalls[:0])
	ready := slices.Clone(s.releasedCalls)
	for _, id := range ready {
		if c, ok := s.calls[CallID(id)]; ok {
			s.dispatch(now, c, "")
		}
	}
}

// ShardOwners returns the recorded owner of every shard, ordered by workspace, count and
// index.
func (s *State) ShardOwners() []ShardRecord {
	out := make([]ShardRecord, 0, len(s.storedOwners))
	for shard, owner := range s.storedOwners {
		out = append(out, ShardRecord{Shard: shard, Owner: owner})
	}
	slices.SortFunc(out, func(a, b ShardRecord) int {
		return cmp.Or(
			cmp.Compare(a.Shard.Workspace, b.Shard.Workspace),
			cmp.Compare(a.Shard.Count, b.Shard.Count),
			cmp.Compare(a.Shard.Index, b.Shard.Index),
		)
	})
	return out
}
