package core

import (
	"testing"
	"time"
)

// TestFleetFindsItselfAfterARestart starts six nodes within a fifth of a second of
// each other. Each hears of all the others from the store at once and cannot reach
// those that are not there yet; 0.3 s after the last nobody may take anybody for silent,
// and all have to report to one planner.
func TestFleetConvergesAfterRestart(t *testing.T) {
	m := newSimulation(true, true)
	started := make([]bool, len(m.nodes))
	m.unreachable = func(to int) bool { return !started[to] }
	begin := m.now
	selfs := m.selfs()
	m.queue = nil
	for i := range m.nodes {
		m.after(time.Duration(i)*40*time.Millisecond, func() {
			started[i] = true
			m.restart(i)
			m.step(i, &StoreReachability{Reachable: true})
			m.step(i, &StoreSnapshot{Members: selfs})
			for j, up := range started {
				// It tells everybody of a few shards that it has taken over.
				for range 3 {
					m.step(i, &PeerReachability{Name: selfs[j].Name, Reachable: up})
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
				t.Errorf("node %d takes %s for silent", i, p.Name)
			}
		}
	}
}
