package budget

import (
	"sync"
	"time"
)

// maxEvictionWait is how long a reservation waits for the memory of an evicted connection.
const maxEvictionWait = 100 * time.Millisecond

// Pool limits the bytes that are held together.
type Pool struct {
	max      int
	mu       sync.Mutex
	held     int
	released chan struct{} // closed at the next release, nil if nothing waits for one
	evict    func() bool
}

// NewPool returns a pool of n bytes.
func NewPool(n int) *Pool { return &Pool{max: n} }

// SetEvict sets the function that makes another holder release its reservation, soon, and
// reports whether there is one. It must be called before the first reservation.
func (p *Pool) SetEvict(f func() bool) { p.evict = f }

// Reserve reserves n bytes and reports whether they were free. If they are not, it evicts
// another holder and waits for a release, at most maxEvictionWait.
func (p *Pool) Reserve(n int) bool {
	ok, released := p.try(n)
	if ok || p.evict == nil || n > p.max || !p.evict() {
		return ok
	}
	timer := time.NewTimer(maxEvictionWait)
	defer timer.Stop()
	for {
		select {
		case <-released:
		case <-timer.C:
			return false
		}
		if ok, released = p.try(n); ok {
			return true
		}
	}
}

// try reserves n bytes if they are free, and otherwise returns a channel that is closed at
// the next release.
func (p *Pool) try(n int) (ok bool, released <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.held+n <= p.max {
		p.held += n
		return true, nil
	}
	if p.released == nil {
		p.released = make(chan struct{})
	}
	return false, p.released
}

// Release returns n reserved bytes to the pool.
func (p *Pool) Release(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.held -= n
	if p.released != nil {
		close(p.released)
		p.released = nil
	}
}

// Held returns the reserved bytes.
func (p *Pool) Held() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.held
}
