package core

import (
	"time"

	"celeryshelf/core/manifest"
)

const (
	// manifestChunkBytes bounds the part of a manifest in one message. A message is in memory
	// several times while it is encoded or decoded.
	manifestChunkBytes = 256 << 10
	// maxUploads is the number of peers that a node sends a manifest of several chunks to at the
	// same time. Those that have it send it on.
	maxUploads = 2
	// uploadIdleTime is the time without a request after which a peer counts as gone.
	uploadIdleTime = 500 * time.Millisecond
)

// download is the transfer of a manifest from a peer. The zero value is no transfer.
type download struct {
	from         string
	version      uint64 // 0 before the first chunk
	size         int
	checksum     uint64
	data         []byte
	waitingSince time.Time // for the next chunk
	decoding     bool      // all chunks have arrived
}

func (d *download) active() bool { return d.from != "" }

// accepts reports whether a chunk is the next one of the transfer.
func (d *download) accepts(m *ManifestChunk) bool {
	if d.version == 0 {
		return m.Offset == 0 && m.Version != 0 && m.Size > 0 && m.Size <= manifest.MaxEncodingBytes && len(m.Data) > 0 && len(m.Data) <= m.Size
	}
	return m.Version == d.version && m.Size == d.size && m.Checksum == d.checksum &&
		m.Offset == len(d.data) && len(m.Data) > 0 && len(m.Data) <= d.size-m.Offset
}

// add adds a chunk that is accepted and reports whether it is the last one.
func (d *download) add(now time.Time, m *ManifestChunk) bool {
	if d.version == 0 {
		d.version, d.size, d.checksum = m.Version, m.Size, m.Checksum
	}
	switch {
	case len(m.Data) == d.size:
		d.data = m.Data
	case d.data == nil:
		d.data = append(make([]byte, 0, d.size), m.Data...)
	default:
		d.data = append(d.data, m.Data...)
	}
	d.waitingSince = now
	d.decoding = len(d.data) == d.size
	return d.decoding
}

// handleManifestChunk adds a chunk to the transfer and requests the next one. A request for the
// end of a transfer of several chunks completes it.
func (s *State) handleManifestChunk(now time.Time, from string, m *ManifestChunk) {
	d := &s.distribution.download
	if from != d.from || d.decoding {
		return // of a transfer that was given up
	}
	if m.Version <= s.manifestVersion() {
		s.giveUpDownload(now)
		return
	}
	if !d.accepts(m) {
		s.addNotice(Notice{Kind: NoticeMessageRejected, Peer: from, Detail: "chunk of a manifest does not follow the one before"})
		s.giveUpDownload(now)
		return
	}
	if d.add(now, m) {
		s.effects.EncodedManifest = d.data
	}
	if len(m.Data) == d.size {
		return // the peer sends nothing more
	}
	s.send(from, &ManifestRequest{Uptime: now.Sub(s.started), Chunks: true, Version: d.version, Offset: len(d.data)})
}

// handleManifestResponse applies a whole manifest, as a node of an earlier version sends it.
func (s *State) handleManifestResponse(now time.Time, from string, m *ManifestResponse) {
	if d := &s.distribution.download; from == d.from && !d.decoding {
		s.distribution.download = download{}
	}
	if m.Manifest.Version <= s.manifestVersion() {
		return
	}
	c, err := manifest.Compile(m.Manifest)
	if err != nil {
		s.addNotice(Notice{Kind: NoticeManifestRejected, Peer: from, Version: m.Manifest.Version, Detail: manifest.Summary(err)})
		return
	}
	s.applyManifest(now, c)
}

// handleManifestDecoded ends a transfer.
func (s *State) handleManifestDecoded(now time.Time, e *ManifestDecoded) {
	d := s.distribution.download
	s.distribution.download = download{}
	if e.Manifest != nil && e.Manifest.Version == d.version && e.Manifest.Checksum() == d.checksum {
		s.applyManifest(now, e.Manifest)
		return
	}
	detail := e.Error
	if e.Manifest != nil {
		detail = "version or checksum differs from that of the chunks"
	}
	s.addNotice(Notice{Kind: NoticeManifestRejected, Peer: d.from, Version: d.version, Detail: detail})
	s.distribution.retryAt = now.Add(manifestRequestInterval)
}

