package quota

import (
	"testing"
	"time"
)

// TestImportantCallsGetTokensUnderOverload guards against less important calls taking the
// tokens of important ones. A workspace sends four times its rate; one call in four is
// important, so that the important calls alone fit into the rate.
func TestImportantCallsGetTokensUnderOverload(t *testing.T) {
	a := Allowance{Rate: 20, Burst: 20}
	shard := Shard{Workspace: "w", Count: a.ShardCount()}
	owner, pool := NewOwner(), NewTokenPool()
	now := time.Unix(0, 0)
	owner.Acquire(now, shard, a)
	owner.RenewLease(now.Add(time.Hour))
	pool.SetAllowance("w", a)
	taken := map[uint64]bool{}
	processRequests := func() {
		for {
			req, ok := pool.NextRequest()
			if !ok {
				return
			}
			for _, id := range pool.HandleGrant(now, req, owner.Grant(now, req), nil) {
				taken[id] = true
			}
		}
	}
	important, served, others := 0, 0, 0
	for i := range uint64(800) {
		req := TokenRequest{Call: i, ReservedShare: 0.3, Deadline: now.Add(time.Second), MaxWait: 100 * time.Millisecond}
		if i%4 == 0 {
			req.ReservedShare = 0
		}
		if pool.Take(now, "w", req) == Taken {
			taken[i] = true
		}
		processRequests()
		now = now.Add(12500 * time.Microsecond)
		pool.Tick(now, nil)
		processRequests()
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
		t.Errorf("less important calls took tokens: only %d of %d important calls got one, want at least 90%%", served, important)
	}
	if total := float64(served + others); total > 20*10+20 {
		t.Errorf("quota exceeded: %v calls got a token in 10 s, want at most 220 at rate 20/s and burst 20", total)
	}
}
