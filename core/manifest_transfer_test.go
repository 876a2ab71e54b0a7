package core

import (
	"bytes"
	"testing"
	"time"
)

// largeManifestKeys is the number of keys of a manifest of 1.4 MB, of six chunks.
const largeManifestKeys = 45_000

// TestLargeManifestReachesAllNodes guards against a manifest of many keys that is not in force
// everywhere in time, and against nodes that send it to all peers at once.
func TestLargeManifestReachesAllNodes(t *testing.T) {
	for _, tt := range []struct {
		name               string
		domains, perDomain int
		keys               int
		fault              func(f *electedFleet)
		bound              time.Duration
	}{
		{"no fault", 3, 20, largeManifestKeys, func(*electedFleet) {}, configBound},
		{"one watcher left", 3, 20, largeManifestKeys, func(f *electedFleet) {
			for _, n := range f.watchers()[1:] {
				n.cut = true
			}
		}, configBound},
		{"nodes that get it stop", 3, 20, largeManifestKeys, func(f *electedFleet) {
			f.after(60*time.Millisecond, func() {
				for _, n := range f.watchers() {
					n.dead = n.dead || n.self.Domain == "d0"
				}
			})
		}, 5 * time.Second},
		{"large fleet", 6, 24, 20_000, func(*electedFleet) {}, configBound},
	} {
		t.Run(tt.name, func(t *testing.T) {
			f := newElectedFleet(t, tt.domains, tt.perDomain)
			f.keys = tt.keys
			f.run(6 * time.Second)
			tt.fault(f)
			f.publish(2)
			f.run(tt.bound)
			if n := f.behind(2); n > 0 {
				t.Errorf("%d nodes do not have the manifest after %s", n, tt.bound)
			}
			f.checkUploads()
		})
	}
}

// checkUploads fails the test if a node has had more chunks on their way than it has transfers.
func (f *electedFleet) checkUploads() {
	f.t.Helper()
	for _, n := range f.nodes {
		if n.most > maxUploads {
			f.t.Errorf("%s had %d chunks on their way, want at most %d", n.self.Name, n.most, maxUploads)
		}
	}
}

// TestSeriesOfLargeManifests guards against transfers that never end because a newer manifest
// replaces each one, and against those that are started again with each.
func TestSeriesOfLargeManifests(t *testing.T) {
	const (
		gap      = 330 * time.Millisecond
		versions = 12
	)
	f := newElectedFleet(t, 3, 20)
	f.keys = largeManifestKeys
	f.run(6 * time.Second)
	for version := uint64(2); version < 2+versions; version++ {
		f.publish(version)
		f.after(configBound, func() {
			if n := f.behind(version); n > 0 {
				t.Errorf("%d nodes do not have version %d or a newer one after %s", n, version, configBound)
			}
		})
		f.run(gap)
	}
	f.run(2 * configBound)
	f.checkUploads()
}

// TestRestartedFleetGetsALargeManifest guards against a restart of all nodes after which they
// wait for each other's transfers.
func TestRestartedFleetGetsALargeManifest(t *testing.T) {
	f := newElectedFleet(t, 3, 20)
	f.keys = largeManifestKeys
	f.run(6 * time.Second)
	f.publish(2)
	f.run(3 * time.Second)
	f.restart()
	f.run(configBound)
	if n := f.behind(2); n > 0 {
		t.Errorf("%d nodes do not have the manifest %s after the restart", n, configBound)
	}
}

// transferTest is a node that has heard of version 2 at a peer, and the encoding of that version.
type transferTest struct {
	now      time.Time
	state    *State
	encoding []byte
	checksum uint64
}

func newTransferTest(t *testing.T) *transferTest {
	m := compiled(electedManifest(2, largeManifestKeys))
	x := &transferTest{now: time.Unix(1000, 0), state: New(Settings{Self: testMember(0), RandomSeed: 1}), encoding: m.Encoding(), checksum: m.Checksum()}
	x.state.Step(x.now, &ManifestStored{Manifest: compiled(electedManifest(1, 0))})
	for i := 1; i < 4; i++ {
		p := testMember(i)
		p.ManifestVersion = 1
		x.state.Step(x.now, &MemberStored{Member: p})
	}
	if r := x.request(x.receive("n1", &Confirmation{Version: 2})); r == nil || r.Version != 0 || r.Offset != 0 {
		t.Fatalf("request %+v, want one for the active manifest", r)
	}
	return x
}

