package plan

import (
	"testing"
	"time"
)

// simulatedService is a service deep in a call tree: the calls that a plan admits reach it
// three plans later. The true cost of its calls differs from the planner's estimate.
type simulatedService struct {
	slots, costError float64    // costError is the assumed cost divided by the true cost
	delayedLoad      [3]float64 // slots taken by the calls admitted by the last three plans, oldest first
	queued           float64
}

const (
	offeredRate      = 400.0 // calls per second on the route
	childHoldSeconds = 0.05  // duration of a child call
	planInterval     = 250 * time.Millisecond
)

// step applies the admit ratio of a plan and returns the service's load.
func (s *simulatedService) step(admitRatio float64) Load {
	load := s.delayedLoad[0]
	copy(s.delayedLoad[:], s.delayedLoad[1:])
	s.delayedLoad[2] = offeredRate * admitRatio * 8 * childHoldSeconds / s.costError
	maxQueued := s.slots
	s.queued = min(maxQueued, max(0, s.queued+(load-s.slots)*planInterval.Seconds()/childHoldSeconds))
	busy := min(s.slots, load)
	if s.queued > 0 {
		busy = s.slots
	}
	return Load{Service: "deep", Slots: s.slots, Busy: busy, Queued: s.queued}
}

// TestPlanCorrectsWrongCostEstimates guards against slots left unused, or a queue that
// stays long, when cost estimates are as wrong as overload makes them. The slots must be
// in use after four seconds and stay so.
func TestPlanCorrectsWrongCostEstimates(t *testing.T) {
	for _, costError := range []float64{0.8, 1, 1.5, 2.2} {
		now := time.Unix(100, 0)
		p, service := NewPlanner(), &simulatedService{slots: 60, costError: costError}
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
				t.Errorf("costs wrong by a factor of %.1f: only %.0f of %.0f slots in use after %s", costError, load.Busy, load.Slots, at)
				break
			}
		}
		if load.Queued > 0.6*load.Slots {
			t.Errorf("costs wrong by a factor of %.1f: %.0f calls queued for %.0f slots at the end", costError, load.Queued, load.Slots)
		}
	}
}
