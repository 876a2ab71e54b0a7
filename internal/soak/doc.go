// Package soak runs nodes as separate processes on loopback, injects faults from
// outside them, and checks the promises to callers and targets while it does.
package soak
