package quota

import (
	"testing"
	"time"
)

// TestScarceTokensGoToImportantCalls plays a workspace that sends four times its
// rate, one call in four of the important kind: those fit into the rate by themselves.
func TestScarceTokensGoToImportantCalls(t *testing.T) {
	a := Allowance{Rate: 20, Burst: 20}
	shard := Shard{Workspace: "w", Count: a.Shards()}
	o, h := NewOwner(), NewHolder()
	now := time.Unix(0, 0)
	o.Acquire(now, shard, a)
	o.Renew(now.Add(time.Hour))
	h.Declare("w", a)
	taken := map[uint64]bool{}
	settle := func() {
		for {
			ask, ok := h.NextAsk()
			if !ok {
				return
			}
			for _, id := range h.Granted(now, ask, o.Grant(now, ask), nil) {
				taken[id] = true
			}
		}
	}
	important, served, others := 0, 0, 0
	for i := range uint64(800) {
		c := Claim{Call: i, Keep: 0.3, Deadline: now.Add(time.Second), Patience: 100 * time.Millisecond}
		if i%4 == 0 {
			c.Keep = 0
		}
		if h.Take(now, "w", c) == Taken {
			taken[i] = true
		}
		settle()
		now = now.Add(12500 * time.Microsecond)
		h.Turn(now, nil)
		settle()
	}
	for i := range uint64(800) {
		switch {
		case i%4 == 0:
			important++
			if taken[i] {
				served++
			}
		case taken[i]:
			others++
		}
	}
	if float64(served) < 0.9*float64(important) {
		t.Errorf("%d of %d important calls got a token", served, important)
	}
	if total := float64(served + others); total > 20*10+20 {
		t.Errorf("%v calls got a token in 10 s at a rate of 20 and a burst of 20", total)
	}
}
