package core

import (
	"fmt"
	"time"

	"celeryshelf/core/member"
)

const (
	syncInterval = 500 * time.Millisecond
	// syncFanout is the number of peers that are sent a Sync every syncInterval, and
	// changeFanout the number after a change of the node's own announcement.
	syncFanout   = 2
	changeFanout = 4
	// freshGossipLimit bounds the recently changed announcements in one Sync, and
	// gossipRotation the others, which are sent in turn.
	freshGossipLimit = 24
	gossipRotation   = 3
	// joinRotation replaces gossipRotation in the first Sync to a node that has just joined.
	joinRotation = 64
	// startFanout is the number of peers that a starting node sends a Sync to at once.
	startFanout = 32
	// electedRotation and electedStartFanout replace gossipRotation and startFanout, and no
	// joinRotation is sent, if Settings.ElectWatchers is set: each node then reads the members
	// from the store when it starts, and bytes between domains are billed.
	electedRotation    = 1
	electedStartFanout = 8
	// crossDomainRounds is the number of rounds of gossip in which one peer of another domain
	// is among the partners, if Settings.ElectWatchers is set.
	crossDomainRounds = 2
	sweepInterval     = 1 * time.Second
)

const (
	// minTickDelay is the delay until the next Tick while calls wait for a token, a slot
	// or an acknowledgment, so that their timeouts are detected promptly. maxTickDelay is
	// the longest delay otherwise.
	minTickDelay = 10 * time.Millisecond
	maxTickDelay = 100 * time.Millisecond
)

// NextTickDelay returns the delay after which the next Tick is due.
func (s *State) NextTickDelay(now time.Time) time.Duration {
	if len(s.awaitingAcks) > 0 || s.gate.HasQueued() || s.tokenPool.HasWaiters() {
		return minTickDelay
	}
	next := now.Add(maxTickDelay)
	for _, due := range [...]time.Time{s.due.sync, s.due.claim, s.due.sweep, s.due.report, s.distribution.retryAt} {
		if due.After(now) && due.Before(next) {
			next = due
		}
	}
	return max(minTickDelay, next.Sub(now))
}

// tick runs everything that is due at now.
func (s *State) tick(now time.Time) {
	s.gate.CloseWindows(now)
	for {
		expired, ok := s.gate.TakeExpired(now)
		if !ok {
			break
		}
		s.handleGateRejection(now, s.calls[CallID(expired.ID)], ReasonDeadlineExceeded)
	}
	s.rejectHeldBack(now)
	s.admitQueued(now)
	s.publishWork(now)
	if s.self.Draining && !s.target.closedByDrain && !now.Before(s.targetOpenUntil) {
		s.closeTarget(now)
	}
	s.expireRecall(now)
	s.pursueEvacuations(now)
	s.saveDepartures(now)
	s.expireAckWaits(now)
	s.tickTokens(now)
	s.sendShardUpdate(now)
	s.verify(now)
	s.pursueManifest(now)
	if s.plannedAdmission {
		s.reportLoad(now)
	}
	if !now.Before(s.due.sync) {
		s.due.sync = now.Add(s.jitter(syncInterval))
		s.gossip(now)
	}
	if !now.Before(s.due.claim) {
		s.due.claim = now.Add(claimInterval)
		s.claimVacantShards(now)
	}
	if !now.Before(s.due.sweep) {
		s.due.sweep = now.Add(sweepInterval)
		s.sweep(now)
	}
}

// tickTokens refuses the calls that have waited too long for a token and sends the requests
// that are due.
func (s *State) tickTokens(now time.Time) {
	s.releasedCalls = s.tokenPool.Tick(now, s.releasedCalls[:0])
	for _, id := range s.releasedCalls {
		if c, ok := s.calls[CallID(id)]; ok {
			s.refuse(now, c, s.reasonForDenial(c.workspace))
		}
	}
	s.sendTokenRequests(now)
}

// sweep updates the node's role as a watcher and removes expired state.
func (s *State) sweep(now time.Time) {
	s.updateWatchRole(now)
	s.retryLimiter.SetNodeCount(1 + len(s.peers.All()))
	s.levels.RemoveExpired(now)
	s.expireDeclining(now)
	s.dedup.RemoveExpired(now)
	for _, name := range s.peers.RemoveExpired(now) {
		s.routes.Remove(name)
		delete(s.peerClocks, name)
		s.addNotice(Notice{Kind: NoticePeerRemoved, Peer: name})
	}
}

