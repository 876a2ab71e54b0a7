package quota

import (
	"maps"
	"slices"
	"strings"
	"time"
)

const (
	// maxTokenWait is how long a call may wait for a token before it is refused.
	maxTokenWait = 200 * time.Millisecond
	// minRequestTimeout is the least time after which an unanswered ask is given up.
	minRequestTimeout = 50 * time.Millisecond
	unownedRetryDelay = 50 * time.Millisecond
	demandWindow      = 100 * time.Millisecond
	demandSmoothing   = 0.3
	// prefetchIdleTimeout keeps tokens at hand after the last call of a workspace.
	prefetchIdleTimeout = 5 * time.Second
	// minPrefetchShare of a bucket must be left before tokens are taken in advance: those
	// that expire unused are lost to the workspace.
	minPrefetchShare = 0.7
)

// BatchRequest is a request for tokens of one shard.
type BatchRequest struct {
	ID     uint64 `json:"id"`
	Shard  Shard  `json:"shard"`
	Tokens int    `json:"n"`
	// ReservedShare is the share of the bucket to be left for more important calls.
	ReservedShare float64 `json:"keep,omitempty"`
}

// Outcome of Take.
type Outcome uint8

// Outcomes of Take.
const (
	Denied Outcome = iota
	Taken
	Waiting
)

type batch struct {
	tokens  int
	expires time.Time
}

type waiter struct {
	call          uint64
	reservedShare float64   // of two that wait the one that keeps less gets the next token
	deadline      time.Time // refused from then on
}

type shardView struct {
	remainingShare float64
	retryAt        time.Time // ask not before
	deniedShare    float64   // unless for calls that leave less than this
	requestID      uint64    // outstanding, 0 if none
	sentAt         time.Time // when it was asked
	requested      int
}

// workspacePool is what this node holds of one workspace's allowance.
type workspacePool struct {
	workspace   string
	allowance   Allowance
	validity    time.Duration
	batches     []batch
	waiters     []waiter
	shards      []shardView
	windowCalls float64 // calls in the open window
	demandRate  float64 // calls a second
	windowStart time.Time
	lastCall    time.Time
}

// TokenPool keeps the tokens granted to this node and the calls that wait for some.
type TokenPool struct {
	pools    map[string]*workspacePool
	order    []*workspacePool // by name
	nextID   uint64
	requests []BatchRequest
}

// NewTokenPool returns a holder of nothing.
func NewTokenPool() *TokenPool { return &TokenPool{pools: map[string]*workspacePool{}} }

// SetAllowance sets a workspace's allowance.
func (t *TokenPool) SetAllowance(workspace string, a Allowance) {
	p, ok := t.pools[workspace]
	if !ok {
		p = &workspacePool{workspace: workspace}
		t.pools[workspace] = p
		t.sortPools()
	}
	if p.allowance == a {
		return
	}
	p.allowance = a
	p.validity = a.BatchValidity()
	p.shards = make([]shardView, a.ShardCount())
	for i := range p.shards {
		p.shards[i].remainingShare = 1
	}
}

// RemoveUndeclared removes the workspaces for which the predicate is false and returns
// their waiting calls.
func (t *TokenPool) RemoveUndeclared(declared func(workspace string) bool) []uint64 {
	var calls []uint64
	for _, p := range t.order {
		if declared(p.workspace) {
			continue
		}
		for _, w := range p.waiters {
			calls = append(calls, w.call)
		}
		delete(t.pools, p.workspace)
	}
	t.sortPools()
	return calls
}

func (t *TokenPool) sortPools() {
	t.order = slices.SortedFunc(maps.Values(t.pools), func(a, b *workspacePool) int {
		return strings.Compare(a.workspace, b.workspace)
	})
}

// NextRequest takes out one of the asks that the last operations gave rise to.
func (t *TokenPool) NextRequest() (BatchRequest, bool) {
	n := len(t.requests)
	if n == 0 {
		return BatchRequest{}, false
	}
	a := t.requests[n-1]
	t.requests = t.requests[:n-1]
	return a, true
}

// TokenRequest is a call's wish for a token.
type TokenRequest struct {
	Call          uint64
	ReservedShare float64 // share of a bucket to be left for more important calls
	Deadline      time.Time
	MaxWait       time.Duration // for how long it may wait
}

