package store

import (
	"context"
	"errors"
	"testing"
	"time"

	"celeryshelf/core"
	"celeryshelf/core/member"
	"celeryshelf/core/quota"
)

// testClock is a clock that a test sets.
type testClock struct{ now time.Time }

func (c *testClock) Now() time.Time { return c.now }

// newEraSession returns a session of a store that has named its first era, and its clock.
func newEraSession(t *testing.T, c Client) (*Session, *eventRecorder, *testClock) {
	clock := &testClock{now: time.Unix(1000, 0)}
	seen := &eventRecorder{}
	s := NewSession(Config{Client: c, Layout: NewLayout("shelf/"), NodeName: "n0", Address: testAddress, LeaseTTL: time.Second, Logger: failOnWarning{t}, Clock: clock})
	s.SetSink(seen)
	s.handleEra(1)
	return s, seen, clock
}

// TestRecentLeasesEndWithTheirEra guards against a node that relies on a lease, and on the keys
// under it, which the copy that the store has come back from does not hold. The store may have
// granted the number of the lease again. What is old enough is in each copy.
func TestRecentLeasesEndWithTheirEra(t *testing.T) {
	for _, tt := range []struct {
		name string
		idle time.Duration // since the last claim
		kept bool
	}{
		{"claimed some seconds before", 10 * time.Second, false},
		{"claimed long before", maxCopyAge, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			s, seen, clock := newEraSession(t, &claimClient{})
			if _, err := s.claims.acquire(t.Context()); err != nil {
				t.Fatal(err)
			}
			clock.now = clock.now.Add(2 * maxCopyAge)
			if err := s.claimShards(t.Context(), []*core.ClaimShard{{Shard: quota.Shard{Workspace: "w", Count: 1}}}); err != nil {
				t.Fatal(err)
			}
			clock.now = clock.now.Add(tt.idle)
			s.handleEra(2)
			if kept := s.claims.current() != 0; kept != tt.kept {
				t.Errorf("lease is kept: %t, want %t", kept, tt.kept)
			}
			_, lost := (*seen)[len(*seen)-1].(*core.LeaseLost)
			if lost == tt.kept {
				t.Errorf("loss of the lease reported: %t, want %t", lost, !tt.kept)
			}
		})
	}
}

// discardEvents is a sink for several goroutines.
type discardEvents struct{}

func (discardEvents) Post(core.Event) bool { return true }

// TestAnnouncementIsWrittenAgainInANewEra guards against a node that is missing in the store, or
// known by an older announcement, after the store has come back.
func TestAnnouncementIsWrittenAgainInANewEra(t *testing.T) {
	c := newLeaseClient()
	s, _, _ := newEraSession(t, c)
	s.SetSink(discardEvents{})
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { defer close(done); s.Run(ctx) }()
	s.Submit(&core.AnnounceMember{Member: member.Member{Name: "n0"}})
	key := s.Layout.memberKey("n0")
	c.await(t, key, 0)
	first := c.leaseOf(key)
	c.lose(key)
	s.handleEra(2)
	c.await(t, key, first)
	stop()
	<-done
}

// TestLeaseGrantedBeforeTheReturnIsNotUsed guards against a grant whose response is processed
// after the store has come back from a copy without that lease.
func TestLeaseGrantedBeforeTheReturnIsNotUsed(t *testing.T) {
	c := &returningClient{}
	s, _, _ := newEraSession(t, c)
	c.during = func() { s.handleEra(2) }
	if _, err := s.member.acquire(t.Context()); !errors.Is(err, errStoreReturned) {
		t.Errorf("error %v, want %v", err, errStoreReturned)
	}
	if s.member.current() != 0 {
		t.Error("the lease is used")
	}
}

// returningClient grants leases and lets the store come back from a copy meanwhile.
type returningClient struct {
	Client
	during func()
}

func (c *returningClient) Grant(context.Context, time.Duration) (int64, error) {
	c.during()
	return 1, nil
}

// KeepAlive renews a lease.
func (c *returningClient) KeepAlive(context.Context, int64) (time.Duration, error) {
	c.during()
	return time.Second, nil
}

// TestLeaseRenewedBeforeTheReturnIsNotUsed guards against a renewal that takes up a lease again
// that was given up while its response was on the way.
func TestLeaseRenewedBeforeTheReturnIsNotUsed(t *testing.T) {
	c := &returningClient{during: func() {}}
	s, _, _ := newEraSession(t, c)
	if _, err := s.claims.acquire(t.Context()); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	c.during = func() { s.handleEra(2) }
	s.claims.renew(ctx)
	if s.claims.current() != 0 {
		t.Error("the lease is used")
	}
	if ctx.Err() != nil {
		t.Error("the lease is renewed on")
	}
}

// TestReadIsRepeatedInANewEra guards against a watch that goes on from a revision of the era
// before, which the store gives out again.
func TestReadIsRepeatedInANewEra(t *testing.T) {
	s, _, _ := newEraSession(t, &claimClient{})
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	reads := 0
	s.loadAndWatch(ctx, "shelf/", func(ctx context.Context) (int64, error) {
		reads++
		if reads == 2 {
			stop()
			return 0, ctx.Err()
		}
		s.handleEra(2)
		return 0, ctx.Err()
	})
	if reads != 2 {
		t.Errorf("the store was read %d times, want 2", reads)
	}
}

// TestRevisionsOfTheEarlierEraAreDiscarded guards against the takeover of a claim at a revision
// that now belongs to the claim of another node, and against a watch that counts as up to date
// by a revision of the era before.
func TestRevisionsOfTheEarlierEraAreDiscarded(t *testing.T) {
	c := &claimClient{}
	s, _, _ := newEraSession(t, c)
	shard := quota.Shard{Workspace: "w", Count: 1}
	c.pairs = []KeyValue{{Key: s.Layout.shardKey(shard), Value: s.claimValue(1), Revision: 5}}
	if _, err := s.loadNodeRecords(t.Context()); err != nil {
		t.Fatal(err)
	}
	s.handleEra(2)
	if revision := s.takePreviousClaim(s.Layout.shardKey(shard)); revision != 0 {
		t.Errorf("the claim would be taken over at revision %d of the era before", revision)
	}
	cancelled := false
	s.watched.setCancel(func() { cancelled = true })
	for range 2 {
		s.watched.cancelIfStalled(3)
	}
	if !cancelled {
		t.Error("a watch that has not reported revision 3 of the new era counts as up to date")
	}
}
