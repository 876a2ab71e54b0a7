// Package operator serves the HTTP interface for operators and their tools: status,
// health, metrics and draining.
package operator
