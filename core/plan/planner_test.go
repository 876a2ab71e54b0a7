package plan

import (
	"math"
	"testing"
	"time"
)

// The call graph of these tests: "order" and "view" run at service front and call "table"
// at service deep eight times; "page" runs at deep; "other" makes no calls.
var frontCosts = []RouteCost{
	{Route: "order", HoldTime: 800 * time.Millisecond, Runs: 10, Calls: []ChildCalls{{Route: "table", PerRun: 8}}},
	{Route: "view", HoldTime: 500 * time.Millisecond, Runs: 10, Calls: []ChildCalls{{Route: "table", PerRun: 8}}},
	{Route: "other", HoldTime: 100 * time.Millisecond, Runs: 10},
}

var deepCosts = []RouteCost{
	{Route: "table", HoldTime: 50 * time.Millisecond, Runs: 100},
	{Route: "page", HoldTime: 100 * time.Millisecond, Runs: 10},
}

func testSplit(route string) []ServiceShare {
	if route == "table" || route == "page" {
		return []ServiceShare{{Service: "deep", Fraction: 1}}
	}
	return []ServiceShare{{Service: "front", Fraction: 1}}
}

func testPlanner(now time.Time, slots float64, demand ...Demand) *Planner {
	p := NewPlanner()
	p.SetReport(now, "a", Report{Costs: frontCosts, Load: Load{Service: "front", Slots: 1000}, Demand: demand})
	p.SetReport(now, "b", Report{Costs: deepCosts, Load: Load{Service: "deep", Slots: slots, Busy: slots}})
	return p
}

func ratioOf(ratios []AdmitRatio, route string) float64 {
	for _, k := range ratios {
		if k.Route == route {
			return k.Ratio
		}
	}
	return 1
}

func TestLowestClassIsRestrictedFirst(t *testing.T) {
	now := time.Unix(100, 0)
	demand := []Demand{
		{Route: "order", Class: 2, Rate: 100, FirstTryRate: 100}, // 40 slots of deep
		{Route: "page", Class: 1, Rate: 100, FirstTryRate: 100},  // 10 slots
		{Route: "view", Class: 0, Rate: 300, FirstTryRate: 300},  // 120 slots
		{Route: "other", Class: 0, Rate: 300, FirstTryRate: 300},
	}
	for _, tt := range []struct {
		slots             float64
		order, page, view float64
	}{
		{slots: 200, order: 1, page: 1, view: 1},
		{slots: 110, order: 1, page: 1, view: 0.5},
		{slots: 75, order: 1, page: 0.5, view: minCallerRatio},
		{slots: 52.5, order: 0.5, page: minCallerRatio, view: minCallerRatio},
		{slots: 21.25, order: 0.125, page: 0.125, view: 0.125},
	} {
		p := testPlanner(now, tt.slots, demand...)
		p.Replan(now, testSplit)
		got := p.Plan()
		for route, want := range map[string]float64{"order": tt.order, "page": tt.page, "view": tt.view, "other": 1} {
			if ratio := ratioOf(got, route); math.Abs(ratio-want) > 0.02 {
				t.Errorf("%v slots: admit ratio of %s is %.2f, want %.2f", tt.slots, route, ratio, want)
			}
		}
	}
}

func TestCostliestCallsOfAClassAreRestrictedFirst(t *testing.T) {
	now := time.Unix(100, 0)
	p := testPlanner(now, 30, Demand{Route: "page", Rate: 100}, Demand{Route: "view", Rate: 100})
	p.Replan(now, testSplit)
	if page := ratioOf(p.Plan(), "page"); page != 1 {
		t.Errorf("admit ratio of page is %.2f, want 1: restricting view is enough", page)
	}
	if view := ratioOf(p.Plan(), "view"); math.Abs(view-0.5) > 0.02 {
		t.Errorf("admit ratio of view is %.2f, want 0.5", view)
	}
}

// TestRepeatedTriesCountAsOneCaller guards against callers that raise their minimum ratio
// by repeating refused calls. Each caller tries three times; the minimum ratio applies to
// callers, so a third of it applies to their calls.
func TestRepeatedTriesCountAsOneCaller(t *testing.T) {
	now := time.Unix(100, 0)
	p := testPlanner(now, 45,
		Demand{Route: "order", Class: 1, Rate: 100, FirstTryRate: 100}, Demand{Route: "view", Rate: 300, FirstTryRate: 100})
	p.Replan(now, testSplit)
	if ratio := ratioOf(p.Plan(), "view"); math.Abs(ratio-minCallerRatio/3) > 0.02 {
		t.Errorf("admit ratio of view is %.2f, want %.2f", ratio, minCallerRatio/3)
	}
}

