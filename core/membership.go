package core

import (
	"net/netip"
	"time"

	"celeryshelf/core/member"
)

const (
	tickSync     = 500 * time.Millisecond
	syncFanout   = 2
	spreadFanout = 4
	// rumorLimit and rumorRotate bound the announcements in one Sync.
	rumorLimit  = 24
	rumorRotate = 3
	// joinRotate is what a node that has just joined is told at once.
	joinRotate = 64
	// greetFanout is how many peers a node that starts tells at once.
	greetFanout = 32
	sweepEvery  = 1 * time.Second
)

const (
	// hurry is how soon time is to be told again while calls wait for something
	// that time alone brings; leisure is how soon otherwise.
	hurry   = 10 * time.Millisecond
	leisure = 100 * time.Millisecond
)

// NextTickDelay returns how soon the reducer wants to be told the time again.
func (s *State) NextTickDelay(now time.Time) time.Duration {
	if len(s.records) > 0 || s.gate.HasQueued() || s.holder.HasWaiters() {
		return hurry
	}
	next := now.Add(leisure)
	for _, due := range []time.Time{s.due.sync, s.due.claim, s.due.sweep, s.due.report} {
		if due.After(now) && due.Before(next) {
			next = due
		}
	}
	return max(hurry, next.Sub(now))
}

func (s *State) tick(now time.Time) {
	s.gate.CloseWindows(now)
	for {
		it, ok := s.gate.TakeExpired(now)
		if !ok {
			break
		}
		s.turnAway(now, s.calls[CallID(it.ID)], ReasonDeadlineExceeded)
	}
	s.pump(now)
	if s.self.Draining && !s.target.left && !now.Before(s.closing) {
		s.closeTarget(now)
	}
	s.overdueRecords(now)
	s.tickQuota(now)
	s.tellNews(now)
	s.verify(now)
	if s.plans {
		s.report(now)
	}
	if !now.Before(s.due.sync) {
		s.due.sync = now.Add(s.jitter(tickSync))
		s.gossip(now)
	}
	if !now.Before(s.due.claim) {
		s.due.claim = now.Add(claimEvery)
		s.claim(now)
	}
	if !now.Before(s.due.sweep) {
		s.due.sweep = now.Add(sweepEvery)
		s.sweep(now)
	}
}

func (s *State) tickQuota(now time.Time) {
	s.released = s.holder.Tick(now, s.released[:0])
	for _, id := range s.released {
		if c, ok := s.calls[CallID(id)]; ok {
			s.refuse(now, c, s.denial(c.workspace))
		}
	}
	s.ask(now)
}

func (s *State) sweep(now time.Time) {
	s.reviewWatch(now)
	s.allowance.SetNodeCount(1 + len(s.peers.All()))
	s.levels.RemoveExpired(now)
	s.ledger.RemoveExpired(now)
	for _, name := range s.peers.RemoveExpired(now) {
		s.routes.Remove(name)
		delete(s.clocks, name)
		s.notice(Notice{Kind: NoticePeerRemoved, Peer: name})
	}
}

// jitter spreads a period by a fifth to either side.
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

func (s *State) sync(now time.Time, limit, rotate int) *Sync {
	return &Sync{
		Self:    s.self,
		Clock:   now.Sub(s.started),
		Members: s.peers.NextGossip(limit, rotate),
	}
}

// gossip tells a few peers, drawn at random, what has changed.
func (s *State) gossip(now time.Time) {
	if len(s.peers.All()) == 0 {
		for _, seed := range s.seeds {
			s.effects.Envelopes = append(s.effects.Envelopes, s.hello(now, seed))
		}
		return
	}
	s.spread(now, syncFanout)
	s.probeSilent(now)
}

func (s *State) hello(now time.Time, seed netip.AddrPort) Envelope {
	return Envelope{Address: seed, Body: s.sync(now, 0, 0)}
}

// spread sends a Sync to n peers drawn at random.
func (s *State) spread(now time.Time, n int) {
	peers := s.peers.All()
	if len(peers) == 0 {
		return
	}
	start := s.random.IntN(len(peers))
	for i := 0; i < len(peers) && n > 0; i++ {
		p := &peers[(start+i)%len(peers)]
		if p.Unreachable {
			continue
		}
		s.send(p.Name, s.sync(now, rumorLimit, rumorRotate))
		n--
	}
}

// probeSilent sends a Sync to one of the silent peers, drawn at random.
func (s *State) probeSilent(now time.Time) {
	peers := s.peers.All()
	if len(peers) == 0 {
		return
	}
	start := s.random.IntN(len(peers))
	for i := range peers {
		if p := &peers[(start+i)%len(peers)]; p.Unreachable {
			s.send(p.Name, s.sync(now, 0, 0))
			return
		}
	}
}

// greet makes a node that has just started known to peers it has heard of.
func (s *State) greet(now time.Time) {
	if s.greeted || len(s.peers.All()) == 0 {
		return
	}
	s.greeted = true
	s.spread(now, greetFanout)
}

