package plan

import (
	"math"
	"reflect"
	"testing"
	"time"
)

// testRetryLimit allows 0.12 retries for each call and 2 per second.
var testRetryLimit = RetryLimit{Attempts: 4, Sustained: func(calls float64) float64 { return 2 + 0.12*calls }}

// decliningPlan returns the plan while deep declines a ratio of its calls. It has slots for all.
func decliningPlan(ratio float64, limit RetryLimit, demand ...Demand) *Planner {
	now := time.Unix(100, 0)
	p := testPlanner(now, 1000, demand...)
	p.SetRetryLimit(limit)
	p.SetReport(now, "b", Report{
		Costs: deepCosts, Load: Load{Service: "deep", Slots: 1000},
		Arrivals: Arrivals{Total: 1000, Declined: math.Round(1000 * ratio)},
	})
	p.Replan(now, testSplit)
	return p
}

// TestPlanWithoutDeclinedCallsIsUnchanged guards against root calls that are refused, or admitted
// in another ratio, on account of the limit on retries while services accept their calls.
func TestPlanWithoutDeclinedCallsIsUnchanged(t *testing.T) {
	now := time.Unix(100, 0)
	demand := []Demand{{Route: "order", Class: 2, Rate: 100, FirstTryRate: 100}, {Route: "page", Class: 1, Rate: 100, FirstTryRate: 50}, {Route: "view", Rate: 300, FirstTryRate: 300}}
	for _, declined := range []float64{0, 20} {
		for slots := 10.0; slots < 300; slots += 10 {
			want, got := testPlanner(now, slots, demand...), testPlanner(now, slots, demand...)
			got.SetRetryLimit(testRetryLimit)
			for range 5 {
				r := Report{Costs: deepCosts, Load: Load{Service: "deep", Slots: slots, Busy: slots, Queued: 3}}
				want.SetReport(now, "b", r)
				r.Arrivals = Arrivals{Total: 1000, Declined: declined}
				got.SetReport(now, "b", r)
				want.Replan(now, testSplit)
				got.Replan(now, testSplit)
			}
			if !reflect.DeepEqual(got.Plan(), want.Plan()) || got.Summary() != want.Summary() {
				t.Fatalf("%v slots, %v of 1000 calls declined: plan %s, want %s", slots, declined, got.Summary(), want.Summary())
			}
		}
	}
}

// TestHopelessTreesAreRestricted guards against root calls admitted although their trees fail, and
// against refusals where a tree has a chance or makes no calls at the declining service.
func TestHopelessTreesAreRestricted(t *testing.T) {
	demand := []Demand{
		{Route: "order", Class: 2, Rate: 2, FirstTryRate: 2}, {Route: "view", Rate: 200, FirstTryRate: 200},
		{Route: "page", Class: 1, Rate: 100, FirstTryRate: 100}, {Route: "other", Rate: 100, FirstTryRate: 100},
	}
	for _, tt := range []struct {
		declined    float64
		order, view float64
	}{
		{0.02, 1, 1},
		{0.2, 1, 1}, // a tree of eight calls succeeds with 0.17 without any retry
		{0.6, 1, minCallerRatio},
		{1, minCallerRatio, minCallerRatio}, // some are admitted, so that the recovery is seen
	} {
		p := decliningPlan(tt.declined, testRetryLimit, demand...)
		for route, want := range map[string]float64{"order": tt.order, "view": tt.view, "page": 1, "other": 1} {
			if got := ratioOf(p.Plan(), route); math.Abs(got-want) > 0.02 {
				t.Errorf("%.2f declined: admit ratio of %s is %.2f, want %.2f; %s", tt.declined, route, got, want, p.Summary())
			}
		}
		for _, r := range p.Plan() {
			if !r.Declining {
				t.Errorf("%.2f declined: %+v does not say why calls are refused", tt.declined, r)
			}
		}
	}
}

// TestRestrictionWithoutRetryLimit guards against refusals where a node knows no limit.
func TestRestrictionWithoutRetryLimit(t *testing.T) {
	if p := decliningPlan(0.9, RetryLimit{}, Demand{Route: "view", Rate: 200, FirstTryRate: 200}); len(p.Plan()) != 0 {
		t.Errorf("got %+v, want no restriction", p.Plan())
	}
}
