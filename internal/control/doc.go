// Package control runs the reducer: one goroutine owns a node's state, takes
// events off a queue, and hands out the effects. Traffic goroutines post events
// and wait for verdicts on a channel of their own.
package control
