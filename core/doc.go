// Package core makes the decisions of a node: one reducer over all events, with
// effects as data.
//
// Step takes the time and an event and returns the effects to carry out. It reads
// no clock, starts no goroutine, takes no lock and performs no I/O, so that a
// session can be replayed from its events. All decisions are made there: on single
// calls as well as on configuration, quotas and membership.
//
// Each subpackage holds one part of the state with its rules. This package combines
// them and manages the life cycle of a call.
package core
