package relay

import "net/http"

// BufferPool limits the memory of the data of calls, in bytes.
type BufferPool interface {
	Reserve(n int) bool // reports whether n bytes were free
	Release(n int)
}

// holding is the memory that a call has reserved.
type holding struct {
	pool  BufferPool
	bytes int
}

// reserve reserves n bytes for the rest of the call and reports whether they were free.
func (h *holding) reserve(n int) bool {
	if h.pool == nil || n == 0 {
		return true
	}
	if !h.pool.Reserve(n) {
		return false
	}
	h.bytes += n
	return true
}

func (h *holding) release() {
	if h.pool != nil && h.bytes > 0 {
		h.pool.Release(h.bytes)
	}
}

// streamMemory is the memory of a body that is streamed: the copy buffer of net/http and the
// write buffer of the connection.
const streamMemory = 36 << 10

// bodyMemory returns the memory that the body of a request needs, in bytes.
func bodyMemory(req *http.Request) int {
	switch {
	case req.ContentLength == 0 || req.Body == nil || req.Body == http.NoBody:
		return 0
	case req.ContentLength < 0:
		return maxReplayableBodyBytes + streamMemory
	case req.ContentLength > maxReplayableBodyBytes:
		return streamMemory
	default:
		return int(req.ContentLength)
	}
}
