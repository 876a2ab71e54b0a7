// Package trace creates OpenTelemetry spans for calls and exports them.
package trace
