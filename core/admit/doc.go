// Package admit decides which calls the local target runs: an adaptive
// concurrency limit, a short deadline-aware queue, and the admission levels that
// tell entry nodes what share of each workspace's calls to keep.
package admit
