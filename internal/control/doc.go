// Package control runs the reducer. One goroutine owns the state of a node: it takes events
// from a queue, applies them, and executes the effects. The goroutines that serve calls
// post events and receive the verdicts on a channel for each call.
package control
