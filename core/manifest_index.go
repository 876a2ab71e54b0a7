package core

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"celeryshelf/core/manifest"
	"celeryshelf/core/quota"
)

// manifestIndex is the active manifest with lookup tables for decisions on calls.
type manifestIndex struct {
	source     *manifest.Compiled
	workspaces map[string]*manifest.Workspace
	routes     map[string]*manifest.Route
	meanRate   float64 // of all workspaces; the weight of calls without a workspace
	salt       uint64  // the same on all nodes and unknown to callers, who could otherwise choose IDs that rank high
	classes    priorityClasses
	topClass   uint8 // highest value in classes
}

// class returns the admission class of a workspace's calls on a route.
func (idx *manifestIndex) class(workspace string, r *manifest.Route) uint8 {
	return idx.classes.class(priorityOf(idx.workspaces[workspace], r))
}

func newManifestIndex(v *manifest.Compiled) *manifestIndex {
	idx := &manifestIndex{
		source:     v,
		workspaces: map[string]*manifest.Workspace{},
		routes:     map[string]*manifest.Route{},
		meanRate:   1,
		salt:       xxhash.Sum64String(v.ApplyID),
	}
	m := &idx.source.Manifest
	sum := 0.0
	for i := range m.Workspaces {
		w := &m.Workspaces[i]
		idx.workspaces[w.Name] = w
		sum += w.Rate
	}
	if len(m.Workspaces) > 0 {
		idx.meanRate = sum / float64(len(m.Workspaces))
	}
	for i := range m.Routes {
		idx.routes[m.Routes[i].Name] = &m.Routes[i]
	}
	idx.classes = newPriorityClasses(m)
	idx.topClass = idx.classes.top()
	return idx
}

// rateLimited returns the workspace of that name if it has a rate limit, or nil.
func (idx *manifestIndex) rateLimited(name string) *manifest.Workspace {
	if w := idx.workspaces[name]; w != nil && w.Rate > 0 {
		return w
	}
	return nil
}

func allowanceOf(w *manifest.Workspace) quota.Allowance {
	return quota.Allowance{Rate: w.Rate, Burst: w.Burst}
}

func (s *State) manifestVersion() uint64 {
	if s.manifest == nil {
		return 0
	}
	return s.manifest.source.Version
}

// shareWeight returns the weight of a workspace's calls in fair sharing: its rate, or the
// mean rate for calls without a known workspace.
func (s *State) shareWeight(workspace string) float64 {
	if s.manifest == nil {
		return 1
	}
	if w, ok := s.manifest.workspaces[workspace]; ok {
		return w.Rate
	}
	return s.manifest.meanRate
}

// applyManifest makes a manifest the active one if it is newer than the current one.
func (s *State) applyManifest(now time.Time, v *manifest.Compiled) {
	if v.Version <= s.manifestVersion() {
		return
	}
	var replaced *manifest.Compiled
	if s.manifest != nil {
		replaced = s.manifest.source
	}
	s.manifest, s.manifestActiveSince = newManifestIndex(v), now
	s.applyAllowances(now)
	s.configureWarmup(now)
	s.self.ManifestVersion = v.Version
	s.effects.NewManifest = v
	s.addNotice(Notice{Kind: NoticeManifestActive, Version: v.Version})
	s.spreadManifest(now, replaced)
}

// applyAllowances passes the manifest's rate limits to the token pool and to the shards that
// this node owns. Calls that wait for tokens of a workspace without a limit are dispatched,
// or refused if the workspace is gone, and shards that no longer exist are released.
func (s *State) applyAllowances(now time.Time) {
	for _, w := range s.manifest.workspaces {
		if s.manifest.rateLimited(w.Name) != nil {
			s.tokenPool.SetAllowance(w.Name, allowanceOf(w))
		}
	}
	gone := s.tokenPool.RemoveUndeclared(func(name string) bool { return s.manifest.rateLimited(name) != nil })
	for _, id := range gone {
		c, ok := s.calls[CallID(id)]
		switch {
		case !ok:
		case s.manifest.workspaces[c.workspace] == nil:
			s.refuse(now, c, ReasonUnknownKey)
		default:
			s.dispatch(now, c, "") // its workspace no longer has a rate limit
		}
	}
	for _, shard := range s.shardOwner.Shards() {
		if !s.isDeclared(shard) {
			s.releaseShard(shard)
			continue
		}
		s.shardOwner.UpdateAllowance(now, shard, allowanceOf(s.manifest.workspaces[shard.Workspace]))
	}
}
