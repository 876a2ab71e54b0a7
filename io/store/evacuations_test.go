package store

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"celeryshelf/core"
	"celeryshelf/core/manifest"
)

// opDecoder decodes the keys "ops/evacuate/DOMAIN" and any manifest.
type opDecoder struct{}

func (opDecoder) DecodeManifest([]byte) (manifest.Versioned, error) {
	return manifest.Versioned{Version: 3}, nil
}

func (opDecoder) DecodeEvacuation(key string) (string, error) {
	domain, ok := strings.CutPrefix(key, "ops/evacuate/")
	switch {
	case !ok:
		return "", nil
	case domain == "":
		return "", errors.New("no domain")
	}
	return domain, nil
}

// opClient is a store with the operators' keys. Its watch reports the changes and then breaks.
type opClient struct {
	Client
	pairs    []KeyValue
	revision int64
	changes  []Change // of the revisions after the read
	calls    []string
}

func (c *opClient) Get(_ context.Context, key string) (*KeyValue, error) {
	c.calls = append(c.calls, "get "+key)
	for _, p := range c.pairs {
		if p.Key == key {
			return &p, nil
		}
	}
	return nil, nil
}

func (c *opClient) Range(_ context.Context, prefix string) ([]KeyValue, int64, error) {
	c.calls = append(c.calls, "range "+prefix)
	var out []KeyValue
	for _, p := range c.pairs {
		if strings.HasPrefix(p.Key, prefix) {
			out = append(out, p)
		}
	}
	return out, c.revision, nil
}

func (c *opClient) Watch(_ context.Context, prefix string, start int64, _ time.Duration, report func(Change, int64)) error {
	c.calls = append(c.calls, "watch "+prefix)
	for i, change := range c.changes {
		report(change, start+int64(i))
	}
	return errors.New("history is lost")
}

func newOpSession(c *opClient, enabled bool) (*Session, *eventRecorder, *warningCounter) {
	l := Layout{Prefix: "shelf/", ManifestKey: "ops/manifest", Decoder: opDecoder{}}
	if enabled {
		l.Evacuations, l.OperatorPrefix = opDecoder{}, "ops/"
	}
	warnings, seen := &warningCounter{}, &eventRecorder{}
	s := NewSession(Config{Client: c, Layout: l, NodeName: "n0", LeaseTTL: time.Second, Logger: warnings, Clock: systemClock{}})
	s.SetSink(seen)
	return s, seen, warnings
}

// sets returns the reported sets as "REVISION:DOMAINS", with "!" after those that a read confirms.
func (e *eventRecorder) sets() []string {
	var out []string
	for _, v := range *e {
		if v, ok := v.(*core.EvacuationsStored); ok {
			text := fmt.Sprintf("%d:", v.Set.Revision)
			for _, d := range v.Set.Domains {
				text += d.Name
			}
			if !v.At.IsZero() {
				text += "!"
			}
			out = append(out, text)
		}
	}
	return out
}

// readAndWatch reads the operators' keys and follows the watch until it breaks.
func readAndWatch(t *testing.T, s *Session) {
	t.Helper()
	revision, err := s.loadOperatorKeys(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	s.watch(t.Context(), s.Layout.operatorPrefix(), revision)
}

// TestEvacuationsFollowTheStore guards against an evacuation or its end that the watch reports
// and the node misses, and against a deletion that no watch reports because the store has lost
// that part of its history.
func TestEvacuationsFollowTheStore(t *testing.T) {
	config := KeyValue{Key: "ops/manifest", Value: []byte("{}"), Revision: 2}
	c := &opClient{revision: 5, pairs: []KeyValue{config, {Key: "ops/evacuate/a", Value: []byte("{}"), Revision: 4}, {Key: "ops/evacuate/", Revision: 5}}}
	s, seen, warnings := newOpSession(c, true)
	c.changes = []Change{
		{Key: "ops/evacuate/b", Value: []byte("odd")}, {Key: "ops/other"}, {Key: "ops/evacuate/a", Deleted: true}, {Key: "ops/evacuate/a", Value: []byte("{}")},
		{Key: "ops/evacuate/"},
	}
	readAndWatch(t, s)
	c.pairs, c.revision, c.changes = []KeyValue{config}, 20, nil
	readAndWatch(t, s)
	if err := s.confirmManifest(t.Context()); err != nil {
		t.Fatal(err)
	}
	if got, want := seen.sets(), []string{"5:a!", "6:ab", "8:b", "9:ab", "20:!", "20:!"}; !slices.Equal(got, want) {
		t.Errorf("sets are %q, want %q", got, want)
	}
	if warnings.count != 3 { // one for the malformed key, two for the broken watches
		t.Errorf("%d warnings, want 3", warnings.count)
	}
	confirmed := 0
	for _, e := range *seen {
		if e, ok := e.(*core.ManifestConfirmed); ok && e.Version == 3 {
			confirmed++
		}
	}
	if confirmed != 3 {
		t.Errorf("the manifest was confirmed %d times, want 3", confirmed)
	}
}

// TestEvacuationsCostNoStoreCalls guards against reads and watches that are added for evacuated
// domains, and against any change of the calls where domains cannot be evacuated.
func TestEvacuationsCostNoStoreCalls(t *testing.T) {
	for _, tt := range []struct {
		enabled bool
		want    []string
	}{
		{false, []string{"range ops/manifest", "watch ops/manifest", "get ops/manifest"}},
		{true, []string{"range ops/", "watch ops/", "range ops/"}},
	} {
		c := &opClient{revision: 5, pairs: []KeyValue{{Key: "ops/manifest", Value: []byte("{}"), Revision: 2}, {Key: "ops/evacuate/a", Revision: 4}}}
		s, seen, _ := newOpSession(c, tt.enabled)
		readAndWatch(t, s)
		if err := s.confirmManifest(t.Context()); err != nil {
			t.Fatal(err)
		}
		if !slices.Equal(c.calls, tt.want) {
			t.Errorf("enabled %v: calls are %q, want %q", tt.enabled, c.calls, tt.want)
		}
		if sets := seen.sets(); !tt.enabled && len(sets) > 0 {
			t.Errorf("sets %q are reported although domains cannot be evacuated", sets)
		}
	}
}
