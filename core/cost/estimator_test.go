package cost

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

var start = time.Unix(1000, 0)

// learn observes n calls, 5 ms apart, and returns the time after them.
func learn(e *Estimator, now time.Time, n int, next func(i int) (string, time.Duration)) time.Time {
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

// TestEstimateForgets guards against estimates that stay wrong after the costs have changed.
func TestEstimateForgets(t *testing.T) {
	e, c := NewEstimator(), "r"
	now := learn(e, start, 4000, func(int) (string, time.Duration) { return c, 10 * time.Millisecond })
	now = learn(e, now, 2000, func(int) (string, time.Duration) { return c, 80 * time.Millisecond }) // 10 s
	within(t, "after a change", e.Estimate(now, c), 80*time.Millisecond, 0.15)
}

// TestNewRouteStartsFromService guards against an estimate of a new route that its first few
// calls decide, or that has nothing to do with the service.
func TestNewRouteStartsFromService(t *testing.T) {
	e := NewEstimator()
	now := learn(e, start, 1000, func(int) (string, time.Duration) { return "old", 50 * time.Millisecond })
	c := "new"
	within(t, "unknown route", e.Estimate(now, c), 50*time.Millisecond, 0.01)
	e.Observe(now, c, time.Second, 1)
	if got := e.Estimate(now, c); got < 50*time.Millisecond || got > 250*time.Millisecond {
		t.Errorf("one call of 1s makes the estimate %v", got)
	}
}

// TestMemoryIsBounded guards against routes without number that use up memory.
func TestMemoryIsBounded(t *testing.T) {
	e := NewEstimator()
	now := learn(e, start, 20_000, func(i int) (string, time.Duration) { return fmt.Sprint(i), time.Millisecond })
	if len(e.routes) > maxRoutes {
		t.Errorf("%d routes, want at most %d", len(e.routes), maxRoutes)
	}
	if _, ok := e.routes["19999"]; !ok {
		t.Error("the newest route was removed")
	}
	within(t, "removed route", e.Estimate(now, "0"), time.Millisecond, 0.01)
}

// TestRoutesAreToldApart guards against one estimate for routes of very different cost.
func TestRoutesAreToldApart(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	e := NewEstimator()
	now := learn(e, start, 4000, func(i int) (string, time.Duration) {
		mean := map[bool]float64{true: 90, false: 10}[i%2 == 0]
		return fmt.Sprint(i % 2), time.Duration(mean * (0.5 + random.Float64()) * float64(time.Millisecond))
	})
	within(t, "large", e.Estimate(now, "0"), 90*time.Millisecond, 0.1)
	within(t, "small", e.Estimate(now, "1"), 10*time.Millisecond, 0.2)
	within(t, "mean", e.Unit(), 50*time.Millisecond, 0.1)
}