func (x *transferTest) receive(from string, m Message) *Effects {
	return x.state.Step(x.now, &MessageReceived{From: from, Body: m})
}

// request returns the request among the effects, or nil.
func (x *transferTest) request(e *Effects) *ManifestRequest {
	for _, m := range e.Envelopes {
		if r, ok := m.Body.(*ManifestRequest); ok {
			return r
		}
	}
	return nil
}

func (x *transferTest) chunk(offset int) *ManifestChunk {
	end := min(offset+manifestChunkBytes, len(x.encoding))
	return &ManifestChunk{Version: 2, Size: len(x.encoding), Checksum: x.checksum, Offset: offset, Data: x.encoding[offset:end]}
}

// TestChunksAreRequestedOneByOne guards against a transfer that is requested anew while it makes
// progress, and against chunks that are put together wrongly.
func TestChunksAreRequestedOneByOne(t *testing.T) {
	x := newTransferTest(t)
	var encoded []byte
	for offset := 0; offset < len(x.encoding); offset += manifestChunkBytes {
		x.now = x.now.Add(chunkTimeout / 2)
		if r := x.request(x.receive("n2", &Confirmation{Version: 3})); r != nil {
			t.Errorf("request %+v while a transfer makes progress", r)
		}
		e := x.receive("n1", x.chunk(offset))
		r := x.request(e)
		encoded = e.EncodedManifest
		next := min(offset+manifestChunkBytes, len(x.encoding))
		if r == nil || r.Version != 2 || r.Offset != next || (encoded != nil) != (next == len(x.encoding)) {
			t.Fatalf("request %+v after the chunk at %d of %d", r, offset, len(x.encoding))
		}
	}
	if !bytes.Equal(encoded, x.encoding) {
		t.Error("the chunks were put together wrongly")
	}
}

// TestTransferIsTakenUpElsewhere guards against a node that waits for a peer that sends no more, or
// that sends what is not asked for.
func TestTransferIsTakenUpElsewhere(t *testing.T) {
	for _, tt := range []struct {
		name string
		fail func(x *transferTest)
		wait time.Duration
	}{
		{"busy", func(x *transferTest) { x.receive("n1", &ManifestBusy{}) }, 2 * busyDelay},
		{"no answer", func(*transferTest) {}, manifestRequestInterval},
		{"no further chunk", func(x *transferTest) { x.receive("n1", x.chunk(0)) }, chunkTimeout},
		{"unreachable", func(x *transferTest) {
			x.receive("n1", x.chunk(0))
			x.state.Step(x.now, &PeerReachability{Name: "n1"})
		}, 0},
		{"chunk out of order", func(x *transferTest) { x.receive("n1", x.chunk(manifestChunkBytes)) }, 0},
		{"too large", func(x *transferTest) {
			c := x.chunk(0)
			c.Size = 1 << 30
			x.receive("n1", c)
		}, 0},
		{"another size", func(x *transferTest) {
			x.receive("n1", x.chunk(0))
			c := x.chunk(manifestChunkBytes)
			c.Size++
			x.receive("n1", c)
		}, 0},
		{"empty chunk", func(x *transferTest) {
			c := x.chunk(0)
			c.Data = nil
			x.receive("n1", c)
		}, 0},
		{"not decoded", func(x *transferTest) {
			x.receive("n1", &ManifestChunk{Version: 2, Size: 1, Data: []byte{9}})
			x.state.Step(x.now, &ManifestDecoded{Error: "malformed"})
		}, manifestRequestInterval},
		{"another version than announced", func(x *transferTest) {
			x.receive("n1", &ManifestChunk{Version: 2, Size: 1, Data: []byte{9}})
			x.state.Step(x.now, &ManifestDecoded{Manifest: compiled(electedManifest(9, 0))})
		}, manifestRequestInterval},
	} {
		t.Run(tt.name, func(t *testing.T) {
			x := newTransferTest(t)
			tt.fail(x)
			x.now = x.now.Add(tt.wait)
			r := x.request(x.state.Step(x.now, &Tick{}))
			if r == nil || r.Version != 0 || r.Offset != 0 || !r.Chunks {
				t.Errorf("request %+v, want one for the active manifest", r)
			}
			if v := x.state.manifestVersion(); v != 1 {
				t.Errorf("version %d is active, want 1", v)
			}
		})
	}
}

