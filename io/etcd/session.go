package etcd

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"celeryshelf/core"
)

const (
	// renewals of a lease in its time to live; two may fail in a row.
	renewals    = 3
	probePeriod = 1 * time.Second
	// Failed calls are tried again after a time between firstPause and maxPause,
	// drawn at random so that a returning store is not met by every node at once.
	firstPause  = 200 * time.Millisecond
	maxPause    = 3 * time.Second
	requestRoom = 256
)

// Sink takes in what the store says; it must not block for long.
type Sink interface {
	Post(e core.Event) bool
}

// Warner is told of values in the store that cannot be read.
type Warner interface {
	Warn(err error)
}

// SessionConfig holds what a Session is made of.
type SessionConfig struct {
	Client *Client
	Layout Layout
	Name   string // of the node
	TTL    time.Duration
	Warner Warner
}

// Session keeps a node's lease, carries out its requests, and reports what the
// store holds.
type Session struct {
	SessionConfig
	sink     Sink
	requests chan core.Request

	mu      sync.Mutex
	lease   int64 // 0 while none is held
	changed chan struct{}
}

// NewSession returns a session that Run is yet to start.
func NewSession(c SessionConfig) *Session {
	return &Session{
		SessionConfig: c,
		requests:      make(chan core.Request, requestRoom),
		changed:       make(chan struct{}, 1),
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
	group.Go(func() { s.follow(ctx) })
	group.Go(func() { s.serve(ctx) })
	group.Wait()
}

// Leave ends the lease, and with it the announcement and the shards.
func (s *Session) Leave(ctx context.Context) error {
	s.mu.Lock()
	lease := s.lease
	s.mu.Unlock()
	if lease == 0 {
		return nil
	}
	return s.Client.Revoke(ctx, lease)
}

// pause waits before another try and reports whether the context still runs.
func pause(ctx context.Context, try int) bool {
	limit := maxPause
	if try < 4 {
		limit = firstPause << try
	}
	t := time.NewTimer(limit/2 + rand.N(limit/2))
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
		start := time.Now()
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
	for try := 0; ; {
		t := time.NewTimer(wait - rand.N(wait/8))
		select {
		case <-t.C:
		case <-ctx.Done():
			t.Stop()
			return
		}
		start := time.Now()
		ttl, err := s.Client.KeepAlive(ctx, lease)
		switch {
		case err == nil && ttl <= 0:
			return
		case err == nil:
			until, wait, try = start.Add(ttl), s.TTL/renewals, 0
			s.held(lease, until)
		case time.Now().After(until) && try > renewals:
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

// follow reads everything under the prefix and watches it from there on.
func (s *Session) follow(ctx context.Context) {
	for try := 0; ctx.Err() == nil; try++ {
		snapshot, revision, err := s.load(ctx)
		if err == nil {
			s.sink.Post(&core.StoreUp{Up: true})
			s.sink.Post(snapshot)
			if s.watch(ctx, revision) > probePeriod {
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

func (s *Session) load(ctx context.Context) (*core.Snapshot, int64, error) {
	pairs, revision, err := s.Client.Range(ctx, s.Layout.Prefix)
	if err != nil {
		return nil, 0, err
	}
	out := &core.Snapshot{}
	for _, p := range pairs {
		e, err := s.Layout.event(Change{Key: string(p.Key), Value: p.Value})
		if err != nil {
			s.Warner.Warn(err)
			continue
		}
		switch e := e.(type) {
		case *core.ManifestSeen:
			out.Manifest = &e.Manifest
		case *core.MemberSeen:
			out.Members = append(out.Members, e.Member)
		case *core.ShardSeen:
			out.Shards = append(out.Shards, e.ShardRecord)
		}
	}
	return out, revision, nil
}

// watch reports changes until the watch breaks, falls behind, or the store stops
// answering, and returns how long it stood.
func (s *Session) watch(ctx context.Context, revision int64) time.Duration {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	start := time.Now()
	seen := &progress{}
	var group sync.WaitGroup
	group.Go(func() {
		defer cancel()
		err := s.Client.Watch(ctx, s.Layout.Prefix, revision+1, func(c Change, at int64) {
			s.report(c)
			seen.reach(at)
		})
		if err != nil && ctx.Err() == nil && !errors.Is(err, context.Canceled) {
			s.Warner.Warn(err)
		}
	})
	seen.reach(revision)
	s.probe(ctx, seen)
	cancel()
	group.Wait()
	return time.Since(start)
}

// progress is the revision up to which a watch has reported.
type progress struct {
	mu       sync.Mutex
	revision int64
}

func (p *progress) reach(revision int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.revision = max(p.revision, revision)
}

func (p *progress) at() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.revision
}

// probe returns when the store does not answer, or has held a manifest for a
// whole period that the watch has not reported: the connection has gone silent.
func (s *Session) probe(ctx context.Context, seen *progress) {
	ticker := time.NewTicker(probePeriod)
	defer ticker.Stop()
	missing := int64(0)
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		revision, err := s.Client.Revision(ctx, s.Layout.Manifest())
		if err != nil {
			return
		}
		if revision > seen.at() && revision == missing {
			return
		}
		missing = revision
	}
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

func (s *Session) current() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lease
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
	}
	if err != nil && ctx.Err() == nil {
		s.Warner.Warn(err)
	}
}

func (s *Session) announce(ctx context.Context, r *core.Announce) error {
	lease := s.current()
	if lease == 0 {
		return nil // announced once a lease is held
	}
	value, err := json.Marshal(r.Member)
	if err != nil {
		return errors.Wrap(err, "encode announcement")
	}
	return s.Client.Put(ctx, s.Layout.member(s.Name), value, lease)
}

// claimValue names the node and the lease that a shard is held under, so that a
// lost answer is settled by reading the value back.
func (s *Session) claimValue(lease int64) []byte {
	v, _ := json.Marshal(claim{Owner: s.Name, ID: strconv.FormatInt(lease, 16)})
	return v
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
	held, err := s.Client.Create(ctx, key, rivals, value, lease)
	if err != nil || !held {
		pair, rerr := s.Client.Get(ctx, key)
		if rerr != nil {
			return errors.CombineErrors(rerr, err)
		}
		held = pair != nil && string(pair.Value) == string(value)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if held && s.lease != lease {
		return nil // the lease the shard was taken under has run out since
	}
	s.sink.Post(&core.ClaimDone{Shard: r.Shard, Held: held})
	return nil
}
