package store

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"celeryshelf/core"
	"celeryshelf/core/quota"
)

// claimClient is a store that holds one claim of an earlier process. It implements
// only the calls that a takeover needs; any other call panics.
type claimClient struct {
	Client
	t       *testing.T
	pairs   []KeyValue
	current int64 // present revision of the claim
	swaps   int
	creates int
}

func (c *claimClient) Range(context.Context, string) ([]KeyValue, int64, error) {
	return c.pairs, 7, nil
}

func (c *claimClient) CompareAndSwap(_ context.Context, _ string, revision int64, value []byte, _ int64) (bool, error) {
	c.swaps++
	if revision != c.current {
		return false, nil
	}
	c.current++
	c.pairs[0].Value, c.pairs[0].Revision = value, c.current
	return true, nil
}

func (c *claimClient) Create(context.Context, string, []string, []byte, int64) (bool, error) {
	c.creates++
	return false, nil
}

func (c *claimClient) Get(context.Context, string) (*KeyValue, error) { return &c.pairs[0], nil }

type eventRecorder []core.Event

func (e *eventRecorder) Post(v core.Event) bool {
	*e = append(*e, v)
	return true
}

type failOnWarning struct{ t *testing.T }

func (w failOnWarning) Warn(err error) { w.t.Error(err) }

type systemClock struct{}

func (systemClock) Now() time.Time { return time.Now() }

// TestClaimOfAnEarlierProcess guards against a restarted node that cannot claim
// its shard because the store still holds the claim of its earlier process.
func TestClaimOfAnEarlierProcess(t *testing.T) {
	shard := quota.Shard{Workspace: "w", Count: 1}
	for _, tt := range []struct {
		name           string
		writes         int64 // writes to the claim since it was read
		swaps, creates int
	}{
		{"claim unchanged since it was read", 0, 1, 0},
		{"claim changed since it was read", 1, 2, 1},
	} {
		l := NewLayout("shelf/")
		seen := &eventRecorder{}
		c := &claimClient{t: t, current: 5}
		s := NewSession(Config{
			Client: c, Layout: l, NodeName: "n0", Address: netip.MustParseAddrPort("127.0.0.1:1"),
			LeaseTTL: time.Second, Logger: failOnWarning{t}, Clock: systemClock{},
		})
		s.SetSink(seen)
		c.pairs = []KeyValue{{Key: l.shardKey(shard), Value: s.claimValue(1), Revision: 5}}
		if _, err := s.loadNodeRecords(t.Context()); err != nil {
			t.Fatal(err)
		}
		c.current += tt.writes
		c.pairs[0].Revision = c.current
		s.setLease(2, time.Now().Add(time.Second))
		if err := s.claimShard(t.Context(), &core.ClaimShard{Shard: shard}); err != nil {
			t.Fatal(err)
		}
		done, ok := (*seen)[len(*seen)-1].(*core.ClaimDone)
		if !ok || !done.Held || c.swaps != tt.swaps || c.creates != tt.creates {
			t.Errorf("%s: got %+v after %d swaps and %d creates, want %d and %d",
				tt.name, (*seen)[len(*seen)-1], c.swaps, c.creates, tt.swaps, tt.creates)
		}
	}
}
