package retry

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestReservedRetriesStayWithinServiceLimit guards against repeats beyond the limit when each
// call leaves another share of them to others, in the windows of
// TestRetriesStayWithinServiceLimit.
func TestReservedRetriesStayWithinServiceLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := ServiceLimit{Ratio: 0.2, Slack: rapid.Float64Range(10, 100).Draw(t, "slack"), Window: 10 * time.Second}
		rates := rapid.SliceOfN(rapid.IntRange(0, 60), 50, 50).Draw(t, "rates")
		reserves := rapid.SliceOfN(rapid.Float64Range(0, 1), 7, 7).Draw(t, "reserves")
		l := NewServiceLimiter(limit)
		calls, repeats := make([]float64, 80), make([]float64, 80)
		for i, rate := range rates {
			now := time.Unix(int64(i), 0)
			for n := range rate {
				l.RecordCall(now, "maps")
				calls[20+i]++
				if l.AllowAbove(now, "maps", reserves[(i+n)%len(reserves)]) {
					repeats[20+i]++
				}
			}
		}
		sum := func(list []float64, from int) (total float64) {
			for _, n := range list[from : from+10] {
				total += n
			}
			return total
		}
		for from := 20; from < 70; from++ {
			base := max(sum(calls, from), sum(calls, from-10), sum(calls, from-5))
			if got, most := sum(repeats, from), limit.Ratio*base+limit.Slack; got > most {
				t.Fatalf("%v repeats in the window from %d s, limit %v", got, from-20, most)
			}
		}
	})
}

// TestReserveLeavesRetries guards against calls of low rank that use up the retries which those
// of high rank need.
func TestReserveLeavesRetries(t *testing.T) {
	l, now := NewServiceLimiter(ServiceLimit{Ratio: 0.2, Slack: 50, Window: 10 * time.Second}), time.Unix(1, 0)
	for range 1000 {
		l.RecordCall(now, "maps")
	}
	used := func(reserve float64) (n int) {
		for l.AllowAbove(now, "maps", reserve) {
			n++
		}
		return n
	}
	low, high := used(0.5), used(0)
	if low == 0 || high < low-1 {
		t.Errorf("calls that leave half of the retries got %d, the others %d", low, high)
	}
}
