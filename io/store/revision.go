package store

import (
	"context"
	"sync"
)

// revisionTracker tracks the revision up to which a watch has reported changes, and
// detects a watch that has stalled.
type revisionTracker struct {
	mu          sync.Mutex
	reported    int64
	lastChecked int64 // revision passed to the last call of cancelIfStalled
	cancel      context.CancelFunc
}

// setCancel sets the function that ends the watch.
func (t *revisionTracker) setCancel(cancel context.CancelFunc) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.cancel = cancel
}

// advance records that changes up to a revision have been reported.
func (t *revisionTracker) advance(revision int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reported = max(t.reported, revision)
}

// reset discards all revisions.
func (t *revisionTracker) reset() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reported, t.lastChecked = 0, 0
}

// cancelIfStalled is called with a revision that was read from the store. It cancels
// the watch if the previous call was given the same revision and the watch has still
// not reported it.
func (t *revisionTracker) cancelIfStalled(revision int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if revision > t.reported && revision == t.lastChecked && t.cancel != nil {
		t.cancel()
	}
	t.lastChecked = revision
}
