package relay

import (
	"net/http"
	"sync"
	"time"

	"celeryshelf/core"
	"celeryshelf/core/retry"
)

const (
	// maxCachedBodyBytes and maxAnswers bound the answers kept for repeats, in bytes each
	// and in number.
	maxCachedBodyBytes = 16 << 10
	maxCachedResponses = 2048
)

// cachedResponse is a whole cachedResponse kept for repeats of an idempotent call.
type cachedResponse struct {
	status int
	header http.Header
	body   []byte
	at     time.Time
}

// responseCache keeps the first responseCache under an Idempotency-Key.
type responseCache struct {
	mu    sync.Mutex
	kept  map[core.CallID]cachedResponse
	order []core.CallID
}

func newResponseCache() *responseCache { return &responseCache{kept: map[core.CallID]cachedResponse{}} }

func (a *responseCache) put(id core.CallID, ans cachedResponse) {
	a.mu.Lock()
	defer a.mu.Unlock()
	ans.at = time.Now()
	a.kept[id] = ans
	a.order = append(a.order, id)
	for len(a.order) > maxCachedResponses || time.Since(a.kept[a.order[0]].at) > retry.Retention {
		delete(a.kept, a.order[0])
		a.order = a.order[1:]
	}
}

func (a *responseCache) get(id core.CallID) (cachedResponse, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	ans, ok := a.kept[id]
	return ans, ok
}

// recorder collects an answer's body until it grows too large to keep.
type recorder struct {
	body    []byte
	dropped bool
}

// Write never fails.
func (r *recorder) Write(p []byte) (int, error) {
	if len(r.body)+len(p) > maxCachedBodyBytes {
		r.dropped, r.body = true, nil
	}
	if !r.dropped {
		r.body = append(r.body, p...)
	}
	return len(p), nil
}
