// Package etcd speaks to the platform's key-value service by the JSON gateway of
// etcd's v3 protocol: ranges, transactions, leases and watches.
package etcd
