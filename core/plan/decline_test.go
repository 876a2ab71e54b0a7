package plan

import (
	"math/rand/v2"
	"testing"
	"time"
)

// declineScene reports the arrivals at six nodes of a service whose targets decline calls.
type declineScene struct {
	now     time.Time
	planner *Planner
	random  *rand.Rand
}

func newDeclineScene() *declineScene {
	return &declineScene{now: time.Unix(100, 0), planner: NewPlanner(), random: rand.New(rand.NewPCG(1, 2))}
}

// step lets each node report the arrivals of one interval and returns the estimate.
func (s *declineScene) step(perNode int, ratio float64) float64 {
	s.now = s.now.Add(planInterval)
	for _, node := range []string{"a", "b", "c", "d", "e", "f"} {
		a := Arrivals{}
		for range perNode {
			a.Add(s.random.Float64() < ratio)
		}
		s.planner.SetReport(s.now, node, Report{Load: Load{Service: "deep", Slots: 30}, Arrivals: a})
	}
	s.planner.Replan(s.now, testSplit)
	for _, d := range s.planner.Declining() {
		if d.Service == "deep" {
			return d.Ratio
		}
	}
	return 0
}

// TestDeclinedRatioFollowsAFault guards against a fault, or its end, that the plan takes more
// than a second to follow.
func TestDeclinedRatioFollowsAFault(t *testing.T) {
	for _, perNode := range []int{5, 20, 100} {
		for _, ratio := range []float64{0.3, 0.45, 0.9} {
			s := newDeclineScene()
			for range 40 {
				s.step(perNode, 0)
			}
			got := 0.0
			for range 3 { // reports of 750 ms; the plan travels for less than 250 ms
				got = s.step(perNode, ratio)
			}
			if got < 0.7*ratio || got > 1.3*ratio {
				t.Errorf("%d calls in a report, ratio %.2f: estimated %.2f after 750 ms", perNode, ratio, got)
			}
			for range 3 {
				got = s.step(perNode, 0)
			}
			if got != 0 {
				t.Errorf("%d calls in a report: estimated %.2f, 750 ms after the end of a fault with ratio %.2f", perNode, got, ratio)
			}
		}
	}
}

// TestFewDeclinedCallsAreNoFault guards against rationed retries and refused root calls where
// targets decline a few calls in calm.
func TestFewDeclinedCallsAreNoFault(t *testing.T) {
	for _, perNode := range []int{1, 5, 20, 100} {
		s, faults := newDeclineScene(), 0
		for range 4000 {
			if s.step(perNode, 0.02) > 0 {
				faults++
			}
		}
		if faults > 10 {
			t.Errorf("%d calls in a report, 0.02 of them declined: a fault in %d of 4000 plans", perNode, faults)
		}
	}
}

// TestOddArrivalsAreIgnored guards against counts in a report that no node can have made.
func TestOddArrivalsAreIgnored(t *testing.T) {
	for _, odd := range []Arrivals{{Total: -1, Declined: -1}, {Total: 10, Declined: 11}, {Total: 1e300, Declined: 1e300}} {
		p, now := NewPlanner(), time.Unix(100, 0)
		p.SetReport(now, "a", Report{Load: Load{Service: "deep", Slots: 30}, Arrivals: odd})
		p.Replan(now, testSplit)
		if got := p.Declining(); len(got) != 0 {
			t.Errorf("%+v: estimated %+v", odd, got)
		}
	}
}
