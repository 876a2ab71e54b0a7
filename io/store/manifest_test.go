package store

import (
	"errors"
	"reflect"
	"testing"

	"celeryshelf/core"
	"celeryshelf/core/manifest"
)

// countingDecoder returns manifests of version 1, 2 and so on. The second is not valid, the third
// cannot be decoded.
type countingDecoder struct{ calls int }

func (d *countingDecoder) DecodeManifest([]byte) (manifest.Versioned, error) {
	d.calls++
	v := manifest.Versioned{Version: uint64(d.calls)}
	switch d.calls {
	case 2:
		v.Manifest.RetryBudget = -1
	case 3:
		return v, errors.New("malformed")
	}
	return v, nil
}

// TestKnownManifestIsNotDecodedAgain guards against a node that decodes and reports a large
// manifest with each read that confirms it, and against one that misses a change.
func TestKnownManifestIsNotDecodedAgain(t *testing.T) {
	d := &countingDecoder{}
	s, seen, _ := newEraSession(t, &claimClient{})
	s.Logger = discardWarnings{}
	s.Layout.Decoder = d
	read := func(revision int64) (reported []string) {
		*seen = nil
		s.reportManifest(KeyValue{Key: s.Layout.ManifestKey, Value: []byte("{}"), Revision: revision}, s.Clock.Now())
		for _, e := range *seen {
			reported = append(reported, reflect.TypeOf(e).Elem().Name())
		}
		return reported
	}
	for i, tt := range []struct {
		revision int64
		reported []string
		calls    int
	}{
		{5, []string{"ManifestStored", "ManifestConfirmed"}, 1},
		{5, []string{"ManifestConfirmed"}, 1},
		{6, []string{"ManifestRejected", "ManifestConfirmed"}, 2},
		{6, []string{"ManifestConfirmed"}, 2},
		{7, nil, 3},
		{7, []string{"ManifestStored", "ManifestConfirmed"}, 4},
	} {
		if got := read(tt.revision); !reflect.DeepEqual(got, tt.reported) || d.calls != tt.calls {
			t.Errorf("read %d at revision %d reported %v after %d calls of the decoder, want %v and %d", i, tt.revision, got, d.calls, tt.reported, tt.calls)
		}
	}
	s.handleEra(2)
	if got := read(7); len(got) != 2 {
		t.Errorf("a read at the same revision of the next era reported %v, want the manifest", got)
	}
	if c, ok := (*seen)[1].(*core.ManifestConfirmed); !ok || c.Version != 5 {
		t.Errorf("confirmed %+v, want version 5", (*seen)[1])
	}
}
