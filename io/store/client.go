package store

import (
	"context"
	"time"
)

// KeyValue is a key with its value.
type KeyValue struct {
	Key      string
	Value    []byte
	Revision int64 // of the last write
}

// Change is a write or deletion that a watch reports.
type Change struct {
	Key     string
	Value   []byte // nil if the key was deleted
	Deleted bool
}

// Write is a conditional write.
type Write struct {
	Key      string
	Value    []byte
	Revision int64    // of the last write of the key, 0 if the key must not exist
	Absent   []string // other keys that must not exist
}

// Client is a client of the key-value service, implemented for each of its protocols.
// A call that returns an error may have taken effect, or may take effect later.
type Client interface {
	// Get returns the pair of a key, or nil if there is none.
	Get(ctx context.Context, key string) (*KeyValue, error)
	// Range returns the pairs whose key starts with the prefix, and a revision. A
	// watch from the next revision misses no change that the pairs do not include.
	Range(ctx context.Context, prefix string) ([]KeyValue, int64, error)
	// Watch reports the changes under a prefix, starting at a revision, until the
	// context is done or the watch breaks. It passes each change with a revision up
	// to which changes have been received. It may batch changes for up to batchDelay.
	Watch(ctx context.Context, prefix string, startRevision int64, batchDelay time.Duration, report func(change Change, revision int64)) error
	// Put writes a value under a lease, or without one if lease is 0.
	Put(ctx context.Context, key string, value []byte, lease int64) error
	// Commit makes all writes under a lease if the conditions of all of them are met, and
	// reports whether it did.
	Commit(ctx context.Context, writes []Write, lease int64) (bool, error)
	// CompareAndDelete deletes a key that holds exactly the value and reports whether it did.
	CompareAndDelete(ctx context.Context, key string, value []byte) (bool, error)
	// Grant creates a lease.
	Grant(ctx context.Context, ttl time.Duration) (int64, error)
	// KeepAlive renews a lease and returns its time to live, 0 if it has expired.
	KeepAlive(ctx context.Context, lease int64) (time.Duration, error)
	// Revoke revokes a lease and deletes the keys under it.
	Revoke(ctx context.Context, lease int64) error
}
