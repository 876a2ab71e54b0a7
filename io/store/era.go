package store

import (
	"context"
	"errors"
	"sync"
	"time"

	"celeryshelf/core"
)

// maxCopyAge is far above the age of the copies that the store comes back from, which are some
// seconds old. What was written earlier than that is in each copy.
const maxCopyAge = 1 * time.Minute

// errStoreReturned reports that the store came back from an older copy during a call.
var errStoreReturned = errors.New("the store has come back from an older copy")

// EraReporter is a Client of a store whose answers name the era of its content. A store starts
// an era when it comes back from an older copy. All content of other stores is of one era.
type EraReporter interface {
	// ReportEra sets the function that is called with the era of the first answer that names
	// one, and whenever the era rises. It is called before the answer that shows the era is
	// returned. Answers of an earlier era count as failed calls from then on.
	ReportEra(report func(era uint64))
}

// eraScopes holds the contexts of the calls whose results are void if the store comes back from
// an older copy meanwhile.
type eraScopes struct {
	mu      sync.Mutex
	named   bool // an answer has named an era
	nextID  int
	cancels map[int]context.CancelFunc
}

// begin returns a context that is done when the store comes back from an older copy.
func (e *eraScopes) begin(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.cancels == nil {
		e.cancels = map[int]context.CancelFunc{}
	}
	id := e.nextID
	e.nextID++
	e.cancels[id] = cancel
	return ctx, func() {
		cancel()
		e.mu.Lock()
		defer e.mu.Unlock()
		delete(e.cancels, id)
	}
}

// enter ends the contexts of the earlier era. It returns false if there was none.
func (e *eraScopes) enter() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.named {
		e.named = true
		return false
	}
	for _, cancel := range e.cancels {
		cancel()
	}
	return true
}

// handleEra reports the era of the store's answers. If the store has come back from an older
// copy, the session reads it and watches it again, and writes again under new leases what that
// copy may lack. The reducer requests the rest again.
func (s *Session) handleEra(era uint64) {
	s.sink.Post(&core.StoreEra{Era: era})
	if !s.scopes.enter() {
		return
	}
	s.watched.reset()
	s.known.set(0, 0)
	s.clearPreviousClaims()
	now := s.Clock.Now()
	s.member.handleReturn(now)
	s.claims.handleReturn(now)
}
