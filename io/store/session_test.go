package store

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"strings"
	"testing"
	"time"

	"celeryshelf/core"
	"celeryshelf/core/quota"
)

// claimClient is a store that holds claims. It implements only the calls that claiming needs;
// any other call panics.
type claimClient struct {
	Client
	pairs   []KeyValue
	commits int
	reads   int
	largest int // number of conditions and writes of the largest transaction
	fail    error
}

func (c *claimClient) Grant(context.Context, time.Duration) (int64, error) { return 2, c.fail }

func (c *claimClient) Range(_ context.Context, prefix string) ([]KeyValue, int64, error) {
	c.reads++
	var out []KeyValue
	for _, p := range c.pairs {
		if strings.HasPrefix(p.Key, prefix) {
			out = append(out, p)
		}
	}
	return out, 7, c.fail
}

func (c *claimClient) find(key string) *KeyValue {
	for i := range c.pairs {
		if c.pairs[i].Key == key {
			return &c.pairs[i]
		}
	}
	return nil
}

func (c *claimClient) Commit(_ context.Context, writes []Write, _ int64) (bool, error) {
	c.commits++
	size := 0
	for _, w := range writes {
		size += 2 + len(w.Absent)
		if p := c.find(w.Key); (p == nil) != (w.Revision == 0) || p != nil && p.Revision != w.Revision {
			return false, c.fail
		}
		for _, key := range w.Absent {
			if c.find(key) != nil {
				return false, c.fail
			}
		}
	}
	c.largest = max(c.largest, size)
	for _, w := range writes {
		if p := c.find(w.Key); p != nil {
			p.Value = w.Value
			p.Revision++
			continue
		}
		c.pairs = append(c.pairs, KeyValue{Key: w.Key, Value: w.Value, Revision: 1})
	}
	return true, c.fail
}

type eventRecorder []core.Event

func (e *eventRecorder) Post(v core.Event) bool {
	*e = append(*e, v)
	return true
}

type failOnWarning struct{ t *testing.T }

func (w failOnWarning) Warn(err error) { w.t.Error(err) }

type systemClock struct{}

func (systemClock) Now() time.Time { return time.Now() }

func newClaimSession(t *testing.T, c *claimClient) (*Session, *eventRecorder) {
	seen := &eventRecorder{}
	s := NewSession(Config{
		Client: c, Layout: NewLayout("shelf/"), NodeName: "n0", Address: netip.MustParseAddrPort("127.0.0.1:1"),
		LeaseTTL: time.Second, Logger: failOnWarning{t}, Clock: systemClock{},
	})
	s.SetSink(seen)
	return s, seen
}

// held returns the shards that were reported as held.
func (e *eventRecorder) held() map[quota.Shard]bool {
	out := map[quota.Shard]bool{}
	for _, v := range *e {
		if done, ok := v.(*core.ClaimDone); ok && done.Held {
			out[done.Shard] = true
		}
	}
	return out
}

// TestClaimOfAnEarlierProcess guards against a restarted node that cannot claim
// its shard because the store still holds the claim of its earlier process.
func TestClaimOfAnEarlierProcess(t *testing.T) {
	shard := quota.Shard{Workspace: "w", Count: 1}
	for _, tt := range []struct {
		name           string
		read           bool  // the node has read the records
		writes         int64 // writes to the claim since then
		commits, reads int
	}{
		{"claim unchanged since it was read", true, 0, 1, 1},
		{"claim changed since it was read", true, 1, 2, 2},
		{"records not read", false, 0, 2, 1},
	} {
		c := &claimClient{}
		s, seen := newClaimSession(t, c)
		c.pairs = []KeyValue{{Key: s.Layout.shardKey(shard), Value: s.claimValue(1), Revision: 5}}
		if tt.read {
			if _, err := s.loadNodeRecords(t.Context()); err != nil {
				t.Fatal(err)
			}
		}
		c.pairs[0].Revision += tt.writes
		if err := s.claimShards(t.Context(), []*core.ClaimShard{{Shard: shard}}); err != nil {
			t.Fatal(err)
		}
		if !seen.held()[shard] || c.commits != tt.commits || c.reads != tt.reads {
			t.Errorf("%s: held %v after %d transactions and %d reads, want %d and %d", tt.name, seen.held(), c.commits, c.reads, tt.commits, tt.reads)
		}
	}
}

// TestClaimsShareTransactions guards against one call to the store for each claimed shard: the
// claims of a starting fleet would be most of its calls.
func TestClaimsShareTransactions(t *testing.T) {
	var claims []*core.ClaimShard
	for i := range 40 {
		claims = append(claims, &core.ClaimShard{
			Shard:       quota.Shard{Workspace: fmt.Sprint("w", i), Index: i % 3, Count: 3},
			Conflicting: []quota.Shard{{Workspace: fmt.Sprint("w", i), Count: 1}},
		})
	}
	for _, tt := range []struct {
		name  string
		taken int // shards that another node holds
		calls int
	}{
		{"all vacant", 0, 4},
		{"some held by another node", 3, 8},
	} {
		c := &claimClient{}
		s, seen := newClaimSession(t, c)
		other, err := json.Marshal(shardClaim{Owner: "n1", ID: "9"})
		if err != nil {
			t.Fatal(err)
		}
		for _, claim := range claims[:tt.taken] {
			c.pairs = append(c.pairs, KeyValue{Key: s.Layout.shardKey(claim.Shard), Value: other, Revision: 3})
		}
		if err := s.claimShards(t.Context(), claims); err != nil {
			t.Fatal(err)
		}
		if got := len(seen.held()); got != len(claims)-tt.taken {
			t.Errorf("%s: %d shards are held, want %d", tt.name, got, len(claims)-tt.taken)
		}
		for _, claim := range claims[:tt.taken] {
			if seen.held()[claim.Shard] {
				t.Errorf("%s: a shard of another node is reported as held", tt.name)
			}
		}
		if calls := c.commits + c.reads; calls > tt.calls || c.largest > maxCommitEntries {
			t.Errorf("%s: %d calls, want at most %d; the largest transaction has %d entries, the maximum is %d", tt.name, calls, tt.calls, c.largest, maxCommitEntries)
		}
	}
}

// TestClaimsPauseWhileTheStoreIsAway guards against claims that are sent again and again to a
// store that does not answer.
func TestClaimsPauseWhileTheStoreIsAway(t *testing.T) {
	c := &claimClient{fail: errors.New("store is away")}
	s, _ := newClaimSession(t, c)
	s.claims.setGranted(2, time.Now(), 0)
	for range 20 {
		_ = s.claimShards(t.Context(), []*core.ClaimShard{{Shard: quota.Shard{Workspace: "w", Count: 1}}})
	}
	if c.commits > 1 {
		t.Errorf("%d transactions at once, want one", c.commits)
	}
}
