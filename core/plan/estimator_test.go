package plan

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// runOverlapping feeds an estimator with overlapping runs of two routes: "tree" makes four
// calls per run, "leaf" none.
func runOverlapping(e *CostEstimator, withRunID bool, seconds int) {
	random := rand.New(rand.NewPCG(1, 2))
	start := time.Unix(0, 0)
	type run struct {
		route   string
		calls   int
		started time.Time
		next    time.Time
	}
	var running []*run
	begin := func(now time.Time, route string, calls int) {
		e.ObserveStart(now, route)
		running = append(running, &run{route: route, calls: calls, started: now, next: now.Add(20 * time.Millisecond)})
	}
	for step := range seconds * 200 {
		now := start.Add(time.Duration(step) * 5 * time.Millisecond)
		if random.Float64() < 0.25 {
			begin(now, "tree", 4)
		}
		if random.Float64() < 0.15 {
			begin(now, "leaf", 0)
		}
		unfinished := running[:0]
		for _, r := range running {
			if now.Before(r.next) {
				unfinished = append(unfinished, r)
				continue
			}
			if r.calls == 0 {
				var childCalls []ChildCalls
				if withRunID && r.route == "tree" {
					childCalls = []ChildCalls{{Route: "child", PerRun: 4}}
				}
				e.ObserveEnd(now, r.route, now.Sub(r.started), true, childCalls)
				continue
			}
			r.calls--
			r.next = now.Add(time.Duration(20+random.IntN(40)) * time.Millisecond)
			if !withRunID {
				e.ObserveCall(now, "child")
			}
			unfinished = append(unfinished, r)
		}
		running = unfinished
	}
}

func callsOf(costs []RouteCost, route string) float64 {
	for _, r := range costs {
		if r.Route != route {
			continue
		}
		for _, c := range r.Calls {
			return c.PerRun
		}
	}
	return 0
}

func TestCallsWithRunIDAreCountedExactly(t *testing.T) {
	var e CostEstimator
	runOverlapping(&e, true, 5)
	costs := e.Costs()
	if got := callsOf(costs, "tree"); math.Abs(got-4) > 0.01 {
		t.Errorf("tree makes %.2f calls per run, want 4", got)
	}
	if got := callsOf(costs, "leaf"); got != 0 {
		t.Errorf("leaf makes %.2f calls per run, want none", got)
	}
}

// TestCallsWithoutRunIDAreAttributedToTheCallingRoute guards against attributing the calls
// of one route to another that runs at the same time. The estimate must show which of two
// routes costs more.
func TestCallsWithoutRunIDAreAttributedToTheCallingRoute(t *testing.T) {
	var e CostEstimator
	runOverlapping(&e, false, 60)
	costs := e.Costs()
	tree, leaf := callsOf(costs, "tree"), callsOf(costs, "leaf")
	if math.Abs(tree-4) > 1 {
		t.Errorf("tree makes %.2f calls per run, want about 4", tree)
	}
	if leaf > tree/4 {
		t.Errorf("leaf makes %.2f calls per run, want far fewer than %.2f", leaf, tree)
	}
}

// TestFailedRunsDoNotChangeCosts guards against cost estimates that drop when a service
// fails: its runs end after their first call, so they do not show the calls of a full run.
func TestFailedRunsDoNotChangeCosts(t *testing.T) {
	var e CostEstimator
	now := time.Unix(0, 0)
	for range 5 {
		e.ObserveStart(now, "tree")
		now = now.Add(200 * time.Millisecond)
		e.ObserveEnd(now, "tree", 200*time.Millisecond, true, []ChildCalls{{Route: "child", PerRun: 4}})
	}
	for range 500 {
		e.ObserveStart(now, "tree")
		now = now.Add(time.Millisecond)
		e.ObserveEnd(now, "tree", time.Millisecond, false, []ChildCalls{{Route: "child", PerRun: 1}})
	}
	costs := e.Costs()
	if len(costs) != 1 || costs[0].HoldTime != 200*time.Millisecond || callsOf(costs, "tree") != 4 {
		t.Errorf("got costs %+v, want a hold time of 200ms and 4 calls per run", costs)
	}
}

func TestDecayedRoutesAreNotReported(t *testing.T) {
	var e CostEstimator
	runOverlapping(&e, true, 5)
	e.Decay(10 * halfLife)
	if costs := e.Costs(); len(costs) != 0 {
		t.Errorf("got costs %+v after ten half-lives, want none", costs)
	}
}
