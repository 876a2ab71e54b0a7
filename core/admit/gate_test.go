package admit

import (
	"testing"
	"time"
)

// TestQueuedCallsExpireBeforeSenderTimesOut guards against queued calls that are refused
// too late while the target is full: the sender would time out first and not know whether
// the call was executed.
func TestQueuedCallsExpireBeforeSenderTimesOut(t *testing.T) {
	now := time.Unix(100, 0)
	g := NewGate()
	g.SetSlots(3)
	for range 2 {
		if d, _ := g.Offer(now, Call{ID: 1, Deadline: now.Add(time.Second), ExpectedTime: time.Millisecond}); d != Admitted {
			t.Fatal("call refused or queued while a slot is free, want admitted")
		}
	}
	short := Call{ID: 2, Deadline: now.Add(100 * time.Millisecond), ExpectedTime: time.Millisecond}
	long := Call{ID: 3, Deadline: now.Add(time.Second), ExpectedTime: 300 * time.Millisecond}
	for _, c := range []Call{short, long} {
		if d, _ := g.Offer(now, c); d != Queued {
			t.Fatalf("call %d is not queued", c.ID)
		}
	}
	for _, tt := range []struct {
		at        time.Duration
		expiredID uint64
	}{
		{100*time.Millisecond - refusalLeadTime - time.Millisecond, 0},
		{100*time.Millisecond - refusalLeadTime + time.Millisecond, 2},
		{time.Second - 181*time.Millisecond, 0},
		{time.Second - 179*time.Millisecond, 3},
	} {
		if expired, _ := g.TakeExpired(now.Add(tt.at)); expired.ID != tt.expiredID {
			t.Errorf("after %s call %d expires, want %d (0: none)", tt.at, expired.ID, tt.expiredID)
		}
	}
}

// TestGateKeepsHeadroomOfDeclaredSlots guards against filling all declared slots of a
// target: some targets slow down when nearly full.
func TestGateKeepsHeadroomOfDeclaredSlots(t *testing.T) {
	now := time.Unix(100, 0)
	g := NewGate()
	g.SetSlots(40)
	admitted := 0
	for i := range uint64(40) {
		if d, _ := g.Offer(now, Call{ID: i, Deadline: now.Add(time.Second), ExpectedTime: time.Millisecond}); d == Admitted {
			admitted++
		}
	}
	if admitted != 38 {
		t.Errorf("%d calls admitted at once, want 38 of 40 declared slots", admitted)
	}
}
