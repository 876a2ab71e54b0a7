package store

import (
	"context"
	"sync"
)

// progress is the revision up to which a watch has reported.
type progress struct {
	mu       sync.Mutex
	revision int64
	missing  int64 // known from elsewhere and not yet reported
	cancel   context.CancelFunc
}

// use names what ends the watch.
func (p *progress) use(cancel context.CancelFunc) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cancel = cancel
}

func (p *progress) reach(revision int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.revision = max(p.revision, revision)
}

// check ends a watch that has not reported a revision that was already there at
// the check before.
func (p *progress) check(revision int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if revision > p.revision && revision == p.missing && p.cancel != nil {
		p.cancel()
	}
	p.missing = revision
}
