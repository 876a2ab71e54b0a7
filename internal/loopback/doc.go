// Package loopback gives each run of a test or experiment loopback addresses of its own, so
// that several runs on one machine do not meet.
package loopback
