package plan

import (
	"testing"
	"time"
)

// simulatedService is a service behind a plan: what is let in reaches it three plans later, as
// calls deep in a tree do, and costs another time than the planner believes.
type simulatedService struct {
	slots, costError float64 // error is believed cost by true cost
	coming           [3]float64
	queued           float64
}

const (
	offeredRate      = 400.0 // calls a second on the route
	childHoldSeconds = 0.05  // seconds of a deep call
	planInterval     = 250 * time.Millisecond
)

// step takes in the share of calls that a plan lets in and returns the service's load.
func (p *simulatedService) step(share float64) Load {
	load := p.coming[0]
	copy(p.coming[:], p.coming[1:])
	p.coming[2] = offeredRate * share * 8 * childHoldSeconds / p.costError
	room := p.slots
	p.queued = min(room, max(0, p.queued+(load-p.slots)*planInterval.Seconds()/childHoldSeconds))
	busy := min(p.slots, load)
	if p.queued > 0 {
		busy = p.slots
	}
	return Load{Service: "deep", Slots: p.slots, Busy: busy, Queued: p.queued}
}

// TestPlanCorrectsItsCosts plays costs that are off by as much as overload makes them:
// within four seconds the slots are in use, and they stay so.
func TestPlanCorrectsItsCosts(t *testing.T) {
	for _, wrong := range []float64{0.8, 1, 1.5, 2.2} {
		now := time.Unix(100, 0)
		p, service := NewPlanner(), &simulatedService{slots: 60, costError: wrong}
		var load Load
		for n := range 80 {
			now = now.Add(planInterval)
			p.SetReport(now, "a", Report{
				Costs: frontCosts, Load: Load{Service: "front", Slots: 1000},
				Demand: []Demand{{Route: "view", Rate: offeredRate, FirstTryRate: 0}},
			})
			p.SetReport(now, "b", Report{Costs: deepCosts, Load: load})
			p.Replan(now, testSplit)
			load = service.step(ratioOf(p.Plan(), "view"))
			if at := time.Duration(n) * planInterval; at > 4*time.Second && load.Busy < 0.8*load.Slots {
				t.Errorf("costs off by %.1f: %.0f of %.0f slots in use after %s", wrong, load.Busy, load.Slots, at)
				break
			}
		}
		if load.Queued > 0.6*load.Slots {
			t.Errorf("costs off by %.1f: %.0f calls wait for %.0f slots at the end", wrong, load.Queued, load.Slots)
		}
	}
}
