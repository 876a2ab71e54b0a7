package retry

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestRetriesStayWithinServiceLimit guards against more repeats at a service than its
// limit allows. Several nodes send and repeat calls as fast as the limiter permits. In
// every window the limit is the slack plus the ratio of the calls in that window, the
// window before it or the one half a window before, whichever has the most calls.
func TestRetriesStayWithinServiceLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const window = 10
		limit := ServiceLimit{Ratio: 0.2, Slack: rapid.Float64Range(10, 100).Draw(t, "slack"), Window: window * time.Second}
		nodes := rapid.IntRange(1, min(12, int(limit.Slack/2))).Draw(t, "nodes")
		rates := rapid.SliceOfN(rapid.IntRange(0, 60), 50, 50).Draw(t, "rates")
		nested := rapid.Bool().Draw(t, "deep")
		limiters := make([]*ServiceLimiter, nodes)
		for i := range limiters {
			limiters[i] = NewServiceLimiter(limit)
			limiters[i].SetNodeCount(nodes)
		}
		calls, repeats := make([]float64, len(rates)), make([]float64, len(rates))
		for i, rate := range rates {
			now := time.Unix(int64(i), 0)
			for _, l := range limiters {
				for range rate {
					l.RecordCall(now, "maps")
					calls[i]++
				}
				for l.Allow(now, "maps", nested) {
					repeats[i]++
				}
			}
		}
		sum := func(list []float64, from int) float64 {
			total := 0.0
			for i := max(0, from); i < min(len(list), from+window); i++ {
				total += list[i]
			}
			return total
		}
		for from := range rates {
			base := max(sum(calls, from), sum(calls, from-window), sum(calls, from-window/2))
			if got, limit := sum(repeats, from), limit.Ratio*base+limit.Slack; got > limit {
				t.Fatalf("service limit exceeded: %v repeats in the window from %d s, limit %v", got, from, limit)
			}
		}
	})
}
