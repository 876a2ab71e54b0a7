package store

import (
	"context"
	"fmt"
	"time"

	"celeryshelf/core"
	"celeryshelf/core/evacuation"
)

// EvacuationDecoder decodes the keys with which the operators evacuate failure domains.
type EvacuationDecoder interface {
	// DecodeEvacuation returns the domain that a key evacuates while it exists, whatever its
	// value. It returns "" for a key of another kind.
	DecodeEvacuation(key string) (domain string, err error)
}

// evacuationView holds the evacuated domains, each with the revision of the last write of its
// key, as one read and the changes after it show them.
type evacuationView map[string]uint64

// newEvacuationView returns the evacuated domains among pairs that were read.
func (s *Session) newEvacuationView(pairs []KeyValue) evacuationView {
	view := evacuationView{}
	for _, p := range pairs {
		if domain := s.evacuatedDomain(Change{Key: p.Key, Value: p.Value}); domain != "" {
			view[domain] = uint64(p.Revision)
		}
	}
	return view
}

// evacuatedDomain returns the domain that a key evacuates, "" for any other key and for one
// that is malformed, which it logs.
func (s *Session) evacuatedDomain(c Change) string {
	domain, err := s.Layout.Evacuations.DecodeEvacuation(c.Key)
	if err != nil {
		s.warnEntry(Change{Key: c.Key}, err) // once for each key, whatever its value
		return ""
	}
	return domain
}

// reportOperatorKeys reports the manifest and the evacuated domains, which were all read after
// the given time, and returns the latter.
func (s *Session) reportOperatorKeys(pairs []KeyValue, revision int64, at time.Time) evacuationView {
	for _, p := range pairs {
		if p.Key == s.Layout.ManifestKey {
			s.reportManifest(p, at)
		}
	}
	if s.Layout.Evacuations == nil {
		return nil
	}
	view := s.newEvacuationView(pairs)
	s.sink.Post(&core.EvacuationsStored{Set: evacuation.NewSet(uint64(revision), view), At: at})
	return view
}

// reportEvacuation reports the evacuated domains after a change that the watch has seen. A set
// holds all changes up to its revision, as the watch reports them in order and each write of
// the operators has a revision of its own.
func (s *Session) reportEvacuation(c Change, revision int64) {
	if s.Layout.Evacuations == nil {
		return
	}
	domain := s.evacuatedDomain(c)
	if domain == "" {
		return
	}
	if c.Deleted {
		delete(s.evacuations, domain)
	} else {
		s.evacuations[domain] = uint64(revision)
	}
	s.sink.Post(&core.EvacuationsStored{Set: evacuation.NewSet(uint64(revision), s.evacuations)})
}

// confirmOperatorKeys reads the newest manifest together with the evacuated domains, in the one
// call that the manifest alone needs.
func (s *Session) confirmOperatorKeys(ctx context.Context) error {
	start := s.Clock.Now()
	pairs, revision, err := s.Client.Range(ctx, s.Layout.operatorPrefix())
	if err != nil {
		return fmt.Errorf("confirm operators' keys: %w", err)
	}
	s.reportOperatorKeys(pairs, revision, start)
	return nil
}
