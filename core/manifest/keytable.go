package manifest

import (
	"bytes"
	"crypto/sha256"
	"fmt"
	"math/bits"
	"sort"

	"github.com/cespare/xxhash/v2"
)

// keyTable finds the workspace of a key. It takes 4 to 8 bytes a key beside the digests: a
// manifest may hold 180,000 keys, and a node holds two manifests while it changes from one to
// the other.
type keyTable struct {
	digests []byte   // of all workspaces, in their order
	ends    []uint32 // by workspace: number of keys up to and including its last one
	slots   []uint32 // hash table with linear probing: number of a key, counted from 1, or 0
}

// newKeyTable returns a table of the digests. It returns an error if one occurs twice.
func newKeyTable(digests []byte, ends []uint32) (*keyTable, error) {
	n := len(digests) / sha256.Size
	t := &keyTable{digests: digests, ends: ends, slots: make([]uint32, 1<<bits.Len(uint(n+n/2)))}
	for i := range n {
		slot, other := t.find(t.digest(i))
		if other >= 0 {
			return nil, fmt.Errorf("keys %d and %d are the same", other, i)
		}
		t.slots[slot] = uint32(i + 1)
	}
	return t, nil
}

func (t *keyTable) digest(i int) []byte {
	return t.digests[i*sha256.Size : (i+1)*sha256.Size]
}

// find returns the slot of a digest and the number of its key, or a free slot and -1.
func (t *keyTable) find(digest []byte) (slot, key int) {
	mask := len(t.slots) - 1
	for slot = int(xxhash.Sum64(digest)) & mask; t.slots[slot] != 0; slot = (slot + 1) & mask {
		if key = int(t.slots[slot]) - 1; bytes.Equal(t.digest(key), digest) {
			return slot, key
		}
	}
	return slot, -1
}

// owner returns the index of the workspace of a digest, or -1.
func (t *keyTable) owner(d Digest) int {
	_, key := t.find(d[:])
	if key < 0 {
		return -1
	}
	return sort.Search(len(t.ends), func(w int) bool { return int(t.ends[w]) > key })
}

// keysOf returns the digests of a workspace's keys.
func (t *keyTable) keysOf(workspace int) []byte {
	start := uint32(0)
	if workspace > 0 {
		start = t.ends[workspace-1]
	}
	return t.digests[start*sha256.Size : t.ends[workspace]*sha256.Size]
}
