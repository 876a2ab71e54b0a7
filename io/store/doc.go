// Package store maintains a node's session with the platform's key-value service:
// its lease, its member record, its shard claims, and watches on the records of
// other nodes. The protocol of the service is behind the Client interface.
package store
