package core

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"celeryshelf/core/member"
	"celeryshelf/core/quota"
)

const (
	// claimDelay lets a starting node learn of its peers before it claims shards.
	claimDelay = 1500 * time.Millisecond
	claimEvery = 500 * time.Millisecond
	// resumeDelay lets the manifest come in before a node looks for the shards that
	// an earlier process of its own held.
	resumeDelay = 50 * time.Millisecond
	// claimStagger is how much longer than the one before it each further
	// candidate waits before it claims a vacant shard.
	claimStagger = 1 * time.Second
)

// fromStore takes in what the store says.
func (s *State) fromStore(now time.Time, e Event) {
	switch e := e.(type) {
	case *LeaseHeld:
		s.owner.RenewLease(e.Until)
	case *LeaseLost:
		s.leaseLost()
	case *StoreReachability:
		s.storeUp(now, e.Reachable)
	case *StoreSnapshot:
		s.snapshot(now, e)
	case *ManifestStored:
		s.adopt(now, e.Manifest)
	case *ManifestConfirmed:
		s.confirm(e.Version, e.At)
	case *MemberStored:
		s.hear(now, e.Member)
	case *MemberDeleted:
		s.reachable(now, e.Name, false)
	case *ShardStored:
		s.shardSeen(e.ShardRecord)
	case *ShardDeleted:
		if s.watch.shared {
			s.watch.vacant = append(s.watch.vacant, e.Shard)
		}
		s.shardGone(now, e.Shard)
	case *CostsStored:
		s.costsSeen(now, e.Rows)
	case *ClaimDone:
		s.claimDone(now, e)
	}
}

func (s *State) storeUp(now time.Time, up bool) {
	if up != s.store {
		kind := NoticeStoreUnreachable
		if up {
			kind = NoticeStoreRecovered
		}
		s.notice(Notice{Kind: kind})
	}
	s.store = up
	if up && s.revoke == 0 {
		s.asOf = now
	}
}

func (s *State) leaseLost() {
	for _, shard := range s.owner.Shards() {
		s.lose(shard)
	}
	s.effects.StoreRequests = append(s.effects.StoreRequests, &AnnounceMember{Member: s.self})
}

func (s *State) snapshot(now time.Time, e *StoreSnapshot) {
	if e.Manifest != nil {
		s.adopt(now, *e.Manifest)
	}
	for _, m := range e.Members {
		s.hear(now, m)
	}
	s.greet(now)
	s.costsSeen(now, e.Costs)
	clear(s.shards)
	clear(s.hints)
	for _, r := range e.Shards {
		s.shards[r.Shard] = r.Owner
	}
	for _, shard := range s.owner.Shards() {
		if s.shards[shard] != s.self.Name {
			s.lose(shard)
		}
	}
	s.due.claim = now.Add(resumeDelay)
}

func (s *State) shardSeen(r ShardRecord) {
	s.shards[r.Shard] = r.Owner
	delete(s.claims, r.Shard)
	delete(s.hints, r.Shard)
	if r.Owner != s.self.Name && s.owner.Holds(r.Shard) {
		s.lose(r.Shard)
	}
}

func (s *State) shardGone(now time.Time, shard quota.Shard) {
	delete(s.shards, shard)
	delete(s.hints, shard)
	if s.owner.Holds(shard) {
		s.lose(shard)
	}
	if s.mayClaim() && s.declared(shard) {
		s.claimOne(now, shard)
	}
}

// declared reports whether the manifest in force has such a shard.
func (s *State) declared(shard quota.Shard) bool {
	w := s.config.limited(shard.Workspace)
	return w != nil && allowance(w).ShardCount() == shard.Count
}

// lose stops granting tokens of a shard that is no longer this node's.
func (s *State) lose(shard quota.Shard) {
	s.owner.Release(shard)
	s.notice(Notice{Kind: NoticeShardLost, Shard: shard})
}

// yield gives up a shard and deletes its record, so that another may claim it.
func (s *State) yield(shard quota.Shard) {
	s.lose(shard)
	s.effects.StoreRequests = append(s.effects.StoreRequests, &ReleaseShard{Shard: shard})
}

// claim asks the store for the vacant shards that this node is the next
// candidate for.
func (s *State) claim(now time.Time) {
	if !s.mayClaim() {
		return
	}
	for i := range s.config.source.Manifest.Workspaces {
		w := &s.config.source.Manifest.Workspaces[i]
		if w.Rate == 0 {
			continue
		}
		n := allowance(w).ShardCount()
		for k := range n {
			s.claimOne(now, quota.Shard{Workspace: w.Name, Index: k, Count: n})
		}
	}
}

func (s *State) mayClaim() bool {
	return s.config != nil && s.store && !s.self.Draining
}

func (s *State) claimOne(now time.Time, shard quota.Shard) {
	if owner, owned := s.shards[shard]; owned {
		delete(s.claims, shard)
		if owner == s.self.Name && !s.owner.Holds(shard) {
			// An earlier process of this node held it.
			s.effects.StoreRequests = append(s.effects.StoreRequests, &ClaimShard{Shard: shard, Conflicting: rivals(shard)})
		}
		return
	}
	if now.Sub(s.started) < claimDelay {
		return
	}
	since, seen := s.claims[shard]
	if !seen {
		since = now
		s.claims[shard] = now
	}
	if now.Sub(since) < time.Duration(s.candidacy(shard))*claimStagger {
		return
	}
	s.claims[shard] = now
	s.effects.StoreRequests = append(s.effects.StoreRequests, &ClaimShard{Shard: shard, Conflicting: rivals(shard)})
}

