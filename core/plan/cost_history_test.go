package plan

import (
	"math"
	"testing"
	"time"
)

// TestRestartedFleetHoldsBackWhatItCannotServe plays nodes that have lost all they had
// learned while their service is overloaded, so that no run succeeds.
func TestRestartedFleetHoldsBackWhatItCannotServe(t *testing.T) {
	var l CostEstimator
	now := time.Unix(100, 0)
	for range 20 {
		l.ObserveStart(now, "view")
		now = now.Add(100 * time.Millisecond)
		l.ObserveEnd(now, "view", 100*time.Millisecond, false, []ChildCalls{{Route: "table", PerRun: 3}})
	}
	p := NewPlanner()
	p.SetReport(now, "a", Report{
		Costs: l.Costs(), Load: Load{Service: "front", Slots: 1000},
		Demand: []Demand{{Route: "view", Rate: 500, FirstTryRate: 500}},
	})
	p.SetReport(now, "b", Report{Costs: deepCosts, Load: Load{Service: "deep", Slots: 30, Busy: 30, Queued: 30}})
	p.Replan(now, testSplit)
	if share := ratioOf(p.Plan(), "view"); share > 0.5 {
		t.Errorf("view is let in at %.2f, though every run fails", share)
	}
}

// TestPlannerRemembersCosts has the nodes of a service start again.
func TestPlannerRemembersCosts(t *testing.T) {
	now := time.Unix(100, 0)
	demand := Demand{Route: "view", Rate: 200, FirstTryRate: 200}
	p := testPlanner(now, 40, demand)
	p.Replan(now, testSplit)
	before := ratioOf(p.Plan(), "view")
	now = now.Add(2 * time.Second)
	p.SetReport(now, "a", Report{Load: Load{Service: "front", Slots: 1000}, Demand: []Demand{demand}})
	p.SetReport(now, "b", Report{Costs: deepCosts, Load: Load{Service: "deep", Slots: 40, Busy: 40}})
	p.Replan(now, testSplit)
	if after := ratioOf(p.Plan(), "view"); math.Abs(after-before) > 0.02 {
		t.Errorf("view is let in at %.2f after a restart, %.2f before", after, before)
	}
}

// TestFirstPlanAfterAStopOfTheFleet: with what calls cost from the store, the first plan
// holds back what nobody has seen run yet.
func TestFirstPlanAfterAStopOfTheFleet(t *testing.T) {
	now := time.Unix(100, 0)
	demand := Demand{Route: "view", Rate: 200, FirstTryRate: 200}
	before := testPlanner(now, 40, demand)
	before.Replan(now, testSplit)
	p := NewPlanner()
	p.RestoreCosts(now, before.Costs())
	p.SetReport(now, "a", Report{Load: Load{Service: "front", Slots: 1000}, Demand: []Demand{demand}})
	p.SetReport(now, "b", Report{Load: Load{Service: "deep", Slots: 40}})
	p.Replan(now, testSplit)
	if got, want := ratioOf(p.Plan(), "view"), ratioOf(before.Plan(), "view"); math.Abs(got-want) > 0.02 {
		t.Errorf("view is let in at %.2f by the first plan, %.2f before the stop", got, want)
	}
}

func TestDiffer(t *testing.T) {
	row := func(hold time.Duration, times float64) []RouteCost {
		return []RouteCost{{Route: "view", HoldTime: hold, Runs: 10, Calls: []ChildCalls{{Route: "table", PerRun: times}}}}
	}
	for _, tt := range []struct {
		name string
		a, b []RouteCost
		want bool
	}{
		{"same", row(time.Second, 8), row(time.Second, 8), false},
		{"noise", row(time.Second, 8), row(1100*time.Millisecond, 7.5), false},
		{"slower", row(time.Second, 8), row(2*time.Second, 8), true},
		{"more calls", row(time.Second, 8), row(time.Second, 12), true},
		{"another route", row(time.Second, 8), deepCosts, true},
		{"nothing known before", nil, row(time.Second, 8), true},
	} {
		if got := CostsDiffer(tt.a, tt.b); got != tt.want {
			t.Errorf("%s: got %v, want %v", tt.name, got, tt.want)
		}
	}
}
