package core

import (
	"time"

	"celeryshelf/core/member"
)

// Nodes that do not watch the store get the manifest from peers. A node asks one of its own
// domain, if it knows of one that has the version, so that a large manifest crosses a
// domain's border a few times and not once for each node.

const (
	// manifestRequestInterval is the least time between two requests for the manifest: a
	// large one takes a while to arrive.
	manifestRequestInterval = 300 * time.Millisecond
	// ownDomainTime is how long a node that does not watch the store waits for its own domain
	// to have a version before it asks a node of another domain.
	ownDomainTime = 400 * time.Millisecond
	// startRequestInterval is the time between the requests of a node without a manifest.
	startRequestInterval = 150 * time.Millisecond
	// newsTTL is how long a version that no peer sends is believed to exist.
	newsTTL = 10 * time.Second
)

// distribution is the state of the requests for a newer manifest.
type distribution struct {
	version     uint64    // newest version heard of
	heardAt     time.Time // when it was first heard of
	requestedAt time.Time // when a peer was last asked for it
}

// hearOfManifest handles the news that a peer has a newer manifest than this node.
func (s *State) hearOfManifest(now time.Time, from string, version uint64) {
	if version <= s.manifestVersion() {
		return
	}
	d := &s.distribution
	if version > d.version {
		d.version, d.heardAt = version, now
	}
	if !s.watch.electionEnabled {
		s.requestManifest(now, from)
		return
	}
	if now.Sub(d.requestedAt) < manifestRequestInterval {
		return
	}
	if source := s.manifestSource(now, from, version); source != "" {
		s.requestManifest(now, source)
	}
}

func (s *State) requestManifest(now time.Time, from string) {
	s.distribution.requestedAt = now
	s.send(from, &ManifestRequest{Uptime: now.Sub(s.started)})
}

// pursueManifest asks a watcher, or any node, for a version that this node has heard of and
// not got in time.
func (s *State) pursueManifest(now time.Time) {
	d := &s.distribution
	if now.Sub(d.heardAt) > newsTTL {
		d.version = 0
	}
	if s.manifest == nil && s.watch.electionEnabled && now.Sub(d.requestedAt) >= startRequestInterval {
		s.requestManifest(now, s.randomWatcher())
		return
	}
	if !s.watch.electionEnabled || d.version <= s.manifestVersion() ||
		now.Sub(d.heardAt) < ownDomainTime || now.Sub(d.requestedAt) < manifestRequestInterval {
		return
	}
	source := s.randomWatcher()
	if source == "" || s.random.IntN(2) == 0 {
		source = s.randomPeer((*member.Peer).Live)
	}
	s.requestManifest(now, source)
}

// manifestSource returns the peer to ask for a version, or "" to wait for one of the own
// domain.
func (s *State) manifestSource(now time.Time, from string, version uint64) string {
	if p, ok := s.peers.Get(from); ok && p.Domain == s.self.Domain {
		return from
	}
	if p := s.randomPeer(func(p *member.Peer) bool {
		return p.Live() && p.Domain == s.self.Domain && p.ManifestVersion >= version
	}); p != "" {
		return p
	}
	if s.isWatcher() || now.Sub(s.distribution.heardAt) >= ownDomainTime {
		return from
	}
	return ""
}

// spreadManifest tells peers that this node has a new manifest.
func (s *State) spreadManifest(now time.Time) {
	s.distribution.requestedAt = time.Time{}
	if !s.watch.electionEnabled {
		s.self.Revision++ // tells peers of the version; the announcement in the store is not rewritten
		s.syncRandomPeers(now, changeFanout)
		return
	}
	version := s.manifestVersion()
	s.syncPeers(now, changeFanout, func(p *member.Peer) bool { return s.inDomain(p) && p.ManifestVersion < version })
	s.syncPeers(now, 1, func(p *member.Peer) bool { return s.outsideDomain(p) && p.ManifestVersion < version })
}
