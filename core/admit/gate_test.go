package admit

import (
	"testing"
	"time"
)

// TestQueuedCallsAreToldInTime has calls wait for a target that is full: the news that
// they have not run must leave before their senders give up by themselves.
func TestQueuedCallsAreToldInTime(t *testing.T) {
	now := time.Unix(100, 0)
	g := NewGate()
	g.Declare(3)
	for range 2 {
		if d, _ := g.Offer(now, Item{Call: 1, Deadline: now.Add(time.Second), Need: time.Millisecond}); d != Admitted {
			t.Fatal("the target is not filled")
		}
	}
	short := Item{Call: 2, Deadline: now.Add(100 * time.Millisecond), Need: time.Millisecond}
	long := Item{Call: 3, Deadline: now.Add(time.Second), Need: 300 * time.Millisecond}
	for _, it := range []Item{short, long} {
		if d, _ := g.Offer(now, it); d != Queued {
			t.Fatalf("call %d does not wait", it.Call)
		}
	}
	for _, tt := range []struct {
		at   time.Duration
		call uint64
	}{
		{100*time.Millisecond - newsTime - time.Millisecond, 0},
		{100*time.Millisecond - newsTime + time.Millisecond, 2},
		{time.Second - 181*time.Millisecond, 0},
		{time.Second - 179*time.Millisecond, 3},
	} {
		if it, _ := g.Expired(now.Add(tt.at)); it.Call != tt.call {
			t.Errorf("after %s call %d is given up, want %d", tt.at, it.Call, tt.call)
		}
	}
}

// TestSlotsAreNotUsedUp keeps a target that declares its slots below the point where
// some of them slow down.
func TestSlotsAreNotUsedUp(t *testing.T) {
	now := time.Unix(100, 0)
	g := NewGate()
	g.Declare(40)
	admitted := 0
	for i := range uint64(40) {
		if d, _ := g.Offer(now, Item{Call: i, Deadline: now.Add(time.Second), Need: time.Millisecond}); d == Admitted {
			admitted++
		}
	}
	if admitted != 38 {
		t.Errorf("%d calls run at once, want 38 of 40", admitted)
	}
}
