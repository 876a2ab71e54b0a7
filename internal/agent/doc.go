// Package agent builds a node from its configuration and runs it until it has drained.
package agent
