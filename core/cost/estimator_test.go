package cost

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

// learn observes n calls, 5 ms apart, and returns the time after them.
func learn(e *Estimator, now time.Time, n int, next func(i int) (Call, time.Duration)) time.Time {
	for i := range n {
		now = now.Add(5 * time.Millisecond)
		c, took := next(i)
		e.Observe(now, c, took, 1)
	}
	return now
}

func within(t *testing.T, what string, got, want time.Duration, margin float64) {
	t.Helper()
	if math.Abs(float64(got-want)) > margin*float64(want) {
		t.Errorf("%s: got %v, want %v within %.0f%%", what, got, want, 100*margin)
	}
}

// TestSplitThatExplainsCostIsUsed guards against calls of one route that all get its mean,
// although their size or workspace tells them apart.
func TestSplitThatExplainsCostIsUsed(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	for name, call := range map[string]func(large bool) Call{
		"body size": func(large bool) Call {
			return Call{Route: "r", BodyBytes: map[bool]int64{true: 1 << 20, false: 100}[large]}
		},
		"workspace": func(large bool) Call { return Call{Route: "r", Workspace: fmt.Sprint(large)} },
		"method":    func(large bool) Call { return Call{Route: "r", Method: fmt.Sprint(large)} },
	} {
		e := NewEstimator()
		now := learn(e, start, 2000, func(i int) (Call, time.Duration) {
			mean := map[bool]float64{true: 90, false: 10}[i%2 == 0]
			return call(i%2 == 0), time.Duration(mean * (0.5 + random.Float64()) * float64(time.Millisecond))
		})
		within(t, name+", large", e.Estimate(now, call(true)), 90*time.Millisecond, 0.15)
		within(t, name+", small", e.Estimate(now, call(false)), 10*time.Millisecond, 0.25)
	}
}

// TestSplitThatExplainsNothingIsNotUsed guards against noise that is taken for a property of
// a workspace.
func TestSplitThatExplainsNothingIsNotUsed(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	e := NewEstimator()
	now := learn(e, start, 5000, func(int) (Call, time.Duration) {
		return Call{Route: "r", Workspace: fmt.Sprint(random.IntN(40))}, time.Duration(random.ExpFloat64() * float64(20*time.Millisecond))
	})
	for w := range 40 {
		within(t, "workspace", e.Estimate(now, Call{Route: "r", Workspace: fmt.Sprint(w)}), e.Estimate(now, Call{Route: "r"}), 0.05)
	}
}

// TestEstimateForgets guards against estimates that stay wrong after the costs have changed.
func TestEstimateForgets(t *testing.T) {
	e, c := NewEstimator(), Call{Route: "r"}
	now := learn(e, start, 4000, func(int) (Call, time.Duration) { return c, 10 * time.Millisecond })
	now = learn(e, now, 2000, func(int) (Call, time.Duration) { return c, 80 * time.Millisecond }) // 10 s
	within(t, "after a change", e.Estimate(now, c), 80*time.Millisecond, 0.15)
}

// TestNewRouteStartsFromService guards against an estimate of a new route that its first few
// calls decide, or that has nothing to do with the service.
func TestNewRouteStartsFromService(t *testing.T) {
	e := NewEstimator()
	now := learn(e, start, 1000, func(int) (Call, time.Duration) { return Call{Route: "old"}, 50 * time.Millisecond })
	c := Call{Route: "new"}
	within(t, "unknown route", e.Estimate(now, c), 50*time.Millisecond, 0.01)
	e.Observe(now, c, time.Second, 1)
	if got := e.Estimate(now, c); got < 50*time.Millisecond || got > 250*time.Millisecond {
		t.Errorf("one call of 1s makes the estimate %v", got)
	}
}

// TestMemoryIsBounded guards against workspaces and routes without number that use up memory.
func TestMemoryIsBounded(t *testing.T) {
	e := NewEstimator()
	learn(e, start, 20_000, func(i int) (Call, time.Duration) {
		return Call{Route: fmt.Sprint(i % 500), Workspace: fmt.Sprint(i), BodyBytes: int64(i)}, time.Millisecond
	})
	learn(e, start, 20_000, func(i int) (Call, time.Duration) {
		return Call{Route: "r", Workspace: fmt.Sprint(i)}, time.Millisecond
	})
	if len(e.routes) > maxRoutes {
		t.Errorf("%d routes, want at most %d", len(e.routes), maxRoutes)
	}
	for _, r := range e.routes {
		if len(r.cells) > maxCells {
			t.Errorf("%d values, want at most %d", len(r.cells), maxCells)
		}
	}
}

// TestRemainingCostGrowsBeyondTheEstimate guards against a call that is always about to end:
// its target would look idle.
func TestRemainingCostGrowsBeyondTheEstimate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e, c := NewEstimator(), Call{Route: "r"}
		costs := rapid.SliceOfN(rapid.IntRange(1, 2000), 1, 300).Draw(t, "ms")
		now := learn(e, start, len(costs), func(i int) (Call, time.Duration) {
			return c, time.Duration(costs[i]) * time.Millisecond
		})
		estimate := e.Estimate(now, c)
		before := time.Duration(0)
		for spent := estimate; spent < 50*estimate; spent += estimate / 4 {
			left := e.Remaining("r", estimate, spent)
			if left <= 0 || left < before-time.Microsecond {
				t.Fatalf("after %v of %v remain %v, less than the %v before", spent, estimate, left, before)
			}
			before = left
		}
	})
}

// TestTailExceedsMean guards against a tail that does not follow the costs.
func TestTailExceedsMean(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	e, c := NewEstimator(), Call{Route: "r"}
	now := learn(e, start, 3000, func(int) (Call, time.Duration) {
		return c, time.Duration(random.ExpFloat64() * float64(20*time.Millisecond))
	})
	if got := e.Tail(now, c); got < 70*time.Millisecond || got > 160*time.Millisecond {
		t.Errorf("tail %v of exponential costs with mean 20ms, want about 92ms", got)
	}
}
