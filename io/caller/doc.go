// Package caller speaks to callers over HTTP: it matches requests to routes and
// writes refusals that say why a call was refused and whether it may have run.
package caller
