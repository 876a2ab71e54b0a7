// Package backlog holds the remaining work of the calls that run and wait at the local target,
// and derives the time until a further call would complete there.
package backlog
