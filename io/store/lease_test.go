package store

import (
	"sync"
	"testing"
	"time"

	"celeryshelf/core"
	"celeryshelf/core/quota"
)

// orderedSink records whether a claim was reported as held after the lease was lost.
type orderedSink struct {
	mu   sync.Mutex
	lost bool
	late int
}

func (o *orderedSink) Post(e core.Event) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	switch e := e.(type) {
	case *core.LeaseLost:
		o.lost = true
	case *core.ClaimDone:
		if e.Held && o.lost {
			o.late++
		}
	}
	return true
}

// TestClaimIsNotReportedAfterItsLeaseIsLost guards against a claim that is reported as held
// after the loss of its lease: the reducer would own a shard whose record is gone.
func TestClaimIsNotReportedAfterItsLeaseIsLost(t *testing.T) {
	claims := []*core.ClaimShard{{Shard: quota.Shard{Workspace: "w", Count: 1}}}
	late := 0
	for range 20000 {
		s, _ := newClaimSession(t, &claimClient{})
		sink := &orderedSink{}
		s.SetSink(sink)
		s.claims.setGranted(2, time.Now(), 0)
		var group sync.WaitGroup
		group.Go(func() { s.reportClaims(2, claims, true) })
		group.Go(s.claims.clear)
		group.Wait()
		late += sink.late
	}
	if late > 0 {
		t.Errorf("%d of 20000 claims were reported as held after the lease was lost", late)
	}
}