// Take uses one token for a call, or lets the call wait for one for a while at most.
func (t *TokenPool) Take(now time.Time, workspace string, c TokenRequest) Outcome {
	p, ok := t.pools[workspace]
	if !ok {
		return Denied
	}
	p.windowCalls++
	p.lastCall = now
	outcome := p.takeOrWait(now, c)
	t.requestTokens(now, p)
	return outcome
}

func (p *workspacePool) takeOrWait(now time.Time, c TokenRequest) Outcome {
	if len(p.waiters) == 0 && p.takeToken(now) {
		return Taken
	}
	maxWaiters := max(1, int(p.allowance.Rate*maxTokenWait.Seconds()))
	if len(p.waiters) >= maxWaiters {
		return Denied
	}
	deadline := now.Add(min(maxTokenWait, c.MaxWait))
	if c.Deadline.Before(deadline) {
		deadline = c.Deadline
	}
	i := len(p.waiters)
	for i > 0 && p.waiters[i-1].deadline.After(deadline) {
		i--
	}
	p.waiters = slices.Insert(p.waiters, i, waiter{call: c.Call, reservedShare: c.ReservedShare, deadline: deadline})
	return Waiting
}

// takeToken takes one token out of the batch that expires first.
func (p *workspacePool) takeToken(now time.Time) bool {
	p.dropExpired(now)
	if len(p.batches) == 0 {
		return false
	}
	p.batches[0].tokens--
	if p.batches[0].tokens == 0 {
		p.batches = slices.Delete(p.batches, 0, 1)
	}
	return true
}

func (p *workspacePool) dropExpired(now time.Time) {
	n := 0
	for n < len(p.batches) && !now.Before(p.batches[n].expires) {
		n++
	}
	if n > 0 {
		p.batches = slices.Delete(p.batches, 0, n)
	}
}

// HandleGrant takes in an owner's answer and returns the calls that now hold a token.
func (t *TokenPool) HandleGrant(now time.Time, a BatchRequest, g Grant, released []uint64) []uint64 {
	p, ok := t.pools[a.Shard.Workspace]
	if !ok || a.Shard.Count != len(p.shards) || a.Shard.Index >= len(p.shards) {
		return released
	}
	v := &p.shards[a.Shard.Index]
	if v.requestID != a.ID {
		return released
	}
	v.requestID, v.remainingShare = 0, g.RemainingShare
	if g.Tokens == 0 {
		v.retryAt, v.deniedShare = now.Add(max(g.RetryAfter, time.Millisecond)), a.ReservedShare
	}
	expires := v.sentAt.Add(p.validity)
	if g.Tokens > 0 && now.Before(expires) {
		p.addBatch(batch{tokens: min(g.Tokens, v.requested), expires: expires})
	}
	released = p.release(now, released)
	t.requestTokens(now, p)
	return released
}

// addBatch keeps batches in order of expiry.
func (p *workspacePool) addBatch(b batch) {
	i := len(p.batches)
	for i > 0 && p.batches[i-1].expires.After(b.expires) {
		i--
	}
	p.batches = slices.Insert(p.batches, i, b)
}

func (p *workspacePool) release(now time.Time, released []uint64) []uint64 {
	for len(p.waiters) > 0 && p.takeToken(now) {
		best := p.mostImportant()
		released = append(released, p.waiters[best].call)
		p.waiters = slices.Delete(p.waiters, best, best+1)
	}
	return released
}

// mostImportant returns the place of the most important call that waits.
func (p *workspacePool) mostImportant() int {
	best := 0
	for i, w := range p.waiters {
		if w.reservedShare < p.waiters[best].reservedShare {
			best = i
		}
	}
	return best
}

// HasWaiters reports whether any call waits for a token or any ask for its answer.
func (t *TokenPool) HasWaiters() bool {
	for _, p := range t.order {
		if len(p.waiters) > 0 {
			return true
		}
	}
	return false
}

// CancelWait removes a waiting call that its caller gave up.
func (t *TokenPool) CancelWait(workspace string, call uint64) {
	p, ok := t.pools[workspace]
	if !ok {
		return
	}
	p.waiters = slices.DeleteFunc(p.waiters, func(w waiter) bool { return w.call == call })
}

