package quota

import "time"

// requestTokens requests tokens for the waiting calls. If these are covered, it prefetches
// tokens for the expected demand, once at most half of prefetchTarget is available, from a
// shard whose bucket is at least minPrefetchShare full.
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

// prefetchTarget returns the number of tokens to keep available: the demand expected in
// half a batch validity, at most an eighth of the burst.
func (p *workspacePool) prefetchTarget(now time.Time) int {
	if p.lastCall.IsZero() || now.Sub(p.lastCall) > prefetchIdleTimeout {
		return 0
	}
	if p.demandRate*p.validity.Seconds() < minPrefetchDemand {
		return 0
	}
	want := int(p.demandRate*p.validity.Seconds()/2 + 0.5)
	return min(want, max(1, p.allowance.Burst/8))
}

// freshTokens returns the number of tokens that stay valid for more than a quarter of the
// batch validity.
func (p *workspacePool) freshTokens(now time.Time) int {
	n := 0
	for _, b := range p.batches {
		if b.expires.Sub(now) > p.validity/4 {
			n += b.tokens
		}
	}
	return n
}

// requestFromFullest requests n tokens from the shard with the largest remaining share
// among those that have no outstanding request and at least minShare left, and that are
// past their retry time or whose last denied request reserved more than this one. If
// calls wait, the request is for the most important of them only, as one request carries
// one reserved share.
func (t *TokenPool) requestFromFullest(now time.Time, p *workspacePool, n int, minShare float64) {
	reservedShare := 0.0
	if len(p.waiters) > 0 {
		reservedShare = p.waiters[p.mostImportant()].reservedShare
		n = min(n, p.countWaiters(reservedShare))
	}
	best, bestShare := -1, 0.0
	for k := range p.shards {
		// Nodes that know nothing of the buckets start at different shards.
		i := (k + int(t.nextID)) % len(p.shards)
		v := &p.shards[i]
		share := v.shareAt(now)
		if v.requestID != 0 || now.Before(v.retryAt) && reservedShare >= v.deniedShare || share < minShare {
			continue
		}
		if best < 0 || share > bestShare {
			best, bestShare = i, share
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

// countWaiters counts the waiting calls with the given reserved share.
func (p *workspacePool) countWaiters(reservedShare float64) int {
	n := 0
	for _, w := range p.waiters {
		if w.reservedShare == reservedShare {
			n++
		}
	}
	return n
}