// handleManifestBusy asks again later, and perhaps another peer.
func (s *State) handleManifestBusy(now time.Time, from string) {
	if d := &s.distribution; from == d.download.from {
		d.download = download{}
		d.retryAt = now.Add(s.jitter(busyDelay))
	}
}

// giveUpDownload ends a transfer whose peer does not send what is expected, and lets the node ask
// another one.
func (s *State) giveUpDownload(now time.Time) {
	s.distribution.download = download{}
	s.distribution.retryAt = now
}

// expireDownload gives up a transfer in which no chunk has arrived in time.
func (s *State) expireDownload(now time.Time) {
	d := &s.distribution.download
	if !d.active() || d.decoding {
		return
	}
	limit := manifestRequestInterval
	switch {
	case d.version != 0:
		limit = chunkTimeout
	case s.manifest == nil:
		limit = startRequestInterval
	}
	if now.Sub(d.waitingSince) >= limit {
		s.giveUpDownload(now)
	}
}

// uploads holds the transfers of a manifest of several chunks to peers.
type uploads struct {
	requestedAt map[string]time.Time // by peer: when it last asked for a chunk
	replaced    *manifest.Compiled   // the manifest before the active one, while a peer may ask for more of it
}

// admit reports whether a peer may ask for a chunk, and records its request. A peer whose
// transfer has begun always may.
func (u *uploads) admit(now time.Time, peer string) bool {
	if _, active := u.requestedAt[peer]; !active && len(u.requestedAt) >= maxUploads {
		return false
	}
	if u.requestedAt == nil {
		u.requestedAt = map[string]time.Time{}
	}
	u.requestedAt[peer] = now
	return true
}

// expire forgets the peers that ask no more, and the replaced manifest if there is none left.
func (u *uploads) expire(now time.Time) {
	for peer, at := range u.requestedAt {
		if now.Sub(at) >= uploadIdleTime {
			delete(u.requestedAt, peer)
		}
	}
	if len(u.requestedAt) == 0 {
		u.replaced = nil
	}
}

// keep keeps a manifest that has been replaced while it is sent to peers: in a series of changes
// no transfer would end otherwise.
func (u *uploads) keep(replaced *manifest.Compiled) {
	if len(u.requestedAt) > 0 {
		u.replaced = replaced
	}
}

// handleManifestRequest answers with a chunk of the manifest, or that there is no room for
// another transfer. A Confirmation follows when the peer has all of it.
func (s *State) handleManifestRequest(now time.Time, from string, m *ManifestRequest) {
	if s.manifest == nil {
		if m.Chunks {
			s.send(from, &ManifestBusy{})
		}
		return
	}
	u := &s.distribution.uploads
	source, offset := s.uploadSource(m)
	encoding := source.Encoding()
	if offset == len(encoding) {
		delete(u.requestedAt, from)
		s.sendConfirmation(now, from, m.Uptime)
		return
	}
	whole := len(encoding) <= manifestChunkBytes
	switch {
	case !m.Chunks && !whole:
		return // a node of an earlier version can't read it
	case !m.Chunks:
		s.send(from, &ManifestResponse{Manifest: source.Expand()})
	case !whole && !u.admit(now, from):
		s.send(from, &ManifestBusy{})
	default:
		end := min(offset+manifestChunkBytes, len(encoding))
		s.send(from, &ManifestChunk{Version: source.Version, Size: len(encoding), Checksum: source.Checksum(), Offset: offset, Data: encoding[offset:end]})
	}
	if whole {
		s.sendConfirmation(now, from, m.Uptime)
	}
}

// uploadSource returns the manifest that a peer asks for, and from where. It is the active one
// from its start unless the version that the peer has begun with is still kept.
func (s *State) uploadSource(m *ManifestRequest) (source *manifest.Compiled, offset int) {
	for _, c := range [...]*manifest.Compiled{s.manifest.source, s.distribution.uploads.replaced} {
		if c != nil && c.Version == m.Version && m.Offset > 0 && m.Offset <= len(c.Encoding()) {
			return c, m.Offset
		}
	}
	return s.manifest.source, 0
}
