package relay

import (
	"net/http"
	"sync"
	"time"

	"celeryshelf/core"
	"celeryshelf/core/retry"
)

const (
	// maxAnswer and maxAnswers bound the answers kept for repeats, in bytes each
	// and in number.
	maxAnswer  = 16 << 10
	maxAnswers = 2048
)

// answer is a whole answer kept for repeats of an idempotent call.
type answer struct {
	status int
	header http.Header
	body   []byte
	at     time.Time
}

// answers keeps the first answers under an Idempotency-Key.
type answers struct {
	mu    sync.Mutex
	kept  map[core.CallID]answer
	order []core.CallID
}

func newAnswers() *answers { return &answers{kept: map[core.CallID]answer{}} }

func (a *answers) put(id core.CallID, ans answer) {
	a.mu.Lock()
	defer a.mu.Unlock()
	ans.at = time.Now()
	a.kept[id] = ans
	a.order = append(a.order, id)
	for len(a.order) > maxAnswers || time.Since(a.kept[a.order[0]].at) > retry.Retention {
		delete(a.kept, a.order[0])
		a.order = a.order[1:]
	}
}

func (a *answers) get(id core.CallID) (answer, bool) {
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
	if len(r.body)+len(p) > maxAnswer {
		r.dropped, r.body = true, nil
	}
	if !r.dropped {
		r.body = append(r.body, p...)
	}
	return len(p), nil
}
