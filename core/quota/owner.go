package quota

import (
	"maps"
	"math"
	"slices"
	"time"
)

// Grant is an owner's answer to an ask.
type Grant struct {
	Tokens         int           `json:"n"`
	RetryAfter     time.Duration `json:"retry"`            // when a token may be free, if Tokens is 0
	RemainingShare float64       `json:"spare"`            // share of the bucket that is left
	NotOwner       bool          `json:"vacant,omitempty"` // the node that was asked does not own the shard
}

// bucket is one shard's token bucket.
type bucket struct {
	rate, size float64
	tokens     float64
	last       time.Time
}

func (b *bucket) refill(now time.Time) {
	if now.After(b.last) {
		b.tokens = min(b.size, b.tokens+b.rate*now.Sub(b.last).Seconds())
		b.last = now
	}
}

// Owner runs the buckets of the shards whose lease this node holds.
type Owner struct {
	buckets     map[Shard]*bucket
	leaseExpiry time.Time // the lease is certainly held before
}

// NewOwner returns an owner of nothing.
func NewOwner() *Owner { return &Owner{buckets: map[Shard]*bucket{}} }

// Acquire starts an empty bucket for a shard. Together with what the previous
// owner granted, which the bucket's size allows for, it stays within the burst.
func (o *Owner) Acquire(now time.Time, s Shard, a Allowance) {
	rate, size := a.perShard()
	o.buckets[s] = &bucket{rate: rate, size: size, last: now}
}

// UpdateAllowance follows a changed allowance.
func (o *Owner) UpdateAllowance(now time.Time, s Shard, a Allowance) {
	b, ok := o.buckets[s]
	if !ok {
		return
	}
	b.refill(now)
	b.rate, b.size = a.perShard()
	b.tokens = min(b.tokens, b.size)
}

// RenewLease extends the lease to the given instant.
func (o *Owner) RenewLease(until time.Time) { o.leaseExpiry = until }

// Release gives up one shard and reports whether it was held.
func (o *Owner) Release(s Shard) bool {
	_, ok := o.buckets[s]
	delete(o.buckets, s)
	return ok
}

// Shards returns the shards held, in order.
func (o *Owner) Shards() []Shard {
	return slices.SortedFunc(maps.Keys(o.buckets), Shard.compare)
}

// Holds reports whether this node runs the shard's bucket.
func (o *Owner) Holds(s Shard) bool {
	_, ok := o.buckets[s]
	return ok
}

// ShardCount returns the number of shards held.
func (o *Owner) ShardCount() int { return len(o.buckets) }

// UnownedGrant is the answer to an ask that no owner can be found for.
func UnownedGrant() Grant { return Grant{RetryAfter: unownedRetryDelay, NotOwner: true} }

// Grant takes the tokens of an ask out of the shard's bucket, as far as there are
// any beyond what the ask leaves. A shard that is not held, or whose lease has run
// out, grants nothing.
func (o *Owner) Grant(now time.Time, a BatchRequest) Grant {
	b, ok := o.buckets[a.Shard]
	if !ok || !now.Before(o.leaseExpiry) {
		return UnownedGrant()
	}
	b.refill(now)
	reserved := a.ReservedShare * b.size
	granted := max(0, min(a.Tokens, int(b.tokens-reserved)))
	b.tokens -= float64(granted)
	g := Grant{Tokens: granted, RemainingShare: max(0, b.tokens/b.size)}
	if granted == 0 {
		need := 1 + reserved - b.tokens
		g.RetryAfter = time.Duration(math.Ceil(need / b.rate * float64(time.Second)))
	}
	return g
}
