// Package trace sets up the export of spans.
package trace
