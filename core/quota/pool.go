package quota

import (
	"maps"
	"slices"
	"strings"
	"time"
)

const (
	// maxWait is how long a call may wait for a token before it is refused.
	maxWait = 200 * time.Millisecond
	// minAskTimeout is the least time after which an unanswered ask is given up.
	minAskTimeout = 50 * time.Millisecond
	unownedPause  = 50 * time.Millisecond
	demandWindow  = 100 * time.Millisecond
	demandWeight  = 0.3
	// warmFor keeps tokens at hand after the last call of a workspace.
	warmFor = 5 * time.Second
	// spareShare of a bucket must be left before tokens are taken in advance: those
	// that expire unused are lost to the workspace.
	spareShare = 0.7
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
	call uint64
	keep float64   // of two that wait the one that keeps less gets the next token
	give time.Time // refused from then on
}

type view struct {
	spare float64
	retry time.Time // ask not before
	kept  float64   // unless for calls that leave less than this
	ask   uint64    // outstanding, 0 if none
	at    time.Time // when it was asked
	want  int
}

// pool is what this node holds of one workspace's allowance.
type pool struct {
	workspace string
	allowance Allowance
	validity  time.Duration
	batches   []batch
	waiting   []waiter
	views     []view
	count     float64 // calls in the open window
	demand    float64 // calls a second
	opened    time.Time
	active    time.Time
}

// TokenPool keeps the tokens granted to this node and the calls that wait for some.
type TokenPool struct {
	pools  map[string]*pool
	order  []*pool // by name
	nextID uint64
	asks   []BatchRequest
}

// NewTokenPool returns a holder of nothing.
func NewTokenPool() *TokenPool { return &TokenPool{pools: map[string]*pool{}} }

// SetAllowance sets a workspace's allowance.
func (h *TokenPool) SetAllowance(workspace string, a Allowance) {
	p, ok := h.pools[workspace]
	if !ok {
		p = &pool{workspace: workspace}
		h.pools[workspace] = p
		h.sort()
	}
	if p.allowance == a {
		return
	}
	p.allowance = a
	p.validity = a.BatchValidity()
	p.views = make([]view, a.ShardCount())
	for i := range p.views {
		p.views[i].spare = 1
	}
}

// RemoveUndeclared removes the workspaces for which the predicate is false and returns
// their waiting calls.
func (h *TokenPool) RemoveUndeclared(declared func(workspace string) bool) []uint64 {
	var calls []uint64
	for _, p := range h.order {
		if declared(p.workspace) {
			continue
		}
		for _, w := range p.waiting {
			calls = append(calls, w.call)
		}
		delete(h.pools, p.workspace)
	}
	h.sort()
	return calls
}

func (h *TokenPool) sort() {
	h.order = slices.SortedFunc(maps.Values(h.pools), func(a, b *pool) int {
		return strings.Compare(a.workspace, b.workspace)
	})
}

