package quota

import (
	"maps"
	"slices"
	"strings"
	"time"
)

const (
	// maxTokenWait bounds how long a call waits for a token before it is denied.
	maxTokenWait = 200 * time.Millisecond
	// minRequestTimeout is the lower bound of the timeout of a batch request, which is
	// otherwise the validity of a batch.
	minRequestTimeout = 50 * time.Millisecond
	// unownedRetryDelay is the delay before the next request for a shard that has no owner
	// or whose owner did not answer.
	unownedRetryDelay = 50 * time.Millisecond
	demandWindow      = 100 * time.Millisecond
	demandSmoothing   = 0.3 // weight of the latest window in the moving average
	// prefetchIdleTimeout is how long after a workspace's last call prefetching stops.
	prefetchIdleTimeout = 5 * time.Second
	// minPrefetchShare is the share of a shard's bucket that must remain for tokens to be
	// prefetched from it: prefetched tokens that expire unused are lost to the workspace.
	minPrefetchShare = 0.7
	// minPrefetchDemand is the number of calls expected within the validity of a batch from
	// which tokens are prefetched. Below it, most of them would expire.
	minPrefetchDemand = 2.0
	// shareKnownFor is how long the share of a bucket that a grant reports is taken for the
	// present one. Later the shard is as good as any other.
	shareKnownFor = 500 * time.Millisecond
)

// BatchRequest asks the owner of a shard for a batch of tokens.
type BatchRequest struct {
	ID     uint64 `json:"id"`
	Shard  Shard  `json:"shard"`
	Tokens int    `json:"n"`
	// ReservedShare is the share of the bucket to leave for more important calls.
	ReservedShare float64 `json:"keep,omitempty"`
}

// Outcome is the result of Take.
type Outcome uint8

// Outcomes of Take.
const (
	Denied  Outcome = iota
	Taken           // the call has a token
	Waiting         // the call is queued for a token
)

type batch struct {
	tokens  int
	expires time.Time
}

type waiter struct {
	call          uint64
	reservedShare float64   // the waiter with the smallest share gets the next token
	deadline      time.Time // the call is denied at this time
}

// shardView is what this node knows about one shard's bucket and its request to the owner.
type shardView struct {
	remainingShare float64   // of the bucket, from the last grant
	shareSeenAt    time.Time // when that grant arrived
	retryAt        time.Time // no request before, except as deniedShare allows
	deniedShare    float64   // requests that reserve less than this need not wait for retryAt
	requestID      uint64    // of the outstanding request, 0 if none
	sentAt         time.Time // of the outstanding request
	requested      int       // tokens in the outstanding request
}

// shareAt returns the share of the bucket that is presumed to remain.
func (v *shardView) shareAt(now time.Time) float64 {
	if now.Sub(v.shareSeenAt) > shareKnownFor {
		return 1
	}
	return v.remainingShare
}

// workspacePool is the part of one workspace's allowance that this node has: granted
// tokens, waiting calls and the state of its shards.
type workspacePool struct {
	workspace   string
	allowance   Allowance
	validity    time.Duration
	batches     []batch  // by expiry
	waiters     []waiter // by deadline
	shards      []shardView
	windowCalls float64 // calls since windowStart
	demandRate  float64 // calls per second, exponential moving average
	windowStart time.Time
	lastCall    time.Time
}

// TokenPool holds the tokens granted to this node and the calls that wait for tokens.
type TokenPool struct {
	pools    map[string]*workspacePool
	order    []*workspacePool // by workspace, nil after a change; see ordered
	nextID   uint64
	requests []BatchRequest
}

// NewTokenPool returns an empty pool.
func NewTokenPool() *TokenPool { return &TokenPool{pools: map[string]*workspacePool{}} }

