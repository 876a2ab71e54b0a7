package plan

import (
	"math"
	"testing"
	"time"
)

// TestOverloadedFleetWithoutCostHistoryRestrictsCalls guards against admitting all calls
// when nodes have restarted during an overload: no run succeeds, so no cost is measured.
func TestOverloadedFleetWithoutCostHistoryRestrictsCalls(t *testing.T) {
	var e CostEstimator
	now := time.Unix(100, 0)
	for range 20 {
		e.ObserveStart(now, "view")
		now = now.Add(100 * time.Millisecond)
		e.ObserveEnd(now, "view", 100*time.Millisecond, false, []ChildCalls{{Route: "table", PerRun: 3}})
	}
	p := NewPlanner()
	p.SetReport(now, "a", Report{
		Costs: e.Costs(), Load: Load{Service: "front", Slots: 1000},
		Demand: []Demand{{Route: "view", Rate: 500, FirstTryRate: 500}},
	})
	p.SetReport(now, "b", Report{Costs: deepCosts, Load: Load{Service: "deep", Slots: 30, Busy: 30, Queued: 30}})
	p.Replan(now, testSplit)
	if ratio := ratioOf(p.Plan(), "view"); ratio > 0.5 {
		t.Errorf("admit ratio of view is %.2f although every run fails, want at most 0.5", ratio)
	}
}

// TestRestartedNodesKeepTheirPlan guards against a plan that admits all calls after the
// nodes of a service have restarted and report no costs.
func TestRestartedNodesKeepTheirPlan(t *testing.T) {
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
		t.Errorf("admit ratio of view is %.2f after the restart, want %.2f as before", after, before)
	}
}

// TestFirstPlanUsesStoredCosts guards against a first plan that admits all calls after the
// whole fleet has stopped: costs restored from the store must apply before any run.
func TestFirstPlanUsesStoredCosts(t *testing.T) {
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
		t.Errorf("admit ratio of view is %.2f in the first plan, want %.2f as before the stop", got, want)
	}
}

func TestCostsDiffer(t *testing.T) {
	costsOf := func(hold time.Duration, callsPerRun float64) []RouteCost {
		return []RouteCost{{Route: "view", HoldTime: hold, Runs: 10, Calls: []ChildCalls{{Route: "table", PerRun: callsPerRun}}}}
	}
	for _, tt := range []struct {
		name string
		a, b []RouteCost
		want bool
	}{
		{"same", costsOf(time.Second, 8), costsOf(time.Second, 8), false},
		{"noise", costsOf(time.Second, 8), costsOf(1100*time.Millisecond, 7.5), false},
		{"slower", costsOf(time.Second, 8), costsOf(2*time.Second, 8), true},
		{"more calls", costsOf(time.Second, 8), costsOf(time.Second, 12), true},
		{"another route", costsOf(time.Second, 8), deepCosts, true},
		{"nothing known before", nil, costsOf(time.Second, 8), true},
	} {
		if got := CostsDiffer(tt.a, tt.b); got != tt.want {
			t.Errorf("%s: got %v, want %v", tt.name, got, tt.want)
		}
	}
}
