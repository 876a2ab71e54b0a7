// Package logging writes each event as a line of key=value pairs. Lines are buffered and
// written in the background, so that logging does not block on slow output.
package logging
