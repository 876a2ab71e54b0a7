package cost

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// observeReports plays n calls of 10 ms cost, 10 ms apart, whose time follows slow and whose
// reports follow report.
func observeReports(s *Slowness, now time.Time, n int, next func(i int) (slow, report float64)) time.Time {
	for i := range n {
		now = now.Add(10 * time.Millisecond)
		slow, report := next(i)
		s.Report(now, report)
		s.Observe(10*time.Millisecond, time.Duration(slow*float64(10*time.Millisecond)))
	}
	return now
}

// TestSlownessFollowsReportsThatPredict guards against reports that are ignored or believed
// whatever they predict.
func TestSlownessFollowsReportsThatPredict(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	draw := func() float64 { return math.Exp(random.NormFloat64() / 2) }
	var right, wrong, constant Slowness
	now := observeReports(&right, start, 3000, func(int) (float64, float64) { x := draw(); return x, x })
	right.Report(now, 3)
	if f := right.Factor(now); f < 2.5 || f > 3.5 {
		t.Errorf("reports that predict: a report of 3 counts as %.2f", f)
	}
	now = observeReports(&wrong, start, 3000, func(int) (float64, float64) { return 1, draw() })
	wrong.Report(now, 4)
	if f := wrong.Factor(now); f > 1.3 {
		t.Errorf("reports that predict nothing: a report of 4 counts as %.2f", f)
	}
	now = observeReports(&constant, start, 3000, func(int) (float64, float64) { return 1, 4 })
	if f := constant.Factor(now); math.Abs(f-4) > 0.01 {
		t.Errorf("constant reports of 4 count as %.2f, want the 4 by which the costs were divided", f)
	}
}

// TestOldReportsFade guards against a target that stays slow in the eyes of its node after its
// reports have stopped.
func TestOldReportsFade(t *testing.T) {
	var s Slowness
	now := observeReports(&s, start, 1000, func(int) (float64, float64) { return 1, 1 })
	s.Report(now, 10)
	if f := s.Factor(now.Add(5 * time.Second)); f > 1.1 {
		t.Errorf("5 s after the last report the slowness is %.2f, want the usual", f)
	}
}

// TestReportsOutOfOrder guards against an older report that replaces a newer one.
func TestReportsOutOfOrder(t *testing.T) {
	var s Slowness
	now := observeReports(&s, start, 100, func(int) (float64, float64) { return 1, 1 })
	before := s
	s.Report(now.Add(-time.Millisecond), 50)
	if s != before {
		t.Error("an older report was applied")
	}
}

// TestImpossibleReportsAreIgnored guards against figures that no division survives.
func TestImpossibleReportsAreIgnored(t *testing.T) {
	var s Slowness
	for _, ratio := range []float64{0, -1, math.NaN(), math.Inf(1), 1e9} {
		s.Report(start, ratio)
		if f := s.Factor(start); f != 1 {
			t.Errorf("a report of %v counts as %v", ratio, f)
		}
	}
}
