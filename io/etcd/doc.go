// Package etcd is a client of the platform's key-value service. It uses the JSON
// gateway of etcd's v3 API: ranges, transactions, leases and watches.
package etcd
