package store

import (
	"context"
	"sync"
)

// revisionTracker is the revision up to which a watch has reported.
type revisionTracker struct {
	mu         sync.Mutex
	reported   int64
	unreported int64 // known from elsewhere and not yet reported
	cancel     context.CancelFunc
}

// setCancel names what ends the watch.
func (p *revisionTracker) setCancel(cancel context.CancelFunc) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cancel = cancel
}

func (p *revisionTracker) advance(revision int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reported = max(p.reported, revision)
}

// cancelIfStalled ends a watch that has not reported a revision that was already there at
// the cancelIfStalled before.
func (p *revisionTracker) cancelIfStalled(revision int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if revision > p.reported && revision == p.unreported && p.cancel != nil {
		p.cancel()
	}
	p.unreported = revision
}
