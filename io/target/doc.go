// Package target speaks to the one local target over HTTP.
package target
