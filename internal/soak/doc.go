// Package soak runs nodes as separate processes on loopback addresses, injects faults
// into processes, links and the store, and checks the guarantees to callers and targets on
// the recorded history.
package soak
