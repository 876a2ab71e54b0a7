// Package standin provides stand-ins for the systems around a node, for tests, the
// demo and the benchmarks: an etcd-compatible store, targets, a load generator in
// place of callers, and a baseline node without overload control.
package standin
