package plan

import (
	"math"
	"testing"
	"time"
)

// TestRestartedFleetHoldsBackWhatItCannotServe plays nodes that have lost all they had
// learned while their service is overloaded, so that no run succeeds.
func TestRestartedFleetHoldsBackWhatItCannotServe(t *testing.T) {
	var l Learner
	now := time.Unix(100, 0)
	for range 20 {
		l.Began(now, "view")
		now = now.Add(100 * time.Millisecond)
		l.Ended(now, "view", 100*time.Millisecond, false, []Calls{{Route: "table", Times: 3}})
	}
	p := NewPlanner()
	p.Take(now, "a", Report{
		Rows: l.Rows(), Load: Load{Service: "front", Slots: 1000},
		Demand: []Demand{{Route: "view", Rate: 500, First: 500}},
	})
	p.Take(now, "b", Report{Rows: deepRows, Load: Load{Service: "deep", Slots: 30, Busy: 30, Queued: 30}})
	p.Work(now, testServices)
	if share := shareOf(p.Plan(), "view"); share > 0.5 {
		t.Errorf("view is let in at %.2f, though every run fails", share)
	}
}

// TestPlannerRemembersCosts has the nodes of a service start again.
func TestPlannerRemembersCosts(t *testing.T) {
	now := time.Unix(100, 0)
	demand := Demand{Route: "view", Rate: 200, First: 200}
	p := testPlanner(now, 40, demand)
	p.Work(now, testServices)
	before := shareOf(p.Plan(), "view")
	now = now.Add(2 * time.Second)
	p.Take(now, "a", Report{Load: Load{Service: "front", Slots: 1000}, Demand: []Demand{demand}})
	p.Take(now, "b", Report{Rows: deepRows, Load: Load{Service: "deep", Slots: 40, Busy: 40}})
	p.Work(now, testServices)
	if after := shareOf(p.Plan(), "view"); math.Abs(after-before) > 0.02 {
		t.Errorf("view is let in at %.2f after a restart, %.2f before", after, before)
	}
}

// TestFirstPlanAfterAStopOfTheFleet: with what calls cost from the store, the first plan
// holds back what nobody has seen run yet.
func TestFirstPlanAfterAStopOfTheFleet(t *testing.T) {
	now := time.Unix(100, 0)
	demand := Demand{Route: "view", Rate: 200, First: 200}
	before := testPlanner(now, 40, demand)
	before.Work(now, testServices)
	p := NewPlanner()
	p.Recall(now, before.Costs())
	p.Take(now, "a", Report{Load: Load{Service: "front", Slots: 1000}, Demand: []Demand{demand}})
	p.Take(now, "b", Report{Load: Load{Service: "deep", Slots: 40}})
	p.Work(now, testServices)
	if got, want := shareOf(p.Plan(), "view"), shareOf(before.Plan(), "view"); math.Abs(got-want) > 0.02 {
		t.Errorf("view is let in at %.2f by the first plan, %.2f before the stop", got, want)
	}
}

func TestDiffer(t *testing.T) {
	row := func(hold time.Duration, times float64) []Row {
		return []Row{{Route: "view", Hold: hold, Runs: 10, Calls: []Calls{{Route: "table", Times: times}}}}
	}
	for _, tt := range []struct {
		name string
		a, b []Row
		want bool
	}{
		{"same", row(time.Second, 8), row(time.Second, 8), false},
		{"noise", row(time.Second, 8), row(1100*time.Millisecond, 7.5), false},
		{"slower", row(time.Second, 8), row(2*time.Second, 8), true},
		{"more calls", row(time.Second, 8), row(time.Second, 12), true},
		{"another route", row(time.Second, 8), deepRows, true},
		{"nothing known before", nil, row(time.Second, 8), true},
	} {
		if got := Differ(tt.a, tt.b); got != tt.want {
			t.Errorf("%s: got %v, want %v", tt.name, got, tt.want)
		}
	}
}
