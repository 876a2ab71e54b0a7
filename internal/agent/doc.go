// Package agent puts a node together from its settings and runs it until it has
// drained.
package agent
