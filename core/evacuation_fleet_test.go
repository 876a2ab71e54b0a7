package core

import (
	"slices"
	"testing"
	"time"

	"celeryshelf/core/evacuation"
)

// testEvacuationBound is the time within which an evacuation must take effect, spreadBound the
// time in which the nodes must know it after the store has accepted it.
const (
	testEvacuationBound = 5 * time.Second
	spreadBound         = 2 * time.Second
)

// setEvacuated writes or deletes the key of a domain, of which the watch tells the watchers.
func (f *electedFleet) setEvacuated(domain string, on bool) {
	f.revision++
	delete(f.evacuated, domain)
	if on {
		f.evacuated[domain] = f.revision
	}
	f.watchEvent(&EvacuationsStored{Set: evacuation.NewSet(f.revision, f.evacuated)})
}

// checkEvacuated fails the test if a live node that is not isolated does not know exactly the
// given domains.
func (f *electedFleet) checkEvacuated(when string, domains ...string) {
	f.t.Helper()
	wrong := 0
	for _, n := range f.nodes {
		if n.dead || n.isolated {
			continue
		}
		known := n.evacuation.tracker.Set(f.now).Domains
		if len(known) != len(domains) || slices.ContainsFunc(domains, func(d string) bool { return !n.evacuated(d) }) {
			wrong++
		}
	}
	if wrong > 0 {
		f.t.Errorf("%s: %d of %d nodes do not know exactly %v as evacuated", when, wrong, len(f.nodes), domains)
	}
}

func newSettledEvacuationFleet(t *testing.T) *electedFleet {
	f := newEvacuationFleet(t, 4, 14, testEvacuationBound)
	f.run(6 * time.Second)
	for _, n := range f.nodes {
		if n.target.evacuationsUnknown {
			t.Errorf("%s does not know the evacuated domains 6 s after the start", n.self.Name)
		}
	}
	return f
}

// TestEvacuationSpreads guards against nodes that learn of an evacuation, of its end, or of a
// second one too late.
func TestEvacuationSpreads(t *testing.T) {
	f := newSettledEvacuationFleet(t)
	f.setEvacuated("d0", true)
	f.run(spreadBound)
	f.checkEvacuated("one domain", "d0")
	f.setEvacuated("d1", true)
	f.setEvacuated("nowhere", true)
	f.run(spreadBound)
	f.checkEvacuated("two domains and an unknown one", "d0", "d1", "nowhere")
	f.setEvacuated("d0", false)
	f.run(spreadBound)
	f.checkEvacuated("first ended", "d1", "nowhere")
	f.setEvacuated("d0", true)
	f.run(spreadBound)
	f.checkEvacuated("first repeated", "d0", "d1", "nowhere")
	for _, d := range []string{"d0", "d1", "nowhere"} {
		f.setEvacuated(d, false)
	}
	f.run(spreadBound)
	f.checkEvacuated("all ended")
}

// TestLostWatcherDoesNotLoseAnEvacuation guards against an evacuation that only a watcher has
// read which ends before it has told anyone.
func TestLostWatcherDoesNotLoseAnEvacuation(t *testing.T) {
	f := newSettledEvacuationFleet(t)
	watchers := f.watchers()
	for _, n := range watchers[1:] {
		n.watching = false // their watches are stuck
	}
	f.setEvacuated("d0", true)
	f.run(electedStoreTime)
	watchers[0].isolated, watchers[0].dead = true, true // its messages are lost too
	f.run(testEvacuationBound - electedStoreTime)
	f.checkEvacuated("only reader lost", "d0")
}

// TestPartitionedNodeKeepsTheLastSet guards against a node that uses the targets of an evacuated
// domain again while it is cut off, or that does not catch up afterwards.
func TestPartitionedNodeKeepsTheLastSet(t *testing.T) {
	f := newSettledEvacuationFleet(t)
	cut := f.byName["d2-2"]
	f.setEvacuated("d0", true)
	f.run(spreadBound)
	cut.isolated = true
	f.setEvacuated("d0", false)
	f.setEvacuated("d1", true)
	f.run(30 * time.Second)
	if !cut.evacuated("d0") || cut.evacuated("d1") {
		t.Errorf("the partitioned node knows %+v, want the last set before the partition", cut.evacuation.tracker.Set(f.now))
	}
	f.checkEvacuated("others", "d1")
	cut.isolated = false
	f.run(testEvacuationBound)
	f.checkEvacuated("after the partition", "d1")
}

// TestEvacuationSurvivesARestartOfAllNodes guards against targets of an evacuated domain that
// get calls after a restart of the fleet, and against other targets that are not used again.
func TestEvacuationSurvivesARestartOfAllNodes(t *testing.T) {
	f := newSettledEvacuationFleet(t)
	f.setEvacuated("d0", true)
	f.run(spreadBound)
	f.restart()
	for range 300 {
		f.run(10 * time.Millisecond)
		for _, n := range f.nodes {
			if n.self.Domain == "d0" && n.target.available() && !n.evacuated("d0") {
				t.Fatalf("the target of %s is used although its domain is evacuated", n.self.Name)
			}
		}
	}
	f.checkEvacuated("after the restart", "d0")
	for _, n := range f.nodes {
		if n.self.Domain != "d0" && !n.target.available() {
			t.Errorf("the target of %s is not used 3 s after the restart", n.self.Name)
		}
	}
}

// TestEvacuationOutlivesTheStore guards against a store that does not answer and thereby ends an
// evacuation, also for nodes that start meanwhile, or keeps a starting node's target closed.
func TestEvacuationOutlivesTheStore(t *testing.T) {
	f := newSettledEvacuationFleet(t)
	f.setEvacuated("d0", true)
	f.run(spreadBound)
	f.away = true
	f.run(20 * time.Second)
	f.checkEvacuated("without the store", "d0")
	old := f.byName["d1-1"]
	self := old.self
	self.Incarnation, self.Revision = self.Incarnation+1, 1
	old.dead = true
	started := f.newNode(self, 77)
	f.nodes[1], f.byName[self.Name] = started, started
	f.start(started, nil)
	f.step(started, &MemberStored{Member: f.nodes[5].self})
	f.run(testEvacuationBound + time.Second)
	f.checkEvacuated("after a start without the store", "d0")
	if !started.target.available() {
		t.Errorf("the target of a node that has started without the store is not used after %s", testEvacuationBound+time.Second)
	}
}

// TestEvacuationsAddNoStoreCalls guards against calls to the store for the evacuated domains,
// and against messages that grow in number while nothing changes.
func TestEvacuationsAddNoStoreCalls(t *testing.T) {
	count := func(bound time.Duration) (verifies, messages int) {
		f := newEvacuationFleet(t, 4, 14, bound)
		f.run(8 * time.Second)
		f.verifies, f.messages = 0, 0
		f.run(20 * time.Second)
		return f.verifies, f.messages
	}
	verifies, messages := count(0)
	evacuationVerifies, evacuationMessages := count(testEvacuationBound)
	if evacuationVerifies > verifies+1 || float64(evacuationMessages) > 1.02*float64(messages) {
		t.Errorf("%d reads and %d messages, want about %d and %d", evacuationVerifies, evacuationMessages, verifies, messages)
	}
}
