package admit

import "cmp"

// Number of hash buckets and priority classes, and the upper bound of a Level.
const (
	HashBuckets       = 1024
	Classes           = 16
	MaxLevel    Level = Classes * HashBuckets
)

// Level is an admission threshold: a call is admitted if its score is at least the
// level. Zero admits every call and MaxLevel admits none.
type Level uint16

// Rank is the priority of a call under overload. All calls of one call tree have the
// same rank except for the depth.
type Rank struct {
	Class uint8  // priority, below Classes; lower classes are shed first
	Depth uint8  // number of calls above this one in the call tree
	Hash  uint16 // below HashBuckets, derived from the root call
}

// Score returns the position of the rank on the scale of Level. It ignores the depth.
func (r Rank) Score() Level {
	return Level(min(r.Class, Classes-1))*HashBuckets + Level(r.Hash%HashBuckets)
}

// Child returns the rank of a call made on behalf of a call with rank r.
func (r Rank) Child() Rank {
	if r.Depth < ^uint8(0) {
		r.Depth++
	}
	return r
}

// compare orders calls of the same class by depth, then by hash.
func (r Rank) compare(o Rank) int {
	return cmp.Or(cmp.Compare(r.Depth, o.Depth), cmp.Compare(r.Hash, o.Hash))
}
