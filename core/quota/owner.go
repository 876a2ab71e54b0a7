package quota

import (
	"maps"
	"math"
	"slices"
	"time"
)

// Grant is an owner's answer to a BatchRequest.
type Grant struct {
	Tokens         int           `json:"n"`
	RetryAfter     time.Duration `json:"retry"`            // until a token may be available, if Tokens is 0
	RemainingShare float64       `json:"spare"`            // share of the bucket that remains after the grant
	NotOwner       bool          `json:"vacant,omitempty"` // the requested node does not own the shard
}

// bucket is one shard's token bucket.
type bucket struct {
	rate, size float64
	tokens     float64
	refilledAt time.Time
	demand     float64 // tokens requested per second, exponential moving average
}

const (
	// The demand is averaged over burstsAveraged times the time in which the rate fills the
	// burst, so that one burst does not count as overload, within the two limits.
	burstsAveraged   = 4
	minAveragingTime = 2.0  // seconds
	maxAveragingTime = 10.0 // seconds
	// Tokens are held back for more important calls once the demand exceeds minReserveLoad
	// of the rate, in full from maxReserveLoad on. Below that the bucket serves all.
	minReserveLoad = 0.9
	maxReserveLoad = 1.3
)

// maxCountedTokens limits what one request adds to the measured demand.
const maxCountedTokens = 1000

// request records a request for tokens and returns the part of a reserved share that applies
// at the present demand.
func (b *bucket) request(now time.Time, tokens int) float64 {
	over := min(maxAveragingTime, max(minAveragingTime, burstsAveraged*b.size/b.rate))
	if elapsed := now.Sub(b.refilledAt).Seconds(); elapsed > 0 {
		b.demand *= math.Exp(-elapsed / over)
	}
	b.demand += float64(max(0, tokens)) / over
	load := b.demand / b.rate
	return min(1, max(0, (load-minReserveLoad)/(maxReserveLoad-minReserveLoad)))
}

func (b *bucket) refill(now time.Time) {
	if now.After(b.refilledAt) {
		b.tokens = min(b.size, b.tokens+b.rate*now.Sub(b.refilledAt).Seconds())
		b.refilledAt = now
	}
}

// Owner runs the token buckets of the shards whose lease this node holds.
type Owner struct {
	buckets     map[Shard]*bucket
	leaseExpiry time.Time // the lease is guaranteed to be held until then
}

// NewOwner returns an Owner that holds no shards.
func NewOwner() *Owner { return &Owner{buckets: map[Shard]*bucket{}} }

// Acquire starts an empty bucket for a shard. The previous owner may have granted all its
// tokens, so a bucket that starts with tokens could exceed the burst. The batches of the
// previous owner that are still valid are covered by the bucket size.
func (o *Owner) Acquire(now time.Time, s Shard, a Allowance) {
	rate, size := a.perShard()
	o.buckets[s] = &bucket{rate: rate, size: size, refilledAt: now}
}

// UpdateAllowance applies a changed allowance to a held shard. Tokens beyond the new
// bucket size are dropped.
func (o *Owner) UpdateAllowance(now time.Time, s Shard, a Allowance) {
	b, ok := o.buckets[s]
	if !ok {
		return
	}
	b.refill(now)
	b.rate, b.size = a.perShard()
	b.tokens = min(b.tokens, b.size)
}

// RenewLease sets the time until which the lease is guaranteed to be held.
func (o *Owner) RenewLease(until time.Time) { o.leaseExpiry = until }

// Release drops a shard's bucket and reports whether the shard was held.
func (o *Owner) Release(s Shard) bool {
	_, ok := o.buckets[s]
	delete(o.buckets, s)
	return ok
}

// Shards returns the held shards, sorted by workspace, count and index.
func (o *Owner) Shards() []Shard {
	return slices.SortedFunc(maps.Keys(o.buckets), Shard.compare)
}

// Holds reports whether this node runs the shard's bucket.
func (o *Owner) Holds(s Shard) bool {
	_, ok := o.buckets[s]
	return ok
}

// ShardCount returns the number of held shards.
func (o *Owner) ShardCount() int { return len(o.buckets) }

// UnownedGrant returns the answer to a request for a shard without a known owner.
func UnownedGrant() Grant { return Grant{RetryAfter: unownedRetryDelay, NotOwner: true} }

// Grant takes up to the requested number of tokens from the shard's bucket, leaving
// the request's reserved share in it. A shard that is not held or whose lease has
// expired grants nothing.
func (o *Owner) Grant(now time.Time, req BatchRequest) Grant {
	b, ok := o.buckets[req.Shard]
	if !ok || !now.Before(o.leaseExpiry) {
		return UnownedGrant()
	}
	applied := b.request(now, min(req.Tokens, maxCountedTokens))
	b.refill(now)
	reserved := applied * min(1, max(0, req.ReservedShare)) * b.size
	granted := max(0, min(req.Tokens, int(b.tokens-reserved)))
	b.tokens -= float64(granted)
	g := Grant{Tokens: granted, RemainingShare: max(0, b.tokens/b.size)}
	if granted == 0 {
		need := 1 + reserved - b.tokens
		g.RetryAfter = time.Duration(math.Ceil(need / b.rate * float64(time.Second)))
	}
	return g
}
