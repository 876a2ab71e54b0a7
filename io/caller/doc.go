// Package caller implements the HTTP interface for callers. It matches requests to
// routes, reads and removes API keys, and writes refusals, which state the reason and
// whether the call may have been executed.
package caller
