package store

import (
	"sync"
	"time"

	"celeryshelf/core"
)

// knownManifest is the manifest that a read has last reported. The newest manifest is read about
// once a second to confirm it, and most of the cost of a large one is to decode and compile it.
type knownManifest struct {
	mu       sync.Mutex
	revision int64 // of the key, 0 if none is known
	version  uint64
}

// versionAt returns the version of the manifest that was reported with a revision, and whether
// that revision is the last one.
func (k *knownManifest) versionAt(revision int64) (version uint64, known bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.version, k.revision != 0 && k.revision == revision
}

// set records a manifest that has been reported, or none.
func (k *knownManifest) set(revision int64, version uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.revision, k.version = revision, version
}

// reportManifest reports a manifest that was read, unless that was done before, and confirms its
// version as the newest at the given time, which precedes the read.
func (s *Session) reportManifest(p KeyValue, at time.Time) {
	version, known := s.known.versionAt(p.Revision)
	if !known {
		e := s.decode(Change{Key: p.Key, Value: p.Value})
		switch e := e.(type) {
		case *core.ManifestStored:
			version = e.Manifest.Version
		case *core.ManifestRejected:
			version = e.Version
		default:
			return // logged
		}
		s.sink.Post(e)
		s.known.set(p.Revision, version)
	}
	s.sink.Post(&core.ManifestConfirmed{Version: version, At: at})
}