// announce makes a change of the node's own announcement known to peers and store.
func (s *State) announce() {
	s.self.Revision++
	s.effects.StoreRequests = append(s.effects.StoreRequests, &AnnounceMember{Member: s.self})
}

// receive takes in a message of a peer.
func (s *State) receive(now time.Time, e *MessageReceived) {
	s.reachable(now, e.From, true)
	switch m := e.Body.(type) {
	case *Sync:
		s.synced(now, m)
	case *ManifestRequest:
		if s.config != nil {
			s.send(e.From, &ManifestResponse{Manifest: s.config.source})
		}
	case *ManifestResponse:
		s.adopt(now, m.Manifest)
	case *Confirmation:
		s.proved(m)
	case *Report:
		s.receiveReport(now, e.From, m)
	case *Plan:
		s.proved(&m.Confirmation)
		s.takePlan(now, m.Keeps)
	case *IdempotencyRecord:
		s.record(now, e.From, m)
	case *IdempotencyRecordAck:
		s.recorded(now, m)
	case *Handover:
		for _, id := range m.Identities {
			s.ledger.RecordRemote(now, id, handedOver)
		}
	default:
		s.receiveQuota(now, e)
	}
}

// receiveQuota takes in a message about tokens and their owners.
func (s *State) receiveQuota(now time.Time, e *MessageReceived) {
	switch m := e.Body.(type) {
	case *ShardUpdate:
		s.heardNews(now, m)
	case *ShardQuery:
		s.answerLook(e.From, m)
	case *TokenRequest:
		grant := s.owner.Grant(now, m.Ask)
		s.send(e.From, &TokenGrant{Ask: m.Ask, Grant: grant, Clock: now.Sub(s.started)})
	case *TokenGrant:
		s.tokenGrant(now, e.From, m)
	case *ClockRequest:
		s.send(e.From, &ClockResponse{Ask: m.Ask, Clock: now.Sub(s.started)})
	case *ClockResponse:
		s.echoed(now, e.From, m)
	}
}

func (s *State) synced(now time.Time, m *Sync) {
	joined := s.hear(now, m.Self)
	s.compare(now, m.Self.Name, m.Clock)
	s.prove(now, m)
	for _, o := range m.Members {
		s.hear(now, o)
	}
	switch {
	case m.Self.ManifestVersion > s.version():
		s.send(m.Self.Name, &ManifestRequest{})
	case joined:
		s.send(m.Self.Name, s.sync(now, rumorLimit, joinRotate))
	case m.Self.ManifestVersion < s.version():
		s.send(m.Self.Name, s.sync(now, 0, 0))
	}
}

// hear merges an announcement and reports whether it brought a new process.
func (s *State) hear(now time.Time, m member.Member) bool {
	if m.Name == s.self.Name {
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
		s.notice(Notice{Kind: NoticePeerJoined, Peer: m.Name})
	}
	if m.Draining && !before.Draining {
		s.notice(Notice{Kind: NoticePeerDraining, Peer: m.Name})
	}
	return change == member.Joined
}

// probe asks a peer for as many signs of life as it may miss before it is silent.
func (s *State) probe(now time.Time, name string) {
	for range member.FailureThreshold {
		s.send(name, s.sync(now, 0, 0))
	}
}

func (s *State) reach(now time.Time, e *PeerReachability) {
	if e.Reachable {
		s.revive(e.Name)
	}
	s.reachable(now, e.Name, e.Reachable)
}

func (s *State) revive(name string) {
	p, ok := s.peers.Get(name)
	if !ok {
		return
	}
	if e := s.routes.Find(p.Service, name); e != nil {
		e.ResetBackoff()
	}
}

func (s *State) reachable(now time.Time, name string, reached bool) {
	if !s.peers.RecordContact(now, name, reached) {
		return
	}
	p, _ := s.peers.Get(name)
	s.routes.Put(now, s.endpoint(p.Member, p.Unreachable), false)
	kind := NoticePeerRecovered
	if p.Unreachable {
		kind = NoticePeerUnreachable
	}
	s.notice(Notice{Kind: kind, Peer: name})
}

// drain starts the node's departure. What only it does for the fleet goes to others at
// once; its target works on for as long as callers are let in, since what they ask for
// keeps the node from ending anyway.
func (s *State) drain(now time.Time, e *DrainRequested) {
	if s.self.Draining {
		return
	}
	if e.CallerGrace > 0 {
		s.shut = now.Add(e.CallerGrace)
	}
	s.self.Draining = true
	s.closing = now.Add(e.TargetGrace)
	if e.TargetGrace > 0 {
		s.announce()
		s.tell(now)
	} else {
		s.closeTarget(now)
	}
	for _, shard := range s.owner.Shards() {
		s.yield(shard)
	}
	s.handOver()
	s.notice(Notice{Kind: NoticeDrainStarted})
}

// closeTarget ends the flow of calls to the target of a leaving node.
func (s *State) closeTarget(now time.Time) {
	s.target.left = true
	s.targetChanged(now)
}

// tell sends every peer a Sync.
func (s *State) tell(now time.Time) {
	for _, p := range s.peers.All() {
		s.send(p.Name, s.sync(now, 0, 0))
	}
}
