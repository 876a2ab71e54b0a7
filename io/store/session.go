package store

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"strconv"
	"sync"
	"time"

	"celeryshelf/core"
	"celeryshelf/core/plan"
)

const (
	// renewals of a lease in its time to live; two may fail in a row.
	renewals = 3
	// steady is how long a watch must stand for the next failure to count as the first.
	steady = 1 * time.Second
	// Failed calls are tried again after a time between firstPause and maxPause,
	// drawn at random so that a returning store is not met by every node at once.
	firstPause  = 200 * time.Millisecond
	maxPause    = 1600 * time.Millisecond
	requestRoom = 256
	// gatherFor lets news of nodes and shards gather where every answer to a watch
	// is paid for: a fleet that starts makes changes for some seconds. Nodes hear of
	// each other and of shards from peers as well.
	gatherFor = 1 * time.Second
)

// Sink takes in what the store says; it must not block for long.
type Sink interface {
	Post(e core.Event) bool
}

// Warner is told of values in the store that cannot be read.
type Warner interface {
	Warn(err error)
}

// Clock tells the time by which the reducer judges.
type Clock interface {
	Now() time.Time
}

// Config holds what a Session is made of.
type Config struct {
	Client Client
	Layout Layout
	Name   string // of the node
	// Address is one that only this process listens on. A record of an earlier
	// process there is out of use.
	Address netip.AddrPort
	TTL     time.Duration
	Warner  Warner
	Clock   Clock
}

// Session keeps a node's lease, carries out its requests, and reports what the
// store holds.
type Session struct {
	Config
	sink     Sink
	requests chan core.Request
	seen     progress

	mu      sync.Mutex
	earlier map[string]int64 // revisions of an earlier process's claims, by key
	lease   int64            // 0 while none is held
	changed chan struct{}
	follows chan bool // whether the nodes' own records are followed
}

// NewSession returns a session that Run is yet to start.
func NewSession(c Config) *Session {
	return &Session{
		Config:   c,
		requests: make(chan core.Request, requestRoom),
		changed:  make(chan struct{}, 1),
		follows:  make(chan bool),
	}
}

// Attach names the receiver of events. It is called once, before Run.
func (s *Session) Attach(sink Sink) { s.sink = sink }

// Submit queues a request and drops it when far too many wait; the reducer asks
// again for whatever it still needs.
func (s *Session) Submit(r core.Request) {
	select {
	case s.requests <- r:
	default:
	}
}

// Run works until the context ends.
func (s *Session) Run(ctx context.Context) {
	var group sync.WaitGroup
	group.Go(func() { s.keepLease(ctx) })
	group.Go(func() { s.followOwn(ctx) })
	if !s.Layout.inside() {
		group.Go(func() { s.follow(ctx, s.Layout.Manifest, s.loadManifest) })
	}
	group.Go(func() { s.serve(ctx) })
	group.Wait()
}

// Leave ends the lease, and with it the announcement and the shards.
func (s *Session) Leave(ctx context.Context) error {
	lease := s.current()
	if lease == 0 {
		return nil
	}
	return s.Client.Revoke(ctx, lease)
}

// pause waits before another try and reports whether the context still runs.
func pause(ctx context.Context, try int) bool {
	limit := maxPause
	if try < 3 {
		limit = firstPause << try
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

// keepLease grants a lease and renews it, and a new one whenever it has run out.
func (s *Session) keepLease(ctx context.Context) {
	for try := 0; ctx.Err() == nil; try++ {
		start := s.Clock.Now()
		lease, err := s.Client.Grant(ctx, s.TTL)
		if err != nil {
			if !pause(ctx, try) {
				return
			}
			continue
		}
		try = 0
		s.held(lease, start.Add(s.TTL))
		s.renew(ctx, lease, start.Add(s.TTL))
		if ctx.Err() != nil {
			return
		}
		s.lost()
	}
}

// renew returns when the lease has run out or the context has ended.
func (s *Session) renew(ctx context.Context, lease int64, until time.Time) {
	wait := s.TTL / renewals
	for try := 0; sleep(ctx, wait-rand.N(wait/8)); {
		start := s.Clock.Now()
		ttl, err := s.Client.KeepAlive(ctx, lease)
		switch {
		case err == nil && ttl <= 0:
			return
		case err == nil:
			until, wait, try = start.Add(ttl), s.TTL/renewals, 0
			s.held(lease, until)
		case s.Clock.Now().After(until) && try > renewals:
			// Long past its end the store would have to be asked whether the
			// lease still stands; a new one is simpler and as safe.
			return
		default:
			try++
			wait = min(s.TTL/renewals, maxPause)
		}
	}
}

func (s *Session) held(lease int64, until time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fresh := s.lease != lease
	s.lease = lease
	s.sink.Post(&core.LeaseHeld{Until: until})
	if fresh {
		select {
		case s.changed <- struct{}{}:
		default:
		}
	}
}

func (s *Session) lost() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lease = 0
	s.sink.Post(&core.LeaseLost{})
}

func (s *Session) current() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lease
}

