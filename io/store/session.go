package store

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"celeryshelf/core"
	"celeryshelf/core/plan"
)

const (
	// renewalsPerTTL allows two consecutive renewals to fail before the lease of the shard
	// claims expires, and memberRenewals one before that of the member record does.
	renewalsPerTTL = 3
	memberRenewals = 2.2
	// announceWait is how long a starting node waits for its own announcement to be written
	// before it reads those of others. Of two nodes that start at the same time, one then
	// finds the other.
	announceWait = 1 * time.Second
	// stableWatchDuration is how long a watch must last for its failure to reset the
	// retry delay.
	stableWatchDuration = 1 * time.Second
	// The retry delay doubles from initialRetryDelay to maxRetryDelay. Each wait is
	// random, between half the delay and the delay, so that the nodes do not all
	// call a recovering store at once.
	initialRetryDelay = 200 * time.Millisecond
	maxRetryDelay     = 1600 * time.Millisecond
	requestQueueSize  = 256
	// watchBatchDelay batches changes to node and shard records where every response
	// to a watch is billed: a starting fleet writes changes for several seconds. It delays
	// the takeover of a shard whose owner has gone.
	watchBatchDelay = 300 * time.Millisecond
)

// Sink receives the events that the session produces. Post must not block for long.
type Sink interface {
	Post(e core.Event) bool
}

// WarningLogger logs undecodable values, failed requests and broken watches.
type WarningLogger interface {
	Warn(err error)
}

// Clock returns the time in the reducer's time base.
type Clock interface {
	Now() time.Time
}

// Config holds the dependencies and parameters of a Session.
type Config struct {
	Client   Client
	Layout   Layout
	NodeName string
	// Address is an address on which only this process listens. A shard claim that
	// carries the same node name and address therefore belongs to a process that has
	// ended.
	Address  netip.AddrPort
	LeaseTTL time.Duration // of the shard claims
	// MemberLeaseTTL is the time to live of the member record, 0 for LeaseTTL.
	MemberLeaseTTL time.Duration
	// ElectWatchers makes the session read the members once, when it starts, and watch the
	// store only while the reducer asks for it; see core.Settings.
	ElectWatchers bool
	Logger        WarningLogger
	Clock         Clock
}

// Session maintains a node's lease, executes the reducer's store requests, and
// reports the content of the store as events.
type Session struct {
	Config
	sink     Sink
	requests chan core.StoreRequest
	watched  revisionTracker
	scopes   eraScopes
	known    knownManifest

	member            *leaseKeeper // of the member record
	claims            *leaseKeeper // of the shard claims
	claimsPausedUntil time.Time
	announced         chan struct{} // closed after the first announcement
	announcedOnce     sync.Once
	evacuations       evacuationView // as the watch has reported it; only the watch uses it

	mu             sync.Mutex
	rejected       map[string]uint64 // by key: hash of the last value that could not be decoded
	previousClaims map[string]int64  // shard key to revision of the claim of an earlier process of this node
	leaseChanged   chan struct{}
	watchEnabled   chan bool // turns the watch on node records on and off
}

// NewSession returns a session; Run starts it.
func NewSession(c Config) *Session {
	s := &Session{
		Config:       c,
		requests:     make(chan core.StoreRequest, requestQueueSize),
		announced:    make(chan struct{}),
		leaseChanged: make(chan struct{}, 1),
		watchEnabled: make(chan bool),
	}
	s.member = newLeaseKeeper(c, cmp.Or(c.MemberLeaseTTL, c.LeaseTTL), memberRenewals)
	s.claims = newLeaseKeeper(c, c.LeaseTTL, renewalsPerTTL)
	s.member.onHeld = func(_ time.Time, fresh bool) {
		if fresh {
			select {
			case s.leaseChanged <- struct{}{}:
			default:
			}
		}
	}
	s.claims.onHeld = func(until time.Time, _ bool) { s.sink.Post(&core.LeaseHeld{Until: until}) }
	s.claims.onLost = func() { s.sink.Post(&core.LeaseLost{}) }
	if c, ok := c.Client.(EraReporter); ok {
		c.ReportEra(s.handleEra)
	}
	return s
}

// SetSink sets the receiver of events. It must be called once, before Run.
func (s *Session) SetSink(sink Sink) { s.sink = sink }

// Submit queues a request, or drops it if the queue is full; the reducer repeats
// requests that it still needs.
func (s *Session) Submit(r core.StoreRequest) {
	select {
	case s.requests <- r:
	default:
	}
}

// Run runs the session until the context is done.
func (s *Session) Run(ctx context.Context) {
	var group sync.WaitGroup
	group.Go(func() { s.member.hold(ctx) })
	group.Go(func() { s.claims.keep(ctx) })
	group.Go(func() { s.followStore(ctx) })
	group.Go(func() { s.processRequests(ctx) })
	group.Wait()
}

// maxRejected bounds the keys whose undecodable values are remembered.
const maxRejected = 256

