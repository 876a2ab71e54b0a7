package core

import (
	"time"

	"celeryshelf/core/manifest"
	"celeryshelf/core/member"
)

// Nodes that do not watch the store get the manifest from peers. A node asks one of its own
// domain, if it knows of one that has the version, so that a large manifest crosses a
// domain's border a few times and not once for each node. docs/design/manifest-transfer.md
// describes the transfer.

const (
	// manifestRequestInterval is the time between two requests of a node that gets no answer.
	manifestRequestInterval = 300 * time.Millisecond
	// ownDomainTime is how long a node that does not watch the store waits for its own domain
	// to have a version before it asks a node of another domain.
	ownDomainTime = 400 * time.Millisecond
	// startRequestInterval replaces manifestRequestInterval on a node without a manifest.
	startRequestInterval = 150 * time.Millisecond
	// newsTTL is how long a version that no peer sends is believed to exist.
	newsTTL = 10 * time.Second
	// chunkTimeout is how long a node waits for the next chunk of a manifest before it asks
	// another peer.
	chunkTimeout = 700 * time.Millisecond
	// busyDelay is the time until a node asks again after a peer had no room for it.
	busyDelay = 60 * time.Millisecond
	// storeReadDelay is how long a node that knows of a newer manifest waits for its peers before
	// it reads the store. The nodes of a domain do so in groups of watchersPerDomain,
	// storeReadTurn apart: at 1,600 nodes in 6 domains that is 60 reads a second.
	storeReadDelay    = 1200 * time.Millisecond
	storeReadTurn     = 200 * time.Millisecond
	storeReadInterval = 1 * time.Second
)

// distribution is the state of the transfer of manifests between this node and its peers.
type distribution struct {
	version     uint64    // newest version heard of
	heardAt     time.Time // when it was first heard of
	behindSince time.Time // when a newer version than the active one was first heard of, zero if none was
	requestedAt time.Time // when a peer was last asked for it
	retryAt     time.Time // when another peer is asked, zero if no transfer has failed
	storeReadAt time.Time // when the store was last read for want of a peer that sends
	download    download
	uploads     uploads
}

// hearOfManifest handles the news that a peer has a newer manifest than this node. While a
// transfer makes progress it is completed first.
func (s *State) hearOfManifest(now time.Time, from string, version uint64) {
	if version <= s.manifestVersion() {
		return
	}
	d := &s.distribution
	if version > d.version {
		d.version, d.heardAt = version, now
	}
	if d.behindSince.IsZero() {
		d.behindSince = now
	}
	if d.download.active() {
		return
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

// requestManifest starts the transfer of the newest manifest from a peer.
func (s *State) requestManifest(now time.Time, from string) {
	d := &s.distribution
	d.requestedAt, d.retryAt = now, time.Time{}
	d.download = download{}
	if _, known := s.peers.Get(from); !known {
		return
	}
	d.download = download{from: from, waitingSince: now}
	s.send(from, &ManifestRequest{Uptime: now.Sub(s.started), Chunks: true})
}

// pursueManifest asks a watcher, or any node, for a version that this node has heard of and
// not got in time.
func (s *State) pursueManifest(now time.Time) {
	d := &s.distribution
	if now.Sub(d.heardAt) > newsTTL {
		d.version, d.behindSince = 0, time.Time{}
	}
	d.uploads.expire(now)
	s.expireDownload(now)
	s.readStoreForManifest(now)
	switch {
	case d.download.active():
	case s.manifest == nil && s.watch.electionEnabled && now.Sub(d.requestedAt) >= startRequestInterval:
		s.requestManifest(now, s.randomWatcher())
	case d.version <= s.manifestVersion():
	case !d.retryAt.IsZero() && !now.Before(d.retryAt):
		s.requestManifest(now, s.nextSource())
	case s.watch.electionEnabled && now.Sub(d.heardAt) >= ownDomainTime && now.Sub(d.requestedAt) >= manifestRequestInterval:
		source := s.randomWatcher()
		if source == "" || s.random.IntN(2) == 0 {
			source = s.randomPeer((*member.Peer).Live)
		}
		s.requestManifest(now, source)
	}
}

// nextSource returns a peer to ask after a transfer has failed: one that has the version, of the
// own domain if possible.
func (s *State) nextSource() string {
	version := s.distribution.version
	has := func(p *member.Peer) bool { return p.Live() && p.ManifestVersion >= version }
	if p := s.randomPeer(func(p *member.Peer) bool { return has(p) && p.Domain == s.self.Domain }); p != "" {
		return p
	}
	if p := s.randomPeer(has); p != "" {
		return p
	}
	return s.randomPeer((*member.Peer).Live)
}

// readStoreForManifest reads the store if no peer has sent a newer manifest for long. The nodes
// of a domain take turns.
func (s *State) readStoreForManifest(now time.Time) {
	d := &s.distribution
	if d.behindSince.IsZero() || d.version <= s.manifestVersion() || !s.watch.electionEnabled {
		return
	}
	turn := time.Duration(s.currentRoles().ahead / watchersPerDomain)
	if now.Sub(d.behindSince) < storeReadDelay+turn*storeReadTurn || now.Sub(d.storeReadAt) < storeReadInterval {
		return
	}
	d.storeReadAt = now
	s.effects.StoreRequests = append(s.effects.StoreRequests, &VerifyManifest{})
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

// spreadManifest tells peers that this node has a new manifest, which replaces another one.
func (s *State) spreadManifest(now time.Time, replaced *manifest.Compiled) {
	d := &s.distribution
	d.requestedAt, d.behindSince = time.Time{}, time.Time{}
	d.uploads.keep(replaced)
	if d.version > s.manifestVersion() {
		d.behindSince, d.retryAt = now, now
	}
	if !s.watch.electionEnabled {
		s.self.Revision++ // tells peers of the version; the announcement in the store is not rewritten
		s.syncRandomPeers(now, changeFanout)
		return
	}
	version := s.manifestVersion()
	s.syncPeers(now, changeFanout, func(p *member.Peer) bool { return s.inDomain(p) && p.ManifestVersion < version })
	s.syncPeers(now, 1, func(p *member.Peer) bool { return s.outsideDomain(p) && p.ManifestVersion < version })
}