func TestQueuedCallsLowerTheAdmitRatio(t *testing.T) {
	now := time.Unix(100, 0)
	p := testPlanner(now, 60, Demand{Route: "view", Rate: 200})
	p.Replan(now, testSplit)
	before := ratioOf(p.Plan(), "view")
	for range 10 {
		now = now.Add(250 * time.Millisecond)
		p.SetReport(now, "a", Report{Costs: frontCosts, Load: Load{Service: "front", Slots: 1000}, Demand: []Demand{{Route: "view", Rate: 200}}})
		p.SetReport(now, "b", Report{Costs: deepCosts, Load: Load{Service: "deep", Slots: 60, Busy: 60, Queued: 30}})
		p.Replan(now, testSplit)
	}
	if after := ratioOf(p.Plan(), "view"); after > before*0.9 {
		t.Errorf("admit ratio of view is %.2f after ten plans with a queue, %.2f before; want less than 0.9 of it", after, before)
	}
}

func TestExpiredReportsAreIgnored(t *testing.T) {
	now := time.Unix(100, 0)
	p := testPlanner(now, 10, Demand{Route: "view", Rate: 200})
	p.Replan(now.Add(reportTTL+time.Second), testSplit)
	if ratios := p.Plan(); len(ratios) != 0 {
		t.Errorf("got plan %+v from expired reports, want none", ratios)
	}
}

func TestCyclicRoutesTerminate(t *testing.T) {
	now := time.Unix(100, 0)
	p := NewPlanner()
	costs := []RouteCost{
		{Route: "order", HoldTime: time.Second, Runs: 5, Calls: []ChildCalls{{Route: "view", PerRun: 2}}},
		{Route: "view", HoldTime: time.Second, Runs: 5, Calls: []ChildCalls{{Route: "order", PerRun: 2}}},
	}
	p.SetReport(now, "a", Report{Costs: costs, Load: Load{Service: "front", Slots: 10}, Demand: []Demand{{Route: "order", Rate: 100}}})
	p.Replan(now, testSplit)
	if ratio := ratioOf(p.Plan(), "order"); ratio >= 1 {
		t.Errorf("admit ratio of order is %.2f, want less than 1", ratio)
	}
}

func TestDemandMeterReportsRates(t *testing.T) {
	var m DemandMeter
	now := time.Unix(100, 0)
	m.CloseWindow(now)
	for range 20 {
		for range 25 {
			m.Count("view", 1, true)
		}
		now = now.Add(250 * time.Millisecond)
		if got := m.CloseWindow(now); len(got) != 1 || got[0].Rate > 101 {
			t.Fatalf("got %+v, want one stream of at most 101 calls per second", got)
		}
	}
	m.Count("view", 1, true)
	if got := m.CloseWindow(now.Add(10 * time.Millisecond)); got[0].Rate < 95 {
		t.Errorf("got %.1f calls per second after a short window, want at least 95", got[0].Rate)
	}
	for range 20 {
		now = now.Add(250 * time.Millisecond)
		m.CloseWindow(now)
	}
	if got := m.CloseWindow(now.Add(time.Second)); len(got) != 0 {
		t.Errorf("got %+v after calls have stopped, want no streams", got)
	}
}

// TestOddReportsDoNotChangeThePlan guards against numbers in one node's report that no node
// can have measured: a plan for the whole fleet would follow them.
func TestOddReportsDoNotChangeThePlan(t *testing.T) {
	now := time.Unix(100, 0)
	demand := Demand{Route: "order", Class: 2, Rate: 300, FirstTryRate: 300}
	want := testPlanner(now, 75, demand)
	want.Replan(now, testSplit)
	for name, odd := range map[string]Report{
		"rate below 0":        {Demand: []Demand{{Route: "order", Class: 2, Rate: -250}}},
		"rate too large":      {Demand: []Demand{{Route: "order", Class: 2, Rate: 1e300, FirstTryRate: 1e300}}},
		"rate of nothing":     {Demand: []Demand{{Route: "order", Class: 2}, {Route: "page"}}},
		"slots too large":     {Load: Load{Service: "deep", Slots: 1e300}},
		"slots below 0":       {Load: Load{Service: "deep", Slots: -74}},
		"hold time below 0":   {Costs: []RouteCost{{Route: "table", HoldTime: -time.Hour, Runs: 1000}}},
		"hold time too large": {Costs: []RouteCost{{Route: "table", HoldTime: math.MaxInt64, Runs: 1}}},
		"runs below 0":        {Costs: []RouteCost{{Route: "table", HoldTime: time.Second, Runs: -99}}},
		"no runs":             {Costs: []RouteCost{{Route: "new", HoldTime: time.Second}}},
		"calls too large":     {Costs: []RouteCost{{Route: "order", Runs: 1, Calls: []ChildCalls{{Route: "table", PerRun: 1e300}}}}},
	} {
		got := testPlanner(now, 75, demand)
		got.SetReport(now, "c", odd)
		got.Replan(now, testSplit)
		if a, b := ratioOf(got.Plan(), "order"), ratioOf(want.Plan(), "order"); a != b {
			t.Errorf("%s: the admit ratio is %v, want %v", name, a, b)
		}
	}
}
