package core

import (
	"testing"
	"time"
)

type simResult struct {
	sent, served map[string]float64
	wasted       float64 // share of the runs on table whose caller was not served
}

// overload offers 2.5 times the capacity of deep.
func overload(plannedAdmission, namesParent bool) simResult {
	m := newSimulation(plannedAdmission, namesParent)
	start := m.now.Add(2 * time.Second)
	m.run(start)
	until := start.Add(15 * time.Second)
	routes := []struct {
		name string
		rate float64
	}{{"order", 100}, {"page", 150}, {"view", 500}}
	sent, served := make([]int, len(routes)), make([]int, len(routes))
	for i, r := range routes {
		m.offer(r.name, r.rate, until, &sent[i], &served[i])
	}
	m.run(until.Add(2 * time.Second))
	out := simResult{sent: map[string]float64{}, served: map[string]float64{}}
	for i, r := range routes {
		out.sent[r.name], out.served[r.name] = float64(sent[i]), float64(served[i])
	}
	useful := 4 * (out.served["order"] + out.served["view"])
	out.wasted = 1 - useful/float64(m.completedRuns["table"])
	return out
}

// TestOverloadedDownstreamServiceServesImportantCalls guards against wasted work
// when a service far below the entry is offered 2.5 times its capacity. If calls are
// refused only where the load meets, every tree loses one of its calls and fails.
// Instead whole trees must be served, by priority.
func TestOverloadedDownstreamServiceServesImportantCalls(t *testing.T) {
	for _, tt := range []struct {
		name        string
		namesParent bool
	}{{"child calls name their parent", true}, {"child calls do not name their parent", false}} {
		t.Run(tt.name, func(t *testing.T) {
			r := overload(true, tt.namesParent)
			share := func(route string) float64 { return r.served[route] / r.sent[route] }
			t.Logf("order %.2f page %.2f view %.2f, wasted %.2f", share("order"), share("page"), share("view"), r.wasted)
			if share("order") < 0.9 {
				t.Errorf("%.2f of the calls with the highest priority were served, want at least 0.9", share("order"))
			}
			if share("page") < 0.8 {
				t.Errorf("%.2f of the calls with the middle priority were served, want at least 0.8", share("page"))
			}
			if share("view") < 0.15 {
				t.Errorf("%.2f of the calls with the lowest priority were served, want at least 0.15", share("view"))
			}
			if r.wasted > 0.15 {
				t.Errorf("%.2f of the runs on table were wasted, want at most 0.15", r.wasted)
			}
		})
	}
}

// TestOverloadIsTooHighForGatesAlone guards the other overload test against a load
// that is too low: under the same load, refusal at the gates alone must waste runs
// or fail important calls.
func TestOverloadIsTooHighForGatesAlone(t *testing.T) {
	r := overload(false, false)
	t.Logf("order %.2f of %v, view %.2f, wasted %.2f", r.served["order"]/r.sent["order"], r.sent["order"], r.served["view"]/r.sent["view"], r.wasted)
	if r.wasted < 0.15 && r.served["order"] > 0.9*r.sent["order"] {
		t.Error("refusal at the gates alone serves the load; it does not show the effect of a plan")
	}
}
