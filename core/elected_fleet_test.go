package core

import (
	"bytes"
	"container/heap"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"celeryshelf/core/evacuation"
	"celeryshelf/core/manifest"
	"celeryshelf/core/member"
	"celeryshelf/core/quota"
)

// electedFleet simulates nodes that elect watchers: a store that answers only calls and
// watches, and messages between the nodes. It counts the calls.
type electedFleet struct {
	t        *testing.T
	now      time.Time
	queue    simQueue
	order    int
	random   *rand.Rand
	nodes    []*electedNode
	byName   map[string]*electedNode
	stored   *manifest.Compiled
	keys     int                    // of each manifest that is published
	records  map[quota.Shard]string // owner
	away     bool                   // the store answers nobody
	verifies int
	claims   int
	messages int

	evacuation time.Duration     // Settings.Evacuation of all nodes
	revision   uint64            // of the store
	evacuated  map[string]uint64 // by domain: revision of its key
}

type electedNode struct {
	*State
	watching bool
	cut      bool // cut off from the store
	isolated bool // cut off from the store and from all peers
	dead     bool
	sendsAt  time.Time // when it has sent the chunks before
	chunks   int       // of large manifests that are on their way from it
	most     int       // largest number of them
}

const (
	electedHop       = 2 * time.Millisecond
	electedStoreTime = 4 * time.Millisecond
	electedStaleness = 3800 * time.Millisecond
	// electedChunkTime is the time in which a node sends a chunk: 350 KB in JSON over 1000 Mbit/s,
	// and the processor time for it. electedDecodeTime is that for a manifest of 1.5 MB.
	electedChunkTime  = 10 * time.Millisecond
	electedDecodeTime = 100 * time.Millisecond
)

// electedManifest returns a manifest with a number of keys.
func electedManifest(version uint64, keys int) manifest.Versioned {
	v := testManifest(20, 40)
	v.Version = version
	v.ApplyID = fmt.Sprint("r", version)
	for i := range 12 {
		v.Manifest.Workspaces = append(v.Manifest.Workspaces, manifest.Workspace{Name: fmt.Sprint("w", i), Rate: 10, Burst: 10})
	}
	w := &v.Manifest.Workspaces[0]
	for i := range keys {
		var d manifest.Digest
		binary.BigEndian.PutUint64(d[:], uint64(i)+version<<32)
		w.Keys = append(w.Keys, manifest.Key{Name: fmt.Sprint("k", i), Digest: d})
	}
	return v
}

func newElectedFleet(t *testing.T, domains, perDomain int) *electedFleet {
	return newEvacuationFleet(t, domains, perDomain, 0)
}

// newEvacuationFleet returns a fleet in which domains can be evacuated if the bound is not 0.
func newEvacuationFleet(t *testing.T, domains, perDomain int, bound time.Duration) *electedFleet {
	f := &electedFleet{
		evacuation: bound, revision: 1, evacuated: map[string]uint64{},

		t: t, now: time.Unix(1000, 0), random: rand.New(rand.NewPCG(3, 4)), byName: map[string]*electedNode{},
		stored: compiled(electedManifest(1, 0)), records: map[quota.Shard]string{},
	}
	var members []member.Member
	for i := range domains * perDomain {
		ip := netip.AddrFrom4([4]byte{127, 0, byte(i / 200), byte(i%200 + 1)})
		members = append(members, member.Member{
			Name: fmt.Sprintf("d%d-%d", i%domains, i), Service: "maps", Domain: fmt.Sprint("d", i%domains),
			NodeAddr: netip.AddrPortFrom(ip, 1), ControlAddr: netip.AddrPortFrom(ip, 2), Incarnation: 1, Revision: 1,
		})
	}
	for i, m := range members {
		n := f.newNode(m, uint64(i))
		f.nodes = append(f.nodes, n)
		f.byName[m.Name] = n
		f.start(n, members)
	}
	return f
}

func (f *electedFleet) newNode(self member.Member, seed uint64) *electedNode {
	return &electedNode{State: New(Settings{
		Self: self, RandomSeed: seed, PlannedAdmission: true, ElectWatchers: true, MaxStaleness: electedStaleness, Evacuation: f.evacuation,
	})}
}

// start lets a node begin its work at a random time within 300 ms.
func (f *electedFleet) start(n *electedNode, members []member.Member) {
	f.after(time.Duration(f.random.IntN(300))*time.Millisecond, func() {
		f.step(n, &LeaseHeld{Until: f.now.Add(time.Hour)})
		f.step(n, &MembersStored{Members: members})
		f.tick(n)
	})
}

// restart replaces all processes at once. The store keeps the records of the earlier ones.
func (f *electedFleet) restart() {
	var members []member.Member
	for _, n := range f.nodes {
		members = append(members, n.self)
	}
	for i, old := range f.nodes {
		self := old.self
		self.Incarnation, self.Revision, self.ManifestVersion = self.Incarnation+1, 1, 0
		old.dead = true
		n := f.newNode(self, uint64(i+1000))
		f.nodes[i], f.byName[self.Name] = n, n
		f.start(n, members)
	}
}

func (f *electedFleet) after(d time.Duration, run func()) {
	f.order++
	heap.Push(&f.queue, simEvent{at: f.now.Add(d), order: f.order, run: run})
}

func (f *electedFleet) tick(n *electedNode) {
	if n.dead {
		return
	}
	f.step(n, &Tick{})
	f.after(n.NextTickDelay(f.now), func() { f.tick(n) })
}

