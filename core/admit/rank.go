package admit

import "cmp"

// Hash buckets, classes of importance and the bounds of a Level.
const (
	HashBuckets       = 1024
	Classes           = 16
	MaxLevel    Level = Classes * HashBuckets
)

// Level is an admission threshold: a call passes when its score reaches it.
// Zero admits every call and MaxLevel none.
type Level uint16

// Rank orders calls under overload and is the same for a root call at every hop,
// but for the depth.
type Rank struct {
	Class uint8 // below Classes; calls of a higher class are shed later
	Depth uint8
	Hash  uint16 // below HashBuckets, drawn from the root call
}

// Score places the rank on the scale of Level; depth plays no part.
func (r Rank) Score() Level {
	return Level(min(r.Class, Classes-1))*HashBuckets + Level(r.Hash%HashBuckets)
}

// Child returns the rank of a call made on behalf of one with rank r.
func (r Rank) Child() Rank {
	if r.Depth < ^uint8(0) {
		r.Depth++
	}
	return r
}

// compare orders by depth, then by hash, for calls of one class.
func (r Rank) compare(o Rank) int {
	return cmp.Or(cmp.Compare(r.Depth, o.Depth), cmp.Compare(r.Hash, o.Hash))
}