// Tick does what time brings: it gives up asks without an answer, refreshes the
// tokens at hand, and returns the calls that have waited too long.
func (t *TokenPool) Tick(now time.Time, denied []uint64) []uint64 {
	for _, p := range t.order {
		p.updateDemand(now)
		p.expireRequests(now)
		denied = p.expireWaiters(now, denied)
		t.requestTokens(now, p)
	}
	return denied
}

func (p *workspacePool) updateDemand(now time.Time) {
	age := now.Sub(p.windowStart)
	if age < demandWindow {
		return
	}
	if !p.windowStart.IsZero() {
		p.demandRate += demandSmoothing * (p.windowCalls/age.Seconds() - p.demandRate)
	}
	p.windowCalls, p.windowStart = 0, now
}

func (p *workspacePool) expireRequests(now time.Time) {
	timeout := max(p.validity, minRequestTimeout)
	for i := range p.shards {
		v := &p.shards[i]
		if v.requestID != 0 && now.Sub(v.sentAt) >= timeout {
			v.requestID, v.remainingShare = 0, 0
			v.retryAt, v.deniedShare = now.Add(unownedRetryDelay), 0
		}
	}
}

func (p *workspacePool) expireWaiters(now time.Time, denied []uint64) []uint64 {
	n := 0
	for n < len(p.waiters) && !now.Before(p.waiters[n].deadline) {
		denied = append(denied, p.waiters[n].call)
		n++
	}
	p.waiters = slices.Delete(p.waiters, 0, n)
	return denied
}

// requestTokens asks for the tokens that waiting calls need and, while the buckets are
// well filled, for those that the coming calls will.
func (t *TokenPool) requestTokens(now time.Time, p *workspacePool) {
	pending := 0
	for _, v := range p.shards {
		if v.requestID != 0 {
			pending += v.requested
		}
	}
	if need := len(p.waiters) - pending; need > 0 {
		t.requestFromFullest(now, p, need, 0)
		return
	}
	want := p.prefetchTarget(now)
	if have := p.freshTokens(now) + pending; want > 0 && 2*have < want+1 {
		t.requestFromFullest(now, p, want-have, minPrefetchShare)
	}
}

// prefetchTarget returns the number of tokens to keep at hand.
func (p *workspacePool) prefetchTarget(now time.Time) int {
	if p.lastCall.IsZero() || now.Sub(p.lastCall) > prefetchIdleTimeout {
		return 0
	}
	want := int(p.demandRate*p.validity.Seconds()/2 + 0.5)
	return min(want, max(1, p.allowance.Burst/8))
}

// freshTokens returns the tokens that outlive a quarter of the validity.
func (p *workspacePool) freshTokens(now time.Time) int {
	n := 0
	for _, b := range p.batches {
		if b.expires.Sub(now) > p.validity/4 {
			n += b.tokens
		}
	}
	return n
}

// requestFromFullest picks the fullest shard that is free to be asked, if its spare share is
// large enough. Tokens for calls that wait are asked for the most important ones.
func (t *TokenPool) requestFromFullest(now time.Time, p *workspacePool, n int, minShare float64) {
	reservedShare := 0.0
	if len(p.waiters) > 0 {
		reservedShare = p.waiters[p.mostImportant()].reservedShare
		n = min(n, p.countWaiters(reservedShare))
	}
	best := -1
	for i, v := range p.shards {
		if v.requestID != 0 || now.Before(v.retryAt) && reservedShare >= v.deniedShare || v.remainingShare < minShare {
			continue
		}
		if best < 0 || v.remainingShare > p.shards[best].remainingShare {
			best = i
		}
	}
	if best < 0 {
		return
	}
	t.nextID++
	v := &p.shards[best]
	v.requestID, v.sentAt, v.requested = t.nextID, now, n
	shard := Shard{Workspace: p.workspace, Index: best, Count: len(p.shards)}
	t.requests = append(t.requests, BatchRequest{ID: t.nextID, Shard: shard, Tokens: n, ReservedShare: reservedShare})
}

// countWaiters counts the calls that wait and leave the same share of a bucket.
func (p *workspacePool) countWaiters(reservedShare float64) int {
	n := 0
	for _, w := range p.waiters {
		if w.reservedShare == reservedShare {
			n++
		}
	}
	return n
}
