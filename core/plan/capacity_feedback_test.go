package plan

import (
	"testing"
	"time"
)

// simulatedService is a service that receives the calls admitted by a plan three plans
// later, as calls deep in a call tree do, and whose calls take another time than the
// planner assumes.
type simulatedService struct {
	slots, costError float64 // costError is the assumed cost divided by the true cost
	coming           [3]float64
	queued           float64
}

const (
	offeredRate      = 400.0 // calls per second on the route
	childHoldSeconds = 0.05  // duration of a child call
	planInterval     = 250 * time.Millisecond
)

// step applies the admit ratio of a plan and returns the service's load.
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

// TestPlanCorrectsWrongCostEstimates guards against slots left unused, or a queue that
// stays long, when cost estimates are as wrong as overload makes them. The slots must be
// in use after four seconds and stay so.
func TestPlanCorrectsWrongCostEstimates(t *testing.T) {
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
				t.Errorf("costs wrong by a factor of %.1f: only %.0f of %.0f slots in use after %s", wrong, load.Busy, load.Slots, at)
				break
			}
		}
		if load.Queued > 0.6*load.Slots {
			t.Errorf("costs wrong by a factor of %.1f: %.0f calls queued for %.0f slots at the end", wrong, load.Queued, load.Slots)
		}
	}
}
