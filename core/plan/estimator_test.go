package plan

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// runOverlapping drives a learner with runs of two routes that overlap: "tree" makes four
// calls a run, "leaf" none.
func runOverlapping(l *CostEstimator, named bool, seconds int) {
	random := rand.New(rand.NewPCG(1, 2))
	start := time.Unix(0, 0)
	type run struct {
		route string
		calls int
		began time.Time
		next  time.Time
	}
	var running []*run
	begin := func(now time.Time, route string, calls int) {
		l.ObserveStart(now, route)
		running = append(running, &run{route: route, calls: calls, began: now, next: now.Add(20 * time.Millisecond)})
	}
	for step := range seconds * 200 {
		now := start.Add(time.Duration(step) * 5 * time.Millisecond)
		if random.Float64() < 0.25 {
			begin(now, "tree", 4)
		}
		if random.Float64() < 0.15 {
			begin(now, "leaf", 0)
		}
		kept := running[:0]
		for _, r := range running {
			if now.Before(r.next) {
				kept = append(kept, r)
				continue
			}
			if r.calls == 0 {
				var made []ChildCalls
				if named && r.route == "tree" {
					made = []ChildCalls{{Route: "child", PerRun: 4}}
				}
				l.ObserveEnd(now, r.route, now.Sub(r.began), true, made)
				continue
			}
			r.calls--
			r.next = now.Add(time.Duration(20+random.IntN(40)) * time.Millisecond)
			if !named {
				l.ObserveCall(now, "child")
			}
			kept = append(kept, r)
		}
		running = kept
	}
}

func callsOf(rows []RouteCost, route string) float64 {
	for _, r := range rows {
		if r.Route != route {
			continue
		}
		for _, c := range r.Calls {
			return c.PerRun
		}
	}
	return 0
}

func TestCallsThatNameTheirRunAreCounted(t *testing.T) {
	var l CostEstimator
	runOverlapping(&l, true, 5)
	rows := l.Costs()
	if got := callsOf(rows, "tree"); math.Abs(got-4) > 0.01 {
		t.Errorf("tree makes %.2f calls a run, want 4", got)
	}
	if got := callsOf(rows, "leaf"); got != 0 {
		t.Errorf("leaf makes %.2f calls a run, want none", got)
	}
}

// TestCallsWithoutANameAreShared holds the estimate to what it is used for: which
// of two routes is the costlier one.
func TestCallsWithoutANameAreShared(t *testing.T) {
	var l CostEstimator
	runOverlapping(&l, false, 60)
	rows := l.Costs()
	tree, leaf := callsOf(rows, "tree"), callsOf(rows, "leaf")
	if math.Abs(tree-4) > 1 {
		t.Errorf("tree makes %.2f calls a run, want about 4", tree)
	}
	if leaf > tree/4 {
		t.Errorf("leaf makes %.2f calls a run, want far fewer than %.2f", leaf, tree)
	}
}

// TestFailedRunsTeachNothing plays a service that fails: runs end after their first
// call, which says nothing of how many a whole run makes.
func TestFailedRunsTeachNothing(t *testing.T) {
	var l CostEstimator
	now := time.Unix(0, 0)
	for range 5 {
		l.ObserveStart(now, "tree")
		now = now.Add(200 * time.Millisecond)
		l.ObserveEnd(now, "tree", 200*time.Millisecond, true, []ChildCalls{{Route: "child", PerRun: 4}})
	}
	for range 500 {
		l.ObserveStart(now, "tree")
		now = now.Add(time.Millisecond)
		l.ObserveEnd(now, "tree", time.Millisecond, false, []ChildCalls{{Route: "child", PerRun: 1}})
	}
	rows := l.Costs()
	if len(rows) != 1 || rows[0].HoldTime != 200*time.Millisecond || callsOf(rows, "tree") != 4 {
		t.Errorf("got %+v, want a hold of 200ms and 4 calls", rows)
	}
}

func TestFadedRoutesAreForgotten(t *testing.T) {
	var l CostEstimator
	runOverlapping(&l, true, 5)
	l.Decay(10 * halfLife)
	if rows := l.Costs(); len(rows) != 0 {
		t.Errorf("got %+v, want nothing after ten half-lives", rows)
	}
}
