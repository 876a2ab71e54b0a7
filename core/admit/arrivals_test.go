package admit

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestRateLimitHoldsInEverySecond guards against a second, wherever it begins, in which more
// calls start than the limit allows: with counters for fixed periods or a bucket of tokens, a
// burst at the border of two periods passes.
func TestRateLimitHoldsInEverySecond(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(1, 40).Draw(t, "limit")
		now := time.Unix(100, 0)
		g := NewGate()
		g.SetSlots(20)
		g.TrackArrivals(true)
		g.SetRateLimit(limit)
		var starts []time.Time
		running := 0
		gaps := rapid.SliceOfN(rapid.IntRange(0, 80), 300, 400).Draw(t, "gaps in ms")
		for i, gap := range gaps {
			now = now.Add(time.Duration(gap) * time.Millisecond)
			for _, dropped, ok := g.Next(now); ok; _, dropped, ok = g.Next(now) {
				if !dropped {
					starts, running = append(starts, now), running+1
				}
			}
			for {
				if _, ok := g.TakeHeldBack(now); !ok {
					break
				}
			}
			if d, _ := g.Offer(now, Call{ID: uint64(i + 1), Deadline: now.Add(4 * time.Second)}); d == Admitted {
				starts, running = append(starts, now), running+1
			}
			if running > 0 && gap%2 == 0 {
				g.Complete(Completion{Succeeded: true, TotalTime: 10 * time.Millisecond})
				running--
			}
		}
		for i, first := range starts {
			n := 0
			for _, s := range starts[i:] {
				if s.Sub(first) < time.Second {
					n++
				}
			}
			if n > limit {
				t.Fatalf("%d calls start in the second from %s on, want at most %d", n, first.Sub(starts[0]), limit)
			}
		}
	})
}

// limitedGate returns a gate with a limit of two calls a second.
func limitedGate() *Gate {
	g := NewGate()
	g.SetSlots(20)
	g.TrackArrivals(true)
	g.SetRateLimit(2)
	return g
}

// TestRateLimitCountsEarlierArrivals guards against a limit that starts with an empty window:
// a target that is found to be cold has already received calls in this second.
func TestRateLimitCountsEarlierArrivals(t *testing.T) {
	now := time.Unix(100, 0)
	g := NewGate()
	g.SetSlots(20)
	g.TrackArrivals(true)
	offer := func(d time.Duration) Decision {
		decision, _ := g.Offer(now, Call{ID: 1, Deadline: now.Add(d)})
		return decision
	}
	for range 5 {
		offer(time.Second)
	}
	g.SetRateLimit(2)
	now = now.Add(500 * time.Millisecond)
	if d := offer(time.Second); d != Refused {
		t.Errorf("a call in the same second got decision %d, want refused", d)
	}
	now = now.Add(rateWindow - 500*time.Millisecond)
	if d := offer(time.Second); d != Admitted {
		t.Errorf("a call in the next second got decision %d, want admitted", d)
	}
}

// TestWithdrawnArrivalIsReplaced guards against a target that gets fewer calls than it may
// because calls count that another instance was meant for.
func TestWithdrawnArrivalIsReplaced(t *testing.T) {
	now := time.Unix(100, 0)
	g := limitedGate()
	for range 2 {
		now = now.Add(time.Millisecond)
		g.Offer(now, Call{ID: 1, Deadline: now.Add(time.Second)})
	}
	if !g.RateLimited(now) {
		t.Fatal("no limit after two calls, want one")
	}
	g.WithdrawArrival(now)
	if d, _ := g.Offer(now, Call{ID: 2, Deadline: now.Add(time.Second)}); d != Admitted {
		t.Errorf("decision %d, want admitted", d)
	}
}

// TestHeldBackCallWaitsOnlyIfItsDeadlineAllows guards against calls that wait at a cold target
// until little time is left for any other one.
func TestHeldBackCallWaitsOnlyIfItsDeadlineAllows(t *testing.T) {
	now := time.Unix(100, 0)
	g := limitedGate()
	for range 2 {
		g.Offer(now, Call{ID: 1, Deadline: now.Add(time.Second)})
	}
	if d, _ := g.Offer(now, Call{ID: 2, Deadline: now.Add(2 * time.Second)}); d != Refused {
		t.Errorf("call with 2 s left: decision %d, want refused", d)
	}
	if d, _ := g.Offer(now, Call{ID: 3, Deadline: now.Add(6 * time.Second)}); d != Queued {
		t.Errorf("call with 6 s left: decision %d, want queued", d)
	}
	if _, _, ok := g.Next(now.Add(time.Second)); ok {
		t.Error("the queued call starts after 1 s, want after 1 s and the margin")
	}
	if c, _, ok := g.Next(now.Add(rateWindow)); !ok || c.ID != 3 {
		t.Errorf("after the margin call %d starts, want 3", c.ID)
	}
}

// TestLowerRankedCallGivesWay guards against important calls that are refused at a cold target
// because less important ones came first.
func TestLowerRankedCallGivesWay(t *testing.T) {
	now := time.Unix(100, 0)
	g := limitedGate()
	deadline := now.Add(6 * time.Second) // one call's wait fits, that of a third does not
	for id := range uint64(4) {
		g.Offer(now, Call{ID: id + 1, Deadline: deadline})
	}
	d, evicted := g.Offer(now, Call{ID: 9, Deadline: deadline, Rank: Rank{Class: 3}})
	if d != Queued || evicted.ID == 0 {
		t.Errorf("decision %d, evicted call %d; want queued in place of another", d, evicted.ID)
	}
}

// TestQueueShrinksWhenTheLimitIsSet guards against calls that keep waiting at a target that has
// become cold, until their deadlines pass.
func TestQueueShrinksWhenTheLimitIsSet(t *testing.T) {
	now := time.Unix(100, 0)
	g := NewGate()
	g.SetSlots(20)
	g.TrackArrivals(true)
	for id := range uint64(38) {
		g.Offer(now, Call{ID: id + 1, Deadline: now.Add(5 * time.Second)})
	}
	g.SetRateLimit(2)
	taken := 0
	for _, ok := g.TakeHeldBack(now); ok; _, ok = g.TakeHeldBack(now) {
		taken++
	}
	if queued := g.Stats().Queued; taken == 0 || queued > 2 {
		t.Errorf("%d calls were taken from the queue and %d left in it, want at most 2 left", taken, queued)
	}
}