// warnEntry logs a value that cannot be decoded, once for each value of a key: another
// writer may have left it in the store, where every read finds it again.
func (s *Session) warnEntry(c Change, err error) {
	hash := xxhash.Sum64(c.Value)
	s.mu.Lock()
	last, known := s.rejected[c.Key]
	if s.rejected == nil || len(s.rejected) >= maxRejected {
		s.rejected = map[string]uint64{}
	}
	s.rejected[c.Key] = hash
	s.mu.Unlock()
	if !known || last != hash {
		s.Logger.Warn(fmt.Errorf("entry not used: %w", err))
	}
}

// RevokeLeases revokes the leases, which deletes the member record and the shard claims.
func (s *Session) RevokeLeases(ctx context.Context) error {
	return errors.Join(s.claims.revoke(ctx), s.member.revoke(ctx))
}

// waitBeforeRetry waits for the retry delay after the given number of earlier
// failures. It returns false if the context is done first.
func waitBeforeRetry(ctx context.Context, failures int) bool {
	delay := maxRetryDelay
	if failures < 3 {
		delay = initialRetryDelay << failures
	}
	return sleep(ctx, delay/2+rand.N(delay/2))
}

// sleep waits for d. It returns false if the context is done first.
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

// processRequests executes requests one at a time, and repeats the last announcement
// when a new lease has been granted.
func (s *Session) processRequests(ctx context.Context) {
	var announced *core.AnnounceMember
	for {
		select {
		case r := <-s.requests:
			for r != nil {
				if a, ok := r.(*core.AnnounceMember); ok {
					announced = a
				}
				r = s.executeBatch(ctx, r)
			}
		case <-s.leaseChanged:
			if announced != nil {
				s.execute(ctx, announced)
			}
		case <-ctx.Done():
			return
		}
	}
}

// executeBatch executes a request, a claim together with those that follow it in the queue.
// It returns the next request if it has taken one from the queue, or nil.
func (s *Session) executeBatch(ctx context.Context, r core.StoreRequest) core.StoreRequest {
	first, ok := r.(*core.ClaimShard)
	if !ok {
		s.execute(ctx, r)
		return nil
	}
	claims, next := s.takeClaims(first)
	s.logFailure(ctx, s.claimShards(ctx, claims))
	return next
}

// takeClaims takes the claims at the head of the queue, and the request after them, which is
// nil if there is none.
func (s *Session) takeClaims(first *core.ClaimShard) (claims []*core.ClaimShard, next core.StoreRequest) {
	claims = append(claims, first)
	for {
		select {
		case next = <-s.requests:
			c, ok := next.(*core.ClaimShard)
			if !ok {
				return claims, next
			}
			claims = append(claims, c)
		default:
			return claims, nil
		}
	}
}

func (s *Session) execute(ctx context.Context, r core.StoreRequest) {
	var err error
	switch r := r.(type) {
	case *core.AnnounceMember:
		err = s.announce(ctx, r)
	case *core.ReleaseShard:
		_, err = s.Client.CompareAndDelete(ctx, s.Layout.shardKey(r.Shard), s.claimValue(s.claims.current()))
	case *core.ReleaseAllShards:
		err = s.claims.revoke(ctx)
	case *core.VerifyManifest:
		err = s.confirmManifest(ctx)
	case *core.SetWatch:
		select {
		case s.watchEnabled <- r.Enabled:
		case <-ctx.Done():
		}
	case *core.SaveCosts:
		err = s.saveCosts(ctx, r.Rows)
	case *core.SaveDepartures:
		err = s.saveDepartures(ctx, r)
	}
	s.logFailure(ctx, err)
}

func (s *Session) logFailure(ctx context.Context, err error) {
	if err != nil && ctx.Err() == nil {
		s.Logger.Warn(err)
	}
}

// confirmManifest reads the newest manifest from the store. If its revision should
// already have been reported by the watch, the connection of the watch is dead and
// the watch is cancelled.
func (s *Session) confirmManifest(ctx context.Context) error {
	if s.Layout.Evacuations != nil {
		return s.confirmOperatorKeys(ctx)
	}
	start := s.Clock.Now()
	pair, err := s.Client.Get(ctx, s.Layout.ManifestKey)
	if err != nil {
		return fmt.Errorf("confirm manifest: %w", err)
	}
	if pair == nil {
		return nil
	}
	s.reportManifest(*pair, start)
	if s.Layout.manifestUnderPrefix() {
		s.watched.cancelIfStalled(pair.Revision)
	}
	return nil
}

// saveCosts writes the call costs without a lease, so that they outlive the fleet.
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
	lease := s.member.current()
	if lease == 0 {
		return nil // processRequests repeats the announcement once a lease is held
	}
	value, err := json.Marshal(r.Member)
	if err != nil {
		return fmt.Errorf("encode announcement: %w", err)
	}
	if err := s.Client.Put(ctx, s.Layout.memberKey(s.NodeName), value, lease); err != nil {
		return fmt.Errorf("announce: %w", err)
	}
	s.member.markUsed(lease)
	s.announcedOnce.Do(func() { close(s.announced) })
	return nil
}