// followOwn follows what nodes have written, while that is asked for.
func (s *Session) followOwn(ctx context.Context) {
	for on := true; ctx.Err() == nil; {
		following, stop := context.WithCancel(ctx)
		var group sync.WaitGroup
		if on {
			group.Go(func() { s.follow(following, s.Layout.Prefix, s.loadOwn) })
		}
		select {
		case on = <-s.follows:
		case <-ctx.Done():
		}
		stop()
		group.Wait()
	}
}

// follow reads everything under a prefix and watches it from there on.
func (s *Session) follow(ctx context.Context, prefix string, load func(context.Context) (int64, error)) {
	for try := 0; ctx.Err() == nil; try++ {
		revision, err := load(ctx)
		if err == nil {
			if s.watch(ctx, prefix, revision) > steady {
				try = 0
			}
		}
		if ctx.Err() != nil {
			return
		}
		s.sink.Post(&core.StoreUp{Up: false})
		if !pause(ctx, try) {
			return
		}
	}
}

// loadOwn reports everything that nodes have written.
func (s *Session) loadOwn(ctx context.Context) (int64, error) {
	start := s.Clock.Now()
	pairs, revision, err := s.Client.Range(ctx, s.Layout.Prefix)
	if err != nil {
		return 0, err
	}
	out := &core.Snapshot{}
	s.remember(pairs)
	for _, p := range pairs {
		e, err := s.Layout.event(Change{Key: p.Key, Value: p.Value})
		if err != nil {
			s.Warner.Warn(err)
			continue
		}
		switch e := e.(type) {
		case *core.ManifestSeen:
			out.Manifest = &e.Manifest
		case *core.MemberSeen:
			out.Members = append(out.Members, e.Member)
		case *core.CostsSeen:
			out.Costs = e.Rows
		case *core.ShardSeen:
			out.Shards = append(out.Shards, e.ShardRecord)
		}
	}
	s.sink.Post(&core.StoreUp{Up: true})
	s.sink.Post(out)
	if out.Manifest != nil {
		s.sink.Post(&core.Confirmed{Version: out.Manifest.Version, At: start})
	}
	s.seen.reach(revision)
	return revision, nil
}

// remember keeps the revisions of the claims that an earlier process of this node left,
// so that taking one over is a single call.
func (s *Session) remember(pairs []Pair) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.earlier = map[string]int64{}
	for _, p := range pairs {
		if s.left(p.Value) {
			s.earlier[p.Key] = p.Revision
		}
	}
}

// takeOver takes a shard that an earlier process of this node held, if its claim still
// stands as it was read.
func (s *Session) takeOver(ctx context.Context, key string, value []byte, lease int64) bool {
	s.mu.Lock()
	revision, ok := s.earlier[key]
	delete(s.earlier, key)
	s.mu.Unlock()
	if !ok {
		return false
	}
	held, err := s.Client.Swap(ctx, key, revision, value, lease)
	return held && err == nil // otherwise the key is read again
}

// loadManifest reports the manifest where it lies outside the nodes' prefix.
func (s *Session) loadManifest(ctx context.Context) (int64, error) {
	start := s.Clock.Now()
	pairs, revision, err := s.Client.Range(ctx, s.Layout.Manifest)
	if err != nil {
		return 0, err
	}
	s.sink.Post(&core.StoreUp{Up: true})
	for _, p := range pairs {
		if p.Key == s.Layout.Manifest {
			s.confirm(Change{Key: p.Key, Value: p.Value}, start)
		}
	}
	return revision, nil
}

// confirm reports the manifest that the store held at an instant.
func (s *Session) confirm(c Change, at time.Time) {
	e, err := s.Layout.event(c)
	if err != nil {
		s.Warner.Warn(err)
		return
	}
	if m, ok := e.(*core.ManifestSeen); ok {
		s.sink.Post(m)
		s.sink.Post(&core.Confirmed{Version: m.Manifest.Version, At: at})
	}
}

// watch reports changes until the watch breaks or falls behind, and returns how
// long it stood.
func (s *Session) watch(ctx context.Context, prefix string, revision int64) time.Duration {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	start := time.Now()
	gather := time.Duration(0)
	if prefix == s.Layout.Prefix {
		s.seen.use(cancel)
		if !s.Layout.inside() {
			gather = gatherFor
		}
	}
	err := s.Client.Watch(ctx, prefix, revision+1, gather, func(c Change, at int64) {
		s.report(c)
		if prefix == s.Layout.Prefix {
			s.seen.reach(at)
		}
	})
	if err != nil && ctx.Err() == nil {
		s.Warner.Warn(err)
	}
	return time.Since(start)
}

