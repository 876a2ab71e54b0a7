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

// Pace returns how soon the reducer wants to be told the time again.
func (s *State) Pace(now time.Time) time.Duration {
	if len(s.records) > 0 || s.gate.HasQueued() || s.holder.Waiting() {
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
		s.turnAway(now, s.calls[CallID(it.ID)], DeadlinePassed)
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
	s.released = s.holder.Turn(now, s.released[:0])
	for _, id := range s.released {
		if c, ok := s.calls[CallID(id)]; ok {
			s.refuse(now, c, s.denial(c.workspace))
		}
	}
	s.ask(now)
}

func (s *State) sweep(now time.Time) {
	s.reviewWatch(now)
	s.allowance.Share(1 + len(s.peers.All()))
	s.levels.Sweep(now)
	s.ledger.Sweep(now)
	for _, name := range s.peers.Forget(now) {
		s.routes.Drop(name)
		delete(s.clocks, name)
		s.notice(Notice{Kind: PeerForgotten, Peer: name})
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
	s.effects.Envelopes = append(s.effects.Envelopes, Envelope{To: to, Address: p.Control, Body: m})
}

func (s *State) sync(now time.Time, limit, rotate int) *Sync {
	return &Sync{
		Self:    s.self,
		Clock:   now.Sub(s.started),
		Members: s.peers.Rumors(limit, rotate),
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
		if p.Silent {
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
		if p := &peers[(start+i)%len(peers)]; p.Silent {
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
	s.effects.Requests = append(s.effects.Requests, &Announce{Member: s.self})
}

// receive takes in a message of a peer.
func (s *State) receive(now time.Time, e *Received) {
	s.reachable(now, e.From, true)
	switch m := e.Body.(type) {
	case *Sync:
		s.synced(now, m)
	case *Fetch:
		if s.config != nil {
			s.send(e.From, &Config{Manifest: s.config.source})
		}
	case *Config:
		s.adopt(now, m.Manifest)
	case *Proof:
		s.proved(m)
	case *Report:
		s.receiveReport(now, e.From, m)
	case *Plan:
		s.proved(&m.Proof)
		s.takePlan(now, m.Keeps)
	case *Record:
		s.record(now, e.From, m)
	case *Recorded:
		s.recorded(now, m)
	case *Handover:
		for _, id := range m.Identities {
			s.ledger.Record(now, id, handedOver)
		}
	default:
		s.receiveQuota(now, e)
	}
}

// receiveQuota takes in a message about tokens and their owners.
func (s *State) receiveQuota(now time.Time, e *Received) {
	switch m := e.Body.(type) {
	case *News:
		s.heardNews(now, m)
	case *Look:
		s.answerLook(e.From, m)
	case *TokenAsk:
		grant := s.owner.Grant(now, m.Ask)
		s.send(e.From, &TokenGrant{Ask: m.Ask, Grant: grant, Clock: now.Sub(s.started)})
	case *TokenGrant:
		s.tokenGrant(now, e.From, m)
	case *Echo:
		s.send(e.From, &Echoed{Ask: m.Ask, Clock: now.Sub(s.started)})
	case *Echoed:
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
	case m.Self.Version > s.version():
		s.send(m.Self.Name, &Fetch{})
	case joined:
		s.send(m.Self.Name, s.sync(now, rumorLimit, joinRotate))
	case m.Self.Version < s.version():
		s.send(m.Self.Name, s.sync(now, 0, 0))
	}
}

// hear merges an announcement and reports whether it brought a new process.
func (s *State) hear(now time.Time, m member.Member) bool {
	if m.Name == s.self.Name {
		return false
	}
	before, _ := s.peers.Get(m.Name)
	change := s.peers.Hear(now, m)
	if change == member.Stale {
		return false
	}
	p, _ := s.peers.Get(m.Name)
	s.routes.Put(now, s.endpoint(p.Member, p.Silent), change == member.Joined)
	if change == member.Joined {
		s.notice(Notice{Kind: PeerJoined, Peer: m.Name})
	}
	if m.Draining && !before.Draining {
		s.notice(Notice{Kind: PeerDraining, Peer: m.Name})
	}
	return change == member.Joined
}

// probe asks a peer for as many signs of life as it may miss before it is silent.
func (s *State) probe(now time.Time, name string) {
	for range member.SilentStrikes {
		s.send(name, s.sync(now, 0, 0))
	}
}

func (s *State) reach(now time.Time, e *PeerReach) {
	if e.Reached {
		s.revive(e.Name)
	}
	s.reachable(now, e.Name, e.Reached)
}

func (s *State) revive(name string) {
	p, ok := s.peers.Get(name)
	if !ok {
		return
	}
	if e := s.routes.Find(p.Service, name); e != nil {
		e.Revive()
	}
}

func (s *State) reachable(now time.Time, name string, reached bool) {
	if !s.peers.Reach(now, name, reached) {
		return
	}
	p, _ := s.peers.Get(name)
	s.routes.Put(now, s.endpoint(p.Member, p.Silent), false)
	kind := PeerBack
	if p.Silent {
		kind = PeerSilent
	}
	s.notice(Notice{Kind: kind, Peer: name})
}

// drain starts the node's departure. What only it does for the fleet goes to others at
// once; its target works on for as long as callers are let in, since what they ask for
// keeps the node from ending anyway.
func (s *State) drain(now time.Time, e *Drain) {
	if s.self.Draining {
		return
	}
	if e.Shut > 0 {
		s.shut = now.Add(e.Shut)
	}
	s.self.Draining = true
	s.closing = now.Add(e.Open)
	if e.Open > 0 {
		s.announce()
		s.tell(now)
	} else {
		s.closeTarget(now)
	}
	for _, shard := range s.owner.Shards() {
		s.yield(shard)
	}
	s.handOver()
	s.notice(Notice{Kind: DrainStarted})
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
