package backlog

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

const unit = 40 * time.Millisecond

// TestTimeToComplete guards against a number that leaves out running or waiting work or the
// slowness of the target, and against calls beyond their estimate that seem about to end.
func TestTimeToComplete(t *testing.T) {
	now := time.Unix(1000, 0)
	var b Backlog
	check := func(what string, slowness float64, want time.Duration) {
		t.Helper()
		got := b.TimeToComplete(now, 2, unit, slowness)
		if d := got - want; d < -time.Microsecond || d > time.Microsecond {
			t.Errorf("%s: %v, want %v", what, got, want)
		}
	}
	check("idle", 1, unit)
	check("idle and slow", 3, 3*unit)
	b.Start(now, 1, unit)
	check("one slot free", 1, unit)
	b.Start(now, 2, unit)
	check("both busy", 1, unit+unit/2)
	b.Wait(3, 100*time.Millisecond)
	check("one waiting", 1, unit+unit/2+50*time.Millisecond)
	now = now.Add(unit / 2)
	check("half done", 1, unit+unit/2+50*time.Millisecond)
	now = now.Add(3*unit - unit/2)
	check("three times the estimate", 1, unit+3*unit/2+50*time.Millisecond)
	b.Remove(1)
	b.Start(now, 3, 100*time.Millisecond)
	b.Remove(2)
	b.Remove(3)
	check("all done", 1, unit)
}

// TestRemovedCallsLeaveNoWork guards against work that remains after its calls have left, which
// would keep calls away from the target for good.
func TestRemovedCallsLeaveNoWork(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		var b Backlog
		for range rapid.IntRange(0, 50).Draw(t, "events") {
			id := uint64(rapid.IntRange(1, 8).Draw(t, "id"))
			cost := time.Duration(rapid.IntRange(1, 100).Draw(t, "ms")) * time.Millisecond
			switch rapid.IntRange(0, 2).Draw(t, "kind") {
			case 0:
				b.Wait(id, cost)
			case 1:
				b.Start(now, id, cost)
			default:
				b.Remove(id)
			}
			if got := b.TimeToComplete(now, 4, unit, 1); got < unit {
				t.Fatalf("%v until a call of %v completes", got, unit)
			}
		}
		for id := range uint64(9) {
			b.Remove(id)
		}
		if b.Len() != 0 || b.running != 0 || b.waiting != 0 {
			t.Fatalf("left: %+v", b)
		}
	})
}
