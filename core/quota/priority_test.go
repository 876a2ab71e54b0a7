package quota

import (
	"testing"
	"time"
)

// TestImportantCallsGetTokensUnderOverload plays a workspace that sends four times its
// rate, one call in four of the important kind: those fit into the rate by themselves.
func TestImportantCallsGetTokensUnderOverload(t *testing.T) {
	a := Allowance{Rate: 20, Burst: 20}
	shard := Shard{Workspace: "w", Count: a.ShardCount()}
	o, h := NewOwner(), NewTokenPool()
	now := time.Unix(0, 0)
	o.Acquire(now, shard, a)
	o.RenewLease(now.Add(time.Hour))
	h.SetAllowance("w", a)
	taken := map[uint64]bool{}
	settle := func() {
		for {
			ask, ok := h.NextRequest()
			if !ok {
				return
			}
			for _, id := range h.HandleGrant(now, ask, o.Grant(now, ask), nil) {
				taken[id] = true
			}
		}
	}
	important, served, others := 0, 0, 0
	for i := range uint64(800) {
		c := TokenRequest{Call: i, ReservedShare: 0.3, Deadline: now.Add(time.Second), MaxWait: 100 * time.Millisecond}
		if i%4 == 0 {
			c.ReservedShare = 0
		}
		if h.Take(now, "w", c) == Taken {
			taken[i] = true
		}
		settle()
		now = now.Add(12500 * time.Microsecond)
		h.Tick(now, nil)
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
