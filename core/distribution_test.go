package core

import (
	"testing"
	"time"

	"celeryshelf/core/quota"
)

// configBound is the time within which a manifest must be in force everywhere.
const configBound = 2 * time.Second

// TestManifestReachesNodesThatDoNotWatch guards against a manifest that a node gets too late,
// because its domain's watchers, or all but one node, do not hear of it from the store.
func TestManifestReachesNodesThatDoNotWatch(t *testing.T) {
	for _, tt := range []struct {
		name  string
		fault func(f *electedFleet)
		bound time.Duration
	}{
		{"no fault", func(*electedFleet) {}, configBound},
		{"watchers of one domain cut off from the store", func(f *electedFleet) {
			for _, n := range f.watchers() {
				n.cut = n.cut || n.self.Domain == "d0"
			}
		}, configBound},
		{"one watcher left", func(f *electedFleet) {
			for _, n := range f.watchers()[1:] {
				n.cut = true
			}
		}, configBound},
		{"all watchers stopped at once", func(f *electedFleet) {
			for _, n := range f.watchers() {
				n.dead = true
			}
		}, 5 * time.Second},
		{"all watchers cut off from the store", func(f *electedFleet) {
			for _, n := range f.watchers() {
				n.cut = true
			}
		}, 5 * time.Second},
	} {
		t.Run(tt.name, func(t *testing.T) {
			f := newElectedFleet(t, 4, 14)
			f.run(6 * time.Second)
			if n := f.behind(1); n > 0 {
				t.Fatalf("%d nodes have no manifest 6 s after the start", n)
			}
			if got := len(f.watchers()); got != 4*watchersPerDomain {
				t.Errorf("%d nodes watch, want %d", got, 4*watchersPerDomain)
			}
			tt.fault(f)
			f.publish(2)
			f.run(tt.bound)
			if n := f.behind(2); n > 0 {
				t.Errorf("%d nodes do not have the manifest after %s", n, tt.bound)
			}
		})
	}
}

// TestConfirmationsDoNotMultiplyStoreCalls guards against keys that are refused because the
// proof of the newest manifest does not reach a node, and against store calls that grow with
// the fleet, in an outage above all.
func TestConfirmationsDoNotMultiplyStoreCalls(t *testing.T) {
	f := newElectedFleet(t, 4, 14)
	f.run(8 * time.Second)
	f.verifies = 0
	const seconds = 10
	for range seconds * 10 {
		f.run(100 * time.Millisecond)
		f.checkConfirmed()
	}
	if limit := 2 * seconds; f.verifies > limit {
		t.Errorf("%d calls in %d s, want at most %d", f.verifies, seconds, limit)
	}
	f.away, f.verifies = true, 0
	f.run(seconds * time.Second)
	if limit := 4 * watchersPerDomain * verifyTurns * 3 / 2 * seconds; f.verifies > limit {
		t.Errorf("%d calls in %d s without the store, want at most %d", f.verifies, seconds, limit)
	}
	f.away = false
	f.run(3 * time.Second)
	for _, n := range f.nodes {
		if age := f.now.Sub(n.manifestConfirmedAt); age > electedStaleness {
			t.Errorf("the manifest of %s was last confirmed %s ago, 3 s after the store's return", n.self.Name, age)
		}
	}
}

// TestPlannerCutOffFromTheStore guards against a fleet whose keys are refused while only the
// planner cannot reach the store.
func TestPlannerCutOffFromTheStore(t *testing.T) {
	f := newElectedFleet(t, 3, 8)
	f.run(8 * time.Second)
	planner := f.nodes[0].plannerName(f.now)
	f.byName[planner].cut = true
	for range 100 {
		f.run(100 * time.Millisecond)
		f.checkConfirmed()
	}
}

// TestShardsAreOwnedAndKnown guards against shards without an owner, or whose owner the nodes
// that do not watch do not learn of, where only some nodes may own shards.
func TestShardsAreOwnedAndKnown(t *testing.T) {
	f := newElectedFleet(t, 4, 14)
	f.run(10 * time.Second)
	shards := 0
	for _, w := range f.stored.Manifest.Workspaces {
		n := allowanceOf(&w).ShardCount()
		for i := range n {
			shard := quota.Shard{Workspace: w.Name, Index: i, Count: n}
			shards++
			owner, held := f.records[shard]
			if !held {
				t.Errorf("shard %v has no owner", shard)
			}
			unknown := 0
			for _, node := range f.nodes {
				if got, _ := node.ownerOf(shard); got != owner {
					unknown++
				}
			}
			if unknown > 0 {
				t.Errorf("%d of %d nodes do not know the owner of shard %v", unknown, len(f.nodes), shard)
			}
		}
	}
	if f.claims > 2*shards {
		t.Errorf("%d claims of %d shards", f.claims, shards)
	}
}

// TestMessagesDoNotGrowWithTheFleet guards against control messages of a node that grow with
// the number of nodes.
func TestMessagesDoNotGrowWithTheFleet(t *testing.T) {
	perNode := func(domains, perDomain int) float64 {
		f := newElectedFleet(t, domains, perDomain)
		f.run(12 * time.Second)
		f.messages = 0
		f.run(10 * time.Second)
		return float64(f.messages) / float64(len(f.nodes)) / 10
	}
	small, large := perNode(3, 6), perNode(4, 24)
	if large > 1.2*small {
		t.Errorf("%.1f messages a second for a node of 96, %.1f for a node of 18", large, small)
	}
}

// TestRestartedFleetServesAgainSoon guards against a restart of all nodes after which keys are
// refused, or shards have no owner, until claims of the earlier processes have expired.
func TestRestartedFleetServesAgainSoon(t *testing.T) {
	f := newElectedFleet(t, 4, 14)
	f.run(10 * time.Second)
	f.restart()
	f.run(1500 * time.Millisecond)
	unready, held := 0, map[quota.Shard]bool{}
	for _, n := range f.nodes {
		if !n.Ready(f.now) {
			unready++
		}
		for _, shard := range n.shardOwner.Shards() {
			held[shard] = true
		}
	}
	if unready > 0 {
		t.Errorf("%d of %d nodes are not ready 1.5 s after the restart", unready, len(f.nodes))
	}
	if len(held) < len(f.records) {
		t.Errorf("%d of %d shards have an owner 1.5 s after the restart", len(held), len(f.records))
	}
}
