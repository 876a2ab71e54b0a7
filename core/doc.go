// Package core is the decision maker of a node: one reducer over all events,
// with effects as data.
//
// Step takes the time and an event and returns what is to be done about it. It
// reads no clock, starts no goroutine, takes no lock and touches no socket or
// file, so that a whole session can be replayed from its events. Every decision
// goes through it: those on single calls as well as those on configuration,
// rates and membership.
//
// The subpackages each hold one part of the state and its rules. This package
// composes them and owns the life of a call.
package core
