package quota

import (
	"cmp"
	"strings"
	"time"
)

const (
	// splitShardCount splits a workspace whose burst is large enough, so that the
	// loss of one owner leaves it most of its rate.
	splitShardCount = 3
	minSplitBurst   = 24
	// validityFraction of the time in which the rate fills the burst is how long a
	// batch stays valid.
	validityFraction = 0.1
	minValidity      = 20 * time.Millisecond
	maxValidity      = 500 * time.Millisecond
)

// Shard names one part of a workspace's allowance.
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
	Rate  float64 // calls a second
	Burst int     // calls
}

// ShardCount returns the number of parts the allowance is split into.
func (a Allowance) ShardCount() int {
	if a.Burst < minSplitBurst {
		return 1
	}
	return splitShardCount
}

// ShardCounts returns every number of parts that Shards may return.
func ShardCounts() []int { return []int{1, splitShardCount} }

// BatchValidity returns how long a granted batch may be used.
func (a Allowance) BatchValidity() time.Duration {
	fill := time.Duration(validityFraction * float64(a.Burst) / a.Rate * float64(time.Second))
	return min(maxValidity, max(minValidity, fill))
}

// perShard returns rate and bucket size of one shard.
func (a Allowance) perShard() (rate, size float64) {
	n := float64(a.ShardCount())
	size = float64(a.Burst) - a.Rate*a.BatchValidity().Seconds()
	return a.Rate / n, size / n
}