func (s *Session) report(c Change) {
	e, err := s.Layout.event(c)
	if err != nil {
		s.Warner.Warn(err)
		return
	}
	if e != nil {
		s.sink.Post(e)
	}
}

// serve carries out requests one after the other.
func (s *Session) serve(ctx context.Context) {
	var announced *core.Announce
	for {
		select {
		case r := <-s.requests:
			if a, ok := r.(*core.Announce); ok {
				announced = a
			}
			s.perform(ctx, r)
		case <-s.changed:
			if announced != nil {
				s.perform(ctx, announced)
			}
		case <-ctx.Done():
			return
		}
	}
}

func (s *Session) perform(ctx context.Context, r core.Request) {
	var err error
	switch r := r.(type) {
	case *core.Announce:
		err = s.announce(ctx, r)
	case *core.Claim:
		err = s.claim(ctx, r)
	case *core.Release:
		_, err = s.Client.DeleteValue(ctx, s.Layout.shard(r.Shard), s.claimValue(s.current()))
	case *core.Verify:
		err = s.verify(ctx)
	case *core.Watch:
		select {
		case s.follows <- r.On:
		case <-ctx.Done():
		}
	case *core.SaveCosts:
		err = s.saveCosts(ctx, r.Rows)
	}
	if err != nil && ctx.Err() == nil {
		s.Warner.Warn(err)
	}
}

// verify asks the store for its newest manifest. One that the watch should have
// reported by now shows that its connection has gone silent.
func (s *Session) verify(ctx context.Context) error {
	start := s.Clock.Now()
	pair, err := s.Client.Get(ctx, s.Layout.Manifest)
	if err != nil {
		return fmt.Errorf("confirm manifest: %w", err)
	}
	if pair == nil {
		return nil
	}
	s.confirm(Change{Key: pair.Key, Value: pair.Value}, start)
	if s.Layout.inside() {
		s.seen.check(pair.Revision)
	}
	return nil
}

// saveCosts writes without a lease: the value is there for a fleet that has ended.
func (s *Session) saveCosts(ctx context.Context, rows []plan.Row) error {
	value, err := json.Marshal(rows)
	if err != nil {
		return fmt.Errorf("encode costs: %w", err)
	}
	if err := s.Client.Put(ctx, s.Layout.costs(), value, 0); err != nil {
		return fmt.Errorf("save costs: %w", err)
	}
	return nil
}

func (s *Session) announce(ctx context.Context, r *core.Announce) error {
	lease := s.current()
	if lease == 0 {
		return nil // announced once a lease is held
	}
	value, err := json.Marshal(r.Member)
	if err != nil {
		return fmt.Errorf("encode announcement: %w", err)
	}
	if err := s.Client.Put(ctx, s.Layout.member(s.Name), value, lease); err != nil {
		return fmt.Errorf("announce: %w", err)
	}
	return nil
}

// claimValue names the node and the lease that a shard is held under, so that a
// lost answer is settled by reading the value back.
func (s *Session) claimValue(lease int64) []byte {
	v, _ := json.Marshal(claim{Owner: s.Name, ID: strconv.FormatInt(lease, 16), Address: s.Address})
	return v
}

// left reports whether a claim was made by an earlier process of this node, which
// has ended: two cannot listen on one address.
func (s *Session) left(value []byte) bool {
	var c claim
	err := json.Unmarshal(value, &c)
	return err == nil && c.Owner == s.Name && c.Address.IsValid() && c.Address == s.Address
}

func (s *Session) claim(ctx context.Context, r *core.Claim) error {
	lease := s.current()
	if lease == 0 {
		return nil
	}
	var rivals []string
	for _, o := range r.Rival {
		rivals = append(rivals, s.Layout.shard(o))
	}
	key, value := s.Layout.shard(r.Shard), s.claimValue(lease)
	held, err := s.takeOver(ctx, key, value, lease), error(nil)
	if !held {
		held, err = s.Client.Create(ctx, key, rivals, value, lease)
	}
	if err != nil || !held {
		pair, rerr := s.Client.Get(ctx, key)
		if rerr != nil {
			return fmt.Errorf("settle claim: %w", rerr)
		}
		held = pair != nil && string(pair.Value) == string(value)
		if pair != nil && !held && s.left(pair.Value) {
			if held, err = s.Client.Swap(ctx, key, pair.Revision, value, lease); err != nil {
				return fmt.Errorf("take over shard: %w", err)
			}
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if held && s.lease != lease {
		return nil // the lease the shard was taken under has run out since
	}
	s.sink.Post(&core.ClaimDone{Shard: r.Shard, Held: held})
	return nil
}
