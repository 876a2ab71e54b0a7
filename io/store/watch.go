package store

import (
	"context"
	"fmt"
	"sync"
	"time"

	"celeryshelf/core"
)

// followStore reads the members and then watches the store: always, or while the reducer asks
// for it.
func (s *Session) followStore(ctx context.Context) {
	if s.ElectWatchers {
		s.discover(ctx)
	}
	for on := !s.ElectWatchers; ctx.Err() == nil; {
		watchCtx, stop := context.WithCancel(ctx)
		var group sync.WaitGroup
		if on {
			group.Go(func() { s.loadAndWatch(watchCtx, s.Layout.Prefix, s.loadNodeRecords) })
			if !s.Layout.manifestUnderPrefix() {
				group.Go(func() { s.loadAndWatch(watchCtx, s.Layout.operatorPrefix(), s.loadOperatorKeys) })
			}
		}
		select {
		case on = <-s.watchEnabled:
		case <-ctx.Done():
		}
		stop()
		group.Wait()
	}
}

// discover reads the announcements of all nodes once.
func (s *Session) discover(ctx context.Context) {
	wait := time.NewTimer(announceWait)
	defer wait.Stop()
	select {
	case <-s.announced:
	case <-wait.C:
	case <-ctx.Done():
	}
	for try := 0; ctx.Err() == nil; try++ {
		err := s.loadMembers(ctx)
		if err == nil {
			return
		}
		s.logFailure(ctx, err)
		s.sink.Post(&core.StoreReachability{Reachable: false})
		waitBeforeRetry(ctx, try)
	}
}

// loadMembers reports all member records.
func (s *Session) loadMembers(ctx context.Context) error {
	pairs, _, err := s.Client.Range(ctx, s.Layout.memberPrefix())
	if err != nil {
		return fmt.Errorf("read members: %w", err)
	}
	out := &core.MembersStored{Departures: s.ownDepartures(pairs)}
	for _, p := range pairs {
		if m, ok := s.decode(Change{Key: p.Key, Value: p.Value}).(*core.MemberStored); ok {
			out.Members = append(out.Members, m.Member)
		}
	}
	s.sink.Post(out)
	return nil
}

// loadAndWatch reads all keys under a prefix and watches it from the revision that
// was read. It starts again when the watch breaks.
func (s *Session) loadAndWatch(ctx context.Context, prefix string, load func(context.Context) (int64, error)) {
	for try := 0; ctx.Err() == nil; try++ {
		eraCtx, done := s.scopes.begin(ctx)
		revision, err := load(eraCtx)
		if err == nil {
			if s.watch(eraCtx, prefix, revision) > stableWatchDuration {
				try = 0
			}
		}
		returned := eraCtx.Err() != nil
		done()
		if ctx.Err() != nil {
			return
		}
		if returned {
			try = -1 // the store answers
			continue
		}
		s.sink.Post(&core.StoreReachability{Reachable: false})
		if !waitBeforeRetry(ctx, try) {
			return
		}
	}
}

// loadNodeRecords reports all records under the prefix as one snapshot and returns
// their revision.
func (s *Session) loadNodeRecords(ctx context.Context) (int64, error) {
	start := s.Clock.Now()
	pairs, revision, err := s.Client.Range(ctx, s.Layout.Prefix)
	if err != nil {
		return 0, err
	}
	out := &core.StoreSnapshot{Departures: s.ownDepartures(pairs)}
	s.recordPreviousClaims(pairs)
	for _, p := range pairs {
		switch e := s.decode(Change{Key: p.Key, Value: p.Value}).(type) {
		case *core.ManifestStored:
			out.Manifest = e.Manifest
		case *core.MemberStored:
			out.Members = append(out.Members, e.Member)
		case *core.CostsStored:
			out.Costs = e.Rows
		case *core.ShardStored:
			out.Shards = append(out.Shards, e.ShardRecord)
		}
	}
	s.sink.Post(&core.StoreReachability{Reachable: true})
	s.sink.Post(out)
	if out.Manifest != nil {
		s.sink.Post(&core.ManifestConfirmed{Version: out.Manifest.Version, At: start})
	}
	s.watched.advance(revision)
	return revision, nil
}

// loadOperatorKeys reports the manifest, whose key is outside the prefix, and the evacuated
// domains. It returns the revision that was read, from which the watch goes on.
func (s *Session) loadOperatorKeys(ctx context.Context) (int64, error) {
	start := s.Clock.Now()
	pairs, revision, err := s.Client.Range(ctx, s.Layout.operatorPrefix())
	if err != nil {
		return 0, err
	}
	s.sink.Post(&core.StoreReachability{Reachable: true})
	s.evacuations = s.reportOperatorKeys(pairs, revision, start)
	return revision, nil
}

// watch reports changes until the watch breaks or is cancelled as stalled, and
// returns how long it lasted.
func (s *Session) watch(ctx context.Context, prefix string, revision int64) time.Duration {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	start := time.Now()
	batchDelay := time.Duration(0)
	if prefix == s.Layout.Prefix {
		s.watched.setCancel(cancel)
		if !s.Layout.manifestUnderPrefix() {
			batchDelay = watchBatchDelay
		}
	}
	err := s.Client.Watch(ctx, prefix, revision+1, batchDelay, func(c Change, revision int64) {
		s.reportChange(c)
		if prefix == s.Layout.operatorPrefix() {
			s.reportEvacuation(c, revision)
		}
		if prefix == s.Layout.Prefix {
			s.watched.advance(revision)
		}
	})
	if err != nil && ctx.Err() == nil {
		s.Logger.Warn(err)
	}
	return time.Since(start)
}

func (s *Session) reportChange(c Change) {
	if e := s.decode(c); e != nil {
		s.sink.Post(e)
	}
}

// decode converts a change into an event. It returns nil for a change that the reducer does
// not need to know of, and for one that cannot be decoded, which it logs.
func (s *Session) decode(c Change) core.Event {
	e, err := s.Layout.decodeEvent(c)
	if err != nil {
		s.warnEntry(c, err)
		return nil
	}
	return e
}
