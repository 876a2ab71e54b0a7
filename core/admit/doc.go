// Package admit implements admission control for the local target: an adaptive
// concurrency limit, a short deadline-aware queue, and the admission levels that
// tell entry nodes what ratio of each workspace's calls to admit.
package admit