// answer returns the answer to a request for the manifest, nil if there is none.
func (x *transferTest) answer(from string, r *ManifestRequest) Message {
	for _, m := range x.receive(from, r).Envelopes {
		switch m.Body.(type) {
		case *ManifestChunk, *ManifestBusy, *ManifestResponse:
			return m.Body
		}
	}
	return nil
}

// checkChunk fails the test if a request is not answered with a chunk of a version.
func (x *transferTest) checkChunk(t *testing.T, from string, r *ManifestRequest, version uint64, offset int) {
	t.Helper()
	m := x.answer(from, r)
	if c, ok := m.(*ManifestChunk); !ok || c.Version != version || c.Offset != offset || len(c.Data) > manifestChunkBytes {
		t.Errorf("%s got %T, want the chunk of version %d at %d", from, m, version, offset)
	}
}

var firstChunk = &ManifestRequest{Chunks: true}

// TestTransfersToPeersAreLimited guards against a node that sends a large manifest to all peers at
// once, or to one that cannot read it.
func TestTransfersToPeersAreLimited(t *testing.T) {
	x := newTransferTest(t)
	x.state.Step(x.now, &ManifestStored{Manifest: compiled(electedManifest(2, largeManifestKeys))})
	x.checkChunk(t, "n1", firstChunk, 2, 0)
	x.checkChunk(t, "n2", firstChunk, 2, 0)
	if m, busy := x.answer("n3", firstChunk).(*ManifestBusy); !busy {
		t.Errorf("a third peer got %T, want %T", m, &ManifestBusy{})
	}
	if m := x.answer("n3", &ManifestRequest{}); m != nil {
		t.Errorf("a peer that does not understand chunks got %T of a large manifest", m)
	}
	if m := x.answer("n2", &ManifestRequest{Chunks: true, Version: 2, Offset: len(x.encoding)}); m != nil {
		t.Errorf("a peer that has all got %T", m)
	}
	x.checkChunk(t, "n3", firstChunk, 2, 0)
}

// TestReplacedManifestIsSentToItsEnd guards against transfers that start from the beginning with
// each new manifest, and against a node that keeps replaced manifests for good.
func TestReplacedManifestIsSentToItsEnd(t *testing.T) {
	x := newTransferTest(t)
	x.state.Step(x.now, &ManifestStored{Manifest: compiled(electedManifest(2, largeManifestKeys))})
	x.checkChunk(t, "n1", firstChunk, 2, 0)
	x.state.Step(x.now, &ManifestStored{Manifest: compiled(electedManifest(3, largeManifestKeys))})
	next := &ManifestRequest{Chunks: true, Version: 2, Offset: manifestChunkBytes}
	x.checkChunk(t, "n1", next, 2, manifestChunkBytes)
	x.now = x.now.Add(uploadIdleTime)
	x.state.Step(x.now, &Tick{})
	if x.state.distribution.uploads.replaced != nil {
		t.Error("a replaced manifest is kept although nobody asks for it")
	}
	x.checkChunk(t, "n1", next, 3, 0)
}

// TestSmallManifestIsSentToEarlierVersions guards against a node of an earlier version that gets
// no manifest from the others while the fleet is updated.
func TestSmallManifestIsSentToEarlierVersions(t *testing.T) {
	x := newTransferTest(t)
	v := electedManifest(2, 3)
	x.state.Step(x.now, &ManifestStored{Manifest: compiled(v)})
	m, ok := x.answer("n1", &ManifestRequest{}).(*ManifestResponse)
	if !ok {
		t.Fatalf("got %T, want %T", m, &ManifestResponse{})
	}
	other := New(Settings{Self: testMember(2), RandomSeed: 1})
	other.Step(x.now, &MessageReceived{From: "n0", Body: m})
	if d := v.Manifest.Workspaces[0].Keys[1].Digest; other.manifestVersion() != 2 || !other.manifest.source.HasKey(d) {
		t.Errorf("the peer has version %d without its keys, want 2", other.manifestVersion())
	}
}
