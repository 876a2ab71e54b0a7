package relay

import (
	"net/http"
	"sync"
	"time"

	"celeryshelf/core"
	"celeryshelf/core/retry"
)

const (
	// Limits of the cache: the body size of one response, in bytes, and the number of
	// responses.
	maxCachedBodyBytes = 16 << 10
	maxCachedResponses = 2048
)

// cachedResponse is a complete response, stored to be replayed for repeats of an
// idempotent call.
type cachedResponse struct {
	status int
	header http.Header
	body   []byte
	at     time.Time
}

// responseCache holds the first response to each call with an Idempotency-Key. Each
// addition evicts the oldest responses over the limit and those older than
// retry.Retention.
type responseCache struct {
	mu        sync.Mutex
	responses map[core.CallID]cachedResponse
	order     []core.CallID
}

func newResponseCache() *responseCache {
	return &responseCache{responses: map[core.CallID]cachedResponse{}}
}

func (a *responseCache) put(id core.CallID, ans cachedResponse) {
	a.mu.Lock()
	defer a.mu.Unlock()
	ans.at = time.Now()
	a.responses[id] = ans
	a.order = append(a.order, id)
	for len(a.order) > maxCachedResponses || time.Since(a.responses[a.order[0]].at) > retry.Retention {
		delete(a.responses, a.order[0])
		a.order = a.order[1:]
	}
}

func (a *responseCache) get(id core.CallID) (cachedResponse, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	ans, ok := a.responses[id]
	return ans, ok
}

// recorder collects the body of a response, and discards it if it is too large to be
// cached.
type recorder struct {
	body    []byte
	dropped bool
}

// Write never returns an error.
func (r *recorder) Write(p []byte) (int, error) {
	if len(r.body)+len(p) > maxCachedBodyBytes {
		r.dropped, r.body = true, nil
	}
	if !r.dropped {
		r.body = append(r.body, p...)
	}
	return len(p), nil
}
