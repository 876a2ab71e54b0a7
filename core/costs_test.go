package core

import (
	"testing"
	"time"

	"celeryshelf/core/plan"
)

var mapCosts = []plan.RouteCost{{Route: "map", HoldTime: 200 * time.Millisecond, Runs: 50}}

// planningNode is one that plans for itself and a peer that carries the demand.
func planningNode(now time.Time, costs []plan.RouteCost) *State {
	s := New(Settings{Self: testMember(0), RandomSeed: 1, PlannedAdmission: true})
	s.Step(now, &StoreReachability{Reachable: true})
	m := keylessManifest()
	s.Step(now, &StoreSnapshot{Manifest: &m, Costs: costs})
	return s
}

// reported steps a peer's report of 100 calls a second and returns the effects.
func stepPeerReport(s *State, now time.Time, rows []plan.RouteCost) *Effects {
	r := plan.Report{
		Demand: []plan.Demand{{Route: "map", Rate: 100, FirstTryRate: 100}},
		Load:   plan.Load{Service: "maps", Slots: 10}, Costs: rows,
	}
	s.Step(now, &MessageReceived{From: "n1", Body: &Sync{Self: testMember(1)}})
	return s.Step(now, &MessageReceived{From: "n1", Body: &Report{Report: r}})
}

func sentPlan(e *Effects) (keeps []plan.AdmitRatio) {
	for _, m := range e.Envelopes {
		if p, ok := m.Body.(*Plan); ok {
			keeps = p.AdmittedShares
		}
	}
	return keeps
}

// TestPlannerStartsWithTheCostsInTheStore plays the first report after the whole fleet
// has started again.
func TestNewPlannerUsesStoredCosts(t *testing.T) {
	now := time.Unix(1000, 0)
	if keeps := sentPlan(stepPeerReport(planningNode(now, nil), now, nil)); len(keeps) != 0 {
		t.Errorf("a planner that knows nothing holds back %+v", keeps)
	}
	keeps := sentPlan(stepPeerReport(planningNode(now, mapCosts), now, nil))
	if len(keeps) != 1 || keeps[0].Ratio > 0.6 {
		t.Errorf("got %+v, want half of the calls held back: 20 slots are asked for, 10 are there", keeps)
	}
}

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
		t.Error("saved before the costs had settled")
	}
	run(time.Minute, mapCosts)
	if saved != 1 {
		t.Errorf("saved %d times, want once: nothing has changed", saved)
	}
	run(minCostSaveInterval+time.Second, []plan.RouteCost{{Route: "map", HoldTime: time.Second, Runs: 50}})
	if saved != 2 {
		t.Errorf("saved %d times, want twice: calls last five times as long", saved)
	}
}
