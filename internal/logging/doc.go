// Package logging writes one line of key=value pairs an event, from a buffer
// that never holds up whoever logs.
package logging
