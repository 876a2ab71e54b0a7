// Package store keeps a node's session with the platform's key-value service,
// whatever protocol the service speaks: the lease, the announcement, the shards,
// and the watch on what others write.
package store