// jitter returns d changed by a random amount of up to a fifth in either direction.
func (s *State) jitter(d time.Duration) time.Duration {
	return d*4/5 + time.Duration(s.random.Int64N(int64(d*2/5)))
}

func (s *State) send(to string, m Message) {
	p, ok := s.peers.Get(to)
	if !ok {
		return
	}
	s.effects.Envelopes = append(s.effects.Envelopes, Envelope{To: to, Address: p.ControlAddr, Body: m})
}

// announce raises the revision of the node's own announcement and writes it to the store.
// Peers hear of it by gossip.
func (s *State) announce() {
	s.self.Revision++
	s.effects.StoreRequests = append(s.effects.StoreRequests, &AnnounceMember{Member: s.self})
}

// handleMessage applies a message from a peer.
func (s *State) handleMessage(now time.Time, e *MessageReceived) {
	s.setReachable(now, e.From, true)
	switch m := e.Body.(type) {
	case *Sync:
		s.handleSync(now, m)
	case *ManifestRequest:
		s.handleManifestRequest(now, e.From, m)
	case *ManifestChunk:
		s.handleManifestChunk(now, e.From, m)
	case *ManifestBusy:
		s.handleManifestBusy(now, e.From)
	case *ManifestResponse:
		s.handleManifestResponse(now, e.From, m)
	case *Confirmation:
		s.handleConfirmation(now, e.From, m)
	case *Report:
		s.handleReport(now, e.From, m)
	case *Plan:
		s.handleConfirmation(now, e.From, &m.Confirmation)
		s.applyPlan(now, m.AdmitRatios)
		s.applyDeclining(m.Declining)
	case *IdempotencyRecord:
		s.handleRecord(now, e.From, m)
	case *IdempotencyRecordAck:
		s.handleRecordAck(now, m)
	case *Handover:
		for _, key := range m.Keys {
			s.dedup.RecordRemote(now, key, handoverCoordinator)
		}
	default:
		s.handleShardMessage(now, e)
	}
}

// handleShardMessage applies a message about tokens or shard ownership.
func (s *State) handleShardMessage(now time.Time, e *MessageReceived) {
	switch m := e.Body.(type) {
	case *ShardUpdate:
		s.handleShardUpdate(now, m)
		s.relayShardUpdate(e.From, m)
	case *ShardQuery:
		s.handleShardQuery(e.From, m)
	case *TokenBatchRequest:
		grant := s.shardOwner.Grant(now, m.Request)
		s.send(e.From, &TokenGrant{Request: m.Request, Grant: grant, Uptime: now.Sub(s.started)})
	case *TokenGrant:
		s.handleTokenGrant(now, e.From, m)
	case *ClockRequest:
		s.send(e.From, &ClockResponse{Request: m.Request, Uptime: now.Sub(s.started)})
	case *ClockResponse:
		s.handleClockResponse(now, e.From, m)
	}
}

// handleSync merges the announcements, answers with a Confirmation and asks for the
// sender's manifest if that is newer.
func (s *State) handleSync(now time.Time, m *Sync) {
	joined := s.mergeMember(now, m.Self)
	s.comparePeerClock(now, m.Self.Name, m.Uptime)
	s.peers.SetManifestVersion(m.Self.Name, m.Self.ManifestVersion)
	s.mergeEvacuations(now, m.Evacuations)
	s.sendConfirmation(now, m.Self.Name, m.Uptime)
	for _, o := range m.Members {
		s.mergeMember(now, o)
	}
	if joined {
		s.sendShards(m.Self)
	}
	switch {
	case m.Self.ManifestVersion > s.manifestVersion():
		s.hearOfManifest(now, m.Self.Name, m.Self.ManifestVersion)
	case joined && s.watch.electionEnabled:
		s.send(m.Self.Name, s.syncMessage(now, freshGossipLimit, 0))
	case joined:
		s.send(m.Self.Name, s.syncMessage(now, freshGossipLimit, joinRotation))
	case m.Self.ManifestVersion < s.manifestVersion():
		s.send(m.Self.Name, s.syncMessage(now, 0, 0))
	}
}

