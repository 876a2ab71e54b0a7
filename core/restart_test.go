package core

import (
	"testing"
	"time"
)

// TestFleetConvergesAfterRestart starts six nodes 40 ms apart. Each learns of all others from
// the store at once and cannot reach those that have not started yet. 0.3 s after the last
// start no node may count another as unreachable, and all must report to the same planner:
// with two planners, each would plan for a part of the demand.
func TestFleetConvergesAfterRestart(t *testing.T) {
	m := newSimulation(true, true)
	started := make([]bool, len(m.nodes))
	m.unreachable = func(to int) bool { return !started[to] }
	begin := m.now
	members := m.announcements()
	m.queue = nil
	for i := range m.nodes {
		m.after(time.Duration(i)*40*time.Millisecond, func() {
			started[i] = true
			m.restart(i)
			m.step(i, &StoreReachability{Reachable: true})
			m.step(i, &StoreSnapshot{Members: members})
			for j, up := range started {
				// It sends each peer a few ShardUpdates about shards that it has acquired.
				for range 3 {
					m.step(i, &PeerReachability{Name: members[j].Name, Reachable: up})
				}
			}
			m.tick(i)
		})
	}
	m.run(begin.Add(500 * time.Millisecond))
	want := m.nodes[0].plannerName(m.now)
	for i, n := range m.nodes {
		if got := n.plannerName(m.now); got != want {
			t.Errorf("node %d reports to %s, node 0 to %s", i, got, want)
		}
		for _, p := range n.peers.All() {
			if p.Unreachable {
				t.Errorf("node %d counts %s as unreachable", i, p.Name)
			}
		}
	}
}
