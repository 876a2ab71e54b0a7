package plan

import (
	"testing"
	"time"
)

// plant is a service behind a plan: what is let in reaches it three plans later, as
// calls deep in a tree do, and costs another time than the planner believes.
type plant struct {
	slots, error float64 // error is believed cost by true cost
	coming       [3]float64
	queued       float64
}

const (
	plantRate = 400.0 // calls a second on the route
	plantHold = 0.05  // seconds of a deep call
	planEvery = 250 * time.Millisecond
)

// step takes in the share of calls that a plan lets in and returns the service's load.
func (p *plant) step(share float64) Load {
	load := p.coming[0]
	copy(p.coming[:], p.coming[1:])
	p.coming[2] = plantRate * share * 8 * plantHold / p.error
	room := p.slots
	p.queued = min(room, max(0, p.queued+(load-p.slots)*planEvery.Seconds()/plantHold))
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
		p, service := NewPlanner(), &plant{slots: 60, error: wrong}
		var load Load
		for n := range 80 {
			now = now.Add(planEvery)
			p.SetReport(now, "a", Report{
				Costs: testRows, Load: Load{Service: "front", Slots: 1000},
				Demand: []Demand{{Route: "view", Rate: plantRate, FirstTryRate: 0}},
			})
			p.SetReport(now, "b", Report{Costs: deepRows, Load: load})
			p.Replan(now, testServices)
			load = service.step(shareOf(p.Plan(), "view"))
			if at := time.Duration(n) * planEvery; at > 4*time.Second && load.Busy < 0.8*load.Slots {
				t.Errorf("costs off by %.1f: %.0f of %.0f slots in use after %s", wrong, load.Busy, load.Slots, at)
				break
			}
		}
		if load.Queued > 0.6*load.Slots {
			t.Errorf("costs off by %.1f: %.0f calls wait for %.0f slots at the end", wrong, load.Queued, load.Slots)
		}
	}
}
