package core

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestColdTargetBoundUnderRandomArrivals guards against a second in which a cold target gets
// more calls than its rate, whatever the order of calls, reports, 421s and new instances.
func TestColdTargetBoundUnderRandomArrivals(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := newWarmupNode().start()
		var end time.Time // of the cold period, by the newest report or assumption
		start, sequence := int64(1), uint64(0)
		n.heartbeat(start, sequence, 0)
		end = n.now.Add(testColdTime)
		for _, action := range rapid.SliceOfN(rapid.IntRange(0, 99), 400, 600).Draw(t, "actions") {
			n.now = n.now.Add(time.Duration(action%7) * 3 * time.Millisecond)
			before := len(n.runs)
			switch {
			case action < 2: // another instance
				start, sequence = start+1, 0
				n.heartbeat(start, 0, 0)
				end = n.now.Add(testColdTime)
			case action < 6:
				sequence++
				remaining := time.Duration(action%3) * 3 * time.Second
				n.heartbeat(start, sequence, remaining)
				end = n.now.Add(remaining)
			case action < 8:
				n.heartbeat(start-1, sequence+10, 0) // of the previous instance
			case action < 30:
				n.step(&Tick{})
			default:
				n.report.Misdirected = action%10 == 0
				n.call(time.Duration(action) * 50 * time.Millisecond)
				n.report.Misdirected = false
			}
			if got := n.recentRuns(); len(n.runs) > before && n.now.Before(end) && got > testColdRate {
				t.Fatalf("%d calls in the second up to %s, want at most %d", got, n.now.Sub(time.Unix(1000, 0)), testColdRate)
			}
		}
	})
}