// rivals returns the shards of the other way to split the workspace.
func rivals(s quota.Shard) []quota.Shard {
	var out []quota.Shard
	for _, n := range quota.ShardCounts() {
		for i := 0; n != s.Count && i < n; i++ {
			out = append(out, quota.Shard{Workspace: s.Workspace, Index: i, Count: n})
		}
	}
	return out
}

// candidacy returns this node's place among the candidates for a shard. Shards
// of one workspace prefer different domains.
func (s *State) candidacy(shard quota.Shard) int {
	domain := s.preferredDomain(shard)
	mine := s.suitability(s.self, shard, domain)
	place := 0
	for _, p := range s.peers.All() {
		if p.Live() && s.suitability(p.Member, shard, domain) > mine {
			place++
		}
	}
	return place
}

func (s *State) preferredDomain(shard quota.Shard) string {
	domains := []string{s.self.Domain}
	for _, p := range s.peers.All() {
		if p.Live() {
			domains = append(domains, p.Domain)
		}
	}
	slices.Sort(domains)
	domains = slices.Compact(domains)
	i := (xxhash.Sum64String(shard.Workspace) + uint64(shard.Index)) % uint64(len(domains))
	return domains[i]
}

// suitability orders candidates: the preferred domain first, then by hash.
func (s *State) suitability(m member.Member, shard quota.Shard, domain string) uint64 {
	h := spreadBits(xxhash.Sum64String(shard.Workspace+"/"+m.Name)+uint64(shard.Index)) >> 1
	if m.Domain == domain {
		h |= 1 << 63
	}
	return h
}

func (s *State) claimDone(now time.Time, e *ClaimDone) {
	if !e.Held {
		return
	}
	if s.self.Draining || s.config == nil || !s.declared(e.Shard) {
		s.effects.StoreRequests = append(s.effects.StoreRequests, &ReleaseShard{Shard: e.Shard})
		return
	}
	s.shards[e.Shard] = s.self.Name
	delete(s.claims, e.Shard)
	if s.owner.Holds(e.Shard) {
		return
	}
	s.owner.Acquire(now, e.Shard, allowance(s.config.workspaces[e.Shard.Workspace]))
	s.notice(Notice{Kind: NoticeShardAcquired, Shard: e.Shard})
	s.watch.held = append(s.watch.held, ShardRecord{Shard: e.Shard, Owner: s.self.Name})
	s.tellNews(now)
}

// ask carries the holder's asks to the shards' owners, this node included.
func (s *State) ask(now time.Time) {
	for {
		a, ok := s.holder.NextRequest()
		if !ok {
			return
		}
		owner, known := s.ownerOf(a.Shard)
		switch {
		case known && owner == s.self.Name:
			s.askSelf(now, a)
		case known && s.knows(owner):
			s.send(owner, &TokenRequest{Ask: a})
		default:
			s.granted(now, a, quota.UnownedGrant())
		}
	}
}

// ownerOf returns a shard's owner by the store's record, or by what the owner has
// said where the store has not reported one.
func (s *State) ownerOf(shard quota.Shard) (string, bool) {
	if owner, known := s.shards[shard]; known {
		return owner, true
	}
	owner, known := s.hints[shard]
	return owner, known
}

func (s *State) knows(name string) bool {
	p, ok := s.peers.Get(name)
	return ok && !p.Unreachable
}

// askSelf asks a peer for its clock before the node grants tokens to itself. An
// ask to another owner needs no such detour, as the asker reads the owner's clock.
func (s *State) askSelf(now time.Time, a quota.BatchRequest) {
	witness := s.witness()
	if witness == "" {
		s.granted(now, a, s.owner.Grant(now, a))
		return
	}
	s.send(witness, &ClockRequest{Ask: a})
}

// witness returns a peer that can be reached, or nothing if there is none.
func (s *State) witness() string {
	peers := s.peers.All()
	if len(peers) == 0 {
		return ""
	}
	start := s.random.IntN(len(peers))
	for i := range peers {
		if p := &peers[(start+i)%len(peers)]; !p.Unreachable {
			return p.Name
		}
	}
	return ""
}

func (s *State) echoed(now time.Time, from string, m *ClockResponse) {
	s.compare(now, from, m.Clock)
	s.granted(now, m.Ask, s.owner.Grant(now, m.Ask))
	s.ask(now)
}

func (s *State) tokenGrant(now time.Time, from string, m *TokenGrant) {
	grant := m.Grant
	if s.compare(now, from, m.Clock) == paceBehind {
		s.notice(Notice{Kind: NoticeOwnerClockBehind, Peer: from, Shard: m.Ask.Shard})
		grant = quota.UnownedGrant()
	}
	s.granted(now, m.Ask, grant)
	s.ask(now)
}

// granted hands tokens to the calls that wait for them.
func (s *State) granted(now time.Time, a quota.BatchRequest, g quota.Grant) {
	if g.NotOwner {
		s.look(now, a.Shard)
	}
	s.released = s.holder.HandleGrant(now, a, g, s.released[:0])
	ready := slices.Clone(s.released)
	for _, id := range ready {
		if c, ok := s.calls[CallID(id)]; ok {
			s.dispatch(now, c, "")
		}
	}
}

// ShardOwners returns the recorded owner of every shard, in order.
func (s *State) ShardOwners() []ShardRecord {
	out := make([]ShardRecord, 0, len(s.shards))
	for shard, owner := range s.shards {
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
