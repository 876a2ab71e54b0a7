package store

import (
	"context"
	"time"
)

// KeyValue is one key with its value.
type KeyValue struct {
	Key      string
	Value    []byte
	Revision int64 // of the last write
}

// Change is one write or deletion that a watch reports.
type Change struct {
	Key     string
	Value   []byte // nil if the key was deleted
	Deleted bool
}

// Client makes the calls of one store protocol. A call that returns an error may
// have taken effect, or take effect later.
type Client interface {
	// Get returns the pair of a key, or nil if there is none.
	Get(ctx context.Context, key string) (*KeyValue, error)
	// Range returns the pairs whose key starts with the prefix and a revision from
	// which a watch misses no later change.
	Range(ctx context.Context, prefix string) ([]KeyValue, int64, error)
	// Watch reports the changes under a prefix from a revision on, until the
	// context ends or the watch breaks. It may let changes gather for some time.
	Watch(ctx context.Context, prefix string, from int64, gather time.Duration, report func(Change, int64)) error
	// Put writes a value under a lease, 0 for none.
	Put(ctx context.Context, key string, value []byte, lease int64) error
	// Create writes a value if neither its key nor any rival exists, and reports
	// whether it did.
	Create(ctx context.Context, key string, rivals []string, value []byte, lease int64) (bool, error)
	// CompareAndSwap writes a value under a lease if the key was last written at the
	// revision, and reports whether it did.
	CompareAndSwap(ctx context.Context, key string, revision int64, value []byte, lease int64) (bool, error)
	// CompareAndDelete deletes a key that holds exactly the value and reports whether it did.
	CompareAndDelete(ctx context.Context, key string, value []byte) (bool, error)
	// Grant creates a lease.
	Grant(ctx context.Context, ttl time.Duration) (int64, error)
	// KeepAlive renews a lease and returns its time to live, 0 if it has run out.
	KeepAlive(ctx context.Context, lease int64) (time.Duration, error)
	// Revoke ends a lease and deletes the keys under it.
	Revoke(ctx context.Context, lease int64) error
}
