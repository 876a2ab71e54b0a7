package store

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// leaseKeeper holds a lease and renews it.
type leaseKeeper struct {
	client   Client
	clock    Clock
	ttl      time.Duration
	interval time.Duration // between renewals
	// onHeld and onLost are called with the lock held, so that what they report is in order
	// with what whileHeld does.
	onHeld func(until time.Time, fresh bool)
	onLost func()

	mu      sync.Mutex
	lease   int64 // 0 while none is held
	until   time.Time
	usedAt  time.Time     // when the lease was granted or a key last written under it
	returns int           // times that the store has come back from an older copy
	granted chan struct{} // signals keep or hold that acquire has got a lease
	dropped chan struct{} // signals renew that handleReturn has given the lease up
}

func newLeaseKeeper(c Config, ttl time.Duration, renewals float64) *leaseKeeper {
	return &leaseKeeper{
		client: c.Client, clock: c.Clock, ttl: ttl, interval: time.Duration(float64(ttl) / renewals),
		onHeld: func(time.Time, bool) {}, onLost: func() {}, granted: make(chan struct{}, 1), dropped: make(chan struct{}, 1),
	}
}

// acquire returns the lease that is held, or a new one.
func (k *leaseKeeper) acquire(ctx context.Context) (int64, error) {
	if lease := k.current(); lease != 0 {
		return lease, nil
	}
	start, returns := k.clock.Now(), k.returnCount()
	lease, err := k.client.Grant(ctx, k.ttl)
	if err != nil {
		return 0, fmt.Errorf("acquire lease: %w", err)
	}
	if !k.setGranted(lease, start, returns) {
		return 0, fmt.Errorf("acquire lease: %w", errStoreReturned)
	}
	select {
	case k.granted <- struct{}{}:
	default:
	}
	return lease, nil
}

// keep renews the leases that acquire gets, until the context is done.
func (k *leaseKeeper) keep(ctx context.Context) {
	for {
		select {
		case <-k.granted:
			k.renew(ctx)
			if ctx.Err() != nil {
				return
			}
			k.clear()
		case <-ctx.Done():
			return
		}
	}
}

// hold acquires a lease, renews it, and acquires another whenever it has expired, until the
// context is done.
func (k *leaseKeeper) hold(ctx context.Context) {
	for try := 0; ctx.Err() == nil; try++ {
		if _, err := k.acquire(ctx); err != nil {
			if !waitBeforeRetry(ctx, try) {
				return
			}
			continue
		}
		try = 0
		<-k.granted
		k.renew(ctx)
		if ctx.Err() == nil {
			k.clear()
		}
	}
}

// renew renews the lease until it has expired, has been revoked, or the context is done.
func (k *leaseKeeper) renew(ctx context.Context) {
	lease := k.current()
	wait := k.interval
	for try := 0; k.sleep(ctx, wait-rand.N(wait/8)); {
		held, until := k.state()
		if held != lease {
			return
		}
		start := k.clock.Now()
		ttl, err := k.client.KeepAlive(ctx, lease)
		switch {
		case err == nil && ttl <= 0:
			return
		case err == nil:
			wait, try = k.interval, 0
			k.extend(lease, start.Add(ttl))
		case k.clock.Now().After(until) && try > renewalsPerTTL:
			// Whether a lease that is past its expiry still exists is known only
			// to the store. Acquiring a new lease is simpler and as safe.
			return
		default:
			try++
			wait = min(k.interval, max(maxRetryDelay, k.interval/2))
		}
	}
}

// revoke revokes the lease, if one is held, and with it deletes the keys under it.
func (k *leaseKeeper) revoke(ctx context.Context) error {
	lease := k.current()
	if lease == 0 {
		return nil
	}
	k.clear()
	if err := k.client.Revoke(ctx, lease); err != nil {
		return fmt.Errorf("revoke lease: %w", err)
	}
	return nil
}

// sleep waits for d, or until the lease is given up. It returns false if the context is done
// first.
func (k *leaseKeeper) sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-k.dropped:
		return true
	case <-ctx.Done():
		return false
	}
}

// handleReturn gives up the lease if the copy that the store has come back from may lack the
// lease or a key under it. The store may grant its number again.
func (k *leaseKeeper) handleReturn(now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.returns++
	if k.lease == 0 || now.Sub(k.usedAt) >= maxCopyAge {
		return
	}
	k.lease = 0
	k.onLost()
	select {
	case k.dropped <- struct{}{}:
	default:
	}
}

// markUsed records that a key has been written under a lease.
func (k *leaseKeeper) markUsed(lease int64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.lease == lease {
		k.usedAt = k.clock.Now()
	}
}

func (k *leaseKeeper) returnCount() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.returns
}

// setGranted sets a lease that was requested at the given time and after the given number of
// returns. It returns false if the store has come back from an older copy since.
func (k *leaseKeeper) setGranted(lease int64, requested time.Time, returns int) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.returns != returns {
		return false
	}
	k.lease, k.until, k.usedAt = lease, requested.Add(k.ttl), requested
	k.onHeld(k.until, true)
	return true
}

// extend records the renewal of a lease, unless it has been given up meanwhile.
func (k *leaseKeeper) extend(lease int64, until time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.lease == lease {
		k.until = until
		k.onHeld(until, false)
	}
}

func (k *leaseKeeper) clear() {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.lease != 0 {
		k.lease = 0
		k.onLost()
	}
}

// whileHeld calls report if the lease is still held. The lease is not lost meanwhile.
func (k *leaseKeeper) whileHeld(lease int64, report func()) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.lease == lease {
		report()
	}
}

func (k *leaseKeeper) current() int64 {
	lease, _ := k.state()
	return lease
}

func (k *leaseKeeper) state() (lease int64, until time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.lease, k.until
}
