package store

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"celeryshelf/core"
	"celeryshelf/core/plan"
)

const (
	// renewalsPerTTL of a lease in its time to live; two may fail in a row.
	renewalsPerTTL = 3
	// stableWatchDuration is how long a watch must stand for the next failure to count as the first.
	stableWatchDuration = 1 * time.Second
	// Failed calls are tried again after a time between initialRetryDelay and maxPause,
	// drawn at random so that a returning store is not met by every node at once.
	initialRetryDelay = 200 * time.Millisecond
	maxRetryDelay     = 1600 * time.Millisecond
	requestQueueSize  = 256
	// watchBatchDelay lets news of nodes and shards gather where every answer to a watch
	// is paid for: a fleet that starts makes changes for some seconds. Nodes hear of
	// each other and of shards from peers as well.
	watchBatchDelay = 1 * time.Second
)

// Sink takes in what the store says; it must not block for long.
type Sink interface {
	Post(e core.Event) bool
}

// WarningLogger is told of values in the store that cannot be read.
type WarningLogger interface {
	Warn(err error)
}

// Clock tells the time by which the reducer judges.
type Clock interface {
	Now() time.Time
}

// Config holds what a Session is made of.
type Config struct {
	Client   Client
	Layout   Layout
	NodeName string // of the node
	// Address is one that only this process listens on. A record of an earlier
	// process there is out of use.
	Address  netip.AddrPort
	LeaseTTL time.Duration
	Logger   WarningLogger
	Clock    Clock
}

// Session keeps a node's lease, carries out its requests, and reports what the
// store holds.
type Session struct {
	Config
	sink     Sink
	requests chan core.StoreRequest
	watched  revisionTracker

	mu             sync.Mutex
	previousClaims map[string]int64 // revisions of an earlier process's claims, by key
	lease          int64            // 0 while none is held
	leaseChanged   chan struct{}
	watchEnabled   chan bool // whether the nodes' own records are followed
}

// NewSession returns a session that Run is yet to start.
func NewSession(c Config) *Session {
	return &Session{
		Config:       c,
		requests:     make(chan core.StoreRequest, requestQueueSize),
		leaseChanged: make(chan struct{}, 1),
		watchEnabled: make(chan bool),
	}
}

// SetSink names the receiver of events. It is called once, before Run.
func (s *Session) SetSink(sink Sink) { s.sink = sink }

// Submit queues a request and drops it when far too many wait; the reducer asks
// again for whatever it still needs.
func (s *Session) Submit(r core.StoreRequest) {
	select {
	case s.requests <- r:
	default:
	}
}

// Run works until the context ends.
func (s *Session) Run(ctx context.Context) {
	var group sync.WaitGroup
	group.Go(func() { s.maintainLease(ctx) })
	group.Go(func() { s.watchNodeRecords(ctx) })
	if !s.Layout.manifestUnderPrefix() {
		group.Go(func() { s.loadAndWatch(ctx, s.Layout.ManifestKey, s.loadManifest) })
	}
	group.Go(func() { s.processRequests(ctx) })
	group.Wait()
}

// RevokeLease ends the lease, and with it the announcement and the shards.
func (s *Session) RevokeLease(ctx context.Context) error {
	lease := s.currentLease()
	if lease == 0 {
		return nil
	}
	return s.Client.Revoke(ctx, lease)
}

// waitBeforeRetry waits before another try and reports whether the context still runs.
func waitBeforeRetry(ctx context.Context, try int) bool {
	limit := maxRetryDelay
	if try < 3 {
		limit = initialRetryDelay << try
	}
	return sleep(ctx, limit/2+rand.N(limit/2))
}

func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// maintainLease grants a lease and renews it, and a new one whenever it has run out.
func (s *Session) maintainLease(ctx context.Context) {
	for try := 0; ctx.Err() == nil; try++ {
		start := s.Clock.Now()
		lease, err := s.Client.Grant(ctx, s.LeaseTTL)
		if err != nil {
			if !waitBeforeRetry(ctx, try) {
				return
			}
			continue
		}
		try = 0
		s.setLease(lease, start.Add(s.LeaseTTL))
		s.renewLease(ctx, lease, start.Add(s.LeaseTTL))
		if ctx.Err() != nil {
			return
		}
		s.clearLease()
	}
}