func (f *electedFleet) run(d time.Duration) {
	end := f.now.Add(d)
	for len(f.queue) > 0 && !f.queue[0].at.After(end) {
		e := heap.Pop(&f.queue).(simEvent)
		f.now = e.at
		e.run()
	}
	f.now = end
}

func (f *electedFleet) step(n *electedNode, e Event) {
	if n.dead {
		return
	}
	effects := n.Step(f.now, e)
	if encoding := effects.EncodedManifest; encoding != nil {
		f.after(electedDecodeTime*time.Duration(len(encoding))/(3<<19), func() {
			f.step(n, &ManifestDecoded{Manifest: f.decode(encoding)})
		})
	}
	for _, m := range effects.Envelopes {
		f.messages++
		to := f.byName[m.To]
		from, body := n.self.Name, m.Body
		f.after(f.sendTime(n, body), func() {
			if c, ok := body.(*ManifestChunk); ok && c.Size > manifestChunkBytes {
				n.chunks--
			}
			lost := n.isolated || to.isolated
			if !lost {
				f.step(to, &MessageReceived{From: from, Body: body})
			}
			f.step(n, &PeerReachability{Name: to.self.Name, Reachable: !to.dead && !lost})
		})
	}
	for _, r := range effects.StoreRequests {
		f.request(n, r)
	}
}

// decode decodes a manifest, unless it is the one in the store: that would take most of the time
// of the test.
func (f *electedFleet) decode(encoding []byte) *manifest.Compiled {
	if bytes.Equal(encoding, f.stored.Encoding()) {
		return f.stored
	}
	m, err := manifest.Decode(encoding)
	if err != nil {
		f.t.Fatal(err)
	}
	return m
}

// sendTime returns the time until a message arrives. A node sends one chunk after the other.
func (f *electedFleet) sendTime(n *electedNode, m Message) time.Duration {
	c, ok := m.(*ManifestChunk)
	if !ok {
		return electedHop
	}
	if c.Size > manifestChunkBytes {
		n.chunks++
		n.most = max(n.most, n.chunks)
	}
	if n.sendsAt.Before(f.now) {
		n.sendsAt = f.now
	}
	n.sendsAt = n.sendsAt.Add(electedChunkTime * time.Duration(len(c.Data)) / manifestChunkBytes)
	return n.sendsAt.Sub(f.now) + electedHop
}

func (f *electedFleet) reaches(n *electedNode) bool {
	return !f.away && !n.cut && !n.dead && !n.isolated
}

func (f *electedFleet) request(n *electedNode, r StoreRequest) {
	switch r := r.(type) {
	case *VerifyManifest:
		f.verifies++
		asked := f.now
		f.after(electedStoreTime, func() { f.readManifest(n, asked) })
	case *SetWatch:
		n.watching = r.Enabled
		if r.Enabled {
			f.after(electedStoreTime, func() { f.readManifest(n, f.now) })
			f.after(electedStoreTime, func() { f.readRecords(n) })
		}
	case *ClaimShard:
		f.claims++
		f.after(electedStoreTime, func() { f.claim(n, r) })
	}
}

func (f *electedFleet) readManifest(n *electedNode, at time.Time) {
	if f.reaches(n) {
		f.step(n, &ManifestStored{Manifest: f.stored})
		f.step(n, &ManifestConfirmed{Version: f.stored.Version, At: at})
		if f.evacuation > 0 {
			f.step(n, &EvacuationsStored{Set: evacuation.NewSet(f.revision, f.evacuated), At: at})
		}
	}
}

func (f *electedFleet) readRecords(n *electedNode) {
	if !f.reaches(n) {
		return
	}
	e := &StoreSnapshot{}
	for shard, owner := range f.records {
		e.Shards = append(e.Shards, ShardRecord{Shard: shard, Owner: owner})
	}
	f.step(n, e)
}

func (f *electedFleet) claim(n *electedNode, r *ClaimShard) {
	if owner, taken := f.records[r.Shard]; taken && owner != n.self.Name || !f.reaches(n) {
		return
	}
	f.records[r.Shard] = n.self.Name
	f.step(n, &ClaimDone{Shard: r.Shard, Held: true})
	f.watchEvent(&ShardStored{ShardRecord{Shard: r.Shard, Owner: n.self.Name}})
}

func (f *electedFleet) watchEvent(e Event) {
	for _, n := range f.nodes {
		if n.watching {
			f.after(electedStoreTime, func() {
				if f.reaches(n) {
					f.step(n, e)
				}
			})
		}
	}
}

// publish writes a manifest to the store, whose watch tells the watchers of it.
func (f *electedFleet) publish(version uint64) {
	f.stored = compiled(electedManifest(version, f.keys))
	f.watchEvent(&ManifestStored{Manifest: f.stored})
}

// behind returns the number of live nodes without the version.
func (f *electedFleet) behind(version uint64) int {
	count := 0
	for _, n := range f.nodes {
		if !n.dead && n.manifestVersion() < version {
			count++
		}
	}
	return count
}

func (f *electedFleet) watchers() []*electedNode {
	var out []*electedNode
	for _, n := range f.nodes {
		if n.watching && !n.dead {
			out = append(out, n)
		}
	}
	return out
}

// checkConfirmed fails the test if the manifest of a node was confirmed so long ago that keys
// are refused.
func (f *electedFleet) checkConfirmed() {
	f.t.Helper()
	for _, n := range f.nodes {
		if age := f.now.Sub(n.manifestConfirmedAt); age > electedStaleness {
			f.t.Fatalf("the manifest of %s was last confirmed %s ago", n.self.Name, age)
		}
	}
}
