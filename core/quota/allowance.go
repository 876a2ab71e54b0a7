package quota

import (
	"cmp"
	"strings"
	"time"
)

const (
	// splitShardCount is the number of shards of a workspace whose burst is at least
	// minSplitBurst. With three, losing one owner leaves two thirds of the rate.
	splitShardCount = 3
	minSplitBurst   = 24
	// validityFraction is the validity of a batch as a fraction of burst/rate, the
	// time in which the rate fills the burst.
	validityFraction = 0.1
	minValidity      = 20 * time.Millisecond
	maxValidity      = 500 * time.Millisecond
)

// Shard identifies one part of a workspace's allowance.
type Shard struct {
	Workspace string `json:"ws"`
	Index     int    `json:"i"`
	Count     int    `json:"n"`
}

func (s Shard) compare(o Shard) int {
	return cmp.Or(
		strings.Compare(s.Workspace, o.Workspace),
		cmp.Compare(s.Count, o.Count),
		cmp.Compare(s.Index, o.Index),
	)
}

// Allowance is a workspace's declared rate and burst.
type Allowance struct {
	Rate  float64 // calls per second
	Burst int     // calls
}

// ShardCount returns the number of shards the allowance is split into.
func (a Allowance) ShardCount() int {
	if a.Burst < minSplitBurst {
		return 1
	}
	return splitShardCount
}

// ShardCounts returns every value that ShardCount can return.
func ShardCounts() []int { return []int{1, splitShardCount} }

// BatchValidity returns how long a granted batch can be used.
func (a Allowance) BatchValidity() time.Duration {
	validity := time.Duration(validityFraction * float64(a.Burst) / a.Rate * float64(time.Second))
	return min(maxValidity, max(minValidity, validity))
}

// perShard returns the rate and bucket size of one shard. The size leaves room for
// the tokens that outstanding batches can add to the burst.
func (a Allowance) perShard() (rate, size float64) {
	n := float64(a.ShardCount())
	size = float64(a.Burst) - a.Rate*a.BatchValidity().Seconds()
	return a.Rate / n, size / n
}
