package retry

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestAllowanceKeepsTheBound lets several nodes send and repeat calls as fast as
// they may and counts what a service gets in every window.
func TestAllowanceKeepsTheBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := Bound{Ratio: 0.2, Slack: rapid.Float64Range(10, 100).Draw(t, "slack"), Window: 10 * time.Second}
		nodes := rapid.IntRange(1, 12).Draw(t, "nodes")
		if float64(nodes) > b.Slack/2 {
			t.Skip("more nodes than the slack can be divided among")
		}
		all := make([]*Allowance, nodes)
		for i := range all {
			all[i] = NewAllowance(b)
			all[i].Share(nodes)
		}
		type second struct{ calls, repeats float64 }
		var seconds []second
		now := time.Unix(0, 0)
		for range 40 {
			rate := rapid.IntRange(0, 60).Draw(t, "rate")
			var s second
			for _, a := range all {
				for range rate {
					a.Called(now, "maps")
					s.calls++
				}
				for a.Spend(now, "maps", rapid.Bool().Draw(t, "deep")) {
					s.repeats++
				}
			}
			seconds = append(seconds, s)
			now = now.Add(time.Second)
		}
		for from := range seconds {
			var sum second
			for _, s := range seconds[from:min(len(seconds), from+10)] {
				sum.calls += s.calls
				sum.repeats += s.repeats
			}
			if from > 0 {
				sum.calls = max(sum.calls, sum.calls-seconds[from].calls+seconds[from-1].calls)
			}
			if limit := b.Ratio*sum.calls + b.Slack; sum.repeats > limit {
				t.Fatalf("window from %d s: %v repeats, bound %v", from, sum.repeats, limit)
			}
		}
	})
}