// NextRequest takes out one of the asks that the last operations gave rise to.
func (h *TokenPool) NextRequest() (BatchRequest, bool) {
	n := len(h.asks)
	if n == 0 {
		return BatchRequest{}, false
	}
	a := h.asks[n-1]
	h.asks = h.asks[:n-1]
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
func (h *TokenPool) Take(now time.Time, workspace string, c TokenRequest) Outcome {
	p, ok := h.pools[workspace]
	if !ok {
		return Denied
	}
	p.count++
	p.active = now
	outcome := p.take(now, c)
	h.refill(now, p)
	return outcome
}

func (p *pool) take(now time.Time, c TokenRequest) Outcome {
	if len(p.waiting) == 0 && p.use(now) {
		return Taken
	}
	room := max(1, int(p.allowance.Rate*maxWait.Seconds()))
	if len(p.waiting) >= room {
		return Denied
	}
	give := now.Add(min(maxWait, c.MaxWait))
	if c.Deadline.Before(give) {
		give = c.Deadline
	}
	i := len(p.waiting)
	for i > 0 && p.waiting[i-1].give.After(give) {
		i--
	}
	p.waiting = slices.Insert(p.waiting, i, waiter{call: c.Call, keep: c.ReservedShare, give: give})
	return Waiting
}

// use takes one token out of the batch that expires first.
func (p *pool) use(now time.Time) bool {
	p.prune(now)
	if len(p.batches) == 0 {
		return false
	}
	p.batches[0].tokens--
	if p.batches[0].tokens == 0 {
		p.batches = slices.Delete(p.batches, 0, 1)
	}
	return true
}

func (p *pool) prune(now time.Time) {
	n := 0
	for n < len(p.batches) && !now.Before(p.batches[n].expires) {
		n++
	}
	if n > 0 {
		p.batches = slices.Delete(p.batches, 0, n)
	}
}

// HandleGrant takes in an owner's answer and returns the calls that now hold a token.
func (h *TokenPool) HandleGrant(now time.Time, a BatchRequest, g Grant, released []uint64) []uint64 {
	p, ok := h.pools[a.Shard.Workspace]
	if !ok || a.Shard.Count != len(p.views) || a.Shard.Index >= len(p.views) {
		return released
	}
	v := &p.views[a.Shard.Index]
	if v.ask != a.ID {
		return released
	}
	v.ask, v.spare = 0, g.RemainingShare
	if g.Tokens == 0 {
		v.retry, v.kept = now.Add(max(g.RetryAfter, time.Millisecond)), a.ReservedShare
	}
	expires := v.at.Add(p.validity)
	if g.Tokens > 0 && now.Before(expires) {
		p.add(batch{tokens: min(g.Tokens, v.want), expires: expires})
	}
	released = p.release(now, released)
	h.refill(now, p)
	return released
}

// add keeps batches in order of expiry.
func (p *pool) add(b batch) {
	i := len(p.batches)
	for i > 0 && p.batches[i-1].expires.After(b.expires) {
		i--
	}
	p.batches = slices.Insert(p.batches, i, b)
}

func (p *pool) release(now time.Time, released []uint64) []uint64 {
	for len(p.waiting) > 0 && p.use(now) {
		best := p.foremost()
		released = append(released, p.waiting[best].call)
		p.waiting = slices.Delete(p.waiting, best, best+1)
	}
	return released
}

// foremost returns the place of the most important call that waits.
func (p *pool) foremost() int {
	best := 0
	for i, w := range p.waiting {
		if w.keep < p.waiting[best].keep {
			best = i
		}
	}
	return best
}

// HasWaiters reports whether any call waits for a token or any ask for its answer.
func (h *TokenPool) HasWaiters() bool {
	for _, p := range h.order {
		if len(p.waiting) > 0 {
			return true
		}
	}
	return false
}

// CancelWait removes a waiting call that its caller gave up.
func (h *TokenPool) CancelWait(workspace string, call uint64) {
	p, ok := h.pools[workspace]
	if !ok {
		return
	}
	p.waiting = slices.DeleteFunc(p.waiting, func(w waiter) bool { return w.call == call })
}

// Tick does what time brings: it gives up asks without an answer, refreshes the
// tokens at hand, and returns the calls that have waited too long.
func (h *TokenPool) Tick(now time.Time, denied []uint64) []uint64 {
	for _, p := range h.order {
		p.measure(now)
		p.giveUp(now)
		denied = p.expire(now, denied)
		h.refill(now, p)
	}
	return denied
}

func (p *pool) measure(now time.Time) {
	age := now.Sub(p.opened)
	if age < demandWindow {
		return
	}
	if !p.opened.IsZero() {
		p.demand += demandWeight * (p.count/age.Seconds() - p.demand)
	}
	p.count, p.opened = 0, now
}

func (p *pool) giveUp(now time.Time) {
	timeout := max(p.validity, minAskTimeout)
	for i := range p.views {
		v := &p.views[i]
		if v.ask != 0 && now.Sub(v.at) >= timeout {
			v.ask, v.spare = 0, 0
			v.retry, v.kept = now.Add(unownedPause), 0
		}
	}
}

func (p *pool) expire(now time.Time, denied []uint64) []uint64 {
	n := 0
	for n < len(p.waiting) && !now.Before(p.waiting[n].give) {
		denied = append(denied, p.waiting[n].call)
		n++
	}
	p.waiting = slices.Delete(p.waiting, 0, n)
	return denied
}

// refill asks for the tokens that waiting calls need and, while the buckets are
// well filled, for those that the coming calls will.
func (h *TokenPool) refill(now time.Time, p *pool) {
	pending := 0
	for _, v := range p.views {
		if v.ask != 0 {
			pending += v.want
		}
	}
	if need := len(p.waiting) - pending; need > 0 {
		h.ask(now, p, need, 0)
		return
	}
	want := p.lookahead(now)
	if have := p.fresh(now) + pending; want > 0 && 2*have < want+1 {
		h.ask(now, p, want-have, spareShare)
	}
}

// lookahead returns the number of tokens to keep at hand.
func (p *pool) lookahead(now time.Time) int {
	if p.active.IsZero() || now.Sub(p.active) > warmFor {
		return 0
	}
	want := int(p.demand*p.validity.Seconds()/2 + 0.5)
	return min(want, max(1, p.allowance.Burst/8))
}

// fresh returns the tokens that outlive a quarter of the validity.
func (p *pool) fresh(now time.Time) int {
	n := 0
	for _, b := range p.batches {
		if b.expires.Sub(now) > p.validity/4 {
			n += b.tokens
		}
	}
	return n
}

// ask picks the fullest shard that is free to be asked, if its spare share is
// large enough. Tokens for calls that wait are asked for the most important ones.
func (h *TokenPool) ask(now time.Time, p *pool, n int, spare float64) {
	keep := 0.0
	if len(p.waiting) > 0 {
		keep = p.waiting[p.foremost()].keep
		n = min(n, p.equals(keep))
	}
	best := -1
	for i, v := range p.views {
		if v.ask != 0 || now.Before(v.retry) && keep >= v.kept || v.spare < spare {
			continue
		}
		if best < 0 || v.spare > p.views[best].spare {
			best = i
		}
	}
	if best < 0 {
		return
	}
	h.nextID++
	v := &p.views[best]
	v.ask, v.at, v.want = h.nextID, now, n
	shard := Shard{Workspace: p.workspace, Index: best, Count: len(p.views)}
	h.asks = append(h.asks, BatchRequest{ID: h.nextID, Shard: shard, Tokens: n, ReservedShare: keep})
}

// equals counts the calls that wait and leave the same share of a bucket.
func (p *pool) equals(keep float64) int {
	n := 0
	for _, w := range p.waiting {
		if w.keep == keep {
			n++
		}
	}
	return n
}