// renewLease returns when the lease has run out or the context has ended.
func (s *Session) renewLease(ctx context.Context, lease int64, until time.Time) {
	wait := s.LeaseTTL / renewalsPerTTL
	for try := 0; sleep(ctx, wait-rand.N(wait/8)); {
		start := s.Clock.Now()
		ttl, err := s.Client.KeepAlive(ctx, lease)
		switch {
		case err == nil && ttl <= 0:
			return
		case err == nil:
			until, wait, try = start.Add(ttl), s.LeaseTTL/renewalsPerTTL, 0
			s.setLease(lease, until)
		case s.Clock.Now().After(until) && try > renewalsPerTTL:
			// Long past its end the store would have to be asked whether the
			// lease still stands; a new one is simpler and as safe.
			return
		default:
			try++
			wait = min(s.LeaseTTL/renewalsPerTTL, maxRetryDelay)
		}
	}
}

func (s *Session) setLease(lease int64, until time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fresh := s.lease != lease
	s.lease = lease
	s.sink.Post(&core.LeaseHeld{Until: until})
	if fresh {
		select {
		case s.leaseChanged <- struct{}{}:
		default:
		}
	}
}

func (s *Session) clearLease() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lease = 0
	s.sink.Post(&core.LeaseLost{})
}

func (s *Session) currentLease() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lease
}

// processRequests carries out requests one after the other.
func (s *Session) processRequests(ctx context.Context) {
	var announced *core.AnnounceMember
	for {
		select {
		case r := <-s.requests:
			if a, ok := r.(*core.AnnounceMember); ok {
				announced = a
			}
			s.execute(ctx, r)
		case <-s.leaseChanged:
			if announced != nil {
				s.execute(ctx, announced)
			}
		case <-ctx.Done():
			return
		}
	}
}

func (s *Session) execute(ctx context.Context, r core.StoreRequest) {
	var err error
	switch r := r.(type) {
	case *core.AnnounceMember:
		err = s.announce(ctx, r)
	case *core.ClaimShard:
		err = s.claimShard(ctx, r)
	case *core.ReleaseShard:
		_, err = s.Client.CompareAndDelete(ctx, s.Layout.shardKey(r.Shard), s.claimValue(s.currentLease()))
	case *core.VerifyManifest:
		err = s.confirmManifest(ctx)
	case *core.SetWatch:
		select {
		case s.watchEnabled <- r.Enabled:
		case <-ctx.Done():
		}
	case *core.SaveCosts:
		err = s.saveCosts(ctx, r.Rows)
	}
	if err != nil && ctx.Err() == nil {
		s.Logger.Warn(err)
	}
}

// confirmManifest asks the store for its newest manifest. One that the watch should have
// reported by now shows that its connection has gone silent.
func (s *Session) confirmManifest(ctx context.Context) error {
	start := s.Clock.Now()
	pair, err := s.Client.Get(ctx, s.Layout.ManifestKey)
	if err != nil {
		return fmt.Errorf("confirm manifest: %w", err)
	}
	if pair == nil {
		return nil
	}
	s.reportManifest(Change{Key: pair.Key, Value: pair.Value}, start)
	if s.Layout.manifestUnderPrefix() {
		s.watched.cancelIfStalled(pair.Revision)
	}
	return nil
}

// saveCosts writes without a lease: the value is there for a fleet that has ended.
func (s *Session) saveCosts(ctx context.Context, rows []plan.RouteCost) error {
	value, err := json.Marshal(rows)
	if err != nil {
		return fmt.Errorf("encode costs: %w", err)
	}
	if err := s.Client.Put(ctx, s.Layout.costsKey(), value, 0); err != nil {
		return fmt.Errorf("save costs: %w", err)
	}
	return nil
}

func (s *Session) announce(ctx context.Context, r *core.AnnounceMember) error {
	lease := s.currentLease()
	if lease == 0 {
		return nil // announced once a lease is held
	}
	value, err := json.Marshal(r.Member)
	if err != nil {
		return fmt.Errorf("encode announcement: %w", err)
	}
	if err := s.Client.Put(ctx, s.Layout.memberKey(s.NodeName), value, lease); err != nil {
		return fmt.Errorf("announce: %w", err)
	}
	return nil
}