// SetAllowance adds a workspace or changes its allowance. A change resets what is known
// about its shards.
func (t *TokenPool) SetAllowance(workspace string, a Allowance) {
	p, ok := t.pools[workspace]
	if !ok {
		p = &workspacePool{workspace: workspace}
		t.pools[workspace] = p
		t.order = nil
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

// RemoveUndeclared removes the workspaces for which declared returns false and returns
// their waiting calls.
func (t *TokenPool) RemoveUndeclared(declared func(workspace string) bool) []uint64 {
	var calls []uint64
	for _, p := range t.ordered() {
		if declared(p.workspace) {
			continue
		}
		for _, w := range p.waiters {
			calls = append(calls, w.call)
		}
		delete(t.pools, p.workspace)
	}
	t.order = nil
	return calls
}

// ordered returns the pools by workspace. They are sorted here and not with each change: a
// manifest may declare many workspaces at once.
func (t *TokenPool) ordered() []*workspacePool {
	if t.order == nil {
		t.order = slices.SortedFunc(maps.Values(t.pools), func(a, b *workspacePool) int {
			return strings.Compare(a.workspace, b.workspace)
		})
	}
	return t.order
}

// NextRequest removes and returns one of the batch requests that the preceding
// operations produced.
func (t *TokenPool) NextRequest() (BatchRequest, bool) {
	n := len(t.requests)
	if n == 0 {
		return BatchRequest{}, false
	}
	req := t.requests[n-1]
	t.requests = t.requests[:n-1]
	return req, true
}

// TokenRequest is a call's request for one token.
type TokenRequest struct {
	Call          uint64
	ReservedShare float64 // share of a bucket to leave for more important calls
	Deadline      time.Time
	MaxWait       time.Duration // at most maxTokenWait takes effect
}

// Take takes a token for a call or queues the call for one. A queued call waits until
// its deadline, MaxWait or maxTokenWait, whichever comes first.
func (t *TokenPool) Take(now time.Time, workspace string, req TokenRequest) Outcome {
	p, ok := t.pools[workspace]
	if !ok {
		return Denied
	}
	p.windowCalls++
	p.lastCall = now
	outcome := p.takeOrWait(now, req)
	t.requestTokens(now, p)
	return outcome
}

func (p *workspacePool) takeOrWait(now time.Time, req TokenRequest) Outcome {
	if len(p.waiters) == 0 && p.takeToken(now) {
		return Taken
	}
	maxWaiters := max(p.allowance.Burst, int(p.allowance.Rate*maxTokenWait.Seconds()))
	if len(p.waiters) >= maxWaiters {
		return Denied
	}
	deadline := now.Add(min(maxTokenWait, req.MaxWait))
	if req.Deadline.Before(deadline) {
		deadline = req.Deadline
	}
	i := len(p.waiters)
	for i > 0 && p.waiters[i-1].deadline.After(deadline) {
		i--
	}
	p.waiters = slices.Insert(p.waiters, i, waiter{call: req.Call, reservedShare: req.ReservedShare, deadline: deadline})
	return Waiting
}

// takeToken takes one token from the batch that expires first and reports whether there
// was one.
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

// HandleGrant processes an owner's answer and appends to released the waiting calls that
// now have a token.
func (t *TokenPool) HandleGrant(now time.Time, req BatchRequest, g Grant, released []uint64) []uint64 {
	p, ok := t.pools[req.Shard.Workspace]
	if !ok || req.Shard.Count != len(p.shards) || req.Shard.Index < 0 || req.Shard.Index >= len(p.shards) {
		return released
	}
	v := &p.shards[req.Shard.Index]
	if v.requestID != req.ID {
		return released
	}
	v.requestID, v.remainingShare, v.shareSeenAt = 0, g.RemainingShare, now
	if g.Tokens == 0 {
		v.retryAt, v.deniedShare = now.Add(max(g.RetryAfter, time.Millisecond)), req.ReservedShare
	}
	expires := v.sentAt.Add(p.validity)
	if g.Tokens > 0 && now.Before(expires) {
		p.addBatch(batch{tokens: min(g.Tokens, v.requested), expires: expires})
	}
	released = p.serveWaiters(now, released)
	t.requestTokens(now, p)
	return released
}

// addBatch inserts a batch in order of expiry.
func (p *workspacePool) addBatch(b batch) {
	i := len(p.batches)
	for i > 0 && p.batches[i-1].expires.After(b.expires) {
		i--
	}
	p.batches = slices.Insert(p.batches, i, b)
}

// serveWaiters gives the available tokens to waiting calls and appends these to released.
func (p *workspacePool) serveWaiters(now time.Time, released []uint64) []uint64 {
	for len(p.waiters) > 0 && p.takeToken(now) {
		best := p.mostImportant()
		released = append(released, p.waiters[best].call)
		p.waiters = slices.Delete(p.waiters, best, best+1)
	}
	return released
}

// mostImportant returns the index of the waiter with the smallest reserved share, of
// equals the one with the earliest deadline.
func (p *workspacePool) mostImportant() int {
	best := 0
	for i, w := range p.waiters {
		if w.reservedShare < p.waiters[best].reservedShare {
			best = i
		}
	}
	return best
}

// HasWaiters reports whether any call waits for a token.
func (t *TokenPool) HasWaiters() bool {
	for _, p := range t.ordered() {
		if len(p.waiters) > 0 {
			return true
		}
	}
	return false
}

// CancelWait removes a waiting call that its caller has canceled.
func (t *TokenPool) CancelWait(workspace string, call uint64) {
	p, ok := t.pools[workspace]
	if !ok {
		return
	}
	p.waiters = slices.DeleteFunc(p.waiters, func(w waiter) bool { return w.call == call })
}

// Tick runs the time-based work: it updates the demand estimates, expires unanswered
// batch requests, appends to denied the calls that have waited too long, and requests
// tokens.
func (t *TokenPool) Tick(now time.Time, denied []uint64) []uint64 {
	for _, p := range t.ordered() {
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
			v.requestID, v.remainingShare, v.shareSeenAt = 0, 0, now
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