// mergeMember merges an announcement and reports whether it is from a process that was not
// known before.
func (s *State) mergeMember(now time.Time, m member.Member) bool {
	if err := s.checkMember(&m); err != nil {
		s.rejectMember(m, err)
		return false
	}
	if m.Name == s.self.Name {
		s.handleOwnRecord(now, m)
		return false
	}
	before, _ := s.peers.Get(m.Name)
	change := s.peers.Merge(now, m)
	if change == member.Stale {
		return false
	}
	p, _ := s.peers.Get(m.Name)
	s.routes.Put(now, s.endpoint(p.Member, p.Unreachable), change == member.Joined)
	if change == member.Joined {
		s.addNotice(Notice{Kind: NoticePeerJoined, Peer: m.Name})
	}
	if m.Draining && !before.Draining {
		s.addNotice(Notice{Kind: NoticePeerDraining, Peer: m.Name})
	}
	return change == member.Joined
}

// checkMember returns an error if no node of this fleet can have made an announcement.
func (s *State) checkMember(m *member.Member) error {
	if err := m.Validate(); err != nil {
		return fmt.Errorf("announcement of %q: %w", m.Name, err)
	}
	if own := s.self.NodeAddr.Addr(); own.IsValid() && own.Is4() != m.NodeAddr.Addr().Is4() {
		return fmt.Errorf("announcement of %q: address %s is not of the family of %s", m.Name, m.NodeAddr, own)
	}
	return nil
}

// maxRejectedMembers bounds the rejected announcements that are remembered.
const maxRejectedMembers = 256

// rejectMember reports an announcement that is not used, once for each version of it.
func (s *State) rejectMember(m member.Member, err error) {
	if s.rejectedMembers[m.Name] == m {
		return
	}
	if s.rejectedMembers == nil || len(s.rejectedMembers) >= maxRejectedMembers {
		s.rejectedMembers = map[string]member.Member{}
	}
	s.rejectedMembers[m.Name] = m
	s.addNotice(Notice{Kind: NoticeMemberRejected, Detail: err.Error()})
}

// handleOwnRecord handles an announcement in this node's name that this process has not
// made. It is from an earlier process of the node, or from another writer. If it would
// supersede this node's own announcement, that is made again above it.
func (s *State) handleOwnRecord(now time.Time, m member.Member) {
	s.recallLeavingTarget(now, m)
	if !m.Supersedes(s.self) {
		return
	}
	s.self.Incarnation, s.self.Revision = m.Incarnation, m.Revision
	s.announce()
	s.syncRandomPeers(now, changeFanout)
}

// probe sends a peer FailureThreshold Syncs to find out whether it still answers. Failures in
// quick succession count as one, so these alone do not make the peer unreachable if they
// fail at once.
func (s *State) probe(now time.Time, name string) {
	for range member.FailureThreshold {
		s.send(name, s.syncMessage(now, 0, 0))
	}
}

// handlePeerReachability applies the outcome of a message to a peer.
func (s *State) handlePeerReachability(now time.Time, e *PeerReachability) {
	if e.Reachable {
		s.resetBackoff(e.Name)
	} else if s.distribution.download.from == e.Name && !s.distribution.download.decoding {
		s.giveUpDownload(now)
	}
	s.setReachable(now, e.Name, e.Reachable)
}

// resetBackoff lets calls to a peer's endpoint through again after the peer has answered.
func (s *State) resetBackoff(name string) {
	p, ok := s.peers.Get(name)
	if !ok {
		return
	}
	if e := s.routes.Find(p.Service, name); e != nil {
		e.ResetBackoff()
	}
}

// setReachable records whether a peer could be reached, and updates routing if that changes
// its state.
func (s *State) setReachable(now time.Time, name string, reachable bool) {
	if !s.peers.RecordContact(now, name, reachable) {
		return
	}
	p, _ := s.peers.Get(name)
	s.routes.Put(now, s.endpoint(p.Member, p.Unreachable), false)
	kind := NoticePeerRecovered
	if p.Unreachable {
		kind = NoticePeerUnreachable
	}
	s.addNotice(Notice{Kind: kind, Peer: name})
}

// syncAllPeers sends a Sync to every peer.
func (s *State) syncAllPeers(now time.Time) {
	for _, p := range s.peers.All() {
		s.send(p.Name, s.syncMessage(now, 0, 0))
	}
}
