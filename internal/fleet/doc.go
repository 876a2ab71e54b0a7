// Package fleet assigns loopback addresses to a deployment and runs its nodes with a
// stand-in store and stand-in targets, within one process or as separate processes.
package fleet
