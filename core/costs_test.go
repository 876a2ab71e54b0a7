package core

import (
	"testing"
	"time"

	"celeryshelf/core/plan"
)

var mapCosts = []plan.RouteCost{{Route: "map", HoldTime: 200 * time.Millisecond, Runs: 50}}

// planningNode returns a node that is its own planner. Its store holds the given costs.
func planningNode(now time.Time, costs []plan.RouteCost) *State {
	s := New(Settings{Self: testMember(0), RandomSeed: 1, PlannedAdmission: true})
	s.Step(now, &StoreReachability{Reachable: true})
	m := keylessManifest()
	s.Step(now, &StoreSnapshot{Manifest: compiled(m), Costs: costs})
	return s
}

// stepPeerReport applies a peer's report of 100 calls per second and returns the effects.
func stepPeerReport(s *State, now time.Time, costs []plan.RouteCost) *Effects {
	r := plan.Report{
		Demand: []plan.Demand{{Route: "map", Rate: 100, FirstTryRate: 100}},
		Load:   plan.Load{Service: "maps", Slots: 10}, Costs: costs,
	}
	s.Step(now, &MessageReceived{From: "n1", Body: &Sync{Self: testMember(1)}})
	return s.Step(now, &MessageReceived{From: "n1", Body: &Report{Report: r}})
}

func sentPlan(e *Effects) (ratios []plan.AdmitRatio) {
	for _, m := range e.Envelopes {
		if p, ok := m.Body.(*Plan); ok {
			ratios = p.AdmitRatios
		}
	}
	return ratios
}

// TestNewPlannerUsesStoredCosts applies the first report after a restart of the whole fleet. A
// planner that had to measure the costs again would admit all calls under overload meanwhile.
func TestNewPlannerUsesStoredCosts(t *testing.T) {
	now := time.Unix(1000, 0)
	if ratios := sentPlan(stepPeerReport(planningNode(now, nil), now, nil)); len(ratios) != 0 {
		t.Errorf("a planner without known costs limits %+v", ratios)
	}
	ratios := sentPlan(stepPeerReport(planningNode(now, mapCosts), now, nil))
	if len(ratios) != 1 || ratios[0].Ratio > 0.6 {
		t.Errorf("got %+v, want about half of the calls admitted: the demand is 20 slots, the capacity 10", ratios)
	}
}

// TestCostsAreSavedOnlyOnChange guards against writes without a change, each of which the store
// sends to every node.
func TestCostsAreSavedOnlyOnChange(t *testing.T) {
	now := time.Unix(1000, 0)
	s := planningNode(now, nil)
	saved := 0
	run := func(d time.Duration, rows []plan.RouteCost) {
		for end := now.Add(d); now.Before(end); now = now.Add(reportInterval) {
			for _, r := range stepPeerReport(s, now, rows).StoreRequests {
				if _, ok := r.(*SaveCosts); ok {
					saved++
				}
			}
		}
	}
	run(costSettleTime-reportInterval, mapCosts)
	if saved != 0 {
		t.Error("costs saved before costSettleTime had passed")
	}
	run(time.Minute, mapCosts)
	if saved != 1 {
		t.Errorf("costs saved %d times, want once: they have not changed", saved)
	}
	run(minCostSaveInterval+time.Second, []plan.RouteCost{{Route: "map", HoldTime: time.Second, Runs: 50}})
	if saved != 2 {
		t.Errorf("costs saved %d times, want twice: calls take five times as long", saved)
	}
}
