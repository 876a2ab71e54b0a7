package store

import (
	"context"
	"sync"
	"time"

	"celeryshelf/core"
)

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
		s.sink.Post(&core.StoreReachability{Reachable: false})
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
	out := &core.StoreSnapshot{}
	s.remember(pairs)
	for _, p := range pairs {
		e, err := s.Layout.event(Change{Key: p.Key, Value: p.Value})
		if err != nil {
			s.Logger.Warn(err)
			continue
		}
		switch e := e.(type) {
		case *core.ManifestStored:
			out.Manifest = &e.Manifest
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
	s.seen.reach(revision)
	return revision, nil
}

// loadManifest reports the manifest where it lies outside the nodes' prefix.
func (s *Session) loadManifest(ctx context.Context) (int64, error) {
	start := s.Clock.Now()
	pairs, revision, err := s.Client.Range(ctx, s.Layout.ManifestKey)
	if err != nil {
		return 0, err
	}
	s.sink.Post(&core.StoreReachability{Reachable: true})
	for _, p := range pairs {
		if p.Key == s.Layout.ManifestKey {
			s.confirm(Change{Key: p.Key, Value: p.Value}, start)
		}
	}
	return revision, nil
}

// confirm reports the manifest that the store held at an instant.
func (s *Session) confirm(c Change, at time.Time) {
	e, err := s.Layout.event(c)
	if err != nil {
		s.Logger.Warn(err)
		return
	}
	if m, ok := e.(*core.ManifestStored); ok {
		s.sink.Post(m)
		s.sink.Post(&core.ManifestConfirmed{Version: m.Manifest.Version, At: at})
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
		s.Logger.Warn(err)
	}
	return time.Since(start)
}

func (s *Session) report(c Change) {
	e, err := s.Layout.event(c)
	if err != nil {
		s.Logger.Warn(err)
		return
	}
	if e != nil {
		s.sink.Post(e)
	}
}
