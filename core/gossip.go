package core

import (
	"net/netip"
	"time"

	"celeryshelf/core/member"
)

// syncMessage returns a Sync with up to limit recently changed announcements and the given
// number of others.
func (s *State) syncMessage(now time.Time, limit, others int) *Sync {
	return &Sync{
		Self:    s.self,
		Uptime:  now.Sub(s.started),
		Members: s.peers.NextGossip(limit, others),

		Evacuations: s.evacuationsMessage(now),
	}
}

// gossip sends a Sync to a few random peers and to one unreachable peer, or to the seed
// addresses while no peer is known.
func (s *State) gossip(now time.Time) {
	if len(s.peers.All()) == 0 {
		for _, seed := range s.seedAddresses {
			s.effects.Envelopes = append(s.effects.Envelopes, s.seedSync(now, seed))
		}
		return
	}
	if s.watch.electionEnabled {
		s.syncByDomain(now)
	} else {
		s.syncRandomPeers(now, syncFanout)
	}
	s.syncUnreachablePeer(now)
}

// syncByDomain sends a Sync to a peer of the own domain and, every crossDomainRounds rounds,
// to one of another.
func (s *State) syncByDomain(now time.Time) {
	s.syncPeers(now, 1, s.inDomain)
	if s.random.IntN(crossDomainRounds) == 0 || len(s.currentRoles().domains) == len(s.peers.All())+1 {
		s.syncPeers(now, 1, s.outsideDomain)
	}
}

// gossipRotation returns the number of unchanged announcements in a Sync.
func (s *State) gossipRotation() int {
	if s.watch.electionEnabled {
		return electedRotation
	}
	return gossipRotation
}

func (s *State) seedSync(now time.Time, seed netip.AddrPort) Envelope {
	return Envelope{Address: seed, Body: s.syncMessage(now, 0, 0)}
}

// syncRandomPeers sends a Sync to n reachable peers that are adjacent in the order of names,
// from a random start.
func (s *State) syncRandomPeers(now time.Time, n int) {
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
		s.send(p.Name, s.syncMessage(now, freshGossipLimit, s.gossipRotation()))
		n--
	}
}

// syncUnreachablePeer sends a Sync to a random unreachable peer.
func (s *State) syncUnreachablePeer(now time.Time) {
	if name := s.randomPeer(func(p *member.Peer) bool { return p.Unreachable }); name != "" {
		s.send(name, s.syncMessage(now, 0, 0))
	}
}

// announceStart sends a Sync to many peers once, as soon as the first peers are known.
func (s *State) announceStart(now time.Time) {
	if s.startAnnounced || len(s.peers.All()) == 0 {
		return
	}
	s.startAnnounced = true
	if s.watch.electionEnabled {
		s.syncPeers(now, electedStartFanout/2, s.inDomain)
		s.syncPeers(now, electedStartFanout/2, s.outsideDomain)
		return
	}
	s.syncRandomPeers(now, startFanout)
}

func reachable(p *member.Peer) bool { return !p.Unreachable }

// inDomain reports whether a peer is reachable and of this node's domain.
func (s *State) inDomain(p *member.Peer) bool { return reachable(p) && p.Domain == s.self.Domain }

// outsideDomain reports whether a peer is reachable and of another domain.
func (s *State) outsideDomain(p *member.Peer) bool {
	return reachable(p) && p.Domain != s.self.Domain
}

// randomPeer returns the name of a random peer that is accepted, or "" if there is none.
func (s *State) randomPeer(accepted func(p *member.Peer) bool) string {
	peers := s.peers.All()
	if len(peers) == 0 {
		return ""
	}
	start := s.random.IntN(len(peers))
	for i := range peers {
		if p := &peers[(start+i)%len(peers)]; accepted(p) {
			return p.Name
		}
	}
	return ""
}

// syncPeers sends a Sync to up to n accepted peers, each chosen at random.
func (s *State) syncPeers(now time.Time, n int, accepted func(p *member.Peer) bool) {
	chosen := make([]string, 0, n)
	for range n {
		name := s.randomPeer(func(p *member.Peer) bool {
			for _, c := range chosen {
				if c == p.Name {
					return false
				}
			}
			return accepted(p)
		})
		if name == "" {
			return
		}
		chosen = append(chosen, name)
		s.send(name, s.syncMessage(now, freshGossipLimit, s.gossipRotation()))
	}
}
